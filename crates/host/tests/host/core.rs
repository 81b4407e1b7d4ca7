//! The host's core against nodes, clients and peers that fail, in given time.

use crate::rig::*;
use bytes::Bytes;
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::*;
use gullsail_scheduler_api::*;

const START: Instant = Instant::from_micros(1_000_000_000);

fn rig() -> Rig {
    Rig::new(&document(&[]), 0, START)
}

/// How a sent attempt ends, by request class: what the client is told, and how many attempts there are.
#[test]
fn what_may_have_run_is_repeated_only_as_its_effect_allows() {
    use Outcome::*;
    enum End {
        Answer(AttemptResult),
        Break,
        Silence,
        NeverSent,
    }
    // request class, how the first attempt ends, attempts in all, outcome
    let cases = [
        ("read", End::Answer(AttemptResult::Succeeded), 1, Succeeded),
        ("read", End::Answer(AttemptResult::Failed), 2, Rejected),
        ("read", End::Silence, 1, Rejected),
        ("trip", End::Answer(AttemptResult::Failed), 1, Failed),
        ("trip", End::Answer(AttemptResult::Rejected), 2, Failed),
        ("trip", End::Break, 1, Failed),
        ("trip", End::Silence, 1, Failed),
        // The connection never came about: it certainly did not run.
        ("trip", End::NeverSent, 0, Rejected),
        ("write", End::Silence, 1, Failed),
        ("write", End::Break, 2, Failed),
    ];
    for (place, (request_class, end, attempts, outcome)) in cases.into_iter().enumerate() {
        let mut r = rig();
        let c = r.client();
        let up = !matches!(end, End::NeverSent);
        let n = if up {
            r.node_up("n1", 11, ms(1e7))
        } else {
            LinkId(0)
        };
        r.submit(c, 5, request_class);
        assert_eq!(r.attempts(n).len(), usize::from(up), "case {place}");
        r.pass(ms(10.0));
        match end {
            End::Answer(result) => r.answer(n, r.attempts(n)[0].attempt, result),
            End::Break => {
                r.handle(Input::Closed(n, "reset".into()));
                r.pass(ms(30.0));
                r.node_up("n1", 11, ms(1e7));
            }
            End::Silence | End::NeverSent => {}
        }
        r.pass(ms(3000.0));
        let sent = r.new_attempts();
        assert_eq!(
            (sent.len(), r.outcomes(c, 5)),
            (attempts, vec![outcome]),
            "case {place}"
        );
        assert!(
            sent.iter().all(|s| s.attempt.mark == "m5"),
            "a repeat is known by its mark"
        );
        assert!(
            sent.iter()
                .enumerate()
                .all(|(number, s)| s.attempt.number == number as u32)
        );
    }
}

#[test]
fn a_late_answer_of_a_node_is_discarded_and_counted() {
    let mut r = rig();
    let (c, (n, _)) = (r.client(), r.nodes_up());
    r.submit(c, 5, "read");
    let attempt = r.attempts(n)[0].attempt;
    r.pass(ms(1000.0));
    assert!(
        r.on(n)
            .any(|f| f.message == Message::Cancel(Cancel { attempt })),
        "the node is told"
    );
    assert_eq!(r.outcomes(c, 5), [Outcome::Rejected]);
    r.answer(n, attempt, AttemptResult::Succeeded);
    // And answers to what was never asked, or was asked of another node.
    r.answer(n, 999, AttemptResult::Succeeded);
    assert_eq!(r.outcomes(c, 5), [Outcome::Rejected]);
    assert_eq!(r.core.counts().late_node_answers, 2);
}

#[test]
fn another_nodes_answer_ends_nothing() {
    let mut r = rig();
    let (c, (n1, n2)) = (r.client(), r.nodes_up());
    r.submit(c, 5, "read");
    let attempt = r.attempts(n1)[0].attempt;
    r.answer(n2, attempt, AttemptResult::Succeeded);
    assert_eq!(r.outcomes(c, 5), []);
    r.answer_with(
        n1,
        attempt,
        AttemptResult::Succeeded,
        Bytes::from_static(b"bytes"),
    );
    assert_eq!(r.outcomes(c, 5), [Outcome::Succeeded]);
    assert!(r.on(c).any(|f| f.body == "bytes"));
}

#[test]
fn a_stop_answers_all_that_is_held_and_takes_nothing_new() {
    let d = document(&[("open=50", "open=2000"), ("4000B", "4MB")]);
    let mut r = Rig::new(&d, 0, START);
    let (c, _) = (r.client(), r.nodes_up());
    for id in 0..1000 {
        r.submit(c, id, ["read", "write", "trip"][id as usize % 3]);
    }
    r.handle(Input::Stop);
    assert!(!r.finished, "a thousand are open");
    r.submit(c, 5000, "read");
    assert_eq!(r.not_taken(c), ["this host is shutting down"]);
    assert_eq!(r.core.accept(r.now), None);
    r.pass(ms(1500.0));
    assert!(r.finished);
    assert!((0..1000).all(|id| r.outcomes(c, id).len() == 1));
    let attempts = r.sent.len();
    r.pass(ms(3000.0));
    let later = r.sent[attempts..]
        .iter()
        .filter(|s| matches!(s.frame.message, Message::Attempt(_) | Message::Answer(_)));
    assert_eq!(later.count(), 0, "nothing is sent after the answers");
}

#[test]
fn clients_that_leave_or_withdraw_get_nothing_more() {
    let mut r = rig();
    let (c, other, (n, _)) = (r.client(), r.client(), r.nodes_up());
    r.submit(c, 5, "read");
    r.submit(c, 6, "read");
    r.submit(other, 5, "read");
    r.frame(c, Withdraw { id: 6 });
    r.handle(Input::Closed(c, "gone".into()));
    let before = r.on(c).count();
    for attempt in r.attempts(n) {
        r.answer(n, attempt.attempt, AttemptResult::Succeeded);
    }
    r.pass(ms(2000.0));
    assert_eq!(
        (r.on(c).count(), r.outcomes(other, 5)),
        (before, vec![Outcome::Succeeded])
    );
    assert_eq!(
        (r.core.counts().clients_left, r.core.load().open_requests),
        (2, 0)
    );
}

/// A attempt fails and its client leaves before the decisions hear of either: they ask for one more attempt,
/// which does not go out and must not stay in the node's window.
#[test]
fn attempts_of_those_who_left_keep_no_room() {
    let mut r = rig();
    let (stays, n) = (r.client(), r.node_up("n1", 11, ms(1e7)));
    for id in 0..40 {
        let c = r.client();
        r.submit(c, id, "read");
        let attempt = r.attempts(n).last().unwrap().attempt;
        let failed = AttemptAnswer {
            attempt,
            result: AttemptResult::Failed as i32,
            ..AttemptAnswer::default()
        };
        r.core.handle(r.now, Input::Frame(n, failed.into()));
        r.core.handle(r.now, Input::Closed(c, "gone".into()));
        r.settle();
        // In between, the node serves well: its window does not fall for the failures alone.
        for other in 0..4 {
            r.submit(stays, 1000 + id * 4 + other, "read");
            let attempt = r.attempts(n).last().unwrap().attempt;
            r.answer(n, attempt, AttemptResult::Succeeded);
            r.pass(ms(20.0));
        }
    }
    assert_eq!(r.core.load().attempts_out, 0, "no leg is out");
    let done = (1000..1160)
        .filter(|id| r.outcomes(stays, *id) == [Outcome::Succeeded])
        .count();
    assert_eq!(done, 160, "the node has room throughout");
}

#[test]
fn what_is_not_taken_has_its_reason() {
    let mut r = rig();
    r.nodes_up();
    let good = Submit {
        request_class: "read".into(),
        volume: "v".into(),
        units: 1.0,
        handle: Some(Handle {
            shard: 1,
            object: 1,
        }),
        timeout_us: 1_000_000,
        ..Submit::default()
    };
    let cases = [
        (
            Submit {
                request_class: "raed".into(),
                ..good.clone()
            },
            "unknown request class \"raed\"",
        ),
        (
            Submit {
                volume: "x".into(),
                ..good.clone()
            },
            "unknown volume \"x\"",
        ),
        (
            Submit {
                volume: "far".into(),
                ..good.clone()
            },
            "is not served through this host",
        ),
        (
            Submit {
                units: 9.0,
                ..good.clone()
            },
            "units out of range: got 9, allowed 0 < units <= 8",
        ),
        (
            Submit {
                units: f64::NAN,
                ..good.clone()
            },
            "units out of range: got NaN",
        ),
        (
            Submit {
                timeout_us: 0,
                ..good.clone()
            },
            "deadline passed or closer than 2 ticks",
        ),
        (
            Submit {
                timeout_us: 40_000,
                ..good.clone()
            },
            "deadline passed or closer than 2 ticks",
        ),
        (
            Submit {
                handle: None,
                ..good.clone()
            },
            "needs the handle",
        ),
    ];
    let c = r.client();
    for (s, reason) in cases {
        r.frame(c, s);
        let refusal = r.not_taken(c).pop().unwrap();
        assert!(refusal.contains(reason), "{refusal}");
    }
    r.frame(c, good);
    assert_eq!((r.core.counts().taken, r.core.counts().not_taken), (1, 8));
}

/// A frame that its sender may not send ends that link and no other.
#[test]
fn misbehaviour_ends_one_link() {
    let attempt: Frame = Attempt::default().into();
    let demand_report: Frame = DemandReport { bytes: vec![1] }.into();
    for bad in [
        attempt,
        demand_report,
        EndpointListUpdate::default().into(),
        AttemptAnswer::default().into(),
        Hello::default().into(),
    ] {
        let mut r = rig();
        let (c, other, (n, _)) = (r.client(), r.client(), r.nodes_up());
        r.frame(c, bad.clone());
        assert_eq!(r.closed, [c], "{bad:?}");
        r.submit(other, 5, "read");
        r.answer(n, r.attempts(n)[0].attempt, AttemptResult::Succeeded);
        assert_eq!(r.outcomes(other, 5), [Outcome::Succeeded]);
    }
    // One id for two open requests can't be answered: that link ends too.
    let mut r = rig();
    let c = r.client();
    r.submit(c, 5, "read");
    r.submit(c, 5, "read");
    assert_eq!(r.closed, [c]);
    // A newer kind is skipped.
    let mut r = rig();
    let c = r.client();
    r.frame(
        c,
        Frame {
            message: Message::Newer { kind: 500 },
            body: Bytes::new(),
        },
    );
    assert_eq!(r.closed, []);
    // A stranger that says nothing, a node that answers at another's address.
    let stranger = r.core.accept(r.now).unwrap();
    let n = r.connection_to("n1").unwrap();
    r.handle(Input::Connected(n));
    r.frame(
        n,
        Hello {
            role: Role::Node as i32,
            name: "n2".into(),
            shard_plus_one: 3,
            ..Hello::default()
        },
    );
    assert_eq!(r.closed, [n]);
    r.pass(ms(1000.0));
    assert!(r.closed.contains(&stranger) && !r.closed.contains(&c));
}

#[test]
fn memory_is_bounded_and_clients_wait() {
    let mut r = rig();
    let c = r.client();
    for id in 0..50 {
        r.submit(c, id, "read");
    }
    assert_eq!(
        r.reading.get(&c),
        Some(&false),
        "as many as may be are open"
    );
    r.pass(ms(3000.0));
    assert_eq!(r.reading.get(&c), Some(&true), "they are answered");
    assert_eq!(r.core.counts().back_pressure_events, 1);
    // One that takes none of its answers waits, alone, and is let go.
    let mut r = rig();
    let (c, slow, n) = (r.client(), r.client(), r.node_up("n1", 11, ms(1e7)));
    r.stuck.insert(slow);
    for id in 0..5 {
        r.submit(slow, id, "read");
        let attempt = r.attempts(n).last().unwrap().attempt;
        r.answer_with(
            n,
            attempt,
            AttemptResult::Succeeded,
            Bytes::from(vec![0; 1000]),
        );
    }
    assert_eq!(
        (r.reading.get(&slow), r.reading.get(&c)),
        (Some(&false), None)
    );
    assert!(r.core.load().bytes >= 4000, "what waits for it is counted");
    r.pass(ms(5000.0));
    assert_eq!((r.closed.contains(&slow), r.core.load().bytes), (true, 0));
}

/// What waited while the process stood still has as much less time; what would have next to none is not
/// taken.
#[test]
fn what_waited_while_the_process_stood_still_has_less_time() {
    // ttl and wait in ms; whether it is taken, and the most of its time that an attempt of it has
    let cases = [
        (1500, 0, true, 400),
        (1500, 100, true, 300),
        (1500, 1470, false, 0),
        (300, 800, false, 0),
    ];
    for (timeout, waited, taken, lasts) in cases {
        let mut r = rig();
        let (c, (n, _)) = (r.client(), r.nodes_up());
        r.submit(c, 1, "read");
        let submit = Submit {
            timeout_us: timeout * 1000,
            id: 9,
            mark: "m9".into(),
            ..r.submitted("read", "v", 1)
        };
        r.handle(Input::DelayedFrame(
            c,
            Frame::from(submit),
            ms(waited as f64),
        ));
        assert_eq!(
            (r.not_taken(c).is_empty(), r.attempts(n).len()),
            (taken, 1 + usize::from(taken)),
            "{waited}"
        );
        assert!(
            r.attempts(n)
                .iter()
                .skip(1)
                .all(|l| l.time_out_us <= lasts * 1000),
            "{:?}",
            r.attempts(n)
        );
    }
}
