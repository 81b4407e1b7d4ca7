//! Servers that go offline, as this host acts on them: nodes that it may not send to are draining for the
//! scheduler and lose their connection from here, and what is observed of all servers is reported to the
//! fleet.

use super::Core;
use super::input_output::Output;
use super::maintenance::{CommandError, of_host, of_node};
use super::nodes::NodeSide;
use super::timers::TimerKind;
use gullsail_configuration::number;
use gullsail_fleet::Event as FleetEvent;
use gullsail_fleet::Fleet;
use gullsail_fleet::maintenance::{ServerObservation, ServerRole, Servers};
use gullsail_scheduler_api::{AttemptOutcome, EndpointState, Event, NodeId, Span, UpdateKind};
use std::collections::BTreeSet;
use tracing::{debug, info};

/// Between observations of servers, while nothing happens: short beside a lease renewal, by which they are
/// reported.
const OBSERVATION_INTERVAL: Span = Span::from_micros(50_000);

impl Core {
    /// At the start nothing is known of any server: nothing may be sent.
    pub(super) fn start_maintenance(&mut self) {
        if self.maintenance() {
            self.update_barred_nodes();
        }
    }

    /// Called after the fleet's turn, ahead of what is decided in this step.
    pub(super) fn maintenance_turn(&mut self, changed: bool) {
        if !self.maintenance() {
            return;
        }
        if changed {
            self.update_barred_nodes();
            self.log_stages();
        }
        if self.next_server_check <= self.now || changed {
            self.drain_barred_nodes();
            self.report_servers();
            self.next_server_check = self.now + OBSERVATION_INTERVAL;
            if self
                .nodes
                .iter()
                .any(|(_, n)| n.barred && n.connection.link().is_some())
            {
                self.at(self.next_server_check, TimerKind::Fleet);
            }
        }
        let Some(fleet) = &mut self.fleet else { return };
        let answers: Vec<_> = fleet.answers().collect();
        if fleet.going_offline() && !self.stopping {
            info!("this host's machine goes out for work: nothing new is taken");
            self.stopping = true;
        }
        for (requester, answer) in answers {
            self.pending_commands.remove(&requester);
            let outcome = answer.map_err(|(server, reason)| CommandError::Refused {
                server: self.server_name(server),
                reason: reason.to_string(),
            });
            self.outputs
                .push(Output::CommandOutcome { requester, outcome });
        }
    }

    /// Nodes that nothing may be sent to become draining, ahead of all that came in this step; others are
    /// ready again.
    pub(super) fn update_barred_nodes(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        let now = self.now;
        let changed = |(id, n): (NodeId, &NodeSide)| {
            let barred = !fleet.may_use(of_node(id), now);
            (n.barred != barred).then_some((id, barred))
        };
        let changed: Vec<(NodeId, bool)> = self.nodes.iter().filter_map(changed).collect();
        let mut entries = Vec::new();
        let mut waiting = Vec::new();
        for (id, barred) in &changed {
            let Some(n) = self.nodes.get(*id) else {
                continue;
            };
            n.bar(*barred);
            entries.push(n.entry(*id, n.newest_start().at));
            if *barred {
                waiting.extend(std::mem::take(&mut n.pending));
            }
        }
        if !entries.is_empty() {
            let event = Event::EndpointList {
                update_kind: UpdateKind::Delta,
                entries,
            };
            self.insert_after_last(event, |e| {
                matches!(e, Event::ConfigChanged { .. } | Event::EndpointList { .. })
            });
        }
        // None of them was sent.
        for attempt in waiting {
            self.attempt_ended(attempt, AttemptOutcome::NotSent);
        }
        if changed.iter().any(|(_, barred)| !barred) {
            self.connect_nodes();
        }
    }

    /// Barred nodes without an attempt lose their connection.
    pub(super) fn drain_barred_nodes(&mut self) {
        let barred = self.nodes.iter().filter(|(_, n)| n.barred);
        let barred: Vec<_> = barred.map(|(id, n)| (id, n.connection.link())).collect();
        for (id, link) in barred {
            if let Some(link) = link.filter(|_| self.requests.at_node(id).is_empty()) {
                self.close_link(link, "out for work");
            }
        }
    }

    /// Reports to the fleet what this host observes of servers, and which barred nodes it has drained.
    pub(super) fn report_servers(&mut self) {
        let mut servers = Servers::new();
        let mut released = BTreeSet::new();
        for (id, n) in self.nodes.iter() {
            servers.insert(of_node(id), self.observe_node(n));
            if n.barred && n.connection.link().is_none() && self.requests.at_node(id).is_empty() {
                released.insert(of_node(id));
            }
        }
        for (place, host) in self.deployment.hosts.iter().enumerate() {
            let observation = ServerObservation {
                what: ServerRole::Host(place as u32),
                zone: host.zone.0 as u32,
                well: true,
                incarnation: 0,
                up: Span::ZERO,
            };
            servers.insert(of_host(&host.name), observation);
        }
        self.notify_fleet(FleetEvent::ServersObserved { servers, released });
    }

    pub(super) fn observe_node(&self, n: &NodeSide) -> ServerObservation {
        let d = &self.deployment;
        let server = d
            .node(&n.name)
            .and_then(|place| d.servers.get(place.server));
        let can = server.map_or(1.0, gullsail_configuration::Server::can);
        let start = n.newest_start();
        ServerObservation {
            what: ServerRole::Node {
                shard: n.shard.0,
                pool: number(&n.kind),
                can,
            },
            zone: n.zone.0 as u32,
            well: n.state == EndpointState::Ready && (n.barred || n.connection.up().is_some()),
            incarnation: start.incarnation,
            up: start
                .at
                .map_or(Span::ZERO, |at| (self.now - at).max(Span::ZERO)),
        }
    }

    /// Logs when this host knew which stage of which order. The scenario runner parses these lines.
    pub(super) fn log_stages(&mut self) {
        let Some(line) = self.fleet.as_ref().and_then(Fleet::line) else {
            return;
        };
        let stages: Vec<_> = line
            .orders
            .iter()
            .map(|o| (o.number, o.server, o.stage))
            .collect();
        for (number, server, stage) in stages {
            let known = self.logged_stages.insert(number, stage);
            if known != Some(stage) {
                let (member, incarnation, name) =
                    (self.name(), self.incarnation, self.server_name(server));
                let stage = serde_json::to_value(stage)
                    .ok()
                    .and_then(|s| s.as_str().map(str::to_string));
                let stage = stage.unwrap_or_default();
                debug!(target: "gullsail_works", member, incarnation, number, server = name, stage, "stage");
            }
        }
        while self.logged_stages.len() > 4096 {
            self.logged_stages.pop_first();
        }
    }
}
