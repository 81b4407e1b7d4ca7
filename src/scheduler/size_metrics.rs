//! The sizes of the scheduler's collections, for whoever watches a host over days. Nothing is decided by them.

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
        ("brain.nodes", trackers.len()),
        ("nodes.out", in_flight),
        ("nodes.cold_sent", slow_start),
        ("desk.rooms", endpoints.capacities),
        ("desk.ready", endpoints.pool_members),
        ("desk.cells", endpoints.shards),
        ("desk.drawn", endpoints.choices),
        ("desk.left", endpoints.unready_destinations),
        ("desk.seldom", limits.sparse_in_flight),
        ("desk.xfers", state.requests.len()),
        ("desk.lines", state.queues.len()),
        ("desk.beats", state.queues.timer_count()),
        ("desk.turns", state.requests.object_count()),
        ("desk.volumes", state.volumes.len()),
        ("volumes.lent", state.volumes.hold_count()),
        ("volumes.peers", state.volumes.peer_count()),
        ("desk.users", state.directory.user_count()),
        ("desk.longest_ttl", state.objectives.class_count()),
        ("desk.accepted", limits.arrivals),
        ("desk.resent", limits.retries),
    ]
}
