//! What clients are answered: requests, what is none, and clients that go or come at every stage.

use crate::rig::*;
use gullsail_platform::core::{Input, Output};

#[test]
fn invalid_requests_get_their_status_and_are_never_forwarded() {
    let sound = request_text("write", 7, 0);
    let but = |from: &str, to: &str| {
        assert!(sound.contains(from), "{from}");
        sound.replacen(from, to, 1)
    };
    let cases = [
        (but("/write/", "/other/"), "404"),
        (but("/00000003b4d60021", ""), "404"),
        (but("3b4d60021", "3b4d6002"), "404"),
        (but("7f3a9c21e0b4d655", "7f3a9c21e0b4d65x"), "404"),
        (but("?q=1", "/more"), "404"),
        (but("PUT", "GET"), "405"),
        (but("PUT", "POST"), "405"),
        (request_text("read", 7, 0).replacen("GET", "PUT", 1), "405"),
        (but("X-Qos: write", "X-Qos: read"), "400"),
        (but("X-Qos: write", "X-Qos: write\r\nX-Qos: write"), "400"),
        (but("X-Qos: write\r\n", ""), "400"),
        (but("X-Storage-Class: free", "X-Storage-Class: gold"), "400"),
        (but("X-Storage-Class: free\r\n", ""), "400"),
        (but("X-Trace-Id: 0000000000000007\r\n", ""), "400"),
        (but("X-Trace-Id: 0000000000000007", "X-Trace-Id: 7"), "400"),
        (
            but(
                "X-Trace-Id: 0000000000000007",
                "X-Trace-Id: 000000000000000g",
            ),
            "400",
        ),
        (
            but(
                "X-Trace-Id: 0000000000000007",
                "X-Trace-Id: 0000000000000007\r\nx-trace-id: 0000000000000008",
            ),
            "400",
        ),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: soon"), "400"),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: -5"), "400"),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: 1.5"), "400"),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: 0"), "400"),
        (
            but(
                "X-Expires-In-Ms: 1500",
                "X-Expires-In-Ms: 99999999999999999999",
            ),
            "400",
        ),
        (but("units=1", "units=0"), "400"),
        (but("units=1", "units=7"), "400"),
        (but("units=1", "units=nan"), "400"),
        (but("units=1", "units=1,units=1"), "400"),
        (but("shard=0", "shard=2"), "400"),
        (but("shard=0", "shard=-2"), "400"),
        (but("hosts=1", "hosts=0"), "400"),
        (but("hosts=1", "hosts=3"), "400"),
        (but("X-Extent: units=1,shard=0,hosts=1\r\n", ""), "400"),
        (but("Idempotency-Key: k1\r\n", ""), "400"),
        (but("Content-Length: 4\r\n\r\nbody", "\r\n"), "411"),
        (
            but(
                "Content-Length: 4",
                "Content-Length: 4\r\nTransfer-Encoding: chunked",
            ),
            "400",
        ),
        (but("Content-Length: 4", "Content-Length: -4"), "400"),
        (but("Content-Length: 4", "Content-Length: 60000000"), "413"),
        (but("Host: h", &format!("A: {}", "x".repeat(20_000))), "431"),
        (
            request_text("read", 7, 0).replacen("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx", 1),
            "400",
        ),
        ("\u{1}\u{2} noise\r\n\r\n".to_string(), "400"),
        ("GET /elsewhere HTTP/1.1\r\n\r\n".to_string(), "404"),
    ];
    for (text, status) in &cases {
        let mut rig = Rig::new();
        let client = rig.client_sending(text);
        assert_eq!(rig.statuses(client), [*status], "{text}");
        assert_eq!(
            (
                rig.metrics().requests_accepted,
                rig.connections_to(NODES[0].1).len()
            ),
            (0, 0),
            "{text}"
        );
        assert_eq!(
            rig.metrics().invalid_requests.values().sum::<u64>(),
            1,
            "{text}"
        );
    }
    let mut rig = Rig::new();
    rig.client_sending(&sound);
    assert_eq!(
        (
            rig.metrics().requests_accepted,
            rig.metrics().invalid_requests.len()
        ),
        (1, 0)
    );
}

#[test]
fn a_duplicate_trace_id_is_refused_and_the_first_request_goes_on() {
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
    // Once it is over, the id may come again.
    rig.receive(first, &request_text("read", 7, 0));
    assert_eq!(rig.metrics().requests_accepted, 2);
}

#[test]
fn a_disconnecting_client_affects_only_its_own_request() {
    // Before the first byte, within a head, within a body, while its attempt waits, while it is out, and
    // after the answer.
    let text = request_text("write", 7, 0);
    for (stage, sent_bytes) in [
        (0, 0),
        (1, 40),
        (2, text.len() - 2),
        (3, text.len()),
        (4, text.len()),
        (5, text.len()),
    ] {
        let mut rig = Rig::new();
        let client = rig.client_sending(&text[..sent_bytes]);
        let conn = if stage >= 4 {
            Some(rig.establish(0))
        } else {
            None
        };
        if let (5, Some(conn)) = (stage, conn) {
            rig.receive(conn, &response(200, "", "b"));
        }
        rig.input(Input::Closed(client));
        assert_eq!(
            rig.metrics().clients_disconnected,
            u64::from(stage == 3 || stage == 4),
            "{stage}"
        );
        if let (4, Some(conn)) = (stage, conn) {
            // Its attempt runs to its end, and the connection goes on.
            assert!(!rig.closed(conn) && rig.size("attempts") == 1);
            rig.receive(conn, &response(200, "", "b"));
            rig.client_sending(&request_text("read", 8, 0));
            assert_eq!(rig.sent(conn).len(), 2);
            rig.input(Input::Written(conn));
            rig.receive(conn, &response(200, "", "b"));
        }
        rig.advance_time(2000.0);
        assert_eq!(
            (
                rig.size("requests"),
                rig.size("attempts"),
                rig.size("held_bytes")
            ),
            (0, 0, 0),
            "{stage}"
        );
    }
}

#[test]
fn pipelined_messages_are_answered_in_order() {
    let mut rig = Rig::new();
    let client = rig.client_sending(
        &(request_text("read", 1, 0) + &request_text("read", 2, 0) + &request_text("read", 3, 0)),
    );
    assert_eq!(rig.metrics().requests_accepted, 1, "one at a time");
    for trace in 1..=3 {
        let conn = if trace == 1 {
            rig.establish(0)
        } else {
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

/// What comes beyond what may wait is read over, so that the end of the connection is seen whatever stands
/// before it.
#[test]
fn a_client_that_sends_too_much_ahead_gets_one_response_and_its_close_is_seen() {
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.establish(0);
    let ignored = |rig: &Rig| {
        rig.out
            .iter()
            .filter(|o| **o == Output::DiscardInput { conn: client })
            .count()
    };
    rig.receive(client, &request_text("read", 2, 0).repeat(20));
    assert_eq!(ignored(&rig), 0);
    let held = rig.size("held_bytes");
    (0..3).for_each(|_| rig.receive(client, &request_text("read", 2, 0).repeat(40)));
    assert_eq!(
        (
            ignored(&rig),
            rig.size("held_bytes"),
            rig.metrics().input_overflows
        ),
        (1, held, 1)
    );
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(
        (rig.statuses(client), rig.finished(client)),
        (vec!["200".to_string()], true)
    );
    assert_eq!(
        rig.metrics().requests_accepted,
        1,
        "what waited is not sent on"
    );
    // It ends meanwhile: no attempt goes out for it.
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("read", 1, 0));
    rig.receive(client, &request_text("read", 2, 0).repeat(60));
    rig.input(Input::Closed(client));
    let conn = rig.establish(0);
    assert_eq!(
        (
            rig.sent(conn).len(),
            rig.metrics().clients_disconnected,
            rig.size("requests")
        ),
        (0, 1, 0)
    );
}

/// An answer that its reader does not take holds up what waits behind it: nothing is begun for who may be
/// gone.
#[test]
fn the_next_message_is_read_when_the_response_is_written() {
    let mut rig = Rig::new();
    rig.stuck = true;
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
fn a_slow_message_gets_an_error_in_time() {
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
fn a_rejected_request_is_answered_at_once_with_retry_after() {
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
fn health_says_whether_the_endpoint_list_is_known() {
    let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
    for (waits, listed, status) in [
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
            out: Vec::new(),
            stuck: false,
        };
        rig.advance();
        if listed {
            rig.discovery_answers(&page(1, true, &[(0, "SERVING", 0.0)]));
        }
        rig.advance_time(waits);
        let client = rig.client_sending(health);
        assert_eq!(rig.statuses(client), [status], "{waits} {listed}");
    }
}
