//! Clients on loopback, and the load that they make.

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

/// What clients send.
pub struct Load {
    /// Requests out at a time over all connections; 0: as many as come in `rate`.
    pub outstanding: usize,
    pub rate: f64,
    pub seconds: f64,
    pub shards: i64,
    pub bytes: usize,
    /// Seconds for connections to stand and clocks to be known.
    pub warm: f64,
}

/// What came of a load.
pub struct Answers {
    pub succeeded: u64,
    pub others: u64,
    /// The time of each request in microseconds.
    pub times: Histogram<u64>,
}

struct Clients<'a> {
    load: &'a Load,
    /// Requests are sent as attempts, for a relay.
    as_attempts: bool,
    links: Vec<Link>,
    body: Bytes,
    began: BTreeMap<u64, Instant>,
    last: u64,
    answers: Answers,
}

impl Clients<'_> {
    fn send(&mut self) {
        self.last += 1;
        let last = self.last;
        let handle = Some(Handle {
            shard: last as i64 % self.load.shards,
            object: last,
        });
        let request_class = "read".to_string();
        let mark = format!("m{last}");
        // Each host is asked for both in turn.
        let first = (last as usize / self.links.len()).is_multiple_of(2);
        let volume = if first { "v" } else { "w" }.to_string();
        let units = 1.0;
        let frame: Frame = if self.as_attempts {
            let time_out_us = 1_000_000;
            let attempt = Attempt {
                attempt: last,
                request_class,
                volume,
                units,
                handle,
                idempotency_key: mark,
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
                id: last,
                request_class,
                volume,
                units,
                handle,
                idempotency_key: mark,
                ..Submit::default()
            };
            Submit {
                timeout_us,
                ..submit
            }
            .into()
        };
        self.began.insert(last, Instant::now());
        let _ =
            self.links[last as usize % self.links.len()].send(frame.with_body(self.body.clone()));
    }

    fn received(&mut self, frame: Frame) {
        let (id, succeeded) = match frame.message {
            Message::Answer(a) => (a.id, a.outcome == Outcome::Succeeded as i32),
            Message::AttemptAnswer(a) => (a.attempt, a.result == AttemptResult::Succeeded as i32),
            Message::NotTaken(n) => (n.id, false),
            _ => return,
        };
        let Some(at) = self.began.remove(&id) else {
            return;
        };
        self.answers
            .times
            .saturating_record(at.elapsed().as_micros() as u64);
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
        let mut next = start;
        while elapsed() < seconds
            || rate > 0.0 && !self.began.is_empty() && elapsed() < seconds + 2.0
        {
            while rate > 0.0 && next <= Instant::now() && elapsed() < seconds {
                self.send();
                next += Duration::from_secs_f64(1.0 / rate);
            }
            while rate == 0.0 && self.began.len() < outstanding {
                self.send();
            }
            tokio::select! {
                _ = inbox.recv_many(&mut batch, 256) => for (_, event) in batch.drain(..) {
                    if let LinkEvent::Frame(frame) = event {
                        self.received(frame);
                    }
                },
                () = tokio::time::sleep(Duration::from_millis(1)), if rate > 0.0 => {}
            }
        }
        self.answers
    }
}

/// Runs clients, one connection to each address, under a load.
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
        let began = BTreeMap::new();
        let clients = Clients {
            load,
            as_attempts,
            links,
            body,
            began,
            last: 0,
            answers,
        };
        clients.run(&mut inbox).await
    })
}
