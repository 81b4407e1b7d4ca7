//! Back-pressure to clients: when their connections are read, and when they have to wait. Called at the end
//! of each [`Core::advance`], and when a connection's queue changes.

use super::Core;
use super::connection_table::PeerKind;
use super::input_output::{LinkId, Output};

impl Core {
    /// Clients wait while this host holds all it may; each waits while its own answers pile up.
    pub(super) fn update_back_pressure(&mut self) {
        let b = &self.deployment.bounds;
        let held = self.requests.held() + self.unsent;
        self.counts.most_open = self.counts.most_open.max(self.requests.open() as u64);
        self.counts.most_held = self.counts.most_held.max(held as u64);
        let full = self.requests.open() >= b.most_open as usize || held >= b.most_held;
        // Some room first, so that reading does not go on and off with each frame.
        let roomy = self.requests.open() < b.most_open as usize / 10 * 9 + 1
            && held < b.most_held / 10 * 9 + 1;
        if full != self.at_capacity && (full || roomy) {
            self.at_capacity = full;
            self.counts.held_back += u64::from(full);
            let clients = self
                .links
                .iter()
                .filter(|(_, l)| matches!(l.peer_kind, PeerKind::Client));
            for link in clients.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.update_reading(link);
            }
        }
    }

    pub(super) fn update_reading(&mut self, id: LinkId) {
        let most = self.deployment.bounds.most_unsent;
        let Some(link) = self
            .links
            .get_mut(&id)
            .filter(|l| matches!(l.peer_kind, PeerKind::Client))
        else {
            return;
        };
        let on = !self.at_capacity && link.unsent < most;
        if link.reading != on {
            link.reading = on;
            self.outputs.push(Output::Reading { link: id, on });
        }
    }
}
