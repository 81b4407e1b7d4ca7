//! Every ending of an attempt, and what may go out on which connection.

use crate::rig::*;
use gullsail_platform::core::{Input, Output};

/// What a node, or the network, does once the attempt is written.
enum Does {
    Says(String),
    Ends,
    Nothing,
}

#[test]
fn every_outcome_is_what_the_socket_proves() {
    let never = "X-Never-Ran: 1\r\n";
    let says = |status, fields, body| Does::Says(answer(status, fields, body));
    let long = format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(20_000));
    // What happens, the ending, the client's answer to a request that must not run twice, and whether the connection
    // is of further use.
    let cases = [
        (says(200, "", "made for it"), "done", "200", true),
        (
            says(200, "X-Meter: 86\r\nEndpoint-Load-Metrics: TEXT inflight=;;=, util\r\n", "b"),
            "done",
            "200",
            true,
        ),
        (says(200, "X-Meter: many\r\n", "b"), "done", "200", true),
        (says(200, "Connection: close\r\n", "b"), "done", "200", false),
        (Does::Says("HTTP/1.1 100 C\r\n\r\n".to_string() + &answer(200, "", "b")), "done", "200", true),
        (Does::Says(answer(200, "", "b") + "HTTP/1.1 200 OK"), "done", "200", false),
        (says(500, "", ""), "failed", "500", true),
        (says(404, "", ""), "failed", "500", true),
        (says(503, "", ""), "failed", "500", true),
        (says(200, never, "b"), "done", "200", true),
        (says(500, never, ""), "failed", "500", true),
        (Does::Says("noise without an end\r\n\r\n".into()), "failed", "500", false),
        (Does::Says(long), "failed", "500", false),
        (Does::Says("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx".into()), "failed", "500", false),
        (Does::Says("HTTP/1.1 200 OK\r\n\r\nto the end".into()), "failed", "500", false),
        (Does::Ends, "broken", "500", false),
        (Does::Nothing, "timed_out", "500", false),
    ];
    for (does, outcome, status, of_use) in cases {
        let mut r = Rig::new();
        let client = r.asks(&ask("once", 7, 0));
        let link = r.up(0);
        let what = match &does {
            Does::Says(text) => text.chars().take(60).collect(),
            Does::Ends => "ends".to_string(),
            Does::Nothing => "nothing".into(),
        };
        match does {
            Does::Says(text) => r.say(link, &text),
            Does::Ends => r.put(Input::Ended(link)),
            Does::Nothing => r.pass(1600.0),
        }
        assert_eq!((r.ended(outcome), r.counts().sent), (1, 1), "{what}: {:?}", r.counts().endings);
        assert_eq!(r.statuses(client), [status], "{what}");
        if status == "200" {
            assert!(r.heard(client)[0].ends_with("\r\n\r\nb") || r.heard(client)[0].ends_with("made for it"));
        }
        if of_use {
            r.asks(&ask("once", 8, 0));
            assert_eq!(r.sent(link).len(), 2, "{what}: it carries the next");
        } else {
            r.asks(&ask("read", 8, 0));
            assert_eq!(r.sent(link).len(), 1, "{what}: it carries nothing more");
        }
        assert_eq!(r.length("transfers"), r.length("legs"), "{what}: what ended is forgotten");
    }
}

#[test]
fn a_attempt_that_never_ran_lets_even_a_non_idempotent_request_go_again() {
    // Turned away; refused; never up; broken before the last byte was written.
    for how in 0..4 {
        let mut r = Rig::new();
        let client = r.asks(&ask("once", 7, 0));
        let conn = r.dialled(NODES[0].1)[0];
        let outcome = match how {
            0 => {
                r.up(0);
                r.say(conn, &answer(503, "X-Never-Ran: 1\r\n", ""));
                "turned_away"
            }
            1 => {
                r.put(Input::Ended(conn));
                "unreached"
            }
            2 => {
                r.pass(260.0);
                assert!(r.closed(conn));
                "unreached"
            }
            _ => {
                r.put(Input::Up(conn));
                r.put(Input::Ended(conn));
                "unreached"
            }
        };
        assert_eq!(r.ended(outcome), 1, "{how}: {:?}", r.counts().endings);
        r.pass(100.0);
        assert!(r.statuses(client).is_empty(), "{how}: it is still open");
        if how > 0 {
            r.up(0);
        }
        let conn = *r.dialled(NODES[0].1).last().unwrap();
        r.put(Input::Written(conn));
        r.say(conn, &answer(200, "", "b"));
        assert_eq!(r.statuses(client), ["200"], "{how}");
    }
}

#[test]
fn what_passes_on_is_unchanged_and_says_how_long_is_waited() {
    let mut r = Rig::new();
    r.asks(&ask("write", 0xab, 0));
    let link = r.up(0);
    let sent = &r.sent(link)[0];
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
fn a_connection_found_dead_costs_the_attempt_nothing() {
    let mut r = Rig::new();
    r.asks(&ask("once", 1, 0));
    let old = r.up(0);
    r.say(old, &answer(200, "", "b"));
    let client = r.asks(&ask("once", 2, 0));
    assert_eq!(r.sent(old).len(), 2);
    r.put(Input::Unwritten(old));
    r.put(Input::Ended(old));
    let new = r.up(0);
    assert!(new != old && r.closed(old));
    r.say(new, &answer(200, "", "b"));
    assert_eq!((r.statuses(client), r.counts().found_dead), (vec!["200".to_string()], 1));
}

#[test]
fn bytes_on_an_idle_connection_end_it() {
    let mut r = Rig::new();
    r.asks(&ask("read", 1, 0));
    let link = r.up(0);
    r.say(link, &answer(200, "", "b"));
    r.say(link, &answer(200, "", "another's"));
    assert!(r.closed(link));
    let client = r.asks(&ask("read", 2, 0));
    assert_eq!((r.sent(link).len(), r.statuses(client).len()), (1, 0));
}

#[test]
fn idle_connections_end_before_the_node_ends_them() {
    let mut r = Rig::new();
    r.asks(&ask("read", 1, 0));
    let link = r.up(0);
    r.say(link, &answer(200, "", "b"));
    r.pass(23_000.0);
    assert!(!r.closed(link));
    r.pass(2_000.0);
    assert!(r.closed(link));
    assert_eq!(r.length("links"), 0);
}

#[test]
fn a_attempt_that_waited_for_its_connection_is_asked_again() {
    // What comes while it waits, and whether it still goes out.
    let drains = page(2, false, &[(0, "DRAINING", 0.0)]);
    let anew = page(2, false, &[(0, "SERVING", 50.0)]);
    let other = page(2, false, &[(1, "DRAINING", 0.0)]);
    for (news, goes) in [(Some(&drains), false), (Some(&other), true), (None, true)] {
        let mut r = Rig::new();
        r.asks(&ask("read", 1, 0));
        let conn = r.dialled(NODES[0].1)[0];
        r.pass(60.0);
        news.into_iter().for_each(|n| r.list(n));
        r.put(Input::Up(conn));
        let first = usize::from(!r.sent(conn).is_empty());
        assert_eq!((first == 1, r.ended("unsent")), (goes, u64::from(!goes)), "{news:?}");
    }
    // Its node has started anew: decided for another process, it is decided again.
    let mut r = Rig::new();
    r.asks(&ask("read", 1, 0));
    r.pass(60.0);
    r.list(&anew);
    r.up(0);
    assert_eq!(r.ended("unsent"), 1);
    // Its client has left.
    let mut r = Rig::new();
    let client = r.asks(&ask("read", 1, 0));
    let conn = r.dialled(NODES[0].1)[0];
    r.put(Input::Ended(client));
    r.put(Input::Up(conn));
    assert_eq!((r.sent(conn).len(), r.ended("unsent"), r.length("transfers")), (0, 1, 0));
}

#[test]
fn a_break_is_no_restart_where_the_sockets_prove_it() {
    // How long before the break the node last showed that it incarnations, how long after it a new connection stood, and
    // whether another connection stood all the while and then answers.
    let cases = [
        (10.0, 10.0, false, true),
        (10.0, 300.0, false, false),
        (1900.0, 240.0, false, true),
        (2100.0, 10.0, false, false),
        (2100.0, 300.0, true, true),
    ];
    for (before, after, older, proven) in cases {
        let mut r = Rig::new();
        (1..=1 + u64::from(older)).for_each(|i| _ = r.asks(&ask("once", i, 0)));
        let links = r.dialled(NODES[0].1);
        for l in &links {
            r.put(Input::Up(*l));
            r.put(Input::Written(*l));
        }
        links.iter().for_each(|l| r.say(*l, &answer(200, "", "b")));
        r.pass(before);
        let breaks = links[links.len() - 1];
        r.asks(&ask("once", 4, 0));
        r.put(Input::Written(breaks));
        r.put(Input::Ended(breaks));
        assert_eq!((r.counts().breaks, r.counts().lives_on), (1, 0));
        // It is made again at once, and is up after a while.
        let again = *r.dialled(NODES[0].1).last().unwrap();
        assert!(again != breaks);
        r.pass(after);
        if older {
            r.put(Input::Ended(again));
            r.asks(&ask("read", 3, 0));
            r.put(Input::Written(links[0]));
            r.say(links[0], &answer(200, "", "b"));
        } else {
            r.put(Input::Up(again));
        }
        assert_eq!(r.counts().lives_on, u64::from(proven), "{before} {after} {older}");
    }
}

/// Discovery tells of every start within six seconds: a page after that, and no start in it, is proof too.
#[test]
fn a_break_that_discovery_says_nothing_of_was_no_restart() {
    let mut r = Rig::new();
    r.asks(&ask("once", 1, 0));
    let link = r.up(0);
    r.put(Input::Ended(link));
    for (wait, proven) in [(1000.0, 0), (2500.0, 0), (2400.0, 0), (200.0, 1)] {
        r.pass(wait);
        r.list(&page(2, false, &[]));
        assert_eq!(r.counts().lives_on, proven, "{wait}");
    }
}

#[test]
fn one_at_a_time_and_the_one_used_last_first() {
    let mut r = Rig::new();
    let (first, second) = (r.asks(&ask("read", 1, 0)), r.asks(&ask("read", 2, 0)));
    let dialled = r.dialled(NODES[0].1);
    assert_eq!(dialled.len(), 2, "each on a connection of its own");
    for conn in &dialled {
        r.put(Input::Up(*conn));
        r.put(Input::Written(*conn));
        assert_eq!(r.sent(*conn).len(), 1);
    }
    r.say(dialled[1], &answer(200, "", "b"));
    r.say(dialled[0], &answer(200, "", "b"));
    assert_eq!((r.statuses(first), r.statuses(second)), (vec!["200".to_string()], vec!["200".to_string()]));
    r.asks(&ask("read", 3, 0));
    assert_eq!((r.sent(dialled[0]).len(), r.sent(dialled[1]).len()), (2, 1));
}

#[test]
fn peers_are_known_by_their_addresses() {
    let mut r = Rig::new();
    for (from, length) in [("10.3.0.9:7946", 10), (PEER, 257), (PEER, 10)] {
        r.put(Input::Datagram(from.parse().unwrap(), vec![0; length].into()));
    }
    assert_eq!((r.counts().foreign_datagrams, r.counts().heard), (2, 1));
    assert!(r.out.iter().all(|o| !matches!(o, Output::Datagram { .. })));
}
