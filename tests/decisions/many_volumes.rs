//! Requests that name ever new volumes. Their state is bounded, and limits hold for the volumes that are forgotten.

use crate::common::*;
use gullsail::api::{
    Action, AttemptOutcome, Event, HostId, PlanId, Request, ShardId, VolumeAllocation, VolumeId,
    demand_report,
};

/// The most volumes that a host keeps, and a directory.
const MAX_VOLUMES: usize = 16_384;

/// A request of a volume that no other request has named.
fn of_new_volume(id: u64, shard: i64) -> Request {
    Request {
        volume: VolumeId(1_000_000 + id),
        shard: Some(ShardId(shard)),
        ..request(id, 0)
    }
}

/// A request of a volume with a limit of 40 units a second.
fn limited(id: u64, volume: u64) -> Request {
    Request {
        plan: PlanId(1),
        volume: VolumeId(volume),
        ..request(id, 0)
    }
}

/// Guards against memory without end: one client names a new volume in each request, for a shard without a node.
#[test]
fn volumes_that_requests_name_once_are_forgotten() {
    let mut host = host();
    for id in 1..=60_000 {
        host.deliver(Event::RequestArrived(of_new_volume(id, 9)));
    }
    assert!(host.size_metric("volumes") <= MAX_VOLUMES);
    assert_eq!(host.size_metric("open_requests"), 0);
    // A further volume is served.
    host.deliver(Event::RequestArrived(of_new_volume(70_000, 0)));
    assert_eq!(host.attempt_nodes(70_000), [1]);
}

/// Soon after the start of the host buckets are not full yet. Their volumes are forgotten all the same, since a new one
/// would hold no more tokens.
#[test]
fn volumes_with_a_limit_are_forgotten_soon_after_the_start_too() {
    let mut host = host();
    host.advance(ms(100));
    for id in 1..=60_000 {
        let Request { volume, shard, .. } = of_new_volume(id, 9);
        host.deliver(Event::RequestArrived(Request {
            shard,
            ..limited(id, volume.0)
        }));
    }
    assert!(host.size_metric("volumes") <= MAX_VOLUMES);
    host.deliver(Event::RequestArrived(of_new_volume(70_000, 0)));
    assert_eq!(host.attempt_nodes(70_000), [1]);
}

/// Rule 7: a volume whose tokens are spent is not forgotten, since a new one would begin with a full bucket.
#[test]
fn a_volume_that_owes_tokens_is_not_forgotten() {
    let mut host = host();
    host.advance(ms(60_000));
    // Sends 40 requests at once, and returns how many of them are sent to the node.
    let spend = |host: &mut Host, first: u64| {
        let mut sent = 0;
        for id in first..first + 40 {
            host.deliver(Event::RequestArrived(limited(id, 7)));
            if !host.attempt_nodes(id).is_empty() {
                host.end_attempt(id, 0, 1, AttemptOutcome::Succeeded, 1);
                sent += 1;
            }
        }
        sent
    };
    let burst = spend(&mut host, 1);
    assert_eq!((burst, host.size_metric("open_requests")), (40, 0));
    for id in 1000..60_000 {
        host.deliver(Event::RequestArrived(of_new_volume(id, 9)));
    }
    assert!(host.size_metric("volumes") <= MAX_VOLUMES);
    let more = spend(&mut host, 100_000);
    assert!(more <= 1, "{more} requests beyond the limit");
}

/// While all volumes of a full table owe tokens, requests of further volumes are rejected at once, with a time after
/// which to come back. Later there is room again.
#[test]
fn requests_of_further_volumes_are_rejected_while_the_table_is_in_use() {
    let mut host = host();
    host.advance(ms(60_000));
    let volumes = MAX_VOLUMES as u64;
    for id in 1..=volumes {
        host.deliver(Event::RequestArrived(limited(id, 1_000_000 + id)));
        host.end_attempt(id, 0, 1, AttemptOutcome::Succeeded, 1);
    }
    host.deliver(Event::RequestArrived(limited(volumes + 1, 5)));
    let rejected = host.actions.iter().any(|action| {
        matches!(action.1, Action::Reject { id, retry_after: Some(_) } if id.0 == volumes + 1)
    });
    assert!(rejected);
    // A volume of the table is served.
    host.deliver(Event::RequestArrived(limited(volumes + 2, 1_000_001)));
    assert_eq!(host.attempt_nodes(volumes + 2), [1]);
    host.advance(ms(1000));
    host.deliver(Event::RequestArrived(limited(volumes + 3, 5)));
    assert_eq!(host.attempt_nodes(volumes + 3), [1]);
}

/// Guards against memory without end: other hosts search for ever new volumes.
#[test]
fn searches_for_ever_new_volumes_do_not_grow_the_directory_without_end() {
    let mut host = host();
    for id in 0..40_000 {
        host.deliver(Event::PeerMessage {
            from: HostId(1),
            bytes: demand_report::pack_search(VolumeId(id)),
        });
    }
    assert_eq!(host.size_metric("volume_users"), MAX_VOLUMES);
}

/// A volume that the configuration has allocated to this host keeps its allocation.
#[test]
fn allocated_volumes_are_not_forgotten() {
    let mut host = host();
    // A request has named some of them before.
    for id in 0..50 {
        host.deliver(Event::RequestArrived(limited(1_000_000 + id, id)));
    }
    host.advance(ms(2000));
    let allocations = (0..100).map(|volume| VolumeAllocation {
        volume: VolumeId(volume),
        plan: PlanId(1),
        host_count: 2,
        host_limit: None,
    });
    host.deliver(Event::ConfigChanged {
        plans: config().plans,
        allocations: allocations.collect(),
        cross_zone_budgets: Vec::new(),
        fleet_membership: None,
    });
    for id in 1..=(2 * MAX_VOLUMES as u64) {
        host.deliver(Event::RequestArrived(of_new_volume(id, 9)));
    }
    // The last sweep left the allocated volumes and those of the requests since then.
    assert_eq!(host.size_metric("volumes"), 100 + MAX_VOLUMES);
}

/// Guards against a burst of messages in each review, which kept other clients waiting: one client names many new volumes
/// that other hosts may use too. A review sends 512 searches at most, and the others follow.
#[test]
fn searches_for_many_new_volumes_are_spread_over_reviews() {
    let mut host = host();
    for id in 0..2000 {
        let Request { volume, shard, .. } = of_new_volume(id, 9);
        host.deliver(Event::RequestArrived(Request {
            shard,
            volume_hosts: 2,
            ..limited(1 + id, volume.0)
        }));
    }
    let sent = |host: &Host| {
        let to_peers = host.actions.iter();
        let to_peers = to_peers.filter(|action| matches!(action.1, Action::SendToPeer { .. }));
        to_peers.count()
    };
    for _ in 0..80 {
        let before = sent(&host);
        host.advance(ms(250));
        assert!(sent(&host) - before <= 512);
    }
    // This host is the first directory host of every second volume, and the other one of the others.
    assert!(sent(&host) >= 1000);
    assert!(host.size_metric("volume_users") >= 1000);
}
