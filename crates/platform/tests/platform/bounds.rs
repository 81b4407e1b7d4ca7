//! What is held has a bound, leaving loses nothing, and nothing grows with what came and went.

use crate::rig::*;
use gullsail_platform::core::{Input, Output};

#[test]
fn silent_clients_give_way_and_usual_ones_still_connect() {
    let mut r = Rig::with(&document(256, 32, DISCOVERY));
    let most = (256 - 24) * 6 / 10;
    let usual_places = most - 8;
    // A crowd, and then one after the other at any rate: the oldest of the silent ones goes, unless it says something.
    let silent: Vec<_> = (0..usual_places).map(|_| r.client()).collect();
    let usual = r.asks(&ask("read", 1, 0));
    assert_eq!((r.closed_idle(silent[0]), r.closed_idle(silent[1])), (1, 0));
    r.put(Input::Shut(silent[0]));
    let link = r.up(0);
    r.say(link, &answer(200, "", "b"));
    assert_eq!(r.statuses(usual), ["200"]);
    let slow = r.asks("GET /re");
    for _ in 0..1000 {
        r.client();
        r.pass(1.0);
        // Each that is told to end does so; its client may still hold on.
        let told = |o: &Output| if let Output::CloseIdle { conn, .. } = o { Some(*conn) } else { None };
        let told: Vec<_> = r.out.iter().filter_map(told).collect();
        r.out.retain(|o| !matches!(o, Output::CloseIdle { .. }));
        told.into_iter().for_each(|conn| r.put(Input::Shut(conn)));
    }
    assert!(r.length("clients") <= most);
    let kept = |r: &Rig, conn| !r.closed(conn) && r.closed_idle(conn) == 0 && !r.finished(conn);
    assert!(kept(&r, usual), "who was served before keeps its place");
    assert!(kept(&r, slow), "and so does who is saying something");
    assert_eq!(r.counts().no_place, 0);
    // Of those that end, none is counted twice: one for each newcomer beyond the places.
    assert!((1002..=2 * 1002).contains(&r.counts().made_room), "{}", r.counts().made_room);
    // Who was served and idles keeps its place for 2 s, also from newcomers. These are served in the places that are kept
    // for them and their connections end behind the answer; when those are taken too, newcomers wait with the system.
    let mut r = Rig::with(&document(256, 32, DISCOVERY));
    let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
    let all: Vec<_> = (0..usual_places).map(|_| r.asks(health)).collect();
    r.pass(1900.0);
    let guests: Vec<_> = (0..8).map(|_| r.asks(health)).collect();
    assert!(!r.core.has_place() && all.iter().all(|c| !r.closed(*c) && r.closed_idle(*c) == 0));
    assert!(guests.iter().all(|c| r.statuses(*c) == ["500"] || r.statuses(*c) == ["200"] && r.finished(*c)));
    assert_eq!(r.counts().no_place, 8);
    // Who is ended but for the client's own end is dropped for a newcomer at once.
    r.put(Input::Shut(guests[0]));
    assert!(r.core.has_place());
    let newcomer = r.client();
    r.go();
    assert!(r.closed(guests[0]) && !r.core.has_place());
    r.put(Input::Ended(newcomer));
    assert!(r.core.has_place());
    r.pass(300.0);
    assert!(all.iter().all(|c| r.closed_idle(*c) == 1), "after 2 s they give way");
}

/// Clients have only so many connections themselves: who asks once and stays must not hold them from the others.
#[test]
fn idle_connections_are_closed_after_two_seconds_and_not_before() {
    let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
    let quiet = |r: &Rig, conn| r.closed_idle(conn);
    let mut r = Rig::with(&document(256, 32, DISCOVERY));
    let (one, back) = (r.asks(health), r.asks(health));
    r.pass(1500.0);
    r.say(back, health);
    r.pass(400.0);
    assert_eq!((quiet(&r, one), quiet(&r, back)), (0, 0));
    r.pass(400.0);
    assert_eq!((quiet(&r, one), quiet(&r, back)), (1, 0), "after 2 s, and told once");
}

#[test]
fn open_requests_never_give_way() {
    let mut r = Rig::with(&document(64, 32, DISCOVERY));
    let most = (64 - 24) * 6 / 10;
    let all: Vec<_> = (0..most).map(|i| r.asks(&ask("read", 100 + i as u64, 0))).collect();
    r.pass(400.0);
    assert!(!r.core.has_place());
    assert!(all.iter().all(|c| !r.closed(*c) && r.closed_idle(*c) == 0));
}

#[test]
fn bytes_that_are_coming_have_a_bound_and_the_slowest_gives_way() {
    let mut r = Rig::with(&document(1024, 32, DISCOVERY));
    let (head, body) = (ask("write", 7, 0), "x".repeat(60_000));
    let half = head.replacen("Content-Length: 4\r\n\r\nbody", "Content-Length: 65000\r\n\r\n", 1) + &body;
    let all: Vec<_> = (0..100)
        .map(|_| {
            r.pass(1.0);
            r.asks(&half)
        })
        .collect();
    assert!(r.length("bytes") <= 3_200_000, "{}", r.length("bytes"));
    assert_eq!((r.statuses(all[0]), r.statuses(all[99]).len()), (vec!["413".to_string()], 0));
    let usual = r.asks(&ask("read", 1, 0));
    let link = r.up(0);
    r.say(link, &answer(200, "", "b"));
    assert_eq!(r.statuses(usual), ["200"]);
}

#[test]
fn connections_to_nodes_have_a_bound_and_idle_ones_give_way() {
    let mut r = Rig::with(&document(34, 32, DISCOVERY));
    // Four places for nodes, four for clients: two idle links at one node make room for another's.
    let clients: Vec<_> = (1..=4).map(|i| r.asks(&ask("read", i, 0))).collect();
    let links = r.dialled(NODES[0].1);
    assert_eq!(links.len(), 4);
    for l in &links {
        r.put(Input::Up(*l));
        r.put(Input::Written(*l));
    }
    for l in &links {
        r.say(*l, &answer(200, "", "b"));
        r.pass(1.0);
    }
    r.say(clients[0], &ask("read", 9, 1));
    assert_eq!((r.closed(links[0]), r.dialled(NODES[1].1).len(), r.length("links")), (true, 1, 4));
}

/// The settings of these tests: an deadline of 1.5 s, an latency objective of 0.6 s. The platform ends a host 2.2 s after the word, and
/// half a second of that is left for answers to be written.
#[test]
fn leaving_answers_all_and_ends() {
    // When the message comes after the word to leave, whether its connection was open before, and whether the connection
    // goes on after the answer.
    let cases = [(0.0, true, true), (0.0, false, true), (1050.0, true, true), (1050.0, false, true)];
    let late = [(1200.0, true, false)];
    for (after, before, goes_on) in cases.into_iter().chain(late) {
        let mut r = Rig::new();
        let busy = r.asks(&ask("read", 1, 0));
        let link = r.up(0);
        r.say(link, &answer(200, "", "b"));
        let early = r.client();
        r.put(Input::Stop);
        r.pass(after);
        let client = if before { early } else { r.client() };
        r.say(client, &ask("read", 2, 0));
        r.put(Input::Stop);
        r.put(Input::Written(link));
        r.say(link, &answer(200, "", "b"));
        assert_eq!(r.statuses(client), ["200"], "{after} {before}");
        assert_eq!(r.heard(client)[0].contains("Connection: close"), !goes_on, "{after} {before}");
        assert!(!r.out.contains(&Output::Exit));
        r.pass(1200.0 - after);
        let quiet = |conn| r.closed_idle(conn) > 0;
        assert!(r.out.contains(&Output::StopAccepting) && quiet(busy), "{after} {before}");
        for conn in [busy, early, client] {
            r.put(Input::Ended(conn));
        }
        assert_eq!(r.out.last(), Some(&Output::Exit), "{after} {before}");
    }
}

#[test]
fn connections_outlive_the_first_of_leaving() {
    let mut r = Rig::new();
    let idle = r.client();
    r.put(Input::Stop);
    r.pass(1090.0);
    assert!(r.closed_idle(idle) == 0 && !r.out.contains(&Output::StopAccepting));
    r.pass(20.0);
    assert!(r.closed_idle(idle) == 1 && r.out.contains(&Output::StopAccepting));
}

#[test]
fn leaving_ends_before_the_platform_ends_it_and_answers_what_is_open() {
    // An latency objective so long that what is taken within the first half second can be open then.
    let mut r =
        Rig::with(&document(1024, 192, DISCOVERY).replace("\"objective\":600.0", "\"objective\":1900.0"));
    r.put(Input::Stop);
    r.pass(490.0);
    let half = r.asks("GET / HT");
    let patient = r.asks(&ask("read", 1, 0).replace("Ms: 1500", "Ms: 9000"));
    r.up(0);
    r.pass(1340.0);
    assert!(r.statuses(patient).is_empty() && !r.out.contains(&Output::Exit));
    r.pass(30.0);
    // Answered, but not gone before all of it is written and the connections have ended,
    assert_eq!((r.statuses(patient), r.statuses(half)), (vec!["500".to_string()], vec!["503".to_string()]));
    assert!(r.finished(patient) && r.finished(half) && !r.out.contains(&Output::Exit));
    r.put(Input::Ended(patient));
    assert!(!r.out.contains(&Output::Exit));
    // unless the platform would end the host: a reader that takes nothing holds it up no longer.
    r.pass(280.0);
    assert!(!r.out.contains(&Output::Exit));
    r.pass(20.0);
    assert_eq!(r.out.last(), Some(&Output::Exit));
}

/// A second word ends all within a second, and what was taken has its answer first, whatever stage the host is at.
#[test]
fn a_second_word_answers_what_is_open_and_then_leaves() {
    for after in [0.0, 600.0, 1200.0, 1500.0] {
        let mut r = Rig::new();
        let waits = r.asks(&ask("read", 1, 0));
        let resting = r.asks("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        r.put(Input::Stop);
        r.pass(after);
        let out = r.asks(&ask("once", 2, 0));
        r.up(0);
        r.put(Input::StopNow);
        r.put(Input::StopNow);
        let statuses = [waits, out].map(|c| r.statuses(c));
        let first = if after < 600.0 { "500" } else { "503" };
        assert_eq!(statuses, [[first], ["500"]], "{after}");
        assert!(r.finished(out) && r.closed_idle(resting) == 1, "{after}");
        assert!(r.out.contains(&Output::StopAccepting) && !r.out.contains(&Output::Exit), "{after}");
        // What crossed the end of a connection that rested is refused: it never ran.
        r.say(resting, &ask("read", 3, 0));
        assert_eq!((r.statuses(resting).last().unwrap().as_str(), r.counts().taken), ("503", 2), "{after}");
        [waits, out, resting].into_iter().for_each(|conn| r.put(Input::Ended(conn)));
        assert_eq!(r.out.last(), Some(&Output::Exit), "{after}");
    }
}

#[test]
fn nothing_grows_with_what_came_and_went() {
    let mut r = Rig::with(&document(256, 32, DISCOVERY));
    let mut trace = 100;
    let mut size_metrics = Vec::new();
    for round in 0..40u64 {
        for _ in 0..50 {
            trace += 1;
            let client = r.asks(&ask("read", trace, 0));
            let link = *r.dialled(NODES[0].1).last().unwrap();
            r.put(Input::Up(link));
            r.put(Input::Written(link));
            r.say(link, &answer(200, if trace % 7 == 0 { "Connection: close\r\n" } else { "" }, "b"));
            if trace % 3 == 0 {
                r.put(Input::Ended(client));
            }
            r.pass(20.0);
            // Who is told to end does so.
            let told = |o: &Output| if let Output::CloseIdle { conn, .. } = o { Some(*conn) } else { None };
            let told: Vec<_> = r.out.iter().filter_map(told).collect();
            r.out.retain(|o| !matches!(o, Output::CloseIdle { .. }));
            told.into_iter().for_each(|conn| r.put(Input::Ended(conn)));
        }
        r.list(&page(10 + round, false, &[]));
        let newest = [NODES[0].1, DISCOVERY].map(|to| *r.dialled(to).last().unwrap());
        r.out.retain(|o| matches!(o, Output::Dial { conn, .. } if newest.contains(conn)));
        r.pass(1000.0);
        size_metrics.push(r.core.size_metrics());
    }
    let most = |size_metrics: &[Vec<(&'static str, usize)>], name: &str| {
        let of = |all: &Vec<(&str, usize)>| all.iter().find(|l| l.0 == name).unwrap().1;
        size_metrics.iter().map(of).max().unwrap()
    };
    for (name, _) in &size_metrics[0] {
        let (early, late) = (most(&size_metrics[10..20], name), most(&size_metrics[30..], name));
        assert!(late <= early + early / 5 + 2, "{name}: {early}, then {late}");
    }
}
