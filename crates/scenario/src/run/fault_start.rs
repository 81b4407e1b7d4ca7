//! What begins with each fault of a script; what is still to come of it is queued as a [`Step`].

use super::ScenarioRun;
use super::documents::changed;
use super::duration;
use super::faults::{Next, Step};
use crate::script::Expect;
use crate::script::Fault;
use gullsail_host::core::maintenance::OperatorCommand;
use gullsail_protocol::ListedState;
use gullsail_protocol::Order;
use gullsail_protocol::record::ProcessEvent;
use gullsail_scheduler_api::Span;
use gullsail_simulator::client::Change;
use gullsail_simulator::recording_proxy::DisturbanceKind;
use nix::sys::signal::Signal;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

impl ScenarioRun<'_> {
    pub(super) async fn begin(
        &mut self,
        fault: Fault,
        changes: &mpsc::Sender<Change>,
        addresses: &BTreeMap<String, String>,
    ) {
        self.note(fault.describe());
        match fault {
            Fault::Surge { .. } | Fault::Impatient { .. } | Fault::LeadMoves => {
                self.change_load(fault, changes).await
            }
            Fault::Stall { .. }
            | Fault::Slow { .. }
            | Fault::Fail { .. }
            | Fault::Costly { .. }
            | Fault::ListDown { .. } => self.degrade_nodes(fault).await,
            Fault::Replace { .. } | Fault::Release { .. } | Fault::StartNode { .. } => {
                self.replace_node(fault, addresses).await
            }
            Fault::LoseLabels { .. }
            | Fault::SwapLabels { .. }
            | Fault::Delay { .. }
            | Fault::Reset { .. }
            | Fault::Errors { .. }
            | Fault::Lose { .. }
            | Fault::HalfClose { .. }
            | Fault::Refuse { .. }
            | Fault::Silent { .. }
            | Fault::Cut { .. }
            | Fault::Part { .. }
            | Fault::Flap { .. }
            | Fault::Repeat { .. } => self.disturb_connections(fault),
            Fault::KillHost { .. }
            | Fault::StopHost { .. }
            | Fault::StartHost { .. }
            | Fault::Pause { .. } => self.stop_processes(fault).await,
            Fault::Out { .. } | Fault::Cancel { .. } => self.send_operator(fault),
            Fault::Reload { .. } => self.schedule_reload(fault, addresses),
        }
    }

    /// What clients ask for.
    async fn change_load(&mut self, fault: Fault, changes: &mpsc::Sender<Change>) {
        let until = |lasts: Span| Instant::now() + duration(lasts);
        match fault {
            Fault::Surge { who, times, lasts } => {
                _ = changes
                    .send(Change::Surge {
                        who,
                        times,
                        until: until(lasts),
                    })
                    .await;
            }
            Fault::Impatient { share, part, lasts } => {
                _ = changes
                    .send(Change::Impatient {
                        share,
                        part,
                        until: until(lasts),
                    })
                    .await;
            }
            Fault::LeadMoves => _ = changes.send(Change::LeadMoves).await,
            _ => {}
        }
    }

    /// Nodes that stay up and do worse.
    async fn degrade_nodes(&mut self, fault: Fault) {
        match fault {
            Fault::Stall { node, lasts } => self.order_nodes(&node, "stall", 1.0, lasts).await,
            Fault::Slow { node, times, lasts } => {
                self.order_nodes(&node, "slow", times, lasts).await
            }
            Fault::Fail { node, share, lasts } => {
                self.order_nodes(&node, "fail", share, lasts).await
            }
            Fault::Costly {
                request_class,
                share,
                times,
                lasts,
            } => {
                let what = "costly".into();
                let order = Order {
                    kind: what,
                    size: times,
                    duration_us: lasts.micros(),
                    share,
                    request_class,
                    ..Order::default()
                };
                for name in self.nodes("*") {
                    self.order(&name, order.clone()).await;
                }
            }
            Fault::ListDown { lasts } => {
                let order = Order {
                    kind: "refuse".into(),
                    duration_us: lasts.micros(),
                    ..Order::default()
                };
                self.order("list", order).await;
            }
            _ => {}
        }
    }

    /// Nodes that end and what comes in their place.
    async fn replace_node(&mut self, fault: Fault, addresses: &BTreeMap<String, String>) {
        let until = |lasts: Span| Instant::now() + duration(lasts);
        match fault {
            Fault::Replace { node, by, after } => {
                if let Some(process) = self.places.get_mut(&node).and_then(|p| p.process.take()) {
                    self.wire
                        .process(&node, self.wire.now(), ProcessEvent::Killed);
                    process.kill().await;
                }
                self.gone(&node, &by, addresses).await;
                self.later
                    .push((until(after), Step::Successor { node: by }));
            }
            Fault::Release { node, by, after } => {
                if let Some(n) = self.deployment.node(&node).cloned() {
                    let entries = vec![self.entry(&n, ListedState::Draining, addresses)];
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
                self.later.push((until(after), Step::End { node, by }));
            }
            Fault::StartNode { node } => {
                self.later.push((Instant::now(), Step::Successor { node }));
            }
            _ => {}
        }
    }

    /// What the proxies do to frames and connections.
    fn disturb_connections(&mut self, fault: Fault) {
        match fault {
            Fault::Refuse { to, lasts } => {
                self.disturbance("*", &to, DisturbanceKind::Refuse, lasts);
                self.wire.cut("*", &to);
            }
            Fault::Silent { to, lasts } => {
                self.disturbance("*", &to, DisturbanceKind::Silent, lasts);
                self.wire.cut("*", &to);
            }
            Fault::Cut { from, to } => self.wire.cut(&from, &to),
            Fault::Part {
                a,
                b,
                one_way,
                lasts,
            } => self.part(&a, &b, one_way, duration(lasts)),
            Fault::Flap {
                a,
                b,
                one_way,
                every,
                lasts,
            } => {
                let step = Step::Flap {
                    a,
                    b,
                    one_way,
                    every: duration(every),
                    until: Instant::now() + duration(lasts),
                };
                self.later.push((Instant::now(), step));
            }
            other => self.disturb_frames(other),
        }
    }

    /// What the proxies do to single frames between two processes.
    fn disturb_frames(&mut self, fault: Fault) {
        match fault {
            Fault::LoseLabels {
                from,
                to,
                share,
                lasts,
            } => {
                let kind = DisturbanceKind::LoseDemandReports(share);
                self.disturbance(&from, &to, kind, lasts);
                self.disturbance(&to, &from, kind, lasts);
            }
            Fault::SwapLabels { from, to, lasts } => {
                self.disturbance(&from, &to, DisturbanceKind::SwapDemandReports, lasts)
            }
            Fault::Delay {
                from,
                to,
                by,
                lasts,
            } => self.disturbance(&from, &to, DisturbanceKind::Delay(duration(by)), lasts),
            Fault::Reset {
                from,
                to,
                share,
                lasts,
            } => self.disturbance(&from, &to, DisturbanceKind::Reset(share), lasts),
            Fault::Errors { node, share, lasts } => {
                self.disturbance(&node, "*", DisturbanceKind::Errors(share), lasts)
            }
            Fault::Lose {
                from,
                to,
                share,
                lasts,
            } => self.disturbance(&from, &to, DisturbanceKind::Lose(share), lasts),
            Fault::HalfClose {
                from,
                to,
                share,
                lasts,
            } => self.disturbance(&from, &to, DisturbanceKind::HalfClose(share), lasts),
            Fault::Repeat {
                from,
                to,
                share,
                lasts,
            } => self.disturbance(&from, &to, DisturbanceKind::Repeat(share), lasts),
            _ => {}
        }
    }

    /// Processes that are killed, ended, stopped for a while or started.
    async fn stop_processes(&mut self, fault: Fault) {
        let until = |lasts: Span| Instant::now() + duration(lasts);
        match fault {
            Fault::KillHost { host, after } => {
                if let Some(process) = self.places.get_mut(&host).and_then(|p| p.process.take()) {
                    self.wire
                        .process(&host, self.wire.now(), ProcessEvent::Killed);
                    process.kill().await;
                }
                self.later
                    .extend(after.map(|after| (until(after), Step::HostBack { host })));
            }
            Fault::StopHost { host, after } => {
                self.stop_host(&host).await;
                self.later
                    .extend(after.map(|after| (until(after), Step::HostBack { host })));
            }
            Fault::StartHost { host } => {
                self.later.push((Instant::now(), Step::HostBack { host }));
            }
            Fault::Pause { name, lasts } => {
                self.wire
                    .process(&name, self.wire.now(), ProcessEvent::Paused);
                self.signal(&name, Signal::SIGSTOP);
                self.later.push((until(lasts), Step::GoOn { name }));
            }
            _ => {}
        }
    }

    /// What operators ask hosts for.
    fn send_operator(&mut self, fault: Fault) {
        match fault {
            Fault::Out { .. } | Fault::Cancel { .. } if self.stage.baseline => {
                self.note("the baseline knows of no works".into());
            }
            Fault::Out {
                names,
                via,
                after,
                shard_away,
                returns,
                expect,
            } => {
                let servers = self.servers(&names);
                let command = OperatorCommand {
                    kind: "out".into(),
                    names,
                    shard_away,
                    returns,
                    ..OperatorCommand::default()
                };
                let operator = self.operator(command, &via, expect, duration(after));
                self.operators.spawn(operator.out(servers));
            }
            Fault::Cancel { names, via } => {
                let command = OperatorCommand {
                    kind: "cancel".into(),
                    names,
                    ..OperatorCommand::default()
                };
                let operator = self.operator(command, &via, Expect::Taken, Duration::ZERO);
                self.operators.spawn(operator.command_only());
            }
            _ => {}
        }
    }

    /// Another document for the hosts.
    fn schedule_reload(&mut self, fault: Fault, addresses: &BTreeMap<String, String>) {
        let until = |lasts: Span| Instant::now() + duration(lasts);
        match fault {
            Fault::Reload { .. } if self.stage.baseline => {
                self.note("the baseline takes no other document: it keeps its own".into());
            }
            Fault::Reload {
                host,
                every,
                insist,
                expect,
                entries,
            } => {
                let number = self.newest.0 + 1;
                let text = changed(&self.newest.1, &entries, number, addresses);
                let next = Arc::new(Next {
                    revision: number,
                    insist,
                    expect,
                    text: text.clone(),
                });
                if expect == Expect::Taken {
                    let file = self.stage.dir.join(format!("revision-{number}.kdl"));
                    if let Err(e) = std::fs::write(&file, &text) {
                        self.failures.push(format!("{}: {e}", file.display()));
                    }
                    self.newest = (number, text);
                }
                let hosts = self
                    .host_names()
                    .into_iter()
                    .filter(|h| host == "*" || *h == host);
                for (place, host) in hosts.collect::<Vec<_>>().into_iter().enumerate() {
                    let at = until(every.times(place as f64));
                    self.later.push((
                        at,
                        Step::Reload {
                            host,
                            next: next.clone(),
                        },
                    ));
                }
            }
            _ => {}
        }
    }
}
