//! Plays hostile clients and nodes against a host of the users' platform, and prints its peak memory and the times of the
//! regular clients beside them: `cargo bench -p gullsail-cli --bench overload -- [--slow NAME|all --clients 560]
//! [--flood NAME|all --connections 1 --in-flight 16] [--nodes NAME] [--memory 32] [--descriptors 1024] [--seconds 7]`.
//! With `--leavers` it plays clients that leave before their answers, and ids that come again.

#[path = "../tests/overload/load/mod.rs"]
mod load;

use clap::Parser;
use load::floods::{Flood, FloodKind};
use load::hostile::{HostileClients, SlowManner};
use load::leavers::{self, FirstAnswer, Leave};
use load::nodes::NodeManner;
use load::{Limits, Play};
use std::time::Duration;

#[derive(Parser)]
struct Arguments {
    /// Slow clients: a manner, as in `HalfBody`, or `all`.
    #[arg(long)]
    slow: Option<String>,
    /// The number of slow clients.
    #[arg(long, default_value_t = 560)]
    clients: usize,
    /// A flood: a kind of message, as in `UnknownPath`, or `all`.
    #[arg(long)]
    flood: Option<String>,
    /// The number of connections of a flood.
    #[arg(long, default_value_t = 1)]
    connections: usize,
    /// Messages of a flood's connection that may be without an answer; 0: it does not wait for answers.
    #[arg(long, default_value_t = 16)]
    in_flight: usize,
    /// How nodes answer, as in `Short`.
    #[arg(long, default_value = "Short")]
    nodes: String,
    /// The number of nodes of each of the six shards.
    #[arg(long, default_value_t = 1)]
    nodes_per_shard: u64,
    /// The host's limit of memory, in MB.
    #[arg(long, default_value_t = 32)]
    memory: usize,
    /// The host's limit of descriptors.
    #[arg(long, default_value_t = 1024)]
    descriptors: usize,
    /// How long the load lasts, in seconds.
    #[arg(long, default_value_t = 7)]
    seconds: u64,
    /// Plays clients that leave, in place of the others.
    #[arg(long)]
    leavers: bool,
    /// Passed by `cargo bench`; has no effect.
    #[arg(long)]
    bench: bool,
}

const NODE_MANNERS: [NodeManner; 7] = [
    NodeManner::Short,
    NodeManner::Large,
    NodeManner::StallBeforeLastByte,
    NodeManner::ChunksOfAByte,
    NodeManner::ManyFields,
    NodeManner::Drip,
    NodeManner::Busy,
];

/// The values whose `Debug` name is `name`, or all of them for `all`.
fn named<T: std::fmt::Debug + Copy>(values: &[T], name: &str) -> Vec<T> {
    let is_named = |value: &&T| name == "all" || format!("{value:?}") == name;
    values.iter().filter(is_named).copied().collect()
}

/// Plays clients that leave in each way, then ids that come again.
fn play_leavers(arguments: &Arguments) {
    let limits = Limits {
        memory_mb: arguments.memory,
        descriptors: arguments.descriptors,
    };
    let ms = Duration::from_millis;
    for requests in [3, 30, 300, 900] {
        for stay in [20, 100, 300] {
            for leave in [Leave::InOrder, Leave::Reset, Leave::Unread] {
                let manner = NodeManner::Busy;
                let report = leavers::play_leaving(limits, manner, requests, ms(stay), leave);
                println!(
                    "{requests} requests, left after {stay} ms, {leave:?}: {}",
                    report.line()
                );
            }
        }
    }
    for class in ["once", "write"] {
        for first in [FirstAnswer::NotWaitedFor, FirstAnswer::Read] {
            for again_after in [0, 50, 100, 200, 1000] {
                let report = leavers::play_repeats(limits, class, first, ms(again_after));
                let line = report.line();
                println!("{class}, first answer {first:?}, again after {again_after} ms: {line}");
            }
        }
    }
}

fn main() {
    let arguments = Arguments::parse();
    if arguments.leavers {
        return play_leavers(&arguments);
    }
    let slow = arguments.slow.iter().flat_map(|name| {
        let manners = named(&SlowManner::ALL, name);
        manners.into_iter().map(|manner| HostileClients::Slow {
            manner,
            clients: arguments.clients,
        })
    });
    let floods = arguments.flood.iter().flat_map(|name| {
        let kinds = named(&FloodKind::ALL, name);
        kinds.into_iter().map(|kind| {
            HostileClients::Flood(Flood {
                kind,
                connections: arguments.connections,
                in_flight: (arguments.in_flight > 0).then_some(arguments.in_flight),
            })
        })
    });
    let mut loads: Vec<HostileClients> = slow.chain(floods).collect();
    if loads.is_empty() {
        loads.push(HostileClients::None);
    }
    for node_manner in named(&NODE_MANNERS, &arguments.nodes) {
        for hostile in &loads {
            let play = Play {
                limits: Limits {
                    memory_mb: arguments.memory,
                    descriptors: arguments.descriptors,
                },
                nodes_per_shard: arguments.nodes_per_shard,
                node_manner,
                hostile: *hostile,
                duration: Duration::from_secs(arguments.seconds),
            };
            let report = load::play(&play);
            let verdict = if report.within_memory(play.limits) {
                "within its memory"
            } else {
                "OVER ITS MEMORY"
            };
            println!("{node_manner:?}, {hostile:?}: {verdict}, {}", report.line());
        }
    }
}
