//! The world that the model is held against: hosts under test, the messages on their way to them, and the
//! clients that come and go. Its storage nodes stand in `world_nodes`.

use crate::common::*;
use gullsail::api::{
    Action, AttemptEnd, AttemptOutcome, Endpoint, Event, HostId, Idempotency, IdempotencyScope,
    Instant, Limit, NodeId, ObjectId, PlanId, Request, RequestClass, RequestId, RetryBudget,
    SchedulerConfig, ShardId, SlowStart, Span, UpdateKind, VolumeAllocation, VolumeId, ZoneId,
};
use gullsail_reference_model::{Breach, Model, RuleParameters};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

pub const LASTS: i64 = 6000; // ms
pub const VOLUMES: u64 = 4;
pub const SHARDS: i64 = 4;
pub const CAN: f64 = 60.0; // units a second, of a warm node

/// A node of the world, as it is and as its list has it.
pub struct Server {
    pub entry: Endpoint,
    pub up: bool,
    pub faults: NodeFaults,
    pub free_at: Instant,
}

/// What a node does to attempts now.
#[derive(Clone, Copy)]
pub struct NodeFaults {
    /// The chance of an error.
    pub errors: f64,
    /// The chance of a full queue.
    pub rejections: f64,
    /// How many times as long it takes.
    pub slowdown: f64,
}

impl NodeFaults {
    pub const NONE: NodeFaults = NodeFaults {
        errors: 0.0,
        rejections: 0.0,
        slowdown: 1.0,
    };
}

/// What is on its way to a host.
pub enum Mail {
    DemandReport(HostId, Vec<u8>),
    End(u64, AttemptEnd),
    List(Vec<Endpoint>),
}

/// Alters what a host did, as a fault in it would.
pub type Fault = fn(&World, usize, &Requests, Action) -> Vec<Action>;
pub type Requests = BTreeMap<RequestId, HeldRequest>;

/// A request that a host was handed.
pub struct HeldRequest {
    pub arrived_at: Instant,
    pub request: Request,
    pub attempts_sent: u32,
}

pub struct Member {
    pub host: Option<Host>,
    pub incarnation: u64,
    pub returns_at: Instant,
    pub requests: Requests,
    /// Order of its plans: configurations change it.
    pub plans_reversed: bool,
    pub served: [bool; VOLUMES as usize],
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub now: Instant,
    pub config: SchedulerConfig,
    pub model: Model,
    pub members: Vec<Member>,
    pub servers: Vec<Server>,
    pub mail: Vec<(Instant, usize, Mail)>,
    pub last_node: u64,
    pub last_id: u64,
    pub fault: Option<Fault>,
    pub breaches: Vec<Breach>,
}

pub fn world_config(hosts: u32, rng: &mut ChaCha8Rng) -> SchedulerConfig {
    let mut f = config();
    f.host_count = hosts;
    f.order_settle = ms(60);
    f.retry_budget = Some(RetryBudget {
        fixed_retries: 1.0,
        retries_per_request: 0.05,
        window: ms(1000),
    });
    f.slow_start = SlowStart {
        units: 12.0,
        window: ms(1000),
        initial_fraction: 0.2,
        ramp: ms(4000),
    };
    let scope = [
        IdempotencyScope::All,
        IdempotencyScope::Zone,
        IdempotencyScope::Shard,
    ][rng.random_range(0..3)];
    f.request_classes[1].idempotency = Idempotency::WithKey {
        scope,
        window: ms(60),
    };
    f.request_classes[2].in_order = true;
    f.request_classes.push(RequestClass {
        in_order: true,
        ..request_class(Idempotency::Idempotent)
    });
    f.plans[1].limit = Some(Limit {
        rate: 15.0,
        burst: 8.0 * f64::from(hosts),
    });
    f
}

fn rule_parameters() -> RuleParameters {
    RuleParameters {
        drain_grace: ms(0),
        slack: 0.0,
        multiple: 2.0,
        can: CAN,
        answer_slack: ms(0),
    }
}

impl Member {
    /// A member whose host has not started yet.
    fn new(returns_at: Instant) -> Member {
        Member {
            host: None,
            incarnation: 0,
            returns_at,
            requests: BTreeMap::new(),
            plans_reversed: false,
            served: [true; VOLUMES as usize],
        }
    }
}

impl World {
    pub fn new(seed: u64, fault: Option<Fault>) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = [1, 2, 3, 8][rng.random_range(0..4)];
        let config = world_config(hosts, &mut rng);
        let now = at(100_000);
        let server = |n: u64| Server {
            entry: Endpoint {
                zone: ZoneId(n as usize % 2),
                ..node(n, n as i64 % SHARDS)
            },
            up: true,
            faults: NodeFaults::NONE,
            free_at: now,
        };
        let mut w = World {
            rng,
            now,
            model: Model::new(rule_parameters()),
            members: Vec::new(),
            servers: (0..5).map(server).collect(),
            mail: Vec::new(),
            last_node: 5,
            last_id: 0,
            fault,
            breaches: Vec::new(),
            config,
        };
        for me in 0..hosts {
            w.members.push(Member::new(now));
            w.start_host(me as usize);
        }
        w
    }

    pub fn start_host(&mut self, me: usize) {
        let config = SchedulerConfig {
            me: HostId(me as u32),
            ..self.config.clone()
        };
        self.model.step();
        self.model
            .host_started(self.now, HostId(me as u32), &config);
        let entries: Vec<_> = self.servers.iter().map(|m| m.entry.clone()).collect();
        let list = Event::EndpointList {
            update_kind: UpdateKind::StaleSnapshot,
            entries: entries.clone(),
        };
        self.model.saw(self.now, HostId(me as u32), &list);
        let m = &mut self.members[me];
        (m.plans_reversed, m.served, m.incarnation) =
            (false, [true; VOLUMES as usize], m.incarnation + 1);
        m.requests.clear();
        m.host = Some(Host::new(config, entries, self.now));
    }

    /// One step of a host: what it sees, then what it does, each reported to the model.
    pub fn step(&mut self, me: usize, event: Event) {
        if let Event::RequestArrived(t) = &event {
            self.members[me].requests.insert(
                t.id,
                HeldRequest {
                    arrived_at: self.now,
                    request: t.clone(),
                    attempts_sent: 0,
                },
            );
        }
        self.model.step();
        self.model.saw(self.now, HostId(me as u32), &event);
        let Some(host) = &mut self.members[me].host else {
            return;
        };
        let before = host.asked.len();
        host.deliver(event);
        let asked = host.asked.split_off(before);
        self.act(me, asked);
    }

    pub fn act(&mut self, me: usize, asked: Vec<(Instant, Action)>) {
        for (_, action) in asked {
            let requests = std::mem::take(&mut self.members[me].requests);
            let done = match self.fault {
                Some(fault) => fault(self, me, &requests, action),
                None => vec![action],
            };
            self.members[me].requests = requests;
            for action in done {
                if let Err(breach) = self.model.did(self.now, HostId(me as u32), &action) {
                    self.breaches.push(breach);
                }
                self.carry_out(me, action);
            }
        }
    }

    fn start_attempt(&mut self, me: usize, id: RequestId, node: NodeId, time_out: Option<Span>) {
        let incarnation = self.members[me].incarnation;
        let Some(held) = self.members[me].requests.get_mut(&id) else {
            return;
        };
        let attempt = held.attempts_sent;
        let units = held.request.units;
        held.attempts_sent += 1;
        let time_out = time_out.unwrap_or(ms(1000)).max(ms(1));
        let (outcome, latency) = self.serve(node, units, time_out);
        let end = AttemptEnd {
            id,
            attempt,
            node,
            outcome,
            latency,
            finished: outcome == AttemptOutcome::Succeeded,
            used: None,
            zone: ZoneId::default(),
            bytes: 0.0,
        };
        // Now and then its end is reported late, after the deadline too: the answer must not wait for it.
        let late = if self.rng.random_bool(0.02) {
            ms(self.rng.random_range(0..2000))
        } else {
            ms(0)
        };
        self.mail
            .push((self.now + latency + late, me, Mail::End(incarnation, end)));
    }

    pub fn carry_out(&mut self, me: usize, action: Action) {
        match action {
            Action::StartAttempt { id, node, time_out } => {
                self.start_attempt(me, id, node, time_out);
            }
            Action::SendToPeer { to, bytes } => {
                for chance in [0.8, 0.2] {
                    if self.rng.random_bool(chance) {
                        let way = ms(self.rng.random_range(1..150));
                        let demand_report = Mail::DemandReport(HostId(me as u32), bytes.clone());
                        self.mail
                            .push((self.now + way, to.0 as usize, demand_report));
                    }
                }
            }
            _ => {}
        }
    }

    /// Another configuration at one host: plans stand in another order, and a volume comes or goes.
    pub fn change_config(&mut self, me: usize) {
        let dropped = self.rng.random_range(0..VOLUMES) as usize;
        let m = &mut self.members[me];
        m.plans_reversed = !m.plans_reversed;
        m.served[dropped] = !m.served[dropped];
        let mut plans = self.config.plans.clone();
        if m.plans_reversed {
            plans.reverse();
        }
        plans[0].price *= 1.5;
        let allocations = (0..VOLUMES).map(|v| self.allocations(me, v)).collect();
        self.step(
            me,
            Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets: Vec::new(),
                fleet_membership: None,
            },
        );
    }

    pub fn plan(&self, me: usize, volume: u64) -> PlanId {
        PlanId((volume as usize % 2) ^ usize::from(self.members[me].plans_reversed))
    }

    pub fn allocations(&self, me: usize, volume: u64) -> VolumeAllocation {
        let serves = self.members[me].served[volume as usize];
        let part = (!serves).then_some(Limit {
            rate: 0.0,
            burst: 0.0,
        });
        let hosts = if serves { self.members.len() as u32 } else { 0 };
        VolumeAllocation {
            volume: VolumeId(volume),
            plan: self.plan(me, volume),
            host_count: hosts,
            host_limit: part,
        }
    }

    pub fn arrival(&mut self, me: usize) {
        self.last_id += 1;
        let volume = self.rng.random_range(0..VOLUMES);
        if !self.members[me].served[volume as usize] {
            return;
        }
        let request_class = self.rng.random_range(0..4);
        let shard = self
            .rng
            .random_bool(0.7)
            .then(|| ShardId(self.rng.random_range(0..SHARDS)));
        let t = Request {
            plan: self.plan(me, volume),
            volume: VolumeId(volume),
            units: [1.0, 1.0, 2.0, 4.0][self.rng.random_range(0..4)],
            shard,
            object: self
                .rng
                .random_bool(0.6)
                .then(|| ObjectId(self.rng.random_range(0..6))),
            // Mostly a first try; some are a next one, or impatient.
            timeout: ms(if self.rng.random_bool(0.8) {
                1200
            } else {
                self.rng.random_range(60..1200)
            }),
            volume_hosts: self.members.len() as u32,
            ..request(self.last_id, request_class)
        };
        self.step(me, Event::RequestArrived(t));
    }

    pub fn play(&mut self) {
        let end = self.now + ms(LASTS);
        let many = self.members.len();
        while self.now < end {
            self.now = self.now + ms(1);
            for me in 0..many {
                if self.members[me].host.is_some() && self.rng.random_bool(0.0002) {
                    self.members[me].host = None;
                    self.members[me].returns_at = self.now + ms(self.rng.random_range(0..800));
                    self.model.killed(self.now, HostId(me as u32));
                }
                if self.members[me].host.is_none() && self.now >= self.members[me].returns_at {
                    self.start_host(me);
                }
                self.member(me);
            }
            if self.rng.random_bool(0.004) {
                self.nodes_change();
            }
            if let Err(breach) = self.model.passed(self.now) {
                self.breaches.push(breach);
            }
            if self.fault.is_some() && !self.breaches.is_empty() {
                return;
            }
        }
    }

    fn deliver(&mut self, me: usize, mail: Mail) {
        match mail {
            Mail::DemandReport(from, bytes) => self.step(me, Event::PeerMessage { from, bytes }),
            Mail::End(incarnation, end) => {
                if incarnation == self.members[me].incarnation {
                    self.step(me, Event::AttemptEnded(end));
                }
            }
            Mail::List(entries) => self.step(
                me,
                Event::EndpointList {
                    update_kind: UpdateKind::Delta,
                    entries,
                },
            ),
        }
    }

    /// A millisecond of one host and its clients.
    pub fn member(&mut self, me: usize) {
        let Some(host) = &mut self.members[me].host else {
            return;
        };
        // Timers first, each a step of its own.
        let before = host.asked.len();
        let span = self.now - host.now;
        self.model.step();
        host.pass(span);
        let asked = host.asked.split_off(before);
        self.act(me, asked);
        let due = self
            .mail
            .extract_if(.., |m| m.1 == me && m.0 <= self.now)
            .collect::<Vec<_>>();
        for (_, _, mail) in due {
            self.deliver(me, mail);
        }
        if self.rng.random_bool(0.15 / self.members.len() as f64) {
            self.arrival(me);
        }
        if self.rng.random_bool(0.001) {
            self.change_config(me);
        }
        if self.rng.random_bool(0.003)
            && let Some(id) = self.members[me].requests.keys().next_back().copied()
        {
            self.step(me, Event::ClientDisconnected(id));
        }
    }
}
