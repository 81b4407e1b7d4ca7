//! How much the decisions hold, for whoever watches them over days: nothing is decided by it.

use super::Scheduler;

impl Scheduler {
    /// The length of each collection, by name; what stands within others is summed. Unit: entries.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let trackers = self.trackers.values();
        let requests = &self.requests.requests;
        let endpoints = self.requests.endpoints.sizes();
        let (queues, attempts) = (&self.requests.queues, &self.requests.attempts);
        let table = &self.requests.volumes;
        let directory = &self.requests.directory;
        vec![
            ("brain.nodes", self.trackers.len()),
            (
                "nodes.out",
                trackers
                    .clone()
                    .map(|tracker| tracker.in_flight_count())
                    .sum(),
            ),
            (
                "nodes.cold_sent",
                trackers.map(|tracker| tracker.slow_start_count()).sum(),
            ),
            ("desk.rooms", endpoints.capacities),
            ("desk.ready", endpoints.pool_members),
            ("desk.cells", endpoints.shards),
            ("desk.drawn", endpoints.choices),
            ("desk.left", endpoints.unready_destinations),
            ("desk.seldom", attempts.sparse_windows.in_flight_count()),
            ("desk.xfers", requests.open.len()),
            ("desk.lines", queues.by_key.len()),
            ("desk.beats", queues.timers.len()),
            ("desk.turns", requests.object_orders.len()),
            ("desk.volumes", table.len()),
            ("volumes.lent", table.hold_count()),
            ("volumes.peers", table.peer_count()),
            ("desk.users", directory.user_count()),
            (
                "desk.longest_ttl",
                self.requests.admission.longest_timeouts.len(),
            ),
            ("desk.accepted", attempts.accepted.len()),
            ("desk.resent", attempts.retries_sent.len()),
        ]
    }
}
