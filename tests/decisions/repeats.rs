//! Rule 2: until when a request with an idempotency key is sent again.

use crate::common::*;
use gullsail::api::{AttemptOutcome, Event, Idempotency, IdempotencyScope, Request, UpdateKind};

/// A host with one endpoint, whose requests with an idempotency key have this window and 1.5 s to their objective.
fn host_with_window(window: i64) -> Host {
    let mut config = config();
    config.request_classes[1].latency_objective = ms(1500);
    config.request_classes[1].idempotency = Idempotency::WithKey {
        scope: IdempotencyScope::Shard,
        window: ms(window),
    };
    let mut host = Host::new(config, vec![node(1, 0)], at(1000));
    host.deliver(Event::RequestArrived(Request {
        timeout: ms(1600),
        ..request(5, 1)
    }));
    host
}

/// Whether a request is repeated whose first attempt is lost after `lost_after` ms. If it is not, it has its answer
/// at once.
fn is_repeated(window: i64, lost_after: i64) -> bool {
    let mut host = host_with_window(window);
    host.advance(ms(lost_after));
    host.end_attempt(5, 0, 1, AttemptOutcome::ConnectionLost, lost_after);
    let is_repeated = host.attempt_nodes(5).len() == 2;
    let case = format!("window {window}, lost after {lost_after}");
    assert_eq!(host.answers(5).is_empty(), is_repeated, "{case}");
    is_repeated
}

/// Guards against a second run of a keyed request: the process is held up for up to 150 ms between reading its clock
/// and writing a repeat, and the endpoints have forgotten the key by then.
#[test]
fn repeats_are_sent_only_while_a_hold_up_keeps_them_within_the_window() {
    for (window, lost_after, expected) in [
        (1200, 20, true),
        (1200, 1049, true),
        (1200, 1050, false),
        (1200, 1170, false),
        (1200, 1210, false),
        (160, 5, true),
        (160, 20, false),
        (100, 5, false),
    ] {
        let case = format!("window {window}, lost after {lost_after}");
        assert_eq!(is_repeated(window, lost_after), expected, "{case}");
    }
}

/// The allowance for a held-up process costs the repeats of the last 150 ms of a window, and none where the window is
/// longer than the requests' time.
#[test]
fn windows_lose_only_the_repeats_of_their_last_150_ms() {
    for (window, repeats) in [(1200, 104), (5000, 145)] {
        let times = (10..1460).step_by(10);
        let repeated = times.filter(|lost_after| is_repeated(window, *lost_after));
        assert_eq!(repeated.count(), repeats, "window {window}");
    }
}

/// A repeat that waits for its endpoint is given up on when it may no longer be sent, not at its objective deadline.
#[test]
fn waiting_repeats_fail_when_their_window_ends() {
    let mut host = host_with_window(600);
    host.deliver_list(UpdateKind::Snapshot, draining_endpoints(0));
    host.advance(ms(20));
    host.end_attempt(5, 0, 1, AttemptOutcome::ConnectionLost, 20);
    host.advance(ms(420));
    assert!(host.answers(5).is_empty());
    host.advance(ms(40));
    assert_eq!(host.answers(5), ["failed"]);
}
