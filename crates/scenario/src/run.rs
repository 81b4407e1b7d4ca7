//! Plays a scenario. Every process is reached through a recording proxy whose port is fixed before the process starts,
//! so a process that restarts on another port keeps its address.
//!
//! - `lifecycle`: starts and stops processes, and sends orders to simulated ones;
//! - `fault_start`, `faults`: the start of each fault, and the steps that are queued for later;
//! - `documents`: the configurations of the processes, and reloads;
//! - `maintenance`: operators who take servers offline;
//! - `allocations_log`: copies the shares that hosts logged into the recording, for the audit;
//! - `report`: the report;
//! - `sampler`: samples kernel counters of the hosts while the scenario runs.

mod allocations_log;
mod documents;
mod fault_start;
mod faults;
mod lifecycle;
mod maintenance;
mod report;
mod sampler;

pub use crate::error::RunError;
use crate::error::io;
use crate::processes::Process;
use crate::script::{Fault, Script};
use documents::with_proxy_addresses;
use faults::Step;
use gullsail_audit::Verdict;
use gullsail_configuration::Deployment;
use gullsail_host::control::State;
use gullsail_protocol::record::What;
use gullsail_scheduler_api::Span;
use gullsail_simulator::client::{self, Load, Tallies};
use gullsail_simulator::recording_proxy::{Wire, relay};
pub use report::Report;
use report::{account_mismatches, attempt_bytes};
use sampler::Sampler;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tracing::info;

/// The settings with which a scenario is played.
pub struct Stage {
    /// The path of this program, whose subcommands run the processes.
    pub program: PathBuf,
    /// The directory for the recording, the documents of the processes, their control sockets and their logs.
    pub dir: PathBuf,
    /// Seed of the load, of the disturbances and of the hosts.
    pub seed: u64,
    /// Whether the baseline runs in place of the hosts.
    pub baseline: bool,
}

/// The age of a node that runs from the start of the scenario: an hour in microseconds, which is beyond slow start.
const WARM_NODE_AGE_US: i64 = 3_600_000_000;

/// The process of one name, with the address to which its recording proxy forwards connections.
struct ProxiedProcess {
    /// `None`: the process is not running.
    process: Option<Process>,
    /// The address of the last process of this name; `None` before the first start.
    target: watch::Sender<Option<String>>,
    started: Instant,
    /// Whether the node has run from the start of the scenario and counts as warm.
    warm: bool,
}

/// A scenario that is being played: its processes, queued steps, events and failures. It is one struct because a step
/// may need any of these. Its methods are spread over the files of this module.
struct ScenarioRun<'a> {
    stage: &'a Stage,
    deployment: Arc<Deployment>,
    script: &'a Script,
    wire: Arc<Wire>,
    document: PathBuf,
    /// The newest configuration given to hosts, with its revision; 0: the scenario has no reloads.
    newest_document: (u64, String),
    failures: Vec<String>,
    processes: BTreeMap<String, ProxiedProcess>,
    started_at: Instant,
    events: Vec<(f64, String)>,
    /// The queued steps, each with the time when it is due.
    queued_steps: Vec<(Instant, Step)>,
    /// The tasks of operators, which send the steps that follow from their commands to `step_sender`.
    operators: JoinSet<()>,
    step_sender: mpsc::Sender<Step>,
    step_receiver: Option<mpsc::Receiver<Step>>,
    /// Samples the hosts; `None` once all processes have stopped.
    sampler: Option<Sampler>,
}

/// Plays a scenario: starts the processes, injects the faults, stops the processes and checks the rules against the
/// recording.
///
/// # Errors
/// The scenario could not be played. Broken rules are part of the report instead.
pub async fn play(
    text: &str,
    deployment: Deployment,
    script: &Script,
    stage: &Stage,
) -> Result<Report, RunError> {
    std::fs::create_dir_all(&stage.dir).map_err(io(stage.dir.display().to_string()))?;
    let frames = stage.dir.join("frames.jsonl");
    let recording = std::fs::File::create(&frames).map_err(io(frames.display().to_string()))?;
    let writer = Box::new(std::io::BufWriter::new(recording));
    let wire = Wire::new(stage.seed, Some(writer));
    let deployment = Arc::new(deployment);
    let mut proxies = Proxies::open(&deployment, script, &wire)?;
    let addresses = std::mem::take(&mut proxies.addresses);
    let mut run = ScenarioRun::new(
        deployment.clone(),
        script,
        stage,
        wire.clone(),
        std::mem::take(&mut proxies.processes),
    );
    run.write_documents(text, &addresses)?;
    run.start_all(&addresses).await?;
    let played = run.play_script(&addresses).await;
    run.operators.shutdown().await;
    let hosts = run.settled_states().await;
    let states = serde_json::to_string(&hosts).unwrap_or_default();
    write(&stage.dir.join("hosts.json"), &states)?;
    record_overruns(&wire, &hosts);
    let mut failures = run.stop_all().await;
    run.record_allocations();
    run.sampler = None;
    failures.append(&mut run.failures);
    wire.flush().map_err(io("the recording"))?;
    proxies.tasks.shutdown().await;
    let outcomes = played?;
    let recording = std::fs::read_to_string(&frames).map_err(io(frames.display().to_string()))?;
    if !deployment.cross_zone_budgets.is_empty() {
        let recorded = gullsail_audit::crossed(&deployment, &recording)?;
        failures.extend(account_mismatches(&recorded, &hosts, script));
    }
    failures.extend(wrong_answers(&outcomes));
    let verdicts = gullsail_audit::judge(&deployment, &recording)?;
    Ok(Report {
        name: script.name.clone(),
        seed: stage.seed,
        happened: run.events,
        outcomes,
        untested: untested_rules(script, &verdicts),
        verdicts,
        failures,
        hosts,
    })
}

/// Records the budget overruns in the hosts' states at the end of the scenario.
fn record_overruns(wire: &Wire, hosts: &[State]) {
    for host in hosts {
        for overrun in &host.past {
            let what = What::BudgetOverrun {
                budget: overrun.budget.clone(),
                cause: overrun.cause.clone(),
                bytes: overrun.bytes,
            };
            wire.record(&host.host, what);
        }
    }
}

/// Returns the rules that the script requires to be tested and that were not.
fn untested_rules(script: &Script, verdicts: &[Verdict]) -> Vec<u8> {
    let is_tested = |rule: &u8| {
        let mut verdicts = verdicts.iter();
        verdicts.any(|verdict| verdict.rule == *rule && verdict.tested > 0)
    };
    let required = script.tests.iter().copied();
    required.filter(|rule| !is_tested(rule)).collect()
}

/// Returns a failure for each kind of wrong answer that clients got, by request class and plan.
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

/// The number of threads of the relays. One can handle the frames of any scenario. The second continues while the
/// machine does not schedule the first.
const RELAY_THREADS: usize = 2;

/// A recording proxy for every process, at an address that is fixed before the process starts.
struct Proxies {
    /// The runtime of the relays. It has separate threads, since clients or script on the same thread would delay the
    /// relays and so the recorded times. `None`: taken for the shutdown.
    threads: Option<tokio::runtime::Runtime>,
    tasks: JoinSet<()>,
    addresses: BTreeMap<String, String>,
    processes: BTreeMap<String, ProxiedProcess>,
}

impl Proxies {
    fn open(
        deployment: &Deployment,
        script: &Script,
        wire: &Arc<Wire>,
    ) -> Result<Proxies, RunError> {
        let threads = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RELAY_THREADS)
            .enable_all()
            .build()
            .map_err(io("threads for the relays"))?;
        let relays = threads.handle().clone();
        let mut all = Proxies {
            threads: Some(threads),
            tasks: JoinSet::new(),
            addresses: BTreeMap::new(),
            processes: BTreeMap::new(),
        };
        let names = deployment
            .hosts
            .iter()
            .chain(deployment.nodes.iter().map(|n| &n.place))
            .map(|p| p.name.clone());
        for name in names
            .chain(script.newcomers.iter().cloned())
            .chain(["list".to_string()])
        {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(io("a free port"))?;
            listener.set_nonblocking(true).map_err(io("a free port"))?;
            let address = listener
                .local_addr()
                .map_err(io("a free port"))?
                .to_string();
            all.addresses.insert(name.clone(), address);
            let (target, target_receiver) = watch::channel(None);
            let (wire, relayed) = (wire.clone(), name.clone());
            let serve = async move {
                // Registering a bound listener fails only when the process has no file descriptors left.
                if let Ok(listener) = TcpListener::from_std(listener) {
                    relay(wire, relayed, listener, target_receiver).await;
                }
            };
            all.tasks.spawn_on(serve, &relays);
            let process = ProxiedProcess {
                process: None,
                target,
                started: Instant::now(),
                warm: false,
            };
            all.processes.insert(name, process);
        }
        Ok(all)
    }
}

impl Drop for Proxies {
    fn drop(&mut self) {
        // A runtime cannot be awaited in `drop`. The remaining tasks end with the runtime.
        if let Some(threads) = self.threads.take() {
            threads.shutdown_background();
        }
    }
}

/// The most times that the hosts' traffic accounts are read again after a scenario until they no longer change.
const MAX_ACCOUNT_READS: u32 = 12;
/// The time between two of these reads.
const ACCOUNT_READ_INTERVAL: Duration = Duration::from_millis(400);

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.micros().max(0) as u64)
}

impl<'a> ScenarioRun<'a> {
    fn new(
        deployment: Arc<Deployment>,
        script: &'a Script,
        stage: &'a Stage,
        wire: Arc<Wire>,
        processes: BTreeMap<String, ProxiedProcess>,
    ) -> ScenarioRun<'a> {
        let (step_sender, step_receiver) = mpsc::channel(64);
        ScenarioRun {
            sampler: Some(Sampler::start(wire.clone())),
            operators: JoinSet::new(),
            step_sender,
            step_receiver: Some(step_receiver),
            stage,
            deployment,
            script,
            wire,
            document: stage.dir.join("deployment.kdl"),
            newest_document: (0, String::new()),
            failures: Vec::new(),
            processes,
            started_at: Instant::now(),
            events: Vec::new(),
            queued_steps: Vec::new(),
        }
    }

    /// Writes the document with the proxies' addresses, and the script. If the scenario has reloads, each host gets a
    /// separate file.
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
        let resolved = with_proxy_addresses(text, addresses, reloads);
        write(&self.document, &resolved)?;
        write(&dir.join("script.kdl"), text)?;
        if reloads {
            for h in &self.deployment.hosts {
                write(&dir.join(format!("{}.kdl", h.name)), &resolved)?;
            }
            write(&dir.join("revision-1.kdl"), &resolved)?;
        }
        self.newest_document = (u64::from(reloads), resolved);
        if let (true, Some(first)) = (reloads, self.deployment.hosts.first()) {
            self.record_document(&first.name, 1, Some(self.newest_document.1.clone()), false);
        }
        Ok(())
    }

    /// Returns the hosts' states once their traffic accounts no longer change. By then hosts and proxies have counted
    /// the same late responses of nodes.
    async fn settled_states(&mut self) -> Vec<State> {
        let mut hosts = self.host_states().await;
        for _ in 0..MAX_ACCOUNT_READS {
            tokio::time::sleep(ACCOUNT_READ_INTERVAL).await;
            let before = std::mem::replace(&mut hosts, self.host_states().await);
            let totals = |all: &[State]| -> Vec<u64> {
                all.iter()
                    .map(|h| attempt_bytes(h).values().sum())
                    .collect()
            };
            if self.deployment.cross_zone_budgets.is_empty() || totals(&before) == totals(&hosts) {
                break;
            }
        }
        hosts
    }

    /// Logs and records an event of the scenario, and keeps it for the report.
    fn note(&mut self, text: String) {
        let at = self.started_at.elapsed().as_secs_f64();
        info!(at_s = at, event = text, "scenario event");
        self.wire.record("day", What::Fault { text: text.clone() });
        self.events.push((at, text));
    }

    /// Returns the hosts of the document, then those that a later document adds.
    fn host_names(&self) -> Vec<String> {
        let named = self.deployment.hosts.iter().map(|h| h.name.clone());
        named.chain(self.script.newcomers.iter().cloned()).collect()
    }

    /// Runs the clients and the steps of the script; returns the clients' tallies when the clients have finished.
    async fn play_script(
        &mut self,
        addresses: &BTreeMap<String, String>,
    ) -> Result<Tallies, RunError> {
        let s = self.script;
        self.started_at = Instant::now();
        let (changes, changed) = mpsc::channel(64);
        let load = Load {
            rates: s.rates.clone(),
            object_bytes: s.bytes,
            recent_read_share: s.fresh,
            max_attempts: s.tries,
            seed: self.stage.seed,
        };
        // New hosts come after those of the document, in the order that a later document has.
        let hosts = self
            .host_names()
            .iter()
            .map(|h| addresses[h].clone())
            .collect();
        let until = self.started_at + duration(s.lasts);
        let mut clients = JoinSet::new();
        clients.spawn(client::run(
            self.deployment.clone(),
            load,
            hosts,
            changed,
            until,
        ));
        self.queued_steps = s
            .faults
            .iter()
            .map(|(at, t)| (self.started_at + duration(*at), Step::BeginFault(t.clone())))
            .collect();
        let Some(mut step_receiver) = self.step_receiver.take() else {
            return Ok(Tallies::new());
        };
        loop {
            let next = self
                .queued_steps
                .iter()
                .enumerate()
                .min_by_key(|(place, l)| (l.0, *place));
            let next = next.map(|(place, l)| (place, l.0));
            let next_step_at = next.map_or(Instant::now() + Duration::from_secs(3600), |n| n.1);
            tokio::select! {
                done = clients.join_next() => return match done {
                    Some(Ok(tallies)) => Ok(tallies),
                    other => Err(RunError::Process { name: "clients".into(), cause: format!("{other:?}") }),
                },
                Some(step) = step_receiver.recv() => self.run_step(step, &changes, addresses).await?,
                _ = self.operators.join_next(), if !self.operators.is_empty() => {}
                () = sleep_until(next_step_at) => if let Some((place, _)) = next {
                    let (_, step) = self.queued_steps.remove(place);
                    self.run_step(step, &changes, addresses).await?;
                }
            }
        }
    }
}
