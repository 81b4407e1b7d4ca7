//! What this host does for servers that go offline for maintenance. It reports nodes that it must not send to as
//! draining to the scheduler, and closes its connections to them. It also reports to the fleet what it observes of
//! all servers.

use super::Core;
use super::input_output::Output;
use super::maintenance::{CommandError, CommandOutcome, host_server_id, node_server_id};
use super::nodes::NodeRecord;
use super::timer_kind::TimerKind;
use gullsail_configuration::number;
use gullsail_fleet::Event as FleetEvent;
use gullsail_fleet::Fleet;
use gullsail_fleet::fleet::CommandResult;
use gullsail_fleet::maintenance::{ServerId, ServerObservation, ServerRole, Servers, Stage};
use gullsail_scheduler_api::{
    AttemptOutcome, EndpointState, Event, Instant, NodeId, Span, UpdateKind,
};
use std::collections::BTreeSet;
use tracing::{debug, info};

/// Time between two observations of servers while the fleet does not change: 50 ms. It is short compared with the
/// interval of lease renewals, which carry the observations.
const OBSERVATION_INTERVAL: Span = Span::from_micros(50_000);
/// The most orders whose last logged stage is remembered. Orders are few, so this only bounds memory; if it is
/// exceeded, a stage of the oldest order may be logged twice.
const MAX_LOGGED_ORDERS: usize = 4096;

/// A node to which attempts may be sent again, or no longer.
struct NodeUseChange {
    node: NodeId,
    /// The new value of [`NodeRecord::offline_or_unknown`].
    offline_or_unknown: bool,
}

impl Core {
    /// Marks all nodes as unusable if maintenance is configured, since this host does not know yet which of them
    /// are offline.
    pub(super) fn start_maintenance(&mut self) {
        if self.maintenance_enabled() {
            self.update_offline_nodes();
        }
    }

    /// Carries out the fleet's decisions on servers. Called after the fleet advanced and before the scheduler's
    /// step. `fleet_changed`: shares, members or orders may have changed.
    pub(super) fn advance_maintenance(&mut self, fleet_changed: bool) {
        if !self.maintenance_enabled() {
            return;
        }
        if fleet_changed {
            self.update_offline_nodes();
            self.log_stages();
        }
        if self.maintenance.next_observation <= self.now || fleet_changed {
            self.observe_servers();
        }
        let Some(fleet) = &mut self.fleet.member else {
            return;
        };
        let answers: Vec<_> = fleet.answers().collect();
        if fleet.going_offline() && !self.shutdown.requested {
            info!("graceful shutdown: this host's server goes into maintenance");
            self.begin_shutdown();
        }
        for answer in answers {
            self.maintenance.pending_commands.remove(&answer.number);
            self.outputs.push(Output::CommandOutcome {
                requester: answer.number,
                outcome: self.command_outcome(answer.result),
            });
        }
    }

    fn command_outcome(&self, result: CommandResult) -> CommandOutcome {
        match result {
            CommandResult::Accepted => Ok(()),
            CommandResult::Refused { server, reason } => Err(CommandError::Refused {
                server: self.server_name(server),
                reason,
            }),
            CommandResult::Unknown => Err(CommandError::ResultUnknown),
        }
    }

    /// Disconnects drained nodes and reports to the fleet what this host observes of servers. Sets a timer for
    /// the next observation while a node that must not be sent to still has a connection.
    fn observe_servers(&mut self) {
        self.disconnect_offline_nodes();
        self.report_servers();
        self.maintenance.next_observation = self.now + OBSERVATION_INTERVAL;
        let is_draining =
            |node: &NodeRecord| node.offline_or_unknown && node.connection.link().is_some();
        if self.nodes.iter().any(|(_, node)| is_draining(node)) {
            self.set_timer(self.maintenance.next_observation, TimerKind::Fleet);
        }
    }

    /// Reports nodes that must not be sent to as draining to the scheduler, and nodes that may be sent to again
    /// with their state in the endpoint list. The report comes right after the last configuration or endpoint list
    /// among the scheduler's events. Attempts that wait for the connection of an unusable node end as not sent.
    fn update_offline_nodes(&mut self) {
        let changes = self.node_use_changes();
        let mut entries = Vec::new();
        let mut unsent_attempts = Vec::new();
        for change in &changes {
            let Some(node) = self.nodes.get(change.node) else {
                continue;
            };
            node.set_offline_or_unknown(change.offline_or_unknown);
            entries.push(node.endpoint(change.node, node.newest_start().at));
            if change.offline_or_unknown {
                unsent_attempts.extend(std::mem::take(&mut node.pending));
            }
        }
        if !entries.is_empty() {
            let event = Event::EndpointList {
                update_kind: UpdateKind::Delta,
                entries,
            };
            self.events.insert_after_last(event, |event| {
                matches!(
                    event,
                    Event::ConfigChanged { .. } | Event::EndpointList { .. }
                )
            });
        }
        for attempt in unsent_attempts {
            self.attempt_ended(attempt, AttemptOutcome::NotSent);
        }
        if changes.iter().any(|change| !change.offline_or_unknown) {
            self.connect_nodes();
        }
    }

    /// Returns the nodes to which attempts may be sent again, or no longer, according to the fleet.
    fn node_use_changes(&self) -> Vec<NodeUseChange> {
        let Some(fleet) = &self.fleet.member else {
            return Vec::new();
        };
        let changed = |(id, record): (NodeId, &NodeRecord)| {
            let offline_or_unknown = !fleet.may_use(node_server_id(id), self.now);
            (record.offline_or_unknown != offline_or_unknown).then_some(NodeUseChange {
                node: id,
                offline_or_unknown,
            })
        };
        self.nodes.iter().filter_map(changed).collect()
    }

    /// Closes the connections to nodes that must not be sent to and have no attempt in flight.
    fn disconnect_offline_nodes(&mut self) {
        let offline = self
            .nodes
            .iter()
            .filter(|(_, node)| node.offline_or_unknown);
        let connected: Vec<_> = offline
            .filter_map(|(id, node)| Some((id, node.connection.link()?)))
            .collect();
        for (id, link) in connected {
            if self.requests.in_flight_to(id).is_empty() {
                self.close_connection(link, "node offline for maintenance");
            }
        }
    }

    /// Reports to the fleet what this host observes of servers, and which nodes it has drained and disconnected.
    fn report_servers(&mut self) {
        let mut servers = Servers::new();
        let mut released = BTreeSet::new();
        for (id, node) in self.nodes.iter() {
            servers.insert(node_server_id(id), self.observe_node(node));
            let disconnected = node.offline_or_unknown && node.connection.link().is_none();
            if disconnected && self.requests.in_flight_to(id).is_empty() {
                released.insert(node_server_id(id));
            }
        }
        for (place, host) in self.deployment.hosts.iter().enumerate() {
            let observation = ServerObservation {
                role: ServerRole::Host(place as u32),
                zone: host.zone.0 as u32,
                in_service: true,
                incarnation: 0,
                uptime: Span::ZERO,
            };
            servers.insert(host_server_id(&host.name), observation);
        }
        self.notify_fleet(FleetEvent::ServersObserved { servers, released });
    }

    /// Returns what this host observes of a node. A node that must not be sent to has no connection, so whether it
    /// is healthy depends on its state in the endpoint list alone.
    fn observe_node(&self, node: &NodeRecord) -> ServerObservation {
        let configured = self.deployment.node(&node.name);
        let server = configured.and_then(|place| self.deployment.servers.get(place.server));
        let start = node.newest_start();
        let reachable = node.offline_or_unknown || node.connection.up().is_some();
        let up_for = |started: Instant| (self.now - started).max(Span::ZERO);
        ServerObservation {
            role: ServerRole::Node {
                shard: node.shard.0,
                pool: number(&node.kind),
                can: server.map_or(1.0, gullsail_configuration::Server::capacity),
            },
            zone: node.zone.0 as u32,
            in_service: node.state == EndpointState::Ready && reachable,
            incarnation: start.incarnation,
            uptime: start.at.map_or(Span::ZERO, up_for),
        }
    }

    /// Logs the stage of each order whose stage has changed. The scenario runner parses these lines: their target,
    /// message and fields must stay.
    fn log_stages(&mut self) {
        let Some(order_book) = self.fleet.member.as_ref().and_then(Fleet::order_book) else {
            return;
        };
        let orders = order_book.orders.iter();
        let stages: Vec<_> = orders
            .map(|order| (order.number, order.server, order.stage))
            .collect();
        for (number, server, stage) in stages {
            let logged = self.maintenance.logged_stages.insert(number, stage);
            if logged != Some(stage) {
                self.log_stage(number, server, stage);
            }
        }
        while self.maintenance.logged_stages.len() > MAX_LOGGED_ORDERS {
            self.maintenance.logged_stages.pop_first();
        }
    }

    fn log_stage(&self, number: u64, server: ServerId, stage: Stage) {
        let member = self.own_name();
        let incarnation = self.identity.incarnation;
        let name = self.server_name(server);
        // The JSON form of a stage is a string.
        let stage = serde_json::to_value(stage).unwrap_or_default();
        let stage = stage.as_str().unwrap_or_default();
        debug!(target: "gullsail_works", member, incarnation, number, server = name, stage, "stage");
    }
}
