//! What goes wrong, and when: each trouble of the script as orders to stand-ins, harm on the wire, signals to processes.

use super::documents::changed;
use super::*;
use gullsail_host::core::maintenance::OperatorCommand;
use gullsail_simulator::recording_proxy::{Disturbance, Harm};
use nix::sys::signal::Signal;

pub(super) enum Step {
    Begin(Trouble),
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
    /// What came of an operator's word.
    Said {
        text: String,
        fault: Option<String>,
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
            Step::Begin(trouble) => self.begin(trouble, changes, addresses).await,
            Step::End { node, by } => {
                self.say(format!("{node} ends"));
                if let Some(process) = self.places.get_mut(&node).and_then(|p| p.process.take()) {
                    self.wire.process(&node, self.wire.now(), ProcessEvent::Ended);
                    process.kill().await;
                }
                self.gone(&node, &by, addresses).await;
                self.later.push((Instant::now() + Duration::from_millis(200), Step::Successor { node: by }));
            }
            Step::Successor { node } => {
                if let Some(n) = find(&self.d, &node) {
                    self.say(format!("{node} starts, cold"));
                    self.start_node(&n, false).await?;
                    let entries = vec![self.entry(&n, ListedState::Ready, addresses)];
                    self.order("list", Order { what: "set".into(), entries, ..Order::default() }).await;
                }
            }
            Step::Said { text, fault } => {
                self.say(text);
                self.faults.extend(fault);
            }
            Step::SwitchOff { name, after, back } => {
                // Two operators may have said the same, and one has done it.
                if self.places.get(&name).is_none_or(|p| p.process.is_none()) {
                    return Ok(());
                }
                self.switch_off(&name, addresses).await;
                self.later.push((Instant::now() + after, Step::SwitchOn { name, back }));
            }
            Step::SwitchOn { name, back } => self.switch_on(&name, back, addresses).await?,
            Step::Reload { host, next } => self.reload(&host, &next, changes).await,
            Step::HostBack { host } => {
                self.start_host(&host).await?;
                self.say(format!("{host} is back, knowing nothing"));
            }
            Step::GoOn { name } => {
                self.say(format!("{name} goes on"));
                self.wire.process(&name, self.wire.now(), ProcessEvent::Resumed);
                self.signal(&name, Signal::SIGCONT);
            }
            Step::Flap { a, b, one_way, every, until } => {
                self.part(&a, &b, one_way, every);
                let next = Instant::now() + 2 * every;
                if next < until {
                    self.later.push((next, Step::Flap { a, b, one_way, every, until }));
                }
            }
        }
        Ok(())
    }

    /// The list hears that a process no longer runs; of one that comes back it hears only then.
    pub(super) async fn gone(&mut self, node: &str, by: &str, addresses: &BTreeMap<String, String>) {
        if let (true, Some(n)) = (node != by, self.d.node(node).cloned()) {
            let entries = vec![self.entry(&n, ListedState::Gone, addresses)];
            self.order("list", Order { what: "set".into(), entries, ..Order::default() }).await;
        }
    }

    /// To a process of this day, by its own id; none runs: nothing to do.
    fn signal(&mut self, name: &str, signal: Signal) {
        let process = self.places.get(name).and_then(|p| p.process.as_ref());
        if let Some(Err(e)) = process.map(|p| p.signal(signal)) {
            self.faults.push(e.to_string());
        }
    }

    /// Frames from one group to the other are lost; the other way too, unless only one way is meant.
    fn part(&mut self, a: &[String], b: &[String], one_way: bool, lasts: Duration) {
        let until = Instant::now() + lasts;
        for (from, to) in a.iter().flat_map(|a| b.iter().map(move |b| (a, b))) {
            for (from, to) in [(from, to), (to, from)].into_iter().take(if one_way { 1 } else { 2 }) {
                self.wire.disturb(Disturbance {
                    from: from.clone(),
                    to: to.clone(),
                    until,
                    what: Harm::Lose(1.0),
                });
            }
        }
    }

    pub(super) fn harm(&self, from: &str, to: &str, what: Harm, lasts: Span) {
        let until = Instant::now() + duration(lasts);
        self.wire.disturb(Disturbance { from: from.into(), to: to.into(), until, what });
    }

    pub(super) fn nodes(&self, name: &str) -> Vec<String> {
        let all = self.d.nodes.iter().map(|n| n.place.name.clone());
        if name == "*" { all.collect() } else { vec![name.into()] }
    }

    pub(super) async fn begin(
        &mut self,
        trouble: Trouble,
        changes: &mpsc::Sender<Change>,
        addresses: &BTreeMap<String, String>,
    ) {
        let until = |lasts: Span| Instant::now() + duration(lasts);
        let text = format!("{trouble:?}");
        let text = text.replace("request_class: ", "stream_type: ");
        self.say(text.replace("Span(", "us(").replace('"', ""));
        match trouble {
            Trouble::Surge { who, times, lasts } => {
                _ = changes.send(Change::Surge { who, times, until: until(lasts) }).await;
            }
            Trouble::Impatient { share, part, lasts } => {
                _ = changes.send(Change::Impatient { share, part, until: until(lasts) }).await;
            }
            Trouble::LeadMoves => _ = changes.send(Change::LeadMoves).await,
            Trouble::Stall { node, lasts } => self.order_nodes(&node, "stall", 1.0, lasts).await,
            Trouble::Slow { node, times, lasts } => self.order_nodes(&node, "slow", times, lasts).await,
            Trouble::Fail { node, share, lasts } => self.order_nodes(&node, "fail", share, lasts).await,
            Trouble::Costly { request_class, share, times, lasts } => {
                let what = "costly".into();
                let order = Order {
                    what,
                    size: times,
                    lasts_us: lasts.micros(),
                    share,
                    request_class,
                    ..Order::default()
                };
                for name in self.nodes("*") {
                    self.order(&name, order.clone()).await;
                }
            }
            Trouble::Replace { node, by, after } => {
                if let Some(process) = self.places.get_mut(&node).and_then(|p| p.process.take()) {
                    self.wire.process(&node, self.wire.now(), ProcessEvent::Killed);
                    process.kill().await;
                }
                self.gone(&node, &by, addresses).await;
                self.later.push((until(after), Step::Successor { node: by }));
            }
            Trouble::Release { node, by, after } => {
                if let Some(n) = self.d.node(&node).cloned() {
                    let entries = vec![self.entry(&n, ListedState::Draining, addresses)];
                    self.order("list", Order { what: "set".into(), entries, ..Order::default() }).await;
                }
                self.later.push((until(after), Step::End { node, by }));
            }
            Trouble::ListDown { lasts } => {
                let order = Order { what: "refuse".into(), lasts_us: lasts.micros(), ..Order::default() };
                self.order("list", order).await;
            }
            Trouble::LoseLabels { from, to, share, lasts } => {
                self.harm(&from, &to, Harm::LoseLabels(share), lasts);
                self.harm(&to, &from, Harm::LoseLabels(share), lasts);
            }
            Trouble::SwapLabels { from, to, lasts } => self.harm(&from, &to, Harm::SwapLabels, lasts),
            Trouble::Delay { from, to, by, lasts } => self.harm(&from, &to, Harm::Delay(duration(by)), lasts),
            Trouble::Reset { from, to, share, lasts } => self.harm(&from, &to, Harm::Reset(share), lasts),
            Trouble::Errors { node, share, lasts } => self.harm(&node, "*", Harm::Errors(share), lasts),
            Trouble::Lose { from, to, share, lasts } => self.harm(&from, &to, Harm::Lose(share), lasts),
            Trouble::HalfClose { from, to, share, lasts } => {
                self.harm(&from, &to, Harm::HalfClose(share), lasts);
            }
            Trouble::Refuse { to, lasts } => {
                self.harm("*", &to, Harm::Refuse, lasts);
                self.wire.cut("*", &to);
            }
            Trouble::Silent { to, lasts } => {
                self.harm("*", &to, Harm::Silent, lasts);
                self.wire.cut("*", &to);
            }
            Trouble::Cut { from, to } => self.wire.cut(&from, &to),
            Trouble::KillHost { host, after } => {
                if let Some(process) = self.places.get_mut(&host).and_then(|p| p.process.take()) {
                    self.wire.process(&host, self.wire.now(), ProcessEvent::Killed);
                    process.kill().await;
                }
                self.later.extend(after.map(|after| (until(after), Step::HostBack { host })));
            }
            Trouble::StopHost { host, after } => {
                self.stop_host(&host).await;
                self.later.extend(after.map(|after| (until(after), Step::HostBack { host })));
            }
            Trouble::StartHost { host } => {
                self.later.push((Instant::now(), Step::HostBack { host }));
            }
            Trouble::Pause { name, lasts } => {
                self.wire.process(&name, self.wire.now(), ProcessEvent::Paused);
                self.signal(&name, Signal::SIGSTOP);
                self.later.push((until(lasts), Step::GoOn { name }));
            }
            Trouble::Part { a, b, one_way, lasts } => self.part(&a, &b, one_way, duration(lasts)),
            Trouble::Flap { a, b, one_way, every, lasts } => {
                let (every, until) = (duration(every), until(lasts));
                self.later.push((Instant::now(), Step::Flap { a, b, one_way, every, until }));
            }
            Trouble::Repeat { from, to, share, lasts } => {
                self.harm(&from, &to, Harm::Repeat(share), lasts);
            }
            Trouble::Out { .. } | Trouble::Cancel { .. } if self.stage.baseline => {
                self.say("the baseline knows of no works".into());
            }
            Trouble::Out { names, via, after, shard_away, returns, expect } => {
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
            Trouble::Cancel { names, via } => {
                let command = OperatorCommand { kind: "cancel".into(), names, ..OperatorCommand::default() };
                let operator = self.operator(command, &via, Expect::Taken, Duration::ZERO);
                self.operators.spawn(operator.only_say());
            }
            Trouble::StartNode { node } => {
                self.later.push((Instant::now(), Step::Successor { node }));
            }
            Trouble::Reload { .. } if self.stage.baseline => {
                self.say("the baseline takes no other document: it keeps its own".into());
            }
            Trouble::Reload { host, every, insist, expect, entries } => {
                let number = self.newest.0 + 1;
                let text = changed(&self.newest.1, &entries, number, addresses);
                let next = Arc::new(Next { revision: number, insist, expect, text: text.clone() });
                if expect == Expect::Taken {
                    let file = self.stage.dir.join(format!("revision-{number}.kdl"));
                    if let Err(e) = std::fs::write(&file, &text) {
                        self.faults.push(format!("{}: {e}", file.display()));
                    }
                    self.newest = (number, text);
                }
                let hosts = self.host_names().into_iter().filter(|h| host == "*" || *h == host);
                for (place, host) in hosts.collect::<Vec<_>>().into_iter().enumerate() {
                    let at = until(every.times(place as f64));
                    self.later.push((at, Step::Reload { host, next: next.clone() }));
                }
            }
        }
    }

    pub(super) async fn order_nodes(&self, node: &str, what: &str, size: f64, lasts: Span) {
        for name in self.nodes(node) {
            let order = Order { what: what.into(), size, lasts_us: lasts.micros(), ..Order::default() };
            self.order(&name, order).await;
        }
    }
}
