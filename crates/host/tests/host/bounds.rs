//! Limits of a host's core: unsent bytes to nodes, connections of clients, and a process that is stalled for an hour.

use crate::request_stages::write;
use crate::rig::{Rig, document, ms};
use gullsail_host::core::{HeldLoad, Input};
use gullsail_protocol::{AttemptResult, Outcome, Withdraw};
use gullsail_scheduler_api::Instant;

const START: Instant = Instant::from_micros(1_000_000_000);

/// Unsent bytes to a node that reads nothing count as held, and its connection is closed after `client-stall` like
/// that of a client. The node is used again once it has reconnected.
#[test]
fn a_node_that_reads_nothing_is_disconnected() {
    let deployment = document(&[(
        "open=50",
        "open=50 held-bytes=\"20000B\" body-bytes=\"10000B\"",
    )]);
    let mut rig = Rig::new(&deployment, 0, START);
    let (client, n) = (rig.client(), rig.node_up("n1", 11, ms(1e7)));
    rig.unread.insert(n);
    // The writes are for different objects, so their attempts are sent together.
    (0..4).for_each(|id| write(&mut rig, client, id, "v", 3000));
    rig.run_for(ms(1600.0));
    let HeldLoad {
        open_requests: open,
        bytes: held,
        ..
    } = rig.core.load();
    assert_eq!(open, 0, "all are answered");
    assert!(
        held >= 3000 * 4,
        "unsent bytes to the node are counted: {held}"
    );
    assert!(!rig.closed.contains(&n));
    rig.run_for(ms(3000.0));
    assert!(rig.closed.contains(&n), "client-stall has passed");
    assert_eq!(rig.core.load().bytes, 0);
    let n = rig.node_up("n1", 11, ms(1e7 + 10_000.0));
    write(&mut rig, client, 100, "v", 3000);
    rig.answer(n, rig.attempts(n)[0].attempt, AttemptResult::Succeeded);
    assert_eq!(rig.outcomes(client, 100), [Outcome::Succeeded]);
    assert_eq!(
        rig.core.counts().nodes_restarted,
        0,
        "it is the same process"
    );
}

/// At the connection limit, a client that has been idle for longer than `client-stall` is evicted. A client with an
/// open request, or one that has just sent a frame, is not. Connections that the host opens do not count.
#[test]
fn an_idle_client_is_evicted_at_the_connection_limit() {
    let mut rig = Rig::new(&document(&[]), 0, START);
    rig.core.set_max_incoming_connections(3);
    rig.nodes_up();
    let (idle, busy, later) = (rig.client(), rig.client(), rig.client());
    assert_eq!(rig.core.accept(rig.now), None, "no client is idle");
    rig.run_for(ms(2500.0));
    rig.frame(later, Withdraw { id: 1 });
    rig.submit(busy, 5, "read");
    rig.run_for(ms(900.0));
    assert!(
        rig.core.accept(rig.now).is_some(),
        "the idle client is evicted after client-stall"
    );
    rig.run_until_idle();
    let closed = [idle, busy, later].map(|link| rig.closed.contains(&link));
    assert_eq!(closed, [true, false, false]);
    assert_eq!(
        rig.core.accept(rig.now),
        None,
        "one search each 0.1 s, and no other client is idle"
    );
    assert_eq!(rig.core.counts().connections_refused, 2);
    rig.handle(Input::Closed(later, "gone".into()));
    assert!(rig.core.accept(rig.now).is_some(), "there is room again");
}

/// After a stall of an hour, all timers are due in one step. Clients no longer wait, so neither answers nor attempts
/// are sent. Everything is released, and later requests are served.
#[test]
fn a_host_suspended_for_an_hour_drops_late_answers_and_serves_again() {
    let mut rig = Rig::new(&document(&[]), 0, START);
    let (client, (n, _)) = (rig.client(), rig.nodes_up());
    (0..20).for_each(|id| rig.submit(client, id, ["read", "write", "trip"][id as usize % 3]));
    let attempts = rig.new_attempts().len();
    rig.now = rig.now + ms(3.6e6);
    rig.run_until_idle();
    assert!((0..20).all(|id| rig.outcomes(client, id).is_empty()));
    assert_eq!(rig.core.counts().late_answers_dropped, 20);
    assert!(rig.new_attempts().is_empty() && attempts > 0);
    rig.run_for(ms(2000.0));
    assert_eq!(rig.core.load(), HeldLoad::default());
    let before = rig.attempts(n).len();
    rig.submit(client, 100, "read");
    let attempt = rig.attempts(n).last().unwrap().attempt;
    assert_eq!(rig.attempts(n).len(), before + 1);
    rig.answer(n, attempt, AttemptResult::Succeeded);
    assert_eq!(rig.outcomes(client, 100), [Outcome::Succeeded]);
}
