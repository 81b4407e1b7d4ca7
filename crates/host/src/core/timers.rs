//! What happens when a timer of the core fires.

use super::Core;
use super::connection_table::{Connection, RemoteKind};
use super::reconnect::ConnectionState;
use super::timer_kind::TimerKind;
use gullsail_scheduler_api::{Event, HostId, Instant, NodeId, Span};
use tracing::warn;

/// Time between two sweeps: 1 s. A sweep visits all connections and nodes, so a shorter interval costs CPU time.
/// A stalled connection is closed up to one interval later than `client-stall`.
pub(super) const SWEEP_INTERVAL: Span = Span::from_micros(1_000_000);

impl Core {
    pub(super) fn set_timer(&mut self, at: Instant, timer: TimerKind) {
        self.timers.set(at, timer);
    }

    pub(super) fn on_timer(&mut self, timer: TimerKind) {
        match timer {
            TimerKind::Scheduler(id) => self.events.push(Event::Timer(id)),
            TimerKind::Attempt(attempt) => self.on_attempt_deadline(attempt),
            TimerKind::ResponseDeadline(link) => self.on_response_deadline(link),
            TimerKind::ReconnectNode(node) => self.reconnect_node(node),
            TimerKind::ReconnectPeer(host) => self.reconnect_peer(host),
            TimerKind::RevisionRound => self.revision_round(),
            // Each step advances the fleet anyway.
            TimerKind::Fleet => {}
            TimerKind::ClockQueries => self.query_clocks(),
            TimerKind::Sweep => self.sweep(),
        }
    }

    fn reconnect_node(&mut self, node: NodeId) {
        let Some(record) = self.nodes.get(node) else {
            return;
        };
        if matches!(record.connection.state, ConnectionState::BackingOff(_)) {
            record.connection.state = ConnectionState::Idle;
            self.connect_nodes();
        }
    }

    fn reconnect_peer(&mut self, host: HostId) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        if matches!(peer.connection.state, ConnectionState::BackingOff(_)) {
            peer.connection.state = ConnectionState::Idle;
        }
    }

    fn query_clocks(&mut self) {
        let is_incoming_peer =
            |connection: &Connection| matches!(connection.remote_kind, RemoteKind::IncomingPeer(_));
        for peer in self.connections.ids_where(is_incoming_peer) {
            self.query_clock(peer);
        }
        let next = self.now + self.deployment.bounds.clock_every;
        self.set_timer(next, TimerKind::ClockQueries);
    }

    fn sweep(&mut self) {
        self.close_stalled_connections();
        self.nodes.forget_gone(self.now);
        self.set_timer(self.now + SWEEP_INTERVAL, TimerKind::Sweep);
    }

    /// Closes connections that have unsent bytes and whose other side has read nothing for `client-stall`.
    fn close_stalled_connections(&mut self) {
        let max_stall = self.deployment.bounds.client_stall;
        let now = self.now;
        let is_stalled = |connection: &Connection| {
            connection.unsent_bytes > 0 && now - connection.no_progress_since > max_stall
        };
        for id in self.connections.ids_where(is_stalled) {
            if let Some(connection) = self.connections.open.get(&id) {
                warn!(
                    connection = id.0,
                    role = connection.remote_kind.role(),
                    pending_bytes = connection.unsent_bytes,
                    stalled_ms = (now - connection.no_progress_since).millis(),
                    "connection closed: peer stopped reading"
                );
            }
            self.close_connection(id, "peer stopped reading");
        }
    }
}
