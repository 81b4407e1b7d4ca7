//! The steps of a scenario that are queued for later: orders to simulated processes, disturbances of connections,
//! signals to processes.

use super::ScenarioRun;
use super::duration;
use crate::error::RunError;
use crate::script::Expect;
use crate::script::Fault;
use gullsail_protocol::ListedState;
use gullsail_protocol::Order;
use gullsail_protocol::record::ProcessEvent;
use gullsail_scheduler_api::Span;
use gullsail_simulator::client::Change;
use gullsail_simulator::recording_proxy::{Disturbance, DisturbanceKind};
use nix::sys::signal::Signal;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The time between the end of a node and the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(200);

/// A step of a scenario.
pub(super) enum Step {
    /// A fault of the script begins.
    Begin(Fault),
    /// The node's process ends now, and the endpoint list reports it; a successor starts later.
    End { node: String, by: String },
    /// The successor of a node starts.
    Successor { node: String },
    /// A host that was stopped or killed starts again.
    HostBack { host: String },
    /// A paused process continues.
    GoOn { name: String },
    /// Frames between two groups are lost for a while, then pass for as long, until that point.
    Flap {
        a: Vec<String>,
        b: Vec<String>,
        one_way: bool,
        every: Duration,
        until: Instant,
    },
    /// A host is given another configuration.
    Reload { host: String, next: Arc<Next> },
    /// The result of an operator's command.
    OperatorReport {
        text: String,
        failure: Option<String>,
    },
    /// A server is offline and is switched off; it is switched on later, and with `back` an operator reports its
    /// return.
    SwitchOff {
        name: String,
        after: Duration,
        back: bool,
    },
    /// A server is switched on again.
    SwitchOn { name: String, back: bool },
}

/// A configuration for hosts to reload, and the expected result.
pub(super) struct Next {
    pub(super) revision: u64,
    pub(super) insist: bool,
    pub(super) expect: Expect,
    pub(super) text: String,
}

impl ScenarioRun<'_> {
    pub(super) async fn step(
        &mut self,
        step: Step,
        changes: &mpsc::Sender<Change>,
        addresses: &BTreeMap<String, String>,
    ) -> Result<(), RunError> {
        match step {
            Step::Begin(fault) => self.begin(fault, changes, addresses).await,
            Step::End { node, by } => self.end_node(&node, by, addresses).await,
            Step::Successor { node } => self.start_successor(&node, addresses).await?,
            Step::OperatorReport { text, failure } => {
                self.note(text);
                self.failures.extend(failure);
            }
            Step::SwitchOff { name, after, back } => {
                // Another operator with the same order may have done it already.
                if self.places.get(&name).is_none_or(|p| p.process.is_none()) {
                    return Ok(());
                }
                self.switch_off(&name, addresses).await;
                let step = Step::SwitchOn { name, back };
                self.later.push((Instant::now() + after, step));
            }
            Step::SwitchOn { name, back } => self.switch_on(&name, back, addresses).await?,
            Step::Reload { host, next } => self.reload(&host, &next, changes).await,
            Step::HostBack { host } => {
                self.start_host(&host).await?;
                self.note(format!("{host} is back, without memory"));
            }
            Step::GoOn { name } => {
                self.note(format!("{name} continues"));
                let now = self.wire.now();
                self.wire.process(&name, now, ProcessEvent::Resumed);
                self.signal(&name, Signal::SIGCONT);
            }
            Step::Flap {
                a,
                b,
                one_way,
                every,
                until,
            } => {
                self.part(&a, &b, one_way, every);
                let next = Instant::now() + 2 * every;
                if next < until {
                    let step = Step::Flap {
                        a,
                        b,
                        one_way,
                        every,
                        until,
                    };
                    self.later.push((next, step));
                }
            }
        }
        Ok(())
    }

    /// A node's process exits; its successor starts a moment later.
    async fn end_node(&mut self, node: &str, by: String, addresses: &BTreeMap<String, String>) {
        self.note(format!("{node} ends"));
        if let Some(process) = self.places.get_mut(node).and_then(|p| p.process.take()) {
            let now = self.wire.now();
            self.wire.process(node, now, ProcessEvent::Ended);
            process.kill().await;
        }
        self.gone(node, &by, addresses).await;
        let step = Step::Successor { node: by };
        self.later.push((Instant::now() + SUCCESSOR_DELAY, step));
    }

    async fn start_successor(
        &mut self,
        node: &str,
        addresses: &BTreeMap<String, String>,
    ) -> Result<(), RunError> {
        let Some(place) = self.deployment.node(node).cloned() else {
            return Ok(());
        };
        self.note(format!("{node} starts and warms up"));
        self.start_node(&place, false).await?;
        let order = Order {
            kind: "set".into(),
            entries: vec![self.entry(&place, ListedState::Ready, addresses)],
            ..Order::default()
        };
        self.order("list", order).await;
        Ok(())
    }

    /// Tells the endpoint list that a node is gone, unless the same node comes back.
    pub(super) async fn gone(
        &mut self,
        node: &str,
        by: &str,
        addresses: &BTreeMap<String, String>,
    ) {
        if let (true, Some(n)) = (node != by, self.deployment.node(node).cloned()) {
            let entries = vec![self.entry(&n, ListedState::Gone, addresses)];
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
    }

    /// Sends a signal to a process of this scenario, by its id; does nothing if it does not run.
    pub(super) fn signal(&mut self, name: &str, signal: Signal) {
        let process = self.places.get(name).and_then(|p| p.process.as_ref());
        if let Some(Err(e)) = process.map(|p| p.signal(signal)) {
            self.failures.push(e.to_string());
        }
    }

    /// Frames from one group to the other are lost; the other way too, unless only one way is meant.
    pub(super) fn part(&mut self, a: &[String], b: &[String], one_way: bool, lasts: Duration) {
        let until = Instant::now() + lasts;
        for (from, to) in a.iter().flat_map(|a| b.iter().map(move |b| (a, b))) {
            for (from, to) in [(from, to), (to, from)]
                .into_iter()
                .take(if one_way { 1 } else { 2 })
            {
                self.wire.disturb(Disturbance {
                    from: from.clone(),
                    to: to.clone(),
                    until,
                    what: DisturbanceKind::Lose(1.0),
                });
            }
        }
    }

    pub(super) fn disturbance(&self, from: &str, to: &str, what: DisturbanceKind, lasts: Span) {
        let until = Instant::now() + duration(lasts);
        self.wire.disturb(Disturbance {
            from: from.into(),
            to: to.into(),
            until,
            what,
        });
    }

    pub(super) fn nodes(&self, name: &str) -> Vec<String> {
        let all = self.deployment.nodes.iter().map(|n| n.place.name.clone());
        if name == "*" {
            all.collect()
        } else {
            vec![name.into()]
        }
    }

    pub(super) async fn order_nodes(&self, node: &str, what: &str, size: f64, lasts: Span) {
        for name in self.nodes(node) {
            let order = Order {
                kind: what.into(),
                size,
                duration_us: lasts.micros(),
                ..Order::default()
            };
            self.order(&name, order).await;
        }
    }
}
