//! Plays a host of the users' platform with hostile clients, nodes or peers beside regular clients. The report holds
//! the host's peak memory and the times of the regular clients' answers.
//!
//! A play runs on loopback against the built program, under the limits of its document. Discovery, nodes and clients
//! run on threads of their own, with an async runtime each.

pub mod floods;
pub mod hostile;
pub mod leavers;
pub mod nodes;
#[path = "../../platform/rig.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod platform_rig;
pub mod regular;
pub mod requests;

use hostile::HostileClients;
use nodes::{NodeManner, RunLog};
use platform_rig::Host;
use regular::{Regular, RegularReport};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The number of shards that have a node.
pub const SHARDS: u64 = 6;
/// How long the regular clients are alone before the load begins.
const CALM: Duration = Duration::from_millis(500);

/// The limits of the host's document; its process has the same limit of descriptors.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: usize,
    pub descriptors: usize,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub limits: Limits,
    /// The number of nodes of each shard.
    pub nodes_per_shard: u64,
    pub node_manner: NodeManner,
    pub hostile: HostileClients,
    pub duration: Duration,
}

/// What was seen in a play.
#[derive(Debug)]
pub struct Report {
    /// The highest resident memory of the host's process, in kB.
    pub peak_kb: u64,
    /// Resident memory at the end, in kB.
    pub end_kb: u64,
    /// Processor time that the host used, in seconds.
    pub cpu_seconds: f64,
    /// The host was alive at the end.
    pub alive: bool,
    pub regular: RegularReport,
    /// The number of messages or connections of the hostile clients.
    pub hostile_messages: u64,
}

impl Report {
    /// Whether the host stayed within its limit of memory.
    pub fn within_memory(&self, limits: Limits) -> bool {
        self.alive && self.peak_kb * 1024 <= limits.memory_mb as u64 * 1_000_000
    }

    /// The report in one line.
    pub fn line(&self) -> String {
        format!(
            "peak {} kB, end {} kB, {:.1} s of processor time, {} hostile messages; {}{}",
            self.peak_kb,
            self.end_kb,
            self.cpu_seconds,
            self.hostile_messages,
            self.regular.line(),
            if self.alive { "" } else { "; the host ended" }
        )
    }
}

/// A flag that ends the threads of a play.
pub type Stop = Arc<AtomicBool>;

/// Runs a future on a thread with an async runtime of its own.
pub fn on_thread<T: Send + 'static>(
    future: impl Future<Output = T> + Send + 'static,
) -> std::thread::JoinHandle<T> {
    std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.unwrap().block_on(future)
    })
}

/// Starts a host with this document and the limits of descriptors.
pub fn start_host(limits: Limits, discovery: SocketAddr) -> Host {
    let host = Host::with_descriptors(&document(limits, discovery), limits.descriptors);
    host.ready();
    host
}

/// Plays one load and returns what was seen.
pub fn play(play: &Play) -> Report {
    let discovery = nodes::start(play.node_manner, play.nodes_per_shard, RunLog::default());
    let mut host = start_host(play.limits, discovery);
    let stop = Stop::default();
    let regular = on_thread(Regular::run(host.address, stop.clone()));
    std::thread::sleep(CALM);
    let hostile = on_thread(hostile::run(
        host.address,
        play.hostile,
        Instant::now() + play.duration,
    ));
    let hostile_messages = hostile.join().unwrap();
    let process = Process(host.child.id());
    let report = Report {
        peak_kb: process.memory_kb("VmHWM:"),
        end_kb: process.memory_kb("VmRSS:"),
        cpu_seconds: process.cpu_seconds(),
        alive: host.child.try_wait().unwrap().is_none(),
        hostile_messages,
        regular: {
            stop.store(true, Ordering::Relaxed);
            regular.join().unwrap()
        },
    };
    let _ = host.child.kill();
    report
}

/// A process, by its id.
pub struct Process(pub u32);

impl Process {
    /// A figure of the process's status, in kB; 0 if the process has ended.
    pub fn memory_kb(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        number.unwrap_or_default()
    }

    /// The processor time that the process has used.
    fn cpu_seconds(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        const USER_TIME_AFTER_NAME: usize = 11;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0)).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let times = after_name.split_whitespace().skip(USER_TIME_AFTER_NAME);
        let ticks = times.take(2).filter_map(|field| field.parse::<f64>().ok());
        ticks.sum::<f64>() / TICKS_PER_SECOND
    }
}

/// The settings of the plays: six shards, a pure, a keyed and an unrepeatable class, and a plan with a limit.
fn document(limits: Limits, discovery: SocketAddr) -> String {
    let Limits {
        memory_mb,
        descriptors,
    } = limits;
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"cell","window":5000.0,"give-up":1500.0,"objective":600.0}}"#
        )
    };
    let classes = [
        class("read", "pure"),
        class("write", "token"),
        class("once", "side_effect"),
    ]
    .join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{descriptors}}},"peer_listen":"127.0.0.1:0",
        "peers":["127.0.0.1:9","127.0.0.1:10"],
        "settings":{{"failure-domains":["a"],"family-info":{{"max-units":6,"slots-total":64,"writes":[false,true,true]}},
        "limits":{{"connect-timeout":250.0,"keepalive":30000.0,"max-attempts":3,"max-retry-after":1000.0,
        "retry-after":true,"peer-messages":true}},
        "membership-mode":"push","peers-total":2,"policies":[{{"name":"free","nominal":10.0,"parts":1.0}},
        {{"name":"held","nominal":10.0,"parts":1.0,"limit":60.0,"limit-burst":60.0}}],
        "profiles":[{classes}],"rank":0,"rules":{{}},"tick":2.0}}}}"#
    )
}
