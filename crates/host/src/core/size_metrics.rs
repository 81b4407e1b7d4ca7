//! How much a host holds, for whoever watches it over days: nothing is decided by it.

use super::*;

impl Core {
    /// The length of each collection, by name, those of the decisions included. Unit: entries.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let waits = |l: &Link| if let Who::PeerIn { waiting, .. } = &l.who { waiting.len() } else { 0 };
        let (open, named, attempts) = self.requests.size_metrics();
        let (line, told) = self.config_transition.size_metrics();
        let mut all = self.scheduler.size_metrics();
        all.extend([
            ("core.links", self.links.len()),
            ("core.labels_wait", self.links.values().map(waits).sum()),
            ("core.nodes", self.nodes.iter().count()),
            ("core.starts", self.nodes.iter().map(|(_, n)| n.starts()).sum()),
            ("core.pending", self.nodes.iter().map(|(_, n)| n.pending.len()).sum()),
            ("core.peers", self.peers.len()),
            ("core.peers_wait", self.peers.values().map(|p| p.waiting.len()).sum()),
            ("core.open", open),
            ("core.named", named),
            ("core.legs", attempts),
            ("core.timers", self.due.pending()),
            ("core.account", self.account.kept()),
            ("core.breaches", self.breaches.kept()),
            ("limits.line", line),
            ("limits.told", told),
        ]);
        all
    }
}
