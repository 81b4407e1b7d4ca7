//! Operators who take servers offline: they send commands through hosts' control sockets, switch a server off once
//! any host shows it offline, and on again. Each operator is a task of its own, so that one who waits for a paused
//! host does not hold up the scenario.

use super::ScenarioRun;
use super::faults::Step;
use crate::error::RunError;
use crate::script::Expect;
use gullsail_fleet::maintenance::Stage as Of;
use gullsail_host::control::{ControlReply, ControlRequest, send_request};
use gullsail_host::core::maintenance::OperatorCommand;
use gullsail_protocol::ListedState;
use gullsail_protocol::Order;
use gullsail_protocol::record::ProcessEvent;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time between two looks at the maintenance queue.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a host may take to answer a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a command may take to be accepted: long enough for several takeovers.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// An operator and the command to give.
pub(super) struct Operator {
    pub(super) sockets: Vec<(String, PathBuf)>,
    pub(super) via: String,
    pub(super) command: OperatorCommand,
    pub(super) expect: Expect,
    pub(super) after: Duration,
    pub(super) step_sender: mpsc::Sender<Step>,
}

impl Operator {
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
        // The scenario may be over: nobody receives the report then.
        _ = self
            .step_sender
            .send(Step::OperatorReport { text, failure })
            .await;
        got == Some(Expect::Taken)
    }

    /// Sends the command, then switches each server off once it is offline.
    pub(super) async fn out(self, servers: Vec<String>) {
        if !self.send_command().await {
            return;
        }
        let mut left = servers;
        while !left.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
            for (_, socket) in &self.sockets {
                let Ok(ControlReply::Status(state)) =
                    send_request(socket, ControlRequest::Status, STATUS_TIMEOUT).await
                else {
                    continue;
                };
                let orders = state.maintenance.map(|w| w.orders).unwrap_or_default();
                let out = |name: &String| {
                    orders
                        .iter()
                        .any(|o| o.server == *name && matches!(o.stage, Of::Offline | Of::Overdue))
                };
                let over = |name: &String| {
                    orders
                        .iter()
                        .any(|o| o.server == *name && o.stage.has_ended())
                };
                let now: Vec<String> = left.iter().filter(|m| out(m)).cloned().collect();
                left.retain(|m| !now.contains(m) && !over(m));
                for name in now {
                    let (after, back) = (self.after, !self.command.returns);
                    _ = self
                        .step_sender
                        .send(Step::SwitchOff { name, after, back })
                        .await;
                }
            }
        }
    }

    pub(super) async fn command_only(self) {
        self.send_command().await;
    }

    /// Sends the command to one host after another until one accepts it: hosts come and go.
    pub(super) async fn insist(mut self) {
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
            .map(|h| (h.clone(), self.socket(&h)))
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

    /// The servers that the names stand for; a zone stands for all its servers that run.
    pub(super) fn servers(&self, names: &[String]) -> Vec<String> {
        let places = || {
            self.deployment
                .hosts
                .iter()
                .chain(self.deployment.nodes.iter().map(|n| &n.place))
        };
        let runs = |name: &str| self.places.get(name).is_some_and(|p| p.process.is_some());
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

    pub(super) async fn switch_off(&mut self, name: &str, addresses: &BTreeMap<String, String>) {
        if self.deployment.node(name).is_some() {
            self.note(format!("{name} is offline: switched off"));
            if let Some(process) = self.places.get_mut(name).and_then(|p| p.process.take()) {
                self.wire
                    .process(name, self.wire.now(), ProcessEvent::Ended);
                process.kill().await;
            }
            return self.gone(name, "", addresses).await;
        }
        // A host that is offline has ended by itself, unless only its lease has expired.
        self.note(format!("{name} is offline: switched off"));
        self.stop_host(name).await;
    }

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
                let entries = vec![self.entry(&n, ListedState::Ready, addresses)];
                self.order(
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
            self.operators.spawn(operator.insist());
        }
        Ok(())
    }
}
