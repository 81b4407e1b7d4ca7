//! Opens connections to nodes, assigns them to the attempts that wait, and closes them.

use super::super::attempt_key::AttemptKey;
use super::super::attempts::AttemptProgress;
use super::super::io::{ConnectionId, Output};
use super::super::timer_event::TimerEvent;
use super::super::{BOUNDS, Core};
use super::{ConnectionState, ListedNode, Node, NodeConnection};
use gullsail_http::Decoder;
use gullsail_scheduler_api::{AttemptOutcome, Endpoint, EndpointState, NodeId};
use std::collections::VecDeque;

/// Idle connections are closed after this part of the time after which nodes close them: a message that
/// crosses that close is lost.
const IDLE_AGE_FRACTION: f64 = 0.8;

impl Core {
    /// Discovery lists a node, anew or with changes.
    pub(in super::super) fn node_listed(&mut self, listed: &ListedNode) {
        let node = listed.endpoint.node;
        let n = self
            .nodes
            .nodes
            .entry(node)
            .or_insert_with(|| Node::new(listed.clone()));
        if n.listed.endpoint.started != listed.endpoint.started {
            n.unexplained_loss = None;
        }
        let moved = n.listed.address != listed.address;
        n.listed = listed.clone();
        let ready = n.is_ready();
        if moved || !ready {
            // Attempts to a node that is not ready end at once; else they connect to the node's new address.
            let ended = if ready {
                VecDeque::new()
            } else {
                std::mem::take(&mut n.waiting)
            };
            for key in ended {
                self.end_attempt(key, AttemptOutcome::NotSent, None);
            }
            self.retire_connections(node);
        }
        self.nodes.forget_if_gone(node);
    }

    /// Attempts in flight go on; their connections are not used again, and the others are closed.
    fn retire_connections(&mut self, node: NodeId) {
        let unused =
            |c: &NodeConnection| c.node == node && !matches!(c.state, ConnectionState::Busy(_));
        let unused: Vec<_> = self
            .nodes
            .connections
            .iter()
            .filter(|(_, c)| unused(c))
            .map(|(id, _)| *id)
            .collect();
        for conn in unused {
            self.close_node_connection(conn);
        }
        for connection in self
            .nodes
            .connections
            .values_mut()
            .filter(|c| c.node == node)
        {
            connection.stale = true;
        }
    }

    /// Discovery does not list the node any more.
    pub(in super::super) fn node_unlisted(&mut self, node: NodeId) {
        let Some(listed) = self.nodes.listed(node).cloned() else {
            return;
        };
        let endpoint = Endpoint {
            state: EndpointState::Gone,
            ..listed.endpoint
        };
        self.node_listed(&ListedNode { endpoint, ..listed });
    }

    /// Takes the idle connection to the node that was used last.
    pub(in super::super) fn take_idle_connection(&mut self, node: NodeId) -> Option<ConnectionId> {
        let conn = self.nodes.nodes.get_mut(&node)?.idle.pop()?;
        if !self.nodes.connections.contains_key(&conn) {
            return None;
        }
        self.metrics.node_connections_reused += 1;
        Some(conn)
    }

    pub(in super::super) fn wait_for_connection(&mut self, key: AttemptKey, node: NodeId) {
        let Some(n) = self.nodes.nodes.get_mut(&node).filter(|n| n.is_ready()) else {
            return self.end_attempt(key, AttemptOutcome::NotSent, None);
        };
        n.waiting.push_back(key);
        self.timers.set(
            self.now + self.reach.connect_time_out,
            TimerEvent::ConnectionWaitTimeout(key),
        );
        self.connect_for_waiting(node);
    }

    /// As many connections are being made as attempts wait, within the bound on descriptors.
    fn connect_for_waiting(&mut self, node: NodeId) {
        while self
            .nodes
            .nodes
            .get(&node)
            .is_some_and(Node::needs_connection)
        {
            if self.nodes.connection_count() >= self.nodes.max_connections {
                let Some(idle) = self.nodes.longest_idle() else {
                    return;
                };
                // Closing it gives the free place to an attempt that waits, perhaps to this node: so it is
                // checked anew.
                self.close_node_connection(idle);
                continue;
            }
            self.connect_to(node);
        }
    }

    fn connect_to(&mut self, node: NodeId) {
        let Some(n) = self.nodes.nodes.get_mut(&node) else {
            return;
        };
        n.connecting += 1;
        let address = n.listed.address.clone();
        let conn = self.next_connection_id();
        let connection = NodeConnection {
            node,
            state: ConnectionState::Connecting,
            established_at: self.now,
            idle_since: self.now,
            bytes_received: 0,
            early_input: false,
            stale: false,
            decoder: Decoder::responses(BOUNDS),
        };
        self.nodes.connections.insert(conn, connection);
        self.metrics.node_connections_opened += 1;
        self.outputs.push(Output::Connect { conn, address });
        self.timers.set(
            self.now + self.reach.connect_time_out,
            TimerEvent::ConnectTimeout(conn),
        );
        self.schedule_idle_check();
    }

    /// A connection that was lost is made again at once, if there is a place: that shows whether the process
    /// runs on while it is still certain that none could have replaced it, and the next attempt takes it.
    fn reconnect(&mut self, node: NodeId) {
        let has_place = self.nodes.connection_count() < self.nodes.max_connections;
        let wanted = |n: &Node| n.is_ready() && n.connecting == 0;
        if has_place && self.nodes.nodes.get(&node).is_some_and(wanted) {
            self.connect_to(node);
        }
    }

    pub(in super::super) fn node_connected(&mut self, conn: ConnectionId) {
        let now = self.now;
        let Some(connection) = self.nodes.connections.get_mut(&conn) else {
            return;
        };
        if connection.state != ConnectionState::Connecting {
            return;
        }
        connection.state = ConnectionState::Idle;
        connection.established_at = now;
        connection.idle_since = now;
        let node = connection.node;
        if let Some(n) = self.nodes.nodes.get_mut(&node) {
            n.connecting -= 1;
        }
        self.node_alive(node, now, None);
        self.connection_free(conn, node);
    }

    /// It goes to the attempt that has waited longest and may still be sent, else it becomes idle.
    pub(super) fn connection_free(&mut self, conn: ConnectionId, node: NodeId) {
        while let Some(key) = self
            .nodes
            .nodes
            .get_mut(&node)
            .and_then(|n| n.waiting.pop_front())
        {
            if self.may_still_send(key) {
                return self.send_attempt(key, conn);
            }
            self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
        match (
            self.nodes.connections.get_mut(&conn),
            self.nodes.nodes.get_mut(&node),
        ) {
            (Some(connection), Some(n)) if n.is_ready() => {
                connection.state = ConnectionState::Idle;
                connection.idle_since = self.now;
                n.idle.push(conn);
            }
            _ => self.close_node_connection(conn),
        }
    }

    /// The node had closed the connection before: nothing was written, so the attempt takes another one.
    pub(in super::super) fn node_not_written(&mut self, conn: ConnectionId) {
        let Some(connection) = self.nodes.connections.get(&conn) else {
            return;
        };
        let ConnectionState::Busy(key) = connection.state else {
            return;
        };
        let node = connection.node;
        self.metrics.idle_connections_closed += 1;
        self.close_node_connection(conn);
        if !self.may_still_send(key) {
            return self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.progress = AttemptProgress::WaitingForConnection;
        }
        match self.take_idle_connection(node) {
            Some(other) => self.send_attempt(key, other),
            None => self.wait_for_connection(key, node),
        }
    }

    /// Closed by the node, or never established.
    pub(in super::super) fn node_connection_closed(&mut self, conn: ConnectionId) {
        let Some(connection) = self.nodes.remove(conn) else {
            return;
        };
        let node = connection.node;
        match connection.state {
            ConnectionState::Connecting => {
                self.metrics.connect_failures += 1;
                self.fail_first_waiting(node);
            }
            ConnectionState::Idle => {}
            ConnectionState::Busy(key) => self.connection_lost(key, node),
        }
        self.place_freed(node);
    }

    fn connection_lost(&mut self, key: AttemptKey, node: NodeId) {
        let progress = self.attempts.get(&key).map(|attempt| attempt.progress);
        let was_written = matches!(progress, Some(AttemptProgress::Written { .. }));
        if !was_written {
            return self.end_attempt(key, AttemptOutcome::Unreachable, None);
        }
        self.metrics.connections_lost += 1;
        self.record_loss(node);
        self.end_attempt(key, AttemptOutcome::ConnectionLost, None);
        self.reconnect(node);
    }

    fn fail_first_waiting(&mut self, node: NodeId) {
        if let Some(key) = self
            .nodes
            .nodes
            .get_mut(&node)
            .and_then(|n| n.waiting.pop_front())
        {
            self.end_attempt(key, AttemptOutcome::Unreachable, None);
        }
    }

    pub(in super::super) fn connect_timed_out(&mut self, conn: ConnectionId) {
        let Some(connection) = self.nodes.connections.get(&conn) else {
            return;
        };
        if connection.state == ConnectionState::Connecting {
            let node = connection.node;
            self.metrics.connect_failures += 1;
            self.close_node_connection(conn);
            self.fail_first_waiting(node);
        }
    }

    /// Closed by this host.
    pub(in super::super) fn close_node_connection(&mut self, conn: ConnectionId) {
        let Some(connection) = self.nodes.remove(conn) else {
            return;
        };
        self.outputs.push(Output::Close { conn });
        self.place_freed(connection.node);
    }

    /// The place goes to an attempt that waits for the same node, else to one that waits for any.
    fn place_freed(&mut self, node: NodeId) {
        if self
            .nodes
            .nodes
            .get(&node)
            .is_some_and(Node::needs_connection)
        {
            return self.connect_for_waiting(node);
        }
        let other = self
            .nodes
            .nodes
            .iter()
            .find(|(_, n)| n.needs_connection())
            .map(|(id, _)| *id);
        if let Some(other) = other {
            self.connect_for_waiting(other);
        }
        self.nodes.forget_if_gone(node);
    }

    pub(in super::super) fn close_aged_connections(&mut self) {
        let max_age = self.reach.keep_alive.times(IDLE_AGE_FRACTION);
        let now = self.now;
        let aged =
            |c: &NodeConnection| c.state == ConnectionState::Idle && now - c.idle_since >= max_age;
        let aged: Vec<_> = self
            .nodes
            .connections
            .iter()
            .filter(|(_, c)| aged(c))
            .map(|(id, _)| *id)
            .collect();
        for conn in aged {
            self.close_node_connection(conn);
        }
    }
}
