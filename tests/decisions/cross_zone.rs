//! Budgets of bytes between zones, which all hosts share.

use crate::common::*;
use crate::limits::Report;
use gullsail::api::{
    Action, AttemptOutcome, BudgetScope, CrossZoneBudget, Endpoint, EndpointState, Event, HostId,
    Instant, Limit, OverrunCause, Request, SchedulerConfig, ShardId, UpdateKind, VolumeId, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Two zones with a budget each way for two hosts; nodes 1 and 2 here, 3 there; 1,000 bytes a request.
fn zoned(hard: bool, limit: Limit) -> SchedulerConfig {
    let budget = |id, from, to| CrossZoneBudget {
        id: VolumeId(id),
        scope: BudgetScope::ZonePair(ZoneId(from), ZoneId(to)),
        limit,
        hard,
        host_count: 2,
    };
    let cross_zone_budgets = vec![budget(901, 0, 1), budget(902, 1, 0)];
    SchedulerConfig {
        zone: Some(ZoneId(0)),
        cross_zone_budgets,
        max_bytes: 1000.0,
        ..config()
    }
}

/// The causes of the overruns that were reported, each once.
fn overrun_causes(host: &Host) -> Vec<OverrunCause> {
    let causes = host.asked.iter().filter_map(|(_, action)| match action {
        Action::BudgetOverrun { cause, .. } => Some(*cause),
        _ => None,
    });
    BTreeSet::from_iter(causes).into_iter().collect()
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
fn play_cross_zone(host: &mut Host, home: Home, bound: bool) {
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
        play_cross_zone(&mut host, home, bound);
        let answered = (1..=20).filter(|id| !host.answers(*id).is_empty()).count();
        let to_far_node = |id: &u64| host.attempts(*id).contains(&3);
        let went = (1..=20).filter(to_far_node).count();
        assert_eq!([went, answered], [there, at_once], "case {place}");
        assert_eq!(overrun_causes(&host), Vec::from_iter(cause), "case {place}");
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
