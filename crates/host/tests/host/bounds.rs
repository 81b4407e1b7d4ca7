//! Bounds of a host's core: bytes for nodes, places for clients, and a process that stood still for an hour.

use crate::request_stages::write;
use crate::rig::*;
use gullsail_host::core::{HeldLoad, Input};
use gullsail_protocol::*;
use gullsail_scheduler_api::*;

const START: Instant = Instant::from_micros(1_000_000_000);

/// A node that reads nothing: what waits for it counts as held, it is let go as a client is, and all is as
/// before once it reads again.
#[test]
fn bytes_to_a_node_that_reads_nothing_are_bounded() {
    let d = document(&[(
        "open=50",
        "open=50 held-bytes=\"20000B\" body-bytes=\"10000B\"",
    )]);
    let mut r = Rig::new(&d, 0, START);
    let (c, n) = (r.client(), r.node_up("n1", 11, ms(1e7)));
    r.stuck.insert(n);
    // One for each object: attempts go out together.
    (0..4).for_each(|id| write(&mut r, c, id, "v", 3000));
    r.pass(ms(1600.0));
    let HeldLoad {
        open_requests: open,
        bytes: held,
        ..
    } = r.core.load();
    assert_eq!(open, 0, "they were answered");
    assert!(
        held >= 3000 * 4,
        "what waits for the node is counted: {held}"
    );
    assert!(!r.closed.contains(&n));
    r.pass(ms(3000.0));
    assert!(r.closed.contains(&n), "client-stall has passed");
    assert_eq!(r.core.load().bytes, 0);
    let n = r.node_up("n1", 11, ms(1e7 + 10_000.0));
    write(&mut r, c, 100, "v", 3000);
    r.answer(n, r.attempts(n)[0].attempt, AttemptResult::Succeeded);
    assert_eq!(r.outcomes(c, 100), [Outcome::Succeeded]);
    assert_eq!(r.core.counts().nodes_restarted, 0, "it is the same process");
}

/// All places taken: who has been idle for as long as a stalled one may be gives way, whoever has something
/// open or spoke just now does not, and peers' and nodes' connections of our own take none.
#[test]
fn idle_clients_give_their_places_to_others() {
    let mut r = Rig::new(&document(&[]), 0, START);
    r.core.set_max_incoming_links(3);
    r.nodes_up();
    let (idle, busy, later) = (r.client(), r.client(), r.client());
    assert_eq!(r.core.accept(r.now), None, "all have just come");
    r.pass(ms(2500.0));
    r.frame(later, Withdraw { id: 1 });
    r.submit(busy, 5, "read");
    r.pass(ms(900.0));
    assert!(
        r.core.accept(r.now).is_some(),
        "the idle one goes after client-stall"
    );
    r.settle();
    let closed = [idle, busy, later].map(|link| r.closed.contains(&link));
    assert_eq!(closed, [true, false, false]);
    assert_eq!(
        r.core.accept(r.now),
        None,
        "one look each 0.1 s, and nobody else is idle"
    );
    assert_eq!(r.core.counts().connections_refused, 2);
    r.handle(Input::Closed(later, "gone".into()));
    assert!(r.core.accept(r.now).is_some(), "there is room again");
}

/// A process that stood still for an hour: all timers are due in one step. Nobody waits for an answer any
/// more, so none goes out, nor an attempt; nothing is kept, and what comes after is served.
#[test]
fn a_suspended_host_ends_what_it_held() {
    let mut r = Rig::new(&document(&[]), 0, START);
    let (c, (n, _)) = (r.client(), r.nodes_up());
    (0..20).for_each(|id| r.submit(c, id, ["read", "write", "trip"][id as usize % 3]));
    let attempts = r.new_attempts().len();
    r.now = r.now + ms(3.6e6);
    r.settle();
    assert!((0..20).all(|id| r.outcomes(c, id).is_empty()));
    assert_eq!(r.core.counts().late_answers_dropped, 20);
    assert!(r.new_attempts().is_empty() && attempts > 0);
    r.pass(ms(2000.0));
    assert_eq!(r.core.load(), HeldLoad::default());
    let before = r.attempts(n).len();
    r.submit(c, 100, "read");
    let attempt = r.attempts(n).last().unwrap().attempt;
    assert_eq!(r.attempts(n).len(), before + 1);
    r.answer(n, attempt, AttemptResult::Succeeded);
    assert_eq!(r.outcomes(c, 100), [Outcome::Succeeded]);
}
