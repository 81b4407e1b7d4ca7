//! Operator commands on servers, and the state of maintenance for operators. A server is a node or a host. Commands
//! are passed to `gullsail-fleet`, whose maintenance coordinator decides on them. The module `server_drains` carries
//! out the coordinator's decisions on this host.

use super::Core;
use super::ids::RequesterId;
use super::input_output::Output;
use super::operator_command::MAX_SERVERS;
pub use super::operator_command::{CommandError, CommandOutcome, OperatorCommand};
use gullsail_configuration::{meant, node_id, number};
use gullsail_fleet::Event as FleetEvent;
use gullsail_fleet::maintenance::{Order, ServerId, Stage};
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::{EndpointState, Instant, NodeId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A maintenance order, with the names of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderView {
    /// Name of the server to take offline.
    #[serde(rename = "machine")]
    pub server: String,
    /// Number of open orders that were given before this one.
    pub before: usize,
    /// The stage that the order has reached.
    pub stage: Stage,
    /// How long the order has been in that stage, in milliseconds.
    pub for_ms: f64,
    /// How long the server may be offline, in milliseconds.
    pub longest_ms: f64,
    /// What the order waits for, as a text for operators.
    pub waits: String,
    /// Names of the hosts that have not drained the server, or whose lease must expire first.
    pub hosts: Vec<String>,
    /// Why the operator gave the order.
    pub reason: String,
}

/// The maintenance orders as one host knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MaintenanceView {
    /// Whether a coordinator has reported the orders to this host.
    pub known: bool,
    /// Whether too many hosts had lost their state when this order book was started, so that earlier orders may be
    /// lost.
    pub anew: bool,
    /// Every order in the order book, open or finished.
    pub orders: Vec<OrderView>,
}

/// Kinds of commands, in the order of their numbers on the wire, which start at 1.
const COMMAND_KINDS: [&str; 3] = ["out", "back", "cancel"];

/// Returns the server id of a host.
pub(super) fn host_server_id(name: &str) -> ServerId {
    ServerId(number(&format!("host {name}")))
}

/// Returns the server id of a node.
pub(super) fn node_server_id(id: NodeId) -> ServerId {
    ServerId(id.0)
}

/// The state of operator commands, and of the observation of servers.
pub(super) struct MaintenanceState {
    /// The time of the next report to the fleet of what this host observes of servers.
    pub(super) next_observation: Instant,
    /// The stage of each maintenance order that was logged last, by the order's number.
    pub(super) logged_stages: BTreeMap<u64, Stage>,
    /// Requesters of operator commands that have no result yet.
    pub(super) pending_commands: BTreeSet<RequesterId>,
}

impl MaintenanceState {
    pub(super) fn new(now: Instant) -> MaintenanceState {
        MaintenanceState {
            next_observation: now,
            logged_stages: BTreeMap::new(),
            pending_commands: BTreeSet::new(),
        }
    }
}

impl Core {
    /// Whether servers can be taken offline: the configuration has a fleet and a `works` entry.
    pub(super) fn maintenance_enabled(&self) -> bool {
        self.fleet.member.is_some() && self.deployment.maintenance.is_some()
    }

    /// Returns this host's name in the configuration.
    pub(super) fn own_name(&self) -> String {
        self.deployment
            .hosts
            .get(self.identity.host.0 as usize)
            .map_or(String::new(), |host| host.name.clone())
    }

    /// Returns a server's name, for operators and the log. A server that is not known is named by its id.
    pub(super) fn server_name(&self, server: ServerId) -> String {
        let mut nodes = self.nodes.iter();
        if let Some((_, node)) = nodes.find(|(id, _)| node_server_id(*id) == server) {
            return node.name.clone();
        }
        let mut hosts = self.deployment.hosts.iter();
        match hosts.find(|host| host_server_id(&host.name) == server) {
            Some(host) => host.name.clone(),
            None => format!("server {}", server.0),
        }
    }

    /// Returns the servers of these names, without duplicates. A zone's name stands for its ready nodes and its
    /// hosts.
    fn servers(&self, names: &[String]) -> Result<Vec<ServerId>, CommandError> {
        let mut all = Vec::new();
        for name in names {
            let named = self.servers_named(name);
            if named.is_empty() {
                return Err(self.unknown_name(name));
            }
            all.extend(named);
        }
        all.sort_unstable();
        all.dedup();
        if all.is_empty() || all.len() > MAX_SERVERS {
            return Err(CommandError::ServerCount { count: all.len() });
        }
        Ok(all)
    }

    /// Returns the servers of one name. A zone, a node and a host may have the same name; then all are returned.
    fn servers_named(&self, name: &str) -> Vec<ServerId> {
        let deployment = &self.deployment;
        let mut servers = Vec::new();
        if let Some(zone) = deployment.zones.iter().position(|zone| zone == name) {
            let nodes = self.nodes.iter();
            let ready =
                nodes.filter(|(_, node)| node.zone.0 == zone && node.state == EndpointState::Ready);
            servers.extend(ready.map(|(id, _)| node_server_id(id)));
            let hosts = deployment.hosts.iter().filter(|host| host.zone.0 == zone);
            servers.extend(hosts.map(|host| host_server_id(&host.name)));
        }
        let node = node_id(name);
        if self
            .nodes
            .iter()
            .any(|(id, record)| record.name == name && id == node)
        {
            servers.push(node_server_id(node));
        }
        if deployment.host(name).is_some() {
            servers.push(host_server_id(name));
        }
        servers
    }

    fn unknown_name(&self, name: &str) -> CommandError {
        let deployment = &self.deployment;
        let nodes: Vec<String> = self
            .nodes
            .iter()
            .map(|(_, node)| node.name.clone())
            .collect();
        let known = deployment
            .hosts
            .iter()
            .map(|host| &host.name)
            .chain(&nodes)
            .chain(&deployment.zones);
        let known: Vec<&str> = known.map(String::as_str).collect();
        let hint = meant(name, &known).map_or(String::new(), |meant| format!("; {meant}"));
        CommandError::UnknownName {
            name: name.to_string(),
            hint,
        }
    }

    /// Passes an operator command to the fleet, or rejects it at once if it is invalid.
    pub(super) fn command(&mut self, requester: RequesterId, command: OperatorCommand) {
        match self.fleet_command(command) {
            Err(error) => self.outputs.push(Output::CommandOutcome {
                requester,
                outcome: Err(error),
            }),
            Ok(command) => {
                self.maintenance.pending_commands.insert(requester);
                self.notify_fleet(FleetEvent::OperatorCommand {
                    number: requester,
                    command,
                });
            }
        }
    }

    fn fleet_command(&self, command: OperatorCommand) -> Result<FleetCommand, CommandError> {
        if !self.maintenance_enabled() {
            return Err(CommandError::NoMaintenance);
        }
        let Some(kind) = COMMAND_KINDS.iter().position(|kind| *kind == command.kind) else {
            return Err(CommandError::UnknownKind { kind: command.kind });
        };
        let servers = self.servers(&command.names)?;
        Ok(FleetCommand {
            kind: kind as u32 + 1,
            servers: servers.into_iter().map(|server| server.0).collect(),
            longest_ms: command.longest_ms,
            shard_away: command.shard_away,
            returns: command.returns,
            reason: command.reason,
            ..FleetCommand::default()
        })
    }

    /// Returns the state of maintenance for operators; `None`: maintenance is not configured.
    pub fn maintenance_view(&self) -> Option<MaintenanceView> {
        if !self.maintenance_enabled() {
            return None;
        }
        let fleet = self.fleet.member.as_ref()?;
        let order_book = fleet.order_book();
        let orders_before = |order: &Order| {
            order_book.map_or(0, |book| {
                let open = book.open();
                open.filter(|other| other.number < order.number).count()
            })
        };
        Some(MaintenanceView {
            known: order_book.is_some(),
            anew: order_book.is_some_and(|book| book.anew != 0),
            orders: fleet
                .orders()
                .map(|order| self.order_view(order, orders_before(order)))
                .collect(),
        })
    }

    fn order_view(&self, order: &Order, before: usize) -> OrderView {
        OrderView {
            server: self.server_name(order.server),
            before,
            stage: order.stage,
            for_ms: order.time_in_stage(self.now).millis(),
            longest_ms: order.max_offline.millis(),
            waits: order.waiting_for.clone(),
            hosts: order
                .hosts
                .iter()
                .map(|host| self.host_name(*host))
                .collect(),
            reason: order.reason.clone(),
        }
    }

    /// Returns a host's name by its index in the configuration.
    fn host_name(&self, number: u32) -> String {
        let host = self.deployment.hosts.get(number as usize);
        host.map_or_else(|| format!("host {number}"), |host| host.name.clone())
    }
}
