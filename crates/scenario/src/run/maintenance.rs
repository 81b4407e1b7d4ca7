//! Simulated operators who take servers offline. They send commands through hosts' control sockets and request that a
//! server is switched off once any host reports it offline. Each operator is a separate task, so that the scenario
//! continues while an operator waits for a paused host.

use super::ScenarioRun;
use super::faults::Step;
use crate::error::RunError;
use crate::script::Expect;
use gullsail_fleet::maintenance::Stage as OrderStage;
use gullsail_host::control::{ControlReply, ControlRequest, send_request};
use gullsail_host::core::maintenance::OperatorCommand;
use gullsail_protocol::ListedState;
use gullsail_protocol::Order;
use gullsail_protocol::record::ProcessEvent;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;

/// The time between two status requests for the maintenance queue, or between two tries of a command.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a host may take to answer a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a command may take to be accepted: long enough for several takeovers.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// An operator with the command to send.
pub(super) struct Operator {
    /// The names and control sockets of all hosts.
    pub(super) sockets: Vec<(String, PathBuf)>,
    /// The host that gets the command; any other name stands for the first host.
    pub(super) via: String,
    pub(super) command: OperatorCommand,
    pub(super) expect: Expect,
    /// The time from switching a server off to switching it on.
    pub(super) after: Duration,
    pub(super) step_sender: mpsc::Sender<Step>,
}

impl Operator {
    /// Sends the command and reports the reply to the scenario. Returns whether the command was accepted.
    async fn send_command(&self) -> bool {
        let via = self
            .sockets
            .iter()
            .find(|s| s.0 == self.via)
            .or(self.sockets.first());
        let Some((name, socket)) = via else {
            return false;
        };
        let reply = send_request(
            socket,
            ControlRequest::OperatorCommand(self.command.clone()),
            COMMAND_TIMEOUT,
        )
        .await;
        let (got, what) = match reply {
            Ok(ControlReply::CommandTaken) => (Some(Expect::Taken), "accepted".to_string()),
            Ok(ControlReply::TurnedDown { why }) => (
                Some(Expect::TurnedDown),
                format!("refused: {}", why.join("; ")),
            ),
            Ok(other) => (None, format!("{other:?}")),
            Err(e) => (None, e.to_string()),
        };
        let text = format!(
            "{} {} through {name}: {what}",
            self.command.kind,
            self.command.names.join(" ")
        );
        let failure =
            (got != Some(self.expect)).then(|| format!("{text}, {:?} expected", self.expect));
        // The error is ignored: it means that the scenario is over.
        _ = self
            .step_sender
            .send(Step::OperatorReport { text, failure })
            .await;
        got == Some(Expect::Taken)
    }

    /// Sends the command, then has each server switched off once a host reports it offline.
    pub(super) async fn take_offline(self, servers: Vec<String>) {
        if !self.send_command().await {
            return;
        }
        let mut remaining = servers;
        while !remaining.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
            for (_, socket) in &self.sockets {
                let Ok(ControlReply::Status(state)) =
                    send_request(socket, ControlRequest::Status, STATUS_TIMEOUT).await
                else {
                    continue;
                };
                let orders = state.maintenance.map(|w| w.orders).unwrap_or_default();
                let is_offline = |name: &String| {
                    orders.iter().any(|o| {
                        o.server == *name
                            && matches!(o.stage, OrderStage::Offline | OrderStage::Overdue)
                    })
                };
                let is_over = |name: &String| {
                    orders
                        .iter()
                        .any(|o| o.server == *name && o.stage.has_ended())
                };
                let offline: Vec<String> = remaining
                    .iter()
                    .filter(|m| is_offline(m))
                    .cloned()
                    .collect();
                remaining.retain(|m| !offline.contains(m) && !is_over(m));
                for name in offline {
                    let (after, back) = (self.after, !self.command.returns);
                    _ = self
                        .step_sender
                        .send(Step::SwitchOff { name, after, back })
                        .await;
                }
            }
        }
    }

    /// Sends the command once and does nothing more.
    pub(super) async fn send_command_once(self) {
        self.send_command().await;
    }

    /// Sends the command to one host after another, 20 times at most, until one accepts it: a host may be down.
    pub(super) async fn send_until_accepted(mut self) {
        for (name, _) in self.sockets.clone().iter().cycle().take(20) {
            self.via = name.clone();
            let (_, socket) = self
                .sockets
                .iter()
                .find(|s| s.0 == *name)
                .cloned()
                .unwrap_or_default();
            if let Ok(ControlReply::CommandTaken) = send_request(
                &socket,
                ControlRequest::OperatorCommand(self.command.clone()),
                COMMAND_TIMEOUT,
            )
            .await
            {
                let text = format!(
                    "{} {} through {name}: accepted",
                    self.command.kind,
                    self.command.names.join(" ")
                );
                _ = self
                    .step_sender
                    .send(Step::OperatorReport {
                        text,
                        failure: None,
                    })
                    .await;
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl ScenarioRun<'_> {
    /// Creates an operator that can reach all hosts.
    pub(super) fn operator(
        &self,
        command: OperatorCommand,
        via: &str,
        expect: Expect,
        after: Duration,
    ) -> Operator {
        let sockets = self
            .host_names()
            .into_iter()
            .map(|h| (h.clone(), self.control_socket(&h)))
            .collect();
        Operator {
            sockets,
            via: via.into(),
            command,
            expect,
            after,
            step_sender: self.step_sender.clone(),
        }
    }

    /// Returns the servers that the names stand for. A zone stands for all its running servers.
    pub(super) fn servers(&self, names: &[String]) -> Vec<String> {
        let places = || {
            self.deployment
                .hosts
                .iter()
                .chain(self.deployment.nodes.iter().map(|n| &n.place))
        };
        let runs = |name: &str| {
            self.processes
                .get(name)
                .is_some_and(|p| p.process.is_some())
        };
        let mut all = Vec::new();
        for name in names {
            match self.deployment.zones.iter().position(|z| z == name) {
                Some(zone) => all.extend(
                    places()
                        .filter(|p| p.zone.0 == zone && runs(&p.name))
                        .map(|p| p.name.clone()),
                ),
                None => all.push(name.clone()),
            }
        }
        all
    }

    /// Kills a node, or stops a host, that is offline for maintenance.
    pub(super) async fn switch_off(&mut self, name: &str, addresses: &BTreeMap<String, String>) {
        if self.deployment.node(name).is_some() {
            self.note(format!("{name} is offline: switched off"));
            if let Some(process) = self.processes.get_mut(name).and_then(|p| p.process.take()) {
                self.wire
                    .record_process_event(name, self.wire.now(), ProcessEvent::Ended);
                process.kill().await;
            }
            return self.list_as_gone(name, "", addresses).await;
        }
        // A host that is offline has exited already, unless it counts as offline because its lease has expired.
        self.note(format!("{name} is offline: switched off"));
        self.stop_host(name).await;
    }

    /// Starts a server again after maintenance. With `back`, an operator reports its return to the hosts.
    pub(super) async fn switch_on(
        &mut self,
        name: &str,
        back: bool,
        addresses: &BTreeMap<String, String>,
    ) -> Result<(), RunError> {
        self.note(format!("{name} is switched on, without memory"));
        match self.deployment.node(name).cloned() {
            Some(n) => {
                self.start_node(&n, false).await?;
                let entries = vec![self.list_entry(&n, ListedState::Ready, addresses)];
                self.send_order(
                    "list",
                    Order {
                        kind: "set".into(),
                        entries,
                        ..Order::default()
                    },
                )
                .await;
            }
            None => self.start_host(name).await?,
        }
        if back {
            let command = OperatorCommand {
                kind: "back".into(),
                names: vec![name.into()],
                ..OperatorCommand::default()
            };
            let operator = self.operator(command, "", Expect::Taken, Duration::ZERO);
            self.operators.spawn(operator.send_until_accepted());
        }
        Ok(())
    }
}
