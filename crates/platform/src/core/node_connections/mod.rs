//! Connections to nodes: one message at a time on each, kept while they are of use; the one used last is
//! taken first, so that the others age out. None is opened ahead of an attempt.
//!
//! This file holds the pool; `connecting` opens, assigns and closes connections, `responses` handles what is
//! received on them, `liveness` the signs that a node's process was not restarted. The pool never chooses a
//! node.

mod connecting;
mod liveness;
mod responses;

use super::attempt_key::AttemptKey;
use super::io::ConnectionId;
use gullsail_http::Decoder;
use gullsail_scheduler_api::{Endpoint, EndpointState, Instant, NodeId, ZoneId};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    Connecting,
    Idle,
    Busy(AttemptKey),
}

#[derive(Debug)]
struct NodeConnection {
    node: NodeId,
    state: ConnectionState,
    established_at: Instant,
    /// The last time at which it became idle.
    idle_since: Instant,
    /// Bytes received and handled: an order to send holds only while the connection's task has read no more.
    bytes_received: u64,
    /// Something was received before the message that it carries was written.
    early_input: bool,
    /// Not to be reused: its node's address has changed, or the node is not ready any more.
    stale: bool,
    decoder: Decoder,
}

/// A node as discovery lists it, with the address to connect to.
#[derive(Clone, Debug)]
pub(super) struct ListedNode {
    pub(super) endpoint: Endpoint,
    pub(super) address: String,
}

/// A connection was lost with an attempt in flight, and nothing has shown yet that the process runs on.
#[derive(Clone, Copy, Debug)]
struct UnexplainedLoss {
    at: Instant,
    /// The last sign of life before it.
    last_alive: Option<Instant>,
}

#[derive(Debug)]
struct Node {
    listed: ListedNode,
    /// The one used last at the end.
    idle: Vec<ConnectionId>,
    waiting: VecDeque<AttemptKey>,
    /// How many connections are being made.
    connecting: usize,
    /// The last sign of life: a connection was established, or a response came.
    last_alive: Option<Instant>,
    unexplained_loss: Option<UnexplainedLoss>,
}

impl Node {
    fn new(listed: ListedNode) -> Node {
        Node {
            listed,
            idle: Vec::new(),
            waiting: VecDeque::new(),
            connecting: 0,
            last_alive: None,
            unexplained_loss: None,
        }
    }

    fn is_ready(&self) -> bool {
        self.listed.endpoint.state == EndpointState::Ready
    }

    /// More attempts wait than connections are being made.
    fn needs_connection(&self) -> bool {
        self.connecting < self.waiting.len()
    }
}

#[derive(Debug)]
pub(super) struct NodeConnections {
    nodes: BTreeMap<NodeId, Node>,
    connections: BTreeMap<ConnectionId, NodeConnection>,
    max_connections: usize,
}

impl NodeConnections {
    pub(super) fn new(max_connections: usize) -> NodeConnections {
        NodeConnections {
            nodes: BTreeMap::new(),
            connections: BTreeMap::new(),
            max_connections,
        }
    }

    /// How many connections there are, to all nodes.
    pub(super) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// When the node's process started, as discovery says.
    pub(super) fn started(&self, node: NodeId) -> Option<Instant> {
        self.nodes.get(&node)?.listed.endpoint.started
    }

    pub(super) fn listed(&self, node: NodeId) -> Option<&ListedNode> {
        self.nodes.get(&node).map(|n| &n.listed)
    }

    pub(super) fn zone(&self, node: NodeId) -> ZoneId {
        self.nodes
            .get(&node)
            .map_or(ZoneId::default(), |n| n.listed.endpoint.zone)
    }

    pub(super) fn is_ready(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(Node::is_ready)
    }

    pub(super) fn known_nodes(&self) -> impl Iterator<Item = NodeId> {
        self.nodes.keys().copied()
    }

    /// The connection carries an attempt from now on. Returns how many bytes were received on it so far.
    pub(super) fn mark_busy(&mut self, conn: ConnectionId, key: AttemptKey) -> u64 {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return 0;
        };
        connection.state = ConnectionState::Busy(key);
        connection.bytes_received
    }

    /// Says whether a connection to the node was being made.
    pub(super) fn stop_waiting(&mut self, node: NodeId, key: AttemptKey) -> bool {
        let Some(n) = self.nodes.get_mut(&node) else {
            return false;
        };
        n.waiting.retain(|waiting| *waiting != key);
        n.connecting > 0
    }

    /// Takes a connection out of the pool, whatever its state.
    fn remove(&mut self, conn: ConnectionId) -> Option<NodeConnection> {
        let connection = self.connections.remove(&conn)?;
        if let Some(n) = self.nodes.get_mut(&connection.node) {
            n.idle.retain(|idle| *idle != conn);
            n.connecting -= usize::from(connection.state == ConnectionState::Connecting);
        }
        Some(connection)
    }

    fn longest_idle(&self) -> Option<ConnectionId> {
        let idle = self
            .connections
            .iter()
            .filter(|(_, c)| c.state == ConnectionState::Idle);
        idle.min_by_key(|(_, c)| c.idle_since).map(|(id, _)| *id)
    }

    /// Forgets a node that is gone and has neither connections nor waiting attempts.
    fn forget_if_gone(&mut self, node: NodeId) {
        let Some(n) = self.nodes.get(&node) else {
            return;
        };
        let in_use = !n.waiting.is_empty() || self.connections.values().any(|c| c.node == node);
        if n.listed.endpoint.state == EndpointState::Gone && !in_use {
            self.nodes.remove(&node);
        }
    }
}
