//! A storage node on a socket. The node stores objects and speaks the protocol; its [`Model`] decides how long requests
//! take. It serves until its task is dropped, or until the model reports an overload during slow start.

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

/// The settings of a simulated storage node.
pub struct NodeProcess {
    /// The node's name in the configuration.
    pub name: String,
    /// The number of the shard that the node holds.
    pub shard: i64,
    /// The simulated server that the node runs on.
    pub server: Server,
    /// The rule on the load that the node can take while it warms up.
    pub slow_start: SlowStart,
    /// A number drawn at random at each start of the process.
    pub incarnation: u64,
    /// For how long the node counts as running when `serve` begins.
    pub age: Span,
    /// The size limits of the frames that the node accepts.
    pub bounds: Bounds,
    /// The idempotency keys by which the node recognises repeated writes.
    pub keys: IdempotencyKeys,
}

/// An attempt that the node has accepted, with the link on which its answer is sent.
struct AcceptedAttempt {
    link: u64,
    attempt: Attempt,
    body: Bytes,
}

/// A fault that makes some requests cost more work than usual.
struct CostlyRequests {
    /// The affected request class; empty means all classes.
    request_class: String,
    /// The fraction of the requests, 0 to 1, that cost more.
    share: f64,
    /// The factor by which their work is multiplied.
    factor: f64,
}

/// A fault that ends at a set time.
struct ActiveFault {
    until: Instant,
    kind: &'static str,
}

struct Node {
    process: NodeProcess,
    model: Model,
    links: BTreeMap<u64, Link>,
    attempts: BTreeMap<u64, AcceptedAttempt>,
    objects: BTreeMap<u64, Bytes>,
    rng: ChaCha8Rng,
    failure_share: f64,
    costly_requests: Option<CostlyRequests>,
    active_faults: Vec<ActiveFault>,
}

/// Serves on the listener; returns when the node exits after an overload during slow start.
pub async fn serve(process: NodeProcess, listener: TcpListener) {
    let clock_origin = tokio::time::Instant::now();
    let now = || Instant::from_micros(clock_origin.elapsed().as_micros() as i64);
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
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                last_link += 1;
                let link = Link::open(stream, last_link, node.process.bounds, 16_384, &sink, &mut tasks);
                node.greet(last_link, link, now() - started_at);
            },
            Some((link, event)) = inbox.recv() => match event {
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
            failure_share: 0.0,
            costly_requests: None,
            active_faults: Vec::new(),
        }
    }

    /// Keeps a new connection and sends the `Hello` frame on it.
    fn greet(&mut self, id: u64, link: Link, uptime: Span) {
        let hello = Hello {
            role: Role::Node as i32,
            name: self.process.name.clone(),
            incarnation: self.process.incarnation,
            age_us: uptime.micros(),
            shard_plus_one: self.process.shard + 1,
        };
        // A connection that is closed already is reported by its reading task.
        let _ = link.send(Frame::from(hello));
        self.links.insert(id, link);
    }

    /// Handles a frame of a peer; returns `true` when the node is overloaded and must exit.
    fn handle_frame(&mut self, link: u64, frame: Frame, id: u64, now: Instant) -> bool {
        match frame.message {
            Message::Attempt(attempt) => {
                let accepted = AcceptedAttempt {
                    link,
                    attempt,
                    body: frame.body,
                };
                return self.accept(id, accepted, now);
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
            Message::Order(order) => self.inject_fault(&order, now),
            _ => {}
        }
        false
    }

    /// Accepts or rejects an attempt; returns `true` when the node is overloaded and must exit.
    fn accept(&mut self, id: u64, accepted: AcceptedAttempt, now: Instant) -> bool {
        let attempt = &accepted.attempt;
        let factor = self.cost_factor(&attempt.request_class);
        match self
            .model
            .arrive(now, id, attempt.units, attempt.write, factor)
        {
            Arrival::Taken => _ = self.attempts.insert(id, accepted),
            Arrival::Full => {
                let rejected = AttemptAnswer {
                    attempt: attempt.attempt,
                    result: AttemptResult::Rejected as i32,
                    ..AttemptAnswer::default()
                };
                self.send(accepted.link, Frame::from(rejected));
            }
            Arrival::FellOver => return true,
        }
        false
    }

    /// Returns the factor by which the work of a request is multiplied.
    fn cost_factor(&mut self, request_class: &str) -> f64 {
        match &self.costly_requests {
            Some(costly)
                if (costly.request_class.is_empty() || costly.request_class == request_class)
                    && self.rng.random_bool(costly.share) =>
            {
                costly.factor
            }
            _ => 1.0,
        }
    }

    /// Drops an attempt that is still queued; a running one is not interrupted.
    fn cancel(&mut self, link: u64, cancel: &Cancel) {
        let found = self
            .attempts
            .iter()
            .find(|(_, accepted)| {
                accepted.link == link && accepted.attempt.attempt == cancel.attempt
            })
            .map(|(id, _)| *id);
        if let Some(id) = found
            && self.model.cancel(id)
        {
            self.attempts.remove(&id);
        }
    }

    /// Starts the fault that an order of the scenario names.
    fn inject_fault(&mut self, order: &Order, now: Instant) {
        let duration = Span::from_micros(order.duration_us);
        info!(
            node = self.process.name,
            what = order.kind,
            size = order.size,
            ms = duration.millis(),
            "fault injected"
        );
        match order.kind.as_str() {
            "stall" => self.model.stall(now, duration),
            "slow" => {
                self.model.slow(order.size);
                self.start_fault("slow", now + duration);
            }
            "costly" => {
                self.costly_requests = Some(CostlyRequests {
                    request_class: order.request_class.clone(),
                    share: order.share.clamp(0.0, 1.0),
                    factor: order.size,
                });
                self.start_fault("costly", now + duration);
            }
            "fail" => {
                self.failure_share = order.size;
                self.start_fault("fail", now + duration);
            }
            other => warn!(
                node = self.process.name,
                what = other,
                "order ignored: unknown kind of fault"
            ),
        }
    }

    fn start_fault(&mut self, kind: &'static str, until: Instant) {
        self.active_faults.push(ActiveFault { until, kind });
    }

    fn end_expired_faults(&mut self, now: Instant) {
        let faults = self.active_faults.drain(..);
        let (expired, active): (Vec<_>, Vec<_>) = faults.partition(|fault| fault.until <= now);
        self.active_faults = active;
        for fault in expired {
            match fault.kind {
                "slow" => self.model.slow(1.0),
                "costly" => self.costly_requests = None,
                _ => self.failure_share = 0.0,
            }
        }
    }

    /// Answers the attempt whose simulated work has ended.
    fn finish(&mut self, id: u64) {
        let Some(accepted) = self.attempts.remove(&id) else {
            return;
        };
        let AcceptedAttempt {
            link,
            attempt,
            body,
        } = accepted;
        let answer = AttemptAnswer {
            attempt: attempt.attempt,
            result: AttemptResult::Failed as i32,
            ..AttemptAnswer::default()
        };
        if self.rng.random_bool(self.failure_share.clamp(0.0, 1.0)) {
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

    /// Stores an object, unless the key shows that an earlier attempt stored it, at this node or at another one.
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

    /// Returns the bytes of an object of this node's shard; `None`: the node does not hold the object.
    fn read(&self, handle: Handle) -> Option<Bytes> {
        if handle.shard != self.process.shard {
            return None;
        }
        let written = self.objects.get(&handle.object).cloned();
        written.or_else(|| (handle.object < BASE_OBJECTS).then(|| base_content(handle)))
    }

    fn send(&self, link: u64, frame: Frame) {
        // An answer on a link that is closed or whose queue is full is lost, as at a real node.
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
