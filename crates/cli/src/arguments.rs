//! The command line, as `clap` parses it. A renamed command keeps its old name as a hidden alias. The doc
//! comments become the help texts.

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A storage gateway that keeps volumes to their reservations, shares and limits.
#[derive(Parser)]
#[command(version, propagate_version = true)]
pub struct Arguments {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
    /// Log format: human-readable text, or one JSON object per line. Logs go to standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log: LogFormat,
    /// Log filter, such as `info` or `gullsail_host=debug`.
    #[arg(long, global = true, default_value = "info", env = "GULLSAIL_LOG")]
    pub log_level: String,
}

/// The format of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Runs one host until SIGTERM or SIGINT.
    Host {
        /// The configuration document.
        file: PathBuf,
        /// The name of this host in the document.
        #[arg(long)]
        name: String,
        /// Seed of the host's random choices. Default: drawn at random.
        #[arg(long)]
        seed: Option<u64>,
        /// Offset added to this host's clock, for tests; negative values set it back.
        #[arg(long, allow_hyphen_values = true, default_value = "0s")]
        clock_ahead: String,
        /// Rate error of this host's clock as a fraction, for tests: 0.01 runs 1% fast, negative values run slow.
        #[arg(long, allow_hyphen_values = true, default_value_t = 0.0)]
        clock_drift: f64,
        /// Path of the control socket for status, reloads and maintenance commands. Only this user can connect.
        #[arg(long)]
        control: Option<PathBuf>,
    },
    /// Makes a running host reload its document. Exit code 0: the new document is in force; 1: the host refused it
    /// and keeps the old one; 2: the new document has errors.
    Reload {
        /// The host's control socket.
        control: PathBuf,
        /// Also apply changes that `gullsail diff` calls dangerous, where that is possible without a restart.
        #[arg(long)]
        insist: bool,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints a running host's state as JSON: its configuration revision, the hosts that are behind it, its open
    /// requests and its counters.
    Status {
        /// The host's control socket.
        control: PathBuf,
    },
    /// Runs one host on the users' platform until SIGTERM. SIGHUP reloads its document.
    Platform {
        /// The platform's JSON document for this host.
        #[arg(env = "PROXY_CONFIG")]
        file: PathBuf,
    },
    /// Runs a baseline in place of a host: it forwards each request at once, within an even share of each limit.
    Baseline {
        /// The configuration document.
        file: PathBuf,
        /// The name of the host that it replaces.
        #[arg(long)]
        name: String,
        /// Seed of its random choices. Default: drawn at random.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs a simulated storage node.
    Node {
        /// The configuration document.
        file: PathBuf,
        /// The name of the node in the document.
        #[arg(long)]
        name: String,
        /// Uptime that the node starts with. A node older than the slow-start ramp starts warm.
        #[arg(long, default_value = "0s")]
        age: humantime::Duration,
        /// Directory in which the nodes of the document share idempotency keys. Without it, the node keeps
        /// only the keys that it received itself.
        #[arg(long)]
        keys: Option<PathBuf>,
    },
    /// Runs a simulated endpoint list service.
    List {
        /// The configuration document.
        file: PathBuf,
    },
    /// Plays a scenario with real processes on loopback and checks the rules.
    #[command(alias = "day")]
    Scenario {
        /// A built-in scenario (see --list), `random`, or a document with a `day` entry.
        #[arg(required_unless_present = "list")]
        day: Option<String>,
        /// Lists the built-in scenarios.
        #[arg(long)]
        list: bool,
        /// Seed of the load and of random scenarios.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folder in which the recording, the logs and the documents are kept.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
        /// Runs the baseline in place of the hosts, for comparison.
        #[arg(long)]
        baseline: bool,
    },
    /// Shows the fleet and takes its servers offline for maintenance.
    #[command(subcommand)]
    Fleet(Fleet),
    /// Traffic between zones.
    #[command(subcommand)]
    Zones(Zones),
    /// Checks the rules again on the recording of a scenario.
    Audit {
        /// The folder that `scenario --record` wrote.
        dir: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks a document and all that it includes, and reports every problem. Exit code 2: it has errors.
    Check {
        /// The configuration document.
        file: PathBuf,
        /// Prints one JSON object per problem.
        #[arg(long)]
        json: bool,
    },
    /// Explains the code of a problem that `check` reported.
    Explain {
        /// The code, such as `unknown-name`.
        code: String,
    },
    /// Formats documents in place; comments and the order of entries stay.
    Fmt {
        /// The documents.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Changes nothing. Exit code 1: some document would change.
        #[arg(long)]
        check: bool,
    },
    /// Compares two documents by meaning. Exit code 0: no change, or only changes that are safe while serving; 1: a
    /// change needs a restart of hosts; 3: a change is dangerous.
    Diff {
        /// The document in force.
        old: PathBuf,
        /// The document to compare with it.
        new: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the configuration of one host, with includes and templates resolved and the source of each entry.
    Show {
        /// The configuration document.
        file: PathBuf,
        /// The name of the host.
        #[arg(long)]
        host: String,
    },
}

/// Commands on the fleet. Each host of the fleet accepts them.
#[derive(Subcommand)]
pub enum Fleet {
    /// Shows the fleet as one host sees it: epoch, coordinator, members with their states, shares of budgets. Only
    /// the coordinator shows totals. Exit code 1: the host has no current coordinator.
    Status {
        /// The host's control socket.
        control: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Takes servers offline for maintenance, as many at a time as the document's `works` entry allows. Exit code 0:
    /// the order is accepted (with --wait: all servers are offline); 1: refused or overdue.
    Out {
        /// The control socket of any host.
        control: PathBuf,
        /// Names of nodes, hosts or zones; a zone stands for all its servers.
        #[arg(required = true)]
        names: Vec<String>,
        /// How long each server may stay offline. Default: `longest` of the document.
        #[arg(long, value_name = "SPAN")]
        r#for: Option<humantime::Duration>,
        /// Reason, shown with the order.
        #[arg(long, default_value = "")]
        reason: String,
        /// Allows the maintenance to leave a shard without any node.
        #[arg(long = "cell-away")]
        shard_away: bool,
        /// Ends the order once the server has restarted, without `fleet back`.
        #[arg(long)]
        returns: bool,
        /// Waits until all servers may be switched off, and shows the progress.
        #[arg(long)]
        wait: bool,
    },
    /// Reports that servers are back from maintenance.
    Back {
        /// The control socket of any host.
        control: PathBuf,
        /// Names of nodes, hosts or zones.
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Cancels the orders of servers that are not offline yet.
    Cancel {
        /// The control socket of any host.
        control: PathBuf,
        /// Names of nodes, hosts or zones.
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Shows the maintenance queue: the stage of each server and what it waits for. Exit code 1: the host has not
    /// received the queue from a coordinator.
    #[command(alias = "works")]
    Maintenance {
        /// The control socket of any host.
        control: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Commands on traffic between zones.
#[derive(Subcommand)]
pub enum Zones {
    /// Plans, zone by zone, where new objects of volumes should be placed so that reservations hold at the least
    /// cost. Exit code 1: no plan meets all constraints; the conflicting ones are printed.
    Plan {
        /// The configuration document.
        file: PathBuf,
        /// Price of one GiB between zones.
        #[arg(long, default_value_t = 0.01)]
        price: f64,
        /// File to which the document is written, with the pools and routes of the plan.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Reports the traffic between zones by zone, plan and reason, and the budget overruns.
    Report {
        /// Control sockets of running hosts, or folders of recorded scenarios.
        #[arg(required = true)]
        sources: Vec<PathBuf>,
        /// Price of one GiB between zones.
        #[arg(long, default_value_t = 0.01)]
        price: f64,
        /// Prints JSON.
        #[arg(long, conflicts_with = "csv")]
        json: bool,
        /// Prints CSV.
        #[arg(long)]
        csv: bool,
    },
}
