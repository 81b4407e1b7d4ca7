//! Rule 7: all hosts together stay within the limit of a volume, whatever happens to demand reports and hosts.

use crate::common::*;
use gullsail::api::{
    Action, AttemptOutcome, Event, HostId, Instant, Limit, PlanId, Request, RequestId,
    SchedulerConfig, ShardId, VolumeAllocation, VolumeId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Faults of demand reports and hosts, and the load of the hosts, in a simulation of one volume.
#[derive(Clone, Copy)]
struct Faults {
    name: &'static str,
    /// The chance that a demand report is lost.
    lost: f64,
    /// The chance that a demand report is delivered a second time.
    repeated: f64,
    /// The longest delay of a demand report, in ms.
    max_delay: i64,
    /// The mean lifetime of a host, in ms; 0: hosts are not killed.
    lifetime: i64,
    /// The longest time that a killed host is down, in ms.
    down: i64,
    /// Time in ms after which another host becomes the busy one.
    busy_period: i64,
    /// The chance that a request arrives at each other host in a ms.
    other_hosts_chance: f64,
}

const CALM: Faults = Faults {
    name: "calm",
    lost: 0.0,
    repeated: 0.0,
    max_delay: 5,
    lifetime: 0,
    down: 0,
    busy_period: 4000,
    other_hosts_chance: 0.01,
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
        max_delay: 900,
        ..CALM
    },
    Faults {
        name: "repeated",
        repeated: 1.0,
        max_delay: 400,
        ..CALM
    },
    Faults {
        name: "killed",
        lifetime: 3000,
        down: 2000,
        other_hosts_chance: 0.001,
        ..CALM
    },
    Faults {
        name: "killed and back at once",
        lifetime: 800,
        ..CALM
    },
    Faults {
        name: "the busy host changes fast",
        max_delay: 60,
        busy_period: 300,
        other_hosts_chance: 0.0005,
        ..CALM
    },
    Faults {
        name: "all",
        lost: 0.2,
        repeated: 0.3,
        max_delay: 150,
        lifetime: 1500,
        down: 500,
        busy_period: 700,
        ..CALM
    },
];

/// A demand report in transit.
pub struct Report {
    pub arrives_at: Instant,
    pub to: usize,
    pub from: HostId,
    pub bytes: Vec<u8>,
}

/// The result of one simulation.
struct SimulationResult {
    /// The lowest number of tokens in the volume's bucket over all hosts.
    lowest_tokens: f64,
    /// Units sent a second.
    rate: f64,
}

/// The hosts of one volume, whose clients request far more than its limit.
struct VolumeWorld {
    faults: Faults,
    config: SchedulerConfig,
    limit: Limit,
    rng: ChaCha8Rng,
    hosts: Vec<Option<Host>>,
    /// When each killed host starts again.
    returns_at: Vec<Instant>,
    mail: Vec<Report>,
    /// Tokens of the volume's bucket over all hosts, which rule 7 keeps from becoming negative.
    tokens: f64,
    lowest_tokens: f64,
    sent_units: f64,
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
            tokens: limit.burst,
            lowest_tokens: limit.burst,
            sent_units: 0.0,
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
            host_id: HostId(me),
            ..self.config.clone()
        };
        Host::new(config, (0..3).map(|n| node(n, n as i64)).collect(), now)
    }

    /// Simulates one millisecond.
    fn tick(&mut self, now: Instant) {
        self.tokens = (self.tokens + self.limit.rate / 1000.0).min(self.limit.burst);
        let turn = now.micros() / 1000 / self.faults.busy_period;
        let busy_host = (turn % self.hosts.len() as i64) as usize;
        let due: Vec<Report> = self
            .mail
            .extract_if(.., |report| report.arrives_at <= now)
            .collect();
        for me in 0..self.hosts.len() {
            self.kill_or_start(me, now);
            let Some(mut host) = self.hosts[me].take() else {
                continue;
            };
            let before = host.actions.len();
            host.advance(now - host.now);
            for report in due.iter().filter(|report| report.to == me) {
                host.deliver(Event::PeerMessage {
                    from: report.from,
                    bytes: report.bytes.clone(),
                });
            }
            let chance = if me == busy_host {
                0.1
            } else {
                self.faults.other_hosts_chance
            };
            if self.rng.random_bool(chance) {
                let request = self.request();
                host.deliver(Event::RequestArrived(request));
            }
            for (_, action) in host.actions.split_off(before) {
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
                self.tokens -= 4.0;
                self.sent_units += 4.0;
                self.lowest_tokens = f64::min(self.lowest_tokens, self.tokens);
                host.end_attempt(id.0, 0, node.0, AttemptOutcome::Succeeded, 1);
            }
            Action::SendToPeer { to, bytes } => {
                assert!(bytes.len() <= 256);
                for chance in [1.0 - self.faults.lost, self.faults.repeated] {
                    if self.rng.random_bool(chance) {
                        let delay = ms(self.rng.random_range(1..=self.faults.max_delay));
                        self.mail.push(Report {
                            arrives_at: now + delay,
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

/// Simulates `count` hosts for 20 s.
fn simulate(count: u32, faults: Faults, seed: u64) -> SimulationResult {
    let mut world = VolumeWorld::new(count, faults, seed);
    for now in (1..20_000).map(at) {
        world.tick(now);
    }
    SimulationResult {
        lowest_tokens: world.lowest_tokens,
        rate: world.sent_units / 20.0,
    }
}

/// Under each fault, the hosts together never send more than the limit of the volume allows, but still a part
/// of it.
#[test]
fn hosts_together_never_exceed_the_volume_limit() {
    for faults in FAULTS {
        for (hosts, seeds, min_rate) in [(3, 0..4, 8.0), (24, 4..5, 4.0)] {
            for seed in seeds {
                let SimulationResult {
                    lowest_tokens,
                    rate,
                } = simulate(hosts, faults, seed);
                let case = format!("{} with {hosts} hosts", faults.name);
                assert!(
                    lowest_tokens >= -1e-6,
                    "{case}: bucket at {lowest_tokens} tokens"
                );
                // A host that sends almost nothing would pass the check above.
                assert!(rate > min_rate, "{case}: {rate} units a second of 40");
            }
        }
    }
}

/// Loans from idle hosts let the busy host use most of the limit. With lost reports, which stop loans, the rate
/// is lower.
#[test]
fn loans_raise_the_rate_of_the_busy_host() {
    for (hosts, other_hosts_chance, min_rate) in [(3, 0.0005, 30.0), (24, 0.0002, 20.0)] {
        let rate = |lost| {
            let faults = Faults {
                lost,
                busy_period: 30_000,
                other_hosts_chance,
                ..CALM
            };
            simulate(hosts, faults, 1).rate
        };
        let with_loans = rate(0.0);
        let without_loans = rate(1.0);
        assert!(
            with_loans > without_loans * 1.5 && with_loans > min_rate,
            "{hosts} hosts: {with_loans} units a second with loans, {without_loans} without"
        );
    }
}

/// The bucket of a host that has just started is empty and refills with the host's even share. A volume without
/// a limit is not held back.
#[test]
fn bucket_of_a_host_that_has_just_started_is_empty() {
    // Plan; hosts of the volume; units sent at once and within 250 ms.
    for (plan, hosts, at_once, later) in [(0, 2, 4, 12), (1, 1, 0, 10), (1, 2, 0, 5)] {
        let mut host = Host::new(config(), vec![node(1, 0)], at(1000));
        let arrival = Request {
            plan: PlanId(plan),
            volume_hosts: hosts,
            ..request(0, 0)
        };
        (1..=12).for_each(|id| {
            drop(host.deliver(Event::RequestArrived(Request {
                id: RequestId(id),
                ..arrival.clone()
            })))
        });
        assert_eq!(host.sent_requests().len(), at_once);
        for _ in 0..250 {
            host.advance(ms(1));
            host.sent_requests()
                .into_iter()
                .for_each(|id| host.end_attempt(id, 0, 1, AttemptOutcome::Succeeded, 1));
        }
        assert_eq!(host.sent_requests().len(), later, "{plan} {hosts}");
    }
}

/// An allocation that changes while a volume is served applies at once. A smaller share also cuts the tokens in
/// the bucket; a larger one raises the refill from then on. A host that no longer serves the volume sheds its
/// waiting requests at once.
#[test]
fn changed_allocations_apply_at_once() {
    let share = |rate, burst| Some(Limit { rate, burst });
    // Number of hosts and allocated share, before and after; how many requests of 4 units are sent within 0.38
    // s after.
    let cases = [
        ((2, None), (2, None), 6),
        ((2, None), (4, None), 3),
        ((2, None), (2, share(8.0, 8.0)), 2),
        ((2, share(4.0, 8.0)), (2, None), 3),
        ((2, None), (0, share(0.0, 0.0)), 0),
        ((2, None), (1, None), 8),
    ];
    for (before, after, expected) in cases {
        let mut host = Host::new(config(), vec![node(1, 0)], at(0));
        host.deliver(allocation(before.0, before.1));
        host.advance(ms(4000));
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
            for id in host.sent_requests() {
                host.end_attempt(id, 0, 1, AttemptOutcome::Succeeded, 1);
            }
            host.advance(ms(1));
        }
        // The tokens in the bucket, cut to the new burst, plus those gained in that time.
        assert_eq!(host.sent_requests().len(), expected, "{before:?} {after:?}");
        assert_eq!(shed, usize::from(after.0 == 0), "{before:?} {after:?}");
    }
}

/// A configuration change that gives volume 7 this allocation.
fn allocation(hosts: u32, share: Option<Limit>) -> Event {
    Event::ConfigChanged {
        plans: config().plans,
        allocations: vec![VolumeAllocation {
            volume: VolumeId(7),
            plan: PlanId(1),
            host_count: hosts,
            host_limit: share,
        }],
        cross_zone_budgets: Vec::new(),
        fleet_membership: None,
    }
}
