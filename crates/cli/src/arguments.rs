//! The arguments of the program, as `clap` reads them. Renamed commands keep their old name as a hidden alias.

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A storage gateway that keeps volumes to their reservations, shares and limits.
#[derive(Parser)]
#[command(version, propagate_version = true)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
    /// Logs for people, or one JSON object a line for machines; always on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log: LogForm,
    /// What is logged, such as `info` or `gullsail_host=debug`.
    #[arg(long, global = true, default_value = "info", env = "GULLSAIL_LOG")]
    pub log_level: String,
}

/// How logs are written.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogForm {
    Text,
    Json,
}

/// What the program is asked to do.
#[derive(Subcommand)]
pub enum Command {
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

/// Commands on the fleet, each through any host.
#[derive(Subcommand)]
pub enum Fleet {
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

/// Commands on traffic between zones.
#[derive(Subcommand)]
pub enum Zones {
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
