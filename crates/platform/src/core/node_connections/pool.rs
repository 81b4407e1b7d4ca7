//! The pool of connections to nodes. It opens, reuses and closes them within the bound on descriptors.

use super::super::attempt_key::AttemptKey;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::super::settings::Settings;
use super::super::timer_event::TimerEvent;
use super::connection::{ConnectionState, NodeConnection};
use super::node::{ListedNode, Node};
use gullsail_scheduler_api::{EndpointState, Instant, NodeId, Span, ZoneId};
use std::collections::BTreeMap;

/// Idle connections are closed after this fraction of the keep-alive time after which nodes close them, so that an
/// attempt is rarely sent on a connection that its node is closing.
const IDLE_AGE_FRACTION: f64 = 0.8;

#[derive(Debug)]
pub(in super::super) struct NodeConnections {
    pub(super) nodes: BTreeMap<NodeId, Node>,
    pub(super) connections: BTreeMap<ConnectionId, NodeConnection>,
    /// Bound on the number of connections to all nodes.
    max_connections: usize,
    connect_timeout: Span,
    max_idle_age: Span,
    /// For how long a restarted node is in slow start. A loss that is older has no effect on the scheduler.
    pub(super) slow_start: Span,
}

impl NodeConnections {
    pub(in super::super) fn new(max_connections: usize, settings: &Settings) -> NodeConnections {
        NodeConnections {
            nodes: BTreeMap::new(),
            connections: BTreeMap::new(),
            max_connections,
            connect_timeout: settings.connection_settings.connect_timeout,
            max_idle_age: settings
                .connection_settings
                .node_idle_timeout
                .times(IDLE_AGE_FRACTION),
            slow_start: settings.config.slow_start.ramp,
        }
    }

    /// The number of connections to all nodes, including those that are being established.
    pub(in super::super) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    pub(in super::super) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// When the node's process started, as discovery reports it. `None` if the node or its start time is unknown.
    pub(in super::super) fn started(&self, node: NodeId) -> Option<Instant> {
        self.nodes.get(&node)?.listed.endpoint.started
    }

    pub(in super::super) fn listed(&self, node: NodeId) -> Option<&ListedNode> {
        self.nodes.get(&node).map(|node_state| &node_state.listed)
    }

    pub(in super::super) fn zone(&self, node: NodeId) -> ZoneId {
        self.nodes
            .get(&node)
            .map_or(ZoneId::default(), |node_state| {
                node_state.listed.endpoint.zone
            })
    }

    pub(in super::super) fn is_ready(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(Node::is_ready)
    }

    /// The nodes in the pool, including those that are gone but still have connections.
    pub(in super::super) fn node_ids(&self) -> impl Iterator<Item = NodeId> {
        self.nodes.keys().copied()
    }

    /// Marks the connection as used by the attempt. Returns how many bytes received on it the core has handled.
    pub(in super::super) fn mark_busy(&mut self, conn: ConnectionId, key: AttemptKey) -> u64 {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return 0;
        };
        connection.state = ConnectionState::Busy(key);
        connection.bytes_received
    }

    /// Queues an attempt for a connection to the node. Returns `false` if the node is not ready.
    pub(in super::super) fn queue_attempt(
        &mut self,
        node: NodeId,
        key: AttemptKey,
        context: &mut Context,
    ) -> bool {
        let Some(node_state) = self.nodes.get_mut(&node) else {
            return false;
        };
        if !node_state.is_ready() {
            return false;
        }
        node_state.waiting.push_back(key);
        context.set_timer(self.connect_timeout, TimerEvent::ConnectionWaitTimeout(key));
        self.connect_for_waiting(node, context);
        true
    }

    /// Removes the attempt from the queue of its node. Returns whether a connection to the node is being established.
    pub(in super::super) fn stop_waiting(&mut self, node: NodeId, key: AttemptKey) -> bool {
        let Some(node_state) = self.nodes.get_mut(&node) else {
            return false;
        };
        node_state.waiting.retain(|waiting| *waiting != key);
        node_state.connecting > 0
    }

    /// Takes the attempt that has waited longest for a connection to the node.
    pub(super) fn next_waiting(&mut self, node: NodeId) -> Option<AttemptKey> {
        self.nodes.get_mut(&node)?.waiting.pop_front()
    }

    /// Takes the idle connection to the node that was used most recently.
    pub(in super::super) fn take_idle(
        &mut self,
        node: NodeId,
        context: &mut Context,
    ) -> Option<ConnectionId> {
        let conn = self.nodes.get_mut(&node)?.idle.pop()?;
        if !self.connections.contains_key(&conn) {
            return None;
        }
        context.metrics.node_connections_reused += 1;
        Some(conn)
    }

    /// Keeps the connection for later attempts if its node is ready. Closes it otherwise.
    pub(super) fn make_idle_or_close(
        &mut self,
        conn: ConnectionId,
        node: NodeId,
        context: &mut Context,
    ) {
        match (self.connections.get_mut(&conn), self.nodes.get_mut(&node)) {
            (Some(connection), Some(node_state)) if node_state.is_ready() => {
                connection.state = ConnectionState::Idle;
                connection.idle_since = context.now;
                node_state.idle.push(conn);
            }
            _ => self.close(conn, context),
        }
    }

    /// Records that a connection is established. Returns its node, or `None` if the connection was not being
    /// established.
    pub(super) fn established(
        &mut self,
        conn: ConnectionId,
        context: &mut Context,
    ) -> Option<NodeId> {
        let now = context.now;
        let connection = self.connections.get_mut(&conn)?;
        if connection.state != ConnectionState::Connecting {
            return None;
        }
        connection.state = ConnectionState::Idle;
        connection.established_at = now;
        connection.idle_since = now;
        let node = connection.node;
        if let Some(node_state) = self.nodes.get_mut(&node) {
            node_state.connecting -= 1;
        }
        self.node_alive(node, now, None, context);
        Some(node)
    }

    /// Opens connections for the attempts that wait for the node. At the bound on descriptors, an idle connection to
    /// any node is closed for each new one.
    fn connect_for_waiting(&mut self, node: NodeId, context: &mut Context) {
        while self.nodes.get(&node).is_some_and(Node::needs_connection) {
            if self.connection_count() < self.max_connections {
                self.connect(node, context);
                continue;
            }
            let Some(idle) = self.longest_idle() else {
                return;
            };
            // `close` uses the descriptor for a waiting attempt, perhaps of this node, so the loop checks again.
            self.close(idle, context);
        }
    }

    fn connect(&mut self, node: NodeId, context: &mut Context) {
        let Some(node_state) = self.nodes.get_mut(&node) else {
            return;
        };
        node_state.connecting += 1;
        let address = node_state.listed.address.clone();
        let conn = context.next_connection_id();
        self.connections
            .insert(conn, NodeConnection::new(node, context.now));
        context.metrics.node_connections_opened += 1;
        context.outputs.push(Output::Connect { conn, address });
        context.set_timer(self.connect_timeout, TimerEvent::ConnectTimeout(conn));
        context.schedule_idle_check();
    }

    /// Connects again at once after a connection was lost, if a descriptor is free. A connection that is established in
    /// less time than a restart takes shows that the process still runs. The next attempt uses the connection.
    pub(super) fn reconnect(&mut self, node: NodeId, context: &mut Context) {
        let wanted = self
            .nodes
            .get(&node)
            .is_some_and(|node_state| node_state.is_ready() && node_state.connecting == 0);
        if wanted && self.connection_count() < self.max_connections {
            self.connect(node, context);
        }
    }

    /// Closes the connections to the node that carry no attempt. The others are closed after the response to their
    /// attempt.
    pub(super) fn retire_connections(&mut self, node: NodeId, context: &mut Context) {
        let unused: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.node == node && !connection.is_busy())
            .map(|(conn, _)| *conn)
            .collect();
        for conn in unused {
            self.close(conn, context);
        }
        for connection in self.connections.values_mut() {
            if connection.node == node {
                connection.stale = true;
            }
        }
    }

    /// Closes a connection in any state. Waiting attempts may use its descriptor.
    pub(in super::super) fn close(&mut self, conn: ConnectionId, context: &mut Context) {
        let Some(connection) = self.remove(conn) else {
            return;
        };
        context.outputs.push(Output::Close { conn });
        self.descriptor_freed(connection.node, context);
    }

    /// Closes connections that have been idle for the maximum idle age.
    pub(in super::super) fn close_aged(&mut self, context: &mut Context) {
        let now = context.now;
        let aged: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.state == ConnectionState::Idle
                    && now - connection.idle_since >= self.max_idle_age
            })
            .map(|(conn, _)| *conn)
            .collect();
        for conn in aged {
            self.close(conn, context);
        }
    }

    /// Removes a connection in any state from the pool. Returns `None` if it is not in the pool.
    pub(super) fn remove(&mut self, conn: ConnectionId) -> Option<NodeConnection> {
        let connection = self.connections.remove(&conn)?;
        if let Some(node_state) = self.nodes.get_mut(&connection.node) {
            node_state.idle.retain(|idle| *idle != conn);
            node_state.connecting -= usize::from(connection.state == ConnectionState::Connecting);
        }
        Some(connection)
    }

    /// Uses the descriptor of a connection that has ended for an attempt that waits for the same node, or else for
    /// another node.
    pub(super) fn descriptor_freed(&mut self, node: NodeId, context: &mut Context) {
        if self.nodes.get(&node).is_some_and(Node::needs_connection) {
            return self.connect_for_waiting(node, context);
        }
        let other = self
            .nodes
            .iter()
            .find(|(_, node_state)| node_state.needs_connection())
            .map(|(other, _)| *other);
        if let Some(other) = other {
            self.connect_for_waiting(other, context);
        }
        self.remove_if_gone(node);
    }

    /// The connection that has been idle for the longest time, to any node.
    fn longest_idle(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.state == ConnectionState::Idle)
            .min_by_key(|(_, connection)| connection.idle_since)
            .map(|(conn, _)| *conn)
    }

    /// Removes a node that is gone and has neither connections nor waiting attempts.
    pub(super) fn remove_if_gone(&mut self, node: NodeId) {
        let Some(node_state) = self.nodes.get(&node) else {
            return;
        };
        let has_connections = self
            .connections
            .values()
            .any(|connection| connection.node == node);
        let in_use = !node_state.waiting.is_empty() || has_connections;
        if node_state.listed.endpoint.state == EndpointState::Gone && !in_use {
            self.nodes.remove(&node);
        }
    }
}
