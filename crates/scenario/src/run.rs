//! Plays a script. Every process is reached through a relay whose port is known before the process starts, so
//! a process that comes back on another port is found where it was. What is started is in `lifecycle`, what
//! goes wrong in `faults`, other documents in `documents`, what came of it in `report`.

mod allocations_log;
mod documents;
mod fault_start;
mod faults;
mod lifecycle;
mod maintenance;
mod report;

pub use crate::error::RunError;
use crate::error::io;
use crate::processes::Process;
use crate::script::{Expect, Fault, Script};
use documents::resolve;
use faults::{Next, Step};
use gullsail_audit::Verdict;
use gullsail_configuration::{Deployment, NodePlace};
use gullsail_host::control::State;
use gullsail_protocol::record::{ProcessEvent, What};
use gullsail_protocol::{ListedEndpoint, ListedState, Order};
use gullsail_scheduler_api::Span;
use gullsail_simulator::client::{self, Change, Load, Tallies};
use gullsail_simulator::recording_proxy::{Wire, relay};
pub use report::Report;
use report::{accounts, attempts_bytes};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

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
    failures: Vec<String>,
    places: BTreeMap<String, Place>,
    began: Instant,
    happened: Vec<(f64, String)>,
    /// What is still to come of faults that have begun.
    later: Vec<(Instant, Step)>,
    /// Operators at work, and how they tell what they see.
    operators: JoinSet<()>,
    step_sender: mpsc::Sender<Step>,
    step_receiver: Option<mpsc::Receiver<Step>>,
}

/// Plays the whole scenario: starts, faults, stops, and the judgement of what was recorded.
///
/// # Errors
/// What kept it from being played; rules that were broken are in the report.
pub async fn play(
    text: &str,
    d: Deployment,
    script: &Script,
    stage: &Stage,
) -> Result<Report, RunError> {
    std::fs::create_dir_all(&stage.dir).map_err(io(stage.dir.display().to_string()))?;
    let frames = stage.dir.join("frames.jsonl");
    let recording = std::fs::File::create(&frames).map_err(io(frames.display().to_string()))?;
    let wire = Wire::new(
        stage.seed,
        Some(Box::new(std::io::BufWriter::new(recording))),
    );
    let d = Arc::new(d);
    let mut proxies = Proxies::open(&d, script, &wire).await?;
    let addresses = proxies.addresses;
    let mut day = Day::new(d.clone(), script, stage, wire.clone(), proxies.places);
    day.write_documents(text, &addresses)?;
    day.start_all(&addresses).await?;
    let played = day.play_script(&addresses).await;
    day.operators.shutdown().await;
    let hosts = day.settled_states().await;
    write(
        &stage.dir.join("hosts.json"),
        &serde_json::to_string(&hosts).unwrap_or_default(),
    )?;
    for host in &hosts {
        for p in &host.past {
            let (budget, cause) = (p.budget.clone(), p.cause.clone());
            wire.record(
                &host.host,
                What::BudgetOverrun {
                    budget,
                    cause,
                    bytes: p.bytes,
                },
            );
        }
    }
    let mut failures = day.stop_all().await;
    day.record_allocations();
    failures.append(&mut day.failures);
    wire.flush().map_err(io("the recording"))?;
    proxies.tasks.shutdown().await;
    let outcomes = played?;
    let recording = std::fs::read_to_string(&frames).map_err(io(frames.display().to_string()))?;
    let verdicts = gullsail_audit::judge(&d, &recording)?;
    if !d.cross_zone_budgets.is_empty() {
        failures.extend(accounts(
            &gullsail_audit::crossed(&d, &recording)?,
            &hosts,
            script,
        ));
    }
    let tested = |rule: &u8| verdicts.iter().any(|v| v.rule == *rule && v.tested > 0);
    let untested = script
        .tests
        .iter()
        .copied()
        .filter(|rule| !tested(rule))
        .collect();
    failures.extend(wrong_answers(&outcomes));
    let (name, seed) = (script.name.clone(), stage.seed);
    Ok(Report {
        name,
        seed,
        happened: day.happened,
        outcomes,
        verdicts,
        untested,
        failures,
        hosts,
    })
}

/// Answers that no client may get, by request class and plan.
fn wrong_answers(outcomes: &Tallies) -> Vec<String> {
    let mut failures = Vec::new();
    for ((request_class, plan), t) in outcomes {
        for (count, what) in [
            (t.wrong_bytes, "reads with wrong bytes"),
            (t.second_answers, "second answers"),
        ] {
            if count > 0 {
                failures.push(format!("{request_class}, {plan}: {count} {what}"));
            }
        }
    }
    failures
}

fn write(file: &std::path::Path, text: &str) -> Result<(), RunError> {
    std::fs::write(file, text).map_err(io(file.display().to_string()))
}

/// A recording proxy before every process, at an address that is known before the process starts.
struct Proxies {
    tasks: JoinSet<()>,
    addresses: BTreeMap<String, String>,
    places: BTreeMap<String, Place>,
}

impl Proxies {
    async fn open(d: &Deployment, script: &Script, wire: &Arc<Wire>) -> Result<Proxies, RunError> {
        let mut all = Proxies {
            tasks: JoinSet::new(),
            addresses: BTreeMap::new(),
            places: BTreeMap::new(),
        };
        let names = d
            .hosts
            .iter()
            .chain(d.nodes.iter().map(|n| &n.place))
            .map(|p| p.name.clone());
        for name in names
            .chain(script.newcomers.iter().cloned())
            .chain(["list".to_string()])
        {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .map_err(io("a free port"))?;
            let address = listener
                .local_addr()
                .map_err(io("a free port"))?
                .to_string();
            all.addresses.insert(name.clone(), address);
            let (target, target_receiver) = watch::channel(None);
            all.tasks
                .spawn(relay(wire.clone(), name.clone(), listener, target_receiver));
            let place = Place {
                process: None,
                target,
                started: Instant::now(),
                warm: false,
            };
            all.places.insert(name, place);
        }
        Ok(all)
    }
}

/// How often, and how far apart, hosts are looked at after a day until nothing crosses any more.
const QUIET_LOOKS: u32 = 12;
const QUIET: Duration = Duration::from_millis(400);

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.micros().max(0) as u64)
}

impl<'a> Day<'a> {
    fn new(
        d: Arc<Deployment>,
        script: &'a Script,
        stage: &'a Stage,
        wire: Arc<Wire>,
        places: BTreeMap<String, Place>,
    ) -> Day<'a> {
        let (step_sender, step_receiver) = mpsc::channel(64);
        Day {
            operators: JoinSet::new(),
            step_sender,
            step_receiver: Some(step_receiver),
            stage,
            d,
            script,
            wire,
            document: stage.dir.join("deployment.kdl"),
            newest: (0, String::new()),
            failures: Vec::new(),
            places,
            began: Instant::now(),
            happened: Vec::new(),
            later: Vec::new(),
        }
    }

    /// The document with the proxies' addresses, for the processes; where hosts reload, one for each of them.
    fn write_documents(
        &mut self,
        text: &str,
        addresses: &BTreeMap<String, String>,
    ) -> Result<(), RunError> {
        let dir = &self.stage.dir;
        let reloads = self
            .script
            .faults
            .iter()
            .any(|t| matches!(t.1, Fault::Reload { .. }));
        let resolved = resolve(text, addresses, reloads);
        write(&self.document, &resolved)?;
        write(&dir.join("script.kdl"), text)?;
        if reloads {
            for h in &self.d.hosts {
                write(&dir.join(format!("{}.kdl", h.name)), &resolved)?;
            }
            write(&dir.join("revision-1.kdl"), &resolved)?;
        }
        self.newest = (u64::from(reloads), resolved);
        if let (true, Some(first)) = (reloads, self.d.hosts.first()) {
            self.record_document(&first.name, 1, Some(self.newest.1.clone()), false);
        }
        Ok(())
    }

    /// The hosts' states once nothing crosses between zones any more: what nodes still answer is then counted
    /// by hosts and proxies alike.
    async fn settled_states(&mut self) -> Vec<State> {
        let mut hosts = self.states().await;
        for _ in 0..QUIET_LOOKS {
            tokio::time::sleep(QUIET).await;
            let before = std::mem::replace(&mut hosts, self.states().await);
            let moved = |all: &[State]| -> Vec<u64> {
                all.iter()
                    .map(|h| attempts_bytes(h).values().sum())
                    .collect()
            };
            if self.d.cross_zone_budgets.is_empty() || moved(&before) == moved(&hosts) {
                break;
            }
        }
        hosts
    }

    fn say(&mut self, text: String) {
        let at = self.began.elapsed().as_secs_f64();
        info!(at, "{text}");
        self.wire.record("day", What::Fault { text: text.clone() });
        self.happened.push((at, text));
    }

    /// The document's, then those that a later one names.
    fn host_names(&self) -> Vec<String> {
        let named = self.d.hosts.iter().map(|h| h.name.clone());
        named.chain(self.script.newcomers.iter().cloned()).collect()
    }

    async fn play_script(
        &mut self,
        addresses: &BTreeMap<String, String>,
    ) -> Result<Tallies, RunError> {
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
        // Those of newcomers stand behind the document's, as they will in a later one.
        let hosts = self
            .host_names()
            .iter()
            .map(|h| addresses[h].clone())
            .collect();
        let until = self.began + duration(s.lasts);
        let mut clients = JoinSet::new();
        clients.spawn(client::run(self.d.clone(), load, hosts, changed, until));
        self.later = s
            .faults
            .iter()
            .map(|(at, t)| (self.began + duration(*at), Step::Begin(t.clone())))
            .collect();
        let Some(mut step_receiver) = self.step_receiver.take() else {
            return Ok(Tallies::new());
        };
        loop {
            let next = self
                .later
                .iter()
                .enumerate()
                .min_by_key(|(place, l)| (l.0, *place));
            let next = next.map(|(place, l)| (place, l.0));
            let next_step_at = next.map_or(Instant::now() + Duration::from_secs(3600), |n| n.1);
            tokio::select! {
                done = clients.join_next() => return match done {
                    Some(Ok(tallies)) => Ok(tallies),
                    other => Err(RunError::Process { name: "clients".into(), why: format!("{other:?}") }),
                },
                Some(step) = step_receiver.recv() => self.step(step, &changes, addresses).await?,
                _ = self.operators.join_next(), if !self.operators.is_empty() => {}
                () = sleep_until(next_step_at) => if let Some((place, _)) = next {
                    let (_, step) = self.later.remove(place);
                    self.step(step, &changes, addresses).await?;
                }
            }
        }
    }
}
