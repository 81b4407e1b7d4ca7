//! Attempts that wait for their node's connection: the rules hold for them when they are sent, or they are
//! not sent.

use crate::request_stages::{list_says, nothing_is_held};
use crate::rig::*;
use gullsail_host::core::Input;
use gullsail_protocol::*;
use gullsail_scheduler_api::*;

const START: Instant = Instant::from_micros(1_000_000_000);

/// Rule 3: an attempt that waits for its node's connection is not sent once the node is known to drain; what
/// may still run elsewhere does, and the rest is answered.
#[test]
fn what_waits_for_a_connection_does_not_go_to_a_node_that_drains() {
    for state in [ListedState::Draining, ListedState::Gone] {
        let mut r = Rig::new(&document(&[]), 0, START);
        let c = r.client();
        let n = r.node_up("n1", 11, ms(1e7));
        r.handle(Input::Closed(n, "reset".into()));
        r.submit(c, 5, "trip");
        r.submit(c, 6, "read");
        r.pass(ms(25.0));
        let n = r.connection_to("n1").unwrap();
        r.handle(Input::Connected(n));
        list_says(&mut r, state);
        let hello = Hello {
            name: "n1".into(),
            incarnation: 11,
            age_us: 10_000_025_000,
            ..Hello::default()
        };
        r.frame(
            n,
            Hello {
                role: Role::Node as i32,
                shard_plus_one: 2,
                ..hello
            },
        );
        r.pass(ms(1600.0));
        assert_eq!(r.new_attempts().len(), 0, "{state:?}");
        assert_eq!(
            (r.outcomes(c, 5), r.outcomes(c, 6)),
            (vec![Outcome::Rejected], vec![Outcome::Rejected])
        );
        nothing_is_held(&r, "drained");
    }
}

/// Rule 6: a further attempt that was decided while its node's connection was down goes out later; it counts
/// for the window in which it goes out too.
#[test]
fn attempts_that_waited_for_a_connection_count_when_they_go_out() {
    let budget = ("legs most=3", "legs most=3 free=1 share=0 window=\"1s\"");
    let mut r = Rig::new(&document(&[budget]), 0, START);
    let c = r.client();
    let (n1, n2) = r.nodes_up();
    r.submit(c, 1, "read");
    r.handle(Input::Closed(n1, "reset".into()));
    r.pass(ms(150.0));
    r.node_up("n1", 11, ms(1e7 + 150.0));
    // At the other node two fail, each of which would have a further attempt: a second after the first was
    // decided, and later.
    for id in 10..200 {
        r.submit_to(c, id, "read", "v", 2);
        if let Some(l) = r.attempts(n2).last().filter(|l| l.mark == format!("m{id}")) {
            let failed = [101, 160].contains(&id) && l.number == 0;
            r.answer(
                n2,
                l.attempt,
                if failed {
                    AttemptResult::Failed
                } else {
                    AttemptResult::Succeeded
                },
            );
        }
        if let Some(l) = r
            .attempts(n2)
            .last()
            .filter(|l| l.number > 0 && l.mark == format!("m{id}"))
        {
            r.answer(n2, l.attempt, AttemptResult::Succeeded);
        }
        r.pass(ms(10.0));
    }
    let further: Vec<Instant> = r
        .new_attempts()
        .into_iter()
        .filter(|s| s.attempt.number > 0)
        .map(|s| s.at)
        .collect();
    assert!(further.len() >= 2, "{further:?}");
    let near = further.windows(2).find(|w| w[1] - w[0] < ms(1000.0));
    assert_eq!(near, None, "one in any second: {further:?}");
}

/// Rule 7: what is taken for an attempt that waits for its connection is missing from the store until it goes
/// out: else the store would fill up behind it and all of it go out on top.
#[test]
fn tokens_of_attempts_that_wait_are_not_filled_up_behind_them() {
    let (rate, burst) = (40.0, 64.0);
    let mut r = Rig::new(
        &document(&[(
            "volume \"w\" plan=\"held\"",
            "volume \"w\" plan=\"held\" { hosts \"h1\"; }",
        )]),
        0,
        START,
    );
    let c = r.client();
    let (n1, n2) = r.nodes_up();
    // A newborn's bucket is empty, and fills from the first request on.
    r.submit_to(c, 900, "read", "w", 2);
    r.pass(ms(100.0));
    let attempt = r.attempts(n2).last().unwrap().attempt;
    r.answer(n2, attempt, AttemptResult::Succeeded);
    // The bucket is full, and the window of the other node wide.
    for id in 1000..1200 {
        r.submit_to(c, id, "read", "v", 2);
        let attempt = r.attempts(n2).last().unwrap().attempt;
        r.pass(ms(1.0));
        r.answer(n2, attempt, AttemptResult::Succeeded);
    }
    r.pass(ms(4000.0));
    r.new_attempts();
    r.handle(Input::Closed(n1, "reset".into()));
    (1..=5).for_each(|id| r.submit_to(c, id, "read", "w", 1));
    r.pass(ms(180.0));
    r.node_up("n1", 11, ms(1e7 + 5000.0));
    for id in 10..90 {
        r.submit_to(c, id, "read", "w", 2);
        for l in r
            .attempts(n2)
            .into_iter()
            .filter(|l| l.mark == format!("m{id}"))
        {
            r.answer(n2, l.attempt, AttemptResult::Succeeded);
        }
    }
    // The store for all hosts, by what went out and when.
    let mut level = burst;
    let mut level_at = START;
    let mut lowest = burst;
    let sent: Vec<_> = r
        .new_attempts()
        .into_iter()
        .filter(|s| s.attempt.volume == "w")
        .collect();
    assert!(
        sent.len() > 60 && sent.iter().any(|s| s.link != n2),
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
        let mut r = Rig::new(&document(&[("open=50", "open=500")]), 0, START);
        let (c, n) = (r.client(), r.node_up("n1", 11, ms(1e7)));
        // Its window grows while it is full and answers soon.
        for id in 1000..1400 {
            r.submit(c, id, "read");
        }
        for _ in 0..400 {
            let attempts = r.new_attempts();
            attempts
                .into_iter()
                .for_each(|s| r.answer(n, s.attempt.attempt, AttemptResult::Succeeded));
        }
        // It breaks with no attempt out: the decisions hear nothing of it.
        r.new_attempts();
        r.handle(Input::Closed(n, "reset".into()));
        (1..=30).for_each(|id| r.submit(c, id, ["read", "trip"][id as usize % 2]));
        r.pass(ms(50.0));
        r.node_up("n1", incarnation, ms(age));
        let sent: f64 = r.new_attempts().iter().map(|s| s.attempt.units).sum();
        // Six units are borne, for two hosts.
        assert_eq!(
            sent <= 6.0,
            cold,
            "{sent} units to incarnation {incarnation}"
        );
        r.pass(ms(1600.0));
        assert!((1..=30).all(|id| r.outcomes(c, id).len() == 1));
        nothing_is_held(&r, "cold");
    }
}
