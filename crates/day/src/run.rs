//! Plays a script. Every process is reached through a relay whose port is known before the process starts, so
//! a process that comes back on another port is found where it was.

use crate::processes::Process;
use crate::script::{Expect, Script, Trouble};
use gullsail_audit::Verdict;
use gullsail_configuration::{Deployment, NodePlace};
use gullsail_host::control::{Ask, State, Told, ask};
use gullsail_interface::Span;
use gullsail_links::{Happened, Link};
use gullsail_protocol::record::{Life, What};
use gullsail_protocol::{Bounds, Frame, Hello, ListEntry, ListStanding, Order, Role};
use gullsail_standin::client::{self, Change, Load, Tallies};
use gullsail_standin::relay::{Disturbance, Harm, Wire, relay};
use kdl::{KdlDocument, KdlEntry, KdlNode};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RunError {
    #[error("process {name}: {why}")]
    Process { name: String, why: String },
    #[error("{what}: {error}")]
    Io { what: String, error: std::io::Error },
    #[error(transparent)]
    Recording(#[from] gullsail_audit::Fault),
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> RunError {
    |error| RunError::Io { what: what.into(), error }
}

/// Where and from what a day is played.
pub struct Stage {
    /// The program itself, whose subcommands the processes are.
    pub program: PathBuf,
    /// Holds the recording, the document as the processes read it, and their logs.
    pub dir: PathBuf,
    pub seed: u64,
    /// Hosts are the stand-in that sends all at once within even limits.
    pub baseline: bool,
}

/// What came of a day.
#[derive(Debug, Serialize)]
pub struct Report {
    pub name: String,
    pub seed: u64,
    /// When what happened, since the day began.
    pub happened: Vec<(f64, String)>,
    #[serde(serialize_with = "by_name")]
    pub outcomes: Tallies,
    pub verdicts: Vec<Verdict>,
    /// Rules that the script wants tested and that were not.
    pub untested: Vec<u8>,
    /// What went wrong besides: processes that did not stop, wrong bytes.
    pub faults: Vec<String>,
    /// What hosts said of themselves at the end, before they were stopped.
    pub hosts: Vec<State>,
}

fn by_name<S: serde::Serializer>(tallies: &Tallies, s: S) -> Result<S::Ok, S::Error> {
    s.collect_map(tallies.iter().map(|((stream_type, plan), t)| (format!("{stream_type}/{plan}"), t)))
}

impl Report {
    pub fn passed(&self) -> bool {
        self.verdicts.iter().all(Verdict::kept) && self.untested.is_empty() && self.faults.is_empty()
    }
}

/// The age of what was there before the day.
const OLD_US: i64 = 3_600_000_000;

/// A process that runs, and where its relay sends those who look for it.
struct Place {
    process: Option<Process>,
    target: watch::Sender<Option<String>>,
    started: Instant,
    /// It was there long before the day.
    warm: bool,
}

struct Day<'a> {
    stage: &'a Stage,
    d: Arc<Deployment>,
    script: &'a Script,
    wire: Arc<Wire>,
    document: PathBuf,
    /// The newest that hosts were given to keep, and its number; 0: this day changes none.
    newest: (u64, String),
    faults: Vec<String>,
    places: BTreeMap<String, Place>,
    began: Instant,
    happened: Vec<(f64, String)>,
    /// What is still to come of troubles that have begun.
    later: Vec<(Instant, Step)>,
}

enum Step {
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
    Reload {
        host: String,
        next: Arc<Next>,
    },
}

/// A document that hosts are to serve by, and what is expected of it.
struct Next {
    revision: u64,
    insist: bool,
    expect: Expect,
    text: String,
}

/// Plays the whole day: starts, troubles, stops, and the judgement of what was recorded.
///
/// # Errors
/// What kept it from being played; rules that were broken are in the report.
pub async fn play(text: &str, d: Deployment, script: &Script, stage: &Stage) -> Result<Report, RunError> {
    std::fs::create_dir_all(&stage.dir).map_err(io(stage.dir.display().to_string()))?;
    let frames = stage.dir.join("frames.jsonl");
    let recording = std::fs::File::create(&frames).map_err(io(frames.display().to_string()))?;
    let wire = Wire::new(stage.seed, Some(Box::new(std::io::BufWriter::new(recording))));
    let mut relays = JoinSet::new();
    let mut addresses = BTreeMap::new();
    let mut places = BTreeMap::new();
    let names = d.hosts.iter().chain(d.nodes.iter().map(|n| &n.place)).map(|p| p.name.clone());
    for name in names.chain(["list".to_string()]) {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("a free port"))?;
        addresses.insert(name.clone(), listener.local_addr().map_err(io("a free port"))?.to_string());
        let (target, told) = watch::channel(None);
        relays.spawn(relay(wire.clone(), name.clone(), listener, told));
        places.insert(name, Place { process: None, target, started: Instant::now(), warm: false });
    }
    let document = stage.dir.join("deployment.kdl");
    let reloads = script.troubles.iter().any(|t| matches!(t.1, Trouble::Reload { .. }));
    let resolved = resolve(text, &addresses, reloads);
    std::fs::write(&document, &resolved).map_err(io(document.display().to_string()))?;
    let script_file = stage.dir.join("script.kdl");
    std::fs::write(&script_file, text).map_err(io(script_file.display().to_string()))?;
    for h in d.hosts.iter().filter(|_| reloads) {
        let file = stage.dir.join(format!("{}.kdl", h.name));
        std::fs::write(&file, &resolved).map_err(io(file.display().to_string()))?;
    }
    if reloads {
        let file = stage.dir.join("revision-1.kdl");
        std::fs::write(&file, &resolved).map_err(io(file.display().to_string()))?;
    }
    let d = Arc::new(d);
    let mut day = Day {
        stage,
        d: d.clone(),
        script,
        wire: wire.clone(),
        document,
        newest: (u64::from(reloads), resolved),
        faults: Vec::new(),
        places,
        began: Instant::now(),
        happened: Vec::new(),
        later: Vec::new(),
    };
    if let (true, Some(first)) = (reloads, d.hosts.first()) {
        day.note_document(&first.name, 1, Some(day.newest.1.clone()), false);
    }
    day.start_all(&addresses).await?;
    let played = day.play_script(&addresses).await;
    let mut hosts = day.states().await;
    // What nodes still answer is counted by hosts and relays alike once nothing comes any more.
    for _ in 0..QUIET_LOOKS {
        tokio::time::sleep(QUIET).await;
        let before = std::mem::replace(&mut hosts, day.states().await);
        let moved =
            |all: &[State]| -> Vec<u64> { all.iter().map(|h| legs_bytes(h).values().sum()).collect() };
        if d.crossings.is_empty() || moved(&before) == moved(&hosts) {
            break;
        }
    }
    let said = stage.dir.join("hosts.json");
    let text = serde_json::to_string(&hosts).unwrap_or_default();
    std::fs::write(&said, text).map_err(io(said.display().to_string()))?;
    for host in &hosts {
        for p in &host.past {
            let what = What::Past { budget: p.budget.clone(), cause: p.cause.clone(), bytes: p.bytes };
            wire.note(&host.host, what);
        }
    }
    let mut faults = day.stop_all().await;
    faults.append(&mut day.faults);
    wire.flush().map_err(io("the recording"))?;
    relays.shutdown().await;
    let outcomes = played?;
    let recording = std::fs::read_to_string(&frames).map_err(io(frames.display().to_string()))?;
    let verdicts = gullsail_audit::judge(&d, &recording)?;
    if !d.crossings.is_empty() {
        faults.extend(accounts(&gullsail_audit::crossed(&d, &recording)?, &hosts, script));
    }
    let tested = |rule: &u8| verdicts.iter().any(|v| v.rule == *rule && v.tested > 0);
    let untested = script.tests.iter().copied().filter(|rule| !tested(rule)).collect();
    for ((stream_type, plan), t) in &outcomes {
        for (count, what) in [(t.wrong_bytes, "reads with wrong bytes"), (t.second_answers, "second answers")]
        {
            if count > 0 {
                faults.push(format!("{stream_type}, {plan}: {count} {what}"));
            }
        }
    }
    let (name, seed) = (script.name.clone(), stage.seed);
    Ok(Report { name, seed, happened: day.happened, outcomes, verdicts, untested, faults, hosts })
}

/// How often, and how far apart, hosts are looked at after a day until nothing crosses any more.
const QUIET_LOOKS: u32 = 12;
const QUIET: Duration = Duration::from_millis(400);

/// Bytes of legs and answers that a host counted, by zones.
fn legs_bytes(h: &State) -> BTreeMap<(String, String), u64> {
    let mut counted = BTreeMap::new();
    for c in h.crossed.iter().filter(|c| c.reason != gullsail_zones::Reason::Peers) {
        *counted.entry((c.from.clone(), c.to.clone())).or_default() += c.total.bytes;
    }
    counted
}

/// Hosts' accounts against the recording, to the byte; where connections were broken on purpose, frames that a host
/// sent may never have come to the relay.
fn accounts(seen: &BTreeMap<(String, String, String), u64>, hosts: &[State], script: &Script) -> Vec<String> {
    let whole = |t: &Trouble| {
        !matches!(
            t,
            Trouble::KillHost { .. } | Trouble::Reset { .. } | Trouble::Cut { .. } | Trouble::Replace { .. }
        )
    };
    if !script.troubles.iter().all(|t| whole(&t.1)) {
        return Vec::new();
    }
    let mut faults = Vec::new();
    for h in hosts {
        let counted = legs_bytes(h);
        for (key, bytes) in seen.iter().filter(|(key, _)| key.0 == h.host) {
            let counted = counted.get(&(key.1.clone(), key.2.clone())).copied().unwrap_or_default();
            if counted != *bytes {
                faults
                    .push(format!("{}: {bytes} bytes from {} to {}, {counted} counted", key.0, key.1, key.2));
            }
        }
    }
    faults
}

/// The document with everybody's address: the relay's. Processes bind free ports of their own.
fn resolve(text: &str, addresses: &BTreeMap<String, String>, reloads: bool) -> String {
    let Ok(mut document) = KdlDocument::parse_v2(text) else { return text.into() };
    for n in document.nodes_mut() {
        let name = match n.name().value() {
            "host" | "node" => n.get(0).and_then(|v| v.as_string()).map(str::to_string),
            "list" => Some("list".to_string()),
            _ => None,
        };
        if let Some(address) = name.and_then(|name| addresses.get(&name)) {
            for (key, value) in [("address", address.as_str()), ("listen", "127.0.0.1:0")] {
                n.entries_mut().retain(|e| e.name().is_none_or(|k| k.value() != key));
                n.push(KdlEntry::new_prop(key, value));
            }
        }
    }
    // Days number their documents themselves.
    document.nodes_mut().retain(|n| !["day", "revision"].contains(&n.name().value()));
    if reloads {
        document.nodes_mut().push(revision(1, None));
    }
    document.to_string()
}

fn revision(number: u64, after: Option<&str>) -> KdlNode {
    let mut n = KdlNode::new("revision");
    n.push(KdlEntry::new(i128::from(number)));
    if let Some(after) = after {
        n.push(KdlEntry::new_prop("after", after));
    }
    n
}

/// The document with other entries in the place of its own of their kinds and names, and the number after its own.
fn changed(text: &str, entries: &[String], number: u64) -> String {
    let Ok(mut document) = KdlDocument::parse_v2(text) else { return text.into() };
    for entry in entries.iter().filter_map(|e| KdlDocument::parse_v2(e).ok()).flat_map(|d| d.nodes().to_vec())
    {
        let same = |n: &KdlNode| n.name().value() == entry.name().value() && n.get(0) == entry.get(0);
        match document.nodes_mut().iter_mut().find(|n| same(n)) {
            Some(n) => {
                // Where a process listens is not the script's to say.
                let kept: Vec<_> =
                    ["address", "listen"].iter().filter_map(|key| n.entry(*key).cloned()).collect();
                *n = entry;
                kept.into_iter().for_each(|e| n.push(e));
            }
            None => document.nodes_mut().push(entry),
        }
    }
    numbered(&document.to_string(), number, Some(&format!("revision-{}.kdl", number - 1)))
}

/// The document with this revision in the place of its own.
fn numbered(text: &str, number: u64, after: Option<&str>) -> String {
    let Ok(mut document) = KdlDocument::parse_v2(text) else { return text.into() };
    document.nodes_mut().retain(|n| n.name().value() != "revision");
    document.nodes_mut().push(revision(number, after));
    document.to_string()
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.micros().max(0) as u64)
}

impl Day<'_> {
    async fn start_all(&mut self, addresses: &BTreeMap<String, String>) -> Result<(), RunError> {
        let nodes: Vec<_> = self.d.nodes.iter().filter(|n| !n.spare).cloned().collect();
        for n in &nodes {
            self.start_node(n, true).await?;
        }
        self.start("list", vec!["list".into()], Some(0)).await?;
        // What the list knows from the start: who runs, and where.
        let entries = nodes.iter().map(|n| self.entry(n, ListStanding::Ready, addresses)).collect();
        self.order("list", Order { what: "set".into(), entries, ..Order::default() }).await;
        let hosts: Vec<_> = self.d.hosts.iter().map(|h| h.name.clone()).collect();
        for host in hosts {
            self.start_host(&host).await?;
        }
        Ok(())
    }

    async fn start(&mut self, name: &str, args: Vec<String>, at: Option<i64>) -> Result<(), RunError> {
        let mut args = args;
        let own = self.stage.dir.join(format!("{name}.kdl"));
        let file = if own.exists() { own } else { self.document.clone() };
        args.push(file.display().to_string());
        let process = Process::start(&self.stage.program, name, &args, &self.stage.dir).await?;
        let incarnation = process.listening.incarnation;
        self.wire.process(name, at.unwrap_or(self.wire.now()), Life::Started { incarnation });
        if let Some(place) = self.places.get_mut(name) {
            place.target.send_replace(Some(process.listening.address.clone()));
            (place.process, place.started, place.warm) = (Some(process), Instant::now(), at == Some(0));
        }
        Ok(())
    }

    async fn start_node(&mut self, n: &NodePlace, warm: bool) -> Result<(), RunError> {
        let mut args = vec!["node".into(), "--name".into(), n.place.name.clone()];
        if warm {
            args.extend(["--age".into(), "1h".into()]);
        }
        self.start(&n.place.name, args, warm.then_some(0)).await
    }

    async fn start_host(&mut self, host: &str) -> Result<(), RunError> {
        let program = if self.stage.baseline { "baseline" } else { "host" };
        let mut args = vec![program.to_string(), "--name".into(), host.into()];
        let life = self.happened.len() as u64;
        args.extend(["--seed".into(), (self.stage.seed.wrapping_mul(31).wrapping_add(life)).to_string()]);
        if let (false, Some((_, ahead))) =
            (self.stage.baseline, self.script.clocks.iter().find(|c| c.0 == host))
        {
            args.extend(["--clock-ahead".into(), format!("{}us", ahead.micros())]);
        }
        if !self.stage.baseline {
            args.extend(["--control".into(), self.socket(host).display().to_string()]);
        }
        self.start(host, args, None).await?;
        self.note_start(host);
        Ok(())
    }

    fn entry(
        &self,
        n: &NodePlace,
        standing: ListStanding,
        addresses: &BTreeMap<String, String>,
    ) -> ListEntry {
        let place = self.places.get(&n.place.name);
        let incarnation = place.and_then(|p| p.process.as_ref()).map_or(0, |p| p.listening.incarnation);
        let age = place.map_or(0, |p| if p.warm { OLD_US } else { p.started.elapsed().as_micros() as i64 });
        ListEntry {
            name: n.place.name.clone(),
            address: addresses.get(&n.place.name).cloned().unwrap_or_default(),
            cell: n.cell.0,
            zone: self.d.zones.get(n.place.zone.0).cloned().unwrap_or_default(),
            standing: standing as i32,
            age_us: age,
            incarnation,
            kind: n.kind.clone(),
        }
    }

    fn say(&mut self, text: String) {
        let at = self.began.elapsed().as_secs_f64();
        info!(at, "{text}");
        self.wire.note("day", What::Trouble { text: text.clone() });
        self.happened.push((at, text));
    }

    /// To a stand-in, on a connection of its own.
    async fn order(&self, name: &str, order: Order) {
        let address = self.places.get(name).and_then(|p| p.target.borrow().clone());
        let Some(address) = address else { return };
        let Ok(stream) = TcpStream::connect(&address).await else {
            return warn!(process = name, "can't be given an order");
        };
        let (sink, mut inbox) = mpsc::channel(8);
        let mut tasks = JoinSet::new();
        let link = Link::open(stream, (), Bounds::DEFAULT, 8, &sink, &mut tasks);
        let hello = Hello { role: Role::Client as i32, name: "script".into(), ..Hello::default() };
        let bytes = Frame::from(hello.clone()).len() + Frame::from(order.clone()).len();
        let (_, _) = (link.send(Frame::from(hello)), link.send(Frame::from(order)));
        let written = async {
            let mut left = bytes;
            while let Some(((), happened)) = inbox.recv().await {
                match happened {
                    Happened::Written(n) => left = left.saturating_sub(n),
                    Happened::Closed(_) => break,
                    Happened::Frame(_) => {}
                }
                if left == 0 {
                    break;
                }
            }
        };
        let _ = tokio::time::timeout(Duration::from_secs(2), written).await;
        drop(link);
        while tasks.join_next().await.is_some() {}
    }

    async fn play_script(&mut self, addresses: &BTreeMap<String, String>) -> Result<Tallies, RunError> {
        let s = self.script;
        self.began = Instant::now();
        let (changes, changed) = mpsc::channel(64);
        let load = Load {
            rates: s.rates.clone(),
            bytes: s.bytes,
            fresh: s.fresh,
            tries: s.tries,
            seed: self.stage.seed,
        };
        let hosts = self.d.hosts.iter().map(|h| addresses[&h.name].clone()).collect();
        let until = self.began + duration(s.lasts);
        let mut clients = JoinSet::new();
        clients.spawn(client::run(self.d.clone(), load, hosts, changed, until));
        self.later =
            s.troubles.iter().map(|(at, t)| (self.began + duration(*at), Step::Begin(t.clone()))).collect();
        loop {
            let next = self.later.iter().enumerate().min_by_key(|(place, l)| (l.0, *place));
            let next = next.map(|(place, l)| (place, l.0));
            let wake = next.map_or(Instant::now() + Duration::from_secs(3600), |n| n.1);
            tokio::select! {
                done = clients.join_next() => return match done {
                    Some(Ok(tallies)) => Ok(tallies),
                    other => Err(RunError::Process { name: "clients".into(), why: format!("{other:?}") }),
                },
                () = sleep_until(wake) => if let Some((place, _)) = next {
                    let (_, step) = self.later.remove(place);
                    self.step(step, &changes, addresses).await?;
                }
            }
        }
    }

    async fn step(
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
                    self.wire.process(&node, self.wire.now(), Life::Ended);
                    process.kill().await;
                }
                self.gone(&node, &by, addresses).await;
                self.later.push((Instant::now() + Duration::from_millis(200), Step::Successor { node: by }));
            }
            Step::Successor { node } => {
                if let Some(n) = find(&self.d, &node) {
                    self.say(format!("{node} starts, cold"));
                    self.start_node(&n, false).await?;
                    let entries = vec![self.entry(&n, ListStanding::Ready, addresses)];
                    self.order("list", Order { what: "set".into(), entries, ..Order::default() }).await;
                }
            }
            Step::Reload { host, next } => self.reload(&host, &next).await,
            Step::HostBack { host } => {
                self.start_host(&host).await?;
                self.say(format!("{host} is back, knowing nothing"));
            }
        }
        Ok(())
    }

    /// The list hears that a process no longer runs; of one that comes back it hears only then.
    async fn gone(&mut self, node: &str, by: &str, addresses: &BTreeMap<String, String>) {
        if let (true, Some(n)) = (node != by, self.d.node(node).cloned()) {
            let entries = vec![self.entry(&n, ListStanding::Gone, addresses)];
            self.order("list", Order { what: "set".into(), entries, ..Order::default() }).await;
        }
    }

    fn harm(&self, from: &str, to: &str, what: Harm, lasts: Span) {
        let until = Instant::now() + duration(lasts);
        self.wire.disturb(Disturbance { from: from.into(), to: to.into(), until, what });
    }

    fn nodes(&self, name: &str) -> Vec<String> {
        let all = self.d.nodes.iter().map(|n| n.place.name.clone());
        if name == "*" { all.collect() } else { vec![name.into()] }
    }

    async fn begin(
        &mut self,
        trouble: Trouble,
        changes: &mpsc::Sender<Change>,
        addresses: &BTreeMap<String, String>,
    ) {
        let until = |lasts: Span| Instant::now() + duration(lasts);
        let text = format!("{trouble:?}");
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
            Trouble::Costly { stream_type, share, times, lasts } => {
                let what = "costly".into();
                let order = Order {
                    what,
                    size: times,
                    lasts_us: lasts.micros(),
                    share,
                    stream_type,
                    ..Order::default()
                };
                for name in self.nodes("*") {
                    self.order(&name, order.clone()).await;
                }
            }
            Trouble::Replace { node, by, after } => {
                if let Some(process) = self.places.get_mut(&node).and_then(|p| p.process.take()) {
                    self.wire.process(&node, self.wire.now(), Life::Killed);
                    process.kill().await;
                }
                self.gone(&node, &by, addresses).await;
                self.later.push((until(after), Step::Successor { node: by }));
            }
            Trouble::Release { node, by, after } => {
                if let Some(n) = self.d.node(&node).cloned() {
                    let entries = vec![self.entry(&n, ListStanding::Draining, addresses)];
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
                    self.wire.process(&host, self.wire.now(), Life::Killed);
                    process.kill().await;
                }
                self.later.push((until(after), Step::HostBack { host }));
            }
            Trouble::Reload { .. } if self.stage.baseline => {
                self.say("the baseline takes no other document: it keeps its own".into());
            }
            Trouble::Reload { host, every, insist, expect, entries } => {
                let number = self.newest.0 + 1;
                let text = changed(&self.newest.1, &entries, number);
                let next = Arc::new(Next { revision: number, insist, expect, text: text.clone() });
                if expect == Expect::Taken {
                    let file = self.stage.dir.join(format!("revision-{number}.kdl"));
                    if let Err(e) = std::fs::write(&file, &text) {
                        self.faults.push(format!("{}: {e}", file.display()));
                    }
                    self.newest = (number, text);
                }
                let hosts = self.d.hosts.iter().map(|h| h.name.clone()).filter(|h| host == "*" || *h == host);
                for (place, host) in hosts.collect::<Vec<_>>().into_iter().enumerate() {
                    let at = until(every.times(place as f64));
                    self.later.push((at, Step::Reload { host, next: next.clone() }));
                }
            }
        }
    }

    fn socket(&self, host: &str) -> PathBuf {
        self.stage.dir.join(format!("{host}.sock"))
    }

    fn note_document(&self, host: &str, revision: u64, text: Option<String>, serves: bool) {
        self.wire.note(host, What::Document { revision, text, serves });
    }

    /// A host that starts serves by what is in its file.
    fn note_start(&self, host: &str) {
        let file = self.stage.dir.join(format!("{host}.kdl"));
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let document = KdlDocument::parse_v2(&text).unwrap_or_default();
        let number = document.get("revision").and_then(|n| n.get(0)).and_then(|v| v.as_integer());
        if let Some(revision) = number.and_then(|n| u64::try_from(n).ok()) {
            self.note_document(host, revision, None, true);
        }
    }

    /// As a host's operator does it: the new document into its file, then the question. What is not taken goes back.
    async fn reload(&mut self, host: &str, next: &Next) {
        let file = self.stage.dir.join(format!("{host}.kdl"));
        let before = std::fs::read_to_string(&file).unwrap_or_default();
        if let Err(e) = std::fs::write(&file, &next.text) {
            return self.faults.push(format!("{}: {e}", file.display()));
        }
        if self.places.get(host).is_none_or(|p| p.process.is_none()) {
            self.say(format!("{host} is down: it finds revision {} when it is back", next.revision));
            if next.expect != Expect::Taken {
                _ = std::fs::write(&file, before);
            }
            return;
        }
        if next.expect == Expect::Taken {
            // Alone, as the judge reads it.
            let alone = numbered(&next.text, next.revision, None);
            self.note_document(host, next.revision, Some(alone), false);
        }
        let told =
            ask(&self.socket(host), Ask::Reload { insist: next.insist }, Duration::from_secs(20)).await;
        let (got, say) = match told {
            Ok(Told::Taken { revision, changes }) => {
                self.note_document(host, revision, None, true);
                (Some(Expect::Taken), format!("{} change(s) taken", changes.len()))
            }
            Ok(Told::TurnedDown { why }) => {
                (Some(Expect::TurnedDown), format!("turned down: {}", why.join("; ")))
            }
            Ok(Told::Broken { problems }) => {
                let first = problems.first().map(|p| format!("{}:{} {}", p.line, p.column, p.message));
                (Some(Expect::Broken), format!("not sound: {}", first.unwrap_or_default()))
            }
            Ok(other) => (None, format!("{other:?}")),
            Err(e) => (None, e.to_string()),
        };
        self.say(format!("{host}, revision {}: {say}", next.revision));
        if got != Some(next.expect) {
            self.faults.push(format!(
                "{host}, revision {}: {:?} expected, got {got:?}: {say}",
                next.revision, next.expect
            ));
        }
        if got != Some(Expect::Taken) {
            _ = std::fs::write(&file, before);
        }
    }

    async fn states(&self) -> Vec<State> {
        let mut all = Vec::new();
        for h in self.d.hosts.iter().filter(|_| !self.stage.baseline) {
            let told = ask(&self.socket(&h.name), Ask::Status, Duration::from_secs(5)).await;
            if let Ok(Told::Status(state)) = told {
                all.push(*state);
            }
        }
        all
    }

    async fn order_nodes(&self, node: &str, what: &str, size: f64, lasts: Span) {
        for name in self.nodes(node) {
            let order = Order { what: what.into(), size, lasts_us: lasts.micros(), ..Order::default() };
            self.order(&name, order).await;
        }
    }

    /// Hosts are asked to stop and must leave by themselves; stand-ins are ended.
    async fn stop_all(&mut self) -> Vec<String> {
        let longest = self.d.stream_types.iter().map(|s| s.expiry).max().unwrap_or_default();
        let wait = duration(longest) + Duration::from_secs(10);
        let mut faults = Vec::new();
        let hosts: Vec<_> = self.d.hosts.iter().map(|h| h.name.clone()).collect();
        for (name, place) in &mut self.places {
            let Some(process) = place.process.take() else { continue };
            if !hosts.contains(name) {
                process.kill().await;
                continue;
            }
            match process.stop(wait).await {
                Ok(status) if status.success() => self.wire.process(name, self.wire.now(), Life::Ended),
                Ok(status) => faults.push(format!("{name} ended with {status}")),
                Err(e) => faults.push(e.to_string()),
            }
        }
        faults
    }
}

impl Report {
    /// For people: what happened when, what came of it, rule by rule.
    pub fn text(&self, dir: &Path) -> String {
        let mut text = format!("{} (seed {})\n", self.name, self.seed);
        for (at, what) in &self.happened {
            text += &format!("  {at:>6.2} s  {what}\n");
        }
        let mut table = comfy_table::Table::new();
        table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
        table.set_header([
            "stream type",
            "plan",
            "asked",
            "in SLO time",
            "late",
            "deferred",
            "abandoned",
            "not taken",
            "unanswered",
            "units in time",
        ]);
        for ((stream_type, plan), t) in &self.outcomes {
            let part = t.units_in_slo_time / t.units.max(1e-9) * 100.0;
            let counts =
                [t.first_tries, t.in_slo_time, t.late, t.deferred, t.abandoned, t.not_taken, t.unanswered];
            let mut row = vec![stream_type.clone(), plan.clone()];
            row.extend(counts.iter().map(u64::to_string));
            row.push(format!("{part:.1}%"));
            table.add_row(row);
        }
        text += &format!("{table}\n");
        for h in &self.hosts {
            let (c, ms) = (&h.counts, h.counts.longest_step_us as f64 / 1e3);
            text += &format!(
                "  {} at revision {}: longest step of its loop {ms:.1} ms, {} over 10 ms; documents taken {}, turned down {}\n",
                h.host, h.revision, c.long_steps, c.documents_taken, c.documents_turned_down
            );
            for p in &h.past {
                let span = (p.to_us - p.from_us) as f64 / 1e6;
                text += &format!(
                    "  {}: {} bytes past the budget {} in {span:.1} s: {}\n",
                    h.host, p.bytes, p.budget, p.cause
                );
            }
            if !h.behind.is_empty() {
                text += &format!("  {} waits for {} to follow\n", h.host, h.behind.join(" "));
            }
        }
        let recording = std::fs::read_to_string(dir.join("frames.jsonl")).unwrap_or_default();
        text += &gullsail_audit::table(&self.verdicts, &recording);
        for rule in &self.untested {
            text += &format!("rule {rule} was not put to the test\n");
        }
        for fault in &self.faults {
            text += &format!("{fault}\n");
        }
        text += if self.passed() { "passed\n" } else { "FAILED\n" };
        text
    }
}
