//! The steps of a scenario that are queued for a later time, and the means by which faults act: orders to simulated
//! processes, disturbances of connections and signals to processes.

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
    BeginFault(Fault),
    /// A node that drains is ended and the endpoint list lists it as gone; a successor starts later.
    EndNode { node: String, by: String },
    /// The successor of a node starts.
    StartNode { node: String },
    /// A host is started, for the first time or after it was stopped or killed.
    StartHost { host: String },
    /// A paused process is resumed.
    Resume { name: String },
    /// Frames between two groups are lost for `every`, then pass for as long; repeated until `until`.
    Flap {
        a: Vec<String>,
        b: Vec<String>,
        one_way: bool,
        every: Duration,
        until: Instant,
    },
    /// A host reloads another configuration.
    Reload {
        host: String,
        next: Arc<ReloadDocument>,
    },
    /// An operator reports the reply to a command; `failure` is set if it was not the expected one.
    OperatorReport {
        text: String,
        failure: Option<String>,
    },
    /// A server that is offline for maintenance is switched off, and on again `after` that. With `back`, an operator
    /// then reports its return.
    SwitchOff {
        name: String,
        after: Duration,
        back: bool,
    },
    /// A server is switched on again. With `back`, an operator reports its return.
    SwitchOn { name: String, back: bool },
}

/// A configuration for hosts to reload, and the expected result.
pub(super) struct ReloadDocument {
    pub(super) revision: u64,
    pub(super) insist: bool,
    pub(super) expect: Expect,
    pub(super) text: String,
}

impl ScenarioRun<'_> {
    /// Runs a step that is due.
    pub(super) async fn run_step(
        &mut self,
        step: Step,
        changes: &mpsc::Sender<Change>,
        addresses: &BTreeMap<String, String>,
    ) -> Result<(), RunError> {
        match step {
            Step::BeginFault(fault) => self.begin_fault(fault, changes, addresses).await,
            Step::EndNode { node, by } => self.end_node(&node, by, addresses).await,
            Step::StartNode { node } => self.start_successor(&node, addresses).await?,
            Step::OperatorReport { text, failure } => {
                self.note(text);
                self.failures.extend(failure);
            }
            Step::SwitchOff { name, after, back } => {
                // Another operator with the same order may have switched the server off already.
                if self
                    .processes
                    .get(&name)
                    .is_none_or(|p| p.process.is_none())
                {
                    return Ok(());
                }
                self.switch_off(&name, addresses).await;
                let step = Step::SwitchOn { name, back };
                self.queued_steps.push((Instant::now() + after, step));
            }
            Step::SwitchOn { name, back } => self.switch_on(&name, back, addresses).await?,
            Step::Reload { host, next } => self.reload(&host, &next, changes).await,
            Step::StartHost { host } => {
                self.start_host(&host).await?;
                self.note(format!("{host} is back, without memory"));
            }
            Step::Resume { name } => {
                self.note(format!("{name} continues"));
                let now = self.wire.now();
                self.wire
                    .record_process_event(&name, now, ProcessEvent::Resumed);
                self.signal(&name, Signal::SIGCONT);
            }
            Step::Flap {
                a,
                b,
                one_way,
                every,
                until,
            } => {
                self.partition(&a, &b, one_way, every);
                let next = Instant::now() + 2 * every;
                if next < until {
                    let step = Step::Flap {
                        a,
                        b,
                        one_way,
                        every,
                        until,
                    };
                    self.queued_steps.push((next, step));
                }
            }
        }
        Ok(())
    }

    /// Kills a node's process; its successor starts [`SUCCESSOR_DELAY`] later.
    async fn end_node(&mut self, node: &str, by: String, addresses: &BTreeMap<String, String>) {
        self.note(format!("{node} ends"));
        if let Some(process) = self.processes.get_mut(node).and_then(|p| p.process.take()) {
            let now = self.wire.now();
            self.wire
                .record_process_event(node, now, ProcessEvent::Ended);
            process.kill().await;
        }
        self.list_as_gone(node, &by, addresses).await;
        let step = Step::StartNode { node: by };
        self.queued_steps
            .push((Instant::now() + SUCCESSOR_DELAY, step));
    }

    /// Starts a node and lists it as ready.
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
            entries: vec![self.list_entry(&place, ListedState::Ready, addresses)],
            ..Order::default()
        };
        self.send_order("list", order).await;
        Ok(())
    }

    /// Lists a node as gone, unless its successor `by` is the node itself.
    pub(super) async fn list_as_gone(
        &mut self,
        node: &str,
        by: &str,
        addresses: &BTreeMap<String, String>,
    ) {
        if let (true, Some(n)) = (node != by, self.deployment.node(node).cloned()) {
            let entries = vec![self.list_entry(&n, ListedState::Gone, addresses)];
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
    }

    /// Sends a signal to a process of this scenario by its id; does nothing if the process is not running.
    pub(super) fn signal(&mut self, name: &str, signal: Signal) {
        let process = self.processes.get(name).and_then(|p| p.process.as_ref());
        if let Some(Err(e)) = process.map(|p| p.signal(signal)) {
            self.failures.push(e.to_string());
        }
    }

    /// Drops the frames from group `a` to group `b` for a time, and unless `one_way` also those from `b` to `a`.
    pub(super) fn partition(&mut self, a: &[String], b: &[String], one_way: bool, lasts: Duration) {
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
                    kind: DisturbanceKind::Lose(1.0),
                });
            }
        }
    }

    /// Puts a disturbance of the frames and connections from one process to another in force.
    pub(super) fn disturb(&self, from: &str, to: &str, kind: DisturbanceKind, lasts: Span) {
        let until = Instant::now() + duration(lasts);
        self.wire.disturb(Disturbance {
            from: from.into(),
            to: to.into(),
            until,
            kind,
        });
    }

    /// Returns the names of all nodes for `*`, else the name itself.
    pub(super) fn node_names(&self, name: &str) -> Vec<String> {
        let all = self.deployment.nodes.iter().map(|n| n.place.name.clone());
        if name == "*" {
            all.collect()
        } else {
            vec![name.into()]
        }
    }

    /// Sends an order to start a fault to a node, or to all nodes for `*`.
    pub(super) async fn send_node_orders(&self, node: &str, kind: &str, size: f64, lasts: Span) {
        for name in self.node_names(node) {
            let order = Order {
                kind: kind.into(),
                size,
                duration_us: lasts.micros(),
                ..Order::default()
            };
            self.send_order(&name, order).await;
        }
    }
}
