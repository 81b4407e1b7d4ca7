//! What clients are answered: requests, what is none, and clients that go or come at every stage.

use crate::rig::*;
use gullsail_platform::core::{Input, Output};

#[test]
fn what_is_no_request_is_refused_with_its_status_and_never_passed_on() {
    let sound = ask("write", 7, 0);
    let but = |from: &str, to: &str| {
        assert!(sound.contains(from), "{from}");
        sound.replacen(from, to, 1)
    };
    let cases = [
        (but("/write/", "/other/"), "404"),
        (but("/00000003b4d60021", ""), "404"),
        (but("3b4d60021", "3b4d6002"), "404"),
        (but("7f3a9c21e0b4d655", "7f3a9c21e0b4d65x"), "404"),
        (but("?q=1", "/more"), "404"),
        (but("PUT", "GET"), "405"),
        (but("PUT", "POST"), "405"),
        (ask("read", 7, 0).replacen("GET", "PUT", 1), "405"),
        (but("X-Qos: write", "X-Qos: read"), "400"),
        (but("X-Qos: write", "X-Qos: write\r\nX-Qos: write"), "400"),
        (but("X-Qos: write\r\n", ""), "400"),
        (but("X-Storage-Class: free", "X-Storage-Class: gold"), "400"),
        (but("X-Storage-Class: free\r\n", ""), "400"),
        (but("X-Trace-Id: 0000000000000007\r\n", ""), "400"),
        (but("X-Trace-Id: 0000000000000007", "X-Trace-Id: 7"), "400"),
        (but("X-Trace-Id: 0000000000000007", "X-Trace-Id: 000000000000000g"), "400"),
        (
            but(
                "X-Trace-Id: 0000000000000007",
                "X-Trace-Id: 0000000000000007\r\nx-trace-id: 0000000000000008",
            ),
            "400",
        ),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: soon"), "400"),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: -5"), "400"),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: 1.5"), "400"),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: 0"), "400"),
        (but("X-Expires-In-Ms: 1500", "X-Expires-In-Ms: 99999999999999999999"), "400"),
        (but("units=1", "units=0"), "400"),
        (but("units=1", "units=7"), "400"),
        (but("units=1", "units=nan"), "400"),
        (but("units=1", "units=1,units=1"), "400"),
        (but("shard=0", "shard=2"), "400"),
        (but("shard=0", "shard=-2"), "400"),
        (but("hosts=1", "hosts=0"), "400"),
        (but("hosts=1", "hosts=3"), "400"),
        (but("X-Extent: units=1,shard=0,hosts=1\r\n", ""), "400"),
        (but("Idempotency-Key: k1\r\n", ""), "400"),
        (but("Content-Length: 4\r\n\r\nbody", "\r\n"), "411"),
        (but("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"), "400"),
        (but("Content-Length: 4", "Content-Length: -4"), "400"),
        (but("Content-Length: 4", "Content-Length: 60000000"), "413"),
        (but("Host: h", &format!("A: {}", "x".repeat(20_000))), "431"),
        (ask("read", 7, 0).replacen("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx", 1), "400"),
        ("\u{1}\u{2} noise\r\n\r\n".to_string(), "400"),
        ("GET /elsewhere HTTP/1.1\r\n\r\n".to_string(), "404"),
    ];
    for (text, status) in &cases {
        let mut r = Rig::new();
        let client = r.asks(text);
        assert_eq!(r.statuses(client), [*status], "{text}");
        assert_eq!((r.counts().taken, r.dialled(NODES[0].1).len()), (0, 0), "{text}");
        assert_eq!(r.counts().refused.values().sum::<u64>(), 1, "{text}");
    }
    let mut r = Rig::new();
    r.asks(&sound);
    assert_eq!((r.counts().taken, r.counts().refused.len()), (1, 0));
}

#[test]
fn an_id_that_is_open_is_refused_and_the_first_is_not_touched() {
    let mut r = Rig::new();
    let first = r.asks(&ask("read", 7, 0));
    let link = r.up(0);
    let second = r.asks(&ask("read", 7, 0));
    assert_eq!((r.statuses(second), r.statuses(first).len()), (vec!["409".to_string()], 0));
    r.say(link, &answer(200, "", "b"));
    assert_eq!(r.statuses(first), ["200"]);
    // Once it is over, the id may come again.
    r.say(first, &ask("read", 7, 0));
    assert_eq!(r.counts().taken, 2);
}

#[test]
fn a_client_that_goes_takes_only_its_own_with_it() {
    // Before a word, within a head, within a body, while its attempt waits, while it is out, and after the answer.
    let text = ask("write", 7, 0);
    for (stage, said) in
        [(0, 0), (1, 40), (2, text.len() - 2), (3, text.len()), (4, text.len()), (5, text.len())]
    {
        let mut r = Rig::new();
        let client = r.asks(&text[..said]);
        let link = if stage >= 4 { Some(r.up(0)) } else { None };
        if let (5, Some(link)) = (stage, link) {
            r.say(link, &answer(200, "", "b"));
        }
        r.put(Input::Ended(client));
        assert_eq!(r.counts().client_left, u64::from(stage == 3 || stage == 4), "{stage}");
        if let (4, Some(link)) = (stage, link) {
            // Its attempt runs to its end, and the connection goes on.
            assert!(!r.closed(link) && r.length("legs") == 1);
            r.say(link, &answer(200, "", "b"));
            r.asks(&ask("read", 8, 0));
            assert_eq!(r.sent(link).len(), 2);
            r.put(Input::Written(link));
            r.say(link, &answer(200, "", "b"));
        }
        r.pass(2000.0);
        assert_eq!((r.length("transfers"), r.length("legs"), r.length("bytes")), (0, 0, 0), "{stage}");
    }
}

#[test]
fn messages_that_come_together_are_answered_in_turn() {
    let mut r = Rig::new();
    let client = r.asks(&(ask("read", 1, 0) + &ask("read", 2, 0) + &ask("read", 3, 0)));
    assert_eq!(r.counts().taken, 1, "one at a time");
    for trace in 1..=3 {
        let link = if trace == 1 { r.up(0) } else { r.dialled(NODES[0].1)[0] };
        r.put(Input::Written(link));
        assert!(r.sent(link).last().unwrap().contains(&format!("X-Trace-Id: {trace:016x}")));
        r.say(link, &answer(200, "", "b"));
    }
    assert_eq!(r.statuses(client), ["200", "200", "200"]);
}

/// What comes beyond what may wait is read over, so that the end of the connection is seen whatever stands before it.
#[test]
fn who_sends_too_much_ahead_gets_one_answer_and_the_end_behind_it_is_seen() {
    let mut r = Rig::new();
    let client = r.asks(&ask("read", 1, 0));
    let link = r.up(0);
    let ignored = |r: &Rig| r.out.iter().filter(|o| **o == Output::Ignore { conn: client }).count();
    r.say(client, &ask("read", 2, 0).repeat(20));
    assert_eq!(ignored(&r), 0);
    let held = r.length("bytes");
    (0..3).for_each(|_| r.say(client, &ask("read", 2, 0).repeat(40)));
    assert_eq!((ignored(&r), r.length("bytes"), r.counts().crowded), (1, held, 1));
    r.say(link, &answer(200, "", "b"));
    assert_eq!((r.statuses(client), r.finished(client)), (vec!["200".to_string()], true));
    assert_eq!(r.counts().taken, 1, "what waited is not sent on");
    // It ends meanwhile: no attempt goes out for it.
    let mut r = Rig::new();
    let client = r.asks(&ask("read", 1, 0));
    r.say(client, &ask("read", 2, 0).repeat(60));
    r.put(Input::Ended(client));
    let link = r.up(0);
    assert_eq!((r.sent(link).len(), r.counts().client_left, r.length("transfers")), (0, 1, 0));
}

/// An answer that its reader does not take holds up what waits behind it: nothing is begun for who may be gone.
#[test]
fn what_waits_behind_an_answer_is_begun_when_that_is_written() {
    let mut r = Rig::new();
    r.stuck = true;
    let client = r.asks(&(ask("read", 1, 0) + &ask("read", 2, 0)));
    let link = r.up(0);
    r.say(link, &answer(200, "", "b"));
    assert_eq!((r.statuses(client).len(), r.counts().taken), (1, 1));
    r.pass(1000.0);
    assert_eq!(r.counts().taken, 1);
    r.put(Input::Written(client));
    assert_eq!(r.counts().taken, 2);
}

#[test]
fn a_slow_message_gets_an_error_within_the_time_that_is_owed() {
    for said in ["", "GET", &ask("write", 7, 0)[..200]] {
        let mut r = Rig::new();
        let client = r.client();
        if !said.is_empty() {
            r.say(client, said);
        }
        r.pass(2000.0);
        assert!(r.statuses(client).is_empty());
        r.pass(700.0);
        assert_eq!((r.statuses(client), r.finished(client)), (vec!["408".to_string()], true), "{said}");
    }
}

#[test]
fn what_is_given_up_on_is_answered_at_once_and_says_when_to_retry_after() {
    let mut r = Rig::new();
    r.list(&page(2, true, &[(1, "SERVING", 0.0)]));
    let client = r.asks(&ask("read", 7, 0));
    r.pass(580.0);
    assert!(r.statuses(client).is_empty());
    r.pass(20.0);
    assert_eq!(r.statuses(client), ["503"]);
    assert!(r.heard(client)[0].contains("Retry-After: 0.250\r\n"), "{:?}", r.heard(client));
}

#[test]
fn health_says_whether_the_list_is_there() {
    let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
    for (waits, listed, status) in [(0.0, false, "500"), (500.0, true, "200"), (1100.0, false, "200")] {
        let d = gullsail_platform::document::Document::read("d", &document(256, 32, DISCOVERY)).unwrap();
        let now = gullsail_scheduler_api::Instant::from_millis(1e9);
        let core = gullsail_platform::core::Core::new(d, 4096, now);
        let mut r = Rig { core, now, out: Vec::new(), stuck: false };
        r.go();
        if listed {
            r.list(&page(1, true, &[(0, "SERVING", 0.0)]));
        }
        r.pass(waits);
        let client = r.asks(health);
        assert_eq!(r.statuses(client), [status], "{waits} {listed}");
    }
}
