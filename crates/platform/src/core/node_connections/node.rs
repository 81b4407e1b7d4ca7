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

/// An attempt that waits for a connection to its node.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingAttempt {
    pub(super) key: AttemptKey,
    pub(super) since: Instant,
}

#[derive(Debug)]
pub(super) struct Node {
    pub(super) listed: ListedNode,
    /// Idle connections to the node. The one used most recently is last.
    pub(super) idle: Vec<ConnectionId>,
    /// Attempts that wait for a connection to the node, in order of arrival.
    pub(super) waiting: VecDeque<WaitingAttempt>,
    /// The timer that gives idle connections to waiting attempts is set.
    pub(super) reuse_scheduled: bool,
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
            reuse_scheduled: false,
            connecting: 0,
            last_alive: None,
            unexplained_loss: None,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.listed.endpoint.state == EndpointState::Ready
    }

    /// Since when the first attempt waits that none of the connections being established can serve. `None`: they suffice.
    pub(super) fn first_not_connecting(&self) -> Option<Instant> {
        self.waiting_since(self.connecting)
    }

    /// Since when the first attempt waits that neither a connection being established nor an idle one can serve, once it
    /// may be reused. `None`: they suffice.
    pub(super) fn first_unserved(&self) -> Option<Instant> {
        self.waiting_since(self.connecting + self.idle.len())
    }

    /// Since when the last attempt waits that these connections can serve. `None`: there is a spare connection.
    pub(super) fn last_served(&self) -> Option<Instant> {
        let connections = self.connecting + self.idle.len();
        self.waiting_since(connections.checked_sub(1)?)
    }

    /// Whether there are more idle connections than attempts that wait for one.
    pub(super) fn has_spare_connection(&self) -> bool {
        self.idle.len() > self.waiting.len()
    }

    fn waiting_since(&self, index: usize) -> Option<Instant> {
        self.waiting.get(index).map(|attempt| attempt.since)
    }
}
