//! Clients on loopback and the load that they generate.

use crate::processes::current_thread;
use bytes::Bytes;
use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::{
    Attempt, AttemptResult, Bounds, Frame, Handle, Hello, Message, Outcome, Role, Submit,
};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// The load of a run.
pub struct Load {
    /// Number of open requests over all connections; unused if `rate` is above 0.
    pub outstanding: usize,
    /// Requests per second; 0: a request is sent whenever fewer than `outstanding` are open.
    pub rate: f64,
    /// Seconds during which clients send requests.
    pub seconds: f64,
    /// Number of shards that requests are spread over.
    pub shards: i64,
    /// Length of each request's body in bytes.
    pub bytes: usize,
    /// Seconds between connecting and the first request, in which connections and clock offsets are established.
    pub warm: f64,
}

/// The answers to a load's requests.
pub struct Answers {
    /// Answers that report success.
    pub succeeded: u64,
    /// Answers with any other outcome, and refused requests.
    pub others: u64,
    /// Latency of each answered request, in microseconds.
    pub times: Histogram<u64>,
}

struct Clients<'a> {
    load: &'a Load,
    /// Sends attempts in place of client requests, for a relay that forwards them to nodes.
    as_attempts: bool,
    links: Vec<Link>,
    body: Bytes,
    /// When each open request was sent, by its id.
    sent_at: BTreeMap<u64, Instant>,
    last_id: u64,
    answers: Answers,
}

impl Clients<'_> {
    fn send(&mut self) {
        self.last_id += 1;
        let request_id = self.last_id;
        let handle = Some(Handle {
            shard: request_id as i64 % self.load.shards,
            object: request_id,
        });
        let request_class = "read".to_string();
        let key = format!("m{request_id}");
        // Requests of each connection alternate between the two volumes.
        let even_round = (request_id as usize / self.links.len()).is_multiple_of(2);
        let volume = if even_round { "v" } else { "w" }.to_string();
        let units = 1.0;
        let frame: Frame = if self.as_attempts {
            let time_out_us = 1_000_000;
            let attempt = Attempt {
                attempt: request_id,
                request_class,
                volume,
                units,
                handle,
                idempotency_key: key,
                ..Attempt::default()
            };
            Attempt {
                time_out_us,
                ..attempt
            }
            .into()
        } else {
            let timeout_us = 4_000_000;
            let submit = Submit {
                id: request_id,
                request_class,
                volume,
                units,
                handle,
                idempotency_key: key,
                ..Submit::default()
            };
            Submit {
                timeout_us,
                ..submit
            }
            .into()
        };
        self.sent_at.insert(request_id, Instant::now());
        let _ = self.links[request_id as usize % self.links.len()]
            .send(frame.with_body(self.body.clone()));
    }

    fn handle_frame(&mut self, frame: Frame) {
        let (id, succeeded) = match frame.message {
            Message::Answer(a) => (a.id, a.outcome == Outcome::Succeeded as i32),
            Message::AttemptAnswer(a) => (a.attempt, a.result == AttemptResult::Succeeded as i32),
            Message::NotTaken(n) => (n.id, false),
            _ => return,
        };
        let Some(sent_at) = self.sent_at.remove(&id) else {
            return;
        };
        self.answers
            .times
            .saturating_record(sent_at.elapsed().as_micros() as u64);
        if succeeded {
            self.answers.succeeded += 1;
        } else {
            self.answers.others += 1;
        }
    }

    async fn run(mut self, inbox: &mut mpsc::Receiver<(usize, LinkEvent)>) -> Answers {
        let Load {
            seconds,
            rate,
            outstanding,
            ..
        } = *self.load;
        let start = Instant::now();
        let elapsed = || start.elapsed().as_secs_f64();
        let mut batch = Vec::new();
        let mut next_send_at = start;
        while elapsed() < seconds
            || rate > 0.0 && !self.sent_at.is_empty() && elapsed() < seconds + 2.0
        {
            while rate > 0.0 && next_send_at <= Instant::now() && elapsed() < seconds {
                self.send();
                next_send_at += Duration::from_secs_f64(1.0 / rate);
            }
            while rate == 0.0 && self.sent_at.len() < outstanding {
                self.send();
            }
            tokio::select! {
                _ = inbox.recv_many(&mut batch, 256) => for (_, event) in batch.drain(..) {
                    if let LinkEvent::Frame(frame) = event {
                        self.handle_frame(frame);
                    }
                },
                () = tokio::time::sleep(Duration::from_millis(1)), if rate > 0.0 => {}
            }
        }
        self.answers
    }
}

/// Opens one client connection to each address and runs a load over them. `as_attempts`: sends attempts, as a relay
/// expects, in place of client requests.
pub fn clients(addresses: &[String], load: &Load, as_attempts: bool) -> Answers {
    current_thread().block_on(async {
        let (sink, mut inbox) = mpsc::channel(4096);
        let mut tasks = JoinSet::new();
        let mut links = Vec::new();
        for (i, a) in addresses.iter().enumerate() {
            let stream = TcpStream::connect(a).await.expect("the host");
            let link = Link::open(stream, i, Bounds::DEFAULT, 65_536, &sink, &mut tasks);
            let hello = Hello {
                role: Role::Client as i32,
                name: "c".into(),
                ..Hello::default()
            };
            let _ = link.send(hello.into());
            links.push(link);
        }
        tokio::time::sleep(Duration::from_secs_f64(load.warm)).await;
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("a histogram");
        let body = Bytes::from(vec![1; load.bytes]);
        let answers = Answers {
            succeeded: 0,
            others: 0,
            times,
        };
        let sent_at = BTreeMap::new();
        let clients = Clients {
            load,
            as_attempts,
            links,
            body,
            sent_at,
            last_id: 0,
            answers,
        };
        clients.run(&mut inbox).await
    })
}
