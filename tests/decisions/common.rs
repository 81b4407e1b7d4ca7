//! One host under test: feeds events to the decisions and remembers what they asked for.

use gullsail::Scheduler;
use gullsail::api::{
    Action, AttemptEnd, AttemptOutcome, Endpoint, EndpointState, Event, Idempotency,
    IdempotencyScope, Instant, Limit, NodeId, Plan, Request, RequestClass, RequestClassId,
    RequestId, SchedulerConfig, ShardId, SlowStart, Span, TimerId, UpdateKind, VolumeId, ZoneId,
};

pub fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1000)
}

pub fn at(ms: i64) -> Instant {
    Instant::from_micros(ms * 1000)
}

/// Two hosts; classes 0 idempotent, 1 with an idempotency key known to its shard, 2 non-idempotent; plans 0
/// without a limit, 1 with one.
pub fn config() -> SchedulerConfig {
    let limit = Limit {
        rate: 40.0,
        burst: 40.0,
    };
    let plan = |limit| Plan {
        limit,
        reserve: 10.0,
        nominal_rate: 10.0,
        weight: 1.0,
        price: 1.0,
    };
    let shard_key = Idempotency::WithKey {
        scope: IdempotencyScope::Shard,
        window: ms(200),
    };
    SchedulerConfig {
        host_count: 2,
        tick: ms(2),
        request_classes: [
            Idempotency::Idempotent,
            shard_key,
            Idempotency::NonIdempotent,
        ]
        .map(request_class)
        .to_vec(),
        plans: vec![plan(None), plan(Some(limit))],
        slow_start: slow_start(),
        max_attempts: 3,
        max_units: 8.0,
        within_share_value: 0.3,
        beyond_share_value: 0.1,
        max_retry_after: Some(ms(1000)),
        peer_messages_enabled: true,
        ..SchedulerConfig::default()
    }
}

fn slow_start() -> SlowStart {
    SlowStart {
        units: 12.0,
        window: ms(1500),
        initial_fraction: 0.2,
        ramp: ms(10_000),
    }
}

pub fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        idempotency,
        latency_objective: ms(400),
        priority_weight: 2.0,
        late_weight: 0.1,
        in_order: false,
    }
}

pub fn node(id: u64, shard: i64) -> Endpoint {
    Endpoint {
        node: NodeId(id),
        shard: ShardId(shard),
        zone: ZoneId(0),
        ..Endpoint::default()
    }
}

/// The list when a node of this shard drains: what comes then waits for a successor.
pub fn leaving(shard: i64) -> Vec<Endpoint> {
    vec![Endpoint {
        state: EndpointState::Draining,
        ..node(99, shard)
    }]
}

pub fn request(id: u64, request_class: usize) -> Request {
    Request {
        id: RequestId(id),
        request_class: RequestClassId(request_class),
        volume: VolumeId(7),
        units: 1.0,
        shard: Some(ShardId(0)),
        timeout: ms(1000),
        volume_hosts: 1,
        ..Request::default()
    }
}

/// A host that knows a node for each of the shards 0 and 1.
pub fn host() -> Host {
    Host::new(config(), vec![node(1, 0), node(2, 1)], at(1000))
}

pub struct Host {
    scheduler: Scheduler,
    pub now: Instant,
    timers: Vec<(Instant, TimerId)>,
    pub asked: Vec<(Instant, Action)>,
}

impl Host {
    pub fn new(config: SchedulerConfig, nodes: Vec<Endpoint>, now: Instant) -> Self {
        let scheduler = Scheduler::new(config, 1, now);
        let mut host = Host {
            scheduler,
            now,
            timers: Vec::new(),
            asked: Vec::new(),
        };
        host.deliver(Event::EndpointList {
            update_kind: UpdateKind::StaleSnapshot,
            entries: nodes,
        });
        host
    }

    /// The length of one of the module's collections.
    pub fn size_metric(&self, name: &str) -> usize {
        self.scheduler
            .size_metrics()
            .into_iter()
            .find(|l| l.0 == name)
            .expect("a collection of this name")
            .1
    }

    pub fn deliver(&mut self, event: Event) -> Vec<Action> {
        self.deliver_all(vec![event])
    }

    /// What happened together, as after a stall.
    pub fn deliver_all(&mut self, events: Vec<Event>) -> Vec<Action> {
        let actions = self.scheduler.step(self.now, events);
        for a in &actions {
            match a {
                Action::SetTimer { id, at } => self.timers.push((*at, *id)),
                other => self.asked.push((self.now, other.clone())),
            }
        }
        actions
    }

    pub fn list(&mut self, update_kind: UpdateKind, entries: Vec<Endpoint>) {
        self.deliver(Event::EndpointList {
            update_kind,
            entries,
        });
    }

    /// The process stands still: time passes, and all timers that are due come together with these events.
    pub fn stall(&mut self, span: Span, mut events: Vec<Event>) -> Vec<Action> {
        self.now = self.now + span;
        let now = self.now;
        let due = self.timers.iter().filter(|timer| timer.0 <= now);
        events.extend(due.map(|timer| Event::Timer(timer.1)));
        self.timers.retain(|timer| timer.0 > now);
        self.deliver_all(events)
    }

    /// Lets time pass; timers come when they are due, to the millisecond.
    pub fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + ms(1)).min(end);
            let now = self.now;
            let due: Vec<_> = self
                .timers
                .iter()
                .filter(|t| t.0 <= now)
                .map(|t| t.1)
                .collect();
            self.timers.retain(|t| t.0 > now);
            for id in due {
                self.deliver(Event::Timer(id));
            }
        }
    }

    pub fn end(&mut self, id: u64, attempt: u32, node: u64, outcome: AttemptOutcome, latency: i64) {
        let finished = outcome == AttemptOutcome::Succeeded;
        let (id, node) = (RequestId(id), NodeId(node));
        self.deliver(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            node,
            outcome,
            latency: ms(latency),
            finished,
            used: None,
            zone: ZoneId(0),
            bytes: 0.0,
        }));
    }

    fn sent(&self) -> impl Iterator<Item = (u64, u64)> {
        self.asked.iter().filter_map(|a| match a.1 {
            Action::StartAttempt { id, node, .. } => Some((id.0, node.0)),
            _ => None,
        })
    }

    pub fn attempts(&self, of: u64) -> Vec<u64> {
        self.sent()
            .filter(|(id, _)| *id == of)
            .map(|(_, node)| node)
            .collect()
    }

    pub fn order(&self) -> Vec<u64> {
        self.sent().map(|(id, _)| id).collect()
    }

    pub fn answers(&self, of: u64) -> Vec<&'static str> {
        let answers = self.asked.iter().filter_map(|a| match a.1 {
            Action::Reject { id, .. } if id.0 == of => Some("rejected"),
            Action::Fail { id } if id.0 == of => Some("failed"),
            _ => None,
        });
        answers.collect()
    }
}
