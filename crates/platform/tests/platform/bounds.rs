//! What is held has a bound, leaving loses nothing, and nothing grows with what came and went.

use crate::rig::*;
use gullsail_platform::core::{Input, Output};

#[test]
fn silent_clients_give_way_and_usual_ones_still_connect() {
    let mut r = Rig::with(&document(256, 32, DISCOVERY));
    let most = (256 - 24) * 6 / 10;
    let silent: Vec<_> = (0..most).map(|_| r.client()).collect();
    assert!(r.core.accept(r.now).is_none(), "newcomers among newcomers are turned away");
    r.pass(400.0);
    let usual = r.asks(&ask("read", 1, 0));
    assert!(r.closed(silent[0]) && !r.closed(silent[1]));
    let link = r.up(0);
    r.say(link, &answer(200, "", "b"));
    assert_eq!(r.statuses(usual), ["200"]);
    for _ in 0..1000 {
        r.client();
        r.pass(5.0);
    }
    assert!(r.length("clients") <= most);
    assert!(!r.closed(usual), "who idles less than 2 s keeps its place");
    assert_eq!(r.counts().no_place, 1);
}

#[test]
fn open_transfers_never_give_way() {
    let mut r = Rig::with(&document(64, 32, DISCOVERY));
    let most = (64 - 24) * 6 / 10;
    let all: Vec<_> = (0..most).map(|i| r.asks(&ask("read", 100 + i as u64, 0))).collect();
    r.pass(400.0);
    assert!(r.core.accept(r.now).is_none());
    assert!(all.iter().all(|c| !r.closed(*c)));
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

#[test]
fn leaving_answers_all_and_ends() {
    // When the message comes after the word to leave, and whether its connection was open before.
    for (after, before) in [(0.0, true), (0.0, false), (300.0, true), (300.0, false), (600.0, true)] {
        let mut r = Rig::new();
        let (idle, busy) = (r.client(), r.asks(&ask("read", 1, 0)));
        let link = r.up(0);
        r.put(Input::Stop);
        let late = if before { r.client() } else { idle };
        r.pass(after);
        r.say(late, &ask("read", 2, 0));
        r.put(Input::Stop);
        r.pass(700.0 - after);
        assert!(r.out.contains(&Output::StopAccepting) && !r.out.contains(&Output::Left), "{after}");
        let mut others = r.dialled(NODES[0].1);
        others.retain(|c| *c != link);
        others.extend([link]);
        for conn in others {
            r.put(Input::Up(conn));
            r.put(Input::Written(conn));
            r.say(conn, &answer(200, "", "b"));
        }
        r.pass(10.0);
        for client in [busy, late] {
            assert_eq!(r.statuses(client).len(), 1, "{after} {before}");
            assert!(r.heard(client)[0].contains("Connection: close"), "{after} {before}");
        }
        for client in [idle, busy, late] {
            r.put(Input::Ended(client));
        }
        assert_eq!(r.out.last(), Some(&Output::Left), "{after} {before}");
    }
}

#[test]
fn idle_connections_outlive_the_first_half_second_of_leaving() {
    let mut r = Rig::new();
    let idle = r.client();
    r.put(Input::Stop);
    r.pass(490.0);
    let quiet = Output::CloseQuiet { conn: idle };
    assert!(!r.out.contains(&quiet));
    r.pass(20.0);
    assert!(r.out.contains(&quiet));
}

#[test]
fn leaving_ends_even_if_a_client_never_does() {
    let mut r = Rig::new();
    let _never = r.asks("GET / HT");
    r.put(Input::Stop);
    r.pass(6_400.0);
    assert!(!r.out.contains(&Output::Left));
    r.pass(200.0);
    assert!(r.out.contains(&Output::Left));
}

#[test]
fn nothing_grows_with_what_came_and_went() {
    let mut r = Rig::with(&document(256, 32, DISCOVERY));
    let mut trace = 100;
    let mut lengths = Vec::new();
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
        }
        r.list(&page(10 + round, false, &[]));
        let newest = [NODES[0].1, DISCOVERY].map(|to| *r.dialled(to).last().unwrap());
        r.out.retain(|o| matches!(o, Output::Dial { conn, .. } if newest.contains(conn)));
        r.pass(1000.0);
        lengths.push(r.core.lengths());
    }
    let most = |lengths: &[Vec<(&'static str, usize)>], name: &str| {
        let of = |all: &Vec<(&str, usize)>| all.iter().find(|l| l.0 == name).unwrap().1;
        lengths.iter().map(of).max().unwrap()
    };
    for (name, _) in &lengths[0] {
        let (early, late) = (most(&lengths[10..20], name), most(&lengths[30..], name));
        assert!(late <= early + early / 5 + 2, "{name}: {early}, then {late}");
    }
}
