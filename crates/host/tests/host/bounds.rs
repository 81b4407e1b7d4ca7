//! Bounds of a host's core: bytes for nodes, places for clients, and a process that stood still for an hour.

use crate::request_stages::write;
use crate::rig::{Rig, document, ms};
use gullsail_host::core::{HeldLoad, Input};
use gullsail_protocol::{AttemptResult, Outcome, Withdraw};
use gullsail_scheduler_api::Instant;

const START: Instant = Instant::from_micros(1_000_000_000);

/// A node that reads nothing: what waits for it counts as held, it is let go as a client is, and all is as
/// before once it reads again.
#[test]
fn bytes_to_a_node_that_reads_nothing_are_bounded() {
    let deployment = document(&[(
        "open=50",
        "open=50 held-bytes=\"20000B\" body-bytes=\"10000B\"",
    )]);
    let mut rig = Rig::new(&deployment, 0, START);
    let (client, n) = (rig.client(), rig.node_up("n1", 11, ms(1e7)));
    rig.stuck.insert(n);
    // One for each object: attempts go out together.
    (0..4).for_each(|id| write(&mut rig, client, id, "v", 3000));
    rig.pass(ms(1600.0));
    let HeldLoad {
        open_requests: open,
        bytes: held,
        ..
    } = rig.core.load();
    assert_eq!(open, 0, "they were answered");
    assert!(
        held >= 3000 * 4,
        "what waits for the node is counted: {held}"
    );
    assert!(!rig.closed.contains(&n));
    rig.pass(ms(3000.0));
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

/// All places taken: who has been idle for as long as a stalled one may be gives way, whoever has something
/// open or spoke just now does not, and peers' and nodes' connections of our own take none.
#[test]
fn idle_clients_give_their_places_to_others() {
    let mut rig = Rig::new(&document(&[]), 0, START);
    rig.core.set_max_incoming_links(3);
    rig.nodes_up();
    let (idle, busy, later) = (rig.client(), rig.client(), rig.client());
    assert_eq!(rig.core.accept(rig.now), None, "all have just come");
    rig.pass(ms(2500.0));
    rig.frame(later, Withdraw { id: 1 });
    rig.submit(busy, 5, "read");
    rig.pass(ms(900.0));
    assert!(
        rig.core.accept(rig.now).is_some(),
        "the idle one goes after client-stall"
    );
    rig.settle();
    let closed = [idle, busy, later].map(|link| rig.closed.contains(&link));
    assert_eq!(closed, [true, false, false]);
    assert_eq!(
        rig.core.accept(rig.now),
        None,
        "one look each 0.1 s, and nobody else is idle"
    );
    assert_eq!(rig.core.counts().connections_refused, 2);
    rig.handle(Input::Closed(later, "gone".into()));
    assert!(rig.core.accept(rig.now).is_some(), "there is room again");
}

/// A process that stood still for an hour: all timers are due in one step. Nobody waits for an answer any
/// more, so none goes out, nor an attempt; nothing is kept, and what comes after is served.
#[test]
fn a_suspended_host_ends_what_it_held() {
    let mut rig = Rig::new(&document(&[]), 0, START);
    let (client, (n, _)) = (rig.client(), rig.nodes_up());
    (0..20).for_each(|id| rig.submit(client, id, ["read", "write", "trip"][id as usize % 3]));
    let attempts = rig.new_attempts().len();
    rig.now = rig.now + ms(3.6e6);
    rig.settle();
    assert!((0..20).all(|id| rig.outcomes(client, id).is_empty()));
    assert_eq!(rig.core.counts().late_answers_dropped, 20);
    assert!(rig.new_attempts().is_empty() && attempts > 0);
    rig.pass(ms(2000.0));
    assert_eq!(rig.core.load(), HeldLoad::default());
    let before = rig.attempts(n).len();
    rig.submit(client, 100, "read");
    let attempt = rig.attempts(n).last().unwrap().attempt;
    assert_eq!(rig.attempts(n).len(), before + 1);
    rig.answer(n, attempt, AttemptResult::Succeeded);
    assert_eq!(rig.outcomes(client, 100), [Outcome::Succeeded]);
}
