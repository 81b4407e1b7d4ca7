//! Attempts that wait for their node's connection. They keep the rules at the time when they are sent, or they are not
//! sent.

use crate::request_stages::{assert_nothing_held, list_reports};
use crate::rig::{Rig, SentAttempt, document, ms};
use gullsail_host::core::{ConnectionId, Input};
use gullsail_protocol::{AttemptResult, Hello, ListedState, Outcome, Role};
use gullsail_scheduler_api::Instant;

const START: Instant = Instant::from_micros(1_000_000_000);

/// Rule 3: an attempt that waits for its node's connection is not sent once the node is known to drain. Here no other
/// node has the shard, so the requests are rejected.
#[test]
fn attempts_that_wait_for_a_connection_are_not_sent_to_a_draining_node() {
    for state in [ListedState::Draining, ListedState::Gone] {
        let mut rig = Rig::new(&document(&[]), 0, START);
        let client = rig.client();
        let n = rig.node_up("n1", 11, ms(1e7));
        rig.handle(Input::Closed(n, "reset".into()));
        rig.submit(client, 5, "trip");
        rig.submit(client, 6, "read");
        rig.run_for(ms(25.0));
        let n = rig.connection_to("n1").unwrap();
        rig.handle(Input::Connected(n));
        list_reports(&mut rig, state);
        let hello = Hello {
            name: "n1".into(),
            incarnation: 11,
            age_us: 10_000_025_000,
            ..Hello::default()
        };
        rig.frame(
            n,
            Hello {
                role: Role::Node as i32,
                shard_plus_one: 2,
                ..hello
            },
        );
        rig.run_for(ms(1600.0));
        assert_eq!(rig.new_attempts().len(), 0, "{state:?}");
        assert_eq!(
            (rig.outcomes(client, 5), rig.outcomes(client, 6)),
            (vec![Outcome::Rejected], vec![Outcome::Rejected])
        );
        assert_nothing_held(&rig, "drained");
    }
}

/// The node answers the newest attempt if it is one of this request. The first attempts of requests 101 and 160 fail.
fn answer_newest(rig: &mut Rig, node: ConnectionId, id: u64) {
    if let Some(attempt) = rig
        .attempts(node)
        .last()
        .filter(|attempt| attempt.idempotency_key == format!("m{id}"))
    {
        let failed = [101, 160].contains(&id) && attempt.number == 0;
        rig.answer(
            node,
            attempt.attempt,
            if failed {
                AttemptResult::Failed
            } else {
                AttemptResult::Succeeded
            },
        );
    }
    if let Some(attempt) = rig
        .attempts(node)
        .last()
        .filter(|attempt| attempt.number > 0 && attempt.idempotency_key == format!("m{id}"))
    {
        rig.answer(node, attempt.attempt, AttemptResult::Succeeded);
    }
}

/// Rule 2: a repeat that waits for its node's connection is not sent if the node may forget the idempotency key before
/// the bytes are written, which the process may hold up for 150 ms.
#[test]
fn repeats_that_wait_for_a_connection_are_not_sent_after_their_window() {
    for (wait, is_sent) in [(100.0, true), (180.0, false)] {
        let short_window = ("window=\"5s\"", "window=\"350ms\"");
        let mut rig = Rig::new(&document(&[short_window]), 0, START);
        let client = rig.client();
        let node = rig.node_up("n1", 11, ms(1e7));
        rig.submit(client, 5, "write");
        assert_eq!(rig.new_attempts().len(), 1);
        rig.run_for(ms(30.0));
        rig.handle(Input::Closed(node, "reset".into()));
        rig.run_for(ms(wait));
        rig.node_up("n1", 11, ms(1e7 + 30.0 + wait));
        assert_eq!(rig.new_attempts().len(), usize::from(is_sent), "{wait}");
    }
}

/// Rule 6: a retry that was decided while its node's connection was down is sent later. It counts for the window in
/// which it is sent too.
#[test]
fn retries_that_wait_for_a_connection_count_when_they_are_sent() {
    let budget = ("legs most=3", "legs most=3 free=1 share=0 window=\"1s\"");
    let mut rig = Rig::new(&document(&[budget]), 0, START);
    let client = rig.client();
    let (n1, n2) = rig.nodes_up();
    rig.submit(client, 1, "read");
    rig.handle(Input::Closed(n1, "reset".into()));
    rig.run_for(ms(150.0));
    rig.node_up("n1", 11, ms(1e7 + 150.0));
    // At the other node two attempts fail, and each could be retried: one about a second after the first retry was
    // decided, the other later.
    for id in 10..200 {
        rig.submit_to(client, id, "read", "v", 2);
        answer_newest(&mut rig, n2, id);
        rig.run_for(ms(10.0));
    }
    let further: Vec<Instant> = rig
        .new_attempts()
        .into_iter()
        .filter(|sent| sent.attempt.number > 0)
        .map(|sent| sent.at)
        .collect();
    assert!(further.len() >= 2, "{further:?}");
    let near = further
        .windows(2)
        .find(|pair| pair[1] - pair[0] < ms(1000.0));
    assert_eq!(near, None, "at most one retry in any second: {further:?}");
}

/// Rule 7: tokens that an attempt took are missing from the bucket while the attempt waits for its connection.
/// Otherwise the bucket would fill up meanwhile, and the attempt would be sent in addition to a full burst.
#[test]
fn tokens_of_waiting_attempts_are_not_refilled_before_they_are_sent() {
    let mut rig = Rig::new(
        &document(&[(
            "volume \"w\" plan=\"held\"",
            "volume \"w\" plan=\"held\" { hosts \"h1\"; }",
        )]),
        0,
        START,
    );
    let client = rig.client();
    let (n1, n2) = rig.nodes_up();
    // The bucket of a host that has just started is empty, and fills from the first request on.
    rig.submit_to(client, 900, "read", "w", 2);
    rig.run_for(ms(100.0));
    let attempt = rig.attempts(n2).last().unwrap().attempt;
    rig.answer(n2, attempt, AttemptResult::Succeeded);
    // The requests of the other volume widen the window of the second node, and the bucket fills up.
    for id in 1000..1200 {
        rig.submit_to(client, id, "read", "v", 2);
        let attempt = rig.attempts(n2).last().unwrap().attempt;
        rig.run_for(ms(1.0));
        rig.answer(n2, attempt, AttemptResult::Succeeded);
    }
    rig.run_for(ms(4000.0));
    rig.new_attempts();
    rig.handle(Input::Closed(n1, "reset".into()));
    (1..=5).for_each(|id| rig.submit_to(client, id, "read", "w", 1));
    rig.run_for(ms(180.0));
    rig.node_up("n1", 11, ms(1e7 + 5000.0));
    for id in 10..90 {
        rig.submit_to(client, id, "read", "w", 2);
        for attempt in rig
            .attempts(n2)
            .into_iter()
            .filter(|attempt| attempt.idempotency_key == format!("m{id}"))
        {
            rig.answer(n2, attempt.attempt, AttemptResult::Succeeded);
        }
    }
    check_bucket(&mut rig, n2);
}

/// Checks that the attempts sent never overdraw the bucket of volume `w`.
fn check_bucket(rig: &mut Rig, n2: ConnectionId) {
    let rate = 40.0;
    let burst = 64.0;
    let mut level = burst;
    let mut level_at = START;
    let mut lowest = burst;
    let sent: Vec<_> = rig
        .new_attempts()
        .into_iter()
        .filter(|sent| sent.attempt.volume == "w")
        .collect();
    assert!(
        sent.len() > 60 && sent.iter().any(|sent| sent.link != n2),
        "{}",
        sent.len()
    );
    for SentAttempt { at, attempt, .. } in sent {
        level = f64::min(level + rate * (at - level_at).secs(), burst) - attempt.units;
        level_at = at;
        lowest = lowest.min(level);
    }
    assert!(lowest >= -1e-6, "bucket overdrawn: {lowest}");
}

/// Rule 4: attempts that were decided before a restart was known, and waited for the connection, are not all sent to
/// the cold node once it identifies itself. The scheduler decides on them again, with the node's start known.
#[test]
fn waiting_attempts_are_not_all_sent_to_a_cold_node() {
    for (incarnation, age, cold) in [(99, 0.0, true), (11, 1e7, false)] {
        let mut rig = Rig::new(&document(&[("open=50", "open=500")]), 0, START);
        let (client, n) = (rig.client(), rig.node_up("n1", 11, ms(1e7)));
        // The node's window grows while it is full and answers come soon.
        for id in 1000..1400 {
            rig.submit(client, id, "read");
        }
        for _ in 0..400 {
            let attempts = rig.new_attempts();
            attempts
                .into_iter()
                .for_each(|sent| rig.answer(n, sent.attempt.attempt, AttemptResult::Succeeded));
        }
        // The connection is lost without an attempt in flight, so the scheduler does not learn of it.
        rig.new_attempts();
        rig.handle(Input::Closed(n, "reset".into()));
        (1..=30).for_each(|id| rig.submit(client, id, ["read", "trip"][id as usize % 2]));
        rig.run_for(ms(50.0));
        rig.node_up("n1", incarnation, ms(age));
        let sent: f64 = rig
            .new_attempts()
            .iter()
            .map(|sent| sent.attempt.units)
            .sum();
        // The slow-start limit is six units over two hosts.
        assert_eq!(
            sent <= 6.0,
            cold,
            "{sent} units to incarnation {incarnation}"
        );
        rig.run_for(ms(1600.0));
        assert!((1..=30).all(|id| rig.outcomes(client, id).len() == 1));
        assert_nothing_held(&rig, "cold");
    }
}
