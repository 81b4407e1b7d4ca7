//! The simulated world of the tests against the reference model: hosts under test, messages in transit to them,
//! and clients. The storage nodes are in `world_nodes`.

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

/// Length of a simulation, in ms.
pub const DURATION_MS: i64 = 6000;
pub const VOLUMES: u64 = 4;
pub const SHARDS: i64 = 4;
/// Units a second that a warm node can serve.
pub const NODE_RATE: f64 = 60.0;

/// A storage node: its entry in the endpoint list and its actual state.
pub struct Server {
    pub entry: Endpoint,
    pub up: bool,
    pub faults: NodeFaults,
    /// When the node has served all its attempts.
    pub free_at: Instant,
}

/// The current faults of a node.
#[derive(Clone, Copy)]
pub struct NodeFaults {
    /// The chance that an attempt fails with an error.
    pub errors: f64,
    /// The chance that an attempt is rejected, as by a full queue.
    pub rejections: f64,
    /// Factor on the service time.
    pub slowdown: f64,
}

impl NodeFaults {
    pub const NONE: NodeFaults = NodeFaults {
        errors: 0.0,
        rejections: 0.0,
        slowdown: 1.0,
    };
}

/// A message in transit to a host.
pub enum Mail {
    DemandReport(HostId, Vec<u8>),
    /// The incarnation of the host that sent the attempt, and the end of the attempt.
    AttemptEnded(u64, AttemptEnd),
    List(Vec<Endpoint>),
}

/// A fault injected into the hosts: replaces an action of a host by others. Its arguments are the world, the
/// host's index, the requests that the host holds, and the action.
pub type Fault = fn(&World, usize, &Requests, Action) -> Vec<Action>;
pub type Requests = BTreeMap<RequestId, HeldRequest>;

/// A request that has arrived at a host.
pub struct HeldRequest {
    pub arrived_at: Instant,
    pub request: Request,
    pub attempts_sent: u32,
}

/// One host of the simulation, with the state that survives its restarts.
pub struct Member {
    /// `None` while the host is down.
    pub host: Option<Host>,
    pub incarnation: u64,
    pub returns_at: Instant,
    pub requests: Requests,
    /// Whether the host's plans are in reversed order, after configuration changes.
    pub plans_reversed: bool,
    /// Whether each volume is allocated to this host.
    pub served: [bool; VOLUMES as usize],
}

/// The state of a simulation.
pub struct World {
    pub rng: ChaCha8Rng,
    pub now: Instant,
    pub config: SchedulerConfig,
    pub model: Model,
    pub members: Vec<Member>,
    pub servers: Vec<Server>,
    /// Messages in transit: time of delivery, index of the host, message.
    pub mail: Vec<(Instant, usize, Mail)>,
    pub last_node: u64,
    pub last_id: u64,
    pub fault: Option<Fault>,
    pub breaches: Vec<Breach>,
}

/// The configuration of a simulation, with a random scope for idempotency keys.
pub fn world_config(hosts: u32, rng: &mut ChaCha8Rng) -> SchedulerConfig {
    let mut config = config();
    config.host_count = hosts;
    config.order_settle = ms(60);
    config.retry_budget = Some(RetryBudget {
        fixed_retries: 1.0,
        retries_per_request: 0.05,
        window: ms(1000),
    });
    config.slow_start = SlowStart {
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
    config.request_classes[1].idempotency = Idempotency::WithKey {
        scope,
        window: ms(60),
    };
    config.request_classes[2].in_order = true;
    config.request_classes.push(RequestClass {
        in_order: true,
        ..request_class(Idempotency::Idempotent)
    });
    config.plans[1].limit = Some(Limit {
        rate: 15.0,
        burst: 8.0 * f64::from(hosts),
    });
    config
}

fn rule_parameters() -> RuleParameters {
    RuleParameters {
        drain_grace: ms(0),
        slack: 0.0,
        multiple: 2.0,
        can: NODE_RATE,
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
        let mut world = World {
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
            world.members.push(Member::new(now));
            world.start_host(me as usize);
        }
        world
    }

    /// Starts a host, or the next incarnation of one that was killed.
    pub fn start_host(&mut self, me: usize) {
        let config = SchedulerConfig {
            host_id: HostId(me as u32),
            ..self.config.clone()
        };
        self.model.step();
        self.model
            .host_started(self.now, HostId(me as u32), &config);
        let entries: Vec<_> = self
            .servers
            .iter()
            .map(|server| server.entry.clone())
            .collect();
        let list = Event::EndpointList {
            update_kind: UpdateKind::StaleSnapshot,
            entries: entries.clone(),
        };
        self.model.saw(self.now, HostId(me as u32), &list);
        let member = &mut self.members[me];
        (member.plans_reversed, member.served, member.incarnation) =
            (false, [true; VOLUMES as usize], member.incarnation + 1);
        member.requests.clear();
        member.host = Some(Host::new(config, entries, self.now));
    }

    /// Delivers an event to a host and carries out its actions. The model is given the event and each action.
    pub fn step(&mut self, me: usize, event: Event) {
        if let Event::RequestArrived(request) = &event {
            self.members[me].requests.insert(
                request.id,
                HeldRequest {
                    arrived_at: self.now,
                    request: request.clone(),
                    attempts_sent: 0,
                },
            );
        }
        self.model.step();
        self.model.saw(self.now, HostId(me as u32), &event);
        let Some(host) = &mut self.members[me].host else {
            return;
        };
        let before = host.actions.len();
        host.deliver(event);
        let actions = host.actions.split_off(before);
        self.act(me, actions);
    }

    /// Gives the actions of a host, as changed by the injected fault, to the model and carries them out.
    pub fn act(&mut self, me: usize, actions: Vec<(Instant, Action)>) {
        for (_, action) in actions {
            let requests = std::mem::take(&mut self.members[me].requests);
            let actual_actions = match self.fault {
                Some(fault) => fault(self, me, &requests, action),
                None => vec![action],
            };
            self.members[me].requests = requests;
            for action in actual_actions {
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
        // Some ends are reported late, even after the request's deadline. The final answer must not wait for
        // them.
        let report_delay = if self.rng.random_bool(0.02) {
            ms(self.rng.random_range(0..2000))
        } else {
            ms(0)
        };
        self.mail.push((
            self.now + latency + report_delay,
            me,
            Mail::AttemptEnded(incarnation, end),
        ));
    }

    /// Carries out one action. A message to a peer may be lost or delivered twice.
    pub fn carry_out(&mut self, me: usize, action: Action) {
        match action {
            Action::StartAttempt {
                id, node, time_out, ..
            } => {
                self.start_attempt(me, id, node, time_out);
            }
            Action::SendToPeer { to, bytes } => {
                for chance in [0.8, 0.2] {
                    if self.rng.random_bool(chance) {
                        let delay = ms(self.rng.random_range(1..150));
                        let demand_report = Mail::DemandReport(HostId(me as u32), bytes.clone());
                        self.mail
                            .push((self.now + delay, to.0 as usize, demand_report));
                    }
                }
            }
            _ => {}
        }
    }

    /// Changes the configuration of one host: the order of the plans is reversed, and a volume is withdrawn or
    /// allocated again.
    pub fn change_config(&mut self, me: usize) {
        let changed_volume = self.rng.random_range(0..VOLUMES) as usize;
        let member = &mut self.members[me];
        member.plans_reversed = !member.plans_reversed;
        member.served[changed_volume] = !member.served[changed_volume];
        let mut plans = self.config.plans.clone();
        if member.plans_reversed {
            plans.reverse();
        }
        plans[0].price *= 1.5;
        let allocations = (0..VOLUMES)
            .map(|volume| self.allocation(me, volume))
            .collect();
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

    /// The plan of a volume by the order of plans at this host.
    pub fn plan(&self, me: usize, volume: u64) -> PlanId {
        PlanId((volume as usize % 2) ^ usize::from(self.members[me].plans_reversed))
    }

    pub fn allocation(&self, me: usize, volume: u64) -> VolumeAllocation {
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

    /// A random request arrives at a host, unless the host does not serve the drawn volume.
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
        let request = Request {
            plan: self.plan(me, volume),
            volume: VolumeId(volume),
            units: [1.0, 1.0, 2.0, 4.0][self.rng.random_range(0..4)],
            shard,
            object: self
                .rng
                .random_bool(0.6)
                .then(|| ObjectId(self.rng.random_range(0..6))),
            // Most requests have the full timeout of a first try. The others are retries, or have a short
            // timeout.
            timeout: ms(if self.rng.random_bool(0.8) {
                1200
            } else {
                self.rng.random_range(60..1200)
            }),
            volume_hosts: self.members.len() as u32,
            ..request(self.last_id, request_class)
        };
        self.step(me, Event::RequestArrived(request));
    }

    /// Runs the simulation to its end, or until a breach if a fault is injected.
    pub fn run(&mut self) {
        let end = self.now + ms(DURATION_MS);
        let host_count = self.members.len();
        while self.now < end {
            self.now = self.now + ms(1);
            for me in 0..host_count {
                if self.members[me].host.is_some() && self.rng.random_bool(0.0002) {
                    self.members[me].host = None;
                    self.members[me].returns_at = self.now + ms(self.rng.random_range(0..800));
                    self.model.killed(self.now, HostId(me as u32));
                }
                if self.members[me].host.is_none() && self.now >= self.members[me].returns_at {
                    self.start_host(me);
                }
                self.step_host(me);
            }
            if self.rng.random_bool(0.004) {
                self.change_a_node();
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
            Mail::AttemptEnded(incarnation, end) => {
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

    /// Simulates a millisecond of one host and its clients.
    pub fn step_host(&mut self, me: usize) {
        let Some(host) = &mut self.members[me].host else {
            return;
        };
        // Fire the due timers first, each in its own step.
        let before = host.actions.len();
        let span = self.now - host.now;
        self.model.step();
        host.advance(span);
        let actions = host.actions.split_off(before);
        self.act(me, actions);
        let due = self
            .mail
            .extract_if(.., |message| message.1 == me && message.0 <= self.now)
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
