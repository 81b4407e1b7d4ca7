//! Back pressure on clients: the host stops reading from all clients while it holds too many requests or bytes, and
//! from one client while too many bytes wait to be written to it. The host's load is checked at the end of each
//! [`Core::advance`], the unsent bytes of a client when an answer is queued for it or bytes were written to its
//! socket.

use super::Core;
use super::connection_table::RemoteKind;
use super::ids::ConnectionId;
use super::input_output::Output;

/// Reading resumes once the load is at most this many tenths of each bound. Without this hysteresis, reading
/// would stop and resume with each frame while the host is at its bound.
const RESUME_TENTHS: usize = 9;

/// Whether this host reads from clients at all.
#[derive(Debug, Default)]
pub(super) struct BackPressure {
    /// The host has reached a bound and reads from no client.
    pub(super) at_capacity: bool,
}

impl BackPressure {
    /// Updates the state. `full`: a bound is reached. `below_resume_threshold`: all amounts are low enough for reading
    /// to resume. Returns whether the state changed.
    fn update(&mut self, full: bool, below_resume_threshold: bool) -> bool {
        let changed = full != self.at_capacity && (full || below_resume_threshold);
        if changed {
            self.at_capacity = full;
        }
        changed
    }
}

impl Core {
    /// Stops reading from all clients if this host has reached the bound of its open requests or of the bytes that it
    /// holds. Resumes once both are at most [`RESUME_TENTHS`] tenths of their bounds.
    pub(super) fn update_back_pressure(&mut self) {
        let bounds = &self.deployment.bounds;
        let max_open = bounds.most_open as usize;
        let max_held = bounds.most_held;
        let open = self.requests.open();
        let held = self.requests.body_bytes() + self.connections.unsent_bytes;
        self.counts.most_open = self.counts.most_open.max(open as u64);
        self.counts.most_held = self.counts.most_held.max(held as u64);
        let full = open >= max_open || held >= max_held;
        let below_resume_threshold =
            open < max_open / 10 * RESUME_TENTHS + 1 && held < max_held / 10 * RESUME_TENTHS + 1;
        if !self.back_pressure.update(full, below_resume_threshold) {
            return;
        }
        self.counts.back_pressure_events += u64::from(full);
        for client in self.connections.clients() {
            self.update_reading(client);
        }
    }

    /// Starts or stops reading from a client. It is read from unless the host is at capacity or too many bytes wait to
    /// be written to this client.
    pub(super) fn update_reading(&mut self, id: ConnectionId) {
        let max_unsent = self.deployment.bounds.most_unsent;
        let at_capacity = self.back_pressure.at_capacity;
        let Some(connection) = self.connections.open.get_mut(&id) else {
            return;
        };
        if !matches!(connection.remote_kind, RemoteKind::Client) {
            return;
        }
        let on = !at_capacity && connection.unsent_bytes < max_unsent;
        if connection.reading != on {
            connection.reading = on;
            self.outputs.push(Output::Reading { link: id, on });
        }
    }
}
