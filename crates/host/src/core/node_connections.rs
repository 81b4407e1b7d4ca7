//! Connections to nodes: they are opened before they are needed, and attempts that wait for one are sent, or
//! ended, by what comes of it.

use super::Core;
use super::connection_table::PeerKind;
use super::input_output::LinkId;
use super::nodes::NodeSide;
use super::reconnect::ConnectionState;
use super::timers::TimerKind;
use gullsail_protocol::{Hello, Role};
use gullsail_scheduler_api::{
    AttemptOutcome, EndpointState, Event, NodeId, ShardId, Span, UpdateKind,
};
use tracing::{debug, info, warn};

impl Core {
    /// Opens connections to all usable nodes that have none, before they are needed: only a node's first
    /// frame tells how long it has been running.
    pub(super) fn connect_nodes(&mut self) {
        let wanted = |n: &NodeSide| {
            let usable = n.state != EndpointState::Gone && !n.barred;
            usable && n.connection.state == ConnectionState::Idle && !n.address.is_empty()
        };
        let nodes = self.nodes.iter().filter(|(_, n)| wanted(n));
        let nodes: Vec<_> = nodes.map(|(id, n)| (id, n.address.clone())).collect();
        for (id, address) in nodes {
            let state = match self.may_connect(id) {
                Ok(()) => ConnectionState::Connecting(self.connect(PeerKind::Node(id), address)),
                Err(retry_at) => {
                    self.at(retry_at, TimerKind::ReconnectNode(id));
                    ConnectionState::Waiting(retry_at)
                }
            };
            if let Some(n) = self.nodes.get(id) {
                n.connection.state = state;
            }
        }
    }

    /// A node's first frame: it must be the node that the endpoint list named.
    pub(super) fn node_hello(&mut self, id: LinkId, node: NodeId, hello: Hello) {
        let Some(n) = self.nodes.get(node) else {
            return self.close_link(id, "forgotten");
        };
        let (is_node, same_name) = (hello.role == Role::Node as i32, n.name == hello.name);
        if !is_node || !same_name || n.shard != ShardId(hello.shard_plus_one - 1) {
            warn!(
                node = n.name,
                found = hello.name,
                shard = hello.shard_plus_one - 1,
                "another node answers there"
            );
            return self.close_link(id, "another node answers at this node's address");
        }
        if n.connection.link() == Some(id) {
            self.node_up(node, id, hello.incarnation, Span::from_micros(hello.age_us));
        }
    }

    /// A node identified itself: its start is reported to the scheduler before anything is sent to it.
    fn node_up(&mut self, node: NodeId, link: LinkId, incarnation: u64, age: Span) {
        let same_process = self
            .nodes
            .get(node)
            .is_some_and(|n| n.incarnation == Some(incarnation));
        let Some(greeted) = self.nodes.greeted(node, incarnation, age, self.now) else {
            return;
        };
        let Some(n) = self.nodes.get(node) else {
            return;
        };
        n.connection.is_up(link);
        let pending = std::mem::take(&mut n.pending);
        let name = &n.name;
        if greeted.restarted {
            self.counts.nodes_restarted += 1;
            info!(node = name, "node restarted");
        } else {
            self.counts.nodes_met_again += 1;
            debug!(node = name, "node is up, the same process as before");
        }
        self.response_received(link);
        let entries = vec![greeted.endpoint];
        self.events.push(Event::EndpointList {
            update_kind: UpdateKind::SelfReported,
            entries,
        });
        // What waited was decided for the process before, or for one whose start was not known: while the
        // node warms up it is not all sent at once, but decided anew. None of it ran.
        let warming_up = !same_process && age < self.deployment.figures().slow_start.ramp;
        for attempt in pending {
            if warming_up {
                self.attempt_ended(attempt, AttemptOutcome::NotSent);
            } else {
                self.send_attempt(attempt);
            }
        }
    }

    /// Its connection ended, or could not be made. Attempts that were sent may have run; others wait for the
    /// next try as long as they may.
    pub(super) fn node_connection_lost(&mut self, node: NodeId, why: &str) {
        let redial = self.deployment.bounds.redial;
        let attempts = self.requests.at_node(node);
        let Some(n) = self.nodes.get(node) else {
            return;
        };
        if n.connection.up().is_some() {
            warn!(
                node = n.name,
                why,
                attempts = attempts.len(),
                "connection to node broke"
            );
        } else {
            debug!(node = n.name, why, "no connection to node");
        }
        let gone = n.state == EndpointState::Gone;
        let retry_at = n.connection.lost(self.now, redial, &mut self.rng);
        if gone {
            n.connection.state = ConnectionState::Idle;
        } else {
            self.at(retry_at, TimerKind::ReconnectNode(node));
        }
        for attempt in attempts {
            if self
                .requests
                .attempt(attempt)
                .is_some_and(|out| out.sent.is_some())
            {
                self.attempt_ended(attempt, AttemptOutcome::ConnectionLost);
            } else if gone {
                self.attempt_ended(attempt, AttemptOutcome::Unreachable);
            }
        }
    }
}
