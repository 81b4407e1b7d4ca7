//! What a host is handed: endpoint lists and pools, extreme configurations, unexpected events.

use crate::common::*;
use gullsail::api::{
    Action, AttemptOutcome, Endpoint, EndpointState, Event, HostId, Limit, PlanId, PoolId, Request,
    RequestId, SchedulerConfig, ShardId, Span, TimerId, UpdateKind,
};

/// Rule 3: where the list is asked for, it is so again within the time after which what it held counts as
/// reported.
#[test]
fn a_lost_list_is_polled_within_its_time() {
    for (within, longest) in [(None, 7500), (Some(ms(900)), 900)] {
        let f = SchedulerConfig {
            poll_endpoints: true,
            max_poll_interval: within,
            me: HostId(1),
            ..config()
        };
        let mut host = Host::new(f, vec![node(1, 0)], at(0));
        let (mut last, mut most) = (at(0), ms(0));
        for _ in 0..8 {
            host.deliver(Event::EndpointListLost);
            let asked = host.asked.len();
            while host.asked.len() == asked {
                host.pass(ms(1));
            }
            (last, most) = (host.now, most.max(host.now - last));
        }
        assert!(
            most <= ms(longest) && most >= ms(longest / 2),
            "{within:?}: {most:?}"
        );
    }
}

/// Rule 3: no new attempt to a node that drains or is gone, whatever says so.
#[test]
fn no_attempt_goes_to_a_draining_node() {
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
    for (update_kind, entries, goes) in cases {
        let mut host = host();
        host.list(update_kind, entries.clone());
        // A late list that still calls it ready does not take a drain back.
        host.list(UpdateKind::Delta, vec![node(1, 0)]);
        host.deliver(Event::RequestArrived(request(5, 0)));
        host.pass(ms(100));
        assert_eq!(
            !host.attempts(5).is_empty(),
            goes,
            "{update_kind:?} {entries:?}"
        );
        // A successor with the same data takes what waits.
        host.list(UpdateKind::Delta, vec![node(9, 0)]);
        assert_eq!(host.attempts(5), [if goes { 1 } else { 9 }]);
    }
}

#[test]
fn unexpected_events_change_nothing() {
    let mut host = host();
    host.end(77, 0, 1, AttemptOutcome::Succeeded, 5);
    host.end(77, 3, 99, AttemptOutcome::ConnectionLost, 5);
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
    host.pass(ms(2000));
    assert_eq!((host.attempts(5).len(), host.answers(5).len()), (1, 0));
}

#[test]
fn extreme_configurations_are_accepted() {
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
    for f in [zero, none, huge, tiny] {
        let mut host = Host::new(f, vec![node(1, 0), node(1, 0)], at(0));
        for (id, units) in [(1, 0.0), (2, 1e300), (3, 5.0)] {
            let t = Request {
                units,
                plan: PlanId(1),
                volume_hosts: id as u32,
                ..request(id, 0)
            };
            host.deliver(Event::RequestArrived(t));
        }
        host.deliver(Event::RequestArrived(Request {
            timeout: Span::ZERO,
            shard: None,
            volume_hosts: 0,
            ..request(4, 1)
        }));
        host.pass(ms(1500));
        assert!(host.answers(2).len() <= 1);
    }
}

/// The list: asked where it must be, again with growing waits while it is lost, and not where it is pushed.
#[test]
fn a_lost_list_is_polled_again() {
    let watches = |host: &Host| {
        host.asked
            .iter()
            .filter(|a| a.1 == Action::WatchEndpoints)
            .count()
    };
    for (poll_endpoints, lost_for, least, most) in
        [(true, 0, 0, 0), (true, 20_000, 4, 10), (false, 0, 0, 0)]
    {
        let f = SchedulerConfig {
            poll_endpoints,
            ..config()
        };
        let mut host = Host::new(f, vec![node(1, 0)], at(1000));
        assert_eq!(watches(&host), usize::from(poll_endpoints));
        let (mut seen, mut waits) = (0, 0);
        for _ in 0..lost_for {
            // Each call fails at once.
            if watches(&host) > seen {
                seen = watches(&host);
                waits += 1;
                host.deliver(Event::EndpointListLost);
            }
            host.pass(ms(1));
        }
        assert!((least..=most).contains(&waits), "{waits}");
        // The old list still serves meanwhile.
        host.deliver(Event::RequestArrived(request(5, 0)));
        assert_eq!(host.attempts(5), [1]);
    }
}

#[test]
fn lists_are_read_with_care() {
    let entry = |state, ms| Endpoint {
        state,
        started: Some(at(ms)),
        ..node(1, 0)
    };
    let (ready, drained) = (
        |ms| entry(EndpointState::Ready, ms),
        |ms| entry(EndpointState::Draining, ms),
    );
    // what the list says in turn, whether the node is open then
    let cases = [
        (vec![ready(10), ready(10)], true),
        (vec![drained(10), ready(10)], false),
        (vec![drained(10), ready(900)], true),
        (vec![ready(900), drained(10)], false),
    ];
    for (says, open) in cases {
        let mut host = Host::new(config(), vec![], at(1000));
        says.iter()
            .for_each(|e| host.list(UpdateKind::Delta, vec![e.clone()]));
        host.deliver(Event::RequestArrived(request(5, 0)));
        assert_eq!(host.attempts(5).len(), usize::from(open), "{says:?}");
    }
}

#[test]
fn decisions_repeat() {
    let play = || {
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
        host.pass(ms(900));
        host.asked
    };
    assert!(play().len() >= 20 && play() == play());
}

/// A new object goes to the nodes of its pool only, its retries too; a node that changes pools is drawn for
/// the new one alone. Data that lies somewhere knows no pools.
#[test]
fn new_objects_stay_in_their_pool() {
    // pools of nodes 1, 2 and 3; the pool asked for; where requests may go
    type Case<'a> = ([&'a [usize]; 3], usize, &'a [u64]);
    let cases: [Case; 5] = [
        ([&[], &[], &[]], 0, &[1, 2, 3]),
        ([&[1], &[1, 2], &[2]], 1, &[1, 2]),
        ([&[1], &[1, 2], &[2]], 2, &[2, 3]),
        ([&[1], &[1, 2], &[2]], 0, &[1, 2, 3]),
        ([&[1], &[], &[]], 2, &[]),
    ];
    for (of, pool, takers) in cases {
        let nodes = (1..=3).map(|id| in_pools(id, of[id as usize - 1]));
        let mut host = Host::new(config(), nodes.collect(), at(0));
        for id in 1..=60 {
            retry_new_object(&mut host, id, pool);
        }
        let went: std::collections::BTreeSet<u64> =
            (1..=60).flat_map(|id| host.attempts(id)).collect();
        assert_eq!(went.into_iter().collect::<Vec<_>>(), takers, "{pool}");
        host.pass(ms(2000));
        let answered = (1..=60).filter(|id| host.answers(*id).len() == 1).count();
        assert_eq!(answered, if takers.is_empty() { 60 } else { 0 }, "{pool}");
        // All move to the other pool: nothing more goes to them for this one.
        let other = (1..=3).map(|id| in_pools(id, &[9])).collect();
        host.list(UpdateKind::Delta, other);
        host.deliver(Event::RequestArrived(pool_request(70, None, pool)));
        host.deliver(Event::RequestArrived(pool_request(71, Some(ShardId(3)), 7)));
        host.pass(ms(50));
        assert_eq!(host.attempts(70).is_empty(), pool != 0, "{pool}");
        assert_eq!(host.attempts(71), vec![3], "{pool}");
    }
}

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
    for (attempt, node) in host.attempts(id).into_iter().enumerate() {
        host.end(id, attempt as u32, node, AttemptOutcome::Failed, 1);
    }
    host.pass(ms(5));
    for (attempt, node) in host.attempts(id).into_iter().enumerate() {
        host.end(id, attempt as u32, node, AttemptOutcome::Succeeded, 1);
    }
}
