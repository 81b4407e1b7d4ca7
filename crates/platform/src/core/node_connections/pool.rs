//! The pool of connections to nodes. It opens, reuses and closes them.

use super::super::attempt_key::AttemptKey;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::super::settings::Settings;
use super::super::timer_event::TimerEvent;
use super::connection::{ConnectionState, NodeConnection};
use super::node::{ListedNode, Node, WaitingAttempt};
use gullsail_scheduler_api::{EndpointState, Instant, NodeId, Span, ZoneId};
use std::collections::BTreeMap;

/// Idle connections are closed after this fraction of the keep-alive time after which nodes close them, so that an
/// attempt is rarely sent on a connection that its node is closing.
const IDLE_AGE_FRACTION: f64 = 0.8;
/// A connection that was not used for this long, while another one to its node was, is closed. Nodes hold a limited
/// number of connections, and several requests at once open more than the traffic afterwards needs. Bursts that are
/// further apart open them again.
const MAX_SURPLUS_AGE: Span = Span::from_micros(5_000_000);

#[derive(Debug)]
pub(in super::super) struct NodeConnections {
    pub(super) nodes: BTreeMap<NodeId, Node>,
    pub(super) connections: BTreeMap<ConnectionId, NodeConnection>,
    /// Bound on the number of connections to all nodes.
    pub(super) max_connections: usize,
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
        node_state.waiting.push_back(WaitingAttempt {
            key,
            since: context.now,
        });
        context.set_timer(self.connect_timeout, TimerEvent::ConnectionWaitTimeout(key));
        self.connect_for_waiting(node, context);
        self.schedule_reuse(node, context);
        true
    }

    /// Removes the attempt from the queue of its node. Returns whether a connection to the node is being established.
    pub(in super::super) fn stop_waiting(&mut self, node: NodeId, key: AttemptKey) -> bool {
        let Some(node_state) = self.nodes.get_mut(&node) else {
            return false;
        };
        node_state.waiting.retain(|waiting| waiting.key != key);
        node_state.connecting > 0
    }

    /// Takes the attempt that has waited longest for a connection to the node.
    pub(super) fn next_waiting(&mut self, node: NodeId) -> Option<AttemptKey> {
        let attempt = self.nodes.get_mut(&node)?.waiting.pop_front()?;
        Some(attempt.key)
    }

    pub(super) fn has_waiting(&self, node: NodeId) -> bool {
        self.nodes
            .get(&node)
            .is_some_and(|node_state| !node_state.waiting.is_empty())
    }

    /// Takes the idle connection to the node that was used most recently, of those that may carry the next attempt.
    pub(in super::super) fn take_reusable(
        &mut self,
        node: NodeId,
        context: &mut Context,
    ) -> Option<ConnectionId> {
        let idle = &mut self.nodes.get_mut(&node)?.idle;
        let is_reusable = |conn: &ConnectionId| {
            self.connections
                .get(conn)
                .is_some_and(|connection| connection.reusable_at <= context.now)
        };
        let index = idle.iter().rposition(is_reusable)?;
        context.metrics.node_connections_reused += 1;
        Some(idle.remove(index))
    }

    /// Records that the response to the connection's attempt was received. The connection becomes idle, also if
    /// attempts wait for its node: it carries the next one after a delay.
    pub(super) fn answered(&mut self, conn: ConnectionId, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.mark_answered(context.now);
        let node = connection.node;
        self.make_idle_or_close(conn, node, context);
    }

    /// Keeps the connection for later attempts if its node is ready. Closes it otherwise.
    pub(super) fn make_idle_or_close(
        &mut self,
        conn: ConnectionId,
        node: NodeId,
        context: &mut Context,
    ) {
        match self.nodes.get_mut(&node) {
            Some(node_state) if node_state.is_ready() => node_state.idle.push(conn),
            _ => return self.close(conn, context),
        }
        if self.is_wanted_elsewhere(node) {
            self.close(conn, context);
        }
        self.schedule_reuse(node, context);
    }

    /// Sets the timer for the first idle connection to the node that may be reused, if attempts wait.
    pub(super) fn schedule_reuse(&mut self, node: NodeId, context: &mut Context) {
        let Some(node_state) = self.nodes.get_mut(&node) else {
            return;
        };
        if node_state.waiting.is_empty() || node_state.reuse_scheduled {
            return;
        }
        let idle = node_state.idle.iter();
        let first = idle
            .filter_map(|conn| self.connections.get(conn))
            .map(|connection| connection.reusable_at)
            .min();
        if let Some(at) = first {
            node_state.reuse_scheduled = true;
            context.timers.set(at, TimerEvent::ReuseDelayOver(node));
        }
    }

    pub(super) fn reuse_timer_fired(&mut self, node: NodeId) {
        if let Some(node_state) = self.nodes.get_mut(&node) {
            node_state.reuse_scheduled = false;
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
        connection.mark_established(now);
        let node = connection.node;
        if let Some(node_state) = self.nodes.get_mut(&node) {
            node_state.connecting -= 1;
        }
        self.node_alive(node, now, None, context);
        Some(node)
    }

    pub(super) fn connect(&mut self, node: NodeId, context: &mut Context) {
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

    /// Closes connections that have been idle for too long.
    pub(in super::super) fn close_aged(&mut self, context: &mut Context) {
        let now = context.now;
        let aged: Vec<_> = self
            .connections
            .iter()
            .filter(|(conn, connection)| {
                connection.state == ConnectionState::Idle
                    && now - connection.idle_since >= self.max_age(**conn, connection)
            })
            .map(|(conn, _)| *conn)
            .collect();
        for conn in aged {
            self.close(conn, context);
        }
    }

    /// For how long an idle connection is kept. The one to its node that was used most recently is kept longest.
    fn max_age(&self, conn: ConnectionId, connection: &NodeConnection) -> Span {
        let most_recent = self
            .nodes
            .get(&connection.node)
            .and_then(|node_state| node_state.idle.last());
        if most_recent == Some(&conn) {
            self.max_idle_age
        } else {
            self.max_idle_age.min(MAX_SURPLUS_AGE)
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
