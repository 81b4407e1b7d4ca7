//! The program `gullsail`: arguments, logs, exit codes. Exit code 0: done as asked; 1: a day failed, or a
//! process could not go on; 2: the arguments or a document are wrong.

mod atomic_file;
mod documents;
mod fleet;
mod logs;
mod maintenance;
mod zones;

use clap::{Parser, Subcommand, ValueEnum};
use gullsail_configuration::{HostBounds, Memory};
use gullsail_host::control::Control;
use gullsail_host::core::maintenance::OperatorCommand;
use gullsail_host::drive::{self, HostClock, HostProcess};
use gullsail_protocol::{ListedEndpoint, ListedState};
use gullsail_scenario::processes::Listening;
use gullsail_scheduler_api::Span;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tracing::info;

/// A storage gateway that keeps volumes to their reservations, shares and limits.
#[derive(Parser)]
#[command(version, propagate_version = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Logs for people, or one JSON object a line for machines; always on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogForm,
    /// What is logged, such as `info` or `gullsail_host=debug`.
    #[arg(long, global = true, default_value = "info", env = "GULLSAIL_LOG")]
    log_level: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one host until it is told to stop (SIGTERM, SIGINT).
    Host {
        file: PathBuf,
        /// Which of the document's hosts this is.
        #[arg(long)]
        name: String,
        /// For the host's own chance; drawn where it is not given.
        #[arg(long)]
        seed: Option<u64>,
        /// Sets this host's clock ahead, or behind with a minus: for trials.
        #[arg(long, allow_hyphen_values = true, default_value = "0s")]
        clock_ahead: String,
        /// Has this host's clock run faster by this part, or slower with a minus: for trials.
        #[arg(long, allow_hyphen_values = true, default_value_t = 0.0)]
        clock_drift: f64,
        /// Where the host's operator asks for its state and for reloads: a local socket, for this user only.
        #[arg(long)]
        control: Option<PathBuf>,
    },
    /// Has a running host read its document again. Exit code 0: it serves by it now; 1: turned down, the old one
    /// stays; 2: the new one is not sound.
    Reload {
        /// The host's control socket.
        control: PathBuf,
        /// With dangerous changes too, where they can be made while serving.
        #[arg(long)]
        insist: bool,
        #[arg(long)]
        json: bool,
    },
    /// What a running host serves by, which hosts have not followed yet, what it holds and what it counted.
    Status { control: PathBuf },
    /// Runs one host on the users' platform until it is told to stop (SIGTERM). SIGHUP has it read its document again.
    Platform {
        /// The platform's JSON document for this host.
        #[arg(env = "PROXY_CONFIG")]
        file: PathBuf,
    },
    /// Runs a baseline in a host's place: it sends all at once within even limits.
    Baseline {
        file: PathBuf,
        #[arg(long)]
        name: String,
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs a stand-in of one storage node.
    Node {
        file: PathBuf,
        #[arg(long)]
        name: String,
        /// How long it is taken to be up already: an old node is warm.
        #[arg(long, default_value = "0s")]
        age: humantime::Duration,
    },
    /// Runs a stand-in of the node list service.
    List { file: PathBuf },
    /// Plays a scripted day with real processes on loopback and judges the rules.
    #[command(alias = "day")]
    Scenario {
        /// A built-in day (see --list), `random`, or a document with a `day`.
        #[arg(required_unless_present = "list")]
        day: Option<String>,
        #[arg(long)]
        list: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keeps the recording, the logs and the documents here.
        #[arg(long)]
        record: Option<PathBuf>,
        #[arg(long)]
        json: bool,
        /// With the baseline in the hosts' place: what the decisions are worth on that day.
        #[arg(long)]
        baseline: bool,
    },
    /// What hosts settle among themselves.
    #[command(subcommand)]
    Fleet(Fleet),
    /// Traffic between zones.
    #[command(subcommand)]
    Zones(Zones),
    /// Judges a recording of a day again.
    Audit {
        dir: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Checks a document and all it includes, and says all that is wrong.
    Check {
        file: PathBuf,
        /// One object for each problem, for editors and CI.
        #[arg(long)]
        json: bool,
    },
    /// Says what the code of a problem means.
    Explain { code: String },
    /// Writes documents in the one way to write them; comments and order stay.
    Fmt {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Changes nothing; exit code 1 if something would change.
        #[arg(long)]
        check: bool,
    },
    /// What changed between two documents, by meaning. Exit code 0: nothing, or safe while serving; 1: hosts must
    /// start again; 3: dangerous.
    Diff {
        old: PathBuf,
        new: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// What one host will run with: includes and templates resolved, each entry with where it came from.
    Show {
        file: PathBuf,
        #[arg(long)]
        host: String,
    },
}

#[derive(Subcommand)]
enum Fleet {
    /// Epoch, coordinator, members with standing and reason, parts of budgets, as one host sees them; sums by the
    /// coordinator. Exit code 1: that host knows of no coordinator.
    Status {
        /// The host's control socket.
        control: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Has machines taken out for work, one after the other as the document's `works` allows. Exit code 0: the order counts
    /// (with --wait: all are out); 1: refused, or overdue.
    Out {
        /// Any host's control socket.
        control: PathBuf,
        /// Nodes, hosts, or zones: all that is in them.
        #[arg(required = true)]
        names: Vec<String>,
        /// How long each may be away; as the document says, if not given.
        #[arg(long, value_name = "SPAN")]
        r#for: Option<humantime::Duration>,
        #[arg(long, default_value = "")]
        reason: String,
        /// Shards may be without a holder meanwhile.
        #[arg(long = "cell-away")]
        shard_away: bool,
        /// Each is back as soon as it has started anew; else `fleet back` says so.
        #[arg(long)]
        returns: bool,
        /// Waits until all may be switched off, and shows how far it is.
        #[arg(long)]
        wait: bool,
    },
    /// Says that machines are back from work.
    Back {
        control: PathBuf,
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Takes the order for machines back that are not out yet.
    Cancel {
        control: PathBuf,
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Machines in line, how far each is and what it waits for.
    #[command(alias = "works")]
    Maintenance {
        control: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum Zones {
    /// Where volumes' new objects should go, zone by zone, to keep reserves and cost least. Exit code 1: nothing
    /// keeps all that the document asks for, and what clashes.
    Plan {
        file: PathBuf,
        /// Of a GiB that crosses.
        #[arg(long, default_value_t = 0.01)]
        price: f64,
        /// Writes the document with pools and routes by the plan here.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// What crossed, by zones, plan and reason, and what went past budgets.
    Report {
        /// Control sockets of running hosts, or folders of recorded days.
        #[arg(required = true)]
        sources: Vec<PathBuf>,
        #[arg(long, default_value_t = 0.01)]
        price: f64,
        #[arg(long, conflicts_with = "csv")]
        json: bool,
        #[arg(long)]
        csv: bool,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let logs = logs::start(&arguments.log_level, matches!(arguments.log, LogForm::Json));
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            logs::say(&format!("no runtime: {e}"));
            return ExitCode::from(1);
        }
    };
    let ended = runtime.block_on(run(arguments.command, &logs));
    // A document that a disk never gives back is read in a thread that can't be ended: it is not waited for.
    runtime.shutdown_background();
    match ended {
        Ok(code) => code,
        Err(report) => {
            logs::say(&format!("{report:?}"));
            ExitCode::from(2)
        }
    }
}

async fn run(command: Command, logs: &logs::Logs) -> Result<ExitCode> {
    logs::outlive_full_files();
    match command {
        Command::Host { file, name, seed, clock_ahead, clock_drift, control } => {
            let clock = (clock_ahead.as_str(), clock_drift);
            host(&file, &name, seed.unwrap_or_else(rand::random), clock, control, logs).await
        }
        Command::Platform { file } => platform(file, logs).await,
        Command::Reload { control, insist, json } => documents::reload(&control, insist, json).await,
        Command::Status { control } => documents::status(&control).await,
        Command::Baseline { file, name, seed } => {
            baseline(&file, &name, seed.unwrap_or_else(rand::random)).await
        }
        Command::Node { file, name, age } => node(&file, &name, age).await,
        Command::List { file } => list(&file).await,
        Command::Scenario { list: true, .. } => {
            for (name, what) in gullsail_scenario::built_in::all() {
                println!("{name:<14} {what}");
            }
            println!("{:<14} Two kinds of trouble, drawn by --seed.", "random");
            Ok(ExitCode::SUCCESS)
        }
        Command::Scenario { day, seed, record, json, baseline, .. } => {
            play(&day.unwrap_or_default(), seed, record, json, baseline).await
        }
        Command::Fleet(Fleet::Status { control, json }) => fleet::status(&control, json).await,
        Command::Fleet(Fleet::Out { control, names, r#for, reason, shard_away, returns, wait }) => {
            let longest_ms = r#for.map_or(0, |f| f.as_millis() as u64);
            let (kind, waits) = ("out".to_string(), wait.then(|| names.clone()));
            let command = OperatorCommand { kind, names, longest_ms, shard_away, returns, reason };
            maintenance::say(&control, command, waits).await
        }
        Command::Fleet(Fleet::Back { control, names }) => {
            let command = OperatorCommand { kind: "back".into(), names, ..OperatorCommand::default() };
            maintenance::say(&control, command, None).await
        }
        Command::Fleet(Fleet::Cancel { control, names }) => {
            let command = OperatorCommand { kind: "cancel".into(), names, ..OperatorCommand::default() };
            maintenance::say(&control, command, None).await
        }
        Command::Fleet(Fleet::Maintenance { control, json }) => maintenance::show(&control, json).await,
        Command::Zones(Zones::Plan { file, price, out }) => zones::plan(&file, price, out),
        Command::Zones(Zones::Report { sources, price, json, csv }) => {
            zones::report(&sources, price, json, csv).await
        }
        Command::Audit { dir, json } => audit(&dir, json),
        Command::Check { file, json } => documents::check(&file, json),
        Command::Explain { code } => documents::explain(&code),
        Command::Fmt { files, check } => documents::format(&files, check),
        Command::Diff { old, new, json } => documents::diff(&old, &new, json),
        Command::Show { file, host } => documents::show(&file, &host),
    }
}

fn text_of(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).into_diagnostic().wrap_err_with(|| format!("can't read {}", file.display()))
}

/// Binds where the document says, and tells whoever started this process where that is.
async fn listen(address: &str, name: &str) -> Result<(TcpListener, u64)> {
    if address.is_empty() {
        return Err(miette!(
            help = "give it an `address`, and a `listen` where it binds elsewhere",
            "the document does not say where {name} listens"
        ));
    }
    let bound = TcpListener::bind(address).await.into_diagnostic();
    let listener = bound.wrap_err_with(|| format!("{name} can't listen at {address}"))?;
    let address = listener.local_addr().into_diagnostic()?.to_string();
    // Within what every reader of JSON keeps exactly.
    let incarnation = (rand::random::<u64>() >> 11).max(1);
    let listening = Listening { address, incarnation };
    let line = serde_json::to_string(&listening).into_diagnostic()? + "\n";
    let told = std::io::stdout().write_all(line.as_bytes()).and_then(|()| std::io::stdout().flush());
    told.into_diagnostic().wrap_err("can't say on standard output where this listens")?;
    Ok((listener, listening.incarnation))
}

async fn stopped() {
    let both = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    if let (Ok(mut terminate), Ok(mut interrupt)) = both {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    } else {
        std::future::pending::<()>().await;
    }
}

fn ahead(text: &str) -> Result<Span> {
    let (sign, span) = text.strip_prefix('-').map_or((1.0, text), |span| (-1.0, span));
    let span: humantime::Duration = span.parse().into_diagnostic().wrap_err("--clock-ahead")?;
    Ok(Span::from_millis(span.as_secs_f64() * 1e3 * sign))
}

async fn host(
    file: &Path,
    name: &str,
    seed: u64,
    (clock_ahead, drift): (&str, f64),
    control: Option<PathBuf>,
    logs: &logs::Logs,
) -> Result<ExitCode> {
    let (d, _) = documents::read(file)?;
    let known: Vec<_> = d.hosts.iter().map(|h| h.name.as_str()).collect();
    let me = d.host(name).ok_or_else(|| {
        miette!(
            help = format!("its hosts are {}", known.join(", ")),
            "{}: no host \"{name}\"",
            file.display()
        )
    })?;
    let control = control.map(|path| {
        let bound = Control::bind(&path, documents::reader_of(file.into())).into_diagnostic();
        bound.wrap_err_with(|| format!("no control socket at {}", path.display()))
    });
    let control = control.transpose()?;
    let (listener, incarnation) = listen(&d.hosts[me.0 as usize].listen, name).await?;
    let clock = HostClock::start(ahead(clock_ahead)?).running(drift);
    info!(host = name, incarnation, "serving");
    let process = HostProcess { deployment: Arc::new(d), me, seed, incarnation, clock };
    let counts = tokio::select! {
        counts = drive::run(process, listener, control, stopped()) => counts,
        () = logs.watch() => return Ok(ExitCode::from(1)),
    };
    info!(
        host = name,
        log_lines_lost = logs.lost(),
        counts = serde_json::to_string(&counts).unwrap_or_default(),
        "left"
    );
    Ok(ExitCode::SUCCESS)
}

async fn platform(file: PathBuf, logs: &logs::Logs) -> Result<ExitCode> {
    // First of all: until somebody takes it, SIGHUP ends a process.
    let signals = gullsail_platform::drive::Signals::take()?;
    let document = gullsail_platform::drive::read(&file)?;
    tokio::select! {
        served = gullsail_platform::drive::run(file, document, signals) => served.map(|_| ExitCode::SUCCESS),
        () = logs.watch() => Ok(ExitCode::from(1)),
    }
}

async fn baseline(file: &Path, name: &str, seed: u64) -> Result<ExitCode> {
    let (d, _) = documents::read(file)?;
    let me = d.host(name).ok_or_else(|| miette!("{}: no host \"{name}\"", file.display()))?;
    let (listener, _) = listen(&d.hosts[me.0 as usize].listen, name).await?;
    tokio::select! {
        () = gullsail_simulator::baseline::serve(Arc::new(d), me, seed, listener) => Ok(ExitCode::from(1)),
        () = stopped() => Ok(ExitCode::SUCCESS),
    }
}

async fn node(file: &Path, name: &str, age: humantime::Duration) -> Result<ExitCode> {
    let (d, _) = documents::read(file)?;
    let n = d.node(name).ok_or_else(|| miette!("{}: no node \"{name}\"", file.display()))?;
    let server = d.servers.get(n.server).ok_or_else(|| {
        miette!(
            help = "machine \"box\" cores=2 unit=\"5ms\"",
            "{}: node \"{name}\" has no machine",
            file.display()
        )
    })?;
    let (listener, incarnation) = listen(&n.place.listen, name).await?;
    let HostBounds { frame: bounds, .. } = d.bounds;
    let process = gullsail_simulator::node::NodeProcess {
        name: name.into(),
        shard: n.shard.0,
        server: server.clone(),
        slow_start: d.figures().slow_start,
        incarnation,
        age: Span::from_millis(age.as_secs_f64() * 1e3),
        bounds,
    };
    tokio::select! {
        () = gullsail_simulator::node::serve(process, listener) => Ok(ExitCode::from(1)),
        () = stopped() => Ok(ExitCode::SUCCESS),
    }
}

async fn list(file: &Path) -> Result<ExitCode> {
    let (d, _) = documents::read(file)?;
    let (listener, _) = listen(&d.list.listen, "the list").await?;
    let entries = d.nodes.iter().filter(|n| !n.spare).map(|n| ListedEndpoint {
        name: n.place.name.clone(),
        address: n.place.address.clone(),
        shard: n.shard.0,
        zone: d.zones.get(n.place.zone.0).cloned().unwrap_or_default(),
        state: ListedState::Ready as i32,
        age_us: 0,
        incarnation: 0,
        kind: n.kind.clone(),
    });
    tokio::select! {
        () = gullsail_simulator::discovery::serve(entries.collect(), d.list_late, listener) => Ok(ExitCode::from(1)),
        () = stopped() => Ok(ExitCode::SUCCESS),
    }
}

async fn play(day: &str, seed: u64, record: Option<PathBuf>, json: bool, baseline: bool) -> Result<ExitCode> {
    let built_in = if day == "random" {
        Some(gullsail_scenario::built_in::random(seed))
    } else {
        gullsail_scenario::built_in::day(day)
    };
    let (text, d, script) = match built_in {
        Some(text) => {
            let files = Memory([(day.to_string(), text)].into());
            gullsail_scenario::script::load(&files, day)?
        }
        None if Path::new(day).exists() => {
            let (files, name) = documents::files(Path::new(day))?;
            gullsail_scenario::script::load(&files, &name)?
        }
        None => {
            let names: Vec<_> = gullsail_scenario::built_in::all().map(|d| d.0).collect();
            let help = format!("built-in days: {}, random; or a file with a day", names.join(", "));
            return Err(miette!(help = help, "no day is called \"{day}\", and no file"));
        }
    };
    // Without --record, nothing is kept.
    let temporary = tempfile::tempdir().into_diagnostic()?;
    let dir = record.unwrap_or_else(|| temporary.path().into());
    let program = std::env::current_exe().into_diagnostic()?;
    let stage = gullsail_scenario::Stage { program, dir, seed, baseline };
    let report = gullsail_scenario::play(&text, d, &script, &stage).await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report).into_diagnostic()?);
    } else {
        print!("{}", report.text(&stage.dir));
    }
    Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn audit(dir: &Path, json: bool) -> Result<ExitCode> {
    let (d, _) = documents::read(&dir.join("script.kdl"))?;
    let recording = text_of(&dir.join("frames.jsonl"))?;
    let verdicts = gullsail_audit::judge(&d, &recording).into_diagnostic()?;
    if json {
        println!("{}", serde_json::to_string_pretty(&verdicts).into_diagnostic()?);
    } else {
        print!("{}", gullsail_audit::table(&verdicts, &recording));
    }
    Ok(if verdicts.iter().all(|v| v.kept()) { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
