//! How many entries each collection of a host has, to find one that grows without bound. Nothing is decided
//! by these figures.

use super::Core;
use super::connection_table::{Connection, PeerKind};

impl Core {
    /// The length of each collection in entries, by name, those of the scheduler included.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let waiting_reports = |connection: &Connection| {
            if let PeerKind::IncomingPeer(peer) = &connection.peer_kind {
                peer.waiting.len()
            } else {
                0
            }
        };
        let requests = self.requests.size_metrics();
        let (line, sent) = self.config_change.transition.size_metrics();
        let mut all = self.scheduler.size_metrics();
        all.extend([
            ("core.links", self.connections.open.len()),
            (
                "core.labels_wait",
                self.connections.open.values().map(waiting_reports).sum(),
            ),
            ("core.nodes", self.nodes.iter().count()),
            (
                "core.starts",
                self.nodes.iter().map(|(_, node)| node.starts()).sum(),
            ),
            (
                "core.pending",
                self.nodes.iter().map(|(_, node)| node.pending.len()).sum(),
            ),
            ("core.peers", self.peers.len()),
            (
                "core.peers_wait",
                self.peers.values().map(|peer| peer.waiting.len()).sum(),
            ),
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
}
