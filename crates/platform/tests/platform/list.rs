//! Discovery: what is asked, what is taken, what changes nothing; other documents at every stage.

use crate::rig::*;
use gullsail_platform::core::Input;
use gullsail_platform::document::Document;

#[test]
fn the_whole_list_then_each_next_question_at_once() {
    let mut r = Rig::new();
    let conn = r.dialled(DISCOVERY)[0];
    r.list(&page(41, false, &[(1, "DRAINING", 0.0)]));
    let asked: Vec<_> =
        r.sent(conn).iter().map(|t| t.lines().next().unwrap_or_default().to_string()).collect();
    let watch = |seq| format!("GET /catalog/members?after={seq}&wait_ms=2000 HTTP/1.1");
    assert_eq!(asked, ["GET /catalog/members HTTP/1.1".to_string(), watch(1), watch(41)]);
}

#[test]
fn what_cannot_be_read_changes_nothing_and_the_whole_list_is_asked_for_anew() {
    let drains = page(2, false, &[(0, "DRAINING", 0.0)]);
    let cases = [
        answer(200, "", "{\"seq\":2"),
        answer(500, "", &drains),
        "HTTP/1.1 200 OK\r\n\r\n".to_string() + &drains,
        "noise\r\n\r\n".to_string(),
    ];
    for text in cases {
        let mut r = Rig::new();
        let conn = r.dialled(DISCOVERY)[0];
        r.say(conn, &text);
        assert!(r.closed(conn), "{text}");
        r.asks(&ask("read", 1, 0));
        assert_eq!(r.dialled(NODES[0].1).len(), 1, "{text}: the node is still ready");
        r.pass(100.0);
        assert_eq!(r.dialled(DISCOVERY).len(), 2, "{text}");
        r.list(&page(7, true, &[(0, "DRAINING", 0.0), (1, "SERVING", 0.0)]));
        assert_eq!((r.counts().lists, r.counts().list_lost), (2, 1), "{text}");
    }
}

/// An entry that cannot be read is skipped: its node stays as it was, and what the others say counts. Nodes of zones,
/// cells and kinds that no settings name, or none at all, end nothing; what no node takes is answered at once.
#[test]
fn an_odd_entry_does_not_hide_the_others() {
    let both = page(2, true, &[(0, "SERVING", 0.0), (1, "DRAINING", 0.0)]);
    // the page, entries skipped, what a read for each cell is answered at once, if anything
    let cases = [
        (both.replacen("SERVING", "SLEEPING", 1), 1, [None, None]),
        (both.replacen("\"block\":0", "\"block\":\"x\"", 1), 1, [None, None]),
        (both.replacen("\"block\":0,", "", 1), 1, [None, None]),
        (both.replacen("\"hosts\":[", "\"hosts\":[7,", 1), 1, [None, None]),
        (both.replacen("\"site\":\"a\"", "\"site\":\"z\"", 1), 0, [None, None]),
        (both.replacen("\"class\":\"m\"", "\"class\":\"new\"", 1), 0, [None, None]),
        (both.replacen("\"block\":0", "\"block\":99", 1), 0, [Some("503"), None]),
        (page(2, true, &[]), 0, [None, None]),
    ];
    for (text, skipped, answers) in cases {
        let mut r = Rig::new();
        r.list(&text);
        assert_eq!((r.counts().entries_skipped, r.counts().list_lost), (skipped, 0), "{text}");
        for (cell, wanted) in answers.into_iter().enumerate() {
            let client = r.asks(&ask("read", cell as u64 + 1, cell as i64));
            assert_eq!(r.statuses(client).first().map(String::as_str), wanted, "{text}: cell {cell}");
        }
        // The one that drains is sent nothing in any case.
        assert_eq!(r.dialled(NODES[1].1).len(), 0, "{text}");
        let goes = answers[0].is_none() && !text.contains("[]");
        assert_eq!(r.dialled(NODES[0].1).len(), usize::from(goes), "{text}");
    }
    // A host that knows of no node at all.
    let none = document(1024, 192, DISCOVERY).replace("\"known\":{", "\"old\":{");
    let mut r = Rig::with(&none);
    r.list(&page(2, true, &[]));
    let client = r.asks(&ask("once", 1, 1));
    r.pass(700.0);
    assert_eq!(r.statuses(client), ["503"]);
}

/// Where lists are pushed, an agent answers at once and what it holds counts as told: from loss to loss it is asked again
/// well within a drain's grace of half a second, for as long as discovery may be down. An agent that is slow is given time
/// in the end. Elsewhere tries cost the list service something, and are spaced.
#[test]
fn silence_is_noticed_and_tries_are_spaced() {
    // mode; tries in the first ten seconds of silence, and in twenty more
    for (mode, first, later) in [("push", 25..50, 30..60), ("ask", 3..8, 6..14)] {
        let text = document(1024, 192, DISCOVERY).replace("\"push\"", &format!("\"{mode}\""));
        let mut r = Rig::with(&text);
        r.pass(3_400.0);
        assert_eq!(r.counts().list_lost, 0, "{mode}");
        r.pass(200.0);
        assert_eq!(r.counts().list_lost, 1, "{mode}");
        for (span, within) in [(10_000.0, first), (20_000.0, later)] {
            let before = r.dialled(DISCOVERY).len();
            r.pass(span);
            let tries = r.dialled(DISCOVERY).len() - before;
            assert!(within.contains(&tries), "{mode}: {tries} in {span} ms");
        }
        let tries = r.dialled(DISCOVERY).len();
        r.pass(2_400.0);
        assert!(r.dialled(DISCOVERY).len() <= tries + 8, "{mode}: one of two is patient by now");
    }
}

#[test]
fn a_node_that_drains_or_is_gone_is_sent_nothing_and_its_connections_end() {
    for news in [
        page(2, false, &[(0, "DRAINING", 0.0)]),
        page(2, false, &[(0, "DELETED", 0.0)]),
        page(2, true, &[(1, "SERVING", 0.0)]),
    ] {
        let mut r = Rig::new();
        r.asks(&ask("read", 1, 0));
        let idle = r.up(0);
        r.asks(&ask("read", 2, 0));
        let busy = r.up(0);
        r.say(idle, &answer(200, "", "b"));
        r.list(&news);
        assert!(r.closed(idle) && !r.closed(busy), "{news}: what is out goes on");
        let client = r.asks(&ask("read", 3, 0));
        r.pass(50.0);
        assert_eq!((r.dialled(NODES[0].1).len(), r.sent(idle).len(), r.statuses(client).len()), (2, 1, 0));
        r.say(busy, &answer(200, "", "b"));
        assert!(r.closed(busy));
    }
}

#[test]
fn a_node_that_moved_is_dialled_where_it_is() {
    let mut r = Rig::new();
    r.list(&page(2, false, &[(0, "SERVING", 0.0)]).replace(NODES[0].1, "10.9.9.9:1"));
    r.asks(&ask("read", 1, 0));
    assert_eq!((r.dialled("10.9.9.9:1").len(), r.dialled(NODES[0].1).len()), (1, 0));
}

#[test]
fn another_document_moves_discovery_and_touches_nothing_else() {
    // While a client is within its head, its leg waits, its leg is out, and while the host leaves; always twice.
    let moved = Document::read("d", &document(1024, 192, "10.2.0.9:8500")).unwrap();
    for stage in 0..4 {
        let mut r = Rig::new();
        let text = ask("read", 1, 0);
        let client = r.client();
        r.say(client, &text[..if stage == 0 { 30 } else { text.len() }]);
        if stage >= 2 {
            r.up(0);
        }
        if stage == 3 {
            r.put(Input::Stop);
        }
        let old = r.dialled(DISCOVERY)[0];
        r.put(Input::Reload(Box::new(moved.clone())));
        r.put(Input::Reload(Box::new(moved.clone())));
        let new = *r.dialled("10.2.0.9:8500").last().unwrap();
        assert!(r.closed(old), "{stage}");
        r.put(Input::Up(new));
        assert!(r.sent(new)[0].starts_with("GET /catalog/members HTTP"), "{stage}: whole");
        r.say(new, &answer(200, "", &page(3, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)])));
        if stage == 0 {
            r.say(client, &text[30..]);
        }
        if stage < 2 {
            r.up(0);
        }
        let link = r.dialled(NODES[0].1)[0];
        r.say(link, &answer(200, "", "b"));
        assert_eq!((r.statuses(client), r.counts().list_lost), (vec!["200".to_string()], 0), "{stage}");
    }
}

#[test]
fn unsound_documents_say_where_and_what_was_meant() {
    let sound = document(256, 32, DISCOVERY);
    let cases = [
        (sound[..sound.len() / 2].to_string(), "line "),
        (String::new(), "EOF"),
        (sound.replacen("\"discovery\"", "\"dscovery\"", 1), "discovery"),
        (sound.replacen("\"sockets\":256", "\"sockets\":\"many\"", 1), "many"),
        (sound.replacen("\"sockets\":256", "\"sockets\":8", 1), "at least 32"),
        (sound.replacen("127.0.0.1:0", "here", 1), "line 1"),
        (sound.replacen("\"effect\":\"pure\"", "\"effect\":\"odd\"", 1), "unknown effect 'odd'"),
        // Where it is, and what was meant.
        (sound.replacen("\"peers-total\":2", "\"peers-total\":\"two\"", 1), "settings.peers-total"),
        (sound.replacen("\"nominal\":10.0", "\"nominal\":\"x\"", 1), "settings.policies[0].nominal"),
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
        (sound.replacen("\"rank\":0", "\"rank\":2", 1), "settings.rank: a number below peers-total, 2"),
        (sound.replacen("\"push\"", "\"pull\"", 1), "settings.membership-mode: 'push' or 'ask'"),
        (
            sound.replacen("\"name\":\"write\"", "\"name\":\"read\"", 1),
            "settings.profiles[1].name: another name",
        ),
        (
            sound.replacen("[false,true,true]", "[false]", 1),
            "settings.family-info.writes: one word for each of 3",
        ),
        (sound.replacen("\"slots-total\":2", "\"slots-total\":-2", 1), "settings.family-info.slots-total"),
        (
            sound.replacen("\"objective\":600.0", "\"objective\":0.0", 1),
            "settings.profiles[0].objective: a time above",
        ),
        (
            sound.replacen("\"max-attempts\":3", "\"max-attempts\":0", 1),
            "settings.limits.max-attempts: at least one",
        ),
        (
            sound.replacen("\"overload-for\"", "\"free-resends\":3.0,\"overload-for\"", 1),
            "settings.rules.look-back",
        ),
    ];
    for (text, names) in cases {
        let why = Document::read("config.json", &text).unwrap_err().to_string();
        assert!(why.contains(names) && why.contains("config.json"), "{why}");
    }
    // Keys that are not known are skipped, wherever they stand.
    let more = sound.replacen("\"tick\"", "\"novelty\":{\"a\":[1]},\"tick\"", 1);
    let more = more.replacen("\"listen\"", "\"weather\":null,\"listen\"", 1);
    assert!(Document::read("config.json", &sound).is_ok() && Document::read("config.json", &more).is_ok());
}
