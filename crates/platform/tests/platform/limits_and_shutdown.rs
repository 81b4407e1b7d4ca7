//! What is held has a bound, leaving loses nothing, and nothing grows with what came and went.

use crate::rig::*;
use gullsail_platform::core::{Input, Output};

#[test]
fn silent_clients_are_evicted_and_usual_ones_still_connect() {
    let mut rig = Rig::with(&settings_document(256, 32, DISCOVERY));
    let max_connections = (256 - 24) * 6 / 10;
    let soft_limit = max_connections - 8;
    // Many silent clients at once, then one after the other: the oldest silent one is evicted, unless it
    // sends something.
    let silent: Vec<_> = (0..soft_limit).map(|_| rig.client()).collect();
    let usual = rig.client_sending(&request_text("read", 1, 0));
    assert_eq!(
        (
            rig.close_idle_orders(silent[0]),
            rig.close_idle_orders(silent[1])
        ),
        (1, 0)
    );
    rig.input(Input::WriteClosed(silent[0]));
    let conn = rig.establish(0);
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(usual), ["200"]);
    let slow = rig.client_sending("GET /re");
    for _ in 0..1000 {
        rig.client();
        rig.advance_time(1.0);
        // Each that is reported to end does so; its client may still hold on.
        let ordered = |output: &Output| {
            if let Output::CloseIdle { conn, .. } = output {
                Some(*conn)
            } else {
                None
            }
        };
        let ordered: Vec<_> = rig.out.iter().filter_map(ordered).collect();
        rig.out
            .retain(|output| !matches!(output, Output::CloseIdle { .. }));
        ordered
            .into_iter()
            .for_each(|conn| rig.input(Input::WriteClosed(conn)));
    }
    assert!(rig.size("clients") <= max_connections);
    let kept = |rig: &Rig, conn| {
        !rig.closed(conn) && rig.close_idle_orders(conn) == 0 && !rig.finished(conn)
    };
    assert!(kept(&rig, usual), "who was served before keeps its place");
    assert!(kept(&rig, slow), "and so does who is saying something");
    assert_eq!(rig.metrics().connection_limit_reached, 0);
    // Of those that end, none is counted twice: one for each new client beyond the places.
    assert!(
        (1002..=2 * 1002).contains(&rig.metrics().clients_evicted),
        "{}",
        rig.metrics().clients_evicted
    );
    // A client that was served and is idle keeps its place for 2 s, also from new clients. These are served
    // in the places that are kept for them and their connections end behind the answer; when those are taken
    // too, new clients wait in the backlog.
    let mut rig = Rig::with(&settings_document(256, 32, DISCOVERY));
    let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
    let all: Vec<_> = (0..soft_limit)
        .map(|_| rig.client_sending(health))
        .collect();
    rig.advance_time(1900.0);
    let guests: Vec<_> = (0..8).map(|_| rig.client_sending(health)).collect();
    assert!(
        !rig.core.can_accept()
            && all
                .iter()
                .all(|conn| !rig.closed(*conn) && rig.close_idle_orders(*conn) == 0)
    );
    assert!(guests.iter().all(|conn| rig.statuses(*conn) == ["500"]
        || rig.statuses(*conn) == ["200"] && rig.finished(*conn)));
    assert_eq!(rig.metrics().connection_limit_reached, 8);
    // A connection that is over but for the client's own close is dropped for a new client at once.
    rig.input(Input::WriteClosed(guests[0]));
    assert!(rig.core.can_accept());
    let newcomer = rig.client();
    rig.advance();
    assert!(rig.closed(guests[0]) && !rig.core.can_accept());
    rig.input(Input::Closed(newcomer));
    assert!(rig.core.can_accept());
    rig.advance_time(300.0);
    assert!(
        all.iter().all(|conn| rig.close_idle_orders(*conn) == 1),
        "after 2 s they give way"
    );
}

/// Clients have only so many connections themselves: a client that sends one request and stays must not hold
/// them from the others.
#[test]
fn idle_connections_are_closed_after_two_seconds_and_not_before() {
    let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
    let quiet = |rig: &Rig, conn| rig.close_idle_orders(conn);
    let mut rig = Rig::with(&settings_document(256, 32, DISCOVERY));
    let (one, back) = (rig.client_sending(health), rig.client_sending(health));
    rig.advance_time(1500.0);
    rig.receive(back, health);
    rig.advance_time(400.0);
    assert_eq!((quiet(&rig, one), quiet(&rig, back)), (0, 0));
    rig.advance_time(400.0);
    assert_eq!(
        (quiet(&rig, one), quiet(&rig, back)),
        (1, 0),
        "after 2 s, and told once"
    );
}

#[test]
fn clients_with_open_requests_are_never_evicted() {
    let mut rig = Rig::with(&settings_document(64, 32, DISCOVERY));
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
fn incomplete_messages_have_a_bound_and_the_slowest_is_refused() {
    let mut rig = Rig::with(&settings_document(1024, 32, DISCOVERY));
    let (head, body) = (request_text("write", 7, 0), "x".repeat(60_000));
    let half = head.replacen(
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
fn node_connections_have_a_bound_and_idle_ones_are_closed_for_others() {
    let mut rig = Rig::with(&settings_document(34, 32, DISCOVERY));
    // Four places for nodes, four for clients: two idle connections to one node are closed for another's.
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

/// The settings of these tests: an deadline of 1.5 s, an latency objective of 0.6 s. The platform ends a host
/// 2.2 s after the signal, and half a second of that is left for answers to be written.
#[test]
fn shutdown_answers_everything_and_exits() {
    // When the message comes after the signal to shut down, whether its connection was open before, and
    // whether the connection goes on after the answer.
    let cases = [
        (0.0, true, true),
        (0.0, false, true),
        (1050.0, true, true),
        (1050.0, false, true),
    ];
    let late = [(1200.0, true, false)];
    for (after, before, goes_on) in cases.into_iter().chain(late) {
        let mut rig = Rig::new();
        let busy = rig.client_sending(&request_text("read", 1, 0));
        let conn = rig.establish(0);
        rig.receive(conn, &response(200, "", "b"));
        let early = rig.client();
        rig.input(Input::Shutdown);
        rig.advance_time(after);
        let client = if before { early } else { rig.client() };
        rig.receive(client, &request_text("read", 2, 0));
        rig.input(Input::Shutdown);
        rig.input(Input::Written(conn));
        rig.receive(conn, &response(200, "", "b"));
        assert_eq!(rig.statuses(client), ["200"], "{after} {before}");
        assert_eq!(
            rig.responses(client)[0].contains("Connection: close"),
            !goes_on,
            "{after} {before}"
        );
        assert!(!rig.out.contains(&Output::Exit));
        rig.advance_time(1200.0 - after);
        let quiet = |conn| rig.close_idle_orders(conn) > 0;
        assert!(
            rig.out.contains(&Output::StopAccepting) && quiet(busy),
            "{after} {before}"
        );
        for conn in [busy, early, client] {
            rig.input(Input::Closed(conn));
        }
        assert_eq!(rig.out.last(), Some(&Output::Exit), "{after} {before}");
    }
}

#[test]
fn connections_stay_open_in_the_first_stage_of_shutdown() {
    let mut rig = Rig::new();
    let idle = rig.client();
    rig.input(Input::Shutdown);
    rig.advance_time(1090.0);
    assert!(rig.close_idle_orders(idle) == 0 && !rig.out.contains(&Output::StopAccepting));
    rig.advance_time(20.0);
    assert!(rig.close_idle_orders(idle) == 1 && rig.out.contains(&Output::StopAccepting));
}

#[test]
fn shutdown_exits_before_the_platform_kills_and_answers_open_requests() {
    // An latency objective so long that what is taken within the first half second can be open then.
    let mut rig = Rig::with(
        &settings_document(1024, 192, DISCOVERY)
            .replace("\"objective\":600.0", "\"objective\":1900.0"),
    );
    rig.input(Input::Shutdown);
    rig.advance_time(490.0);
    let half = rig.client_sending("GET / HT");
    let patient = rig.client_sending(&request_text("read", 1, 0).replace("Ms: 1500", "Ms: 9000"));
    rig.establish(0);
    rig.advance_time(1340.0);
    assert!(rig.statuses(patient).is_empty() && !rig.out.contains(&Output::Exit));
    rig.advance_time(30.0);
    // Answered, but not gone before all of it is written and the connections have ended,
    assert_eq!(
        (rig.statuses(patient), rig.statuses(half)),
        (vec!["500".to_string()], vec!["503".to_string()])
    );
    assert!(rig.finished(patient) && rig.finished(half) && !rig.out.contains(&Output::Exit));
    rig.input(Input::Closed(patient));
    assert!(!rig.out.contains(&Output::Exit));
    // unless the platform would end the host: a reader that takes nothing holds it up no longer.
    rig.advance_time(280.0);
    assert!(!rig.out.contains(&Output::Exit));
    rig.advance_time(20.0);
    assert_eq!(rig.out.last(), Some(&Output::Exit));
}

/// A second signal ends all within a second, and open requests are answered first, whatever stage the host is
/// at.
#[test]
fn a_second_signal_answers_open_requests_and_then_exits() {
    for after in [0.0, 600.0, 1200.0, 1500.0] {
        let mut rig = Rig::new();
        let waits = rig.client_sending(&request_text("read", 1, 0));
        let resting = rig.client_sending("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        rig.input(Input::Shutdown);
        rig.advance_time(after);
        let out = rig.client_sending(&request_text("once", 2, 0));
        rig.establish(0);
        rig.input(Input::ShutdownNow);
        rig.input(Input::ShutdownNow);
        let statuses = [waits, out].map(|conn| rig.statuses(conn));
        let first = if after < 600.0 { "500" } else { "503" };
        assert_eq!(statuses, [[first], ["500"]], "{after}");
        assert!(
            rig.finished(out) && rig.close_idle_orders(resting) == 1,
            "{after}"
        );
        assert!(
            rig.out.contains(&Output::StopAccepting) && !rig.out.contains(&Output::Exit),
            "{after}"
        );
        // What crossed the end of a connection that rested is refused: it never ran.
        rig.receive(resting, &request_text("read", 3, 0));
        assert_eq!(
            (
                rig.statuses(resting).last().unwrap().as_str(),
                rig.metrics().requests_accepted
            ),
            ("503", 2),
            "{after}"
        );
        [waits, out, resting]
            .into_iter()
            .for_each(|conn| rig.input(Input::Closed(conn)));
        assert_eq!(rig.out.last(), Some(&Output::Exit), "{after}");
    }
}

#[test]
fn no_size_grows_with_finished_work() {
    let mut rig = Rig::with(&settings_document(256, 32, DISCOVERY));
    let mut trace = 100;
    let mut size_metrics = Vec::new();
    for round in 0..40u64 {
        for _ in 0..50 {
            trace += 1;
            let client = rig.client_sending(&request_text("read", trace, 0));
            let conn = *rig.connections_to(NODES[0].1).last().unwrap();
            rig.input(Input::Connected(conn));
            rig.input(Input::Written(conn));
            rig.receive(
                conn,
                &response(
                    200,
                    if trace % 7 == 0 {
                        "Connection: close\r\n"
                    } else {
                        ""
                    },
                    "b",
                ),
            );
            if trace % 3 == 0 {
                rig.input(Input::Closed(client));
            }
            rig.advance_time(20.0);
            // Who is reported to end does so.
            let ordered = |output: &Output| {
                if let Output::CloseIdle { conn, .. } = output {
                    Some(*conn)
                } else {
                    None
                }
            };
            let ordered: Vec<_> = rig.out.iter().filter_map(ordered).collect();
            rig.out
                .retain(|output| !matches!(output, Output::CloseIdle { .. }));
            ordered
                .into_iter()
                .for_each(|conn| rig.input(Input::Closed(conn)));
        }
        rig.discovery_answers(&page(10 + round, false, &[]));
        let newest = [NODES[0].1, DISCOVERY].map(|to| *rig.connections_to(to).last().unwrap());
        rig.out.retain(
            |output| matches!(output, Output::Connect { conn, .. } if newest.contains(conn)),
        );
        rig.advance_time(1000.0);
        size_metrics.push(rig.core.size_metrics());
    }
    let largest = |size_metrics: &[Vec<(&'static str, usize)>], name: &str| {
        let of = |all: &Vec<(&str, usize)>| all.iter().find(|size| size.0 == name).unwrap().1;
        size_metrics.iter().map(of).max().unwrap()
    };
    for (name, _) in &size_metrics[0] {
        let (early, late) = (
            largest(&size_metrics[10..20], name),
            largest(&size_metrics[30..], name),
        );
        assert!(
            late <= early + early / 5 + 2,
            "{name}: {early}, then {late}"
        );
    }
}
