//! The host's core against nodes, clients and peers that fail, in given time.

use crate::rig::{Rig, document, ms};
use bytes::Bytes;
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::{
    Attempt, AttemptAnswer, AttemptResult, Cancel, DemandReport, EndpointListUpdate, Frame, Handle,
    Hello, Message, Outcome, Role, Submit, Withdraw,
};
use gullsail_scheduler_api::Instant;

const START: Instant = Instant::from_micros(1_000_000_000);

fn new_rig() -> Rig {
    Rig::new(&document(&[]), 0, START)
}

/// How the first attempt of a request ends.
enum End {
    Answer(AttemptResult),
    Break,
    Silence,
    NeverSent,
}

/// Submits request 5, whose first attempt ends so.
fn submit_and_end(rig: &mut Rig, client: LinkId, request_class: &str, end: &End, place: usize) {
    let up = !matches!(end, End::NeverSent);
    let n = if up {
        rig.node_up("n1", 11, ms(1e7))
    } else {
        LinkId(0)
    };
    rig.submit(client, 5, request_class);
    assert_eq!(rig.attempts(n).len(), usize::from(up), "case {place}");
    rig.pass(ms(10.0));
    match end {
        End::Answer(result) => rig.answer(n, rig.attempts(n)[0].attempt, *result),
        End::Break => {
            rig.handle(Input::Closed(n, "reset".into()));
            rig.pass(ms(30.0));
            rig.node_up("n1", 11, ms(1e7));
        }
        End::Silence | End::NeverSent => {}
    }
}

/// How a sent attempt ends, by request class: what the client is told, and how many attempts there are.
#[test]
fn what_may_have_run_is_repeated_only_as_its_effect_allows() {
    use Outcome::{Failed, Rejected, Succeeded};
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
        let mut rig = new_rig();
        let client = rig.client();
        submit_and_end(&mut rig, client, request_class, &end, place);
        rig.pass(ms(3000.0));
        let sent = rig.new_attempts();
        assert_eq!(
            (sent.len(), rig.outcomes(client, 5)),
            (attempts, vec![outcome]),
            "case {place}"
        );
        assert!(
            sent.iter().all(|sent| sent.attempt.idempotency_key == "m5"),
            "a repeat is known by its mark"
        );
        assert!(
            sent.iter()
                .enumerate()
                .all(|(number, sent)| sent.attempt.number == number as u32)
        );
    }
}

#[test]
fn a_late_answer_of_a_node_is_discarded_and_counted() {
    let mut rig = new_rig();
    let (client, (n, _)) = (rig.client(), rig.nodes_up());
    rig.submit(client, 5, "read");
    let attempt = rig.attempts(n)[0].attempt;
    rig.pass(ms(1000.0));
    assert!(
        rig.on(n)
            .any(|frame| frame.message == Message::Cancel(Cancel { attempt })),
        "the node is told"
    );
    assert_eq!(rig.outcomes(client, 5), [Outcome::Rejected]);
    rig.answer(n, attempt, AttemptResult::Succeeded);
    // And answers to what was never asked, or was asked of another node.
    rig.answer(n, 999, AttemptResult::Succeeded);
    assert_eq!(rig.outcomes(client, 5), [Outcome::Rejected]);
    assert_eq!(rig.core.counts().late_node_answers, 2);
}

#[test]
fn another_nodes_answer_ends_nothing() {
    let mut rig = new_rig();
    let (client, (n1, n2)) = (rig.client(), rig.nodes_up());
    rig.submit(client, 5, "read");
    let attempt = rig.attempts(n1)[0].attempt;
    rig.answer(n2, attempt, AttemptResult::Succeeded);
    assert_eq!(rig.outcomes(client, 5), []);
    rig.answer_with(
        n1,
        attempt,
        AttemptResult::Succeeded,
        Bytes::from_static(b"bytes"),
    );
    assert_eq!(rig.outcomes(client, 5), [Outcome::Succeeded]);
    assert!(rig.on(client).any(|frame| frame.body == "bytes"));
}

#[test]
fn a_stop_answers_all_that_is_held_and_takes_nothing_new() {
    let deployment = document(&[("open=50", "open=2000"), ("4000B", "4MB")]);
    let mut rig = Rig::new(&deployment, 0, START);
    let (client, _) = (rig.client(), rig.nodes_up());
    for id in 0..1000 {
        rig.submit(client, id, ["read", "write", "trip"][id as usize % 3]);
    }
    rig.handle(Input::Stop);
    assert!(!rig.finished, "a thousand are open");
    rig.submit(client, 5000, "read");
    assert_eq!(rig.not_taken(client), ["this host is shutting down"]);
    assert_eq!(rig.core.accept(rig.now), None);
    rig.pass(ms(1500.0));
    assert!(rig.finished);
    assert!((0..1000).all(|id| rig.outcomes(client, id).len() == 1));
    let attempts = rig.sent.len();
    rig.pass(ms(3000.0));
    let later = rig.sent[attempts..]
        .iter()
        .filter(|sent| matches!(sent.frame.message, Message::Attempt(_) | Message::Answer(_)));
    assert_eq!(later.count(), 0, "nothing is sent after the answers");
}

#[test]
fn clients_that_leave_or_withdraw_get_nothing_more() {
    let mut rig = new_rig();
    let (client, other, (n, _)) = (rig.client(), rig.client(), rig.nodes_up());
    rig.submit(client, 5, "read");
    rig.submit(client, 6, "read");
    rig.submit(other, 5, "read");
    rig.frame(client, Withdraw { id: 6 });
    rig.handle(Input::Closed(client, "gone".into()));
    let before = rig.on(client).count();
    for attempt in rig.attempts(n) {
        rig.answer(n, attempt.attempt, AttemptResult::Succeeded);
    }
    rig.pass(ms(2000.0));
    assert_eq!(
        (rig.on(client).count(), rig.outcomes(other, 5)),
        (before, vec![Outcome::Succeeded])
    );
    assert_eq!(
        (
            rig.core.counts().clients_left,
            rig.core.load().open_requests
        ),
        (2, 0)
    );
}

/// A attempt fails and its client leaves before the decisions hear of either: they ask for one more attempt,
/// which does not go out and must not stay in the node's window.
#[test]
fn attempts_of_those_who_left_keep_no_room() {
    let mut rig = new_rig();
    let (stays, n) = (rig.client(), rig.node_up("n1", 11, ms(1e7)));
    for id in 0..40 {
        let client = rig.client();
        rig.submit(client, id, "read");
        let attempt = rig.attempts(n).last().unwrap().attempt;
        let failed = AttemptAnswer {
            attempt,
            result: AttemptResult::Failed as i32,
            ..AttemptAnswer::default()
        };
        rig.core.handle(rig.now, Input::Frame(n, failed.into()));
        rig.core
            .handle(rig.now, Input::Closed(client, "gone".into()));
        rig.settle();
        // In between, the node serves well: its window does not fall for the failures alone.
        for other in 0..4 {
            rig.submit(stays, 1000 + id * 4 + other, "read");
            let attempt = rig.attempts(n).last().unwrap().attempt;
            rig.answer(n, attempt, AttemptResult::Succeeded);
            rig.pass(ms(20.0));
        }
    }
    assert_eq!(rig.core.load().attempts_out, 0, "no leg is out");
    let done = (1000..1160)
        .filter(|id| rig.outcomes(stays, *id) == [Outcome::Succeeded])
        .count();
    assert_eq!(done, 160, "the node has room throughout");
}

/// Makes a valid request invalid.
type Spoil = fn(&mut Submit);

#[test]
fn what_is_not_taken_has_its_reason() {
    let mut rig = new_rig();
    rig.nodes_up();
    let good = Submit {
        handle: Some(Handle {
            shard: 1,
            object: 1,
        }),
        timeout_us: 1_000_000,
        ..rig.submitted("read", "v", 1)
    };
    let units = "units out of range: got";
    let deadline = "deadline passed or closer than 2 ticks";
    // what is wrong with a request, and the reason that its client reads
    let cases: [(Spoil, String); 8] = [
        (
            |submit| submit.request_class = "raed".into(),
            "unknown request class \"raed\"".into(),
        ),
        (
            |submit| submit.volume = "x".into(),
            "unknown volume \"x\"".into(),
        ),
        (
            |submit| submit.volume = "far".into(),
            "is not served through this host".into(),
        ),
        (
            |submit| submit.units = 9.0,
            format!("{units} 9, allowed 0 < units <= 8"),
        ),
        (|submit| submit.units = f64::NAN, format!("{units} NaN")),
        (|submit| submit.timeout_us = 0, deadline.into()),
        (|submit| submit.timeout_us = 40_000, deadline.into()),
        (|submit| submit.handle = None, "needs the handle".into()),
    ];
    let client = rig.client();
    for (spoil, reason) in cases {
        let mut submit = good.clone();
        spoil(&mut submit);
        rig.frame(client, submit);
        let refusal = rig.not_taken(client).pop().unwrap();
        assert!(refusal.contains(&reason), "{refusal}");
    }
    rig.frame(client, good);
    let counts = rig.core.counts();
    assert_eq!((counts.taken, counts.not_taken), (1, 8));
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
        let mut rig = new_rig();
        let (client, other, (n, _)) = (rig.client(), rig.client(), rig.nodes_up());
        rig.frame(client, bad.clone());
        assert_eq!(rig.closed, [client], "{bad:?}");
        rig.submit(other, 5, "read");
        rig.answer(n, rig.attempts(n)[0].attempt, AttemptResult::Succeeded);
        assert_eq!(rig.outcomes(other, 5), [Outcome::Succeeded]);
    }
    one_id_for_two_requests_ends_the_link();
    a_newer_kind_is_skipped_and_strangers_are_closed();
}

/// One id for two open requests can't be answered: that link ends too.
fn one_id_for_two_requests_ends_the_link() {
    let mut rig = new_rig();
    let client = rig.client();
    rig.submit(client, 5, "read");
    rig.submit(client, 5, "read");
    assert_eq!(rig.closed, [client]);
}

fn a_newer_kind_is_skipped_and_strangers_are_closed() {
    // A newer kind is skipped.
    let mut rig = new_rig();
    let client = rig.client();
    rig.frame(
        client,
        Frame {
            message: Message::Newer { kind: 500 },
            body: Bytes::new(),
        },
    );
    assert_eq!(rig.closed, []);
    // A stranger that says nothing, a node that answers at another's address.
    let stranger = rig.core.accept(rig.now).unwrap();
    let n = rig.connection_to("n1").unwrap();
    rig.handle(Input::Connected(n));
    rig.frame(
        n,
        Hello {
            role: Role::Node as i32,
            name: "n2".into(),
            shard_plus_one: 3,
            ..Hello::default()
        },
    );
    assert_eq!(rig.closed, [n]);
    rig.pass(ms(1000.0));
    assert!(rig.closed.contains(&stranger) && !rig.closed.contains(&client));
}

#[test]
fn memory_is_bounded_and_clients_wait() {
    let mut rig = new_rig();
    let client = rig.client();
    for id in 0..50 {
        rig.submit(client, id, "read");
    }
    assert_eq!(
        rig.reading.get(&client),
        Some(&false),
        "as many as may be are open"
    );
    rig.pass(ms(3000.0));
    assert_eq!(rig.reading.get(&client), Some(&true), "they are answered");
    assert_eq!(rig.core.counts().back_pressure_events, 1);
}

/// One that takes none of its answers waits, alone, and is let go.
#[test]
fn a_client_that_reads_nothing_waits_alone() {
    let mut rig = new_rig();
    let (client, slow, n) = (rig.client(), rig.client(), rig.node_up("n1", 11, ms(1e7)));
    rig.stuck.insert(slow);
    for id in 0..5 {
        rig.submit(slow, id, "read");
        let attempt = rig.attempts(n).last().unwrap().attempt;
        rig.answer_with(
            n,
            attempt,
            AttemptResult::Succeeded,
            Bytes::from(vec![0; 1000]),
        );
    }
    assert_eq!(
        (rig.reading.get(&slow), rig.reading.get(&client)),
        (Some(&false), None)
    );
    assert!(
        rig.core.load().bytes >= 4000,
        "what waits for it is counted"
    );
    rig.pass(ms(5000.0));
    assert_eq!(
        (rig.closed.contains(&slow), rig.core.load().bytes),
        (true, 0)
    );
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
        let mut rig = new_rig();
        let (client, (n, _)) = (rig.client(), rig.nodes_up());
        rig.submit(client, 1, "read");
        let submit = Submit {
            timeout_us: timeout * 1000,
            id: 9,
            idempotency_key: "m9".into(),
            ..rig.submitted("read", "v", 1)
        };
        rig.handle(Input::DelayedFrame(
            client,
            Frame::from(submit),
            ms(waited as f64),
        ));
        assert_eq!(
            (rig.not_taken(client).is_empty(), rig.attempts(n).len()),
            (taken, 1 + usize::from(taken)),
            "{waited}"
        );
        assert!(
            rig.attempts(n)
                .iter()
                .skip(1)
                .all(|attempt| attempt.time_out_us <= lasts * 1000),
            "{:?}",
            rig.attempts(n)
        );
    }
}
