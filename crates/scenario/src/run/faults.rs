//! The queue of what is still to come in a scenario, step by step: orders to simulated processes,
//! disturbances of connections, signals to processes.

use super::*;
use gullsail_simulator::recording_proxy::{Disturbance, DisturbanceKind};
use nix::sys::signal::Signal;

pub(super) enum Step {
    Begin(Fault),
    /// The node's process ends now, for the list too; the successor comes after a while.
    End {
        node: String,
        by: String,
    },
    Successor {
        node: String,
    },
    HostBack {
        host: String,
    },
    /// The process called so goes on.
    GoOn {
        name: String,
    },
    /// Frames between two groups are lost for a while, then pass for as long, until that point.
    Flap {
        a: Vec<String>,
        b: Vec<String>,
        one_way: bool,
        every: Duration,
        until: Instant,
    },
    Reload {
        host: String,
        next: Arc<Next>,
    },
    /// What came of an operator's command.
    OperatorReport {
        text: String,
        failure: Option<String>,
    },
    /// A machine is out; it is there again after a while, and where `back` an operator says so.
    SwitchOff {
        name: String,
        after: Duration,
        back: bool,
    },
    SwitchOn {
        name: String,
        back: bool,
    },
}

/// A document that hosts are to serve by, and what is expected of it.
pub(super) struct Next {
    pub(super) revision: u64,
    pub(super) insist: bool,
    pub(super) expect: Expect,
    pub(super) text: String,
}

impl Day<'_> {
    pub(super) async fn step(
        &mut self,
        step: Step,
        changes: &mpsc::Sender<Change>,
        addresses: &BTreeMap<String, String>,
    ) -> Result<(), RunError> {
        let find = |d: &Deployment, name: &str| d.node(name).cloned();
        match step {
            Step::Begin(fault) => self.begin(fault, changes, addresses).await,
            Step::End { node, by } => {
                self.say(format!("{node} ends"));
                if let Some(process) = self.places.get_mut(&node).and_then(|p| p.process.take()) {
                    self.wire
                        .process(&node, self.wire.now(), ProcessEvent::Ended);
                    process.kill().await;
                }
                self.gone(&node, &by, addresses).await;
                self.later.push((
                    Instant::now() + Duration::from_millis(200),
                    Step::Successor { node: by },
                ));
            }
            Step::Successor { node } => {
                if let Some(n) = find(&self.d, &node) {
                    self.say(format!("{node} starts, cold"));
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
            }
            Step::OperatorReport { text, failure } => {
                self.say(text);
                self.failures.extend(failure);
            }
            Step::SwitchOff { name, after, back } => {
                // Two operators may have said the same, and one has done it.
                if self.places.get(&name).is_none_or(|p| p.process.is_none()) {
                    return Ok(());
                }
                self.switch_off(&name, addresses).await;
                self.later
                    .push((Instant::now() + after, Step::SwitchOn { name, back }));
            }
            Step::SwitchOn { name, back } => self.switch_on(&name, back, addresses).await?,
            Step::Reload { host, next } => self.reload(&host, &next, changes).await,
            Step::HostBack { host } => {
                self.start_host(&host).await?;
                self.say(format!("{host} is back, knowing nothing"));
            }
            Step::GoOn { name } => {
                self.say(format!("{name} goes on"));
                self.wire
                    .process(&name, self.wire.now(), ProcessEvent::Resumed);
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
                    self.later.push((
                        next,
                        Step::Flap {
                            a,
                            b,
                            one_way,
                            every,
                            until,
                        },
                    ));
                }
            }
        }
        Ok(())
    }

    /// The list hears that a process no longer runs; of one that comes back it hears only then.
    pub(super) async fn gone(
        &mut self,
        node: &str,
        by: &str,
        addresses: &BTreeMap<String, String>,
    ) {
        if let (true, Some(n)) = (node != by, self.d.node(node).cloned()) {
            let entries = vec![self.entry(&n, ListedState::Gone, addresses)];
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
    }

    /// To a process of this day, by its own id; none runs: nothing to do.
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
        let all = self.d.nodes.iter().map(|n| n.place.name.clone());
        if name == "*" {
            all.collect()
        } else {
            vec![name.into()]
        }
    }

    pub(super) async fn order_nodes(&self, node: &str, what: &str, size: f64, lasts: Span) {
        for name in self.nodes(node) {
            let order = Order {
                what: what.into(),
                size,
                lasts_us: lasts.micros(),
                ..Order::default()
            };
            self.order(&name, order).await;
        }
    }
}
