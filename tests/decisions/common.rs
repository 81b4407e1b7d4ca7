//! Helpers of the tests: configurations, requests, and a host that feeds events to its scheduler and records
//! the actions.

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

/// A configuration of two hosts. Request class 0 is idempotent, 1 has an idempotency key that one shard
/// recognises, and 2 is non-idempotent. Plan 0 has no limit, plan 1 has one.
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
        max_timeout: None,
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

/// A list with a draining node of this shard. Requests for the shard then wait for a replacement.
pub fn draining_endpoints(shard: i64) -> Vec<Endpoint> {
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

/// A host whose endpoint list has one node for each of the shards 0 and 1.
pub fn host() -> Host {
    Host::new(config(), vec![node(1, 0), node(2, 1)], at(1000))
}

/// A host under test.
pub struct Host {
    scheduler: Scheduler,
    pub now: Instant,
    /// Timers that have not fired, with the times at which they are due.
    timers: Vec<(Instant, TimerId)>,
    /// All actions other than timers, with the times at which the scheduler returned them.
    pub actions: Vec<(Instant, Action)>,
}

impl Host {
    pub fn new(config: SchedulerConfig, nodes: Vec<Endpoint>, now: Instant) -> Self {
        let scheduler = Scheduler::new(config, 1, now);
        let mut host = Host {
            scheduler,
            now,
            timers: Vec::new(),
            actions: Vec::new(),
        };
        host.deliver(Event::EndpointList {
            update_kind: UpdateKind::StaleSnapshot,
            entries: nodes,
        });
        host
    }

    /// The number of entries in one of the scheduler's collections.
    pub fn size_metric(&self, name: &str) -> usize {
        self.scheduler
            .size_metrics()
            .into_iter()
            .find(|metric| metric.0 == name)
            .expect("a collection of this name")
            .1
    }

    pub fn deliver(&mut self, event: Event) -> Vec<Action> {
        self.deliver_all(vec![event])
    }

    /// Delivers several events in one step, as after a stall of the process.
    pub fn deliver_all(&mut self, events: Vec<Event>) -> Vec<Action> {
        let actions = self.scheduler.step(self.now, events);
        for action in &actions {
            match action {
                Action::SetTimer { id, at } => self.timers.push((*at, *id)),
                other => self.actions.push((self.now, other.clone())),
            }
        }
        actions
    }

    pub fn deliver_list(&mut self, update_kind: UpdateKind, entries: Vec<Endpoint>) {
        self.deliver(Event::EndpointList {
            update_kind,
            entries,
        });
    }

    /// Simulates a stall of the process: after `span`, these events and all due timers are delivered in one
    /// step.
    pub fn stall(&mut self, span: Span, mut events: Vec<Event>) -> Vec<Action> {
        self.now = self.now + span;
        let now = self.now;
        let due = self.timers.iter().filter(|timer| timer.0 <= now);
        events.extend(due.map(|timer| Event::Timer(timer.1)));
        self.timers.retain(|timer| timer.0 > now);
        self.deliver_all(events)
    }

    /// Advances the time by `span` in steps of a millisecond and fires each timer when it is due.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + ms(1)).min(end);
            let now = self.now;
            let due: Vec<_> = self
                .timers
                .iter()
                .filter(|timer| timer.0 <= now)
                .map(|timer| timer.1)
                .collect();
            self.timers.retain(|timer| timer.0 > now);
            for id in due {
                self.deliver(Event::Timer(id));
            }
        }
    }

    /// Ends an attempt after `latency` ms. It has delivered the final answer if it succeeded.
    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt: u32,
        node: u64,
        outcome: AttemptOutcome,
        latency: i64,
    ) {
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

    /// The request and the node of each attempt, in the order in which the attempts were started.
    fn sent_attempts(&self) -> impl Iterator<Item = (u64, u64)> {
        self.actions.iter().filter_map(|action| match action.1 {
            Action::StartAttempt { id, node, .. } => Some((id.0, node.0)),
            _ => None,
        })
    }

    /// The nodes of a request's attempts, in order.
    pub fn attempt_nodes(&self, request_id: u64) -> Vec<u64> {
        self.sent_attempts()
            .filter(|(id, _)| *id == request_id)
            .map(|(_, node)| node)
            .collect()
    }

    /// The request of each attempt, in the order in which the attempts were started.
    pub fn sent_requests(&self) -> Vec<u64> {
        self.sent_attempts().map(|(id, _)| id).collect()
    }

    /// The final answers that the scheduler itself gave to a request.
    pub fn answers(&self, request_id: u64) -> Vec<&'static str> {
        let answers = self.actions.iter().filter_map(|action| match action.1 {
            Action::Reject { id, .. } if id.0 == request_id => Some("rejected"),
            Action::Fail { id } if id.0 == request_id => Some("failed"),
            _ => None,
        });
        answers.collect()
    }
}
