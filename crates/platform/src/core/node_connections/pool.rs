//! The pool of connections to nodes: opening, reusing and closing them within the bound on descriptors.

use super::super::attempt_key::AttemptKey;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::super::settings::Settings;
use super::super::timer_event::TimerEvent;
use super::connection::{ConnectionState, NodeConnection};
use super::node::{ListedNode, Node};
use gullsail_scheduler_api::{EndpointState, Instant, NodeId, Span, ZoneId};
use std::collections::BTreeMap;

/// Idle connections are closed after this fraction of the time after which nodes close them.
const IDLE_AGE_FRACTION: f64 = 0.8;

#[derive(Debug)]
pub(in super::super) struct NodeConnections {
    pub(super) nodes: BTreeMap<NodeId, Node>,
    pub(super) connections: BTreeMap<ConnectionId, NodeConnection>,
    max_connections: usize,
    connect_timeout: Span,
    max_idle_age: Span,
    /// A restarted node is warming up for this long: after that, a loss does not matter any more.
    pub(super) slow_start: Span,
}

impl NodeConnections {
    pub(in super::super) fn new(max_connections: usize, settings: &Settings) -> NodeConnections {
        NodeConnections {
            nodes: BTreeMap::new(),
            connections: BTreeMap::new(),
            max_connections,
            connect_timeout: settings.reach.connect_time_out,
            max_idle_age: settings.reach.keep_alive.times(IDLE_AGE_FRACTION),
            slow_start: settings.config.slow_start.ramp,
        }
    }

    /// How many connections there are, to all nodes.
    pub(in super::super) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    pub(in super::super) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// When the node's process started, as discovery reports it.
    pub(in super::super) fn started(&self, node: NodeId) -> Option<Instant> {
        self.nodes.get(&node)?.listed.endpoint.started
    }

    pub(in super::super) fn listed(&self, node: NodeId) -> Option<&ListedNode> {
        self.nodes.get(&node).map(|known| &known.listed)
    }

    pub(in super::super) fn zone(&self, node: NodeId) -> ZoneId {
        self.nodes
            .get(&node)
            .map_or(ZoneId::default(), |known| known.listed.endpoint.zone)
    }

    pub(in super::super) fn is_ready(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(Node::is_ready)
    }

    pub(in super::super) fn known_nodes(&self) -> impl Iterator<Item = NodeId> {
        self.nodes.keys().copied()
    }

    /// The connection carries an attempt from now on. Returns how many bytes received on it were handled.
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
        let Some(known) = self.nodes.get_mut(&node) else {
            return false;
        };
        if !known.is_ready() {
            return false;
        }
        known.waiting.push_back(key);
        context.set_timer(self.connect_timeout, TimerEvent::ConnectionWaitTimeout(key));
        self.connect_for_waiting(node, context);
        true
    }

    /// The attempt waits no longer. Returns whether a connection to the node was being established.
    pub(in super::super) fn stop_waiting(&mut self, node: NodeId, key: AttemptKey) -> bool {
        let Some(known) = self.nodes.get_mut(&node) else {
            return false;
        };
        known.waiting.retain(|waiting| *waiting != key);
        known.connecting > 0
    }

    /// The attempt that has waited longest for a connection to the node.
    pub(super) fn next_waiting(&mut self, node: NodeId) -> Option<AttemptKey> {
        self.nodes.get_mut(&node)?.waiting.pop_front()
    }

    /// Takes the idle connection to the node that was used last.
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

    /// The connection is kept for a later attempt, unless its node is not ready.
    pub(super) fn keep_or_close(
        &mut self,
        conn: ConnectionId,
        node: NodeId,
        context: &mut Context,
    ) {
        match (self.connections.get_mut(&conn), self.nodes.get_mut(&node)) {
            (Some(connection), Some(known)) if known.is_ready() => {
                connection.state = ConnectionState::Idle;
                connection.idle_since = context.now;
                known.idle.push(conn);
            }
            _ => self.close(conn, context),
        }
    }

    /// A connection that was being established is. Returns its node.
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
        if let Some(known) = self.nodes.get_mut(&node) {
            known.connecting -= 1;
        }
        self.node_alive(node, now, None, context);
        Some(node)
    }

    /// Connects for attempts that wait, as far as the bound on descriptors allows; idle connections are closed
    /// for that.
    fn connect_for_waiting(&mut self, node: NodeId, context: &mut Context) {
        while self.nodes.get(&node).is_some_and(Node::needs_connection) {
            if self.connection_count() < self.max_connections {
                self.connect(node, context);
                continue;
            }
            let Some(idle) = self.longest_idle() else {
                return;
            };
            // The descriptor goes to an attempt that waits, perhaps for this node. So the loop checks again.
            self.close(idle, context);
        }
    }

    fn connect(&mut self, node: NodeId, context: &mut Context) {
        let Some(known) = self.nodes.get_mut(&node) else {
            return;
        };
        known.connecting += 1;
        let address = known.listed.address.clone();
        let conn = context.next_connection_id();
        self.connections
            .insert(conn, NodeConnection::new(node, context.now));
        context.metrics.node_connections_opened += 1;
        context.outputs.push(Output::Connect { conn, address });
        context.set_timer(self.connect_timeout, TimerEvent::ConnectTimeout(conn));
        context.schedule_idle_check();
    }

    /// Connects again at once after a connection was lost, if a descriptor is free. Whether that succeeds shows
    /// if the process still runs, while it is certain that none could have replaced it. The next attempt
    /// takes the connection.
    pub(super) fn reconnect(&mut self, node: NodeId, context: &mut Context) {
        let wanted = self
            .nodes
            .get(&node)
            .is_some_and(|known| known.is_ready() && known.connecting == 0);
        if wanted && self.connection_count() < self.max_connections {
            self.connect(node, context);
        }
    }

    /// Attempts in flight go on, but their connections are not reused; the other connections are closed.
    pub(super) fn retire(&mut self, node: NodeId, context: &mut Context) {
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

    /// Closes a connection, whatever its state.
    pub(in super::super) fn close(&mut self, conn: ConnectionId, context: &mut Context) {
        let Some(connection) = self.remove(conn) else {
            return;
        };
        context.outputs.push(Output::Close { conn });
        self.descriptor_freed(connection.node, context);
    }

    /// Closes idle connections before their nodes do.
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

    /// Removes a connection from the pool, whatever its state.
    pub(super) fn remove(&mut self, conn: ConnectionId) -> Option<NodeConnection> {
        let connection = self.connections.remove(&conn)?;
        if let Some(known) = self.nodes.get_mut(&connection.node) {
            known.idle.retain(|idle| *idle != conn);
            known.connecting -= usize::from(connection.state == ConnectionState::Connecting);
        }
        Some(connection)
    }

    /// A descriptor is free: it goes to an attempt that waits for the same node, else to one that waits for any.
    pub(super) fn descriptor_freed(&mut self, node: NodeId, context: &mut Context) {
        if self.nodes.get(&node).is_some_and(Node::needs_connection) {
            return self.connect_for_waiting(node, context);
        }
        let other = self
            .nodes
            .iter()
            .find(|(_, known)| known.needs_connection())
            .map(|(other, _)| *other);
        if let Some(other) = other {
            self.connect_for_waiting(other, context);
        }
        self.forget_if_gone(node);
    }

    fn longest_idle(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.state == ConnectionState::Idle)
            .min_by_key(|(_, connection)| connection.idle_since)
            .map(|(conn, _)| *conn)
    }

    /// Forgets a node that is gone and has neither connections nor waiting attempts.
    pub(super) fn forget_if_gone(&mut self, node: NodeId) {
        let Some(known) = self.nodes.get(&node) else {
            return;
        };
        let has_connections = self
            .connections
            .values()
            .any(|connection| connection.node == node);
        let in_use = !known.waiting.is_empty() || has_connections;
        if known.listed.endpoint.state == EndpointState::Gone && !in_use {
            self.nodes.remove(&node);
        }
    }
}
