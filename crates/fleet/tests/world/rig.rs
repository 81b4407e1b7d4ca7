//! A whole fleet in simulated time: hosts with clocks of their own, messages that are late, lost, twice or out of order, cuts one
//! way and both, hosts that stand still, die, come back and leave. After each event the promises are looked at. A
//! failure names its seed, and `FLEET_SEEDS=from..to` plays others; `FLEET_HOSTS` more hosts.

use gullsail_fleet::fleet::Answer;
use gullsail_fleet::maintenance::coordinator::CommandKind;
use gullsail_fleet::maintenance::{
    MaintenanceConfig, ServerId, ServerObservation, ServerRole as Kind, Servers, Stage,
};
use gullsail_fleet::{Budget, Event, Fleet, FleetConfig, WHOLE};
use gullsail_protocol::{FleetCommand, FleetMessage};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

pub const LEASE: i64 = 1_000_000;
pub const DRIFT: f64 = 0.005;
pub const SECOND: i64 = 1_000_000;

fn terms(hosts: u32, least: u32, drift: f64) -> FleetConfig {
    let budget = |through: Vec<u32>, least| {
        let floor = WHOLE * 3 / 10 / through.len() as u32;
        let through = through.into_iter().map(HostId).collect();
        Budget { through, floor, stragglers: BTreeMap::new(), least }
    };
    let some = (0..hosts).filter(|h| h % 2 == 0).collect();
    let budgets = [(VolumeId(1), budget((0..hosts).collect(), least)), (VolumeId(2), budget(some, 1000))];
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

/// Two for each shard, each as able as the others; numbers from this on.
pub const NODES: u64 = 6;
pub const FIRST: u64 = 10_000;

enum What {
    Message { to: u32, link: u32, message: FleetMessage },
    Wake { host: u32 },
    Fault,
}

pub struct Host {
    pub fleet: Option<Fleet>,
    /// Its clock against the true one.
    ahead: i64,
    rate: f64,
    still_until: i64,
    /// When it is to be called; earlier plans are void.
    wake: i64,
    /// What it was sent while it stood still.
    waiting: Vec<(u32, FleetMessage)>,
    asks: f64,
    incarnations: u64,
    /// With its incarnation: an epoch only grows within one.
    epoch: (u64, u64),
    /// When it may have sent to each node last.
    used: Vec<i64>,
}

pub struct World {
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub now: i64,
    pub terms: Arc<FleetConfig>,
    pub hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    what: BTreeMap<u64, What>,
    last: u64,
    /// From, to, until.
    cuts: Vec<(u32, u32, i64)>,
    pub lossy: f64,
    /// What is looked at: messages, elections, the nearest that parts came to the whole.
    pub messages: Vec<u64>,
    pub nearest: u64,
    pub coordinators: BTreeMap<u32, u64>,
    /// Nodes: the process that runs, and whether it does.
    pub nodes: Vec<(u64, bool)>,
    /// For how long each has run, as hosts see it.
    pub up: Span,
    /// What hosts were told of orders: by machine and number, the furthest stage.
    pub told: BTreeMap<(ServerId, u64), Stage>,
    pub anew: BTreeSet<u64>,
    lineage: u64,
    pub answers: Vec<Answer>,
    last_command: u64,
}

impl World {
    pub fn new(hosts: u32, seed: u64, least: u32) -> World {
        World::uneven(hosts, seed, least, DRIFT, None)
    }

    /// With clocks that run apart by up to twice this part.
    pub fn uneven(
        hosts: u32,
        seed: u64,
        least: u32,
        drift: f64,
        maintenance: Option<MaintenanceConfig>,
    ) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let terms = Arc::new(FleetConfig { maintenance, ..terms(hosts, least, drift) });
        let all = (0..hosts).map(|_| Host {
            fleet: None,
            ahead: rng.random_range(0..100 * SECOND),
            rate: 1.0 + rng.random_range(-drift..drift),
            still_until: 0,
            wake: 0,
            waiting: Vec::new(),
            asks: 0.0,
            incarnations: 0,
            epoch: (0, 0),
            used: vec![i64::MIN / 2; NODES as usize],
        });
        let hosts: Vec<Host> = all.collect();
        let hosts_count = hosts.len();
        let mut w = World {
            seed,
            rng,
            now: 0,
            terms,
            hosts,
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            last: 0,
            cuts: Vec::new(),
            lossy: 0.0,
            messages: vec![0; hosts_count],
            nearest: 0,
            coordinators: BTreeMap::new(),
            nodes: (0..NODES).map(|n| (n + 1, true)).collect(),
            up: Span::ZERO,
            told: BTreeMap::new(),
            anew: BTreeSet::new(),
            lineage: 0,
            answers: Vec::new(),
            last_command: 0,
        };
        for h in 0..w.hosts.len() as u32 {
            w.start(h);
        }
        w
    }

    pub fn clock(&self, host: u32, at: i64) -> Instant {
        let h = &self.hosts[host as usize];
        Instant::from_micros(h.ahead + (at as f64 * h.rate) as i64)
    }

    fn at(&mut self, at: i64, what: What) {
        self.last += 1;
        self.queue.push(Reverse((at.max(self.now), self.last)));
        self.what.insert(self.last, what);
    }

    pub fn start(&mut self, host: u32) {
        let now = self.clock(host, self.now);
        let h = &mut self.hosts[host as usize];
        h.incarnations += 1;
        h.still_until = 0;
        h.waiting.clear();
        let incarnation = (u64::from(host) + 1) << 32 | h.incarnations;
        h.fleet = Some(Fleet::new(self.terms.clone(), HostId(host), incarnation, self.seed, now));
        self.turn(host);
    }

    pub fn kill(&mut self, host: u32) {
        self.hosts[host as usize].fleet = None;
    }

    pub fn cut(&mut self, from: u32, to: u32, span: i64) {
        self.cuts.push((from, to, self.now + span));
    }

    /// Carries out what a host wants, and has it called again.
    fn turn(&mut self, host: u32) {
        let now = self.clock(host, self.now);
        let Some(fleet) = &mut self.hosts[host as usize].fleet else { return };
        fleet.advance(now);
        if fleet.goes() {
            // All that it took is answered at once.
            fleet.handle(now, Event::Leave);
        }
        if fleet.gone() {
            return self.kill(host);
        }
        if self.terms.maintenance.is_some() {
            self.sees(host, now);
        }
        let Some(fleet) = &mut self.hosts[host as usize].fleet else { return };
        let outputs: Vec<_> = fleet.outputs().collect();
        let next = fleet.next();
        let wait = ((next - now).micros().max(200) as f64 / self.hosts[host as usize].rate) as i64;
        self.wake_at(host, self.now + wait);
        for output in outputs {
            self.messages[host as usize] += 1;
            let (to, message) = (output.to.0, output.message);
            self.cuts.retain(|c| c.2 > self.now);
            if self.cuts.iter().any(|c| (c.0, c.1) == (host, to)) || self.rng.random_bool(self.lossy) {
                continue;
            }
            for _ in 0..if self.lossy > 0.0 && self.rng.random_bool(0.05) { 2 } else { 1 } {
                // Mostly fast; some a good part of a lease, so that messages overtake each other.
                let slow = self.lossy > 0.0 && self.rng.random_bool(0.03);
                let way = self.rng.random_range(100..if slow { 2 * LEASE } else { 3000 });
                self.at(self.now + way, What::Message { to, link: host, message: message.clone() });
            }
        }
    }

    /// What a host knows of machines and let go of; what it was told of orders.
    fn sees(&mut self, host: u32, now: Instant) {
        let at = self.now;
        let h = &mut self.hosts[host as usize];
        let Some(fleet) = &mut h.fleet else { return };
        let mut servers = Servers::new();
        let mut let_go = BTreeSet::new();
        for (place, (incarnation, well)) in self.nodes.iter().enumerate() {
            let id = ServerId(FIRST + place as u64);
            if fleet.may_use(id, now) {
                h.used[place] = at;
            } else if at - h.used[place] > 30_000 {
                // Attempts that were out have ended by then.
                let_go.insert(id);
            }
            let what = Kind::Node { shard: place as i64 / 2, pool: 0, can: 100.0 };
            servers.insert(
                id,
                ServerObservation {
                    what,
                    zone: place as u32 % 2,
                    well: *well,
                    incarnation: *incarnation,
                    up: self.up,
                },
            );
        }
        for other in 0..self.terms.hosts {
            let seen = ServerObservation {
                what: Kind::Host(other),
                zone: other % 2,
                well: true,
                incarnation: 0,
                up: Span::ZERO,
            };
            servers.insert(ServerId(u64::from(other) + 1), seen);
        }
        fleet.handle(now, Event::Sees { servers, let_go });
        self.answers.extend(fleet.answers());
        let Some(line) = fleet.line() else { return };
        // What most hosts forgot is lost, as is said with the line that begins then; who still knows it counts no more.
        if line.anew != 0 && self.anew.insert(line.anew) {
            (self.told, self.lineage) = (BTreeMap::new(), line.anew);
        }
        if line.anew != self.lineage {
            return;
        }
        for o in &line.orders {
            let told = self.told.entry((o.server, o.number)).or_insert(o.stage);
            *told = o.stage.max(*told);
            // A newer order is given only once the one before it is over.
            let before = self.told.range_mut((o.server, 0)..(o.server, o.number));
            before.filter(|(_, s)| s.open()).for_each(|(_, s)| *s = Stage::Done);
        }
    }

    /// An operator's word, through a host.
    pub fn command(&mut self, host: u32, kind: CommandKind, servers: &[ServerId], more: FleetCommand) -> u64 {
        self.last_command += 1;
        let (number, now) = (self.last_command, self.clock(host, self.now));
        let servers = servers.iter().map(|m| m.0).collect();
        let command = FleetCommand { kind: kind as u32, servers, ..more };
        if let Some(f) = &mut self.hosts[host as usize].fleet {
            f.handle(now, Event::OperatorCommand { number, command });
        }
        self.turn(host);
        number
    }

    /// Nothing is sent to what is out, and no more machines are away than may be. Of hosts that were told so, whenever.
    fn look_at_maintenance(&self, running: &[u32]) {
        let Some(maintenance) = &self.terms.maintenance else { return };
        let out = |s: &&Stage| matches!(s, Stage::Offline | Stage::Overdue | Stage::Returning);
        let away = self.told.values().filter(out).count();
        assert!(
            away <= maintenance.at_once as usize,
            "seed {}, at {}: {away} away: {:?}",
            self.seed,
            self.now,
            self.told
        );
        let barred = |s: &Stage| matches!(s, Stage::Offline | Stage::Overdue);
        for ((server, _), _) in self.told.iter().filter(|(_, s)| barred(s)) {
            let uses = |h: &&u32| {
                let fleet = self.hosts[**h as usize].fleet.as_ref();
                fleet.is_some_and(|f| f.may_use(*server, self.clock(**h, self.now)))
            };
            let using: Vec<_> = running.iter().filter(uses).collect();
            let node = server.0 >= FIRST;
            assert!(
                !node || using.is_empty(),
                "seed {}, at {}: {using:?} send to {server:?}",
                self.seed,
                self.now
            );
            let runs = !node
                && self.hosts[server.0 as usize - 1].fleet.as_ref().is_some_and(|f| f.share(VolumeId(1)) > 0);
            // It may have started anew, and not know yet.
            let old = runs && self.hosts[server.0 as usize - 1].fleet.as_ref().is_some_and(|f| f.goes());
            assert!(
                !old,
                "seed {}, at {}: host {server:?} is out and uses what it held",
                self.seed, self.now
            );
        }
    }

    fn wake_at(&mut self, host: u32, at: i64) {
        self.hosts[host as usize].wake = at;
        self.at(at, What::Wake { host });
    }

    pub fn run(&mut self, span: i64) {
        let end = self.now + span;
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse(q)| q.0 <= end) {
            self.queue.pop();
            self.now = at;
            let Some(what) = self.what.remove(&id) else { continue };
            match what {
                What::Wake { host } if self.hosts[host as usize].wake > at => continue,
                What::Wake { host } => self.wake(host),
                What::Message { to, link, message } => {
                    let h = &mut self.hosts[to as usize];
                    if h.fleet.is_none() {
                        continue;
                    }
                    if h.still_until > at {
                        h.waiting.push((link, message));
                        continue;
                    }
                    self.hear(to, link, message);
                }
                What::Fault => self.fault(),
            }
            self.look();
        }
        self.now = end;
    }

    fn hear(&mut self, to: u32, link: u32, message: FleetMessage) {
        let now = self.clock(to, self.now);
        if let Some(f) = &mut self.hosts[to as usize].fleet {
            f.handle(now, Event::Message { link: HostId(link), message });
        }
        self.turn(to);
    }

    fn wake(&mut self, host: u32) {
        let (h, now) = (&mut self.hosts[host as usize], self.now);
        if h.fleet.is_none() {
            return;
        }
        if h.still_until > now {
            let until = h.still_until;
            return self.wake_at(host, until);
        }
        let asks = h.asks;
        let waiting = std::mem::take(&mut h.waiting);
        let clock = self.clock(host, now);
        if let Some(f) = &mut self.hosts[host as usize].fleet {
            for budget in self.terms.budgets.keys().filter(|_| asks > 0.0) {
                f.handle(clock, Event::Asked { budget: *budget, units: asks });
            }
        }
        for (link, message) in waiting {
            self.hear(host, link, message);
        }
        self.turn(host);
    }

    /// With so many nodes, two for each shard.
    pub fn with_nodes(mut self, nodes: u64) -> World {
        self.nodes = (0..nodes).map(|n| (n + 1, true)).collect();
        self.hosts.iter_mut().for_each(|h| h.used = vec![i64::MIN / 2; nodes as usize]);
        self
    }

    pub fn cut_both(&mut self, a: u32, b: u32, span: i64) {
        self.cut(a, b, span);
        self.cut(b, a, span);
    }

    pub fn leave(&mut self, host: u32) {
        let now = self.clock(host, self.now);
        if let Some(f) = self.hosts[host as usize].fleet.as_mut() {
            f.handle(now, Event::Leave);
        }
        self.turn(host);
    }

    pub fn asks(&mut self, host: u32, units: f64) {
        self.hosts[host as usize].asks = units;
    }

    pub fn stand_still(&mut self, host: u32, span: i64) {
        let until = self.now + span;
        self.hosts[host as usize].still_until = until;
        self.wake_at(host, until);
    }

    /// From now on something goes wrong each so often, until then.
    pub fn faults(&mut self, until: i64, lossy: f64) {
        self.lossy = lossy;
        let mut at = self.now + SECOND;
        while at < until {
            self.at(at, What::Fault);
            at += self.rng.random_range(20_000..1_500_000);
        }
    }

    fn fault(&mut self) {
        let n = self.hosts.len() as u32;
        let host = self.rng.random_range(0..n);
        let long = self.rng.random_range(1000..4 * LEASE);
        match self.rng.random_range(0..9) {
            0 | 1 => self.kill(host),
            2 | 3 => {
                // Those that are dead come back.
                let dead = (0..n).filter(|h| self.hosts[*h as usize].fleet.is_none()).collect::<Vec<_>>();
                for h in dead {
                    self.start(h);
                }
            }
            4 => self.stand_still(host, long),
            5 => {
                for other in (0..n).filter(|o| *o != host) {
                    self.cut(host, other, long);
                }
            }
            6 => {
                // Groups by chance, one way or both.
                let side: Vec<bool> = (0..n).map(|_| self.rng.random_bool(0.5)).collect();
                let both = self.rng.random_bool(0.5);
                for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))) {
                    if side[a as usize] != side[b as usize] && (both || side[a as usize]) {
                        self.cut(a, b, long);
                    }
                }
            }
            7 => {
                let now = self.clock(host, self.now);
                let h = &mut self.hosts[host as usize];
                if let Some(f) = h.fleet.as_mut().filter(|_| h.still_until <= self.now) {
                    f.handle(now, Event::Leave);
                }
                self.turn(host);
            }
            _ => {
                let asks = if self.rng.random_bool(0.3) { 0.0 } else { self.rng.random_range(0.0..50.0) };
                self.asks(host, asks);
            }
        }
    }

    /// The promises, at this moment, of all that run and do not stand still.
    fn look(&mut self) {
        let runs = |h: &&u32| {
            let host = &self.hosts[**h as usize];
            host.fleet.is_some() && host.still_until <= self.now
        };
        let all: Vec<u32> = (0..self.hosts.len() as u32).collect();
        let running: Vec<u32> = all.iter().filter(runs).copied().collect();
        for budget in self.terms.budgets.keys() {
            let share = |h: &u32| {
                let fleet = self.hosts[*h as usize].fleet.as_ref()?;
                Some((*h, fleet.share_at(*budget, self.clock(*h, self.now))))
            };
            let shares: Vec<_> = running.iter().filter_map(share).collect();
            let sum: u64 = shares.iter().map(|s| u64::from(s.1)).sum();
            self.nearest = self.nearest.max(sum);
            assert!(
                sum <= u64::from(WHOLE),
                "seed {}, at {}: {budget:?} {sum} in use: {shares:?}",
                self.seed,
                self.now
            );
        }
        self.look_at_maintenance(&running);
        let decides = |h: &&u32| {
            let fleet = self.hosts[**h as usize].fleet.as_ref();
            fleet.is_some_and(|f| f.decides(self.clock(**h, self.now)))
        };
        let deciding: Vec<u32> = running.iter().filter(decides).copied().collect();
        assert!(deciding.len() <= 1, "seed {}, at {}: {deciding:?} decide", self.seed, self.now);
        for h in deciding {
            *self.coordinators.entry(h).or_default() += 1;
        }
        for host in &mut self.hosts {
            let Some(fleet) = &host.fleet else { continue };
            let before = std::mem::replace(&mut host.epoch, (host.incarnations, fleet.epoch()));
            assert!(
                before <= host.epoch,
                "seed {}: epoch and life {:?} after {before:?}",
                self.seed,
                host.epoch
            );
        }
    }

    /// What is in use of a budget, by those that run.
    pub fn in_use(&self, budget: u64) -> u64 {
        let share = |h: u32| {
            let fleet = self.hosts[h as usize].fleet.as_ref()?;
            Some(u64::from(fleet.share_at(VolumeId(budget), self.clock(h, self.now))))
        };
        (0..self.hosts.len() as u32).filter_map(share).sum()
    }

    pub fn share(&self, host: u32, budget: u64) -> u32 {
        let fleet = self.hosts[host as usize].fleet.as_ref();
        fleet.map_or(0, |f| f.share_at(VolumeId(budget), self.clock(host, self.now)))
    }

    pub fn heal(&mut self) {
        (self.lossy, self.cuts) = (0.0, Vec::new());
        for h in 0..self.hosts.len() as u32 {
            self.hosts[h as usize].still_until = 0;
            if self.hosts[h as usize].fleet.is_none() {
                self.start(h);
            }
            self.wake_at(h, self.now);
        }
    }
}
