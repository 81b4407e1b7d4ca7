//! How much the decisions hold, for whoever watches them over days: nothing is decided by it.

use super::Scheduler;

impl Scheduler {
    /// The length of each collection, by name; what stands within others is summed. Unit: entries.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let trackers = self.trackers.values();
        let (requests, endpoints) = (&self.requests.requests, &self.requests.endpoints);
        let (queues, attempts) = (&self.requests.queues, &self.requests.attempts);
        let table = &self.requests.volumes;
        let volumes = table.by_id.values();
        vec![
            ("brain.nodes", self.trackers.len()),
            (
                "nodes.out",
                trackers
                    .clone()
                    .map(|tracker| tracker.in_flight.len())
                    .sum(),
            ),
            (
                "nodes.cold_sent",
                trackers
                    .map(|tracker| tracker.slow_start_attempts.len())
                    .sum(),
            ),
            ("desk.rooms", endpoints.capacities.len()),
            ("desk.ready", endpoints.by_pool.values().map(Vec::len).sum()),
            ("desk.cells", endpoints.by_shard.len()),
            ("desk.drawn", endpoints.drawn.len()),
            ("desk.left", endpoints.last_unavailable.len()),
            (
                "desk.seldom",
                attempts
                    .sparse_windows
                    .values()
                    .map(|window| window.in_flight.len())
                    .sum(),
            ),
            ("desk.xfers", requests.open.len()),
            ("desk.lines", queues.by_key.len()),
            ("desk.beats", queues.timers.len()),
            ("desk.turns", requests.object_orders.len()),
            ("desk.volumes", table.by_id.len()),
            (
                "volumes.lent",
                volumes
                    .clone()
                    .map(|volume| volume.bucket.loans.len())
                    .sum(),
            ),
            (
                "volumes.peers",
                volumes.map(|volume| volume.peers.reports.len()).sum(),
            ),
            (
                "desk.users",
                table.users.values().map(|users| users.len()).sum(),
            ),
            (
                "desk.longest_ttl",
                self.requests.admission.longest_timeouts.len(),
            ),
            ("desk.accepted", attempts.accepted.len()),
            ("desk.resent", attempts.retries_sent.len()),
        ]
    }
}
