//! All orders of what can happen next, some steps deep, in worlds of three hosts and one budget: any message in flight comes, is
//! lost or comes twice, time passes, a host dies, comes back, stands still or goes on. From points where it matters:
//! before anybody is chosen, while parts move, after the coordinator died. `FLEET_DEPTH` looks deeper.

use gullsail_fleet::{Budget, Event, Fleet, FleetConfig, WHOLE};
use gullsail_protocol::FleetMessage;
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

const LEASE: i64 = 1_000_000;
const DRIFT: f64 = 0.01;
const BUDGET: VolumeId = VolumeId(1);
/// By how much clocks differ: as much as is allowed.
const RATES: [f64; 3] = [1.0, 1.0 + DRIFT, 1.0 - DRIFT];

#[derive(Clone)]
struct State {
    now: i64,
    hosts: Vec<Option<Fleet>>,
    still: [bool; 3],
    incarnations: u64,
    /// Who sends to whom, in the order they were sent.
    flying: Vec<(u32, u32, FleetMessage)>,
    faults: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Comes(usize),
    Lost(usize),
    Twice(usize),
    Passes(i64),
    Dies(u32),
    Starts(u32),
    Still(u32),
    GoesOn(u32),
}

fn terms() -> Arc<FleetConfig> {
    let through = (0..3).map(HostId).collect();
    let budget = Budget { through, floor: 100_000, stragglers: BTreeMap::new(), least: 1000 };
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
        let mut s = State {
            now: 0,
            hosts: vec![None, None, None],
            still: [false; 3],
            incarnations: 0,
            flying: vec![],
            faults: 0,
        };
        (0..3).for_each(|h| s.start(h));
        s
    }

    fn clock(&self, h: u32) -> Instant {
        Instant::from_micros(5_000_000 + (self.now as f64 * RATES[h as usize]) as i64)
    }

    fn start(&mut self, h: u32) {
        self.incarnations += 1;
        let incarnation = u64::from(h + 1) << 32 | self.incarnations;
        self.hosts[h as usize] =
            Some(Fleet::new(terms(), HostId(h), incarnation, u64::from(h), self.clock(h)));
        self.still[h as usize] = false;
    }

    fn turn(&mut self, h: u32) {
        let now = self.clock(h);
        let Some(f) = self.hosts[h as usize].as_mut().filter(|_| !self.still[h as usize]) else { return };
        f.advance(now);
        self.flying.extend(f.outputs().map(|o| (h, o.to.0, o.message)));
    }

    fn comes(&mut self, place: usize, stays: bool) {
        let (from, to, message) = self.flying[place].clone();
        if !stays {
            self.flying.remove(place);
        }
        let now = self.clock(to);
        if let Some(f) = self.hosts[to as usize].as_mut().filter(|_| !self.still[to as usize]) {
            f.handle(now, Event::Message { link: HostId(from), message });
            self.turn(to);
        }
    }

    /// Everything comes at once, for so long: how a point is reached from which to look on.
    fn calm(&mut self, span: i64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 20_000;
            (0..3).for_each(|h| self.turn(h));
            while !self.flying.is_empty() {
                self.comes(0, false);
            }
        }
    }

    fn asks(&mut self, h: u32, units: f64) {
        let now = self.clock(h);
        if let Some(f) = &mut self.hosts[h as usize] {
            f.handle(now, Event::Asked { budget: BUDGET, units });
        }
    }

    fn steps(&self) -> Vec<Step> {
        // Of many in flight the oldest few: the others are as good as not sent yet.
        let flying = 0..self.flying.len().min(4);
        let mut all: Vec<Step> = flying.clone().map(Step::Comes).collect();
        all.extend([LEASE / 8, LEASE / 2, LEASE * 11 / 10].map(Step::Passes));
        if self.faults < 2 {
            all.extend(flying.clone().map(Step::Lost).chain(flying.map(Step::Twice)));
            for h in 0..3 {
                match (&self.hosts[h as usize], self.still[h as usize]) {
                    (None, _) => all.push(Step::Starts(h)),
                    (Some(_), false) => all.extend([Step::Dies(h), Step::Still(h)]),
                    _ => {}
                }
            }
        }
        let still = (0..3).filter(|h| self.still[*h as usize]);
        all.extend(still.map(Step::GoesOn));
        all
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Comes(place) => return self.comes(place, false),
            Step::Passes(span) => {
                self.now += span;
                return (0..3).for_each(|h| self.turn(h));
            }
            Step::GoesOn(h) => {
                self.still[h as usize] = false;
                return self.turn(h);
            }
            Step::Lost(place) => _ = self.flying.remove(place),
            Step::Twice(place) => self.comes(place, true),
            Step::Dies(h) => self.hosts[h as usize] = None,
            Step::Starts(h) => {
                self.start(h);
                self.turn(h);
            }
            Step::Still(h) => self.still[h as usize] = true,
        }
        self.faults += 1;
    }

    /// What must hold now; what is broken.
    fn broken(&self) -> Option<String> {
        let runs = (0..3).filter(|h| !self.still[*h as usize]);
        let runs: Vec<_> = runs.filter_map(|h| Some((h, self.hosts[h as usize].as_ref()?))).collect();
        let shares: Vec<_> = runs.iter().map(|(h, f)| (*h, f.share_at(BUDGET, self.clock(*h)))).collect();
        let deciding = runs.iter().filter(|(h, f)| f.decides(self.clock(*h))).count();
        let sum: u32 = shares.iter().map(|s| s.1).sum();
        (sum > WHOLE || deciding > 1).then(|| format!("{shares:?} in use, {deciding} decide"))
    }

    fn print(&self) -> u64 {
        let mut h = DefaultHasher::new();
        format!("{:?}{:?}{:?}{}", self.hosts, self.flying, self.still, self.now).hash(&mut h);
        h.finish()
    }
}

fn look(s: &State, depth: u32, seen: &mut HashSet<(u64, u32)>, path: &mut Vec<Step>) {
    if depth == 0 || !seen.insert((s.print(), depth)) {
        return;
    }
    for step in s.steps() {
        let mut next = s.clone();
        next.take(step);
        path.push(step);
        if let Some(what) = next.broken() {
            panic!("{what} after {path:?}");
        }
        look(&next, depth - 1, seen, path);
        path.pop();
    }
}

#[test]
fn no_order_of_events_breaks_the_promises() {
    let depth = std::env::var("FLEET_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(5);
    let mut newborn = State::new();
    newborn.calm(LEASE - 20_000);
    newborn.now += LEASE / 4;
    // All have their parts, and what is asked moves from one host to another.
    let mut moving = State::new();
    moving.asks(0, 100.0);
    moving.calm(6 * LEASE);
    moving.asks(2, 1000.0);
    (0..3).for_each(|h| moving.turn(h));
    let mut dead = moving.clone();
    let decides =
        (0..3).find(|h| dead.hosts[*h as usize].as_ref().is_some_and(|f| f.decides(dead.clock(*h))));
    let decides = decides.expect("somebody decides by now");
    dead.hosts[decides as usize] = None;
    dead.now += LEASE * 9 / 10;
    // One that decided stands still, and goes on when its lease is just over.
    let mut still = moving.clone();
    still.still[decides as usize] = true;
    still.now += LEASE;
    let mut states = 0;
    for s in [newborn, moving, dead, still] {
        let mut seen = HashSet::new();
        look(&s, depth, &mut seen, &mut Vec::new());
        states += seen.len();
    }
    assert!(states > 1000, "{states}");
    println!("{states} states, {depth} steps deep");
}
