//! A storage node on a socket: the model decides how long things take, this keeps objects and
//! speaks the frames. It runs until its task is dropped, or until it falls over.

use crate::idempotency_keys::{IdempotencyKeys, KeyedWrite, machine_time};
use crate::node_model::{Arrival, Model};
use crate::{BASE_OBJECTS, base_content};
use bytes::Bytes;
use gullsail_configuration::Server;
use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::{
    Attempt, AttemptAnswer, AttemptResult, Bounds, Cancel, Frame, Handle, Hello, Message, Order,
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
    /// The keys by which it recognises repeats.
    pub keys: IdempotencyKeys,
}

/// An attempt that the node has taken, with the link that its answer goes to.
struct TakenAttempt {
    link: u64,
    attempt: Attempt,
    body: Bytes,
}

/// A fault: some requests cost more work than usual.
struct CostlyRequests {
    /// Empty: all request classes.
    request_class: String,
    /// The part of the requests that cost more.
    share: f64,
    /// So many times the usual work.
    factor: f64,
}

/// A fault that ends by itself.
struct ActiveFault {
    until: Instant,
    kind: &'static str,
}

struct Node {
    process: NodeProcess,
    model: Model,
    links: BTreeMap<u64, Link>,
    attempts: BTreeMap<u64, TakenAttempt>,
    objects: BTreeMap<u64, Bytes>,
    rng: ChaCha8Rng,
    fail: f64,
    costly: Option<CostlyRequests>,
    active_faults: Vec<ActiveFault>,
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
    let mut last_link = 0;
    let mut last_attempt = 0;
    loop {
        for id in node.model.advance(now()) {
            node.finish(id);
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
                let taken = TakenAttempt {
                    link,
                    attempt,
                    body: frame.body,
                };
                return self.take(id, taken, now);
            }
            Message::Cancel(cancel) => self.cancel(link, &cancel),
            Message::Probe(probe) => {
                let load = self.model.load();
                let answer = ProbeAnswer {
                    id: probe.id,
                    running: load.running,
                    queued: load.waiting,
                };
                self.send(link, Frame::from(answer));
            }
            Message::Order(order) => self.order(&order, now),
            _ => {}
        }
        false
    }

    /// Takes or rejects an attempt; `true`: the node fell over.
    fn take(&mut self, id: u64, taken: TakenAttempt, now: Instant) -> bool {
        let attempt = &taken.attempt;
        let factor = self.cost_factor(&attempt.request_class);
        match self
            .model
            .arrive(now, id, attempt.units, attempt.write, factor)
        {
            Arrival::Taken => _ = self.attempts.insert(id, taken),
            Arrival::Full => {
                let rejected = AttemptAnswer {
                    attempt: attempt.attempt,
                    result: AttemptResult::Rejected as i32,
                    ..AttemptAnswer::default()
                };
                self.send(taken.link, Frame::from(rejected));
            }
            Arrival::FellOver => return true,
        }
        false
    }

    /// How many times its usual work a request costs.
    fn cost_factor(&mut self, request_class: &str) -> f64 {
        match &self.costly {
            Some(costly)
                if (costly.request_class.is_empty() || costly.request_class == request_class)
                    && self.rng.random_bool(costly.share) =>
            {
                costly.factor
            }
            _ => 1.0,
        }
    }

    /// Drops an attempt that still waits; one that runs goes on.
    fn cancel(&mut self, link: u64, cancel: &Cancel) {
        let found = self
            .attempts
            .iter()
            .find(|(_, taken)| taken.link == link && taken.attempt.attempt == cancel.attempt)
            .map(|(id, _)| *id);
        if let Some(id) = found
            && self.model.cancel(id)
        {
            self.attempts.remove(&id);
        }
    }

    fn order(&mut self, order: &Order, now: Instant) {
        let lasts = Span::from_micros(order.duration_us);
        info!(
            node = self.process.name,
            what = order.kind,
            size = order.size,
            ms = lasts.millis(),
            "fault injected"
        );
        match order.kind.as_str() {
            "stall" => self.model.stall(now, lasts),
            "slow" => {
                self.model.slow(order.size);
                self.start_fault("slow", now + lasts);
            }
            "costly" => {
                self.costly = Some(CostlyRequests {
                    request_class: order.request_class.clone(),
                    share: order.share.clamp(0.0, 1.0),
                    factor: order.size,
                });
                self.start_fault("costly", now + lasts);
            }
            "fail" => {
                self.fail = order.size;
                self.start_fault("fail", now + lasts);
            }
            other => warn!(
                node = self.process.name,
                what = other,
                "order ignored: a node knows no such fault"
            ),
        }
    }

    fn start_fault(&mut self, kind: &'static str, until: Instant) {
        self.active_faults.push(ActiveFault { until, kind });
    }

    fn end_expired_faults(&mut self, now: Instant) {
        let faults = self.active_faults.drain(..);
        let (over, active): (Vec<_>, Vec<_>) = faults.partition(|fault| fault.until <= now);
        self.active_faults = active;
        for fault in over {
            match fault.kind {
                "slow" => self.model.slow(1.0),
                "costly" => self.costly = None,
                _ => self.fail = 0.0,
            }
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(taken) = self.attempts.remove(&id) else {
            return;
        };
        let TakenAttempt {
            link,
            attempt,
            body,
        } = taken;
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
        let frame = if attempt.write {
            self.write(attempt, body, done)
        } else {
            match attempt.handle.and_then(|handle| self.read(handle)) {
                Some(bytes) => Frame::from(done).with_body(bytes),
                None => Frame::from(AttemptAnswer {
                    reason: "no such object here".into(),
                    ..answer
                }),
            }
        };
        self.send(link, frame);
    }

    /// Stores an object, or finds by its key that an earlier attempt did, at this node or another.
    fn write(&mut self, attempt: Attempt, body: Bytes, done: AttemptAnswer) -> Frame {
        let shard = self.process.shard;
        let handle = attempt.handle.unwrap_or_else(|| Handle {
            shard,
            object: BASE_OBJECTS + self.rng.random_range(0..u64::MAX / 2),
        });
        let keys = &mut self.process.keys;
        match keys.record(
            &attempt.request_class,
            &attempt.idempotency_key,
            handle,
            machine_time(),
        ) {
            Ok(KeyedWrite::TakesEffect) => {
                self.objects.insert(handle.object, body);
                Frame::from(AttemptAnswer {
                    handle: Some(handle),
                    ..done
                })
            }
            Ok(KeyedWrite::Repeats(first)) => Frame::from(AttemptAnswer {
                ran: false,
                handle: Some(first),
                ..done
            }),
            Err(error) => Frame::from(AttemptAnswer {
                result: AttemptResult::Failed as i32,
                ran: false,
                handle: None,
                reason: format!("the record of keys: {error}"),
                ..done
            }),
        }
    }

    /// The bytes of an object of this node's shard.
    fn read(&self, handle: Handle) -> Option<Bytes> {
        if handle.shard != self.process.shard {
            return None;
        }
        let written = self.objects.get(&handle.object).cloned();
        written.or_else(|| (handle.object < BASE_OBJECTS).then(|| base_content(handle)))
    }

    fn send(&self, link: u64, frame: Frame) {
        // A link that is gone, or takes nothing, loses its answers: so do real ones.
        if self
            .links
            .get(&link)
            .is_some_and(|link| link.send(frame).is_err())
        {
            warn!(
                node = self.process.name,
                "answer not sent: connection closed or its queue is full"
            );
        }
    }
}
