//! The sizes of the scheduler's collections, so that an operator can see a collection that grows without bound.
//! No decision depends on them.

use super::endpoint::tracker::EndpointTracker;
use super::state::SchedulerState;
use gullsail_scheduler_api::NodeId;
use std::collections::BTreeMap;

/// The number of entries in each collection, by name; nested collections are summed.
pub(super) fn size_metrics(
    trackers: &BTreeMap<NodeId, EndpointTracker>,
    state: &SchedulerState,
) -> Vec<(&'static str, usize)> {
    let endpoints = state.endpoints.sizes();
    let limits = state.attempt_limits.sizes();
    let in_flight = trackers
        .values()
        .map(|tracker| tracker.in_flight_count())
        .sum();
    let slow_start = trackers
        .values()
        .map(|tracker| tracker.slow_start_count())
        .sum();
    vec![
        ("endpoints", trackers.len()),
        ("endpoints.in_flight", in_flight),
        ("endpoints.slow_start_attempts", slow_start),
        ("endpoint_capacities", endpoints.capacities),
        ("pool_members", endpoints.pool_members),
        ("shards", endpoints.shards),
        ("endpoint_choices", endpoints.choices),
        ("unready_destinations", endpoints.unready_destinations),
        ("sparse_traffic.in_flight", limits.sparse_in_flight),
        ("open_requests", state.requests.len()),
        ("wait_queues", state.queues.len()),
        ("queue_timers", state.queues.timer_count()),
        ("object_orders", state.requests.object_count()),
        ("volumes", state.volumes.len()),
        ("volumes.loans", state.volumes.hold_count()),
        ("volumes.peers", state.volumes.peer_count()),
        ("volume_users", state.directory.user_count()),
        ("longest_timeouts", state.objectives.class_count()),
        ("arrivals", limits.arrivals),
        ("retries_sent", limits.retries),
    ]
}
