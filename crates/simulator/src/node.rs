//! A storage node on a socket: the model decides how long things take, this keeps objects and marks and
//! speaks the frames. It runs until its task is dropped, or until it falls over.

use crate::node_model::{Arrival, Model};
use crate::{BASE_OBJECTS, base_content};
use bytes::Bytes;
use gullsail_configuration::Server;
use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::{
    Attempt, AttemptAnswer, AttemptResult, Bounds, Frame, Handle, Hello, Message, Order,
    ProbeAnswer, Role,
};
use gullsail_scheduler_api::{Instant, SlowStart, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tracing::{info, warn};

/// Marks are kept this long, and no shorter than any stated window.
const MARKS_KEPT: Span = Span::from_micros(600_000_000);

/// A simulated storage node as a process: its name, its server, its age.
pub struct NodeProcess {
    /// Its name in the configuration.
    pub name: String,
    /// The shard that it holds.
    pub shard: i64,
    /// The server it runs on.
    pub server: Server,
    /// What it bears while it warms up.
    pub slow_start: SlowStart,
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// How long it is taken to be up already.
    pub age: Span,
    /// The largest frames that it accepts.
    pub bounds: Bounds,
}

struct Node {
    process: NodeProcess,
    model: Model,
    links: BTreeMap<u64, Link>,
    attempts: BTreeMap<u64, (u64, Attempt, Bytes)>,
    objects: BTreeMap<u64, Bytes>,
    marks: BTreeMap<String, (Instant, Handle)>,
    rng: ChaCha8Rng,
    fail: f64,
    /// This part of a request class's requests costs so many times their usual work.
    costly: Option<(String, f64, f64)>,
    active_faults: Vec<(Instant, &'static str)>,
}

/// Serves on the listener; returns when the node has fallen over.
pub async fn serve(process: NodeProcess, listener: TcpListener) {
    let began = tokio::time::Instant::now();
    let now = || Instant::from_micros(began.elapsed().as_micros() as i64);
    let mut rng = ChaCha8Rng::seed_from_u64(process.incarnation);
    let started_at = now() - process.age;
    let model = ChaCha8Rng::seed_from_u64(rng.random());
    let model = Model::new(
        process.server.clone(),
        process.slow_start,
        started_at,
        now(),
        model,
    );
    let (sink, mut inbox) = mpsc::channel(1024);
    let mut tasks = JoinSet::new();
    let mut node = Node::new(process, model, rng);
    let (mut last_link, mut last_attempt) = (0, 0);
    loop {
        for id in node.model.advance(now()) {
            node.finish(id, now());
        }
        node.end_expired_faults(now());
        let next_wakeup = tokio::time::Instant::now()
            + std::time::Duration::from_micros(
                (node.model.next() - now()).micros().clamp(200, 1_000_000) as u64,
            );
        tokio::select! {
            came = listener.accept() => if let Ok((stream, _)) = came {
                last_link += 1;
                let link = Link::open(stream, last_link, node.process.bounds, 16_384, &sink, &mut tasks);
                node.greet(last_link, link, now() - started_at);
            },
            Some((link, happened)) = inbox.recv() => match happened {
                LinkEvent::Frame(frame) => {
                    last_attempt += 1;
                    if node.handle_frame(link, frame, last_attempt, now()) {
                        warn!(
                            node = node.process.name,
                            "node overloaded during slow start: exiting"
                        );
                        return;
                    }
                }
                LinkEvent::Closed(_) => _ = node.links.remove(&link),
                LinkEvent::Written(_) => {}
            },
            () = tokio::time::sleep_until(next_wakeup) => {}
            _ = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

impl Node {
    fn new(process: NodeProcess, model: Model, rng: ChaCha8Rng) -> Node {
        Node {
            process,
            model,
            links: BTreeMap::new(),
            attempts: BTreeMap::new(),
            objects: BTreeMap::new(),
            marks: BTreeMap::new(),
            rng,
            fail: 0.0,
            costly: None,
            active_faults: Vec::new(),
        }
    }

    /// Keeps a new connection and sends the first frame on it.
    fn greet(&mut self, id: u64, link: Link, up_for: Span) {
        let hello = Hello {
            role: Role::Node as i32,
            name: self.process.name.clone(),
            incarnation: self.process.incarnation,
            age_us: up_for.micros(),
            shard_plus_one: self.process.shard + 1,
        };
        // A connection that is closed already is reported by its reading task.
        let _ = link.send(Frame::from(hello));
        self.links.insert(id, link);
    }

    /// `true`: it fell over.
    fn handle_frame(&mut self, link: u64, frame: Frame, id: u64, now: Instant) -> bool {
        match frame.message {
            Message::Attempt(attempt) => {
                let costly = self
                    .costly
                    .as_ref()
                    .filter(|c| c.0.is_empty() || c.0 == attempt.request_class);
                let dear = costly
                    .filter(|c| self.rng.random_bool(c.1))
                    .map_or(1.0, |c| c.2);
                match self
                    .model
                    .arrive(now, id, attempt.units, attempt.write, dear)
                {
                    Arrival::Taken => _ = self.attempts.insert(id, (link, attempt, frame.body)),
                    Arrival::Full => {
                        let result = AttemptResult::Rejected as i32;
                        self.send(
                            link,
                            Frame::from(AttemptAnswer {
                                attempt: attempt.attempt,
                                result,
                                ..AttemptAnswer::default()
                            }),
                        );
                    }
                    Arrival::FellOver => return true,
                }
            }
            Message::Cancel(c) => {
                let waits = self
                    .attempts
                    .iter()
                    .find(|(_, (l, attempt, _))| *l == link && attempt.attempt == c.attempt);
                if let Some(id) = waits.map(|(id, _)| *id).filter(|id| self.model.cancel(*id)) {
                    self.attempts.remove(&id);
                }
            }
            Message::Probe(p) => {
                let (running, queued) = self.model.load();
                self.send(
                    link,
                    Frame::from(ProbeAnswer {
                        id: p.id,
                        running,
                        queued,
                    }),
                );
            }
            Message::Order(order) => self.order(&order, now),
            _ => {}
        }
        false
    }

    fn order(&mut self, order: &Order, now: Instant) {
        let lasts = Span::from_micros(order.lasts_us);
        info!(
            node = self.process.name,
            what = order.what,
            size = order.size,
            ms = lasts.millis(),
            "fault injected"
        );
        match order.what.as_str() {
            "stall" => self.model.stall(now, lasts),
            "slow" => {
                self.model.slow(order.size);
                self.active_faults.push((now + lasts, "slow"));
            }
            "costly" => {
                self.costly = Some((
                    order.request_class.clone(),
                    order.share.clamp(0.0, 1.0),
                    order.size,
                ));
                self.active_faults.push((now + lasts, "costly"));
            }
            "fail" => {
                self.fail = order.size;
                self.active_faults.push((now + lasts, "fail"));
            }
            other => warn!(
                node = self.process.name,
                what = other,
                "order ignored: a node knows no such fault"
            ),
        }
    }

    fn end_expired_faults(&mut self, now: Instant) {
        let (over, on): (Vec<_>, Vec<_>) = self.active_faults.drain(..).partition(|t| t.0 <= now);
        self.active_faults = on;
        for (_, what) in over {
            match what {
                "slow" => self.model.slow(1.0),
                "costly" => self.costly = None,
                _ => self.fail = 0.0,
            }
        }
    }

    fn finish(&mut self, id: u64, now: Instant) {
        let Some((link, attempt, body)) = self.attempts.remove(&id) else {
            return;
        };
        let answer = AttemptAnswer {
            attempt: attempt.attempt,
            result: AttemptResult::Failed as i32,
            ..AttemptAnswer::default()
        };
        if self.rng.random_bool(self.fail.clamp(0.0, 1.0)) {
            let reason = "told to fail".into();
            return self.send(link, Frame::from(AttemptAnswer { reason, ..answer }));
        }
        let done = AttemptAnswer {
            result: AttemptResult::Succeeded as i32,
            ran: true,
            handle: attempt.handle,
            ..answer.clone()
        };
        let shard = self.process.shard;
        let frame = if attempt.write {
            self.marks.retain(|_, m| now - m.0 < MARKS_KEPT);
            if let Some((_, handle)) = self
                .marks
                .get(&attempt.mark)
                .filter(|_| !attempt.mark.is_empty())
            {
                // The repeat of one that took effect: the same answer, no second effect.
                Frame::from(AttemptAnswer {
                    ran: false,
                    handle: Some(*handle),
                    ..done
                })
            } else {
                let new = || Handle {
                    shard,
                    object: BASE_OBJECTS + self.rng.random_range(0..u64::MAX / 2),
                };
                let handle = attempt.handle.unwrap_or_else(new);
                self.objects.insert(handle.object, body);
                self.marks.insert(attempt.mark, (now, handle));
                Frame::from(AttemptAnswer {
                    handle: Some(handle),
                    ..done
                })
            }
        } else {
            let found = attempt.handle.filter(|h| h.shard == shard).and_then(|h| {
                let written = self.objects.get(&h.object).cloned();
                written.or_else(|| (h.object < BASE_OBJECTS).then(|| base_content(h)))
            });
            match found {
                Some(bytes) => Frame::from(done).with_body(bytes),
                None => Frame::from(AttemptAnswer {
                    reason: "no such object here".into(),
                    ..answer
                }),
            }
        };
        self.send(link, frame);
    }

    fn send(&self, link: u64, frame: Frame) {
        // A link that is gone, or takes nothing, loses its answers: so do real ones.
        if self
            .links
            .get(&link)
            .is_some_and(|l| l.send(frame).is_err())
        {
            warn!(
                node = self.process.name,
                "answer not sent: connection closed or its queue is full"
            );
        }
    }
}
