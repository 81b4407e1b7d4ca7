//! Operator commands on servers, and what operators see of maintenance. The commands go to `gullsail-fleet`,
//! whose maintenance coordinator decides; how this host acts on its decisions is in `server_drains`.

use super::Core;
use super::input_output::{Output, RequesterId};
use super::timers::TimerKind;
use gullsail_configuration::{meant, node_id, number};
use gullsail_fleet::Event as FleetEvent;
use gullsail_fleet::maintenance::{Order, ServerId, Stage};
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::{EndpointState, NodeId, Span};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An operator's command on servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorCommand {
    /// `out`, `back` or `cancel`.
    pub kind: String,
    /// Nodes, hosts, or zones: all that is in them.
    pub names: Vec<String>,
    /// How long they may be offline; 0: as configured.
    pub longest_ms: u64,
    /// Shards may be left without a node.
    #[serde(rename = "cell_away")]
    pub shard_away: bool,
    /// The servers will return.
    pub returns: bool,
    /// Why, for other operators.
    pub reason: String,
}

/// The result of an operator command: accepted, or why not.
pub type CommandOutcome = Result<(), CommandError>;

/// Why an operator command is not accepted. The texts are shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The configuration does not provide for maintenance.
    #[error("the document has no `works`: machines are not taken out here")]
    NoMaintenance,
    /// There is no such kind of command.
    #[error("\"{kind}\": out, back or cancel")]
    UnknownKind {
        /// What was given.
        kind: String,
    },
    /// There is no such server or zone.
    #[error("no node, host or zone is called \"{name}\" here{hint}")]
    UnknownName {
        /// What was given.
        name: String,
        /// A name that may have been meant, after a semicolon; or empty.
        hint: String,
    },
    /// Too few or too many servers are named.
    #[error("{count} machines are named; one at least and {max} at most", max = MAX_SERVERS)]
    ServerCount {
        /// How many.
        count: usize,
    },
    /// The fleet refuses the command for one of its servers.
    #[error("{server}: {reason}")]
    Refused {
        /// The server's name.
        server: String,
        /// Why.
        reason: String,
    },
}

/// A maintenance order, with names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderView {
    /// The server's name.
    #[serde(rename = "machine")]
    pub server: String,
    /// So many open orders come before it.
    pub before: usize,
    /// How far it has come.
    pub stage: Stage,
    /// How long it has been in that stage, in milliseconds.
    pub for_ms: f64,
    /// How long the server may be offline, in milliseconds.
    pub longest_ms: f64,
    /// What it waits for.
    pub waits: String,
    /// Hosts that have not drained the server, or whose lease had to run out.
    pub hosts: Vec<String>,
    /// Why, as the operator gave it.
    pub reason: String,
}

/// All orders as one host knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MaintenanceView {
    /// The orders are known from a coordinator.
    pub known: bool,
    /// Too many hosts had lost their state when this series of orders began: orders from before may be lost.
    pub anew: bool,
    /// All orders.
    pub orders: Vec<OrderView>,
}

/// A command has its result within this time, as long as a majority of voters can be reached; a host that
/// leaves waits no longer for it.
const COMMAND_TIMEOUT: Span = Span::from_micros(2_000_000);
/// By their numbers on the wire, from 1.
const COMMAND_KINDS: [&str; 3] = ["out", "back", "cancel"];
/// The most servers in one command.
const MAX_SERVERS: usize = 1024;

pub(super) fn of_host(name: &str) -> ServerId {
    ServerId(number(&format!("host {name}")))
}

pub(super) fn of_node(id: NodeId) -> ServerId {
    ServerId(id.0)
}

impl Core {
    /// Whether servers can be taken offline here.
    pub(super) fn maintenance(&self) -> bool {
        self.fleet.is_some() && self.deployment.maintenance.is_some()
    }

    /// This host's name.
    pub(super) fn name(&self) -> String {
        self.deployment
            .hosts
            .get(self.me.0 as usize)
            .map_or(String::new(), |h| h.name.clone())
    }

    pub(super) fn server_name(&self, server: ServerId) -> String {
        let node = self
            .nodes
            .iter()
            .find(|(id, _)| of_node(*id) == server)
            .map(|(_, n)| n.name.clone());
        let host = || {
            self.deployment
                .hosts
                .iter()
                .find(|h| of_host(&h.name) == server)
                .map(|h| h.name.clone())
        };
        node.or_else(host)
            .unwrap_or_else(|| format!("machine {}", server.0))
    }

    /// The servers of these names. A zone's name stands for all that is in it.
    fn servers(&self, names: &[String]) -> Result<Vec<ServerId>, CommandError> {
        let d = &self.deployment;
        let mut all = Vec::new();
        for name in names {
            let before = all.len();
            if let Some(zone) = d.zones.iter().position(|z| z == name) {
                let nodes = self
                    .nodes
                    .iter()
                    .filter(|(_, n)| n.zone.0 == zone && n.state == EndpointState::Ready);
                all.extend(nodes.map(|(id, _)| of_node(id)));
                all.extend(
                    d.hosts
                        .iter()
                        .filter(|h| h.zone.0 == zone)
                        .map(|h| of_host(&h.name)),
                );
            }
            if self
                .nodes
                .iter()
                .any(|(id, n)| n.name == *name && id == node_id(name))
            {
                all.push(of_node(node_id(name)));
            }
            if d.host(name).is_some() {
                all.push(of_host(name));
            }
            if all.len() == before {
                return Err(self.unknown_name(name));
            }
        }
        all.sort_unstable();
        all.dedup();
        if all.is_empty() || all.len() > MAX_SERVERS {
            return Err(CommandError::ServerCount { count: all.len() });
        }
        Ok(all)
    }

    fn unknown_name(&self, name: &str) -> CommandError {
        let d = &self.deployment;
        let nodes: Vec<String> = self.nodes.iter().map(|(_, n)| n.name.clone()).collect();
        let known = d
            .hosts
            .iter()
            .map(|h| &h.name)
            .chain(&nodes)
            .chain(&d.zones);
        let known: Vec<&str> = known.map(String::as_str).collect();
        let hint = meant(name, &known).map_or(String::new(), |m| format!("; {m}"));
        CommandError::UnknownName {
            name: name.to_string(),
            hint,
        }
    }

    /// Hands an operator command to the fleet, or refuses it at once.
    pub(super) fn command(&mut self, requester: RequesterId, command: OperatorCommand) {
        match self.fleet_command(command) {
            Err(error) => {
                self.outputs.push(Output::CommandOutcome {
                    requester,
                    outcome: Err(error),
                });
            }
            Ok(command) => {
                let until = self.now + COMMAND_TIMEOUT;
                self.pending_commands.retain(|_, until| *until > self.now);
                self.pending_commands.insert(requester, until);
                self.at(until, TimerKind::Fleet);
                self.notify_fleet(FleetEvent::OperatorCommand {
                    number: requester,
                    command,
                });
            }
        }
    }

    fn fleet_command(&self, command: OperatorCommand) -> Result<FleetCommand, CommandError> {
        if !self.maintenance() {
            return Err(CommandError::NoMaintenance);
        }
        let Some(kind) = COMMAND_KINDS.iter().position(|k| *k == command.kind) else {
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
        let fleet = self.fleet.as_ref().filter(|_| self.maintenance())?;
        let name = |h: &u32| {
            self.deployment
                .hosts
                .get(*h as usize)
                .map_or(format!("host {h}"), |h| h.name.clone())
        };
        let line = fleet.line();
        let before =
            |o: &Order| line.map_or(0, |l| l.open().filter(|b| b.number < o.number).count());
        let order = |o: &Order| OrderView {
            server: self.server_name(o.server),
            before: before(o),
            stage: o.stage,
            for_ms: o.aged(self.now).millis(),
            longest_ms: o.longest.millis(),
            waits: o.waits.clone(),
            hosts: o.hosts.iter().map(name).collect(),
            reason: o.reason.clone(),
        };
        Some(MaintenanceView {
            known: line.is_some(),
            anew: line.is_some_and(|l| l.anew != 0),
            orders: fleet.orders().map(order).collect(),
        })
    }
}
