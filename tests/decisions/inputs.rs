//! Inputs of a host: endpoint lists and pools, extreme configurations, unexpected events.

use crate::common::*;
use gullsail::api::{
    Action, AttemptOutcome, Endpoint, EndpointState, Event, HostId, Limit, PlanId, PoolId, Request,
    RequestId, SchedulerConfig, ShardId, Span, TimerId, UpdateKind,
};

/// Rule 3: a host that polls the endpoint list polls it again after each loss, within the configured longest
/// interval or the default of 7.5 s.
#[test]
fn a_lost_list_is_polled_within_the_longest_interval() {
    for (poll_limit, max_interval) in [(None, 7500), (Some(ms(900)), 900)] {
        let config = SchedulerConfig {
            poll_endpoints: true,
            max_poll_interval: poll_limit,
            host_id: HostId(1),
            ..config()
        };
        let mut host = Host::new(config, vec![node(1, 0)], at(0));
        let (mut last_poll, mut longest) = (at(0), ms(0));
        for _ in 0..8 {
            host.deliver(Event::EndpointListLost);
            let before = host.actions.len();
            while host.actions.len() == before {
                host.advance(ms(1));
            }
            (last_poll, longest) = (host.now, longest.max(host.now - last_poll));
        }
        assert!(
            longest <= ms(max_interval) && longest >= ms(max_interval / 2),
            "{poll_limit:?}: {longest:?}"
        );
    }
}

/// Rule 3: no attempt is sent to a node that drains or is gone, whether by a delta or by a snapshot without the
/// node.
#[test]
fn no_attempt_is_sent_to_a_draining_or_gone_node() {
    let state = |state| {
        vec![Endpoint {
            state,
            ..node(1, 0)
        }]
    };
    let cases = [
        (UpdateKind::Delta, state(EndpointState::Draining), false),
        (UpdateKind::Delta, state(EndpointState::Gone), false),
        (UpdateKind::Snapshot, vec![node(2, 1)], false),
        (UpdateKind::Delta, vec![node(2, 1)], true),
        (UpdateKind::Snapshot, vec![node(1, 0)], true),
    ];
    for (update_kind, entries, is_sent) in cases {
        let mut host = host();
        host.deliver_list(update_kind, entries.clone());
        // A late list that still reports the node as ready does not undo the drain.
        host.deliver_list(UpdateKind::Delta, vec![node(1, 0)]);
        host.deliver(Event::RequestArrived(request(5, 0)));
        host.advance(ms(100));
        assert_eq!(
            !host.attempt_nodes(5).is_empty(),
            is_sent,
            "{update_kind:?} {entries:?}"
        );
        // A replacement with the same data serves the waiting request.
        host.deliver_list(UpdateKind::Delta, vec![node(9, 0)]);
        assert_eq!(host.attempt_nodes(5), [if is_sent { 1 } else { 9 }]);
    }
}

/// Events about unknown requests, attempts and timers, a lost list, and malformed peer messages have no effect
/// on later requests.
#[test]
fn unexpected_events_are_ignored() {
    let mut host = host();
    host.end_attempt(77, 0, 1, AttemptOutcome::Succeeded, 5);
    host.end_attempt(77, 3, 99, AttemptOutcome::ConnectionLost, 5);
    host.deliver(Event::ClientDisconnected(RequestId(77)));
    host.deliver(Event::Timer(TimerId(77)));
    host.deliver(Event::EndpointListLost);
    for bytes in [
        vec![],
        vec![0x67],
        vec![0x67, 1, 2],
        vec![0xff; 256],
        vec![0x67; 256],
    ] {
        host.deliver(Event::PeerMessage {
            from: HostId(1),
            bytes,
        });
    }
    host.deliver(Event::RequestArrived(request(5, 0)));
    host.deliver(Event::ClientDisconnected(RequestId(5)));
    host.advance(ms(2000));
    assert_eq!((host.attempt_nodes(5).len(), host.answers(5).len()), (1, 0));
}

/// Empty, zero, huge and tiny values in a configuration cause no panic, and no second answer.
#[test]
fn extreme_configurations_cause_no_panic() {
    let zero = SchedulerConfig {
        request_classes: config().request_classes,
        plans: config().plans,
        ..SchedulerConfig::default()
    };
    let mut none = config();
    (none.plans, none.request_classes) = (vec![], vec![]);
    let mut huge = config();
    (huge.host_count, huge.max_units) = (u32::MAX, 1e300);
    huge.peer_messages_enabled = false;
    let mut tiny = config();
    tiny.plans[1].limit = Some(Limit {
        rate: 1e-9,
        burst: 0.0,
    });
    for config in [zero, none, huge, tiny] {
        let mut host = Host::new(config, vec![node(1, 0), node(1, 0)], at(0));
        for (id, units) in [(1, 0.0), (2, 1e300), (3, 5.0)] {
            let arrival = Request {
                units,
                plan: PlanId(1),
                volume_hosts: id as u32,
                ..request(id, 0)
            };
            host.deliver(Event::RequestArrived(arrival));
        }
        host.deliver(Event::RequestArrived(Request {
            timeout: Span::ZERO,
            shard: None,
            volume_hosts: 0,
            ..request(4, 1)
        }));
        host.advance(ms(1500));
        assert!(host.answers(2).len() <= 1);
    }
}

/// A host that polls the endpoint list polls it again at growing intervals while it is lost. A host that is
/// sent the list does not poll. The last list stays in use meanwhile.
#[test]
fn a_lost_list_is_polled_at_growing_intervals() {
    let poll_count = |host: &Host| {
        host.actions
            .iter()
            .filter(|a| a.1 == Action::WatchEndpoints)
            .count()
    };
    for (poll_endpoints, lost_ms, min_polls, max_polls) in
        [(true, 0, 0, 0), (true, 20_000, 4, 10), (false, 0, 0, 0)]
    {
        let config = SchedulerConfig {
            poll_endpoints,
            ..config()
        };
        let mut host = Host::new(config, vec![node(1, 0)], at(1000));
        assert_eq!(poll_count(&host), usize::from(poll_endpoints));
        let (mut seen, mut polls) = (0, 0);
        for _ in 0..lost_ms {
            // Each poll fails at once.
            if poll_count(&host) > seen {
                seen = poll_count(&host);
                polls += 1;
                host.deliver(Event::EndpointListLost);
            }
            host.advance(ms(1));
        }
        assert!((min_polls..=max_polls).contains(&polls), "{polls}");
        // The old list stays in use.
        host.deliver(Event::RequestArrived(request(5, 0)));
        assert_eq!(host.attempt_nodes(5), [1]);
    }
}

/// A list with the same or an earlier start cannot undo a drain; only a newer start makes the node ready again.
#[test]
fn a_drain_ends_only_with_a_newer_start() {
    let entry = |state, started_ms| Endpoint {
        state,
        started: Some(at(started_ms)),
        ..node(1, 0)
    };
    let (ready, drained) = (
        |started_ms| entry(EndpointState::Ready, started_ms),
        |started_ms| entry(EndpointState::Draining, started_ms),
    );
    // States and start times that lists report, in order; whether a request is sent to the node then.
    let cases = [
        (vec![ready(10), ready(10)], true),
        (vec![drained(10), ready(10)], false),
        (vec![drained(10), ready(900)], true),
        (vec![ready(900), drained(10)], false),
    ];
    for (entries, is_sent) in cases {
        let mut host = Host::new(config(), vec![], at(1000));
        entries
            .iter()
            .for_each(|e| host.deliver_list(UpdateKind::Delta, vec![e.clone()]));
        host.deliver(Event::RequestArrived(request(5, 0)));
        assert_eq!(
            host.attempt_nodes(5).len(),
            usize::from(is_sent),
            "{entries:?}"
        );
    }
}

/// Two runs with the same seed and events give the same actions.
#[test]
fn equal_seeds_and_events_give_equal_actions() {
    let run = || {
        let mut host = Host::new(
            config(),
            (1..=5).map(|n| node(n, n as i64)).collect(),
            at(1000),
        );
        (0..200).for_each(|id| {
            drop(host.deliver(Event::RequestArrived(Request {
                shard: None,
                ..request(id, 0)
            })))
        });
        host.advance(ms(900));
        host.actions
    };
    assert!(run().len() >= 20 && run() == run());
}

/// New objects and their retries are sent only to the nodes of their pool, after a change of a node's pools
/// too. Requests for existing data are sent to its shard, whatever the pool.
#[test]
fn new_objects_are_sent_only_to_nodes_of_their_pool() {
    // Pools of nodes 1, 2 and 3; pool of the requests; nodes to which the requests are sent.
    type Case<'a> = ([&'a [usize]; 3], usize, &'a [u64]);
    let cases: [Case; 5] = [
        ([&[], &[], &[]], 0, &[1, 2, 3]),
        ([&[1], &[1, 2], &[2]], 1, &[1, 2]),
        ([&[1], &[1, 2], &[2]], 2, &[2, 3]),
        ([&[1], &[1, 2], &[2]], 0, &[1, 2, 3]),
        ([&[1], &[], &[]], 2, &[]),
    ];
    for (node_pools, pool, expected_nodes) in cases {
        let nodes = (1..=3).map(|id| in_pools(id, node_pools[id as usize - 1]));
        let mut host = Host::new(config(), nodes.collect(), at(0));
        for id in 1..=60 {
            retry_new_object(&mut host, id, pool);
        }
        let nodes_used: std::collections::BTreeSet<u64> =
            (1..=60).flat_map(|id| host.attempt_nodes(id)).collect();
        assert_eq!(
            nodes_used.into_iter().collect::<Vec<_>>(),
            expected_nodes,
            "{pool}"
        );
        host.advance(ms(2000));
        let answered = (1..=60).filter(|id| host.answers(*id).len() == 1).count();
        assert_eq!(
            answered,
            if expected_nodes.is_empty() { 60 } else { 0 },
            "{pool}"
        );
        // All nodes change to another pool, so no more requests of this pool are sent to them.
        let other = (1..=3).map(|id| in_pools(id, &[9])).collect();
        host.deliver_list(UpdateKind::Delta, other);
        host.deliver(Event::RequestArrived(pool_request(70, None, pool)));
        host.deliver(Event::RequestArrived(pool_request(71, Some(ShardId(3)), 7)));
        host.advance(ms(50));
        assert_eq!(host.attempt_nodes(70).is_empty(), pool != 0, "{pool}");
        assert_eq!(host.attempt_nodes(71), vec![3], "{pool}");
    }
}

/// Node `id` of shard `id`, in these pools.
fn in_pools(id: u64, pools: &[usize]) -> Endpoint {
    Endpoint {
        pools: pools.iter().copied().map(PoolId).collect(),
        ..node(id, id as i64)
    }
}

fn pool_request(id: u64, shard: Option<ShardId>, pool: usize) -> Request {
    Request {
        shard,
        pool: PoolId(pool),
        ..request(id, 0)
    }
}

/// A new object arrives; its first attempt fails and its second succeeds.
fn retry_new_object(host: &mut Host, id: u64, pool: usize) {
    host.deliver(Event::RequestArrived(pool_request(id, None, pool)));
    for (attempt, node) in host.attempt_nodes(id).into_iter().enumerate() {
        host.end_attempt(id, attempt as u32, node, AttemptOutcome::Failed, 1);
    }
    host.advance(ms(5));
    for (attempt, node) in host.attempt_nodes(id).into_iter().enumerate() {
        host.end_attempt(id, attempt as u32, node, AttemptOutcome::Succeeded, 1);
    }
}

/// Guards against one client that claims to wait for an hour: its request set a timer for that long, and all other
/// requests of its class were taken for late retries and rejected.
#[test]
fn a_timeout_beyond_that_of_its_class_is_cut() {
    let mut config = config();
    config.request_classes[0].max_timeout = Some(ms(1000));
    let mut host = Host::new(config, vec![node(1, 0)], at(1000));
    let actions = host.deliver(Event::RequestArrived(Request {
        timeout: ms(3_600_000),
        ..request(1, 0)
    }));
    let timers = actions.iter().filter_map(|action| match action {
        Action::SetTimer { at, .. } => Some(*at - host.now),
        _ => None,
    });
    assert!(timers.max() <= Some(ms(1000)));
    host.end_attempt(1, 0, 1, AttemptOutcome::Succeeded, 5);
    host.deliver(Event::RequestArrived(request(2, 0)));
    assert_eq!((host.attempt_nodes(2), host.answers(2)), (vec![1], vec![]));
}
