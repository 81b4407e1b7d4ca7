//! How much the decisions hold, for whoever watches them over days: nothing is decided by it.

use super::Scheduler;

impl Scheduler {
    /// The length of each collection, by name; what stands within others is summed. Unit: entries.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let (d, nodes) = (&self.desk, self.nodes.values());
        let volumes = d.volumes.values();
        vec![
            ("brain.nodes", self.nodes.len()),
            ("nodes.out", nodes.clone().map(|n| n.out.len()).sum()),
            ("nodes.cold_sent", nodes.map(|n| n.cold_sent.len()).sum()),
            ("desk.rooms", d.rooms.len()),
            ("desk.ready", d.ready.values().map(Vec::len).sum()),
            ("desk.cells", d.shards.len()),
            ("desk.drawn", d.drawn.len()),
            ("desk.left", d.left.len()),
            ("desk.seldom", d.seldom.values().map(|s| s.out.len()).sum()),
            ("desk.xfers", d.requests.len()),
            ("desk.lines", d.lines.len()),
            ("desk.beats", d.beats.len()),
            ("desk.turns", d.turns.len()),
            ("desk.volumes", d.volumes.len()),
            ("volumes.lent", volumes.clone().map(|v| v.lent.len()).sum()),
            ("volumes.peers", volumes.map(|v| v.peers.len()).sum()),
            ("desk.users", d.users.values().map(|u| u.len()).sum()),
            ("desk.longest_ttl", d.longest_timeout.len()),
            ("desk.accepted", d.accepted.len()),
            ("desk.resent", d.resent.len()),
        ]
    }
}
