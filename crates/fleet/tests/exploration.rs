//! Explores all sequences of a few events in a fleet of three hosts with one budget. A message in flight is delivered,
//! lost or repeated; time passes; a host crashes, starts, is paused or resumes. The exploration starts from four
//! states: before a coordinator is elected, while shares move, and after the coordinator has crashed or was paused.
//! `FLEET_DEPTH` sets the number of events.

use gullsail_fleet::{Budget, Event, Fleet, FleetConfig, WHOLE};
use gullsail_protocol::FleetMessage;
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

const LEASE: i64 = 1_000_000;
const DRIFT: f64 = 0.01;
const BUDGET: VolumeId = VolumeId(1);
/// The rates of the hosts' clocks, which differ as much as the drift allows.
const CLOCK_RATES: [f64; 3] = [1.0, 1.0 + DRIFT, 1.0 - DRIFT];

#[derive(Clone, Debug)]
struct InFlight {
    from: u32,
    to: u32,
    message: FleetMessage,
}

#[derive(Clone)]
struct State {
    now: i64,
    hosts: Vec<Option<Fleet>>,
    paused: [bool; 3],
    incarnations: u64,
    /// Messages in flight, in the order in which they were sent.
    in_flight: Vec<InFlight>,
    faults: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Delivered(usize),
    Lost(usize),
    Repeated(usize),
    TimePasses(i64),
    Crashes(u32),
    Starts(u32),
    IsPaused(u32),
    Resumes(u32),
}

fn fleet_config() -> Arc<FleetConfig> {
    let budget_hosts = (0..3).map(HostId).collect();
    let budget = Budget {
        hosts: budget_hosts,
        floor: 100_000,
        lagging_hosts: BTreeMap::new(),
        min_share: 1000,
    };
    let lease = Span::from_micros(LEASE);
    Arc::new(FleetConfig {
        fleet: 7,
        hosts: 3,
        lease,
        drift: DRIFT,
        voters: 3,
        budgets: [(BUDGET, budget)].into(),
        maintenance: None,
    })
}

impl State {
    fn new() -> State {
        let mut state = State {
            now: 0,
            hosts: vec![None, None, None],
            paused: [false; 3],
            incarnations: 0,
            in_flight: vec![],
            faults: 0,
        };
        (0..3).for_each(|host| state.start(host));
        state
    }

    fn clock(&self, host: u32) -> Instant {
        Instant::from_micros(5_000_000 + (self.now as f64 * CLOCK_RATES[host as usize]) as i64)
    }

    fn start(&mut self, host: u32) {
        self.incarnations += 1;
        let incarnation = u64::from(host + 1) << 32 | self.incarnations;
        self.hosts[host as usize] = Some(Fleet::new(
            fleet_config(),
            HostId(host),
            incarnation,
            u64::from(host),
            self.clock(host),
        ));
        self.paused[host as usize] = false;
    }

    fn turn(&mut self, host: u32) {
        let now = self.clock(host);
        let Some(fleet) = self.hosts[host as usize]
            .as_mut()
            .filter(|_| !self.paused[host as usize])
        else {
            return;
        };
        fleet.advance(now);
        let sent = fleet.outputs().map(|output| InFlight {
            from: host,
            to: output.to.0,
            message: output.message,
        });
        self.in_flight.extend(sent);
    }

    fn deliver(&mut self, index: usize, is_repeated: bool) {
        let InFlight { from, to, message } = self.in_flight[index].clone();
        if !is_repeated {
            self.in_flight.remove(index);
        }
        let now = self.clock(to);
        if let Some(fleet) = self.hosts[to as usize]
            .as_mut()
            .filter(|_| !self.paused[to as usize])
        {
            fleet.handle(
                now,
                Event::Message {
                    link: HostId(from),
                    message,
                },
            );
            self.turn(to);
        }
    }

    /// Runs without faults for a time and delivers all messages at once, to reach a state from which to explore.
    fn run_without_faults(&mut self, span: i64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 20_000;
            (0..3).for_each(|host| self.turn(host));
            while !self.in_flight.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    fn set_demand(&mut self, host: u32, units: f64) {
        let now = self.clock(host);
        if let Some(fleet) = &mut self.hosts[host as usize] {
            fleet.handle(
                now,
                Event::DemandObserved {
                    budget: BUDGET,
                    units,
                },
            );
        }
    }

    fn steps(&self) -> Vec<Step> {
        // Only the oldest messages in flight are candidates; to handle the others later is the same as to send them
        // later.
        let in_flight = 0..self.in_flight.len().min(4);
        let mut all: Vec<Step> = in_flight.clone().map(Step::Delivered).collect();
        all.extend([LEASE / 8, LEASE / 2, LEASE * 11 / 10].map(Step::TimePasses));
        if self.faults < 2 {
            all.extend(
                in_flight
                    .clone()
                    .map(Step::Lost)
                    .chain(in_flight.map(Step::Repeated)),
            );
            for host in 0..3 {
                match (&self.hosts[host as usize], self.paused[host as usize]) {
                    (None, _) => all.push(Step::Starts(host)),
                    (Some(_), false) => all.extend([Step::Crashes(host), Step::IsPaused(host)]),
                    _ => {}
                }
            }
        }
        let paused = (0..3).filter(|host| self.paused[*host as usize]);
        all.extend(paused.map(Step::Resumes));
        all
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Delivered(index) => return self.deliver(index, false),
            Step::TimePasses(span) => {
                self.now += span;
                return (0..3).for_each(|host| self.turn(host));
            }
            Step::Resumes(host) => {
                self.paused[host as usize] = false;
                return self.turn(host);
            }
            Step::Lost(index) => _ = self.in_flight.remove(index),
            Step::Repeated(index) => self.deliver(index, true),
            Step::Crashes(host) => self.hosts[host as usize] = None,
            Step::Starts(host) => {
                self.start(host);
                self.turn(host);
            }
            Step::IsPaused(host) => self.paused[host as usize] = true,
        }
        self.faults += 1;
    }

    /// Returns the invariant that running hosts violate now: shares exceed the budget, or two hosts are coordinator.
    fn violation(&self) -> Option<String> {
        let runs = (0..3).filter(|host| !self.paused[*host as usize]);
        let runs: Vec<_> = runs
            .filter_map(|host| Some((host, self.hosts[host as usize].as_ref()?)))
            .collect();
        let shares: Vec<_> = runs
            .iter()
            .map(|(host, fleet)| (*host, fleet.share_at(BUDGET, self.clock(*host))))
            .collect();
        let deciding = runs
            .iter()
            .filter(|(host, fleet)| fleet.is_coordinator(self.clock(*host)))
            .count();
        let sum: u32 = shares.iter().map(|(_, share)| share).sum();
        (sum > WHOLE || deciding > 1).then(|| format!("{shares:?} in use, {deciding} coordinators"))
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!(
            "{:?}{:?}{:?}{}",
            self.hosts, self.in_flight, self.paused, self.now
        )
        .hash(&mut hasher);
        hasher.finish()
    }
}

fn explore(state: &State, depth: u32, seen: &mut HashSet<(u64, u32)>, path: &mut Vec<Step>) {
    if depth == 0 || !seen.insert((state.fingerprint(), depth)) {
        return;
    }
    for step in state.steps() {
        let mut next = state.clone();
        next.apply(step);
        path.push(step);
        if let Some(violation) = next.violation() {
            panic!("{violation} after {path:?}");
        }
        explore(&next, depth - 1, seen, path);
        path.pop();
    }
}

#[test]
fn no_order_of_events_breaks_the_invariants() {
    let depth = std::env::var("FLEET_DEPTH")
        .ok()
        .and_then(|depth| depth.parse().ok())
        .unwrap_or(5);
    let mut starting = State::new();
    starting.run_without_faults(LEASE - 20_000);
    starting.now += LEASE / 4;
    // All hosts hold shares, and the demand moves from one host to another.
    let mut moving = State::new();
    moving.set_demand(0, 100.0);
    moving.run_without_faults(6 * LEASE);
    moving.set_demand(2, 1000.0);
    (0..3).for_each(|host| moving.turn(host));
    let mut coordinator_crashed = moving.clone();
    let coordinator = (0..3).find(|host| {
        coordinator_crashed.hosts[*host as usize]
            .as_ref()
            .is_some_and(|fleet| fleet.is_coordinator(coordinator_crashed.clock(*host)))
    });
    let coordinator = coordinator.expect("a coordinator is elected by now");
    coordinator_crashed.hosts[coordinator as usize] = None;
    coordinator_crashed.now += LEASE * 9 / 10;
    // The coordinator is paused until its lease has just expired.
    let mut coordinator_paused = moving.clone();
    coordinator_paused.paused[coordinator as usize] = true;
    coordinator_paused.now += LEASE;
    let mut states = 0;
    for state in [starting, moving, coordinator_crashed, coordinator_paused] {
        let mut seen = HashSet::new();
        explore(&state, depth, &mut seen, &mut Vec::new());
        states += seen.len();
    }
    assert!(states > 1000, "{states}");
    println!("{states} states, {depth} steps deep");
}
