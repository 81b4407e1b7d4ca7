//! Operator commands on servers, and what operators see of maintenance. The commands go to `gullsail-fleet`,
//! whose maintenance coordinator decides. `server_drains` carries out its decisions on this host.

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

/// A maintenance order, with names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderView {
    /// The server's name.
    #[serde(rename = "machine")]
    pub server: String,
    /// How many open orders come before it.
    pub before: usize,
    /// How far it has come.
    pub stage: Stage,
    /// How long it has been in that stage, in milliseconds.
    pub for_ms: f64,
    /// How long the server may be offline, in milliseconds.
    pub longest_ms: f64,
    /// What it waits for.
    pub waits: String,
    /// Hosts that have not drained the server, or whose lease must expire first.
    pub hosts: Vec<String>,
    /// Why, as the operator gave it.
    pub reason: String,
}

/// All orders as one host knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MaintenanceView {
    /// A coordinator has reported the orders to this host.
    pub known: bool,
    /// Too many hosts had lost their state when this order book was started, so earlier orders may be lost.
    pub anew: bool,
    /// All orders.
    pub orders: Vec<OrderView>,
}

/// Kinds of commands, in the order of their numbers on the wire, which start at 1.
const COMMAND_KINDS: [&str; 3] = ["out", "back", "cancel"];

/// A host's id among servers.
pub(super) fn host_server(name: &str) -> ServerId {
    ServerId(number(&format!("host {name}")))
}

/// A node's id among servers.
pub(super) fn node_server(id: NodeId) -> ServerId {
    ServerId(id.0)
}

/// What this host keeps for operator commands and for the servers that go offline.
pub(super) struct MaintenanceState {
    /// When this host reports next to the fleet what it observes of servers.
    pub(super) next_observation: Instant,
    /// The stage of each maintenance order that was logged last, by the order's number.
    pub(super) logged_stages: BTreeMap<u64, Stage>,
    /// Operator commands without a result.
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

    /// This host's name.
    pub(super) fn own_name(&self) -> String {
        self.deployment
            .hosts
            .get(self.identity.host.0 as usize)
            .map_or(String::new(), |host| host.name.clone())
    }

    /// A server's name, for operators and the log.
    pub(super) fn server_name(&self, server: ServerId) -> String {
        let mut nodes = self.nodes.iter();
        if let Some((_, node)) = nodes.find(|(id, _)| node_server(*id) == server) {
            return node.name.clone();
        }
        let mut hosts = self.deployment.hosts.iter();
        match hosts.find(|host| host_server(&host.name) == server) {
            Some(host) => host.name.clone(),
            None => format!("server {}", server.0),
        }
    }

    /// The servers of these names. A zone's name stands for all nodes and hosts in it.
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

    /// The servers of one name, which may be that of a zone, a node, a host, or several of these.
    fn servers_named(&self, name: &str) -> Vec<ServerId> {
        let deployment = &self.deployment;
        let mut servers = Vec::new();
        if let Some(zone) = deployment.zones.iter().position(|zone| zone == name) {
            let nodes = self.nodes.iter();
            let ready =
                nodes.filter(|(_, node)| node.zone.0 == zone && node.state == EndpointState::Ready);
            servers.extend(ready.map(|(id, _)| node_server(id)));
            let hosts = deployment.hosts.iter().filter(|host| host.zone.0 == zone);
            servers.extend(hosts.map(|host| host_server(&host.name)));
        }
        let node = node_id(name);
        if self
            .nodes
            .iter()
            .any(|(id, record)| record.name == name && id == node)
        {
            servers.push(node_server(node));
        }
        if deployment.host(name).is_some() {
            servers.push(host_server(name));
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

    /// Hands an operator command to the fleet, or rejects it at once.
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

    /// What operators see of maintenance; `None`: it is not configured.
    pub fn maintenance_view(&self) -> Option<MaintenanceView> {
        if !self.maintenance_enabled() {
            return None;
        }
        let fleet = self.fleet.member.as_ref()?;
        let order_book = fleet.line();
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
            for_ms: order.aged(self.now).millis(),
            longest_ms: order.longest.millis(),
            waits: order.waiting_for.clone(),
            hosts: order
                .hosts
                .iter()
                .map(|host| self.host_name(*host))
                .collect(),
            reason: order.reason.clone(),
        }
    }

    /// A host's name by its number in the configuration.
    fn host_name(&self, number: u32) -> String {
        let host = self.deployment.hosts.get(number as usize);
        host.map_or_else(|| format!("host {number}"), |host| host.name.clone())
    }
}
