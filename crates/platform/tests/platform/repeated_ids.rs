//! Requests that come again with the id of one that is no longer open.

use crate::rig::{Rig, request_text, response};
use gullsail_platform::core::Input;

/// The trace id of the requests.
const ID: u64 = 7;
/// The most ids that a host keeps.
const MAX_IDS: usize = 16_384;

/// How the attempt of the first request ends after its client has left.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstEnd {
    Served,
    ConnectionLost,
    TimedOut,
    /// The node states that it did not run the request.
    Rejected,
}

impl FirstEnd {
    /// Sends a request of the class, whose client leaves at once; then its attempt ends.
    fn simulate(self, rig: &mut Rig, class: &str) {
        let client = rig.client_sending(&request_text(class, ID, 0));
        let conn = rig.establish(0);
        rig.input(Input::Closed(client));
        match self {
            FirstEnd::Served => rig.receive(conn, &response(200, "", "b")),
            FirstEnd::ConnectionLost => rig.input(Input::Closed(conn)),
            FirstEnd::TimedOut => rig.advance_time(700.0),
            FirstEnd::Rejected => rig.receive(conn, &response(503, "X-Never-Ran: 1\r\n", "")),
        }
        assert_eq!(rig.size("requests"), 0, "{self:?}");
    }
}

/// Sends a request with the same id from a new client. Returns whether it is refused with 409; otherwise it is open.
fn is_refused(rig: &mut Rig, class: &str) -> bool {
    let client = rig.client_sending(&request_text(class, ID, 0));
    match rig.statuses(client).as_slice() {
        [] => false,
        [status] => status == "409",
        more => panic!("{more:?}"),
    }
}

/// Guards against a second run: a client leaves while its request runs, and the request comes again with the same id.
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    for (class, end, refused) in [
        ("once", FirstEnd::Served, true),
        ("once", FirstEnd::ConnectionLost, true),
        ("once", FirstEnd::TimedOut, true),
        ("once", FirstEnd::Rejected, false),
        // Its nodes recognise the key.
        ("write", FirstEnd::Served, false),
        ("read", FirstEnd::Served, false),
    ] {
        let mut rig = Rig::new();
        end.simulate(&mut rig, class);
        assert_eq!(is_refused(&mut rig, class), refused, "{class}, {end:?}");
    }
}

/// The same after the first answer was given: its client has no reason to send it again.
#[test]
fn an_id_that_comes_again_after_its_answer_does_not_run_twice() {
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("once", ID, 0));
    let conn = rig.establish(0);
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(client), ["200"]);
    assert!(is_refused(&mut rig, "once"));
}

/// A request with an idempotency key is accepted again only if all of its 1.5 s lie within the window of 5 s, less the
/// 150 ms for which the process may be held up.
#[test]
fn a_key_that_its_nodes_forget_does_not_run_twice() {
    for (later, refused) in [(3200.0, false), (3400.0, true), (5100.0, true)] {
        let mut rig = Rig::new();
        FirstEnd::Served.simulate(&mut rig, "write");
        rig.advance_time(later);
        assert_eq!(is_refused(&mut rig, "write"), refused, "{later}");
    }
}

#[test]
fn ids_are_kept_for_a_minute() {
    let mut rig = Rig::new();
    FirstEnd::Served.simulate(&mut rig, "once");
    rig.advance_time(59_000.0);
    assert!(is_refused(&mut rig, "once"));
    rig.advance_time(1_100.0);
    assert!(!is_refused(&mut rig, "once"));
}

#[test]
fn ids_are_kept_in_a_bounded_number() {
    let mut rig = Rig::new();
    for trace in 0..MAX_IDS as u64 + 1000 {
        let client = rig.client_sending(&request_text("once", 1000 + trace, 0));
        let conn = rig.establish(0);
        rig.receive(conn, &response(200, "Connection: close\r\n", "b"));
        assert_eq!(rig.statuses(client), ["200"], "{trace}");
        rig.input(Input::Closed(client));
        rig.outputs.clear();
        rig.advance_time(1.0);
    }
    assert_eq!(rig.size("executed_ids"), MAX_IDS);
}
