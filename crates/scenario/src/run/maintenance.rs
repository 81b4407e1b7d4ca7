//! What operators do with machines out for work: their words, through hosts' control sockets, and the
//! machines, which they switch off once any host says that they may be, and on again. Each operator is a task
//! of its own: whoever asks a host that stands still waits, and the day goes on.

use super::*;
use gullsail_fleet::maintenance::Stage as Of;
use gullsail_host::control::{ControlReply, ControlRequest, ask};
use gullsail_host::core::maintenance::OperatorCommand;

/// Between looks at what hosts say, and how long one may take to say it.
const LOOK: Duration = Duration::from_millis(100);
const SAYS: Duration = Duration::from_millis(300);
/// For a word to be taken: some takeovers.
const PATIENCE: Duration = Duration::from_secs(30);

/// What an operator does and sees.
pub(super) struct Operator {
    pub(super) sockets: Vec<(String, PathBuf)>,
    pub(super) via: String,
    pub(super) command: OperatorCommand,
    pub(super) expect: Expect,
    pub(super) after: Duration,
    pub(super) step_sender: mpsc::Sender<Step>,
}

impl Operator {
    async fn say(&self) -> bool {
        let via = self
            .sockets
            .iter()
            .find(|s| s.0 == self.via)
            .or(self.sockets.first());
        let Some((name, socket)) = via else {
            return false;
        };
        let reply = ask(
            socket,
            ControlRequest::OperatorCommand(self.command.clone()),
            PATIENCE,
        )
        .await;
        let (got, what) = match reply {
            Ok(ControlReply::CommandTaken) => (Some(Expect::Taken), "taken".to_string()),
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
        // The day may be over.
        _ = self
            .step_sender
            .send(Step::OperatorReport { text, failure })
            .await;
        got == Some(Expect::Taken)
    }

    /// Says it, then switches off what is out, once each.
    pub(super) async fn out(self, servers: Vec<String>) {
        if !self.say().await {
            return;
        }
        let mut left = servers;
        while !left.is_empty() {
            tokio::time::sleep(LOOK).await;
            for (_, socket) in &self.sockets {
                let Ok(ControlReply::Status(state)) =
                    ask(socket, ControlRequest::Status, SAYS).await
                else {
                    continue;
                };
                let orders = state.maintenance.map(|w| w.orders).unwrap_or_default();
                let out = |name: &String| {
                    orders
                        .iter()
                        .any(|o| o.server == *name && matches!(o.stage, Of::Offline | Of::Overdue))
                };
                let over =
                    |name: &String| orders.iter().any(|o| o.server == *name && o.stage.over());
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

    pub(super) async fn only_say(self) {
        self.say().await;
    }

    /// Until somebody takes it: hosts come and go.
    pub(super) async fn insist(mut self) {
        for (name, _) in self.sockets.clone().iter().cycle().take(20) {
            self.via = name.clone();
            let (_, socket) = self
                .sockets
                .iter()
                .find(|s| s.0 == *name)
                .cloned()
                .unwrap_or_default();
            if let Ok(ControlReply::CommandTaken) = ask(
                &socket,
                ControlRequest::OperatorCommand(self.command.clone()),
                PATIENCE,
            )
            .await
            {
                let text = format!(
                    "{} {} through {name}: taken",
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
            tokio::time::sleep(LOOK).await;
        }
    }
}

impl Day<'_> {
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

    /// Names of machines: a zone's name stands for all in it that run.
    pub(super) fn servers(&self, names: &[String]) -> Vec<String> {
        let places = || {
            self.d
                .hosts
                .iter()
                .chain(self.d.nodes.iter().map(|n| &n.place))
        };
        let runs = |name: &str| self.places.get(name).is_some_and(|p| p.process.is_some());
        let mut all = Vec::new();
        for name in names {
            match self.d.zones.iter().position(|z| z == name) {
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
        if self.d.node(name).is_some() {
            self.say(format!("{name} is out: switched off"));
            if let Some(process) = self.places.get_mut(name).and_then(|p| p.process.take()) {
                self.wire
                    .process(name, self.wire.now(), ProcessEvent::Ended);
                process.kill().await;
            }
            return self.gone(name, "", addresses).await;
        }
        // A host ends by itself; whoever is out for its lease alone is ended.
        self.say(format!("{name} is out: switched off"));
        self.stop_host(name).await;
    }

    pub(super) async fn switch_on(
        &mut self,
        name: &str,
        back: bool,
        addresses: &BTreeMap<String, String>,
    ) -> Result<(), RunError> {
        self.say(format!("{name} is switched on, knowing nothing"));
        match self.d.node(name).cloned() {
            Some(n) => {
                self.start_node(&n, false).await?;
                let entries = vec![self.entry(&n, ListedState::Ready, addresses)];
                self.order(
                    "list",
                    Order {
                        what: "set".into(),
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
