//! Recordings made by hand: a sound one, and one with a planted breach of each rule, which must be found by
//! its rule alone and name the request.

use gullsail_audit::{Verdict, judge};
use gullsail_configuration::{Deployment, parse};
use gullsail_protocol::record::{Delivery, Entry, ProcessEvent, What};
use gullsail_protocol::*;

const DOCUMENT: &str = r#"
zone "a"
zone "b"
rules tick="20ms" drain-grace="1s" order-settle="200ms" most-units=8
cold units=10 window="1s" first-part=0.2 ramp="10s"
legs most=3 free=1 share=0 window="5s"
stream-type "read" effect="repeatable" slo="200ms" expiry="1s"
stream-type "photo" effect="keyed" group="cell" window="2s" slo="200ms" expiry="4s" write=#true
stream-type "record" effect="keyed" group="cell" window="2s" slo="200ms" expiry="1s" write=#true in-order=#true
stream-type "trip" effect="unrepeatable" slo="200ms" expiry="1s" write=#true
plan "base" limit="10units/s" burst=32 slack=2
plan "free"
machine "box" cores=1 unit="100ms" falls-over=2
host "h1" zone="a"
host "h2" zone="a"
node "n1" cell=1 zone="a" machine="box"
node "n2" cell=2 zone="b" machine="box"
volume "v" plan="free"
volume "w" plan="base"
"#;

/// Milliseconds to the recording's microseconds.
const MS: i64 = 1000;

struct Recording {
    lines: Vec<String>,
    attempts: u64,
}

impl Recording {
    fn new() -> Recording {
        let mut r = Recording { lines: Vec::new(), attempts: 0 };
        for name in ["n1", "n2", "h1", "h2"] {
            r.process(name, 0, ProcessEvent::Started { incarnation: 1 });
        }
        r
    }

    fn put(&mut self, at: i64, link: u64, from: &str, to: &str, what: What) {
        let (from, to) = (from.into(), to.into());
        let entry = Entry { at: at * MS, out: at * MS, link, from, to, what };
        self.lines.push(serde_json::to_string(&entry).unwrap());
    }

    fn frame(&mut self, at: i64, link: u64, from: &str, to: &str, message: Message) {
        self.put(at, link, from, to, What::Frame { message, body: 0, delivery: Delivery::Passed });
    }

    fn process(&mut self, name: &str, at: i64, incarnation: ProcessEvent) {
        self.put(at, 0, "script", name, What::Process { event: incarnation });
    }

    /// Client links are 1 to h1 and 2 to h2.
    fn submit(&mut self, at: i64, host: &str, id: u64, request_class: &str, volume: &str, units: f64) {
        let order_key = if request_class == "record" { "k".into() } else { String::new() };
        let (request_class, volume, mark) = (request_class.into(), volume.into(), format!("m{id}"));
        let timeout_us = if request_class == "photo" { 4000 * MS } else { 1000 * MS };
        let s = Submit { id, request_class, volume, units, mark, order_key, timeout_us, ..Submit::default() };
        self.frame(at, link(host), "client", host, Message::Submit(s));
    }

    fn answer(&mut self, at: i64, host: &str, id: u64, outcome: Outcome) {
        let a = Answer { id, outcome: outcome as i32, ..Answer::default() };
        self.frame(at, link(host), host, "client", Message::Answer(a));
    }

    /// Sent at `at`; answered after so long, if at all.
    fn attempt(
        &mut self,
        at: i64,
        host: &str,
        node: &str,
        id: u64,
        number: u32,
        result: Option<(i64, AttemptResult)>,
    ) {
        let submit = self.lines.iter().find_map(|l| match serde_json::from_str::<Entry>(l).unwrap().what {
            What::Frame { message: Message::Submit(s), .. } if s.id == id => Some(s),
            _ => None,
        });
        let s = submit.unwrap();
        self.attempts += 1;
        let attempt = Attempt {
            attempt: self.attempts,
            write: s.request_class != "read",
            request_class: s.request_class,
            volume: s.volume,
            units: s.units,
            mark: s.mark,
            number,
            time_out_us: 200 * MS,
            ..Attempt::default()
        };
        let link = 10 + link(host) * 2 + u64::from(node == "n2");
        self.frame(at, link, host, node, Message::Attempt(attempt));
        if let Some((after, result)) = result {
            let ran = result == AttemptResult::Succeeded;
            let a = AttemptAnswer {
                attempt: self.attempts,
                result: result as i32,
                ran,
                ..AttemptAnswer::default()
            };
            self.frame(at + after, link, node, host, Message::AttemptAnswer(a));
        }
    }

    fn list(&mut self, at: i64, host: &str, node: &str, state: ListedState, incarnation: u64) {
        let entry = ListedEndpoint {
            name: node.into(),
            state: state as i32,
            incarnation,
            ..ListedEndpoint::default()
        };
        let news = EndpointListUpdate { version: 1, whole: false, entries: vec![entry] };
        self.frame(at, 20 + link(host), "list", host, Message::EndpointListUpdate(news));
    }

    /// One request from its arrival to its answer.
    fn served(&mut self, at: i64, host: &str, id: u64, request_class: &str) {
        self.submit(at, host, id, request_class, "v", 1.0);
        self.attempt(at + 1, host, "n1", id, 0, Some((10, AttemptResult::Succeeded)));
        self.answer(at + 12, host, id, Outcome::Succeeded);
    }

    fn judge(&self) -> Vec<Verdict> {
        let d: Deployment = parse("planted.kdl", DOCUMENT).unwrap();
        judge(&d, &(self.lines.join("\n") + "\n")).unwrap()
    }
}

fn link(host: &str) -> u64 {
    if host == "h1" { 1 } else { 2 }
}

/// Something of each rule, all of it sound.
fn sound() -> Recording {
    use AttemptResult::*;
    let mut r = Recording::new();
    r.served(100, "h1", 1, "read");
    // Turned away, so it never ran: an unrepeatable one may go again, and be rejected.
    r.submit(200, "h1", 2, "trip", "v", 1.0);
    r.attempt(201, "h1", "n1", 2, 0, Some((2, Rejected)));
    r.attempt(205, "h1", "n2", 2, 1, Some((2, Rejected)));
    r.answer(210, "h1", 2, Outcome::Rejected);
    // A keyed one that may have run goes to the same shard again.
    r.submit(6000, "h2", 3, "photo", "v", 1.0);
    r.attempt(6001, "h2", "n1", 3, 0, Some((5, Failed)));
    r.attempt(6010, "h2", "n1", 3, 1, Some((5, Succeeded)));
    r.answer(6016, "h2", 3, Outcome::Succeeded);
    // A drain, kept; taken back by another incarnation.
    r.list(7000, "h1", "n1", ListedState::Draining, 1);
    r.process("n1", 7500, ProcessEvent::Killed);
    r.process("n1", 8000, ProcessEvent::Started { incarnation: 2 });
    r.list(8100, "h1", "n1", ListedState::Ready, 2);
    r.served(9000, "h1", 4, "read");
    // Two of one key, in turn, the second waiting.
    r.submit(30_000, "h1", 5, "record", "v", 1.0);
    r.submit(30_001, "h1", 6, "record", "v", 1.0);
    r.attempt(30_002, "h1", "n1", 5, 0, Some((10, Succeeded)));
    r.answer(30_013, "h1", 5, Outcome::Succeeded);
    r.attempt(30_014, "h1", "n1", 6, 0, Some((10, Succeeded)));
    r.answer(30_025, "h1", 6, Outcome::Succeeded);
    // Most of a store, through both hosts.
    for (place, host) in ["h1", "h2", "h1", "h2"].into_iter().enumerate() {
        let (id, at) = (20 + place as u64, 40_000 + place as i64 * 10);
        r.submit(at, host, id, "read", "w", 8.0);
        r.attempt(at + 1, host, "n2", id, 0, Some((5, Succeeded)));
        r.answer(at + 7, host, id, Outcome::Succeeded);
    }
    r
}

#[test]
fn a_sound_recording_keeps_and_tests_every_rule() {
    for v in sound().judge() {
        assert!(v.kept(), "rule {}: {:?}", v.rule, v.breaches);
        assert!(v.tested > 0, "rule {}", v.rule);
    }
}

#[test]
fn each_planted_breach_is_found_by_its_rule() {
    use AttemptResult::*;
    type Plant = fn(&mut Recording);
    // the rule, what its breach must say, what is planted
    let cases: [(u8, &str, Plant); 16] = [
        (1, "m90 at h1 got no answer", |r| {
            r.submit(50_000, "h1", 90, "read", "v", 1.0);
            r.served(60_000, "h1", 91, "read");
        }),
        (1, "m90 at h1 was answered 500000 us late", |r| {
            r.submit(50_000, "h1", 90, "read", "v", 1.0);
            r.answer(51_500, "h1", 90, Outcome::Rejected);
        }),
        (1, "m90 got 2 answers", |r| {
            r.served(50_000, "h1", 90, "read");
            r.answer(50_100, "h1", 90, Outcome::Rejected);
        }),
        (1, "m90: a leg to n2 was sent after the answer", |r| {
            r.submit(50_000, "h1", 90, "read", "v", 1.0);
            r.answer(50_010, "h1", 90, Outcome::Rejected);
            r.attempt(50_100, "h1", "n2", 90, 0, Some((5, Succeeded)));
        }),
        (2, "m90 may have run at n1 and was sent to n2", |r| {
            r.submit(50_000, "h1", 90, "trip", "v", 1.0);
            r.attempt(50_001, "h1", "n1", 90, 0, Some((5, Failed)));
            r.attempt(50_010, "h1", "n2", 90, 1, Some((5, Rejected)));
            r.answer(50_020, "h1", 90, Outcome::Failed);
        }),
        (2, "m90 may have run at n1 and was deferred", |r| {
            r.submit(50_000, "h1", 90, "trip", "v", 1.0);
            r.attempt(50_001, "h1", "n1", 90, 0, None);
            r.answer(50_300, "h1", 90, Outcome::Rejected);
        }),
        (2, "m90 may have run at n1 and was sent to n2", |r| {
            r.submit(50_000, "h1", 90, "photo", "v", 1.0);
            r.attempt(50_001, "h1", "n1", 90, 0, Some((5, Failed)));
            r.attempt(50_010, "h1", "n2", 90, 1, Some((5, Failed)));
            r.answer(50_020, "h1", 90, Outcome::Failed);
        }),
        (2, "m90 may have run at n1 and was sent to n1", |r| {
            // After the window in which repeats are known.
            r.submit(50_000, "h1", 90, "photo", "v", 1.0);
            r.attempt(50_001, "h1", "n1", 90, 0, Some((5, Failed)));
            r.attempt(52_500, "h1", "n1", 90, 1, Some((5, Failed)));
            r.answer(52_520, "h1", 90, Outcome::Failed);
        }),
        (2, "m90 took effect 2 times", |r| {
            for (at, host) in [(50_000, "h1"), (51_000, "h2")] {
                r.submit(at, host, 90, "photo", "v", 1.0);
                r.attempt(at + 1, host, "n1", 90, 0, Some((5, Succeeded)));
                r.answer(at + 7, host, 90, Outcome::Succeeded);
            }
        }),
        (3, "h2 sent to n2 1500000 us after it was told", |r| {
            r.list(50_000, "h2", "n2", ListedState::Draining, 1);
            // The same incarnation, called ready by a late list, does not take it back.
            r.list(50_100, "h2", "n2", ListedState::Ready, 1);
            r.submit(51_490, "h2", 90, "read", "v", 1.0);
            r.attempt(51_500, "h2", "n2", 90, 0, Some((5, Succeeded)));
            r.answer(51_510, "h2", 90, Outcome::Succeeded);
        }),
        (4, "n2, cold, was sent 16 units; it bears 10.0", |r| {
            r.process("n2", 50_000, ProcessEvent::Started { incarnation: 7 });
            for id in [90, 91] {
                let at = 50_000 + id as i64;
                r.submit(at, "h1", id, "read", "v", 8.0);
                r.attempt(at + 1, "h1", "n2", id, 0, Some((5, Succeeded)));
                r.answer(at + 7, "h1", id, Outcome::Succeeded);
            }
        }),
        (5, "m91 sent while m90 was open", |r| {
            r.submit(50_000, "h1", 90, "record", "v", 1.0);
            r.submit(50_001, "h1", 91, "record", "v", 1.0);
            r.attempt(50_002, "h1", "n1", 91, 0, Some((5, Succeeded)));
            r.answer(50_008, "h1", 91, Outcome::Succeeded);
            r.attempt(50_100, "h1", "n1", 90, 0, Some((5, Succeeded)));
            r.answer(50_108, "h1", 90, Outcome::Succeeded);
        }),
        (5, "m91 sent 50000 us after a leg of m90 ended unknown", |r| {
            r.submit(50_000, "h1", 90, "record", "v", 1.0);
            r.attempt(50_000, "h1", "n1", 90, 0, None);
            r.answer(50_200, "h1", 90, Outcome::Failed);
            r.submit(50_210, "h1", 91, "record", "v", 1.0);
            r.attempt(50_250, "h1", "n1", 91, 0, Some((5, Succeeded)));
            r.answer(50_260, "h1", 91, Outcome::Succeeded);
        }),
        (6, "h1: 2 further legs in the window, 1.0 allowed", |r| {
            r.submit(50_000, "h1", 90, "read", "v", 1.0);
            for number in 0..3 {
                r.attempt(50_001 + i64::from(number) * 100, "h1", "n1", 90, number, Some((5, Failed)));
            }
            r.answer(50_250, "h1", 90, Outcome::Rejected);
        }),
        (7, "volume w: 8.0 units past its store, 2 allowed", |r| {
            for id in 90..95 {
                let host = if id % 2 == 0 { "h1" } else { "h2" };
                r.submit(50_000, host, id, "read", "w", 8.0);
                r.attempt(50_001, host, "n2", id, 0, Some((5, Succeeded)));
                r.answer(50_010, host, id, Outcome::Succeeded);
            }
        }),
        (1, "m90 was not taken, but more came of it", |r| {
            r.submit(50_000, "h1", 90, "read", "v", 1.0);
            let n = NotTaken { id: 90, reason: "leaving".into(), leaving: true };
            r.frame(50_001, 1, "h1", "client", Message::NotTaken(n));
            r.attempt(50_010, "h1", "n1", 90, 0, Some((5, Succeeded)));
        }),
    ];
    for (rule, says, plant) in cases {
        let mut r = sound();
        plant(&mut r);
        let found: Vec<_> = r.judge().into_iter().filter(|v| !v.kept()).collect();
        let broken: Vec<_> = found.iter().map(|v| v.rule).collect();
        assert_eq!(broken, [rule], "{says}: {found:?}");
        let b = found[0].breaches.iter().find(|b| b.what.contains(says));
        let b = b.unwrap_or_else(|| panic!("{says}: {found:?}"));
        assert!(!b.lines.is_empty() && b.lines.iter().all(|l| *l < r.lines.len()), "{says}");
    }
}

#[test]
fn what_a_killed_host_held_is_no_breach() {
    let mut r = sound();
    r.submit(50_000, "h1", 90, "read", "v", 1.0);
    r.process("h1", 50_100, ProcessEvent::Killed);
    r.served(60_000, "h2", 91, "read");
    assert!(r.judge().iter().all(Verdict::kept));
}

#[test]
fn a_recording_that_is_cut_off_is_refused_with_its_line() {
    let r = sound();
    let d = parse("planted.kdl", DOCUMENT).unwrap();
    let text = r.lines.join("\n");
    let said = judge(&d, &text[..text.len() - 5]).unwrap_err().to_string();
    assert!(said.starts_with(&format!("line {} of the recording", r.lines.len())), "{said}");
}

/// Limits that change while hosts serve: what is allowed is the limit of the oldest document that a host may serve by.
#[test]
fn limits_are_judged_by_the_oldest_document_served_by() {
    let with = |limit: u32, revision: u64| {
        DOCUMENT.replace(
            "limit=\"10units/s\" burst=32",
            &format!("limit=\"{limit}units/s\" burst={}", (limit * 4).max(32)),
        ) + &format!("revision {revision}\n")
    };
    let d = parse("planted.kdl", &with(10, 1)).unwrap();
    // the limit that follows; when h1 and h2 are asked, when they serve by it, when h2 is killed; units of an attempt each
    // 100 ms from 1 s to 11 s, and whether that is a breach
    let cases = [
        (40, [2000, 2000], [2100, 2100], None, 3.0, false),
        (40, [2000, 9500], [2100, 9600], None, 3.0, true),
        (40, [2000, 9500], [2100, 9600], Some(2200), 3.0, false),
        (10, [2000, 9500], [2100, 9600], None, 1.0, false),
        (5, [2000, 2000], [2100, 2100], None, 1.0, true),
        (5, [2000, 9500], [2100, 9600], None, 1.0, false),
    ];
    for (limit, asked, serves, killed, units, broken) in cases {
        let mut r = Recording::new();
        let document = |revision, text: Option<String>, serves| What::Document { revision, text, serves };
        r.put(0, 0, "script", "h1", document(1, Some(with(10, 1)), false));
        for (place, host) in ["h1", "h2"].into_iter().enumerate() {
            r.put(0, 0, "script", host, document(1, None, true));
            r.put(asked[place], 0, "script", host, document(2, Some(with(limit, 2)), false));
            r.put(serves[place], 0, "script", host, document(2, None, true));
        }
        if let Some(at) = killed {
            r.process("h2", at, ProcessEvent::Killed);
        }
        for place in 0..100 {
            let attempt = Attempt {
                attempt: place,
                volume: "w".into(),
                request_class: "read".into(),
                units,
                ..Attempt::default()
            };
            r.frame(1000 + place as i64 * 100, 3, "h1", "n1", Message::Attempt(attempt));
        }
        let verdicts = judge(&d, &r.lines.join("\n")).unwrap();
        let v: Vec<_> = verdicts.iter().filter(|v| !v.kept()).map(|v| v.rule).collect();
        assert_eq!(v, if broken { vec![7] } else { vec![] }, "{limit} {asked:?} {killed:?}");
    }
}

/// Bytes past a budget between zones must be told; those that no host told of are a breach.
#[test]
fn bytes_past_a_budget_must_be_told() {
    let text = DOCUMENT.replace("zone=\"a\"\nnode", "zone=\"a\"\nbounds body-bytes=\"8KiB\"\ncrossing from=\"a\" to=\"b\" limit=\"1KB/s\" burst=\"32KiB\"\nnode");
    let d = parse("planted.kdl", &text).unwrap();
    assert_eq!(d.cross_zone_budgets.len(), 1);
    // attempts of 8,000 bytes to the other zone, one a second; bytes told; broken
    for (attempts, told, broken) in [(4, 0, false), (40, 0, true), (40, 300_000, false), (40, 100_000, true)]
    {
        let mut r = Recording::new();
        for place in 0..attempts {
            let attempt = Attempt {
                attempt: place,
                volume: "v".into(),
                request_class: "read".into(),
                units: 1.0,
                ..Attempt::default()
            };
            let at = 1000 + place as i64 * 1000;
            r.put(
                at,
                3,
                "h1",
                "n2",
                What::Frame {
                    message: Message::Attempt(attempt.clone()),
                    body: 8000,
                    delivery: Delivery::Passed,
                },
            );
            // At home nothing crosses.
            r.put(
                at,
                4,
                "h1",
                "n1",
                What::Frame { message: Message::Attempt(attempt), body: 8000, delivery: Delivery::Passed },
            );
        }
        if told > 0 {
            r.put(
                60_000,
                0,
                "script",
                "h1",
                What::BudgetOverrun { budget: "a to b".into(), cause: "bound to data".into(), bytes: told },
            );
        }
        let verdicts = judge(&d, &r.lines.join("\n")).unwrap();
        let v = verdicts.iter().find(|v| v.rule == 8).unwrap();
        assert_eq!((v.kept(), v.tested > 0), (!broken, true), "{attempts} {told}: {v:?}");
    }
}

/// What hosts wrote down of their parts, and grants on the wire. Both new rules find what is planted, and nothing else.
#[test]
fn parts_past_the_whole_and_two_coordinators_are_found() {
    let text = DOCUMENT.to_string() + "fleet \"f\" lease=\"1s\" drift=0.01 voters=1 floor=0.2\n";
    let d = parse("planted.kdl", &text).unwrap();
    // what h1 and h2 write, as (host, ms, lease in ms or -1, share); when h1 is killed; whether it is broken
    type Wrote = (&'static str, i64, i64, u32);
    let cases: [(&[Wrote], Option<i64>, bool); 7] = [
        (&[("h1", 0, -1, 100_000), ("h2", 0, 1000, 900_000)], None, false),
        (&[("h1", 0, -1, 100_001), ("h2", 0, 1000, 900_000)], None, true),
        // The lease is over, by the slowest clock, before the other's part begins; or not.
        (&[("h1", 0, 1000, 800_000), ("h2", 1011, 1000, 900_000)], None, false),
        (&[("h1", 0, 1000, 800_000), ("h2", 1009, 1000, 900_000)], None, true),
        // Let go of before, or killed before.
        (&[("h1", 0, 1000, 800_000), ("h1", 500, 1000, 100_000), ("h2", 501, 1000, 900_000)], None, false),
        (&[("h1", 0, 1000, 800_000), ("h2", 501, 1000, 900_000)], Some(500), false),
        (&[("h1", 0, 1000, 800_000), ("h2", 499, 1000, 900_000)], Some(500), true),
    ];
    for (wrote, killed, broken) in cases {
        let mut r = Recording::new();
        for (host, at, lasts, share) in wrote {
            let lasts_us = if *lasts < 0 { -1 } else { lasts * MS };
            let parts = [("w".to_string(), *share)].into();
            r.put(*at, 0, "script", host, What::Parts { incarnation: 1, epoch: 1, lasts_us, parts });
        }
        killed.into_iter().for_each(|at| r.process("h1", at, ProcessEvent::Killed));
        assert_eq!(broken_rules(&d, &r), if broken { vec![9] } else { vec![] }, "{wrote:?}");
    }
    // grants as (by, round, ms); a host that stood still until then
    type Grants = &'static [(u32, u64, i64)];
    let cases: [(Grants, Option<i64>, bool); 5] = [
        (&[(0, 5, 0), (0, 5, 100), (1, 6, 1200), (1, 6, 1400)], None, false),
        (&[(0, 5, 0), (1, 6, 1200), (0, 5, 1300)], None, true),
        // Written before, and a little late at the relay; or after it stood still.
        (&[(0, 5, 0), (1, 6, 1200), (0, 5, 1210)], None, false),
        (&[(0, 5, 0), (1, 6, 1200), (0, 5, 1300)], Some(1295), false),
        // The same one, by a later ballot and a note of the earlier.
        (&[(0, 5, 0), (0, 7, 1200), (0, 5, 1300)], None, false),
    ];
    for (grants, still, broken) in cases {
        let mut r = Recording::new();
        if let Some(until) = still {
            r.process("h1", 1, ProcessEvent::Paused);
            r.process("h1", until, ProcessEvent::Resumed);
        }
        for (by, round, at) in grants {
            let names = ["h1", "h2"];
            let what = FleetWhat::Grant as i32;
            let note = FleetMessage {
                what,
                from: *by,
                to: 1 - by,
                round: *round,
                by: *by,
                ..FleetMessage::default()
            };
            r.frame(*at, 9, names[*by as usize], names[1 - *by as usize], Message::FleetMessage(note));
        }
        assert_eq!(broken_rules(&d, &r), if broken { vec![10] } else { vec![] }, "{grants:?}");
    }
}

/// Connections and probes past what all hosts together may do to one node, from hosts that each keep to little.
#[test]
fn connections_and_probes_past_their_rates_are_found() {
    let fleet = "fleet \"f\" lease=\"1s\" drift=0.01 voters=1 floor=0.2 connects=\"10/s\" probes=\"1/s\"\n";
    let d = parse("planted.kdl", &(DOCUMENT.to_string() + fleet)).unwrap();
    // connections, ms between two; broken: one for each of two hosts and ten a second
    for (many, every, broken) in [(2, 0, false), (4, 0, true), (40, 100, false), (40, 80, true)] {
        let mut r = Recording::new();
        (0..many).for_each(|n| r.put(1000 + n * every, 0, "?", "n1", What::Came));
        // Of another process they say nothing.
        (0..many).for_each(|n| r.put(1000 + n, 0, "?", "list", What::Came));
        assert_eq!(broken_rules(&d, &r), if broken { vec![11] } else { vec![] }, "{many} each {every} ms");
    }
    // attempts of each host, ms between two; the node answers this one, or starts anew before it; broken
    type Case = (i64, i64, Option<i64>, Option<i64>, bool);
    let cases: [Case; 5] = [
        (9, 2100, None, None, false),
        (9, 600, None, None, true),
        // The first two of each are no probes yet, and two are free.
        (3, 600, None, None, false),
        (5, 600, Some(2), None, false),
        (5, 600, None, Some(2), false),
    ];
    for (attempts, every, answered, starts, broken) in cases {
        let mut r = Recording::new();
        for n in 0..attempts {
            let at = 1000 + n * every;
            if starts == Some(n) {
                r.process("n1", at - 50, ProcessEvent::Killed);
                r.process("n1", at - 40, ProcessEvent::Started { incarnation: 2 });
            }
            for (host, name) in ["h1", "h2"].into_iter().enumerate() {
                let id = (n * 2) as u64 + host as u64 + 1;
                r.submit(at, name, id, "read", "v", 1.0);
                let attempt = Attempt { attempt: id, time_out_us: 300 * MS, ..Attempt::default() };
                r.frame(at + 1, 20 + host as u64, name, "n1", Message::Attempt(attempt));
                if answered == Some(n) {
                    let result = AttemptResult::Failed as i32;
                    let answer = AttemptAnswer { attempt: id, result, ..AttemptAnswer::default() };
                    r.frame(at + 20, 20 + host as u64, "n1", name, Message::AttemptAnswer(answer));
                }
                r.answer(at + 500, name, id, Outcome::Rejected);
            }
        }
        let got: Vec<u8> = broken_rules(&d, &r).into_iter().filter(|rule| *rule == 12).collect();
        assert_eq!(
            got,
            if broken { vec![12] } else { vec![] },
            "{attempts} each {every} ms, {answered:?} {starts:?}"
        );
    }
}

fn broken_rules(d: &Deployment, r: &Recording) -> Vec<u8> {
    let verdicts = judge(d, &r.lines.join("\n")).unwrap();
    verdicts.iter().filter(|v| !v.kept()).map(|v| v.rule).collect()
}
