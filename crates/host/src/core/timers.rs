//! What each timer of the core is for, and what happens when it fires.

use super::Core;
use super::connection_table::{Connection, PeerKind};
use super::input_output::LinkId;
use super::reconnect::ConnectionState;
use super::requests::AttemptId;
use gullsail_scheduler_api::{Event, HostId, Instant, NodeId, Span, TimerId};
use tracing::warn;

/// Time between two sweeps: 1 s. A sweep visits all connections and nodes, so a shorter interval costs time; a
/// longer one closes stalled connections that much later than `client-stall`.
pub(super) const SWEEP_INTERVAL: Span = Span::from_micros(1_000_000);

/// What is due when a timer fires. Timers cannot be cancelled: whoever handles one checks whether there is
/// still anything to do.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerKind {
    /// A timer of the scheduler.
    Scheduler(TimerId),
    /// An attempt has waited long enough for its connection, or for its answer.
    Attempt(AttemptId),
    /// A connection, its first frame, or the endpoint list's reply may have taken too long.
    ResponseDeadline(LinkId),
    /// This host may try again to connect to the node.
    ReconnectNode(NodeId),
    /// This host may try again to connect to the peer.
    ReconnectPeer(HostId),
    /// Peers are asked for their clocks.
    ClockQueries,
    /// Stalled connections are closed, and nodes that are long gone are forgotten.
    Sweep,
    /// Only wakes the host, for the fleet, a slow-start share that rises, servers that drain, or a pending
    /// operator command: [`Core::advance`] advances the fleet in each step.
    Fleet,
    /// Peers are sent the revisions that hosts hold.
    RevisionRound,
}

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
        if matches!(record.connection.state, ConnectionState::Waiting(_)) {
            record.connection.state = ConnectionState::Idle;
            self.connect_nodes();
        }
    }

    fn reconnect_peer(&mut self, host: HostId) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        if matches!(peer.connection.state, ConnectionState::Waiting(_)) {
            peer.connection.state = ConnectionState::Idle;
        }
    }

    fn query_clocks(&mut self) {
        let is_incoming_peer =
            |connection: &Connection| matches!(connection.peer_kind, PeerKind::IncomingPeer(_));
        for peer in self.connections.ids_where(is_incoming_peer) {
            self.query_clock(peer);
        }
        let next = self.now + self.deployment.bounds.clock_every;
        self.set_timer(next, TimerKind::ClockQueries);
    }

    fn sweep(&mut self) {
        self.close_stalled_connections();
        self.nodes.forget(self.now);
        self.set_timer(self.now + SWEEP_INTERVAL, TimerKind::Sweep);
    }

    /// Closes connections whose other side has read nothing for `client-stall` although bytes wait for it.
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
                    role = connection.peer_kind.role(),
                    pending_bytes = connection.unsent_bytes,
                    stalled_ms = (now - connection.no_progress_since).millis(),
                    "connection closed: peer stopped reading"
                );
            }
            self.close_connection(id, "peer stopped reading");
        }
    }
}
