//! Rule 7: what all hosts send for a volume stays within its bucket, whatever becomes of demand reports and
//! hosts.

use crate::common::*;
use gullsail::api::{
    Action, AttemptOutcome, Event, HostId, Instant, Limit, PlanId, Request, RequestId,
    SchedulerConfig, ShardId, VolumeAllocation, VolumeId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What befalls the hosts of one volume.
#[derive(Clone, Copy)]
struct Faults {
    name: &'static str,
    /// The chance that a demand report is lost.
    lost: f64,
    /// The chance that a demand report comes twice.
    repeated: f64,
    /// The longest way of a demand report, in ms.
    way: i64,
    /// The mean lifetime of a host, in ms; 0: hosts are not killed.
    lifetime: i64,
    /// The longest time that a killed host is down, in ms.
    down: i64,
    /// After how many ms another host is asked for most.
    lead: i64,
    /// The chance of each other host to be asked in a ms.
    others: f64,
}

const CALM: Faults = Faults {
    name: "calm",
    lost: 0.0,
    repeated: 0.0,
    way: 5,
    lifetime: 0,
    down: 0,
    lead: 4000,
    others: 0.01,
};

const FAULTS: [Faults; 9] = [
    CALM,
    Faults {
        name: "lost",
        lost: 0.5,
        ..CALM
    },
    Faults {
        name: "cut off",
        lost: 1.0,
        ..CALM
    },
    Faults {
        name: "late and out of order",
        way: 900,
        ..CALM
    },
    Faults {
        name: "repeated",
        repeated: 1.0,
        way: 400,
        ..CALM
    },
    Faults {
        name: "killed",
        lifetime: 3000,
        down: 2000,
        others: 0.001,
        ..CALM
    },
    Faults {
        name: "killed and back at once",
        lifetime: 800,
        ..CALM
    },
    Faults {
        name: "the lead moves fast",
        way: 60,
        lead: 300,
        others: 0.0005,
        ..CALM
    },
    Faults {
        name: "all",
        lost: 0.2,
        repeated: 0.3,
        way: 150,
        lifetime: 1500,
        down: 500,
        lead: 700,
        ..CALM
    },
];

/// A demand report on its way.
pub struct Report {
    pub arrives_at: Instant,
    pub to: usize,
    pub from: HostId,
    pub bytes: Vec<u8>,
}

/// What a play found.
struct Played {
    /// The lowest that the volume's bucket over all hosts went.
    low: f64,
    /// Units sent a second.
    rate: f64,
}

/// The hosts of one volume, whose clients ask for far more than its limit.
struct VolumeWorld {
    faults: Faults,
    config: SchedulerConfig,
    limit: Limit,
    rng: ChaCha8Rng,
    hosts: Vec<Option<Host>>,
    returns_at: Vec<Instant>,
    mail: Vec<Report>,
    /// The volume's bucket over all hosts, as rule 7 has it.
    store: f64,
    low: f64,
    sent: f64,
    last_id: u64,
}

impl VolumeWorld {
    fn new(count: u32, faults: Faults, seed: u64) -> VolumeWorld {
        let limit = Limit {
            rate: 40.0,
            burst: 14.0 * f64::from(count),
        };
        let mut config = config();
        config.host_count = count;
        config.plans[1].limit = Some(limit);
        let mut world = VolumeWorld {
            faults,
            config,
            limit,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            returns_at: vec![at(0); count as usize],
            mail: Vec::new(),
            store: limit.burst,
            low: limit.burst,
            sent: 0.0,
            last_id: 0,
        };
        for me in 0..count {
            let host = world.start_host(me, at(0));
            world.hosts.push(Some(host));
        }
        world
    }

    fn start_host(&self, me: u32, now: Instant) -> Host {
        let config = SchedulerConfig {
            me: HostId(me),
            ..self.config.clone()
        };
        Host::new(config, (0..3).map(|n| node(n, n as i64)).collect(), now)
    }

    /// One millisecond.
    fn tick(&mut self, now: Instant) {
        self.store = (self.store + self.limit.rate / 1000.0).min(self.limit.burst);
        let turn = now.micros() / 1000 / self.faults.lead;
        let lead = (turn % self.hosts.len() as i64) as usize;
        let due: Vec<Report> = self
            .mail
            .extract_if(.., |report| report.arrives_at <= now)
            .collect();
        for me in 0..self.hosts.len() {
            self.kill_or_start(me, now);
            let Some(mut host) = self.hosts[me].take() else {
                continue;
            };
            let before = host.asked.len();
            host.pass(now - host.now);
            for report in due.iter().filter(|report| report.to == me) {
                host.deliver(Event::PeerMessage {
                    from: report.from,
                    bytes: report.bytes.clone(),
                });
            }
            let chance = if me == lead { 0.1 } else { self.faults.others };
            if self.rng.random_bool(chance) {
                let request = self.request();
                host.deliver(Event::RequestArrived(request));
            }
            for (_, action) in host.asked.split_off(before) {
                self.carry_out(me, &mut host, now, action);
            }
            self.hosts[me] = Some(host);
        }
    }

    fn kill_or_start(&mut self, me: usize, now: Instant) {
        let Faults { lifetime, down, .. } = self.faults;
        let running = self.hosts[me].is_some();
        if running && lifetime > 0 && self.rng.random_range(0..lifetime) == 0 {
            self.hosts[me] = None;
            self.returns_at[me] = now + ms(self.rng.random_range(0..=down));
        }
        if self.hosts[me].is_none() && now >= self.returns_at[me] {
            self.hosts[me] = Some(self.start_host(me as u32, now));
        }
    }

    fn request(&mut self) -> Request {
        self.last_id += 1;
        Request {
            plan: PlanId(1),
            units: 4.0,
            shard: Some(ShardId(self.rng.random_range(0..3))),
            volume_hosts: self.hosts.len() as u32,
            ..request(self.last_id, 0)
        }
    }

    fn carry_out(&mut self, me: usize, host: &mut Host, now: Instant, action: Action) {
        match action {
            Action::StartAttempt { id, node, .. } => {
                self.store -= 4.0;
                self.sent += 4.0;
                self.low = f64::min(self.low, self.store);
                host.end(id.0, 0, node.0, AttemptOutcome::Succeeded, 1);
            }
            Action::SendToPeer { to, bytes } => {
                assert!(bytes.len() <= 256);
                for chance in [1.0 - self.faults.lost, self.faults.repeated] {
                    if self.rng.random_bool(chance) {
                        let way = ms(self.rng.random_range(1..=self.faults.way));
                        self.mail.push(Report {
                            arrives_at: now + way,
                            to: to.0 as usize,
                            from: HostId(me as u32),
                            bytes: bytes.clone(),
                        });
                    }
                }
            }
            _ => {}
        }
    }
}

/// Plays 20 s of some hosts.
fn play(count: u32, faults: Faults, seed: u64) -> Played {
    let mut world = VolumeWorld::new(count, faults, seed);
    for now in (1..20_000).map(at) {
        world.tick(now);
    }
    Played {
        low: world.low,
        rate: world.sent / 20.0,
    }
}

#[test]
fn shares_never_exceed_the_limit_in_sum() {
    for faults in FAULTS {
        for (hosts, seeds, least) in [(3, 0..4, 8.0), (24, 4..5, 4.0)] {
            for seed in seeds {
                let Played { low, rate } = play(hosts, faults, seed);
                let case = format!("{} with {hosts}", faults.name);
                assert!(low >= -1e-6, "{case}: store at {low}");
                // And not by sending next to nothing.
                assert!(rate > least, "{case}: {rate} units a second of 40");
            }
        }
    }
}

/// The tokens of quiet hosts reach the busy one, and most of the limit with them.
#[test]
fn loans_reach_the_busy_host() {
    for (hosts, others, least) in [(3, 0.0005, 30.0), (24, 0.0002, 20.0)] {
        let rate = |lost| {
            let faults = Faults {
                lost,
                lead: 30_000,
                others,
                ..CALM
            };
            play(hosts, faults, 1).rate
        };
        let with = rate(0.0);
        let without = rate(1.0);
        assert!(
            with > without * 1.5 && with > least,
            "{hosts}: {with} against {without}"
        );
    }
}

/// The bucket of a host that has just started is empty and fills by its even part; a volume without a limit
/// passes.
#[test]
fn a_host_that_has_just_started_has_an_empty_bucket() {
    // plan, hosts of the volume, units sent at once and within 250 ms
    for (plan, hosts, at_once, later) in [(0, 2, 4, 12), (1, 1, 0, 10), (1, 2, 0, 5)] {
        let mut host = Host::new(config(), vec![node(1, 0)], at(1000));
        let t = Request {
            plan: PlanId(plan),
            volume_hosts: hosts,
            ..request(0, 0)
        };
        (1..=12).for_each(|id| {
            drop(host.deliver(Event::RequestArrived(Request {
                id: RequestId(id),
                ..t.clone()
            })))
        });
        assert_eq!(host.order().len(), at_once);
        for _ in 0..250 {
            host.pass(ms(1));
            host.order()
                .into_iter()
                .for_each(|id| host.end(id, 0, 1, AttemptOutcome::Succeeded, 1));
        }
        assert_eq!(host.order().len(), later, "{plan} {hosts}");
    }
}

/// Allocations that change while a volume is served: a smaller part holds at once, also for tokens already
/// there; a larger one fills from then on. Who no longer serves a volume sheds what waits, at once.
#[test]
fn allocations_change_while_serving() {
    let part = |rate, burst| Some(Limit { rate, burst });
    // hosts and part before and after; how many of 4 units go within 0.38 s after
    let cases = [
        ((2, None), (2, None), 6),
        ((2, None), (4, None), 3),
        ((2, None), (2, part(8.0, 8.0)), 2),
        ((2, part(4.0, 8.0)), (2, None), 3),
        ((2, None), (0, part(0.0, 0.0)), 0),
        ((2, None), (1, None), 8),
    ];
    for (before, after, expected) in cases {
        let mut host = Host::new(config(), vec![node(1, 0)], at(0));
        host.deliver(allocation(before.0, before.1));
        host.pass(ms(4000));
        host.deliver(allocation(after.0, after.1));
        for id in 1..=30 {
            host.deliver(Event::RequestArrived(Request {
                plan: PlanId(1),
                units: 4.0,
                volume_hosts: after.0.max(1),
                ..request(id, 0)
            }));
        }
        if after.0 == 0 {
            host.deliver(allocation(after.0, after.1));
        }
        let shed = host.answers(1).len();
        for _ in 0..380 {
            for id in host.order() {
                host.end(id, 0, 1, AttemptOutcome::Succeeded, 1);
            }
            host.pass(ms(1));
        }
        // What the bucket held, cut to its new size, and what it gains in that time.
        assert_eq!(host.order().len(), expected, "{before:?} {after:?}");
        assert_eq!(shed, usize::from(after.0 == 0), "{before:?} {after:?}");
    }
}

/// A configuration change that gives volume 7 this allocation.
fn allocation(hosts: u32, part: Option<Limit>) -> Event {
    Event::ConfigChanged {
        plans: config().plans,
        allocations: vec![VolumeAllocation {
            volume: VolumeId(7),
            plan: PlanId(1),
            host_count: hosts,
            host_limit: part,
        }],
        cross_zone_budgets: Vec::new(),
        fleet_membership: None,
    }
}
