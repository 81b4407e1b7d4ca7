//! The scheduler's collections are bounded by current endpoints, volumes and requests, not by all that have
//! existed.

use crate::common::*;
use gullsail::api::{
    AttemptEnd, AttemptOutcome, BudgetScope, CrossZoneBudget, Endpoint, EndpointState, Event,
    HostId, Limit, NodeId, PlanId, Request, RequestId, RetryBudget, SchedulerConfig, ShardId, Span,
    UpdateKind, VolumeAllocation, VolumeId, ZoneId, demand_report,
};

/// A list with node `id` of shard `id` in this state.
fn state(state: EndpointState, started: i64, id: u64) -> Vec<Endpoint> {
    vec![Endpoint {
        state,
        started: Some(at(started)),
        ..node(id, id as i64)
    }]
}

/// Nodes with new ids and shards are listed, drain and are gone. The scheduler removes them a minute later.
#[test]
fn gone_endpoints_are_removed_after_a_minute() {
    for drains in [true, false] {
        let mut host = Host::new(config(), vec![], at(0));
        for id in 1..=300 {
            host.deliver_list(
                UpdateKind::Delta,
                state(EndpointState::Ready, id as i64, id),
            );
            if drains {
                host.deliver_list(
                    UpdateKind::Delta,
                    state(EndpointState::Draining, id as i64, id),
                );
            }
            // A list may report the same state more than once.
            (0..3).for_each(|_| {
                host.deliver_list(UpdateKind::Delta, state(EndpointState::Gone, id as i64, id))
            });
            host.advance(ms(1000));
        }
        let sizes =
            ["endpoints", "endpoint_capacities", "shards"].map(|name| host.size_metric(name));
        assert!(
            sizes[0] <= 61 && sizes[1] == 0 && sizes[2] == 0,
            "drains {drains}: {sizes:?}"
        );
    }
}

/// Rule 3: a node is gone, is ready again with a newer start, and is gone again. For a minute after that, a
/// late list that still reports it as ready must not cause an attempt.
#[test]
fn a_late_list_does_not_restore_a_node_that_is_gone_again() {
    let mut host = Host::new(config(), state(EndpointState::Ready, 0, 1), at(1000));
    host.deliver_list(UpdateKind::Delta, state(EndpointState::Gone, 0, 1));
    host.advance(ms(30_000));
    host.deliver_list(UpdateKind::Delta, state(EndpointState::Ready, 30_000, 1));
    host.advance(ms(20_000));
    host.deliver_list(UpdateKind::Delta, state(EndpointState::Gone, 30_000, 1));
    host.advance(ms(15_000));
    host.deliver_list(UpdateKind::Delta, vec![node(2, 9)]);
    host.deliver_list(UpdateKind::Delta, state(EndpointState::Ready, 30_000, 1));
    host.deliver(Event::RequestArrived(Request {
        shard: Some(ShardId(1)),
        ..request(5, 0)
    }));
    host.advance(ms(100));
    assert_eq!(host.attempt_nodes(5), []);
}

/// While there is no node, or only a silent one, requests arrive and are shed. The retry budget must keep only
/// the arrivals within its window, although no attempt is sent.
#[test]
fn retry_budget_keeps_only_arrivals_within_its_window() {
    let mut config = config();
    config.retry_budget = Some(RetryBudget {
        fixed_retries: 3.0,
        retries_per_request: 0.1,
        window: ms(1000),
    });
    for nodes in [vec![], vec![node(1, 0)]] {
        let silent = !nodes.is_empty();
        let mut host = Host::new(config.clone(), nodes, at(1000));
        for id in 1..=20_000 {
            host.deliver(Event::RequestArrived(Request {
                timeout: ms(50),
                ..request(id, 0)
            }));
            host.advance(ms(1));
        }
        assert!(
            host.size_metric("arrivals") <= 1002,
            "silent {silent}: {}",
            host.size_metric("arrivals")
        );
        assert!(host.size_metric("open_requests") <= 60);
    }
}

fn allocation(volume: u64, hosts: u32) -> VolumeAllocation {
    let part = (hosts == 0).then_some(Limit {
        rate: 0.0,
        burst: 0.0,
    });
    VolumeAllocation {
        volume: VolumeId(volume),
        plan: PlanId(usize::from(hosts > 0)),
        host_count: hosts,
        host_limit: part,
    }
}

/// Volumes that a configuration withdraws are removed once they have no attempt in flight. A volume that is
/// allocated again starts with an empty bucket.
#[test]
fn withdrawn_volumes_are_removed_and_return_with_an_empty_bucket() {
    let mut host = Host::new(config(), vec![node(1, 0)], at(1000));
    let sizes = |host: &Host| ["volumes", "open_requests"].map(|name| host.size_metric(name));
    for volume in 0..200 {
        host.deliver(change_allocations(vec![allocation(volume, 2)]));
        host.deliver(limited_request(volume, volume, 1.0));
        // For every tenth volume, an attempt is in flight while the volume is withdrawn.
        host.advance(ms(200));
        if volume % 10 > 0 {
            host.end_attempt(volume, 0, 1, AttemptOutcome::Succeeded, 5);
        }
        host.deliver(change_allocations(vec![allocation(volume, 0)]));
    }
    host.advance(ms(100_000));
    let [volumes, open] = sizes(&host);
    assert_eq!(
        volumes, open,
        "only volumes with an attempt in flight remain"
    );
    for id in (0..200).step_by(10) {
        host.end_attempt(id, 0, 1, AttemptOutcome::Succeeded, 5);
    }
    host.advance(ms(1000));
    assert_eq!(sizes(&host), [0, 0]);
    host.deliver(change_allocations(vec![allocation(3, 2)]));
    let before = host.sent_requests().len();
    for id in 1000..1100 {
        host.deliver(limited_request(id, 3, 4.0));
    }
    let sent = host.sent_requests().len();
    assert_eq!(
        sent, before,
        "the bucket is empty when the volume is allocated again"
    );
}

fn change_allocations(allocations: Vec<VolumeAllocation>) -> Event {
    Event::ConfigChanged {
        plans: config().plans,
        allocations,
        cross_zone_budgets: vec![],
        fleet_membership: None,
    }
}

/// The arrival of a request of a volume whose limit two hosts share.
fn limited_request(id: u64, volume: u64, units: f64) -> Event {
    Event::RequestArrived(Request {
        plan: PlanId(1),
        volume: VolumeId(volume),
        volume_hosts: 2,
        units,
        ..request(id, 0)
    })
}

/// Requests for tokens from a host without spare tokens leave no holds in its bucket.
#[test]
fn token_requests_without_spare_tokens_leave_no_holds() {
    let mut host = Host::new(config(), vec![node(1, 0)], at(1000));
    host.deliver(Event::RequestArrived(Request {
        plan: PlanId(1),
        volume_hosts: 2,
        ..request(1, 0)
    }));
    for n in 0..50 {
        let report = demand_report::VolumeDemand {
            volume: VolumeId(7),
            demand: 1e6,
            wanted: 50.0,
            lent: 0.0,
        };
        host.now = host.now + Span::from_micros(1 + n);
        host.deliver(Event::PeerMessage {
            from: HostId(1),
            bytes: demand_report::pack_report(host.now, &[report]),
        });
    }
    assert_eq!(host.size_metric("volumes.loans"), 0);
}

/// Rule 1: a request whose plan or request class the configuration no longer has is answered too.
#[test]
fn requests_with_an_unknown_plan_or_class_are_rejected() {
    for (plan, request_class) in [(9, 0), (0, 9), (9, 9)] {
        let mut host = Host::new(config(), vec![node(1, 0)], at(1000));
        host.deliver(Event::RequestArrived(Request {
            plan: PlanId(plan),
            ..request(5, request_class)
        }));
        host.advance(ms(3000));
        assert_eq!(
            (host.answers(5), host.attempt_nodes(5).len()),
            (vec!["rejected"], 0),
            "{plan} {request_class}"
        );
    }
}

/// A configuration change withdraws all plans and a volume. A request that waits is rejected, and one with an
/// attempt in flight ends without a panic.
#[test]
fn withdrawing_all_plans_rejects_waiting_requests() {
    let mut host = Host::new(config(), vec![node(1, 0)], at(1000));
    host.deliver(Event::RequestArrived(Request {
        plan: PlanId(1),
        ..request(4, 0)
    }));
    host.deliver(Event::RequestArrived(request(5, 0)));
    host.deliver(Event::ConfigChanged {
        plans: vec![],
        allocations: vec![VolumeAllocation {
            plan: PlanId(0),
            ..allocation(7, 0)
        }],
        cross_zone_budgets: vec![],
        fleet_membership: None,
    });
    let used = Some(0.5);
    let (id, node, outcome, latency) = (RequestId(5), NodeId(1), AttemptOutcome::Succeeded, ms(5));
    let (zone, bytes) = (ZoneId(0), 0.0);
    host.deliver(Event::AttemptEnded(AttemptEnd {
        id,
        attempt: 0,
        node,
        outcome,
        latency,
        finished: true,
        used,
        zone,
        bytes,
    }));
    host.advance(ms(3000));
    assert_eq!(
        (host.size_metric("open_requests"), host.answers(4)),
        (0, vec!["rejected"])
    );
}

/// A host with a hard budget from its zone to the zone of its only node. Attempts may wait 250 ms for their
/// connections.
fn host_with_budget(limit: Limit) -> Host {
    let budget = CrossZoneBudget {
        id: VolumeId(901),
        scope: BudgetScope::ZonePair(ZoneId(0), ZoneId(1)),
        limit,
        hard: true,
        host_count: 1,
    };
    let config = SchedulerConfig {
        zone: Some(ZoneId(0)),
        cross_zone_budgets: vec![budget],
        max_bytes: 1000.0,
        max_connect_wait: ms(250),
        ..config()
    };
    let remote_node = Endpoint {
        zone: ZoneId(1),
        ..node(3, 3)
    };
    Host::new(config, vec![remote_node], at(0))
}

/// Open finding 22 of docs/release-review.md: the bucket of a cross-zone budget refills while an attempt waits
/// for its connection, as the buckets of volumes did. The bytes sent at once may exceed the budget by its rate
/// times that wait.
#[test]
#[should_panic(expected = "finding 22")]
fn cross_zone_budget_does_not_refill_while_attempts_wait_for_connections() {
    let limit = Limit {
        rate: 10_000.0,
        burst: 10_000.0,
    };
    let mut host = host_with_budget(limit);
    host.advance(ms(10_000));
    let new_object = |id| {
        Event::RequestArrived(Request {
            shard: None,
            bytes: 1000.0,
            ..request(id, 0)
        })
    };
    // Two attempts wait for their connections almost as long as allowed. The requests that arrive when they
    // leave the host must not get the tokens that the bucket has gained meanwhile.
    (1..=2).for_each(|id| drop(host.deliver(new_object(id))));
    assert_eq!(host.sent_requests().len(), 2);
    host.advance(ms(240));
    (1..=2).for_each(|id| host.end_attempt(id, 0, 3, AttemptOutcome::Succeeded, 240));
    for id in 10..40 {
        host.deliver(new_object(id));
        host.attempt_nodes(id)
            .into_iter()
            .for_each(|node| host.end_attempt(id, 0, node, AttemptOutcome::Succeeded, 1));
    }
    let bytes = host.sent_requests().len() as f64 * 1000.0;
    assert!(
        bytes <= limit.burst,
        "finding 22: {bytes} bytes at once, above a budget of {}",
        limit.burst
    );
}
