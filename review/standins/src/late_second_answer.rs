//! Nodes send a second copy of some answers some milliseconds late, when nothing else waits on the connection. Nodes
//! in other buildings are 1.4 to 2.6 ms away. When the second copy is sent, no other request is at the node or on its
//! way to it. Each client has to get the answer that a node made for its request.

use crate::host::{Deployment, Host, give_up};
use crate::http::Read1;
use crate::node::{Answer, Behaviour, Runs, body_for};
use crate::record::Record;
use crate::{delay, deployments, discovery, node};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const NODES: usize = 9;
const CLIENTS: u64 = 3;
const DURATION: Duration = Duration::from_secs(15);
const EXPIRES_MS: u64 = 1200;
/// How long after the answer its second copy follows: less than the way of the answer to the host, so that nothing else
/// can have been sent because of it.
const LATE: Duration = Duration::from_millis(2);
/// One of so many answers is followed by a second copy.
const ONE_IN: u64 = 10;
const BUILDINGS: [(&str, Duration); 3] = [
    ("batiment-a", Duration::from_micros(200)),
    ("batiment-b", Duration::from_micros(2400)),
    ("batiment-c", Duration::from_micros(2400)),
];

/// The case: second copies of answers of requests that ran.
pub fn run(record: &Record, trouble: bool) -> bool {
    let seen = play(record, deployments::vieux_port(NODES), move |number| {
        if trouble && number % ONE_IN == ONE_IN - 1 {
            Answer::Twice(LATE)
        } else {
            Answer::Plain
        }
    });
    seen.require_trouble(record, trouble);
    // The class may run again, so only the answers are judged.
    seen.foreign > 0
}

/// The same fault with second copies of answers that turn a request away, and a class that must never run twice.
pub fn run_refusals(record: &Record, trouble: bool) -> bool {
    let mut deployment = deployments::vieux_port(NODES);
    deployment.settings = deployment.settings.replacen("\"pure\"", "\"side_effect\"", 1);
    let seen = play(record, deployment, move |number| {
        if number % ONE_IN == ONE_IN - 1 {
            Answer::TurnedAway(trouble.then_some(LATE))
        } else {
            Answer::Plain
        }
    });
    seen.require_trouble(record, trouble);
    seen.foreign > 0 || seen.twice > 0
}

/// What was seen in a run.
struct Seen {
    served: u64,
    foreign: u64,
    /// Requests that nodes ran more than once.
    twice: usize,
    second_answers: u64,
}

impl Seen {
    /// Gives up if the run shows nothing: no request was served, or the disruption never came.
    fn require_trouble(&self, record: &Record, trouble: bool) {
        if self.served == 0 || trouble != (self.second_answers > 0) {
            give_up(record, "no request was served, or second answers came as not planned");
        }
    }
}

fn play(
    record: &Record,
    deployment: Deployment,
    answer: impl Fn(u64) -> Answer + Send + Sync + 'static,
) -> Seen {
    let runs = Runs::default();
    let behaviour = Behaviour {
        runs: runs.clone(),
        work: Duration::from_millis(15),
        answer: Arc::new(answer),
    };
    let nodes: Vec<_> = (0..NODES)
        .map(|shard| {
            let (site, one_way) = BUILDINGS[shard % BUILDINGS.len()];
            let name = format!("s-{shard:08x}");
            let address = node::start(name.clone(), shard, behaviour.clone(), record.clone());
            discovery::Listed {
                host: name,
                dial: delay::start(address, one_way),
                site: site.to_string(),
                class: "box-std".to_string(),
                block: shard,
            }
        })
        .collect();
    let known = discovery::page(&nodes);
    let agent = discovery::start(nodes);
    let host = Host::start(record, &deployment, agent, &known);

    let foreign = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let other = Arc::new(AtomicU64::new(0));
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (host, foreign, served, other) = (&host, &foreign, &served, &other);
            scope.spawn(move || {
                let until = Instant::now() + DURATION;
                let mut conn = host.connect(record);
                let mut number = 0;
                while Instant::now() < until {
                    // A client reads some records of one collection, which lie on one node, then goes on to another.
                    let shard = (client * 3 + number / 20) % NODES as u64;
                    number += 1;
                    let trace = format!("{:016x}", (client + 1) << 32 | number);
                    let object = format!("{:016x}", 0x7f00_0000 + client * 100_000 + number);
                    let volume = format!("{:016x}", 0x3b4d_0000 + client);
                    let text = format!(
                        "GET /record-read/{volume}/{object} HTTP/1.1\r\nHost: service.internal\r\n\
                         X-Trace-Id: {trace}\r\nX-Qos: record-read\r\nX-Storage-Class: prioritaire\r\n\
                         X-Expires-In-Ms: {EXPIRES_MS}\r\nX-Extent: units=1,shard={shard},hosts=1\r\n\r\n"
                    );
                    record.line(format!("client {client} sends {trace}, shard {shard}"));
                    let sent = conn.send(text.as_bytes());
                    let limit = Instant::now() + Duration::from_millis(EXPIRES_MS + 550);
                    let answer = sent.map(|()| conn.read(Some(limit)));
                    match answer {
                        Ok(Read1::Message(message)) if message.status() == 200 => {
                            if message.body_text() == body_for(&trace, &object) {
                                served.fetch_add(1, Ordering::Relaxed);
                                record.line(format!("client {client} gets its answer to {trace}"));
                            } else {
                                foreign.fetch_add(1, Ordering::Relaxed);
                                record.line(format!(
                                    "client {client} FOREIGN: to {trace} it gets 200 with '{}'",
                                    message.body_text().trim()
                                ));
                            }
                        }
                        Ok(Read1::Message(message)) => {
                            other.fetch_add(1, Ordering::Relaxed);
                            record.line(format!("client {client} gets {} to {trace}", message.status()));
                        }
                        Ok(Read1::Ended) | Ok(Read1::TimedOut) | Err(_) => {
                            other.fetch_add(1, Ordering::Relaxed);
                            record.line(format!("client {client} gets no answer to {trace}"));
                            conn = host.connect(record);
                        }
                    }
                }
            });
        }
    });
    let running = host.is_running();
    host.end(record);
    let seen = Seen {
        served: served.load(Ordering::Relaxed),
        foreign: foreign.load(Ordering::Relaxed),
        twice: runs.lock().unwrap().values().filter(|times| **times > 1).count(),
        second_answers: node::SECOND_ANSWERS.load(Ordering::Relaxed),
    };
    record.say(format!(
        "served with the right answer {}, served with another request's answer {}, not served {}, run more than once {}, second answers {}, host running {running}",
        seen.served,
        seen.foreign,
        other.load(Ordering::Relaxed),
        seen.twice,
        seen.second_answers,
    ));
    seen
}
