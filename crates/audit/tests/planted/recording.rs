//! Builds recordings entry by entry.

use gullsail_audit::{Verdict, judge};
use gullsail_configuration::{Deployment, parse};
use gullsail_protocol::record::{Delivery, Entry, ProcessEvent, What};
use gullsail_protocol::*;

pub const DOCUMENT: &str = r#"
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

/// A millisecond in the microseconds of a recording.
pub const MS: i64 = 1000;

pub struct Recording {
    pub lines: Vec<String>,
    attempts: u64,
}

impl Recording {
    pub fn new() -> Recording {
        let mut r = Recording {
            lines: Vec::new(),
            attempts: 0,
        };
        for name in ["n1", "n2", "h1", "h2"] {
            r.process(name, 0, ProcessEvent::Started { incarnation: 1 });
        }
        r
    }

    pub fn put(&mut self, at: i64, link: u64, from: &str, to: &str, what: What) {
        let at = at * MS;
        let entry = Entry::new(at, link, from, to, what);
        self.lines.push(serde_json::to_string(&entry).unwrap());
    }

    pub fn frame(&mut self, at: i64, link: u64, from: &str, to: &str, message: Message) {
        self.put(
            at,
            link,
            from,
            to,
            What::Frame {
                message,
                body: 0,
                delivery: Delivery::Passed,
            },
        );
    }

    pub fn process(&mut self, name: &str, at: i64, event: ProcessEvent) {
        self.put(at, 0, "script", name, What::Process { event });
    }

    /// A client submits a request. Its connection is 1 to h1 and 2 to h2.
    pub fn submit(
        &mut self,
        at: i64,
        host: &str,
        id: u64,
        request_class: &str,
        volume: &str,
        units: f64,
    ) {
        let order_key = if request_class == "record" {
            "k".into()
        } else {
            String::new()
        };
        let timeout_us = if request_class == "photo" {
            4000 * MS
        } else {
            1000 * MS
        };
        let request_class = request_class.into();
        let volume = volume.into();
        let mark = format!("m{id}");
        let s = Submit {
            id,
            request_class,
            volume,
            units,
            idempotency_key: mark,
            order_key,
            timeout_us,
            ..Submit::default()
        };
        self.frame(at, link(host), "client", host, Message::Submit(s));
    }

    pub fn answer(&mut self, at: i64, host: &str, id: u64, outcome: Outcome) {
        let a = Answer {
            id,
            outcome: outcome as i32,
            ..Answer::default()
        };
        self.frame(at, link(host), host, "client", Message::Answer(a));
    }

    /// A host sends an attempt at `at`. `result` holds after how many ms the node answers, and the result.
    pub fn attempt(
        &mut self,
        at: i64,
        host: &str,
        node: &str,
        id: u64,
        number: u32,
        result: Option<(i64, AttemptResult)>,
    ) {
        let submit =
            self.lines
                .iter()
                .find_map(|l| match serde_json::from_str::<Entry>(l).unwrap().what {
                    What::Frame {
                        message: Message::Submit(s),
                        ..
                    } if s.id == id => Some(s),
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
            idempotency_key: s.idempotency_key,
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

    pub fn list(&mut self, at: i64, host: &str, node: &str, state: ListedState, incarnation: u64) {
        let entry = ListedEndpoint {
            name: node.into(),
            state: state as i32,
            incarnation,
            ..ListedEndpoint::default()
        };
        let update = EndpointListUpdate {
            version: 1,
            whole: false,
            entries: vec![entry],
        };
        self.frame(
            at,
            20 + link(host),
            "list",
            host,
            Message::EndpointListUpdate(update),
        );
    }

    /// A request that succeeds at n1 with its first attempt.
    pub fn served(&mut self, at: i64, host: &str, id: u64, request_class: &str) {
        self.submit(at, host, id, request_class, "v", 1.0);
        self.attempt(
            at + 1,
            host,
            "n1",
            id,
            0,
            Some((10, AttemptResult::Succeeded)),
        );
        self.answer(at + 12, host, id, Outcome::Succeeded);
    }

    pub fn judge(&self) -> Vec<Verdict> {
        let d: Deployment = parse("planted.kdl", DOCUMENT).unwrap();
        judge(&d, &(self.lines.join("\n") + "\n")).unwrap()
    }
}

fn link(host: &str) -> u64 {
    if host == "h1" { 1 } else { 2 }
}

/// A recording that tests rules 1 to 7 and breaks none.
pub fn clean_recording() -> Recording {
    use AttemptResult::*;
    let mut r = Recording::new();
    r.served(100, "h1", 1, "read");
    // The nodes reject it, so it never ran: the request may be retried and rejected although it is not idempotent.
    r.submit(200, "h1", 2, "trip", "v", 1.0);
    r.attempt(201, "h1", "n1", 2, 0, Some((2, Rejected)));
    r.attempt(205, "h1", "n2", 2, 1, Some((2, Rejected)));
    r.answer(210, "h1", 2, Outcome::Rejected);
    // A request with an idempotency key may have run and is retried in the same shard.
    r.submit(6000, "h2", 3, "photo", "v", 1.0);
    r.attempt(6001, "h2", "n1", 3, 0, Some((5, Failed)));
    r.attempt(6010, "h2", "n1", 3, 1, Some((5, Succeeded)));
    r.answer(6016, "h2", 3, Outcome::Succeeded);
    // A drain that the host obeys, and that ends with a new incarnation of the node.
    r.list(7000, "h1", "n1", ListedState::Draining, 1);
    r.process("n1", 7500, ProcessEvent::Killed);
    r.process("n1", 8000, ProcessEvent::Started { incarnation: 2 });
    r.list(8100, "h1", "n1", ListedState::Ready, 2);
    r.served(9000, "h1", 4, "read");
    // Two requests with one key, sent in order; the second waits for the first.
    r.submit(30_000, "h1", 5, "record", "v", 1.0);
    r.submit(30_001, "h1", 6, "record", "v", 1.0);
    r.attempt(30_002, "h1", "n1", 5, 0, Some((10, Succeeded)));
    r.answer(30_013, "h1", 5, Outcome::Succeeded);
    r.attempt(30_014, "h1", "n1", 6, 0, Some((10, Succeeded)));
    r.answer(30_025, "h1", 6, Outcome::Succeeded);
    // Both hosts use most of a volume's token bucket.
    for (place, host) in ["h1", "h2", "h1", "h2"].into_iter().enumerate() {
        let (id, at) = (20 + place as u64, 40_000 + place as i64 * 10);
        r.submit(at, host, id, "read", "w", 8.0);
        r.attempt(at + 1, host, "n2", id, 0, Some((5, Succeeded)));
        r.answer(at + 7, host, id, Outcome::Succeeded);
    }
    r
}

pub fn broken_rules(d: &Deployment, r: &Recording) -> Vec<u8> {
    let verdicts = judge(d, &r.lines.join("\n")).unwrap();
    verdicts
        .iter()
        .filter(|v| !v.passed())
        .map(|v| v.rule)
        .collect()
}
