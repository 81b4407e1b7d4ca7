//! Discovery: polls, pages that count, pages that change nothing, and reloads at every stage.

use crate::rig::*;
use gullsail_platform::core::Input;
use gullsail_platform::settings_document::SettingsDocument;

#[test]
fn the_whole_list_then_the_next_poll_at_once() {
    let mut rig = Rig::new();
    let conn = rig.connections_to(DISCOVERY)[0];
    rig.discovery_answers(&page(41, false, &[(1, "DRAINING", 0.0)]));
    let asked: Vec<_> = rig
        .sent(conn)
        .iter()
        .map(|text| text.lines().next().unwrap_or_default().to_string())
        .collect();
    let watch = |seq| format!("GET /catalog/members?after={seq}&wait_ms=2000 HTTP/1.1");
    assert_eq!(
        asked,
        [
            "GET /catalog/members HTTP/1.1".to_string(),
            watch(1),
            watch(41)
        ]
    );
}

#[test]
fn a_malformed_page_changes_nothing_and_the_whole_list_is_requested() {
    let drains = page(2, false, &[(0, "DRAINING", 0.0)]);
    let cases = [
        response(200, "", "{\"seq\":2"),
        response(500, "", &drains),
        "HTTP/1.1 200 OK\r\n\r\n".to_string() + &drains,
        "noise\r\n\r\n".to_string(),
    ];
    for text in cases {
        let mut rig = Rig::new();
        let conn = rig.connections_to(DISCOVERY)[0];
        rig.receive(conn, &text);
        assert!(rig.closed(conn), "{text}");
        rig.client_sending(&request_text("read", 1, 0));
        assert_eq!(
            rig.connections_to(NODES[0].1).len(),
            1,
            "{text}: the node is still ready"
        );
        rig.advance_time(100.0);
        assert_eq!(rig.connections_to(DISCOVERY).len(), 2, "{text}");
        rig.discovery_answers(&page(7, true, &[(0, "DRAINING", 0.0), (1, "SERVING", 0.0)]));
        assert_eq!(
            (
                rig.metrics().discovery_snapshots,
                rig.metrics().discovery_lost
            ),
            (2, 1),
            "{text}"
        );
    }
}

/// An entry that cannot be read is skipped: its node stays as it was, and what the others say counts. Nodes
/// of zones, shards and kinds that no settings name, or none at all, end nothing; what no node takes is
/// answered at once.
#[test]
fn a_malformed_entry_does_not_hide_the_others() {
    let both = page(2, true, &[(0, "SERVING", 0.0), (1, "DRAINING", 0.0)]);
    // the page, entries skipped, what a read for each shard is answered at once, if anything
    let cases = [
        (both.replacen("SERVING", "SLEEPING", 1), 1, [None, None]),
        (
            both.replacen("\"block\":0", "\"block\":\"x\"", 1),
            1,
            [None, None],
        ),
        (both.replacen("\"block\":0,", "", 1), 1, [None, None]),
        (
            both.replacen("\"hosts\":[", "\"hosts\":[7,", 1),
            1,
            [None, None],
        ),
        (
            both.replacen("\"site\":\"a\"", "\"site\":\"z\"", 1),
            0,
            [None, None],
        ),
        (
            both.replacen("\"class\":\"m\"", "\"class\":\"new\"", 1),
            0,
            [None, None],
        ),
        (
            both.replacen("\"block\":0", "\"block\":99", 1),
            0,
            [Some("503"), None],
        ),
        (page(2, true, &[]), 0, [None, None]),
    ];
    for (text, skipped, answers) in cases {
        let mut rig = Rig::new();
        rig.discovery_answers(&text);
        assert_eq!(
            (
                rig.metrics().discovery_entries_skipped,
                rig.metrics().discovery_lost
            ),
            (skipped, 0),
            "{text}"
        );
        for (shard, wanted) in answers.into_iter().enumerate() {
            let client = rig.client_sending(&request_text("read", shard as u64 + 1, shard as i64));
            assert_eq!(
                rig.statuses(client).first().map(String::as_str),
                wanted,
                "{text}: cell {shard}"
            );
        }
        // The one that drains is sent nothing in any case.
        assert_eq!(rig.connections_to(NODES[1].1).len(), 0, "{text}");
        let goes = answers[0].is_none() && !text.contains("[]");
        assert_eq!(
            rig.connections_to(NODES[0].1).len(),
            usize::from(goes),
            "{text}"
        );
    }
    // A host that knows of no node at all.
    let none = settings_document(1024, 192, DISCOVERY).replace("\"known\":{", "\"old\":{");
    let mut rig = Rig::with(&none);
    rig.discovery_answers(&page(2, true, &[]));
    let client = rig.client_sending(&request_text("once", 1, 1));
    rig.advance_time(700.0);
    assert_eq!(rig.statuses(client), ["503"]);
}

/// Where lists are pushed, an agent answers at once and what it holds counts as reported: from loss to loss
/// it is polled again well within a drain's grace of a quarter of a second, for as long as discovery may be
/// down. Elsewhere retries cost the discovery service something, and are spaced. Either way a poll that is
/// silent stays open beside the next one, for a service that is slow.
#[test]
fn silence_is_noticed_and_retries_are_spaced() {
    // mode; the tries in each ten seconds of silence, and the longest between two of them in ms
    for (mode, tries, between) in [("push", 60..70, 160.0), ("ask", 5..8, 1600.0)] {
        let text =
            settings_document(1024, 192, DISCOVERY).replace("\"push\"", &format!("\"{mode}\""));
        let mut rig = Rig::with(&text);
        rig.advance_time(3_400.0);
        assert_eq!(rig.metrics().discovery_lost, 0, "{mode}");
        rig.advance_time(200.0);
        let open = |rig: &Rig| {
            rig.connections_to(DISCOVERY)
                .iter()
                .filter(|conn| !rig.closed(**conn))
                .count()
        };
        for _ in 0..3 {
            let before = rig.connections_to(DISCOVERY).len();
            for _ in 0..(10_000.0 / between) as usize {
                let last = rig.connections_to(DISCOVERY).len();
                rig.advance_time(between);
                assert!(rig.connections_to(DISCOVERY).len() > last, "{mode}");
                assert_eq!(open(&rig), 2, "{mode}: the newest and the one in doubt");
            }
            let tried = rig.connections_to(DISCOVERY).len() - before;
            assert!(tries.contains(&tried), "{mode}: {tried}");
        }
    }
}

/// The longest that failed polls in a row make the time until a change is known, from the moment that
/// discovery had it and could be reached: always under the 6 s after which it counts as reported.
#[test]
fn a_change_is_known_in_time_whatever_failed_before() {
    // How a try fails.
    let invalid_requests = |rig: &mut Rig, conn| rig.input(Input::Closed(conn));
    let silent = |_: &mut Rig, _| {};
    let silent_after_asking = |rig: &mut Rig, conn| rig.input(Input::Connected(conn));
    let silent_in_head = |rig: &mut Rig, conn| {
        (
            rig.input(Input::Connected(conn)),
            rig.receive(conn, "HTTP/1.1 200 OK\r\nContent-"),
        )
            .1
    };
    let silent_in_body = |rig: &mut Rig, conn| {
        rig.input(Input::Connected(conn));
        rig.receive(
            conn,
            "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":2,",
        );
    };
    let busy = |rig: &mut Rig, conn| {
        (
            rig.input(Input::Connected(conn)),
            rig.receive(conn, &response(503, "", "")),
        )
            .1
    };
    let ends_in_body = |rig: &mut Rig, conn| {
        rig.input(Input::Connected(conn));
        rig.receive(
            conn,
            "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":2,",
        );
        rig.input(Input::Closed(conn));
    };
    type Fails = fn(&mut Rig, gullsail_platform::core::ConnectionId);
    let all: [(&str, Fails); 7] = [
        ("refused", invalid_requests),
        ("never up", silent),
        ("silent when asked", silent_after_asking),
        ("silent in the head", silent_in_head),
        ("silent in the body", silent_in_body),
        ("busy", busy),
        ("ends in the body", ends_in_body),
    ];
    for (mode, longest_ms) in [("push", 160.0), ("ask", 2_400.0)] {
        for (one, first) in &all {
            for (two, second) in &all {
                let what = format!("{mode}: {one}, then {two}");
                let text = settings_document(1024, 192, DISCOVERY)
                    .replace("\"push\"", &format!("\"{mode}\""));
                let mut rig = Rig::with(&text);
                // The watch falls silent; long enough after it for tries to be as far apart as they get.
                let mut tried = rig.connections_to(DISCOVERY).len();
                let mut at = 0;
                let began = rig.now;
                let next = |rig: &mut Rig, tried: &mut usize| {
                    let from = rig.now;
                    while rig.connections_to(DISCOVERY).len() == *tried {
                        rig.advance_time(10.0);
                        assert!((rig.now - from).millis() < 6_000.0, "{what}");
                    }
                    *tried = rig.connections_to(DISCOVERY).len();
                    *rig.connections_to(DISCOVERY).last().unwrap()
                };
                while (rig.now - began).millis() < 20_000.0 {
                    let conn = next(&mut rig, &mut tried);
                    [first, second][at % 2](&mut rig, conn);
                    at += 1;
                }
                // From here it could be reached: by the next poll at the latest.
                let back = rig.now;
                let conn = next(&mut rig, &mut tried);
                let elapsed_ms = (rig.now - back).millis();
                assert!(elapsed_ms <= longest_ms, "{what}: {elapsed_ms} ms");
                rig.input(Input::Connected(conn));
                rig.receive(
                    conn,
                    &response(
                        200,
                        "",
                        &page(9, true, &[(0, "DRAINING", 0.0), (1, "SERVING", 0.0)]),
                    ),
                );
                rig.client_sending(&request_text("read", 1, 0));
                assert_eq!(
                    rig.connections_to(NODES[0].1).len(),
                    0,
                    "{what}: it is told"
                );
            }
        }
    }
}

/// Whichever of two open polls is answered first is followed, and the other connection is closed; what it
/// still sends is ignored.
#[test]
fn of_two_open_polls_the_first_answer_counts() {
    let drains = response(
        200,
        "",
        &page(9, true, &[(0, "DRAINING", 0.0), (1, "SERVING", 0.0)]),
    );
    let serves = response(
        200,
        "",
        &page(8, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]),
    );
    for old_first in [true, false] {
        let mut rig = Rig::new();
        let old = rig.connections_to(DISCOVERY)[0];
        rig.advance_time(3_510.0);
        let new = *rig.connections_to(DISCOVERY).last().unwrap();
        assert!(new != old && !rig.closed(old));
        rig.input(Input::Connected(new));
        let (first, second) = if old_first { (old, new) } else { (new, old) };
        rig.receive(first, &drains);
        assert!(rig.closed(second) && !rig.closed(first), "{old_first}");
        assert!(
            rig.sent(first).last().unwrap().contains("after=9&"),
            "{old_first}"
        );
        rig.receive(second, &serves);
        rig.input(Input::Closed(second));
        rig.client_sending(&request_text("read", 1, 0));
        assert_eq!(
            (
                rig.connections_to(NODES[0].1).len(),
                rig.metrics().discovery_snapshots
            ),
            (0, 2),
            "{old_first}"
        );
    }
}

/// A list that is older than one before it is ignored: nodes that it does not hold yet would be gone for
/// good. Where nothing newer comes for long, the numbers have begun anew.
#[test]
fn an_older_list_is_ignored_unless_nothing_newer_comes() {
    let mut rig = Rig::new();
    rig.discovery_answers(&page(9, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]));
    let older = page(8, true, &[(1, "SERVING", 0.0)]);
    let mut requests = Vec::new();
    for _ in 0..80 {
        let conn = *rig.connections_to(DISCOVERY).last().unwrap();
        if rig.sent(conn).is_empty() {
            rig.input(Input::Connected(conn));
        }
        if !rig.closed(conn) {
            rig.receive(conn, &response(200, "", &older));
        }
        requests.push((rig.now, rig.metrics().discovery_snapshots));
        rig.advance_time(100.0);
    }
    let first = requests
        .iter()
        .find(|request| request.1 == 3)
        .map(|request| (request.0 - requests[0].0).millis());
    assert!(
        first.is_some_and(|ms| (6_000.0..6_200.0).contains(&ms)),
        "{first:?}"
    );
    // A newer one in between: the older ones are counted anew.
    let mut rig = Rig::new();
    rig.discovery_answers(&page(9, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]));
    for seq in [8, 9, 8] {
        for _ in 0..30 {
            rig.advance_time(100.0);
            let conn = *rig.connections_to(DISCOVERY).last().unwrap();
            if !rig.closed(conn) {
                let all = [(0, "SERVING", 0.0), (1, "SERVING", 0.0)];
                rig.discovery_answers(&page(seq, true, &all[usize::from(seq < 9)..]));
            }
        }
    }
    rig.client_sending(&request_text("read", 1, 0));
    assert_eq!(rig.connections_to(NODES[0].1).len(), 1, "it is still there");
}

/// Lists may come indented, and long: other bodies may not.
#[test]
fn an_indented_list_of_many_nodes_is_parsed() {
    let all: Vec<_> = (0..600).map(|_| (1, "SERVING", 0.0)).collect();
    let compact = page(5, true, &all);
    let value: serde_json::Value = serde_json::from_str(&compact).unwrap();
    let indented = serde_json::to_string_pretty(&value).unwrap();
    assert!(indented.len() > 64 << 10);
    let mut rig = Rig::new();
    rig.discovery_answers(&indented);
    assert_eq!(
        (
            rig.metrics().discovery_snapshots,
            rig.metrics().discovery_lost
        ),
        (2, 0)
    );
}

#[test]
fn a_draining_or_gone_node_gets_no_requests_and_its_connections_close() {
    for change in [
        page(2, false, &[(0, "DRAINING", 0.0)]),
        page(2, false, &[(0, "DELETED", 0.0)]),
        page(2, true, &[(1, "SERVING", 0.0)]),
    ] {
        let mut rig = Rig::new();
        rig.client_sending(&request_text("read", 1, 0));
        let idle = rig.establish(0);
        rig.client_sending(&request_text("read", 2, 0));
        let busy = rig.establish(0);
        rig.receive(idle, &response(200, "", "b"));
        rig.discovery_answers(&change);
        assert!(
            rig.closed(idle) && !rig.closed(busy),
            "{change}: what is out goes on"
        );
        let client = rig.client_sending(&request_text("read", 3, 0));
        rig.advance_time(50.0);
        assert_eq!(
            (
                rig.connections_to(NODES[0].1).len(),
                rig.sent(idle).len(),
                rig.statuses(client).len()
            ),
            (2, 1, 0)
        );
        rig.receive(busy, &response(200, "", "b"));
        assert!(rig.closed(busy));
    }
}

#[test]
fn a_node_that_moved_is_connected_to_at_its_new_address() {
    let mut rig = Rig::new();
    rig.discovery_answers(
        &page(2, false, &[(0, "SERVING", 0.0)]).replace(NODES[0].1, "10.9.9.9:1"),
    );
    rig.client_sending(&request_text("read", 1, 0));
    assert_eq!(
        (
            rig.connections_to("10.9.9.9:1").len(),
            rig.connections_to(NODES[0].1).len()
        ),
        (1, 0)
    );
}

#[test]
fn a_reload_moves_discovery_and_nothing_else() {
    // While a client is within its head, its attempt waits, its attempt is out, and while the host leaves;
    // always twice.
    let moved =
        SettingsDocument::parse("d", &settings_document(1024, 192, "10.2.0.9:8500")).unwrap();
    for stage in 0..4 {
        let mut rig = Rig::new();
        let text = request_text("read", 1, 0);
        let client = rig.client();
        rig.receive(client, &text[..if stage == 0 { 30 } else { text.len() }]);
        if stage >= 2 {
            rig.establish(0);
        }
        if stage == 3 {
            rig.input(Input::Shutdown);
        }
        let old = rig.connections_to(DISCOVERY)[0];
        rig.input(Input::Reload(Box::new(moved.clone())));
        rig.input(Input::Reload(Box::new(moved.clone())));
        let new = *rig.connections_to("10.2.0.9:8500").last().unwrap();
        assert!(rig.closed(old), "{stage}");
        rig.input(Input::Connected(new));
        assert!(
            rig.sent(new)[0].starts_with("GET /catalog/members HTTP"),
            "{stage}: whole"
        );
        rig.receive(
            new,
            &response(
                200,
                "",
                &page(3, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]),
            ),
        );
        if stage == 0 {
            rig.receive(client, &text[30..]);
        }
        if stage < 2 {
            rig.establish(0);
        }
        let conn = rig.connections_to(NODES[0].1)[0];
        rig.receive(conn, &response(200, "", "b"));
        assert_eq!(
            (rig.statuses(client), rig.metrics().discovery_lost),
            (vec!["200".to_string()], 0),
            "{stage}"
        );
    }
}

#[test]
fn invalid_documents_say_where_and_what_was_expected() {
    let sound = settings_document(256, 32, DISCOVERY);
    let cases = [
        (sound[..sound.len() / 2].to_string(), "line "),
        (String::new(), "EOF"),
        (
            sound.replacen("\"discovery\"", "\"dscovery\"", 1),
            "discovery",
        ),
        (
            sound.replacen("\"sockets\":256", "\"sockets\":\"many\"", 1),
            "many",
        ),
        (
            sound.replacen("\"sockets\":256", "\"sockets\":8", 1),
            "at least 32",
        ),
        (sound.replacen("127.0.0.1:0", "here", 1), "line 1"),
        (
            sound.replacen("\"effect\":\"pure\"", "\"effect\":\"odd\"", 1),
            "unknown effect 'odd'",
        ),
        // Where it is, and what was meant.
        (
            sound.replacen("\"peers-total\":2", "\"peers-total\":\"two\"", 1),
            "settings.peers-total",
        ),
        (
            sound.replacen("\"nominal\":10.0", "\"nominal\":\"x\"", 1),
            "settings.policies[0].nominal",
        ),
        (
            sound.replacen("\"nominal\":10.0", "\"limit\":-1.0", 1),
            "settings.policies[0].limit: a figure of 0 or more",
        ),
        (
            sound.replacen("\"nominal\":10.0", "\"limit\":9.0,\"limit-burst\":5.0", 1),
            "settings.policies[0].limit-burst: room for one largest transfer, 6 units",
        ),
        (
            sound.replacen("\"tick\"", "\"zone\":\"x\",\"tick\"", 1),
            "settings.zone: one of the failure-domains [\"a\"]",
        ),
        (
            sound.replacen("\"tick\"", "\"stages\":[\"s\"],\"tier\":1,\"tick\"", 1),
            "settings.tier: one of the 1 stages was meant, not 1",
        ),
        (
            sound.replacen("\"rank\":0", "\"rank\":2", 1),
            "settings.rank: a number below peers-total, 2",
        ),
        (
            sound.replacen("\"push\"", "\"pull\"", 1),
            "settings.membership-mode: 'push' or 'ask'",
        ),
        (
            sound.replacen("\"name\":\"write\"", "\"name\":\"read\"", 1),
            "settings.profiles[1].name: another name",
        ),
        (
            sound.replacen("[false,true,true]", "[false]", 1),
            "settings.family-info.writes: one word for each of 3",
        ),
        (
            sound.replacen("\"slots-total\":2", "\"slots-total\":-2", 1),
            "settings.family-info.slots-total",
        ),
        (
            sound.replacen("\"objective\":600.0", "\"objective\":0.0", 1),
            "settings.profiles[0].objective: a time above",
        ),
        (
            sound.replacen("\"max-attempts\":3", "\"max-attempts\":0", 1),
            "settings.limits.max-attempts: at least one",
        ),
        (
            sound.replacen(
                "\"overload-for\"",
                "\"free-resends\":3.0,\"overload-for\"",
                1,
            ),
            "settings.rules.look-back",
        ),
    ];
    for (text, names) in cases {
        let why = SettingsDocument::parse("config.json", &text)
            .unwrap_err()
            .to_string();
        assert!(why.contains(names) && why.contains("config.json"), "{why}");
    }
    // Keys that are not known are skipped, wherever they stand.
    let more = sound.replacen("\"tick\"", "\"novelty\":{\"a\":[1]},\"tick\"", 1);
    let more = more.replacen("\"listen\"", "\"weather\":null,\"listen\"", 1);
    assert!(
        SettingsDocument::parse("config.json", &sound).is_ok()
            && SettingsDocument::parse("config.json", &more).is_ok()
    );
}
