//! A whole fleet in simulated time: hosts have separate clocks, and messages are delayed, lost, repeated or reordered.
//! After each event the invariants are checked. A failure reports its seed; `FLEET_SEEDS=from..to` selects other seeds.

use crate::network::Cut;
use crate::servers::OrderHistory;
use gullsail_fleet::fleet::CommandAnswer;
use gullsail_fleet::maintenance::coordinator::CommandKind;
use gullsail_fleet::maintenance::{MaintenanceConfig, ServerId};
use gullsail_fleet::{Budget, Event, Fleet, FleetConfig, WHOLE};
use gullsail_protocol::{FleetCommand, FleetMessage};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

pub const LEASE: i64 = 1_000_000;
pub const DRIFT: f64 = 0.005;
pub const SECOND: i64 = 1_000_000;

/// The default number of nodes, two for each shard, all with the same capacity.
pub const NODES: u64 = 6;
/// The server id of the first node. The server ids of hosts start at 1.
pub const FIRST_NODE: u64 = 10_000;

fn fleet_config(hosts: u32, smallest_share: u32, drift: f64) -> FleetConfig {
    let budget = |budget_hosts: Vec<u32>, smallest_share| {
        let floor = WHOLE * 3 / 10 / budget_hosts.len() as u32;
        let budget_hosts = budget_hosts.into_iter().map(HostId).collect();
        Budget {
            hosts: budget_hosts,
            floor,
            lagging_hosts: BTreeMap::new(),
            min_share: smallest_share,
        }
    };
    let some = (0..hosts).filter(|host| host % 2 == 0).collect();
    let budgets = [
        (VolumeId(1), budget((0..hosts).collect(), smallest_share)),
        (VolumeId(2), budget(some, 1000)),
    ];
    FleetConfig {
        fleet: 7,
        hosts,
        lease: Span::from_micros(LEASE),
        drift,
        voters: hosts.min(5),
        budgets: budgets.into(),
        maintenance: None,
    }
}

/// An event that is scheduled for some time.
pub enum Scheduled {
    Message {
        to: u32,
        link: u32,
        message: FleetMessage,
    },
    Timer {
        host: u32,
    },
    Fault,
}

pub struct Host {
    /// The state machine; `None`: the host is down.
    pub fleet: Option<Fleet>,
    /// How much the host's clock is ahead of simulated time at time 0, in microseconds.
    ahead: i64,
    /// The rate of the host's clock.
    rate: f64,
    /// The host is paused until this time, like a suspended process.
    pub paused_until: i64,
    /// When the host's timer is due. Timers that were scheduled before for an earlier time are ignored.
    timer_at: i64,
    /// Messages that arrived while the host was paused, with the sender.
    waiting: Vec<(u32, FleetMessage)>,
    pub demand: f64,
    pub incarnations: u64,
    /// The incarnation and its epoch after the last event.
    pub epoch: (u64, u64),
    /// By node, the last time at which the host was allowed to send to it.
    pub used_at: Vec<i64>,
}

impl Host {
    /// A host that is down, with a random offset and rate of its clock.
    fn random(rng: &mut ChaCha8Rng, drift: f64) -> Host {
        Host {
            fleet: None,
            ahead: rng.random_range(0..100 * SECOND),
            rate: 1.0 + rng.random_range(-drift..drift),
            paused_until: 0,
            timer_at: 0,
            waiting: Vec::new(),
            demand: 0.0,
            incarnations: 0,
            epoch: (0, 0),
            used_at: vec![i64::MIN / 2; NODES as usize],
        }
    }
}

/// A storage node.
#[derive(Clone, Copy)]
pub struct Node {
    pub incarnation: u64,
    pub well: bool,
}

pub struct World {
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub now: i64,
    pub config: Arc<FleetConfig>,
    pub hosts: Vec<Host>,
    /// The times of scheduled events, with their keys in `scheduled`.
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    last_scheduled: u64,
    pub cuts: Vec<Cut>,
    /// The fraction of messages that are lost.
    pub loss: f64,
    /// The number of messages sent, by host.
    pub messages: Vec<u64>,
    /// The largest sum of shares in use so far.
    pub largest_sum: u64,
    /// For each host, after how many events it was the coordinator.
    pub coordinators: BTreeMap<u32, u64>,
    pub nodes: Vec<Node>,
    /// How long the process on each node has run, as hosts observe it.
    pub up: Span,
    pub orders: OrderHistory,
    pub answers: Vec<CommandAnswer>,
    last_command: u64,
}

impl World {
    pub fn new(hosts: u32, seed: u64, smallest_share: u32) -> World {
        World::with_drift(hosts, seed, smallest_share, DRIFT, None)
    }

    /// Creates a world in which the rates of clocks differ by up to twice `drift`.
    pub fn with_drift(
        hosts: u32,
        seed: u64,
        smallest_share: u32,
        drift: f64,
        maintenance: Option<MaintenanceConfig>,
    ) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = Arc::new(FleetConfig {
            maintenance,
            ..fleet_config(hosts, smallest_share, drift)
        });
        let all: Vec<Host> = (0..hosts).map(|_| Host::random(&mut rng, drift)).collect();
        let mut world = World {
            seed,
            rng,
            now: 0,
            config,
            messages: vec![0; all.len()],
            hosts: all,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_scheduled: 0,
            cuts: Vec::new(),
            loss: 0.0,
            largest_sum: 0,
            coordinators: BTreeMap::new(),
            nodes: first_nodes(NODES),
            up: Span::ZERO,
            orders: OrderHistory::default(),
            answers: Vec::new(),
            last_command: 0,
        };
        for host in 0..hosts {
            world.start(host);
        }
        world
    }

    /// Replaces the nodes by `nodes` new ones, two for each shard.
    pub fn with_nodes(mut self, nodes: u64) -> World {
        self.nodes = first_nodes(nodes);
        for host in &mut self.hosts {
            host.used_at = vec![i64::MIN / 2; nodes as usize];
        }
        self
    }

    pub fn clock(&self, host: u32, at: i64) -> Instant {
        let host = &self.hosts[host as usize];
        Instant::from_micros(host.ahead + (at as f64 * host.rate) as i64)
    }

    pub fn schedule(&mut self, at: i64, scheduled: Scheduled) {
        self.last_scheduled += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.last_scheduled)));
        self.scheduled.insert(self.last_scheduled, scheduled);
    }

    pub fn set_timer(&mut self, host: u32, at: i64) {
        self.hosts[host as usize].timer_at = at;
        self.schedule(at, Scheduled::Timer { host });
    }

    pub fn start(&mut self, number: u32) {
        let now = self.clock(number, self.now);
        let host = &mut self.hosts[number as usize];
        host.incarnations += 1;
        host.paused_until = 0;
        host.waiting.clear();
        let incarnation = (u64::from(number) + 1) << 32 | host.incarnations;
        host.fleet = Some(Fleet::new(
            self.config.clone(),
            HostId(number),
            incarnation,
            self.seed,
            now,
        ));
        self.turn(number);
    }

    pub fn kill(&mut self, host: u32) {
        self.hosts[host as usize].fleet = None;
    }

    pub fn set_demand(&mut self, host: u32, units: f64) {
        self.hosts[host as usize].demand = units;
    }

    /// Gives an operator's command to a host; returns the command's number.
    pub fn command(
        &mut self,
        host: u32,
        kind: CommandKind,
        servers: &[ServerId],
        options: FleetCommand,
    ) -> u64 {
        self.last_command += 1;
        let number = self.last_command;
        let now = self.clock(host, self.now);
        let servers = servers.iter().map(|server| server.0).collect();
        let command = FleetCommand {
            kind: kind as u32,
            servers,
            ..options
        };
        if let Some(fleet) = &mut self.hosts[host as usize].fleet {
            fleet.handle(now, Event::OperatorCommand { number, command });
        }
        self.turn(host);
        number
    }

    /// Advances a host, sends its messages and sets its timer.
    pub fn turn(&mut self, host: u32) {
        let now = self.clock(host, self.now);
        let Some(fleet) = &mut self.hosts[host as usize].fleet else {
            return;
        };
        fleet.advance(now);
        if fleet.going_offline() {
            // Hosts in this simulation have no requests left to answer, so they leave at once.
            fleet.handle(now, Event::Leave);
        }
        if fleet.has_left() {
            self.answers.extend(fleet.answers());
            return self.kill(host);
        }
        if self.config.maintenance.is_some() {
            self.observe_servers(host, now);
        }
        let Some(fleet) = &mut self.hosts[host as usize].fleet else {
            return;
        };
        let outputs: Vec<_> = fleet.outputs().collect();
        let next = fleet.next();
        let wait = ((next - now).micros().max(200) as f64 / self.hosts[host as usize].rate) as i64;
        self.set_timer(host, self.now + wait);
        for output in outputs {
            self.messages[host as usize] += 1;
            let to = output.to.0;
            let message = output.message;
            self.transmit(host, to, &message);
        }
    }

    pub fn run(&mut self, span: i64) {
        let end = self.now + span;
        while let Some(Reverse((at, id))) = self
            .queue
            .peek()
            .copied()
            .filter(|Reverse(next)| next.0 <= end)
        {
            self.queue.pop();
            self.now = at;
            let Some(scheduled) = self.scheduled.remove(&id) else {
                continue;
            };
            match scheduled {
                Scheduled::Timer { host } if self.hosts[host as usize].timer_at > at => continue,
                Scheduled::Timer { host } => self.timer(host),
                Scheduled::Message { to, link, message } => {
                    let host = &mut self.hosts[to as usize];
                    if host.fleet.is_none() {
                        continue;
                    }
                    if host.paused_until > at {
                        host.waiting.push((link, message));
                        continue;
                    }
                    self.deliver(to, link, message);
                }
                Scheduled::Fault => self.fault(),
            }
            self.check();
        }
        self.now = end;
    }

    fn timer(&mut self, number: u32) {
        let host = &mut self.hosts[number as usize];
        if host.fleet.is_none() {
            return;
        }
        if host.paused_until > self.now {
            let until = host.paused_until;
            return self.set_timer(number, until);
        }
        let units = host.demand;
        let waiting = std::mem::take(&mut host.waiting);
        let clock = self.clock(number, self.now);
        if let Some(fleet) = &mut self.hosts[number as usize].fleet {
            for budget in self.config.budgets.keys().filter(|_| units > 0.0) {
                fleet.handle(
                    clock,
                    Event::DemandObserved {
                        budget: *budget,
                        units,
                    },
                );
            }
        }
        for (link, message) in waiting {
            self.deliver(number, link, message);
        }
        self.turn(number);
    }

    /// The sum of the shares of a budget that running hosts use.
    pub fn in_use(&self, budget: u64) -> u64 {
        (0..self.hosts.len() as u32)
            .map(|host| u64::from(self.share(host, budget)))
            .sum()
    }

    pub fn share(&self, host: u32, budget: u64) -> u32 {
        let fleet = self.hosts[host as usize].fleet.as_ref();
        fleet.map_or(0, |fleet| {
            fleet.share_at(VolumeId(budget), self.clock(host, self.now))
        })
    }
}

fn first_nodes(count: u64) -> Vec<Node> {
    (0..count)
        .map(|index| Node {
            incarnation: index + 1,
            well: true,
        })
        .collect()
}
