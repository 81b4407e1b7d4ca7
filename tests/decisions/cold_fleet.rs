//! Rule 4 over a fleet: many hosts that exchange no messages send to one node that warms up, in simulated time.
//! Each host sees only its own attempts, but the node is loaded by the sum of the attempts of all hosts.

use crate::common::*;
use gullsail::Scheduler;
use gullsail::api::{
    Action, AttemptEnd, AttemptOutcome, Endpoint, Event, HostId, Instant, NodeId, Request,
    RequestId, SchedulerConfig, ShardId, TimerId, UpdateKind, VolumeId, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SHARDS: i64 = 10;
/// End of the simulation, in ms after the start of the cold node. Longer than any ramp here.
const END_MS: i64 = 9_000;
/// Time of the start of the cold node, in ms. Other times are relative to it.
const COLD_START_MS: i64 = 20_000;
/// Start of the simulation, in ms relative to the start of the cold node. Hosts have served requests for a
/// while by then.
const BEGIN_MS: i64 = -4_000;

/// A node that serves attempts one after the other and rejects none.
struct Node {
    /// When the node has served all its attempts, in ms.
    free_at: f64,
    /// End in ms, host, request and number of each attempt that has not ended.
    attempts: VecDeque<(f64, usize, RequestId, u32)>,
}

/// The load of one simulation.
struct Load {
    hosts: u32,
    /// Units that the cold node can serve within the slow-start window at its start.
    cold_units: f64,
    /// Demand for each node, as a multiple of `cold_units` within the slow-start window.
    demand: f64,
    /// Some hosts receive several times the mean number of requests.
    uneven: bool,
    /// Time in ms within which every host learns of the start of the cold node.
    reported_within: i64,
    seed: u64,
}

impl Load {
    /// The relative number of requests of each host.
    fn weights(&self) -> Vec<f64> {
        let weight = |host| match host % 5 {
            _ if !self.uneven => 1.0,
            0 => 3.0,
            _ => 0.5,
        };
        (0..self.hosts).map(weight).collect()
    }
}

struct World {
    config: SchedulerConfig,
    hosts: Vec<Scheduler>,
    timers: Vec<BTreeSet<(Instant, TimerId)>>,
    nodes: Vec<Node>,
    /// Time in ms and units of each attempt at the cold node.
    sent: Vec<(i64, f64)>,
    /// Units requested from the cold node after every host has learned of its start.
    requested_units: f64,
    units: BTreeMap<RequestId, f64>,
}

/// The units that all hosts together may send within the slow-start window to a node of this age in seconds.
fn allowed_units(config: &SchedulerConfig, age: f64) -> f64 {
    let fraction = config.slow_start.initial_fraction
        + (1.0 - config.slow_start.initial_fraction)
            * (age / config.slow_start.ramp.secs()).clamp(0.0, 1.0);
    config.slow_start.units * fraction / config.slow_start.initial_fraction
}

impl World {
    fn new(load: &Load) -> World {
        let mut config = config();
        config.host_count = load.hosts;
        config.slow_start.units = load.cold_units;
        config.max_attempts = 1;
        config.peer_messages_enabled = false;
        World {
            config,
            hosts: Vec::new(),
            timers: (0..load.hosts).map(|_| BTreeSet::new()).collect(),
            nodes: (0..SHARDS)
                .map(|_| Node {
                    free_at: 0.0,
                    attempts: VecDeque::new(),
                })
                .collect(),
            sent: Vec::new(),
            requested_units: 0.0,
            units: BTreeMap::new(),
        }
    }

    fn start_hosts(&mut self) {
        let warm: Vec<_> = (1..SHARDS).map(|shard| node(shard as u64, shard)).collect();
        for host in 0..self.config.host_count {
            let config = SchedulerConfig {
                host_id: HostId(host),
                ..self.config.clone()
            };
            self.hosts.push(Scheduler::new(
                config,
                u64::from(host),
                at(COLD_START_MS + BEGIN_MS),
            ));
            let list = Event::EndpointList {
                update_kind: UpdateKind::Snapshot,
                entries: warm.clone(),
            };
            self.step(host as usize, BEGIN_MS, list);
        }
    }

    fn step(&mut self, host: usize, now: i64, event: Event) {
        let actions = self.hosts[host].step(at(COLD_START_MS + now), [event]);
        for action in actions {
            match action {
                Action::SetTimer { id, at } => _ = self.timers[host].insert((at, id)),
                Action::StartAttempt { id, node, .. } => {
                    self.attempt(host, now, id, node.0 as usize)
                }
                _ => {}
            }
        }
    }

    fn attempt(&mut self, host: usize, now: i64, id: RequestId, shard: usize) {
        let units = self.units[&id];
        // By the rule of this fleet, three times a node's rate overloads it.
        let rate = allowed_units(
            &self.config,
            if shard == 0 { now as f64 / 1e3 } else { 1e6 },
        ) / 3.0
            / self.config.slow_start.window.secs();
        let node = &mut self.nodes[shard];
        node.free_at = node.free_at.max(now as f64) + units / rate * 1e3;
        node.attempts.push_back((node.free_at, host, id, 0));
        if shard == 0 {
            self.sent.push((now, units));
        }
    }

    fn fire_timers(&mut self, host: usize, now: i64) {
        while let Some((due, id)) = self.timers[host].first().copied()
            && due <= at(COLD_START_MS + now)
        {
            self.timers[host].remove(&(due, id));
            self.step(host, now, Event::Timer(id));
        }
    }

    fn arrival(&mut self, host: usize, now: i64, id: u64, shard: i64) {
        self.units.insert(RequestId(id), 1.0);
        let volume = VolumeId(id % 97);
        let arrival = Request {
            shard: Some(ShardId(shard)),
            volume,
            ..request(id, 0)
        };
        self.step(host, now, Event::RequestArrived(arrival));
    }

    fn end_attempts(&mut self, shard: usize, now: i64) {
        while let Some((end_at, host, id, attempt)) = self.nodes[shard].attempts.front().copied()
            && end_at <= now as f64
        {
            self.nodes[shard].attempts.pop_front();
            let end = AttemptEnd {
                id,
                attempt,
                node: NodeId(shard as u64),
                outcome: AttemptOutcome::Succeeded,
                latency: ms(20),
                finished: true,
                used: None,
                zone: ZoneId(0),
                bytes: 0.0,
            };
            self.step(host, now, Event::AttemptEnded(end));
        }
    }
}

/// The result of one simulation.
struct SimulationResult {
    /// The largest number of units sent beyond the allowed units and the random variation, over all windows.
    excess: f64,
    /// The fraction of the requested units that was sent.
    sent_fraction: f64,
}

fn simulate(load: &Load) -> SimulationResult {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let mut world = World::new(load);
    world.start_hosts();
    let learns_at: Vec<i64> = (0..load.hosts)
        .map(|_| rng.random_range(0..=load.reported_within))
        .collect();
    let mut last_id = 0;
    for now in BEGIN_MS..END_MS {
        for (host, learns_at) in learns_at.iter().enumerate() {
            if *learns_at == now {
                world.step(host, now, start_of_cold_node());
            }
            world.fire_timers(host, now);
        }
        world.arrivals(load, now, &mut last_id, &mut rng);
        for shard in 0..SHARDS as usize {
            world.end_attempts(shard, now);
        }
    }
    let sent_after_report = world
        .sent
        .iter()
        .filter(|sent| sent.0 >= load.reported_within);
    SimulationResult {
        excess: world.max_excess(),
        sent_fraction: sent_after_report.count() as f64 / world.requested_units.max(1.0),
    }
}

fn start_of_cold_node() -> Event {
    let cold = Endpoint {
        started: Some(at(COLD_START_MS)),
        ..node(0, 0)
    };
    Event::EndpointList {
        update_kind: UpdateKind::Delta,
        entries: vec![cold],
    }
}

impl World {
    /// The requests that clients send to all hosts in a millisecond.
    fn arrivals(&mut self, load: &Load, now: i64, last_id: &mut u64, rng: &mut ChaCha8Rng) {
        let weights = load.weights();
        let total: f64 = weights.iter().sum();
        let window = self.config.slow_start.window.millis();
        let rate = load.demand * load.cold_units * SHARDS as f64 / window;
        for (host, weight) in weights.iter().enumerate() {
            if !rng.random_bool((rate * weight / total).min(1.0)) {
                continue;
            }
            *last_id += 1;
            let shard = rng.random_range(0..SHARDS);
            if shard == 0 && now >= load.reported_within {
                self.requested_units += 1.0;
            }
            self.arrival(host, now, *last_id, shard);
        }
    }

    /// The largest number of units sent within a window beyond the allowed units and the random variation.
    fn max_excess(&self) -> f64 {
        let window = self.config.slow_start.window.millis() as i64;
        let excesses = self.sent.iter().enumerate().map(|(i, (from, _))| {
            let within = self.sent[i..]
                .iter()
                .take_while(|sent| sent.0 < from + window);
            let sum: f64 = within.map(|sent| sent.1).sum();
            // The limit at the start of the window, which is the lowest within it.
            let limit = allowed_units(&self.config, *from as f64 / 1e3);
            sum - (limit + 2.0 * limit.sqrt() + 2.0)
        });
        excesses.fold(f64::MIN, f64::max)
    }
}

/// The units that all hosts send stay within the configured limit plus a margin for random variation, which is
/// twice the square root of the limit plus two. This holds for any demand, even or uneven over the hosts, and
/// whenever each host learns of the start. With a low demand, most of the requested units are sent.
#[test]
fn all_hosts_together_stay_within_the_slow_start_limit() {
    // Number of hosts; units that the cold node can serve within the window at its start.
    for (hosts, cold_units) in [(5, 24.0), (20, 12.0), (30, 6.0), (30, 12.0), (60, 24.0)] {
        // Demand as a multiple of these units; the least fraction of it that must be sent.
        for (demand, min_sent_fraction) in [(0.25, 0.9), (1.0, 0.65), (4.0, 0.2)] {
            for (uneven, reported_within) in [(false, 0), (true, 0), (true, 2_000)] {
                for seed in 1..=3 {
                    let load = Load {
                        hosts,
                        cold_units,
                        demand,
                        uneven,
                        reported_within,
                        seed,
                    };
                    let SimulationResult {
                        excess,
                        sent_fraction,
                    } = simulate(&load);
                    let case = format!(
                        "{hosts} hosts, {cold_units} units, demand {demand}, uneven {uneven}, reported within {reported_within} ms, \
                         seed {seed}: {excess:.1} units beyond the limit and the margin, a fraction of {sent_fraction:.2} sent"
                    );
                    assert!(
                        excess <= 0.0 && sent_fraction >= min_sent_fraction,
                        "{case}"
                    );
                }
            }
        }
    }
}
