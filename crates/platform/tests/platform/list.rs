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
        answer(200, "", &drains.replace("DRAINING", "SLEEPING")),
        answer(200, "", &drains.replace("\"block\":0", "\"block\":\"x\"")),
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

#[test]
fn silence_is_noticed_and_tries_are_spaced() {
    let mut r = Rig::new();
    r.pass(3_400.0);
    assert_eq!(r.counts().list_lost, 0);
    r.pass(200.0);
    assert_eq!(r.counts().list_lost, 1);
    r.pass(30_000.0);
    let tries = r.dialled(DISCOVERY).len();
    assert!((8..20).contains(&tries), "{tries}");
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
    ];
    for (text, names) in cases {
        let why = Document::read("config.json", &text).unwrap_err().to_string();
        assert!(why.contains(names) && why.contains("config.json"), "{why}");
    }
    assert!(Document::read("config.json", &sound).is_ok());
}
