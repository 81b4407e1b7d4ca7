//! Bounds on connections and memory, the stages of the shutdown, and tables that do not grow with finished requests.

use crate::rig::{DISCOVERY, NODES, Rig, page, request_text, response, settings_document};
use gullsail_platform::core::{Input, Output};
use std::collections::BTreeMap;

const HEALTH_CHECK: &str = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
/// Most client connections of a host with 256 descriptors.
const MAX_CONNECTIONS: usize = (256 - 24) * 6 / 10;
/// Above this number of connections an older one is evicted for each new one.
const SOFT_LIMIT: usize = MAX_CONNECTIONS - 8;

/// Clients that send nothing connect, first many at once, then one after the other. For each new client the oldest
/// silent one is evicted, but none that was served or is sending.
#[test]
fn silent_clients_are_evicted_and_other_clients_can_connect() {
    let mut rig = Rig::with_settings(&settings_document(256, 32, DISCOVERY));
    let silent: Vec<_> = (0..SOFT_LIMIT).map(|_| rig.client()).collect();
    let usual = rig.client_sending(&request_text("read", 1, 0));
    assert_eq!(rig.close_idle_orders(silent[0]), 1);
    assert_eq!(rig.close_idle_orders(silent[1]), 0);
    rig.input(Input::WriteClosed(silent[0]));
    let conn = rig.establish(0);
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(usual), ["200"]);
    let slow = rig.client_sending("GET /re");
    for _ in 0..1000 {
        rig.client();
        rig.advance_time(1.0);
        // The host's direction is closed as ordered; the client keeps its direction open.
        for conn in rig.take_idle_closes() {
            rig.input(Input::WriteClosed(conn));
        }
    }
    assert!(rig.size("clients") <= MAX_CONNECTIONS);
    assert!(
        rig.stays_open(usual),
        "a client that was served keeps its slot"
    );
    assert!(
        rig.stays_open(slow),
        "a client that is sending keeps its slot"
    );
    assert_eq!(rig.metrics().connection_limit_reached, 0);
    // Each connection is counted at most twice: when it is ordered to close, and when it is dropped.
    let evicted = rig.metrics().clients_evicted;
    assert!((1002..=2 * 1002).contains(&evicted), "{evicted}");
}

/// A client that was served and is idle keeps its slot for 2 s, even when others connect. These use the reserved slots,
/// and their connections are closed after the response. When no slot is free, new clients wait in the backlog.
#[test]
fn served_clients_keep_their_slots_while_new_ones_use_the_reserved_slots() {
    let mut rig = Rig::with_settings(&settings_document(256, 32, DISCOVERY));
    let served: Vec<_> = (0..SOFT_LIMIT)
        .map(|_| rig.client_sending(HEALTH_CHECK))
        .collect();
    rig.advance_time(1900.0);
    let in_reserved_slots: Vec<_> = (0..8).map(|_| rig.client_sending(HEALTH_CHECK)).collect();
    assert!(!rig.core.can_accept());
    for conn in &served {
        assert!(!rig.closed(*conn) && rig.close_idle_orders(*conn) == 0);
    }
    for conn in &in_reserved_slots {
        let statuses = rig.statuses(*conn);
        assert!(statuses == ["500"] || statuses == ["200"] && rig.finished(*conn));
    }
    assert_eq!(rig.metrics().connection_limit_reached, 8);
    // A connection that only the client still has to close is dropped when a new client connects.
    rig.input(Input::WriteClosed(in_reserved_slots[0]));
    assert!(rig.core.can_accept());
    let new = rig.client();
    rig.advance();
    assert!(rig.closed(in_reserved_slots[0]) && !rig.core.can_accept());
    rig.input(Input::Closed(new));
    assert!(rig.core.can_accept());
    rig.advance_time(300.0);
    for conn in &served {
        assert_eq!(rig.close_idle_orders(*conn), 1, "closed after 2 s");
    }
}

/// Guards against clients that send one request and then occupy a slot that others need.
#[test]
fn idle_connections_are_closed_after_two_seconds_and_not_before() {
    let close_orders = |rig: &Rig, conn| rig.close_idle_orders(conn);
    let mut rig = Rig::with_settings(&settings_document(256, 32, DISCOVERY));
    let idle = rig.client_sending(HEALTH_CHECK);
    let active = rig.client_sending(HEALTH_CHECK);
    rig.advance_time(1500.0);
    rig.receive(active, HEALTH_CHECK);
    rig.advance_time(400.0);
    assert_eq!(
        (close_orders(&rig, idle), close_orders(&rig, active)),
        (0, 0)
    );
    rig.advance_time(400.0);
    assert_eq!(
        (close_orders(&rig, idle), close_orders(&rig, active)),
        (1, 0),
        "after 2 s, with one order"
    );
}

#[test]
fn clients_with_open_requests_are_never_evicted() {
    let mut rig = Rig::with_settings(&settings_document(64, 32, DISCOVERY));
    let max_connections = (64 - 24) * 6 / 10;
    let all: Vec<_> = (0..max_connections)
        .map(|i| rig.client_sending(&request_text("read", 100 + i as u64, 0)))
        .collect();
    rig.advance_time(400.0);
    assert!(!rig.core.can_accept());
    assert!(
        all.iter()
            .all(|conn| !rig.closed(*conn) && rig.close_idle_orders(*conn) == 0)
    );
}

#[test]
fn the_slowest_message_is_refused_at_the_bound_on_incomplete_messages() {
    let mut rig = Rig::with_settings(&settings_document(1024, 32, DISCOVERY));
    let body = "x".repeat(60_000);
    let half = request_text("write", 7, 0).replacen(
        "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 65000\r\n\r\n",
        1,
    ) + &body;
    let all: Vec<_> = (0..100)
        .map(|_| {
            rig.advance_time(1.0);
            rig.client_sending(&half)
        })
        .collect();
    assert!(
        rig.size("held_bytes") <= 3_200_000,
        "{}",
        rig.size("held_bytes")
    );
    assert_eq!(
        (rig.statuses(all[0]), rig.statuses(all[99]).len()),
        (vec!["413".to_string()], 0)
    );
    let usual = rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.establish(0);
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(usual), ["200"]);
}

#[test]
fn at_the_bound_on_node_connections_an_idle_one_is_closed_for_another_node() {
    let mut rig = Rig::with_settings(&settings_document(34, 32, DISCOVERY));
    // The limit allows four connections to nodes and four clients. The four idle connections to one node occupy all
    // descriptors, so one of them is closed for the other node.
    let clients: Vec<_> = (1..=4)
        .map(|i| rig.client_sending(&request_text("read", i, 0)))
        .collect();
    let conns = rig.connections_to(NODES[0].1);
    assert_eq!(conns.len(), 4);
    for conn in &conns {
        rig.input(Input::Connected(*conn));
        rig.input(Input::Written(*conn));
    }
    for conn in &conns {
        rig.receive(*conn, &response(200, "", "b"));
        rig.advance_time(1.0);
    }
    rig.receive(clients[0], &request_text("read", 9, 1));
    assert_eq!(
        (
            rig.closed(conns[0]),
            rig.connections_to(NODES[1].1).len(),
            rig.size("node_connections")
        ),
        (true, 1, 4)
    );
}

/// A message that is received after the signal to shut down.
#[derive(Debug)]
struct LateMessage {
    after_signal_ms: f64,
    /// Whether its connection was open before the signal.
    connected_before: bool,
    /// Whether the connection stays open after the response.
    keep_alive: bool,
}

impl LateMessage {
    fn check(&self) {
        let mut rig = Rig::new();
        let busy = rig.client_sending(&request_text("read", 1, 0));
        let conn = rig.establish(0);
        rig.receive(conn, &response(200, "", "b"));
        rig.pass_reuse_delay();
        let early = rig.client();
        rig.input(Input::Shutdown);
        rig.advance_time(self.after_signal_ms);
        let client = if self.connected_before {
            early
        } else {
            rig.client()
        };
        rig.receive(client, &request_text("read", 2, 0));
        rig.input(Input::Shutdown);
        rig.input(Input::Written(conn));
        rig.receive(conn, &response(200, "", "b"));
        assert_eq!(rig.statuses(client), ["200"], "{self:?}");
        let announces_close = rig.responses(client)[0].contains("Connection: close");
        assert_eq!(announces_close, !self.keep_alive, "{self:?}");
        assert!(!rig.outputs.contains(&Output::Exit));
        rig.advance_time(1200.0 - self.after_signal_ms);
        assert!(rig.outputs.contains(&Output::StopAccepting), "{self:?}");
        assert!(rig.close_idle_orders(busy) > 0, "{self:?}");
        for conn in [busy, early, client] {
            rig.input(Input::Closed(conn));
        }
        assert_eq!(rig.outputs.last(), Some(&Output::Exit), "{self:?}");
    }
}

/// The settings of these tests have a deadline of 1.5 s and a latency objective of 0.6 s, so the platform kills a host
/// 2.2 s after the signal. The last half second of that is reserved for writing responses.
#[test]
fn shutdown_answers_all_requests_and_exits() {
    let cases = [
        (0.0, true, true),
        (0.0, false, true),
        (1050.0, true, true),
        (1050.0, false, true),
        (1200.0, true, false),
    ];
    for (after_signal_ms, connected_before, keep_alive) in cases {
        let message = LateMessage {
            after_signal_ms,
            connected_before,
            keep_alive,
        };
        message.check();
    }
}

/// Guards against an exit while clients wait in the backlog until slots or descriptors are free: their connections are
/// established, and the requests that they have sent would be lost.
#[test]
fn the_host_does_not_exit_before_its_backlog_is_empty() {
    let mut rig = Rig::new();
    rig.input(Input::Shutdown);
    rig.input(Input::BacklogWaits);
    rig.advance_time(1200.0);
    assert!(rig.outputs.contains(&Output::StopAccepting) && !rig.outputs.contains(&Output::Exit));
    let late = rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.establish(0);
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(late), ["200"]);
    rig.input(Input::Closed(late));
    assert!(!rig.outputs.contains(&Output::Exit));
    rig.input(Input::BacklogEmpty);
    assert_eq!(rig.outputs.last(), Some(&Output::Exit));
}

#[test]
fn connections_stay_open_in_the_first_stage_of_shutdown() {
    let mut rig = Rig::new();
    let idle = rig.client();
    rig.input(Input::Shutdown);
    rig.advance_time(1090.0);
    assert!(rig.close_idle_orders(idle) == 0 && !rig.outputs.contains(&Output::StopAccepting));
    rig.advance_time(20.0);
    assert!(rig.close_idle_orders(idle) == 1 && rig.outputs.contains(&Output::StopAccepting));
}

#[test]
fn shutdown_exits_before_the_platform_kills_and_answers_open_requests() {
    // With this latency objective, a request accepted within the first half second can still be open shortly before the
    // exit.
    let mut rig = Rig::with_settings(
        &settings_document(1024, 192, DISCOVERY)
            .replace("\"objective\":600.0", "\"objective\":1900.0"),
    );
    rig.input(Input::Shutdown);
    rig.advance_time(490.0);
    let half = rig.client_sending("GET / HT");
    let patient = rig.client_sending(&request_text("read", 1, 0).replace("Ms: 1500", "Ms: 9000"));
    rig.establish(0);
    rig.advance_time(1340.0);
    assert!(rig.statuses(patient).is_empty() && !rig.outputs.contains(&Output::Exit));
    rig.advance_time(30.0);
    // All messages are answered, but the host waits until the responses are written and the connections have ended,
    assert_eq!(
        (rig.statuses(patient), rig.statuses(half)),
        (vec!["500".to_string()], vec!["503".to_string()])
    );
    assert!(rig.finished(patient) && rig.finished(half) && !rig.outputs.contains(&Output::Exit));
    rig.input(Input::Closed(patient));
    assert!(!rig.outputs.contains(&Output::Exit));
    // or until shortly before the platform kills the process, even if a client does not read its response.
    rig.advance_time(280.0);
    assert!(!rig.outputs.contains(&Output::Exit));
    rig.advance_time(20.0);
    assert_eq!(rig.outputs.last(), Some(&Output::Exit));
}

/// After a second signal, in any stage of the shutdown, the host answers all open requests and exits within a second.
#[test]
fn a_second_signal_answers_open_requests_and_then_exits() {
    for after in [0.0, 600.0, 1200.0, 1500.0] {
        let mut rig = Rig::new();
        let waiting = rig.client_sending(&request_text("read", 1, 0));
        let idle = rig.client_sending(HEALTH_CHECK);
        rig.input(Input::Shutdown);
        rig.advance_time(after);
        let in_flight = rig.client_sending(&request_text("once", 2, 0));
        rig.establish(0);
        rig.input(Input::ShutdownNow);
        rig.input(Input::ShutdownNow);
        let statuses = [waiting, in_flight].map(|conn| rig.statuses(conn));
        let first = if after < 600.0 { "500" } else { "503" };
        assert_eq!(statuses, [[first], ["500"]], "{after}");
        assert!(
            rig.finished(in_flight) && rig.close_idle_orders(idle) == 1,
            "{after}"
        );
        assert!(
            rig.outputs.contains(&Output::StopAccepting) && !rig.outputs.contains(&Output::Exit),
            "{after}"
        );
        // A request that crosses the close of the idle connection is refused with 503: it never ran.
        rig.receive(idle, &request_text("read", 3, 0));
        assert_eq!(
            (
                rig.statuses(idle).last().unwrap().as_str(),
                rig.metrics().requests_accepted
            ),
            ("503", 2),
            "{after}"
        );
        [waiting, in_flight, idle]
            .into_iter()
            .for_each(|conn| rig.input(Input::Closed(conn)));
        assert_eq!(rig.outputs.last(), Some(&Output::Exit), "{after}");
    }
}

/// Serves a request. Its node and its client close their connections after some of the requests.
fn serve_one(rig: &mut Rig, trace: u64) {
    let client = rig.client_sending(&request_text("read", trace, 0));
    let conn = *rig.connections_to(NODES[0].1).last().unwrap();
    rig.input(Input::Connected(conn));
    rig.input(Input::Written(conn));
    let fields = if trace.is_multiple_of(7) {
        "Connection: close\r\n"
    } else {
        ""
    };
    rig.receive(conn, &response(200, fields, "b"));
    if trace.is_multiple_of(3) {
        rig.input(Input::Closed(client));
    }
    rig.advance_time(20.0);
    for conn in rig.take_idle_closes() {
        rig.input(Input::Closed(conn));
    }
}

#[test]
fn sizes_do_not_grow_with_the_number_of_finished_requests() {
    let mut rig = Rig::with_settings(&settings_document(256, 32, DISCOVERY));
    let mut rounds = Vec::new();
    for round in 0..40u64 {
        for request in 1..=50 {
            serve_one(&mut rig, 100 + round * 50 + request);
        }
        rig.discovery_answers(&page(10 + round, false, &[]));
        let newest = [NODES[0].1, DISCOVERY].map(|to| *rig.connections_to(to).last().unwrap());
        rig.outputs.retain(
            |output| matches!(output, Output::Connect { conn, .. } if newest.contains(conn)),
        );
        rig.advance_time(1000.0);
        let sizes: BTreeMap<_, _> = rig.core.size_metrics().into_iter().collect();
        rounds.push(sizes);
    }
    let largest = |rounds: &[BTreeMap<&str, usize>], name: &str| {
        rounds.iter().map(|sizes| sizes[name]).max().unwrap()
    };
    for name in rounds[0].keys() {
        let early = largest(&rounds[10..20], name);
        let late = largest(&rounds[30..], name);
        let most = early + early / 5 + 2;
        assert!(late <= most, "{name}: {early}, then {late}");
    }
}

/// Guards against memory beyond the limit: each connection to a node may hold a largest response, and their number was
/// bounded by descriptors only.
#[test]
fn connections_to_nodes_are_bounded_by_the_memory_for_their_responses() {
    for (memory_mb, connections) in [(1, 3), (32, 8)] {
        let mut rig = Rig::with_settings(&settings_document(1024, memory_mb, DISCOVERY));
        for trace in 0..8 {
            rig.client_sending(&request_text("read", 1 + trace, trace as i64 % 2));
        }
        let opened = NODES.map(|(_, address)| rig.connections_to(address).len());
        assert_eq!(opened.iter().sum::<usize>(), connections, "{memory_mb}");
    }
}
