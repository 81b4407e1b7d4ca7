//! The state of one connection to a node.

use super::super::attempt_key::AttemptKey;
use super::super::bounds::BOUNDS;
use gullsail_http::Decoder;
use gullsail_scheduler_api::{Instant, NodeId, Span};

/// For how long a connection carries no attempt after a response. A node may send its response a second time, some
/// milliseconds later, and nothing in a response names its request: a copy that is received after the next message was
/// written is taken for the response to that message. A copy that is received before closes the connection.
///
/// The delay costs connections where a node gets more than one attempt from this host within it.
const REUSE_DELAY: Span = Span::from_micros(25_000);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    Connecting,
    Idle,
    /// This attempt uses the connection, from the order to write its message until its response or its timeout.
    Busy(AttemptKey),
}

#[derive(Debug)]
pub(super) struct NodeConnection {
    pub(super) node: NodeId,
    pub(super) state: ConnectionState,
    /// When the connection was established; before that, when it was created.
    pub(super) established_at: Instant,
    /// When the connection last became idle; before that, when it was created.
    pub(super) idle_since: Instant,
    /// When the connection may carry the next attempt.
    pub(super) reusable_at: Instant,
    /// How many received bytes the core has handled. An order to send states this number; nothing is sent if the
    /// connection's task has read more.
    pub(super) bytes_received: u64,
    /// The node sent bytes before the message of the present attempt was written.
    pub(super) early_input: bool,
    /// The connection must not be reused: the node's address has changed, or the node is not ready any more.
    pub(super) stale: bool,
    pub(super) decoder: Decoder,
}

impl NodeConnection {
    pub(super) fn new(node: NodeId, now: Instant) -> NodeConnection {
        NodeConnection {
            node,
            state: ConnectionState::Connecting,
            established_at: now,
            idle_since: now,
            reusable_at: now,
            bytes_received: 0,
            early_input: false,
            stale: false,
            decoder: Decoder::responses(BOUNDS),
        }
    }

    /// Records that the connection is established.
    pub(super) fn mark_established(&mut self, now: Instant) {
        self.state = ConnectionState::Idle;
        self.established_at = now;
        self.idle_since = now;
        self.reusable_at = now;
    }

    /// Records that the response to the connection's attempt was received.
    pub(super) fn mark_answered(&mut self, now: Instant) {
        self.state = ConnectionState::Idle;
        self.idle_since = now;
        self.reusable_at = now + REUSE_DELAY;
    }

    pub(super) fn is_busy(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_))
    }
}
