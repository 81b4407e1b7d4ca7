//! Assigns connections to the attempts that wait for one, and ends attempts whose connection or node is lost.

use super::super::Core;
use super::super::attempt_key::AttemptKey;
use super::super::attempts::AttemptProgress;
use super::super::io::ConnectionId;
use super::connection::ConnectionState;
use super::node::{ListedNode, Node};
use gullsail_scheduler_api::{AttemptOutcome, Endpoint, EndpointState, NodeId};

impl Core {
    /// Adds or updates a node that discovery lists.
    pub(in super::super) fn node_listed(&mut self, listed: &ListedNode) {
        let node = listed.endpoint.node;
        let node_state = self
            .nodes
            .nodes
            .entry(node)
            .or_insert_with(|| Node::new(listed.clone()));
        if node_state.listed.endpoint.started != listed.endpoint.started {
            node_state.unexplained_loss = None;
        }
        let address_changed = node_state.listed.address != listed.address;
        node_state.listed = listed.clone();
        if !node_state.is_ready() {
            // Attempts that wait for this node end at once, since nothing may be sent to it.
            let waiting = std::mem::take(&mut node_state.waiting);
            for attempt in waiting {
                self.end_attempt(attempt.key, AttemptOutcome::NotSent, None);
            }
            self.nodes.retire_connections(node, &mut self.context);
        } else if address_changed {
            // Closing the connections makes waiting attempts connect to the new address.
            self.nodes.retire_connections(node, &mut self.context);
        }
        self.nodes.remove_if_gone(node);
    }

    /// Marks a node that discovery no longer lists as gone.
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

    pub(in super::super) fn node_connected(&mut self, conn: ConnectionId) {
        if let Some(node) = self.nodes.established(conn, &mut self.context) {
            self.assign_connection(conn, node);
        }
    }

    /// Sends the attempt that has waited longest and may still be sent on this connection, which may carry one now.
    /// Without such an attempt the connection becomes idle.
    pub(super) fn assign_connection(&mut self, conn: ConnectionId, node: NodeId) {
        while let Some(key) = self.nodes.next_waiting(node) {
            if self.may_still_send(key) {
                return self.send_attempt(key, conn);
            }
            self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
        self.nodes.make_idle_or_close(conn, node, &mut self.context);
    }

    /// Sends attempts that wait for the node on its connections that may be reused by now.
    pub(in super::super) fn reuse_delay_over(&mut self, node: NodeId) {
        self.nodes.reuse_timer_fired(node);
        while self.nodes.has_waiting(node) {
            let Some(conn) = self.nodes.take_reusable(node, &mut self.context) else {
                break;
            };
            self.assign_connection(conn, node);
        }
        self.nodes.schedule_reuse(node, &mut self.context);
        self.nodes.connect_for_longest_waiting(&mut self.context);
    }

    /// No byte of the attempt's message was written, since the node had closed the connection or sent unexpected input.
    /// The attempt uses another connection.
    pub(in super::super) fn node_not_written(&mut self, conn: ConnectionId) {
        let Some(connection) = self.nodes.connections.get(&conn) else {
            return;
        };
        let ConnectionState::Busy(key) = connection.state else {
            return;
        };
        let node = connection.node;
        self.context.metrics.idle_connections_found_closed += 1;
        self.nodes.close(conn, &mut self.context);
        if !self.may_still_send(key) {
            return self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.progress = AttemptProgress::WaitingForConnection;
        }
        self.send_or_wait(key, node);
    }

    /// Removes a connection that has ended or could not be established.
    pub(in super::super) fn node_connection_closed(&mut self, conn: ConnectionId) {
        let Some(connection) = self.nodes.remove(conn) else {
            return;
        };
        let node = connection.node;
        match connection.state {
            ConnectionState::Connecting => {
                self.context.metrics.connect_failures += 1;
                self.fail_first_waiting(node);
            }
            ConnectionState::Idle => {}
            ConnectionState::Busy(key) => self.connection_lost(key, node),
        }
        self.nodes.descriptor_freed(node, &mut self.context);
    }

    /// Ends the attempt whose connection was lost. If its message was written completely, the node may have run it.
    fn connection_lost(&mut self, key: AttemptKey, node: NodeId) {
        let progress = self.attempts.get(&key).map(|attempt| attempt.progress);
        let was_written = matches!(progress, Some(AttemptProgress::Written { .. }));
        if !was_written {
            return self.end_attempt(key, AttemptOutcome::Unreachable, None);
        }
        self.context.metrics.connections_lost += 1;
        self.nodes.record_loss(node, self.context.now);
        self.end_attempt(key, AttemptOutcome::ConnectionLost, None);
        self.nodes.reconnect(node, &mut self.context);
    }

    /// Ends the attempt that has waited longest for a connection to the node, since connecting failed.
    fn fail_first_waiting(&mut self, node: NodeId) {
        if let Some(key) = self.nodes.next_waiting(node) {
            self.end_attempt(key, AttemptOutcome::Unreachable, None);
        }
    }

    pub(in super::super) fn connect_timed_out(&mut self, conn: ConnectionId) {
        let Some(connection) = self.nodes.connections.get(&conn) else {
            return;
        };
        if connection.state == ConnectionState::Connecting {
            let node = connection.node;
            self.context.metrics.connect_failures += 1;
            self.nodes.close(conn, &mut self.context);
            self.fail_first_waiting(node);
        }
    }
}
