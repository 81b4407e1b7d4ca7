//! Some answers of nodes have no length: they end with the connection, which the node closes in order. Half at least of
//! those that come whole have to be forwarded.

use crate::host::Host;
use crate::http::Read1;
use crate::node::{Answer, Behaviour, Runs, body_for};
use crate::record::Record;
use crate::{deployments, discovery, node};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 8;
const REQUESTS: u64 = 60;
const EXPIRES_MS: u64 = 6000;
/// One of so many answers of a node has no length.
const ONE_IN: u64 = 3;

pub fn run(record: &Record, trouble: bool) -> bool {
    let behaviour = Behaviour {
        runs: Runs::default(),
        work: Duration::from_millis(65),
        answer: Arc::new(move |number| {
            if trouble && number % ONE_IN == ONE_IN - 1 {
                Answer::WithoutLength
            } else {
                Answer::Plain
            }
        }),
    };
    let nodes: Vec<_> = (0..NODES)
        .map(|shard| {
            let name = format!("s-{shard:08x}");
            let dial = node::start(name.clone(), shard, behaviour.clone(), record.clone());
            discovery::Listed {
                host: name,
                dial,
                site: "salle-cap".to_string(),
                class: "noeud-3c".to_string(),
                block: shard,
            }
        })
        .collect();
    let known = discovery::page(&nodes);
    let agent = discovery::start(nodes);
    let host = Host::start(record, &deployments::trois_rivieres(NODES), agent, &known);

    let served = Mutex::new(BTreeSet::new());
    let mut refused = 0;
    let mut failed = 0;
    let mut conn = host.connect(record);
    for number in 0..REQUESTS {
        let trace = format!("{:016x}", 0x5000_0000 + number);
        let object = format!("{:016x}", 0x7f00_0000 + number);
        let shard = number % NODES as u64;
        let body = "one trip";
        let text = format!(
            "PUT /nouveau-trajet/00000003b4d60021/{object} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {trace}\r\n\
             X-Qos: nouveau-trajet\r\nX-Storage-Class: prioritaire\r\nX-Expires-In-Ms: {EXPIRES_MS}\r\n\
             X-Extent: units=1,shard={shard},hosts=1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(format!("client sends {trace}"));
        if conn.send(text.as_bytes()).is_err() {
            conn = host.connect(record);
            let _ = conn.send(text.as_bytes());
        }
        let limit = Instant::now() + Duration::from_millis(EXPIRES_MS + 550);
        match conn.read(Some(limit)) {
            Read1::Message(message) => {
                let right = message.body_text() == body_for(&trace, &object);
                record.line(format!("client gets {} to {trace}, right body {right}", message.status()));
                match message.status() {
                    200 if right => _ = served.lock().unwrap().insert(trace),
                    429 | 503 => refused += 1,
                    _ => failed += 1,
                }
            }
            Read1::Ended | Read1::TimedOut => {
                failed += 1;
                record.line(format!("client gets no answer to {trace}"));
                conn = host.connect(record);
            }
        }
    }
    let running = host.is_running();
    host.end(record);
    record.say(format!(
        "requests {REQUESTS}, served {}, refused {refused}, failed {failed}, host running {running}",
        served.lock().unwrap().len()
    ));
    let whole = node::WITHOUT_LENGTH.lock().unwrap();
    let forwarded = whole.iter().filter(|trace| served.lock().unwrap().contains(*trace)).count();
    record.say(format!("whole answers without a length {}, of these forwarded {forwarded}", whole.len()));
    2 * forwarded < whole.len()
}
