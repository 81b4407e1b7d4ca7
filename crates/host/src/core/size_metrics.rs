//! The number of entries in each collection of a host, to find one that grows without bound. No decision depends on
//! these numbers.

use super::Core;
use super::connection_table::{Connection, RemoteKind};
use super::nodes::NodeRecord;

impl Core {
    /// Returns the number of entries in each collection, by name, those of the scheduler included.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let requests = self.requests.size_metrics();
        let (revisions, allocations) = self.config_change.transition.size_metrics();
        let mut all = self.scheduler.size_metrics();
        all.extend(self.connection_sizes());
        all.extend([
            ("core.open", requests.open),
            ("core.named", requests.client_ids),
            ("core.legs", requests.attempts),
            ("core.timers", self.timers.pending()),
            ("core.account", self.zone_traffic.ledger.kept()),
            ("core.breaches", self.zone_traffic.overruns.kept()),
            ("limits.line", revisions),
            ("limits.told", allocations),
        ]);
        all
    }

    /// Returns the number of entries in each collection that belongs to connections, nodes or peers.
    fn connection_sizes(&self) -> [(&'static str, usize); 7] {
        let connections = &self.connections.open;
        let reports = connections.values().map(waiting_reports).sum();
        let nodes = || self.nodes.iter().map(|(_, node)| node);
        let frames = self.peers.values().map(|peer| peer.waiting.len()).sum();
        [
            ("core.links", connections.len()),
            ("core.labels_wait", reports),
            ("core.nodes", nodes().count()),
            ("core.starts", nodes().map(NodeRecord::start_count).sum()),
            ("core.pending", nodes().map(|node| node.pending.len()).sum()),
            ("core.peers", self.peers.len()),
            ("core.peers_wait", frames),
        ]
    }
}

/// Returns the number of a peer's demand reports that wait for the offset of its clock.
fn waiting_reports(connection: &Connection) -> usize {
    match &connection.remote_kind {
        RemoteKind::IncomingPeer(peer) => peer.waiting.len(),
        _ => 0,
    }
}
