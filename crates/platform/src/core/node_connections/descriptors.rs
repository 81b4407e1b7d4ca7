//! Shares the bounded number of connections between the attempts that wait for one. The attempt that has waited longest
//! is served first, so none starves because another node's attempts take each connection as it becomes free.

use super::super::context::Context;
use super::super::io::ConnectionId;
use super::connection::{ConnectionState, NodeConnection};
use super::node::Node;
use super::pool::NodeConnections;
use gullsail_scheduler_api::{Instant, NodeId};

impl NodeConnections {
    fn at_bound(&self) -> bool {
        self.connection_count() >= self.max_connections
    }

    /// Opens connections for the attempts that wait for the node. At the bound, attempts wait for the idle connections
    /// to the node that may be reused soon. For those beyond that, a spare connection is closed for each new one.
    pub(super) fn connect_for_waiting(&mut self, node: NodeId, context: &mut Context) {
        while let Some(node_state) = self.nodes.get(&node)
            && node_state.first_not_connecting().is_some()
        {
            if !self.at_bound() {
                self.connect(node, context);
                continue;
            }
            if node_state.first_unserved().is_none() {
                return;
            }
            let Some(spare) = self.longest_spare() else {
                return;
            };
            // `close` uses the descriptor for the attempt that has waited longest, perhaps of another node, so the loop
            // checks again.
            self.close(spare, context);
        }
    }

    /// Opens connections to the node whose attempt has waited longest of those that no connection can serve.
    pub(super) fn connect_for_longest_waiting(&mut self, context: &mut Context) {
        if let Some(node) = self.longest_waiting(Node::first_unserved) {
            self.connect_for_waiting(node.id, context);
        }
    }

    /// Uses the descriptor of a connection to the node that has ended for the attempt that has waited longest.
    pub(super) fn descriptor_freed(&mut self, node: NodeId, context: &mut Context) {
        while !self.at_bound() {
            let longest = self
                .longest_waiting(Node::first_unserved)
                .or_else(|| self.longest_waiting(Node::first_not_connecting));
            let Some(longest) = longest else {
                break;
            };
            self.connect(longest.id, context);
        }
        self.remove_if_gone(node);
    }

    /// Whether all descriptors are in use, and an attempt for another node has waited longer than the one that the idle
    /// connection to this node would serve.
    pub(super) fn is_wanted_elsewhere(&self, node: NodeId) -> bool {
        if !self.at_bound() {
            return false;
        }
        let own = self.nodes.get(&node).and_then(Node::last_served);
        self.longest_waiting(Node::first_unserved)
            .is_some_and(|other| own.is_none_or(|own| other.since < own))
    }

    /// The node with the earliest time that `waiting_since` returns.
    fn longest_waiting(&self, waiting_since: fn(&Node) -> Option<Instant>) -> Option<WaitingNode> {
        self.nodes
            .iter()
            .filter_map(|(id, node_state)| {
                let since = waiting_since(node_state)?;
                Some(WaitingNode { since, id: *id })
            })
            .min_by_key(|node| node.since)
    }

    /// The connection that has been idle for the longest time, of those to nodes with more idle connections than
    /// attempts that wait for one.
    fn longest_spare(&self) -> Option<ConnectionId> {
        let is_spare = |connection: &NodeConnection| {
            connection.state == ConnectionState::Idle
                && self
                    .nodes
                    .get(&connection.node)
                    .is_none_or(Node::has_spare_connection)
        };
        self.connections
            .iter()
            .filter(|(_, connection)| is_spare(connection))
            .min_by_key(|(_, connection)| connection.idle_since)
            .map(|(conn, _)| *conn)
    }
}

/// A node for which an attempt waits.
struct WaitingNode {
    since: Instant,
    id: NodeId,
}
