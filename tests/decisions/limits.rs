//! Rule 7: what all hosts send for a volume stays within its bucket, whatever becomes of demand reports and
//! hosts.

use crate::common::*;
use gullsail::api::{
    Action, AttemptOutcome, BudgetScope, CrossZoneBudget, Endpoint, EndpointState, Event, HostId,
    Instant, Limit, OverrunCause, PlanId, Request, RequestId, SchedulerConfig, ShardId, UpdateKind,
    VolumeAllocation, VolumeId, ZoneId,
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

/// A demand report on its way.
struct Report {
    arrives_at: Instant,
    to: usize,
    from: HostId,
    bytes: Vec<u8>,
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
        config.hosts = count;
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
    let named = |name| Faults { name, ..CALM };
    let killed = |name, lifetime, down, others| Faults {
        lifetime,
        down,
        others,
        ..named(name)
    };
    let cases = [
        CALM,
        Faults {
            lost: 0.5,
            ..named("lost")
        },
        Faults {
            lost: 1.0,
            ..named("cut off")
        },
        Faults {
            way: 900,
            ..named("late and out of order")
        },
        Faults {
            repeated: 1.0,
            way: 400,
            ..named("repeated")
        },
        killed("killed", 3000, 2000, 0.001),
        killed("killed and back at once", 800, 0, 0.01),
        Faults {
            way: 60,
            lead: 300,
            others: 0.0005,
            ..named("the lead moves fast")
        },
        Faults {
            lost: 0.2,
            repeated: 0.3,
            way: 150,
            lead: 700,
            ..killed("all", 1500, 500, 0.01)
        },
    ];
    for faults in cases {
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
            hosts,
            part,
        }],
        cross_zone_budgets: Vec::new(),
        fleet_membership: None,
    }
}

/// Two zones with a budget each way for two hosts; nodes 1 and 2 here, 3 there; 1,000 bytes a request.
fn zoned(hard: bool, limit: Limit) -> SchedulerConfig {
    let budget = |id, from, to| CrossZoneBudget {
        id: VolumeId(id),
        of: BudgetScope::ZonePair(ZoneId(from), ZoneId(to)),
        limit,
        hard,
        hosts: 2,
    };
    let cross_zone_budgets = vec![budget(901, 0, 1), budget(902, 1, 0)];
    SchedulerConfig {
        zone: Some(ZoneId(0)),
        cross_zone_budgets,
        max_bytes: 1000.0,
        ..config()
    }
}

fn overruns(host: &Host) -> Vec<(u64, f64, OverrunCause)> {
    let overruns = |a: &(Instant, Action)| match a.1 {
        Action::BudgetOverrun {
            cross_zone_budget,
            bytes,
            cause,
            ..
        } => Some((cross_zone_budget.0, bytes, cause)),
        _ => None,
    };
    host.asked.iter().filter_map(overruns).collect()
}

/// The nodes 1 and 2 of this host's zone.
#[derive(Clone, Copy, PartialEq)]
enum Home {
    Well,
    Drained,
    Silent,
}

/// A host whose zone is in this state; node 3, in the other zone, is well.
fn host_at(home: Home, config: SchedulerConfig) -> Host {
    let far = Endpoint {
        zone: ZoneId(1),
        ..node(3, 3)
    };
    let mut host = Host::new(config, vec![node(1, 1), node(2, 2), far], at(0));
    host.pass(ms(10_000));
    match home {
        Home::Well => {}
        Home::Drained => {
            let draining = |id| Endpoint {
                state: EndpointState::Draining,
                ..node(id, id as i64)
            };
            host.list(UpdateKind::Delta, vec![draining(1), draining(2)]);
        }
        Home::Silent => silence_home(&mut host),
    }
    host
}

/// First attempts succeed, or the overload guard would limit the host; then two get no answer.
fn silence_home(host: &mut Host) {
    let arrive = |host: &mut Host, id: u64, shard| {
        host.deliver(Event::RequestArrived(Request {
            shard: Some(ShardId(shard)),
            ..request(id, 0)
        }))
    };
    for id in 81..=88 {
        let node = id % 2 + 1;
        arrive(host, id, node as i64);
        host.end(id, 0, node, AttemptOutcome::Succeeded, 1);
    }
    arrive(host, 91, 1);
    arrive(host, 92, 2);
    host.pass(ms(200));
}

/// The attempts of a request succeed, but for those at silent nodes.
fn answer(host: &mut Host, home: Home, id: u64) {
    for (attempt, node) in host.attempts(id).into_iter().enumerate() {
        if node == 3 || home != Home::Silent {
            host.end(id, attempt as u32, node, AttemptOutcome::Succeeded, 1);
        }
    }
}

/// Twenty requests arrive; with `bound`, their data is at node 3.
fn play_crossings(host: &mut Host, home: Home, bound: bool) {
    for id in 1..=20 {
        host.deliver(Event::RequestArrived(Request {
            shard: bound.then_some(ShardId(3)),
            bytes: 1000.0,
            ..request(id, 0)
        }));
        answer(host, home, id);
    }
    // That a node is silent is seen when it is looked at.
    for _ in 0..if home == Home::Silent { 200 } else { 0 } {
        host.pass(ms(1));
        (1..=20).for_each(|id| answer(host, home, id));
    }
}

/// New objects stay at home while it has room, cross with tokens only, and past a soft budget where home has
/// no node; what a hard one has no room for is answered at once. Data that lies elsewhere has no choice, and
/// what that does is reported.
#[test]
fn bytes_between_zones_are_budgeted() {
    use Home::{Drained, Silent, Well};
    use OverrunCause::{DataPlacement, LocalNodesSilent, NoLocalNode};
    // at home, hard, rate and burst of the limit, whether data lies there: how many of 20 go there, and are
    // answered at once; the cause of overruns
    let cases = [
        (Well, false, [0.0, 0.0], false, 0, 0, None),
        (Well, false, [1e6, 1e6], false, 0, 0, None),
        (Drained, false, [1e6, 1e6], false, 20, 0, None),
        (Drained, true, [1e6, 1e6], false, 20, 0, None),
        (Drained, false, [0.0, 0.0], false, 20, 0, Some(NoLocalNode)),
        (Drained, true, [0.0, 0.0], false, 0, 20, None),
        (Drained, true, [10.0, 10_000.0], false, 0, 20, None),
        (Drained, true, [2000.0, 10_000.0], false, 5, 15, None),
        // One careful attempt each still asks the silent ones.
        (
            Silent,
            false,
            [0.0, 0.0],
            false,
            18,
            0,
            Some(LocalNodesSilent),
        ),
        (Silent, true, [0.0, 0.0], false, 0, 18, None),
        (Well, true, [0.0, 0.0], true, 20, 0, Some(DataPlacement)),
        (Well, true, [1e6, 1e6], true, 20, 0, None),
    ];
    for (place, (home, hard, limit, bound, there, at_once, cause)) in cases.into_iter().enumerate()
    {
        let [rate, burst] = limit;
        let mut host = host_at(home, zoned(hard, Limit { rate, burst }));
        play_crossings(&mut host, home, bound);
        let answered = (1..=20).filter(|id| !host.answers(*id).is_empty()).count();
        let to_far_node = |id: &u64| host.attempts(*id).contains(&3);
        let went = (1..=20).filter(to_far_node).count();
        assert_eq!([went, answered], [there, at_once], "case {place}");
        let mut found: Vec<_> = overruns(&host).into_iter().map(|p| p.2).collect();
        found.sort();
        found.dedup();
        assert_eq!(found, Vec::from_iter(cause), "case {place}");
    }
}

/// Two hosts that share a cross-zone budget, of which one asks for all of it and the other for next to nothing;
/// now and then they change places.
struct BudgetWorld {
    rng: ChaCha8Rng,
    limit: Limit,
    /// The chance that a demand report is lost.
    lost: f64,
    mail: Vec<Report>,
    /// The budget's bucket over both hosts.
    store: f64,
    low: f64,
    bytes: f64,
    last_id: u64,
}

impl BudgetWorld {
    fn tick(&mut self, hosts: &mut [Host; 2], now: Instant) {
        self.store = (self.store + self.limit.rate / 1000.0).min(self.limit.burst);
        let due = std::mem::take(&mut self.mail);
        for (me, host) in hosts.iter_mut().enumerate() {
            let before = host.asked.len();
            host.pass(now - host.now);
            for report in due.iter().filter(|report| report.to == me) {
                host.deliver(Event::PeerMessage {
                    from: report.from,
                    bytes: report.bytes.clone(),
                });
            }
            let busy = (now.micros() / 6_000_000) as usize % 2 == me;
            if self.rng.random_bool(if busy { 0.05 } else { 0.0002 }) {
                self.last_id += 1;
                host.deliver(Event::RequestArrived(Request {
                    shard: None,
                    bytes: 1000.0,
                    volume_hosts: 2,
                    ..request(self.last_id, 0)
                }));
            }
            for (_, action) in host.asked.split_off(before) {
                self.carry_out(me, host, now, action);
            }
        }
    }

    fn carry_out(&mut self, me: usize, host: &mut Host, now: Instant, action: Action) {
        match action {
            Action::StartAttempt { id, node, .. } => {
                self.store -= 1000.0;
                self.bytes += 1000.0;
                self.low = f64::min(self.low, self.store);
                host.end(id.0, 0, node.0, AttemptOutcome::Succeeded, 1);
            }
            Action::SendToPeer { to, bytes } if !self.rng.random_bool(self.lost) => {
                self.mail.push(Report {
                    arrives_at: now,
                    to: to.0 as usize,
                    from: HostId(me as u32),
                    bytes,
                });
            }
            _ => {}
        }
    }
}

/// Budgets are lent by demand reports as volumes' tokens are, and never sum past the limit, whatever becomes
/// of demand reports.
#[test]
fn budgets_are_lent_and_never_exceeded_in_sum() {
    let limit = Limit {
        rate: 8000.0,
        burst: 16_000.0,
    };
    for (lost, least) in [(0.0, 0.75), (0.5, 0.55), (1.0, 0.35)] {
        let far = Endpoint {
            zone: ZoneId(1),
            ..node(3, 3)
        };
        let host = |me| {
            let config = SchedulerConfig {
                me: HostId(me),
                ..zoned(true, limit)
            };
            Host::new(config, vec![far.clone()], at(0))
        };
        let mut hosts = [host(0), host(1)];
        let mut world = BudgetWorld {
            rng: ChaCha8Rng::seed_from_u64(5),
            limit,
            lost,
            mail: Vec::new(),
            store: limit.burst,
            low: limit.burst,
            bytes: 0.0,
            last_id: 0,
        };
        for now in (1..20_000).map(at) {
            world.tick(&mut hosts, now);
        }
        let part = world.bytes / 20.0 / limit.rate;
        assert!(world.low >= -1e-6, "lost {lost}: store at {}", world.low);
        assert!(part > least, "lost {lost}: {part} of the budget used");
    }
}
