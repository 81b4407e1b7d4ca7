//! Connections to nodes. They are opened before they are needed. Attempts that wait for a connection are sent
//! once the node has identified itself.

use super::Core;
use super::connection_table::RemoteKind;
use super::ids::ConnectionId;
use super::nodes::{NodeProcess, NodeRecord};
use super::reconnect::ConnectionState;
use super::timer_kind::TimerKind;
use gullsail_protocol::{Hello, Role};
use gullsail_scheduler_api::{
    AttemptOutcome, EndpointState, Event, NodeId, ShardId, Span, UpdateKind,
};
use tracing::{debug, info, warn};

impl Core {
    /// Opens connections to all usable nodes that have none, or sets a timer for those that the rate limit of new
    /// connections delays. This is done before an attempt needs a connection, because only a node's first frame states
    /// reliably how long the node has been running.
    pub(super) fn connect_nodes(&mut self) {
        let is_wanted = |node: &NodeRecord| {
            let usable = node.state != EndpointState::Gone && !node.offline_or_unknown;
            let has_none = node.connection.state == ConnectionState::Idle;
            usable && has_none && !node.address.is_empty()
        };
        let wanted: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, node)| is_wanted(node))
            .map(|(id, node)| (id, node.address.clone()))
            .collect();
        for (id, address) in wanted {
            let state = match self.may_connect(id) {
                Ok(()) => ConnectionState::Connecting(self.connect(RemoteKind::Node(id), address)),
                Err(retry_at) => {
                    self.set_timer(retry_at, TimerKind::ReconnectNode(id));
                    ConnectionState::BackingOff(retry_at)
                }
            };
            if let Some(node) = self.nodes.get(id) {
                node.connection.state = state;
            }
        }
    }

    /// Handles a node's first frame. Closes the connection if the frame does not come from the expected node.
    pub(super) fn node_hello(&mut self, id: ConnectionId, node: NodeId, hello: &Hello) {
        let Some(record) = self.nodes.get(node) else {
            return self.close_connection(id, "node no longer known");
        };
        let found_shard = ShardId(hello.shard_plus_one - 1);
        let is_node = hello.role == Role::Node as i32;
        if !is_node || record.name != hello.name || record.shard != found_shard {
            warn!(
                expected = record.name,
                expected_shard = record.shard.0,
                found = hello.name,
                found_shard = found_shard.0,
                "node identity mismatch: connection closed"
            );
            return self.close_connection(id, "node identity mismatch");
        }
        if record.connection.link() == Some(id) {
            self.node_up(node, id, hello);
        }
    }

    /// Handles a node that identified itself. The scheduler's next step handles the node's start before it starts
    /// attempts.
    fn node_up(&mut self, node: NodeId, link: ConnectionId, hello: &Hello) {
        let age = Span::from_micros(hello.age_us);
        let Some(identified) =
            self.nodes
                .record_identification(node, hello.incarnation, age, self.now)
        else {
            return;
        };
        let Some(record) = self.nodes.get(node) else {
            return;
        };
        record.connection.mark_up(link);
        let pending = std::mem::take(&mut record.pending);
        let name = &record.name;
        let incarnation = hello.incarnation;
        if identified.process == NodeProcess::Restarted {
            self.counts.nodes_restarted += 1;
            info!(node = name, incarnation, "node restarted");
        } else {
            self.counts.nodes_met_again += 1;
            debug!(node = name, incarnation, "node connected");
        }
        self.connections.response_received(link);
        self.events.push(Event::EndpointList {
            update_kind: UpdateKind::SelfReported,
            entries: vec![identified.endpoint],
        });
        // The scheduler decided on the pending attempts for another process of the node, or before the node's start
        // was known. A node that warms up must not receive all of them at once, so they end as not sent, and the
        // scheduler decides again.
        let warming_up = identified.process != NodeProcess::Same
            && age < self.deployment.figures().slow_start.ramp;
        for attempt in pending {
            if warming_up {
                self.attempt_ended(attempt, AttemptOutcome::NotSent);
            } else {
                self.send_attempt(attempt);
            }
        }
    }

    /// Handles the end of a node's connection, or an attempt to connect that failed. Attempts that were sent end,
    /// and the node may have run them. The others wait for the next connection until their timers fire, or end as
    /// unreachable if the node is gone.
    pub(super) fn node_connection_lost(&mut self, node: NodeId, reason: &str) {
        let backoff = self.deployment.bounds.redial;
        let attempts = self.requests.in_flight_to(node);
        let Some(record) = self.nodes.get(node) else {
            return;
        };
        if record.connection.up().is_some() {
            warn!(
                node = record.name,
                reason,
                attempts = attempts.len(),
                "node connection lost: sent attempts may have run"
            );
        } else {
            debug!(node = record.name, reason, "node connection failed");
        }
        let gone = record.state == EndpointState::Gone;
        let retry_at = record.connection.lost(self.now, backoff, &mut self.rng);
        if gone {
            record.connection.state = ConnectionState::Idle;
        } else {
            self.set_timer(retry_at, TimerKind::ReconnectNode(node));
        }
        for attempt in attempts {
            let in_flight = self.requests.attempt(attempt);
            if in_flight.is_some_and(|in_flight| in_flight.sent_at.is_some()) {
                self.attempt_ended(attempt, AttemptOutcome::ConnectionLost);
            } else if gone {
                self.attempt_ended(attempt, AttemptOutcome::Unreachable);
            }
        }
    }
}
