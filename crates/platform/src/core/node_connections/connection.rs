//! The state of one connection to a node.

use super::super::attempt_key::AttemptKey;
use super::super::bounds::BOUNDS;
use gullsail_http::Decoder;
use gullsail_scheduler_api::{Instant, NodeId};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    Connecting,
    Idle,
    /// It carries this attempt.
    Busy(AttemptKey),
}

#[derive(Debug)]
pub(super) struct NodeConnection {
    pub(super) node: NodeId,
    pub(super) state: ConnectionState,
    pub(super) established_at: Instant,
    /// When it last became idle.
    pub(super) idle_since: Instant,
    /// Bytes received and handled. An order to send names them; it has no effect if the connection's task has
    /// read more.
    pub(super) bytes_received: u64,
    /// Something was received before the message that it carries was written.
    pub(super) early_input: bool,
    /// It must not be reused: its node's address has changed, or the node is not ready any more.
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
            bytes_received: 0,
            early_input: false,
            stale: false,
            decoder: Decoder::responses(BOUNDS),
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_))
    }
}
