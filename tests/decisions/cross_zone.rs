//! Cross-zone budgets: limits on the bytes between zones, which all hosts share.

use crate::common::*;
use crate::limits::Report;
use gullsail::api::{
    Action, AttemptOutcome, BudgetScope, CrossZoneBudget, Endpoint, EndpointState, Event, HostId,
    Instant, Limit, OverrunCause, Request, SchedulerConfig, ShardId, UpdateKind, VolumeId, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// A configuration of a host in zone 0 with a budget in each direction between zones 0 and 1, shared by two
/// hosts. A request has at most 1,000 bytes.
fn two_zone_config(hard: bool, limit: Limit) -> SchedulerConfig {
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

/// The causes of the reported overruns, without duplicates.
fn overrun_causes(host: &Host) -> Vec<OverrunCause> {
    let causes = host.actions.iter().filter_map(|(_, action)| match action {
        Action::BudgetOverrun { cause, .. } => Some(*cause),
        _ => None,
    });
    BTreeSet::from_iter(causes).into_iter().collect()
}

/// State of nodes 1 and 2, which are in this host's zone.
#[derive(Clone, Copy, PartialEq)]
enum LocalNodes {
    Healthy,
    Drained,
    Silent,
}

/// A host with the nodes of its zone in this state. Node 3, in the other zone, is healthy.
fn host_with_local_nodes(local_nodes: LocalNodes, config: SchedulerConfig) -> Host {
    let remote_node = Endpoint {
        zone: ZoneId(1),
        ..node(3, 3)
    };
    let mut host = Host::new(config, vec![node(1, 1), node(2, 2), remote_node], at(0));
    host.advance(ms(10_000));
    match local_nodes {
        LocalNodes::Healthy => {}
        LocalNodes::Drained => {
            let draining = |id| Endpoint {
                state: EndpointState::Draining,
                ..node(id, id as i64)
            };
            host.deliver_list(UpdateKind::Delta, vec![draining(1), draining(2)]);
        }
        LocalNodes::Silent => silence_local_nodes(&mut host),
    }
    host
}

/// Makes nodes 1 and 2 silent: one attempt at each gets no answer. Attempts before that succeed, since the
/// overload guard would otherwise limit the host.
fn silence_local_nodes(host: &mut Host) {
    let arrive = |host: &mut Host, id: u64, shard| {
        host.deliver(Event::RequestArrived(Request {
            shard: Some(ShardId(shard)),
            ..request(id, 0)
        }))
    };
    for id in 81..=88 {
        let node = id % 2 + 1;
        arrive(host, id, node as i64);
        host.end_attempt(id, 0, node, AttemptOutcome::Succeeded, 1);
    }
    arrive(host, 91, 1);
    arrive(host, 92, 2);
    host.advance(ms(200));
}

/// Ends the attempts of a request with success, except those at silent nodes.
fn answer_attempts(host: &mut Host, local_nodes: LocalNodes, id: u64) {
    for (attempt, node) in host.attempt_nodes(id).into_iter().enumerate() {
        if node == 3 || local_nodes != LocalNodes::Silent {
            host.end_attempt(id, attempt as u32, node, AttemptOutcome::Succeeded, 1);
        }
    }
}

/// Twenty requests arrive. With `bound`, they are for data at node 3; otherwise they are new objects.
fn send_twenty_requests(host: &mut Host, local_nodes: LocalNodes, bound: bool) {
    for id in 1..=20 {
        host.deliver(Event::RequestArrived(Request {
            shard: bound.then_some(ShardId(3)),
            bytes: 1000.0,
            ..request(id, 0)
        }));
        answer_attempts(host, local_nodes, id);
    }
    // The scheduler notices that a node is silent only when it computes the node's capacity.
    for _ in 0..if local_nodes == LocalNodes::Silent {
        200
    } else {
        0
    } {
        host.advance(ms(1));
        (1..=20).for_each(|id| answer_attempts(host, local_nodes, id));
    }
}

/// New objects stay in this host's zone while it has a usable node. Otherwise they are sent to the other zone:
/// with a hard budget only within its tokens, and the rest are answered at once; with a soft budget also beyond
/// its tokens. Requests for data in the other zone are always sent there, and overruns are reported.
#[test]
fn new_objects_leave_their_zone_only_within_cross_zone_budgets() {
    use LocalNodes::{Drained, Healthy, Silent};
    use OverrunCause::{DataPlacement, LocalNodesSilent, NoLocalNode};
    // State of the local nodes; whether the budget is hard; rate and burst of its limit; whether the data is in
    // the other zone; how many of 20 requests are sent there, and how many are answered; the cause of overruns.
    let cases = [
        (Healthy, false, [0.0, 0.0], false, 0, 0, None),
        (Healthy, false, [1e6, 1e6], false, 0, 0, None),
        (Drained, false, [1e6, 1e6], false, 20, 0, None),
        (Drained, true, [1e6, 1e6], false, 20, 0, None),
        (Drained, false, [0.0, 0.0], false, 20, 0, Some(NoLocalNode)),
        (Drained, true, [0.0, 0.0], false, 0, 20, None),
        (Drained, true, [10.0, 10_000.0], false, 0, 20, None),
        (Drained, true, [2000.0, 10_000.0], false, 5, 15, None),
        // Two of the requests are sent as single probes to the silent nodes.
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
        (Healthy, true, [0.0, 0.0], true, 20, 0, Some(DataPlacement)),
        (Healthy, true, [1e6, 1e6], true, 20, 0, None),
    ];
    for (index, (local_nodes, hard, limit, bound, remote, answered, cause)) in
        cases.into_iter().enumerate()
    {
        let [rate, burst] = limit;
        let mut host =
            host_with_local_nodes(local_nodes, two_zone_config(hard, Limit { rate, burst }));
        send_twenty_requests(&mut host, local_nodes, bound);
        let answered_count = (1..=20).filter(|id| !host.answers(*id).is_empty()).count();
        let sent_to_remote_node = |id: &u64| host.attempt_nodes(*id).contains(&3);
        let remote_count = (1..=20).filter(sent_to_remote_node).count();
        assert_eq!(
            [remote_count, answered_count],
            [remote, answered],
            "case {index}"
        );
        assert_eq!(overrun_causes(&host), Vec::from_iter(cause), "case {index}");
    }
}

/// Two hosts that share a cross-zone budget. One of them has a demand for the whole budget, the other almost
/// none. They change roles every 6 s.
struct BudgetWorld {
    rng: ChaCha8Rng,
    limit: Limit,
    /// The chance that a demand report is lost.
    lost: f64,
    mail: Vec<Report>,
    /// Tokens of a bucket that both hosts together must not overrun.
    tokens: f64,
    lowest_tokens: f64,
    /// Bytes sent to the other zone.
    bytes: f64,
    last_id: u64,
}

impl BudgetWorld {
    fn tick(&mut self, hosts: &mut [Host; 2], now: Instant) {
        self.tokens = (self.tokens + self.limit.rate / 1000.0).min(self.limit.burst);
        let due = std::mem::take(&mut self.mail);
        for (me, host) in hosts.iter_mut().enumerate() {
            let before = host.actions.len();
            host.advance(now - host.now);
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
            for (_, action) in host.actions.split_off(before) {
                self.carry_out(me, host, now, action);
            }
        }
    }

    fn carry_out(&mut self, me: usize, host: &mut Host, now: Instant, action: Action) {
        match action {
            Action::StartAttempt { id, node, .. } => {
                self.tokens -= 1000.0;
                self.bytes += 1000.0;
                self.lowest_tokens = f64::min(self.lowest_tokens, self.tokens);
                host.end_attempt(id.0, 0, node.0, AttemptOutcome::Succeeded, 1);
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

/// Hosts lend each other tokens of a cross-zone budget by demand reports. Even if reports are lost, both hosts
/// together stay within the limit. Loans raise the fraction of the budget that is used.
#[test]
fn hosts_lend_cross_zone_budgets_without_exceeding_the_limit() {
    let limit = Limit {
        rate: 8000.0,
        burst: 16_000.0,
    };
    for (lost, min_used_fraction) in [(0.0, 0.75), (0.5, 0.55), (1.0, 0.35)] {
        let remote_node = Endpoint {
            zone: ZoneId(1),
            ..node(3, 3)
        };
        let host = |me| {
            let config = SchedulerConfig {
                host_id: HostId(me),
                ..two_zone_config(true, limit)
            };
            Host::new(config, vec![remote_node.clone()], at(0))
        };
        let mut hosts = [host(0), host(1)];
        let mut world = BudgetWorld {
            rng: ChaCha8Rng::seed_from_u64(5),
            limit,
            lost,
            mail: Vec::new(),
            tokens: limit.burst,
            lowest_tokens: limit.burst,
            bytes: 0.0,
            last_id: 0,
        };
        for now in (1..20_000).map(at) {
            world.tick(&mut hosts, now);
        }
        let used_fraction = world.bytes / 20.0 / limit.rate;
        assert!(
            world.lowest_tokens >= -1e-6,
            "lost {lost}: bucket at {} tokens",
            world.lowest_tokens
        );
        assert!(
            used_fraction > min_used_fraction,
            "lost {lost}: {used_fraction} of the budget used"
        );
    }
}
