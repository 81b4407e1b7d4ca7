//! The state of one node.

use super::super::attempt_key::AttemptKey;
use super::super::io::ConnectionId;
use gullsail_scheduler_api::{Endpoint, EndpointState, Instant};
use std::collections::VecDeque;

/// A node as discovery lists it.
#[derive(Clone, Debug)]
pub(in super::super) struct ListedNode {
    pub(in super::super) endpoint: Endpoint,
    /// IP address and port to connect to.
    pub(in super::super) address: String,
}

/// The loss of a connection with an attempt in flight, for which a restart of the node's process is not ruled out yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnexplainedLoss {
    pub(super) lost_at: Instant,
    /// The last sign of life before the loss. `None` if there was none.
    pub(super) last_alive: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Node {
    pub(super) listed: ListedNode,
    /// Idle connections to the node. The one used most recently is last.
    pub(super) idle: Vec<ConnectionId>,
    /// Attempts that wait for a connection to the node, in order of arrival.
    pub(super) waiting: VecDeque<AttemptKey>,
    /// The number of connections to the node that are being established.
    pub(super) connecting: usize,
    /// When a connection to the node was established or a response was received last. `None` if never.
    pub(super) last_alive: Option<Instant>,
    /// `None` if no connection was lost, or a restart was ruled out or reported since then.
    pub(super) unexplained_loss: Option<UnexplainedLoss>,
}

impl Node {
    pub(super) fn new(listed: ListedNode) -> Node {
        Node {
            listed,
            idle: Vec::new(),
            waiting: VecDeque::new(),
            connecting: 0,
            last_alive: None,
            unexplained_loss: None,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.listed.endpoint.state == EndpointState::Ready
    }

    /// Whether more attempts wait for a connection than connections are being established.
    pub(super) fn needs_connection(&self) -> bool {
        self.connecting < self.waiting.len()
    }
}
