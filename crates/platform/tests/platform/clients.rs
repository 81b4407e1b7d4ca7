//! Responses to requests and to invalid messages, pipelined requests, and clients that disconnect.

use crate::rig::{DISCOVERY, NODES, Rig, page, request_text, response, settings_document};
use gullsail_platform::core::{ConnectionId, Input, Output};

/// A replacement that makes a valid write request invalid, and the expected status of the response.
struct Change {
    from: &'static str,
    to: &'static str,
    status: &'static str,
}

impl Change {
    const fn new(from: &'static str, to: &'static str, status: &'static str) -> Change {
        Change { from, to, status }
    }
}

const CHANGES: [Change; 35] = [
    Change::new("/write/", "/other/", "404"),
    Change::new("/00000003b4d60021", "", "404"),
    Change::new("3b4d60021", "3b4d6002", "404"),
    Change::new("7f3a9c21e0b4d655", "7f3a9c21e0b4d65x", "404"),
    Change::new("?q=1", "/more", "404"),
    Change::new("PUT", "GET", "405"),
    Change::new("PUT", "POST", "405"),
    Change::new("X-Qos: write", "X-Qos: read", "400"),
    Change::new("X-Qos: write", "X-Qos: write\r\nX-Qos: write", "400"),
    Change::new("X-Qos: write\r\n", "", "400"),
    Change::new("X-Storage-Class: free", "X-Storage-Class: gold", "400"),
    Change::new("X-Storage-Class: free\r\n", "", "400"),
    Change::new("X-Trace-Id: 0000000000000007\r\n", "", "400"),
    Change::new("X-Trace-Id: 0000000000000007", "X-Trace-Id: 7", "400"),
    Change::new(
        "X-Trace-Id: 0000000000000007",
        "X-Trace-Id: 000000000000000g",
        "400",
    ),
    Change::new(
        "X-Trace-Id: 0000000000000007",
        "X-Trace-Id: 0000000000000007\r\nx-trace-id: 0000000000000008",
        "400",
    ),
    Change::new("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: soon", "400"),
    Change::new("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: -5", "400"),
    Change::new("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: 1.5", "400"),
    Change::new("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: 0", "400"),
    Change::new(
        "X-Expires-In-Ms: 1500",
        "X-Expires-In-Ms: 99999999999999999999",
        "400",
    ),
    Change::new("units=1", "units=0", "400"),
    Change::new("units=1", "units=7", "400"),
    Change::new("units=1", "units=nan", "400"),
    Change::new("units=1", "units=1,units=1", "400"),
    Change::new("shard=0", "shard=2", "400"),
    Change::new("shard=0", "shard=-2", "400"),
    Change::new("hosts=1", "hosts=0", "400"),
    Change::new("hosts=1", "hosts=3", "400"),
    Change::new("X-Extent: units=1,shard=0,hosts=1\r\n", "", "400"),
    Change::new("Idempotency-Key: k1\r\n", "", "400"),
    Change::new("Content-Length: 4\r\n\r\nbody", "\r\n", "411"),
    Change::new(
        "Content-Length: 4",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "400",
    ),
    Change::new("Content-Length: 4", "Content-Length: -4", "400"),
    Change::new("Content-Length: 4", "Content-Length: 60000000", "413"),
];

fn assert_refused(text: &str, status: &str) {
    let mut rig = Rig::new();
    let client = rig.client_sending(text);
    assert_eq!(rig.statuses(client), [status], "{text}");
    assert_eq!(rig.metrics().requests_accepted, 0, "{text}");
    assert_eq!(rig.connections_to(NODES[0].1).len(), 0, "{text}");
    let refused = rig.metrics().invalid_requests.values().sum::<u64>();
    assert_eq!(refused, 1, "{text}");
}

#[test]
fn invalid_requests_get_their_status_and_are_never_forwarded() {
    let valid = request_text("write", 7, 0);
    for Change { from, to, status } in CHANGES {
        assert!(valid.contains(from), "{from}");
        assert_refused(&valid.replacen(from, to, 1), status);
    }
    let long_head = valid.replacen("Host: h", &format!("A: {}", "x".repeat(20_000)), 1);
    assert_refused(&long_head, "431");
    let read = request_text("read", 7, 0);
    assert_refused(&read.replacen("GET", "PUT", 1), "405");
    let read_with_body = read.replacen("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx", 1);
    assert_refused(&read_with_body, "400");
    assert_refused("\u{1}\u{2} noise\r\n\r\n", "400");
    assert_refused("GET /elsewhere HTTP/1.1\r\n\r\n", "404");

    let mut rig = Rig::new();
    rig.client_sending(&valid);
    assert_eq!(rig.metrics().requests_accepted, 1);
    assert_eq!(rig.metrics().invalid_requests.len(), 0);
}

#[test]
fn a_duplicate_trace_id_is_refused_and_the_first_request_is_served() {
    let mut rig = Rig::new();
    let first = rig.client_sending(&request_text("read", 7, 0));
    let conn = rig.establish(0);
    let second = rig.client_sending(&request_text("read", 7, 0));
    assert_eq!(
        (rig.statuses(second), rig.statuses(first).len()),
        (vec!["409".to_string()], 0)
    );
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(first), ["200"]);
    // After the first request is answered, the id may be used again.
    rig.receive(first, &request_text("read", 7, 0));
    assert_eq!(rig.metrics().requests_accepted, 2);
}

/// The stage of a client's request at which the client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Connected,
    WithinHead,
    WithinBody,
    AttemptWaits,
    AttemptInFlight,
    Answered,
}

impl Stage {
    /// Returns a client at this stage, and the connection on which its attempt was sent, if any.
    fn simulate(self, rig: &mut Rig) -> (ConnectionId, Option<ConnectionId>) {
        let text = request_text("write", 7, 0);
        let sent_bytes = match self {
            Stage::Connected => 0,
            Stage::WithinHead => 40,
            Stage::WithinBody => text.len() - 2,
            Stage::AttemptWaits | Stage::AttemptInFlight | Stage::Answered => text.len(),
        };
        let client = rig.client_sending(&text[..sent_bytes]);
        let in_flight = matches!(self, Stage::AttemptInFlight | Stage::Answered);
        let conn = in_flight.then(|| rig.establish(0));
        if let (Stage::Answered, Some(conn)) = (self, conn) {
            rig.receive(conn, &response(200, "", "b"));
        }
        (client, conn)
    }
}

#[test]
fn a_disconnecting_client_affects_only_its_own_request() {
    for stage in [
        Stage::Connected,
        Stage::WithinHead,
        Stage::WithinBody,
        Stage::AttemptWaits,
        Stage::AttemptInFlight,
        Stage::Answered,
    ] {
        let mut rig = Rig::new();
        let (client, conn) = stage.simulate(&mut rig);
        rig.input(Input::Closed(client));
        let open = matches!(stage, Stage::AttemptWaits | Stage::AttemptInFlight);
        let disconnected = rig.metrics().clients_disconnected;
        assert_eq!(disconnected, u64::from(open), "{stage:?}");
        if let (Stage::AttemptInFlight, Some(conn)) = (stage, conn) {
            // The attempt is not cancelled, and its connection is reused.
            assert!(!rig.closed(conn) && rig.size("attempts") == 1);
            rig.receive(conn, &response(200, "", "b"));
            rig.pass_reuse_delay();
            rig.client_sending(&request_text("read", 8, 0));
            assert_eq!(rig.sent(conn).len(), 2);
            rig.input(Input::Written(conn));
            rig.receive(conn, &response(200, "", "b"));
        }
        rig.advance_time(2000.0);
        let held = ["requests", "attempts", "held_bytes"].map(|name| rig.size(name));
        assert_eq!(held, [0, 0, 0], "{stage:?}");
    }
}

#[test]
fn pipelined_messages_are_answered_in_order() {
    let mut rig = Rig::new();
    let client = rig.client_sending(
        &(request_text("read", 1, 0) + &request_text("read", 2, 0) + &request_text("read", 3, 0)),
    );
    assert_eq!(
        rig.metrics().requests_accepted,
        1,
        "the host serves one request at a time"
    );
    for trace in 1..=3 {
        let conn = if trace == 1 {
            rig.establish(0)
        } else {
            rig.pass_reuse_delay();
            rig.connections_to(NODES[0].1)[0]
        };
        rig.input(Input::Written(conn));
        assert!(
            rig.sent(conn)
                .last()
                .unwrap()
                .contains(&format!("X-Trace-Id: {trace:016x}"))
        );
        rig.receive(conn, &response(200, "", "b"));
    }
    assert_eq!(rig.statuses(client), ["200", "200", "200"]);
}

/// How often the input of a connection was ordered to be discarded.
fn discard_orders(rig: &Rig, client: ConnectionId) -> usize {
    rig.outputs
        .iter()
        .filter(|output| **output == Output::DiscardInput { conn: client })
        .count()
}

/// Messages beyond the buffer are counted but not stored, so that the host detects the end of the connection behind
/// them. Each of them is refused in order, and the connection stays usable.
#[test]
fn each_request_pipelined_beyond_the_buffer_is_refused() {
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.establish(0);
    rig.receive(client, &request_text("read", 2, 0).repeat(20));
    let held = rig.size("held_bytes");
    (0..3).for_each(|_| rig.receive(client, &request_text("read", 2, 0).repeat(40)));
    assert!(rig.size("held_bytes") < held);
    assert_eq!(
        (discard_orders(&rig, client), rig.metrics().input_overflows),
        (0, 1)
    );
    rig.receive(conn, &response(200, "", "b"));
    let text = rig.responses(client).concat();
    assert!(text.starts_with("HTTP/1.1 200"));
    assert_eq!(text.matches("HTTP/1.1 503").count(), 140);
    assert_eq!(text.matches("X-Never-Ran: 1").count(), 140);
    assert_eq!(
        rig.metrics().requests_accepted,
        1,
        "refused requests are not passed to the scheduler"
    );
    assert!(!rig.finished(client));
    rig.receive(client, &request_text("read", 3, 0));
    assert_eq!(rig.metrics().requests_accepted, 2);
}

/// Behind an open request a client sends too much, or bytes that are not HTTP. The complete messages before that are
/// refused, further input is discarded, and the last response announces the close.
#[test]
fn pipelined_input_beyond_the_bound_is_discarded_and_ends_the_connection() {
    let noise = "x".repeat(20 << 10);
    let messages = request_text("read", 3, 0).repeat(1500);
    for (flood, least_refused) in [(noise, 20), (messages, 1000)] {
        let mut rig = Rig::new();
        let client = rig.client_sending(&request_text("read", 1, 0));
        let conn = rig.establish(0);
        rig.receive(client, &request_text("read", 2, 0).repeat(20));
        for piece in flood.as_bytes().chunks(8 << 10) {
            rig.receive(client, std::str::from_utf8(piece).unwrap());
        }
        assert_eq!(discard_orders(&rig, client), 1);
        assert!(rig.size("held_bytes") < 16 << 10);
        rig.receive(conn, &response(200, "", "b"));
        let text = rig.responses(client).concat();
        assert!(text.matches("HTTP/1.1 503").count() >= least_refused);
        assert_eq!(text.matches("Connection: close").count(), 1);
        assert!(rig.finished(client));
    }
}

#[test]
fn a_disconnect_behind_pipelined_input_is_detected_and_no_attempt_is_sent() {
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("read", 1, 0));
    rig.receive(client, &request_text("read", 2, 0).repeat(60));
    rig.input(Input::Closed(client));
    let conn = rig.establish(0);
    assert_eq!(rig.sent(conn).len(), 0);
    assert_eq!(rig.metrics().clients_disconnected, 1);
    assert_eq!(rig.size("requests"), 0);
}

/// While a client does not read its response, its next message is not served: the client may have disconnected.
#[test]
fn a_pipelined_request_is_served_after_the_previous_response_is_written() {
    let mut rig = Rig::new();
    rig.withhold_writes = true;
    let client = rig.client_sending(&(request_text("read", 1, 0) + &request_text("read", 2, 0)));
    let conn = rig.establish(0);
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(
        (rig.statuses(client).len(), rig.metrics().requests_accepted),
        (1, 1)
    );
    rig.advance_time(1000.0);
    assert_eq!(rig.metrics().requests_accepted, 1);
    rig.input(Input::Written(client));
    assert_eq!(rig.metrics().requests_accepted, 2);
}

#[test]
fn an_incomplete_message_is_refused_with_408_within_three_seconds() {
    for sent_bytes in ["", "GET", &request_text("write", 7, 0)[..200]] {
        let mut rig = Rig::new();
        let client = rig.client();
        if !sent_bytes.is_empty() {
            rig.receive(client, sent_bytes);
        }
        rig.advance_time(2000.0);
        assert!(rig.statuses(client).is_empty());
        rig.advance_time(700.0);
        assert_eq!(
            (rig.statuses(client), rig.finished(client)),
            (vec!["408".to_string()], true),
            "{sent_bytes}"
        );
    }
}

#[test]
fn a_request_without_a_ready_node_is_rejected_with_retry_after_at_its_objective() {
    let mut rig = Rig::new();
    rig.discovery_answers(&page(2, true, &[(1, "SERVING", 0.0)]));
    let client = rig.client_sending(&request_text("read", 7, 0));
    rig.advance_time(580.0);
    assert!(rig.statuses(client).is_empty());
    rig.advance_time(20.0);
    assert_eq!(rig.statuses(client), ["503"]);
    assert!(
        rig.responses(client)[0].contains("Retry-After: 0.250\r\n"),
        "{:?}",
        rig.responses(client)
    );
}

#[test]
fn health_checks_succeed_after_the_first_endpoint_list_or_the_ready_timeout() {
    let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
    for (wait_ms, listed, status) in [
        (0.0, false, "500"),
        (500.0, true, "200"),
        (1100.0, false, "200"),
    ] {
        let document = gullsail_platform::settings_document::SettingsDocument::parse(
            "d",
            &settings_document(256, 32, DISCOVERY),
        )
        .unwrap();
        let now = gullsail_scheduler_api::Instant::from_millis(1e9);
        let core = gullsail_platform::core::Core::new(document, 4096, now);
        let mut rig = Rig {
            core,
            now,
            outputs: Vec::new(),
            withhold_writes: false,
        };
        rig.advance();
        if listed {
            rig.discovery_answers(&page(1, true, &[(0, "SERVING", 0.0)]));
        }
        rig.advance_time(wait_ms);
        let client = rig.client_sending(health);
        assert_eq!(rig.statuses(client), [status], "{wait_ms} {listed}");
    }
}

/// The deadline header of a message to a node, in ms.
fn stated_deadline(text: &str) -> f64 {
    let (_, rest) = text.split_once("X-Expires-In-Ms: ").unwrap();
    rest.lines().next().unwrap().parse().unwrap()
}

/// Guards against a deadline that counts only from the end of a pipelined request's wait: the node would be given more
/// time than the client has left, and the answer could come after the client's deadline.
#[test]
fn the_wait_of_a_pipelined_request_reduces_its_deadline() {
    let document = settings_document(1024, 192, DISCOVERY)
        .replace("\"objective\":600.0", "\"objective\":1500.0");
    let mut rig = Rig::with_settings(&document);
    let client = rig.client_sending(&request_text("read", 1, 0));
    let mut conn = rig.establish(0);
    rig.advance_time(100.0);
    rig.receive(client, &request_text("read", 2, 0));
    rig.advance_time(200.0);
    rig.receive(client, &request_text("read", 3, 0));
    rig.advance_time(200.0);
    // The second request has waited for 400 ms, the third for 200 ms. The host reserves a few ticks for the answer.
    for longest in [1100.0, 1300.0] {
        rig.receive(conn, &response(200, "", "b"));
        conn = rig.establish(0);
        let stated = stated_deadline(rig.sent(conn).last().unwrap());
        assert!(
            (longest - 20.0..=longest).contains(&stated),
            "{longest}: {stated}"
        );
    }
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(client), ["200"; 3]);
}

/// A request whose deadline passes while it waits behind another one is rejected at once and never sent to a node.
#[test]
fn a_pipelined_request_whose_deadline_has_passed_is_rejected() {
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("once", 1, 0));
    let conn = rig.establish(0);
    let short = request_text("read", 2, 0).replace("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: 300");
    rig.receive(client, &short);
    rig.advance_time(400.0);
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(client), ["200", "503"]);
    assert_eq!(rig.sent(conn).len(), 1);
}
