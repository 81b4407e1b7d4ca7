//! Every ending of an attempt, and what may go out on which connection.

use crate::rig::*;
use gullsail_platform::core::{Input, Output};

/// What a node, or the network, does once the attempt is written.
enum NodeBehaviour {
    Responds(String),
    Closes,
    Nothing,
}

#[test]
fn every_outcome_is_what_the_socket_proves() {
    let never = "X-Never-Ran: 1\r\n";
    let says = |status, fields, body| NodeBehaviour::Responds(response(status, fields, body));
    let long = format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(20_000));
    // What happens, the ending, the client's answer to a request that must not run twice, and whether the
    // connection is of further use.
    let cases = [
        (says(200, "", "made for it"), "succeeded", "200", true),
        (
            says(
                200,
                "X-Meter: 86\r\nEndpoint-Load-Metrics: TEXT inflight=;;=, util\r\n",
                "b",
            ),
            "succeeded",
            "200",
            true,
        ),
        (
            says(200, "X-Meter: many\r\n", "b"),
            "succeeded",
            "200",
            true,
        ),
        (
            says(200, "Connection: close\r\n", "b"),
            "succeeded",
            "200",
            false,
        ),
        (
            NodeBehaviour::Responds("HTTP/1.1 100 C\r\n\r\n".to_string() + &response(200, "", "b")),
            "succeeded",
            "200",
            true,
        ),
        (
            NodeBehaviour::Responds(response(200, "", "b") + "HTTP/1.1 200 OK"),
            "succeeded",
            "200",
            false,
        ),
        (says(500, "", ""), "failed", "500", true),
        (says(404, "", ""), "failed", "500", true),
        (says(503, "", ""), "failed", "500", true),
        (says(200, never, "b"), "succeeded", "200", true),
        (says(500, never, ""), "failed", "500", true),
        (
            NodeBehaviour::Responds("noise without an end\r\n\r\n".into()),
            "failed",
            "500",
            false,
        ),
        (NodeBehaviour::Responds(long), "failed", "500", false),
        (
            NodeBehaviour::Responds(
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx".into(),
            ),
            "failed",
            "500",
            false,
        ),
        (
            NodeBehaviour::Responds("HTTP/1.1 200 OK\r\n\r\nto the end".into()),
            "failed",
            "500",
            false,
        ),
        (NodeBehaviour::Closes, "connection_lost", "500", false),
        (NodeBehaviour::Nothing, "timed_out", "500", false),
    ];
    for (behaviour, outcome, status, of_use) in cases {
        let mut rig = Rig::new();
        let client = rig.client_sending(&request_text("once", 7, 0));
        let conn = rig.establish(0);
        let what = match &behaviour {
            NodeBehaviour::Responds(text) => text.chars().take(60).collect(),
            NodeBehaviour::Closes => "ends".to_string(),
            NodeBehaviour::Nothing => "nothing".into(),
        };
        match behaviour {
            NodeBehaviour::Responds(text) => rig.receive(conn, &text),
            NodeBehaviour::Closes => rig.input(Input::Closed(conn)),
            NodeBehaviour::Nothing => rig.advance_time(1600.0),
        }
        assert_eq!(
            (rig.outcome_count(outcome), rig.metrics().attempts_sent),
            (1, 1),
            "{what}: {:?}",
            rig.metrics().attempt_outcomes
        );
        assert_eq!(rig.statuses(client), [status], "{what}");
        if status == "200" {
            assert!(
                rig.responses(client)[0].ends_with("\r\n\r\nb")
                    || rig.responses(client)[0].ends_with("made for it")
            );
        }
        if of_use {
            rig.client_sending(&request_text("once", 8, 0));
            assert_eq!(rig.sent(conn).len(), 2, "{what}: it carries the next");
        } else {
            rig.client_sending(&request_text("read", 8, 0));
            assert_eq!(rig.sent(conn).len(), 1, "{what}: it carries nothing more");
        }
        assert_eq!(
            rig.size("requests"),
            rig.size("attempts"),
            "{what}: what ended is forgotten"
        );
    }
}

#[test]
fn an_attempt_that_never_ran_is_retried_even_if_not_idempotent() {
    // Turned away; refused; never up; broken before the last byte was written.
    for how in 0..4 {
        let mut rig = Rig::new();
        let client = rig.client_sending(&request_text("once", 7, 0));
        let conn = rig.connections_to(NODES[0].1)[0];
        let outcome = match how {
            0 => {
                rig.establish(0);
                rig.receive(conn, &response(503, "X-Never-Ran: 1\r\n", ""));
                "rejected"
            }
            1 => {
                rig.input(Input::Closed(conn));
                "unreachable"
            }
            2 => {
                rig.advance_time(260.0);
                assert!(rig.closed(conn));
                "unreachable"
            }
            _ => {
                rig.input(Input::Connected(conn));
                rig.input(Input::Closed(conn));
                "unreachable"
            }
        };
        assert_eq!(
            rig.outcome_count(outcome),
            1,
            "{how}: {:?}",
            rig.metrics().attempt_outcomes
        );
        rig.advance_time(100.0);
        assert!(rig.statuses(client).is_empty(), "{how}: it is still open");
        if how > 0 {
            rig.establish(0);
        }
        let conn = *rig.connections_to(NODES[0].1).last().unwrap();
        rig.input(Input::Written(conn));
        rig.receive(conn, &response(200, "", "b"));
        assert_eq!(rig.statuses(client), ["200"], "{how}");
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
    // What comes while it waits, and whether it still goes out.
    let drains = page(2, false, &[(0, "DRAINING", 0.0)]);
    let anew = page(2, false, &[(0, "SERVING", 50.0)]);
    let other = page(2, false, &[(1, "DRAINING", 0.0)]);
    for (change, goes) in [(Some(&drains), false), (Some(&other), true), (None, true)] {
        let mut rig = Rig::new();
        rig.client_sending(&request_text("read", 1, 0));
        let conn = rig.connections_to(NODES[0].1)[0];
        rig.advance_time(60.0);
        change.into_iter().for_each(|n| rig.discovery_answers(n));
        rig.input(Input::Connected(conn));
        let first = usize::from(!rig.sent(conn).is_empty());
        assert_eq!(
            (first == 1, rig.outcome_count("not_sent")),
            (goes, u64::from(!goes)),
            "{change:?}"
        );
    }
    // Its node has started anew: decided for another process, it is decided again.
    let mut rig = Rig::new();
    rig.client_sending(&request_text("read", 1, 0));
    rig.advance_time(60.0);
    rig.discovery_answers(&anew);
    rig.establish(0);
    assert_eq!(rig.outcome_count("not_sent"), 1);
    // Its client has left.
    let mut rig = Rig::new();
    let client = rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.connections_to(NODES[0].1)[0];
    rig.input(Input::Closed(client));
    rig.input(Input::Connected(conn));
    assert_eq!(
        (
            rig.sent(conn).len(),
            rig.outcome_count("not_sent"),
            rig.size("requests")
        ),
        (0, 1, 0)
    );
}

#[test]
fn a_lost_connection_is_no_restart_where_the_sockets_prove_it() {
    // How long before the break the node last showed that it incarnations, how long after it a new connection
    // stood, and whether another connection stood all the while and then answers.
    let cases = [
        (10.0, 10.0, false, true),
        (10.0, 300.0, false, false),
        (1900.0, 240.0, false, true),
        (2100.0, 10.0, false, false),
        (2100.0, 300.0, true, true),
    ];
    for (before, after, older, proven) in cases {
        let mut rig = Rig::new();
        (1..=1 + u64::from(older))
            .for_each(|i| _ = rig.client_sending(&request_text("once", i, 0)));
        let conns = rig.connections_to(NODES[0].1);
        for l in &conns {
            rig.input(Input::Connected(*l));
            rig.input(Input::Written(*l));
        }
        conns
            .iter()
            .for_each(|l| rig.receive(*l, &response(200, "", "b")));
        rig.advance_time(before);
        let connections_lost = conns[conns.len() - 1];
        rig.client_sending(&request_text("once", 4, 0));
        rig.input(Input::Written(connections_lost));
        rig.input(Input::Closed(connections_lost));
        assert_eq!(
            (
                rig.metrics().connections_lost,
                rig.metrics().same_process_after_break
            ),
            (1, 0)
        );
        // It is made again at once, and is up after a while.
        let again = *rig.connections_to(NODES[0].1).last().unwrap();
        assert!(again != connections_lost);
        rig.advance_time(after);
        if older {
            rig.input(Input::Closed(again));
            rig.client_sending(&request_text("read", 3, 0));
            rig.input(Input::Written(conns[0]));
            rig.receive(conns[0], &response(200, "", "b"));
        } else {
            rig.input(Input::Connected(again));
        }
        assert_eq!(
            rig.metrics().same_process_after_break,
            u64::from(proven),
            "{before} {after} {older}"
        );
    }
}

/// Discovery tells of every start within six seconds: a page after that, and no start in it, is proof too.
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
    let (first, second) = (
        rig.client_sending(&request_text("read", 1, 0)),
        rig.client_sending(&request_text("read", 2, 0)),
    );
    let connections_to = rig.connections_to(NODES[0].1);
    assert_eq!(connections_to.len(), 2, "each on a connection of its own");
    for conn in &connections_to {
        rig.input(Input::Connected(*conn));
        rig.input(Input::Written(*conn));
        assert_eq!(rig.sent(*conn).len(), 1);
    }
    rig.receive(connections_to[1], &response(200, "", "b"));
    rig.receive(connections_to[0], &response(200, "", "b"));
    assert_eq!(
        (rig.statuses(first), rig.statuses(second)),
        (vec!["200".to_string()], vec!["200".to_string()])
    );
    rig.client_sending(&request_text("read", 3, 0));
    assert_eq!(
        (
            rig.sent(connections_to[0]).len(),
            rig.sent(connections_to[1]).len()
        ),
        (2, 1)
    );
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
            .all(|o| !matches!(o, Output::Datagram { .. }))
    );
}
