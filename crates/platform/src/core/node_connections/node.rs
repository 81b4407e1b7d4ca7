//! What the host knows of one node.

use super::super::attempt_key::AttemptKey;
use super::super::io::ConnectionId;
use gullsail_scheduler_api::{Endpoint, EndpointState, Instant};
use std::collections::VecDeque;

/// A node as discovery lists it, with the address to connect to.
#[derive(Clone, Debug)]
pub(in super::super) struct ListedNode {
    pub(in super::super) endpoint: Endpoint,
    pub(in super::super) address: String,
}

/// A connection was lost with an attempt in flight, and nothing has shown yet that the process was not restarted.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnexplainedLoss {
    pub(super) at: Instant,
    /// The last sign of life before the loss.
    pub(super) last_alive: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Node {
    pub(super) listed: ListedNode,
    /// Idle connections, the one used last at the end.
    pub(super) idle: Vec<ConnectionId>,
    /// Attempts that wait for a connection, in order of arrival.
    pub(super) waiting: VecDeque<AttemptKey>,
    /// How many connections are being established.
    pub(super) connecting: usize,
    /// The last sign of life: a connection was established, or a response was received.
    pub(super) last_alive: Option<Instant>,
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

    /// More attempts wait than connections are being established.
    pub(super) fn needs_connection(&self) -> bool {
        self.connecting < self.waiting.len()
    }
}
