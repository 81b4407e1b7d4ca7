//! Attempts that wait for their node's connection: the rules hold for them when they are sent, or they are
//! not sent.

use crate::request_stages::{list_says, nothing_is_held};
use crate::rig::{Rig, SentAttempt, document, ms};
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::{AttemptResult, Hello, ListedState, Outcome, Role};
use gullsail_scheduler_api::Instant;

const START: Instant = Instant::from_micros(1_000_000_000);

/// Rule 3: an attempt that waits for its node's connection is not sent once the node is known to drain; what
/// may still run elsewhere does, and the rest is answered.
#[test]
fn what_waits_for_a_connection_does_not_go_to_a_node_that_drains() {
    for state in [ListedState::Draining, ListedState::Gone] {
        let mut rig = Rig::new(&document(&[]), 0, START);
        let client = rig.client();
        let n = rig.node_up("n1", 11, ms(1e7));
        rig.handle(Input::Closed(n, "reset".into()));
        rig.submit(client, 5, "trip");
        rig.submit(client, 6, "read");
        rig.pass(ms(25.0));
        let n = rig.connection_to("n1").unwrap();
        rig.handle(Input::Connected(n));
        list_says(&mut rig, state);
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
        rig.pass(ms(1600.0));
        assert_eq!(rig.new_attempts().len(), 0, "{state:?}");
        assert_eq!(
            (rig.outcomes(client, 5), rig.outcomes(client, 6)),
            (vec![Outcome::Rejected], vec![Outcome::Rejected])
        );
        nothing_is_held(&rig, "drained");
    }
}

/// The node answers the newest attempt of this request; the first attempts of two requests fail.
fn answer_newest(rig: &mut Rig, node: LinkId, id: u64) {
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

/// Rule 6: a further attempt that was decided while its node's connection was down goes out later; it counts
/// for the window in which it goes out too.
#[test]
fn attempts_that_waited_for_a_connection_count_when_they_go_out() {
    let budget = ("legs most=3", "legs most=3 free=1 share=0 window=\"1s\"");
    let mut rig = Rig::new(&document(&[budget]), 0, START);
    let client = rig.client();
    let (n1, n2) = rig.nodes_up();
    rig.submit(client, 1, "read");
    rig.handle(Input::Closed(n1, "reset".into()));
    rig.pass(ms(150.0));
    rig.node_up("n1", 11, ms(1e7 + 150.0));
    // At the other node two fail, each of which would have a further attempt: a second after the first was
    // decided, and later.
    for id in 10..200 {
        rig.submit_to(client, id, "read", "v", 2);
        answer_newest(&mut rig, n2, id);
        rig.pass(ms(10.0));
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
    assert_eq!(near, None, "one in any second: {further:?}");
}

/// Rule 7: what is taken for an attempt that waits for its connection is missing from the store until it goes
/// out: else the store would fill up behind it and all of it go out on top.
#[test]
fn tokens_of_attempts_that_wait_are_not_filled_up_behind_them() {
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
    // A newborn's bucket is empty, and fills from the first request on.
    rig.submit_to(client, 900, "read", "w", 2);
    rig.pass(ms(100.0));
    let attempt = rig.attempts(n2).last().unwrap().attempt;
    rig.answer(n2, attempt, AttemptResult::Succeeded);
    // The bucket is full, and the window of the other node wide.
    for id in 1000..1200 {
        rig.submit_to(client, id, "read", "v", 2);
        let attempt = rig.attempts(n2).last().unwrap().attempt;
        rig.pass(ms(1.0));
        rig.answer(n2, attempt, AttemptResult::Succeeded);
    }
    rig.pass(ms(4000.0));
    rig.new_attempts();
    rig.handle(Input::Closed(n1, "reset".into()));
    (1..=5).for_each(|id| rig.submit_to(client, id, "read", "w", 1));
    rig.pass(ms(180.0));
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
    check_store(&mut rig, n2);
}

/// The store for all hosts, by what went out and when, is never overdrawn.
fn check_store(rig: &mut Rig, n2: LinkId) {
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
    assert!(lowest >= -1e-6, "the store went to {lowest}");
}

/// Rule 4: attempts that were decided while nobody knew of a restart, and waited for the connection, do not
/// go out together to the cold node that greets; they are decided anew, now that its start is known.
#[test]
fn attempts_that_waited_are_not_poured_on_a_cold_node() {
    for (incarnation, age, cold) in [(99, 0.0, true), (11, 1e7, false)] {
        let mut rig = Rig::new(&document(&[("open=50", "open=500")]), 0, START);
        let (client, n) = (rig.client(), rig.node_up("n1", 11, ms(1e7)));
        // Its window grows while it is full and answers soon.
        for id in 1000..1400 {
            rig.submit(client, id, "read");
        }
        for _ in 0..400 {
            let attempts = rig.new_attempts();
            attempts
                .into_iter()
                .for_each(|sent| rig.answer(n, sent.attempt.attempt, AttemptResult::Succeeded));
        }
        // It breaks with no attempt out: the decisions hear nothing of it.
        rig.new_attempts();
        rig.handle(Input::Closed(n, "reset".into()));
        (1..=30).for_each(|id| rig.submit(client, id, ["read", "trip"][id as usize % 2]));
        rig.pass(ms(50.0));
        rig.node_up("n1", incarnation, ms(age));
        let sent: f64 = rig
            .new_attempts()
            .iter()
            .map(|sent| sent.attempt.units)
            .sum();
        // Six units are borne, for two hosts.
        assert_eq!(
            sent <= 6.0,
            cold,
            "{sent} units to incarnation {incarnation}"
        );
        rig.pass(ms(1600.0));
        assert!((1..=30).all(|id| rig.outcomes(client, id).len() == 1));
        nothing_is_held(&rig, "cold");
    }
}
