//! Machines out for work, as this host takes part: nodes that it may not send to are drains to the decisions and have no
//! connection from here; what it sees of machines, and let go of, is told to `gullsail-fleet`, whose line decides.

use super::*;
use gullsail_configuration::{meant, node_id, number};
use gullsail_fleet::maintenance::{Order, ServerId, ServerObservation, ServerRole, Stage};
use gullsail_protocol::FleetCommand;
use serde::{Deserialize, Serialize};

/// What an operator says of machines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorCommand {
    /// `out`, `back` or `cancel`.
    pub kind: String,
    /// Nodes, hosts, or zones: all that is in them.
    pub names: Vec<String>,
    /// How long they may be away; 0: as the document says.
    pub longest_ms: u64,
    #[serde(rename = "cell_away")]
    pub shard_away: bool,
    pub returns: bool,
    pub reason: String,
}

/// What came of it: taken, or why not.
pub type CommandOutcome = Result<(), String>;

/// An order, with names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderView {
    #[serde(rename = "machine")]
    pub server: String,
    /// Of orders that are open, so many come before it.
    pub before: usize,
    pub stage: Stage,
    pub for_ms: f64,
    pub longest_ms: f64,
    pub waits: String,
    /// Hosts that have not let go, or whose lease was waited out.
    pub hosts: Vec<String>,
    pub reason: String,
}

/// All orders as one host knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MaintenanceView {
    /// A coordinator has told the line.
    pub known: bool,
    /// Too many hosts had lost their memory when it began: orders given before may be lost.
    pub anew: bool,
    pub orders: Vec<OrderView>,
}

/// A word is answered within this time, as long as a majority of voters hears it; a host that leaves waits no longer for it.
const ANSWERED: Span = Span::from_micros(2_000_000);
/// Between looks at machines, while nothing happens: short beside a renewal, by which it is told.
const LOOK: Span = Span::from_micros(50_000);
/// Of one word.
const MOST_NAMES: usize = 1024;

fn of_host(name: &str) -> ServerId {
    ServerId(number(&format!("host {name}")))
}

fn of_node(id: NodeId) -> ServerId {
    ServerId(id.0)
}

impl Core {
    fn maintenance(&self) -> bool {
        self.fleet.is_some() && self.deployment.maintenance.is_some()
    }

    /// At the start nothing is known of any machine: nothing may be sent.
    pub(super) fn start_maintenance(&mut self) {
        if self.maintenance() {
            self.bars();
        }
    }

    /// After the fleet's turn, ahead of what is decided in this step.
    pub(super) fn maintenance_turn(&mut self, changed: bool) {
        if !self.maintenance() {
            return;
        }
        if changed {
            self.bars();
            self.write_stages();
        }
        if self.maintenance_at <= self.now || changed {
            self.let_go_of();
            self.maintenance_at = self.now + LOOK;
            if self.nodes.iter().any(|(_, n)| n.barred && n.dial.link().is_some()) {
                self.at(self.maintenance_at, Due::Fleet);
            }
        }
        let Some(fleet) = &mut self.fleet else { return };
        let answers: Vec<_> = fleet.answers().collect();
        if fleet.goes() && !self.stopping {
            info!("this host's machine goes out for work: nothing new is taken");
            self.stopping = true;
        }
        for (asker, said) in answers {
            self.commands.remove(&asker);
            let said = said.map_err(|(server, why)| format!("{}: {why}", self.server_name(server)));
            self.outputs.push(Output::CommandOutcome { asker, said });
        }
    }

    /// Which nodes nothing may be sent to, as drains ahead of all that came in this step.
    fn bars(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        let (now, mut entries, mut waiting) = (self.now, Vec::new(), Vec::new());
        let turned = |(id, n): (NodeId, &nodes::NodeSide)| {
            let barred = !fleet.may_use(of_node(id), now);
            (n.barred != barred).then_some((id, barred))
        };
        let turned: Vec<_> = self.nodes.iter().filter_map(turned).collect();
        for (id, barred) in &turned {
            let Some(n) = self.nodes.get(*id) else { continue };
            n.bar(*barred);
            entries.push(n.entry(*id, n.newest().1));
            if *barred {
                waiting.extend(std::mem::take(&mut n.pending));
            }
        }
        if !entries.is_empty() {
            let last = self
                .events
                .iter()
                .rposition(|e| matches!(e, Event::ConfigChanged { .. } | Event::EndpointList { .. }));
            let event = Event::EndpointList { update_kind: UpdateKind::Delta, entries };
            self.events.insert(last.map_or(0, |place| place + 1), event);
        }
        // None of them went out.
        waiting.into_iter().for_each(|attempt| self.attempt_over(attempt, AttemptOutcome::NotSent, None));
        if turned.iter().any(|t| !t.1) {
            self.dial_nodes();
        }
    }

    /// Barred nodes with no attempt lose their connection; then they are let go of, and the fleet is told what is seen.
    fn let_go_of(&mut self) {
        let barred = self.nodes.iter().filter(|(_, n)| n.barred);
        let barred: Vec<_> = barred.map(|(id, n)| (id, n.dial.link())).collect();
        for (id, link) in barred {
            if let Some(link) = link.filter(|_| self.requests.at_node(id).is_empty()) {
                self.hang_up(link, "out for work");
            }
        }
        let d = self.deployment.clone();
        let can = |name: &str| {
            let server = d.node(name).and_then(|n| d.servers.get(n.server));
            server.map_or(1.0, gullsail_configuration::Server::can)
        };
        let mut servers = gullsail_fleet::maintenance::Servers::new();
        let mut let_go = BTreeSet::new();
        for (id, n) in self.nodes.iter() {
            let ready = n.state == EndpointState::Ready;
            let what = ServerRole::Node { shard: n.shard.0, pool: number(&n.kind), can: can(&n.name) };
            let well = ready && (n.barred || n.dial.up().is_some());
            let (incarnation, started) = n.newest();
            let up = started.map_or(Span::ZERO, |at| (self.now - at).max(Span::ZERO));
            let seen = ServerObservation { what, zone: n.zone.0 as u32, well, incarnation, up };
            servers.insert(of_node(id), seen);
            if n.barred && n.dial.link().is_none() && self.requests.at_node(id).is_empty() {
                let_go.insert(of_node(id));
            }
        }
        for (place, h) in d.hosts.iter().enumerate() {
            let (what, zone) = (ServerRole::Host(place as u32), h.zone.0 as u32);
            let seen = ServerObservation { what, zone, well: true, incarnation: 0, up: Span::ZERO };
            servers.insert(of_host(&h.name), seen);
        }
        self.tell_fleet(FleetEvent::Sees { servers, let_go });
    }

    /// For whoever judges it later: when this host knew which stage of which order.
    fn write_stages(&mut self) {
        let Some(line) = self.fleet.as_ref().and_then(Fleet::line) else { return };
        let stages: Vec<_> = line.orders.iter().map(|o| (o.number, o.server, o.stage)).collect();
        for (number, server, stage) in stages {
            let known = self.stages.insert(number, stage);
            if known != Some(stage) {
                let (member, incarnation, name) = (self.name(), self.incarnation, self.server_name(server));
                let stage = serde_json::to_value(stage).ok().and_then(|s| s.as_str().map(str::to_string));
                let stage = stage.unwrap_or_default();
                debug!(target: "gullsail_works", member, incarnation, number, server = name, stage, "stage");
            }
        }
        while self.stages.len() > 4096 {
            self.stages.pop_first();
        }
    }

    fn name(&self) -> String {
        self.deployment.hosts.get(self.me.0 as usize).map_or(String::new(), |h| h.name.clone())
    }

    fn server_name(&self, server: ServerId) -> String {
        let node = self.nodes.iter().find(|(id, _)| of_node(*id) == server).map(|(_, n)| n.name.clone());
        let host =
            || self.deployment.hosts.iter().find(|h| of_host(&h.name) == server).map(|h| h.name.clone());
        node.or_else(host).unwrap_or_else(|| format!("machine {}", server.0))
    }

    /// Names as machines; else what is wrong with them. A zone's name stands for all that is in it.
    fn servers(&self, names: &[String]) -> Result<Vec<ServerId>, String> {
        let d = &self.deployment;
        let mut all = Vec::new();
        for name in names {
            let before = all.len();
            if let Some(zone) = d.zones.iter().position(|z| z == name) {
                let nodes =
                    self.nodes.iter().filter(|(_, n)| n.zone.0 == zone && n.state == EndpointState::Ready);
                all.extend(nodes.map(|(id, _)| of_node(id)));
                all.extend(d.hosts.iter().filter(|h| h.zone.0 == zone).map(|h| of_host(&h.name)));
            }
            if self.nodes.iter().any(|(id, n)| n.name == *name && id == node_id(name)) {
                all.push(of_node(node_id(name)));
            }
            if d.host(name).is_some() {
                all.push(of_host(name));
            }
            if all.len() == before {
                let nodes: Vec<String> = self.nodes.iter().map(|(_, n)| n.name.clone()).collect();
                let known = d.hosts.iter().map(|h| &h.name).chain(&nodes).chain(&d.zones);
                let known: Vec<&str> = known.map(String::as_str).collect();
                let meant = meant(name, &known).map_or(String::new(), |m| format!("; {m}"));
                return Err(format!("no node, host or zone is called \"{name}\" here{meant}"));
            }
        }
        all.sort_unstable();
        all.dedup();
        if all.is_empty() || all.len() > MOST_NAMES {
            return Err(format!("{} machines are named; one at least and {MOST_NAMES} at most", all.len()));
        }
        Ok(all)
    }

    pub(super) fn command(&mut self, asker: u64, command: OperatorCommand) {
        let kind = ["out", "back", "cancel"].iter().position(|k| *k == command.kind);
        let servers = self.servers(&command.names);
        let said = match (kind, servers) {
            _ if !self.maintenance() => {
                Err("the document has no `works`: machines are not taken out here".to_string())
            }
            (None, _) => Err(format!("\"{}\": out, back or cancel", command.kind)),
            (_, Err(why)) => Err(why),
            (Some(kind), Ok(servers)) => {
                let command = FleetCommand {
                    kind: kind as u32 + 1,
                    servers: servers.into_iter().map(|m| m.0).collect(),
                    longest_ms: command.longest_ms,
                    shard_away: command.shard_away,
                    returns: command.returns,
                    reason: command.reason,
                    ..FleetCommand::default()
                };
                let until = self.now + ANSWERED;
                self.commands.retain(|_, until| *until > self.now);
                self.commands.insert(asker, until);
                self.at(until, Due::Fleet);
                return self.tell_fleet(FleetEvent::OperatorCommand { number: asker, command });
            }
        };
        self.outputs.push(Output::CommandOutcome { asker, said });
    }

    pub fn maintenance_view(&self) -> Option<MaintenanceView> {
        let fleet = self.fleet.as_ref().filter(|_| self.maintenance())?;
        let name =
            |h: &u32| self.deployment.hosts.get(*h as usize).map_or(format!("host {h}"), |h| h.name.clone());
        let line = fleet.line();
        let before = |o: &Order| line.map_or(0, |l| l.open().filter(|b| b.number < o.number).count());
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
