//! How many entries each collection of a host has, to find one that grows without bound. Nothing is decided
//! by these figures.

use super::Core;
use super::connection_table::{Connection, PeerKind};
use super::nodes::NodeRecord;

impl Core {
    /// The length of each collection in entries, by name, those of the scheduler included.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let requests = self.requests.size_metrics();
        let (line, sent) = self.config_change.transition.size_metrics();
        let mut all = self.scheduler.size_metrics();
        all.extend(self.connection_sizes());
        all.extend([
            ("core.open", requests.open),
            ("core.named", requests.client_ids),
            ("core.legs", requests.attempts),
            ("core.timers", self.timers.pending()),
            ("core.account", self.zone_traffic.ledger.kept()),
            ("core.breaches", self.zone_traffic.overruns.kept()),
            ("limits.line", line),
            ("limits.told", sent),
        ]);
        all
    }

    /// The lengths of the collections that belong to connections, nodes and peers.
    fn connection_sizes(&self) -> [(&'static str, usize); 7] {
        let connections = &self.connections.open;
        let reports = connections.values().map(waiting_reports).sum();
        let nodes = || self.nodes.iter().map(|(_, node)| node);
        let frames = self.peers.values().map(|peer| peer.waiting.len()).sum();
        [
            ("core.links", connections.len()),
            ("core.labels_wait", reports),
            ("core.nodes", nodes().count()),
            ("core.starts", nodes().map(NodeRecord::starts).sum()),
            ("core.pending", nodes().map(|node| node.pending.len()).sum()),
            ("core.peers", self.peers.len()),
            ("core.peers_wait", frames),
        ]
    }
}

/// Demand reports of a peer that wait for its clock.
fn waiting_reports(connection: &Connection) -> usize {
    match &connection.peer_kind {
        PeerKind::IncomingPeer(peer) => peer.waiting.len(),
        _ => 0,
    }
}
