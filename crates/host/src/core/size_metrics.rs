//! How much a host holds, for whoever watches it over days: nothing is decided by it.

use super::Core;
use super::connection_table::{Link, PeerKind};

impl Core {
    /// The length of each collection in entries, by name, those of the scheduler included.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let waits = |l: &Link| {
            if let PeerKind::IncomingPeer(peer) = &l.peer_kind {
                peer.waiting.len()
            } else {
                0
            }
        };
        let requests = self.requests.size_metrics();
        let (line, sent) = self.config_transition.size_metrics();
        let mut all = self.scheduler.size_metrics();
        all.extend([
            ("core.links", self.links.len()),
            ("core.labels_wait", self.links.values().map(waits).sum()),
            ("core.nodes", self.nodes.iter().count()),
            (
                "core.starts",
                self.nodes.iter().map(|(_, n)| n.starts()).sum(),
            ),
            (
                "core.pending",
                self.nodes.iter().map(|(_, n)| n.pending.len()).sum(),
            ),
            ("core.peers", self.peers.len()),
            (
                "core.peers_wait",
                self.peers.values().map(|p| p.waiting.len()).sum(),
            ),
            ("core.open", requests.open),
            ("core.named", requests.named),
            ("core.legs", requests.attempts),
            ("core.timers", self.timers.pending()),
            ("core.account", self.ledger.kept()),
            ("core.breaches", self.overruns.kept()),
            ("limits.line", line),
            ("limits.told", sent),
        ]);
        all
    }
}
