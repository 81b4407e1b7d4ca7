//! The host's core with nodes, clients and peers that fail.

use crate::rig::{Rig, document, ms};
use bytes::Bytes;
use gullsail_host::core::{ConnectionId, Input};
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
    ConnectionLost,
    NoAnswer,
    NeverSent,
}

/// Submits request 5, whose first attempt ends as given.
fn submit_and_end(
    rig: &mut Rig,
    client: ConnectionId,
    request_class: &str,
    end: &End,
    case: usize,
) {
    let up = !matches!(end, End::NeverSent);
    let n = if up {
        rig.node_up("n1", 11, ms(1e7))
    } else {
        ConnectionId(0)
    };
    rig.submit(client, 5, request_class);
    assert_eq!(rig.attempts(n).len(), usize::from(up), "case {case}");
    rig.run_for(ms(10.0));
    match end {
        End::Answer(result) => rig.answer(n, rig.attempts(n)[0].attempt, *result),
        End::ConnectionLost => {
            rig.handle(Input::Closed(n, "reset".into()));
            rig.run_for(ms(30.0));
            rig.node_up("n1", 11, ms(1e7));
        }
        End::NoAnswer | End::NeverSent => {}
    }
}

/// The outcome and the number of attempts, by request class and by how the first attempt ends.
#[test]
fn attempts_that_may_have_run_are_retried_only_if_the_request_class_allows() {
    use Outcome::{Failed, Rejected, Succeeded};
    // request class, how the first attempt ends, attempts in all, outcome
    let cases = [
        ("read", End::Answer(AttemptResult::Succeeded), 1, Succeeded),
        ("read", End::Answer(AttemptResult::Failed), 2, Rejected),
        ("read", End::NoAnswer, 1, Rejected),
        ("trip", End::Answer(AttemptResult::Failed), 1, Failed),
        ("trip", End::Answer(AttemptResult::Rejected), 2, Failed),
        ("trip", End::ConnectionLost, 1, Failed),
        ("trip", End::NoAnswer, 1, Failed),
        // The connection was not established, so the attempt cannot have run.
        ("trip", End::NeverSent, 0, Rejected),
        ("write", End::NoAnswer, 1, Failed),
        ("write", End::ConnectionLost, 2, Failed),
    ];
    for (case, (request_class, end, attempts, outcome)) in cases.into_iter().enumerate() {
        let mut rig = new_rig();
        let client = rig.client();
        submit_and_end(&mut rig, client, request_class, &end, case);
        rig.run_for(ms(3000.0));
        let sent = rig.new_attempts();
        assert_eq!(
            (sent.len(), rig.outcomes(client, 5)),
            (attempts, vec![outcome]),
            "case {case}"
        );
        assert!(
            sent.iter().all(|sent| sent.attempt.idempotency_key == "m5"),
            "a retry has the idempotency key of its request"
        );
        assert!(
            sent.iter()
                .enumerate()
                .all(|(number, sent)| sent.attempt.number == number as u32)
        );
    }
}

#[test]
fn a_late_node_answer_is_discarded_and_counted() {
    let mut rig = new_rig();
    let (client, (n, _)) = (rig.client(), rig.nodes_up());
    rig.submit(client, 5, "read");
    let attempt = rig.attempts(n)[0].attempt;
    rig.run_for(ms(1000.0));
    assert!(
        rig.frames_on(n)
            .any(|frame| frame.message == Message::Cancel(Cancel { attempt })),
        "the attempt is cancelled at the node"
    );
    assert_eq!(rig.outcomes(client, 5), [Outcome::Rejected]);
    rig.answer(n, attempt, AttemptResult::Succeeded);
    // The node answers an attempt that was never sent.
    rig.answer(n, 999, AttemptResult::Succeeded);
    assert_eq!(rig.outcomes(client, 5), [Outcome::Rejected]);
    assert_eq!(rig.core.counts().late_node_answers, 2);
}

#[test]
fn an_answer_from_another_node_does_not_end_an_attempt() {
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
    assert!(rig.frames_on(client).any(|frame| frame.body == "bytes"));
}

#[test]
fn a_shutdown_answers_open_requests_and_refuses_new_ones() {
    let deployment = document(&[("open=50", "open=2000"), ("4000B", "4MB")]);
    let mut rig = Rig::new(&deployment, 0, START);
    let (client, _) = (rig.client(), rig.nodes_up());
    for id in 0..1000 {
        rig.submit(client, id, ["read", "write", "trip"][id as usize % 3]);
    }
    rig.handle(Input::Stop);
    assert!(!rig.finished, "a thousand requests are open");
    rig.submit(client, 5000, "read");
    assert_eq!(rig.refusals(client), ["this host is shutting down"]);
    assert_eq!(rig.core.accept(rig.now), None);
    rig.run_for(ms(1500.0));
    assert!(rig.finished);
    assert!((0..1000).all(|id| rig.outcomes(client, id).len() == 1));
    let attempts = rig.sent.len();
    rig.run_for(ms(3000.0));
    let later = rig.sent[attempts..]
        .iter()
        .filter(|sent| matches!(sent.frame.message, Message::Attempt(_) | Message::Answer(_)));
    assert_eq!(later.count(), 0, "nothing is sent after the answers");
}

#[test]
fn disconnected_clients_and_withdrawn_requests_get_no_answer() {
    let mut rig = new_rig();
    let (client, other, (n, _)) = (rig.client(), rig.client(), rig.nodes_up());
    rig.submit(client, 5, "read");
    rig.submit(client, 6, "read");
    rig.submit(other, 5, "read");
    rig.frame(client, Withdraw { id: 6 });
    rig.handle(Input::Closed(client, "gone".into()));
    let before = rig.frames_on(client).count();
    for attempt in rig.attempts(n) {
        rig.answer(n, attempt.attempt, AttemptResult::Succeeded);
    }
    rig.run_for(ms(2000.0));
    assert_eq!(
        (rig.frames_on(client).count(), rig.outcomes(other, 5)),
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

/// An attempt fails and its client disconnects in the same step of the scheduler. The scheduler may start a retry,
/// which is not sent and must not occupy the node's window.
#[test]
fn retries_of_disconnected_clients_do_not_occupy_the_node_window() {
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
        rig.run_until_idle();
        // In between the node succeeds, so that the failures alone do not shrink its window.
        for other in 0..4 {
            rig.submit(stays, 1000 + id * 4 + other, "read");
            let attempt = rig.attempts(n).last().unwrap().attempt;
            rig.answer(n, attempt, AttemptResult::Succeeded);
            rig.run_for(ms(20.0));
        }
    }
    assert_eq!(
        rig.core.load().attempts_in_flight,
        0,
        "no attempt is in flight"
    );
    let done = (1000..1160)
        .filter(|id| rig.outcomes(stays, *id) == [Outcome::Succeeded])
        .count();
    assert_eq!(done, 160, "the node has room throughout");
}

/// Makes a valid request invalid.
type Invalidate = fn(&mut Submit);

#[test]
fn a_refused_request_gets_the_reason() {
    let mut rig = new_rig();
    rig.nodes_up();
    let good = Submit {
        handle: Some(Handle {
            shard: 1,
            object: 1,
        }),
        timeout_us: 1_000_000,
        ..rig.valid_submit("read", "v", 1)
    };
    let units = "units out of range: got";
    let deadline = "deadline passed or closer than 2 ticks";
    // change that makes the request invalid, reason that the client gets
    let cases: [(Invalidate, String); 8] = [
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
    for (invalidate, reason) in cases {
        let mut submit = good.clone();
        invalidate(&mut submit);
        rig.frame(client, submit);
        let refusal = rig.refusals(client).pop().unwrap();
        assert!(refusal.contains(&reason), "{refusal}");
    }
    rig.frame(client, good);
    let counts = rig.core.counts();
    assert_eq!((counts.taken, counts.not_taken), (1, 8));
}

/// A frame that its sender may not send closes that connection and no other.
#[test]
fn a_protocol_violation_closes_only_its_connection() {
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
    a_reused_request_id_closes_the_connection();
    newer_frame_kinds_are_skipped_and_wrong_identities_closed();
}

/// The client could not match answers to two open requests with the same id, so the host closes the connection.
fn a_reused_request_id_closes_the_connection() {
    let mut rig = new_rig();
    let client = rig.client();
    rig.submit(client, 5, "read");
    rig.submit(client, 5, "read");
    assert_eq!(rig.closed, [client]);
}

fn newer_frame_kinds_are_skipped_and_wrong_identities_closed() {
    // A frame of a kind that only a newer version defines is skipped.
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
    // A connection without a first frame, and a node that identifies itself at another node's address.
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
    rig.run_for(ms(1000.0));
    assert!(rig.closed.contains(&stranger) && !rig.closed.contains(&client));
}

#[test]
fn clients_are_not_read_while_too_many_requests_are_open() {
    let mut rig = new_rig();
    let client = rig.client();
    for id in 0..50 {
        rig.submit(client, id, "read");
    }
    assert_eq!(
        rig.reading.get(&client),
        Some(&false),
        "the limit of open requests is reached"
    );
    rig.run_for(ms(3000.0));
    assert_eq!(rig.reading.get(&client), Some(&true), "all are answered");
    assert_eq!(rig.core.counts().back_pressure_events, 1);
}

/// The host stops reading from a client that does not read its answers, and closes its connection after
/// `client-stall`. Other clients are read from throughout.
#[test]
fn a_client_that_reads_nothing_is_closed_without_affecting_others() {
    let mut rig = new_rig();
    let (client, slow, n) = (rig.client(), rig.client(), rig.node_up("n1", 11, ms(1e7)));
    rig.unread.insert(slow);
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
    assert!(rig.core.load().bytes >= 4000, "unsent answers are counted");
    rig.run_for(ms(5000.0));
    assert_eq!(
        (rig.closed.contains(&slow), rig.core.load().bytes),
        (true, 0)
    );
}

/// The timeout of a request that waited during a stall is shortened by that wait. A request with hardly any time left
/// is refused.
#[test]
fn a_request_delayed_by_a_stall_has_a_shorter_timeout() {
    // timeout and wait in ms, whether the request is accepted, longest timeout of its attempts in ms
    let cases = [
        (1500, 0, true, 400),
        (1500, 100, true, 300),
        (1500, 1470, false, 0),
        (300, 800, false, 0),
    ];
    for (timeout, waited, accepted, max_timeout) in cases {
        let mut rig = new_rig();
        let (client, (n, _)) = (rig.client(), rig.nodes_up());
        rig.submit(client, 1, "read");
        let submit = Submit {
            timeout_us: timeout * 1000,
            id: 9,
            idempotency_key: "m9".into(),
            ..rig.valid_submit("read", "v", 1)
        };
        rig.handle(Input::DelayedFrame(
            client,
            Frame::from(submit),
            ms(waited as f64),
        ));
        assert_eq!(
            (rig.refusals(client).is_empty(), rig.attempts(n).len()),
            (accepted, 1 + usize::from(accepted)),
            "{waited}"
        );
        assert!(
            rig.attempts(n)
                .iter()
                .skip(1)
                .all(|attempt| attempt.time_out_us <= max_timeout * 1000),
            "{:?}",
            rig.attempts(n)
        );
    }
}
