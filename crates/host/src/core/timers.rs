//! What each timer of the core is for, and what is done when it fires.

use super::Core;
use super::connection_table::{Link, PeerKind};
use super::input_output::LinkId;
use super::nodes::NodeSide;
use super::peers::OutgoingPeer;
use super::reconnect::ConnectionState;
use super::requests::AttemptId;
use gullsail_scheduler_api::{Event, HostId, Instant, NodeId, Span, TimerId};
use tracing::warn;

/// Between searches for stalled connections and for nodes that are gone long since.
pub(super) const SWEEP_INTERVAL: Span = Span::from_micros(1_000_000);

/// What is due at the end of a timer. A timer is never cancelled: what it finds when it fires decides whether
/// there is anything to do.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerKind {
    /// A timer of the scheduler.
    Scheduler(TimerId),
    /// An attempt has waited long enough for its connection, or for its answer.
    Attempt(AttemptId),
    /// A connection, its first frame, or the endpoint list's reply may have taken too long.
    ResponseDeadline(LinkId),
    /// The next try to connect to a node.
    ReconnectNode(NodeId),
    /// The next try to connect to a peer may be made.
    ReconnectPeer(HostId),
    /// Peers are asked for their clocks.
    ClockQueries,
    /// Stalled connections are closed, and nodes that are gone are forgotten.
    Sweep,
    /// The fleet has something to do.
    Fleet,
    /// Peers are sent the revisions that hosts hold.
    RevisionRound,
}

impl Core {
    pub(super) fn at(&mut self, at: Instant, timer: TimerKind) {
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
            // Each step takes the fleet's turn anyway.
            TimerKind::Fleet => {}
            TimerKind::ClockQueries => self.query_clocks(),
            TimerKind::Sweep => self.sweep(),
        }
    }

    fn reconnect_node(&mut self, node: NodeId) {
        let waits = |n: &&mut NodeSide| matches!(n.connection.state, ConnectionState::Waiting(_));
        if let Some(n) = self.nodes.get(node).filter(waits) {
            n.connection.state = ConnectionState::Idle;
            self.connect_nodes();
        }
    }

    fn reconnect_peer(&mut self, host: HostId) {
        let waits =
            |p: &&mut OutgoingPeer| matches!(p.connection.state, ConnectionState::Waiting(_));
        if let Some(peer) = self.peers.get_mut(&host).filter(waits) {
            peer.connection.state = ConnectionState::Idle;
        }
    }

    fn query_clocks(&mut self) {
        let peers = self
            .links
            .iter()
            .filter(|(_, l)| matches!(l.peer_kind, PeerKind::IncomingPeer(_)));
        let peers: Vec<LinkId> = peers.map(|(id, _)| *id).collect();
        for link in peers {
            self.query_clock(link);
        }
        self.at(
            self.now + self.deployment.bounds.clock_every,
            TimerKind::ClockQueries,
        );
    }

    fn sweep(&mut self) {
        let patience = self.deployment.bounds.client_stall;
        let stalled = |l: &Link| l.unsent > 0 && self.now - l.no_progress_since > patience;
        let stalled = self.links.iter().filter(|(_, l)| stalled(l));
        let stalled: Vec<_> = stalled
            .map(|(id, l)| (*id, matches!(l.peer_kind, PeerKind::Client)))
            .collect();
        for (link, is_client) in stalled {
            if is_client {
                warn!(link = link.0, "client takes none of its answers: let go");
            } else {
                warn!(
                    link = link.0,
                    "the other side takes none of what is sent to it: let go"
                );
            }
            self.close_link(link, "takes none of what is sent to it");
        }
        self.nodes.forget(self.now);
        self.at(self.now + SWEEP_INTERVAL, TimerKind::Sweep);
    }
}
