//! The outcomes of attempts, and the connections on which they are sent.

use crate::rig::{NODES, PEER, Rig, page, request_text, response};
use gullsail_platform::core::{Input, Output};

/// The header with which a node states that it did not run the request.
const NEVER_RAN: &str = "X-Never-Ran: 1\r\n";

/// What happens on the connection after the message of an attempt is written.
enum NodeBehaviour {
    Responds(String),
    Closes,
    Nothing,
}

/// How a node behaves towards an attempt of a request that is not idempotent, and the expected results.
struct Outcome {
    behaviour: NodeBehaviour,
    /// The key under which the metrics count the attempt.
    outcome: &'static str,
    /// The status of the response to the client.
    status: &'static str,
    /// Whether the next attempt is sent on the same connection.
    reusable: bool,
}

impl Outcome {
    fn check(self) {
        let mut rig = Rig::new();
        let client = rig.client_sending(&request_text("once", 7, 0));
        let conn = rig.establish(0);
        let case: String = match &self.behaviour {
            NodeBehaviour::Responds(text) => text.chars().take(60).collect(),
            NodeBehaviour::Closes => "closes".to_string(),
            NodeBehaviour::Nothing => "nothing".to_string(),
        };
        match self.behaviour {
            NodeBehaviour::Responds(text) => rig.receive(conn, &text),
            NodeBehaviour::Closes => rig.input(Input::Closed(conn)),
            NodeBehaviour::Nothing => rig.advance_time(1600.0),
        }
        let outcomes = &rig.metrics().attempt_outcomes;
        assert_eq!(rig.outcome_count(self.outcome), 1, "{case}: {outcomes:?}");
        assert_eq!(rig.metrics().attempts_sent, 1, "{case}");
        assert_eq!(rig.statuses(client), [self.status], "{case}");
        if self.status == "200" {
            let text = &rig.responses(client)[0];
            assert!(text.ends_with("\r\n\r\nb") || text.ends_with("made for it"));
        }
        let (class, messages) = if self.reusable {
            ("once", 2)
        } else {
            ("read", 1)
        };
        rig.pass_reuse_delay();
        rig.client_sending(&request_text(class, 8, 0));
        assert_eq!(
            rig.sent(conn).len(),
            messages,
            "{case}: messages on its connection"
        );
        assert_eq!(
            rig.size("requests"),
            rig.size("attempts"),
            "{case}: the finished request is removed"
        );
    }
}

#[test]
fn a_well_formed_200_succeeds() {
    let meter = "X-Meter: 86\r\nEndpoint-Load-Metrics: TEXT inflight=;;=, util\r\n";
    let cases = [
        (response(200, "", "made for it"), true),
        (response(200, meter, "b"), true),
        (response(200, "X-Meter: many\r\n", "b"), true),
        (response(200, "Connection: close\r\n", "b"), false),
        (
            "HTTP/1.1 100 C\r\n\r\n".to_string() + &response(200, "", "b"),
            true,
        ),
        (response(200, "", "b") + "HTTP/1.1 200 OK", false),
        (response(200, NEVER_RAN, "b"), true),
    ];
    for (text, reusable) in cases {
        Outcome {
            behaviour: NodeBehaviour::Responds(text),
            outcome: "succeeded",
            status: "200",
            reusable,
        }
        .check();
    }
}

#[test]
fn responses_with_another_status_and_malformed_ones_fail() {
    let too_large = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx";
    let cases = [
        (response(500, "", ""), true),
        (response(404, "", ""), true),
        (response(503, "", ""), true),
        (response(500, NEVER_RAN, ""), true),
        ("noise without an end\r\n\r\n".to_string(), false),
        (
            format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(20_000)),
            false,
        ),
        (too_large.to_string(), false),
        ("HTTP/1.1 200 OK\r\n\r\nto the end".to_string(), false),
    ];
    for (text, reusable) in cases {
        Outcome {
            behaviour: NodeBehaviour::Responds(text),
            outcome: "failed",
            status: "500",
            reusable,
        }
        .check();
    }
}

#[test]
fn without_a_response_the_connection_is_lost_or_the_attempt_times_out() {
    let cases = [
        (NodeBehaviour::Closes, "connection_lost"),
        (NodeBehaviour::Nothing, "timed_out"),
    ];
    for (behaviour, outcome) in cases {
        Outcome {
            behaviour,
            outcome,
            status: "500",
            reusable: false,
        }
        .check();
    }
}

/// Why the node did not run an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NeverRan {
    Rejected,
    ConnectionRefused,
    ConnectTimeout,
    LostBeforeLastByte,
}

impl NeverRan {
    /// Simulates the cause on the first connection. Returns the outcome that the metrics count.
    fn simulate(self, rig: &mut Rig) -> &'static str {
        let conn = rig.connections_to(NODES[0].1)[0];
        match self {
            NeverRan::Rejected => {
                rig.establish(0);
                rig.receive(conn, &response(503, NEVER_RAN, ""));
                return "rejected";
            }
            NeverRan::ConnectionRefused => rig.input(Input::Closed(conn)),
            NeverRan::ConnectTimeout => {
                rig.advance_time(260.0);
                assert!(rig.closed(conn));
            }
            NeverRan::LostBeforeLastByte => {
                rig.input(Input::Connected(conn));
                rig.input(Input::Closed(conn));
            }
        }
        "unreachable"
    }
}

#[test]
fn an_attempt_that_never_ran_is_retried_even_if_not_idempotent() {
    for cause in [
        NeverRan::Rejected,
        NeverRan::ConnectionRefused,
        NeverRan::ConnectTimeout,
        NeverRan::LostBeforeLastByte,
    ] {
        let mut rig = Rig::new();
        let client = rig.client_sending(&request_text("once", 7, 0));
        let outcome = cause.simulate(&mut rig);
        let outcomes = &rig.metrics().attempt_outcomes;
        assert_eq!(rig.outcome_count(outcome), 1, "{cause:?}: {outcomes:?}");
        rig.advance_time(100.0);
        assert!(
            rig.statuses(client).is_empty(),
            "{cause:?}: the request is still open"
        );
        let conn = if cause == NeverRan::Rejected {
            rig.connections_to(NODES[0].1)[0]
        } else {
            rig.establish(0)
        };
        rig.input(Input::Written(conn));
        rig.receive(conn, &response(200, "", "b"));
        assert_eq!(rig.statuses(client), ["200"], "{cause:?}");
    }
}

#[test]
fn forwarded_messages_differ_only_in_their_deadline() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("write", 0xab, 0));
    let conn = rig.establish(0);
    let sent = &rig.sent(conn)[0];
    let parts = [
        "PUT /write/00000003b4d60021/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\n",
        "X-Trace-Id: 00000000000000ab\r\n",
        "Idempotency-Key: k1\r\n",
        "X-Expires-In-Ms: 600\r\n",
        "Content-Length: 4\r\n\r\nbody",
    ];
    for part in parts {
        assert!(sent.contains(part), "{part} in {sent}");
    }
}

#[test]
fn an_attempt_whose_idle_connection_was_closed_is_sent_on_a_new_one() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("once", 1, 0));
    let old = rig.establish(0);
    rig.receive(old, &response(200, "", "b"));
    rig.pass_reuse_delay();
    let client = rig.client_sending(&request_text("once", 2, 0));
    assert_eq!(rig.sent(old).len(), 2);
    rig.input(Input::NotWritten(old));
    rig.input(Input::Closed(old));
    let new = rig.establish(0);
    assert!(new != old && rig.closed(old));
    rig.receive(new, &response(200, "", "b"));
    assert_eq!(
        (
            rig.statuses(client),
            rig.metrics().idle_connections_found_closed
        ),
        (vec!["200".to_string()], 1)
    );
}

#[test]
fn input_on_an_idle_connection_closes_it() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.establish(0);
    rig.receive(conn, &response(200, "", "b"));
    rig.receive(conn, &response(200, "", "another's"));
    assert!(rig.closed(conn));
    let client = rig.client_sending(&request_text("read", 2, 0));
    assert_eq!((rig.sent(conn).len(), rig.statuses(client).len()), (1, 0));
}

#[test]
fn idle_connections_are_closed_before_the_node_closes_them() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.establish(0);
    rig.receive(conn, &response(200, "", "b"));
    rig.advance_time(23_000.0);
    assert!(!rig.closed(conn));
    rig.advance_time(2_000.0);
    assert!(rig.closed(conn));
    assert_eq!(rig.size("node_connections"), 0);
}

/// Guards against connections that a burst of requests leaves open: of several idle ones to a node, those that were not
/// used for five seconds are closed.
#[test]
fn surplus_idle_connections_are_closed_first() {
    let mut rig = Rig::new();
    for trace in 1..=3 {
        rig.client_sending(&request_text("read", trace, 0));
    }
    let conns = rig.connections_to(NODES[0].1);
    for conn in &conns {
        rig.input(Input::Connected(*conn));
        rig.input(Input::Written(*conn));
    }
    for conn in &conns {
        rig.receive(*conn, &response(200, "", "b"));
    }
    rig.advance_time(4_900.0);
    assert!(conns.iter().all(|conn| !rig.closed(*conn)));
    rig.advance_time(400.0);
    let closed: Vec<_> = conns.iter().map(|conn| rig.closed(*conn)).collect();
    assert_eq!(closed, [true, true, false]);
}

#[test]
fn after_the_wait_for_a_connection_an_attempt_is_sent_only_to_a_ready_node() {
    // The change of the list during the wait, and whether the attempt is sent after it.
    let drains = page(2, false, &[(0, "DRAINING", 0.0)]);
    let other = page(2, false, &[(1, "DRAINING", 0.0)]);
    for (change, is_sent) in [(Some(&drains), false), (Some(&other), true), (None, true)] {
        let mut rig = Rig::new();
        rig.client_sending(&request_text("read", 1, 0));
        let conn = rig.connections_to(NODES[0].1)[0];
        rig.advance_time(60.0);
        if let Some(change) = change {
            rig.discovery_answers(change);
        }
        rig.input(Input::Connected(conn));
        let sent_count = usize::from(!rig.sent(conn).is_empty());
        assert_eq!(
            (sent_count == 1, rig.outcome_count("not_sent")),
            (is_sent, u64::from(!is_sent)),
            "{change:?}"
        );
    }
}

/// The scheduler decided on the attempt when another process of the node was running, so it has to decide again.
#[test]
fn an_attempt_is_not_sent_to_a_node_that_was_restarted_during_the_wait() {
    let restarted = page(2, false, &[(0, "SERVING", 50.0)]);
    let mut rig = Rig::new();
    rig.client_sending(&request_text("read", 1, 0));
    rig.advance_time(60.0);
    rig.discovery_answers(&restarted);
    rig.establish(0);
    assert_eq!(rig.outcome_count("not_sent"), 1);
}

#[test]
fn an_attempt_is_not_sent_for_a_client_that_disconnected_during_the_wait() {
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.connections_to(NODES[0].1)[0];
    rig.input(Input::Closed(client));
    rig.input(Input::Connected(conn));
    assert_eq!(rig.sent(conn).len(), 0);
    assert_eq!(rig.outcome_count("not_sent"), 1);
    assert_eq!(rig.size("requests"), 0);
}

/// The loss of a connection with an attempt in flight, and the next sign of life of the node.
#[derive(Debug)]
struct Loss {
    /// The time from the last sign of life before the loss to the loss, in ms.
    alive_before_ms: f64,
    /// The time from the loss to the next sign of life, in ms.
    alive_after_ms: f64,
    /// Whether the next sign of life is a response on a connection that was established before the loss. Otherwise it
    /// is a new connection.
    on_older_connection: bool,
    /// Whether the signs of life rule out a restart.
    same_process: bool,
}

impl Loss {
    /// A host that has used each of its connections to the node once. There are two if the next sign of life is to come
    /// on an older connection, otherwise one.
    fn rig(&self) -> Rig {
        let mut rig = Rig::new();
        let requests = 1 + u64::from(self.on_older_connection);
        for trace in 1..=requests {
            rig.client_sending(&request_text("once", trace, 0));
        }
        let conns = rig.connections_to(NODES[0].1);
        for conn in &conns {
            rig.input(Input::Connected(*conn));
            rig.input(Input::Written(*conn));
        }
        for conn in &conns {
            rig.receive(*conn, &response(200, "", "b"));
        }
        rig
    }

    fn check(&self) {
        let mut rig = self.rig();
        let conns = rig.connections_to(NODES[0].1);
        let lost = conns[conns.len() - 1];
        rig.advance_time(self.alive_before_ms);
        rig.client_sending(&request_text("once", 4, 0));
        rig.input(Input::Written(lost));
        rig.input(Input::Closed(lost));
        assert_eq!(rig.metrics().connections_lost, 1, "{self:?}");
        assert_eq!(rig.metrics().same_process_after_break, 0, "{self:?}");
        // The host reconnects at once.
        let reconnecting = *rig.connections_to(NODES[0].1).last().unwrap();
        assert!(reconnecting != lost, "{self:?}");
        rig.advance_time(self.alive_after_ms);
        if self.on_older_connection {
            rig.input(Input::Closed(reconnecting));
            rig.client_sending(&request_text("read", 3, 0));
            rig.input(Input::Written(conns[0]));
            rig.receive(conns[0], &response(200, "", "b"));
        } else {
            rig.input(Input::Connected(reconnecting));
        }
        let expected = u64::from(self.same_process);
        assert_eq!(rig.metrics().same_process_after_break, expected, "{self:?}");
    }
}

#[test]
fn signs_of_life_around_a_lost_connection_may_rule_out_a_restart() {
    let cases = [
        (30.0, 10.0, false, true),
        (30.0, 300.0, false, false),
        (1900.0, 240.0, false, true),
        (2100.0, 10.0, false, false),
        (2100.0, 300.0, true, true),
    ];
    for (alive_before_ms, alive_after_ms, on_older_connection, same_process) in cases {
        let loss = Loss {
            alive_before_ms,
            alive_after_ms,
            on_older_connection,
            same_process,
        };
        loss.check();
    }
}

/// Discovery reports a restart within six seconds. A page that is received later without one rules out a restart.
#[test]
fn a_restart_that_discovery_does_not_report_within_six_seconds_is_ruled_out() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("once", 1, 0));
    let conn = rig.establish(0);
    rig.input(Input::Closed(conn));
    let waits = [(1000.0, 0), (2500.0, 0), (2400.0, 0), (200.0, 1)];
    for (version, (wait, proven)) in (2..).zip(waits) {
        rig.advance_time(wait);
        rig.discovery_answers(&page(version, false, &[]));
        assert_eq!(rig.metrics().same_process_after_break, proven, "{wait}");
    }
}

#[test]
fn connections_carry_one_request_and_the_most_recently_used_is_reused_first() {
    let mut rig = Rig::new();
    let first = rig.client_sending(&request_text("read", 1, 0));
    let second = rig.client_sending(&request_text("read", 2, 0));
    let conns = rig.connections_to(NODES[0].1);
    assert_eq!(conns.len(), 2, "each request has a separate connection");
    for conn in &conns {
        rig.input(Input::Connected(*conn));
        rig.input(Input::Written(*conn));
        assert_eq!(rig.sent(*conn).len(), 1);
    }
    rig.receive(conns[1], &response(200, "", "b"));
    rig.receive(conns[0], &response(200, "", "b"));
    assert_eq!(
        (rig.statuses(first), rig.statuses(second)),
        (vec!["200".to_string()], vec!["200".to_string()])
    );
    rig.pass_reuse_delay();
    rig.client_sending(&request_text("read", 3, 0));
    assert_eq!((rig.sent(conns[0]).len(), rig.sent(conns[1]).len()), (2, 1));
}

#[test]
fn datagrams_that_are_too_long_or_of_unknown_senders_are_foreign() {
    let mut rig = Rig::new();
    for (from, size) in [("10.3.0.9:7946", 10), (PEER, 257), (PEER, 10)] {
        rig.input(Input::Datagram(from.parse().unwrap(), vec![0; size].into()));
    }
    assert_eq!(
        (
            rig.metrics().foreign_datagrams,
            rig.metrics().reports_received
        ),
        (2, 1)
    );
    assert!(
        rig.outputs
            .iter()
            .all(|output| !matches!(output, Output::Datagram { .. }))
    );
}
