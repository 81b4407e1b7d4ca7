//! Nodes and discovery that send a response a second time, some milliseconds later. Nothing in a response names its
//! request, so the host may take the copy for the response to its next message.

use crate::rig::{DISCOVERY, NODES, Rig, page, request_text, response, settings_document};
use gullsail_platform::core::{ConnectionId, Input};

/// Establishes all connections to the node that are not established yet, and reports all messages as written.
fn establish_all(rig: &mut Rig, node: usize) {
    for conn in rig.connections_to(NODES[node].1) {
        rig.input(Input::Connected(conn));
        rig.input(Input::Written(conn));
    }
}

/// How many messages to the node contain this trace id.
fn messages_with(rig: &Rig, node: usize, trace: u64) -> usize {
    let id = format!("X-Trace-Id: {trace:016x}");
    rig.connections_to(NODES[node].1)
        .iter()
        .flat_map(|conn| rig.sent(*conn))
        .filter(|message| message.contains(&id))
        .count()
}

/// A host that has received the first response on a connection, with the connection and the client of the next request.
/// The client sends its request this long after the response.
fn next_request(kind: &str, first: &str, after_ms: f64) -> (Rig, ConnectionId, ConnectionId) {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.establish(0);
    rig.receive(conn, first);
    rig.advance_time(after_ms);
    let client = rig.client_sending(&request_text(kind, 2, 0));
    rig.input(Input::Written(conn));
    (rig, conn, client)
}

/// Guards against a client that receives the response to another request: a node sends its response a second time, and
/// the copy is received after the next request came.
#[test]
fn a_late_second_response_is_not_passed_on_for_the_next_request() {
    let first = response(200, "", "made for the first");
    for (request_after_ms, copy_after_ms) in [(0.0, 1.0), (0.0, 2.0), (0.0, 10.0), (5.0, 10.0)] {
        let case = format!("request after {request_after_ms} ms, copy after {copy_after_ms} ms");
        let (mut rig, conn, client) = next_request("once", &first, request_after_ms);
        rig.advance_time(copy_after_ms - request_after_ms);
        rig.receive(conn, &first);
        assert!(rig.statuses(client).is_empty(), "{case}");
        assert!(rig.closed(conn), "{case}: it carries no further message");
        let new = rig.establish(0);
        rig.receive(new, &response(200, "", "made for it"));
        assert_eq!(rig.statuses(client), ["200"], "{case}");
        assert!(rig.responses(client)[0].ends_with("made for it"), "{case}");
    }
}

/// Guards against an unrepeatable request that nodes run twice: a second copy of a rejection is taken for the rejection
/// of the next attempt, which its node runs, and the host sends the request once more.
#[test]
fn a_late_second_rejection_does_not_repeat_a_request_that_runs() {
    let rejection = response(503, "X-Never-Ran: 1\r\n", "");
    for copy_after_ms in [1.0, 2.0, 5.0, 10.0] {
        let mut rig = Rig::new();
        let client = rig.client_sending(&request_text("once", 1, 0));
        let conn = rig.establish(0);
        rig.receive(conn, &rejection);
        rig.advance_time(copy_after_ms);
        establish_all(&mut rig, 0);
        rig.receive(conn, &rejection);
        for _ in 0..10 {
            rig.advance_time(10.0);
            establish_all(&mut rig, 0);
        }
        assert_eq!(messages_with(&rig, 0, 1), 2, "{copy_after_ms}");
        let retry = *rig.connections_to(NODES[0].1).last().unwrap();
        rig.receive(retry, &response(200, "", "b"));
        assert_eq!(rig.statuses(client), ["200"], "{copy_after_ms}");
    }
}

/// Guards against a host that opens a connection for each request: after the delay the connection is used again.
#[test]
fn a_connection_carries_the_next_request_after_the_reuse_delay() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("read", 1, 0));
    let conn = rig.establish(0);
    for trace in 2..20 {
        rig.receive(conn, &response(200, "", "b"));
        rig.pass_reuse_delay();
        rig.client_sending(&request_text("read", trace, 0));
        rig.input(Input::Written(conn));
    }
    assert_eq!(rig.sent(conn).len(), 19);
    assert_eq!(rig.metrics().node_connections_opened, 1);
}

/// A host with four descriptors for nodes, all in use by requests for these shards.
fn rig_at_the_descriptor_bound(shards: [i64; 4]) -> (Rig, Vec<ConnectionId>) {
    let mut rig = Rig::with_settings(&settings_document(34, 32, DISCOVERY));
    let clients = (1..)
        .zip(shards)
        .map(|(trace, shard)| rig.client_sending(&request_text("read", trace, shard)))
        .collect();
    establish_all(&mut rig, 0);
    establish_all(&mut rig, 1);
    assert_eq!(rig.size("node_connections"), 4);
    (rig, clients)
}

/// Guards against attempts that starve at the bound on descriptors: they wait for a connection that was used a moment
/// ago, and no event would start them.
#[test]
fn at_the_descriptor_bound_attempts_wait_for_the_reuse_delay() {
    let (mut rig, clients) = rig_at_the_descriptor_bound([0; 4]);
    let conns = rig.connections_to(NODES[0].1);
    for (conn, client) in conns.iter().zip(&clients) {
        rig.receive(*conn, &response(200, "", "b"));
        rig.receive(*client, &request_text("once", 10 + conn.0, 0));
    }
    rig.pass_reuse_delay();
    for conn in &conns {
        assert_eq!(rig.sent(*conn).len(), 2);
        rig.input(Input::Written(*conn));
        rig.receive(*conn, &response(200, "", "b"));
    }
    assert!(
        clients
            .iter()
            .all(|client| rig.statuses(*client) == ["200"; 2])
    );
    assert_eq!(rig.metrics().node_connections_opened, 4);
}

/// Guards against attempts that starve at the bound on descriptors because another node's attempts take each connection
/// as it becomes free.
#[test]
fn at_the_descriptor_bound_the_attempt_that_has_waited_longest_gets_the_connection() {
    for longest in [0, 1] {
        let (mut rig, _clients) = rig_at_the_descriptor_bound([0, 0, 0, 1]);
        let conns = rig.connections_to(NODES[0].1);
        for (trace, shard) in [(10, longest), (11, 1 - longest)] {
            rig.client_sending(&request_text("read", trace, shard));
            rig.advance_time(1.0);
        }
        rig.receive(conns[0], &response(200, "", "b"));
        assert_eq!(rig.closed(conns[0]), longest == 1, "{longest}");
        rig.receive(conns[1], &response(200, "", "b"));
        assert_eq!(rig.closed(conns[1]), longest == 0, "{longest}");
        assert_eq!(rig.connections_to(NODES[1].1).len(), 2, "{longest}");
        rig.pass_reuse_delay();
        establish_all(&mut rig, 1);
        for (trace, shard) in [(10, longest), (11, 1 - longest)] {
            let sent = messages_with(&rig, shard as usize, trace);
            assert_eq!(sent, 1, "{longest}: {trace}");
        }
    }
}

/// Guards against an attempt that waits in vain at the bound on descriptors: the connection that it needs becomes idle
/// only after the attempt has begun to wait.
#[test]
fn at_the_descriptor_bound_a_connection_that_becomes_idle_is_closed_for_another_node() {
    let (mut rig, _clients) = rig_at_the_descriptor_bound([0; 4]);
    let conns = rig.connections_to(NODES[0].1);
    let client = rig.client_sending(&request_text("read", 10, 1));
    rig.receive(conns[0], &response(200, "", "b"));
    assert!(rig.closed(conns[0]));
    let new = rig.establish(1);
    rig.receive(new, &response(200, "", "made for it"));
    assert_eq!(rig.statuses(client), ["200"]);
}

/// Guards against polls that pile up behind one another: a second copy of a page is taken for the response to the next
/// poll, and the host sends one more on the same connection.
#[test]
fn a_second_copy_of_a_page_is_not_the_response_to_the_next_poll() {
    let mut rig = Rig::new();
    let conn = rig.connections_to(DISCOVERY)[0];
    let drain = page(2, false, &[(0, "DRAINING", 0.0)]);
    rig.discovery_answers(&drain);
    assert_eq!(rig.sent(conn).len(), 3);
    rig.advance_time(2.0);
    rig.discovery_answers(&drain);
    assert_eq!(rig.sent(conn).len(), 3, "no further poll on it");
    assert!(rig.closed(conn));
    rig.advance_time(100.0);
    let new = *rig.connections_to(DISCOVERY).last().unwrap();
    assert!(new != conn, "the host asks on another connection");
    // A poll whose wait is over may report no change.
    rig.discovery_answers(&page(2, true, &[(0, "DRAINING", 0.0), (1, "SERVING", 0.0)]));
    rig.advance_time(2_000.0);
    rig.discovery_answers(&page(2, false, &[]));
    assert!(!rig.closed(new));
    assert_eq!(rig.sent(new).len(), 3);
}
