//! Every outcome of an attempt, and which connection may carry it.

use crate::rig::{NODES, PEER, Rig, page, request_text, response};
use gullsail_platform::core::{Input, Output};

/// The header by which a node says that it did not run the request.
const NEVER_RAN: &str = "X-Never-Ran: 1\r\n";

/// What a node, or the network, does once the attempt is written.
enum NodeBehaviour {
    Responds(String),
    Closes,
    Nothing,
}

/// An attempt of a request that must not run twice, how its node behaves, and what follows.
struct Outcome {
    behaviour: NodeBehaviour,
    /// How the attempt ends.
    outcome: &'static str,
    /// What the client is answered.
    status: &'static str,
    /// Whether the connection carries another message.
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
        rig.client_sending(&request_text(class, 8, 0));
        assert_eq!(
            rig.sent(conn).len(),
            messages,
            "{case}: messages on its connection"
        );
        assert_eq!(
            rig.size("requests"),
            rig.size("attempts"),
            "{case}: the request is forgotten"
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
fn other_and_malformed_responses_fail() {
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

/// Why an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NeverRan {
    Rejected,
    ConnectionRefused,
    ConnectTimeout,
    LostBeforeLastByte,
}

impl NeverRan {
    /// Plays it on the first connection. Returns the outcome that is counted.
    fn play(self, rig: &mut Rig) -> &'static str {
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
        let outcome = cause.play(&mut rig);
        let outcomes = &rig.metrics().attempt_outcomes;
        assert_eq!(rig.outcome_count(outcome), 1, "{cause:?}: {outcomes:?}");
        rig.advance_time(100.0);
        assert!(
            rig.statuses(client).is_empty(),
            "{cause:?}: it is still open"
        );
        if cause != NeverRan::Rejected {
            rig.establish(0);
        }
        let conn = *rig.connections_to(NODES[0].1).last().unwrap();
        rig.input(Input::Written(conn));
        rig.receive(conn, &response(200, "", "b"));
        assert_eq!(rig.statuses(client), ["200"], "{cause:?}");
    }
}

#[test]
fn forwarded_messages_are_unchanged_but_for_the_time_left() {
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
fn a_connection_found_closed_costs_the_attempt_nothing() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("once", 1, 0));
    let old = rig.establish(0);
    rig.receive(old, &response(200, "", "b"));
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

#[test]
fn an_attempt_that_waited_for_its_connection_is_checked_again() {
    // The change of the list while it waits, and whether the attempt is still sent.
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
        let first = usize::from(!rig.sent(conn).is_empty());
        assert_eq!(
            (first == 1, rig.outcome_count("not_sent")),
            (is_sent, u64::from(!is_sent)),
            "{change:?}"
        );
    }
}

/// The attempt was decided for another process than the one that serves now, so it is decided again.
#[test]
fn an_attempt_is_not_sent_to_a_node_that_was_restarted_meanwhile() {
    let restarted = page(2, false, &[(0, "SERVING", 50.0)]);
    let mut rig = Rig::new();
    rig.client_sending(&request_text("read", 1, 0));
    rig.advance_time(60.0);
    rig.discovery_answers(&restarted);
    rig.establish(0);
    assert_eq!(rig.outcome_count("not_sent"), 1);
}

#[test]
fn an_attempt_is_not_sent_for_a_client_that_disconnected_meanwhile() {
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.connections_to(NODES[0].1)[0];
    rig.input(Input::Closed(client));
    rig.input(Input::Connected(conn));
    assert_eq!(rig.sent(conn).len(), 0);
    assert_eq!(rig.outcome_count("not_sent"), 1);
    assert_eq!(rig.size("requests"), 0);
}

/// A connection is lost with an attempt in flight, and another sign of life follows.
#[derive(Debug)]
struct Loss {
    /// How long before the loss the node last showed a sign of life, in ms.
    alive_before_ms: f64,
    /// How long after the loss the next sign comes, in ms.
    alive_after_ms: f64,
    /// The sign comes on a connection that was established before the loss, else it is a new connection.
    on_older_connection: bool,
    /// The signs show that the process is the same.
    same_process: bool,
}

impl Loss {
    /// A host whose connections to the node were used once; one more than it will lose if another has to be older.
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
fn a_lost_connection_is_no_restart_where_the_sockets_prove_it() {
    let cases = [
        (10.0, 10.0, false, true),
        (10.0, 300.0, false, false),
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

/// Discovery reports every start within six seconds, so a page after that without one is proof too.
#[test]
fn a_lost_connection_without_news_from_discovery_was_no_restart() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("once", 1, 0));
    let conn = rig.establish(0);
    rig.input(Input::Closed(conn));
    for (wait, proven) in [(1000.0, 0), (2500.0, 0), (2400.0, 0), (200.0, 1)] {
        rig.advance_time(wait);
        rig.discovery_answers(&page(2, false, &[]));
        assert_eq!(rig.metrics().same_process_after_break, proven, "{wait}");
    }
}

#[test]
fn one_request_per_connection_and_the_last_used_first() {
    let mut rig = Rig::new();
    let first = rig.client_sending(&request_text("read", 1, 0));
    let second = rig.client_sending(&request_text("read", 2, 0));
    let conns = rig.connections_to(NODES[0].1);
    assert_eq!(conns.len(), 2, "each on a connection of its own");
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
    rig.client_sending(&request_text("read", 3, 0));
    assert_eq!((rig.sent(conns[0]).len(), rig.sent(conns[1]).len()), (2, 1));
}

#[test]
fn peers_are_recognised_by_address() {
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
        rig.out
            .iter()
            .all(|output| !matches!(output, Output::Datagram { .. }))
    );
}
