//! The stop soak at length: `cargo bench -p gullsail-cli --bench stop_soak -- [--host platform|host] [--seeds 1..200]
//! [--at-once 4] [--load N]`, or the fleet: `--scenarios out-takeover,budget-storm` in place of `--host`. `--load`: beside
//! so many busy threads.

#[path = "stop_soak/scenarios.rs"]
mod scenarios;
#[path = "../tests/stop_soak/soak/mod.rs"]
mod soak;

use clap::Parser;
use soak::HostKind;
use std::ops::RangeInclusive;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};

#[derive(Parser)]
struct Arguments {
    /// `platform` or `host`.
    #[arg(long, default_value = "platform", value_parser = parse_host)]
    host: HostKind,
    /// Scenarios to play in place of a host's stop.
    #[arg(long, value_delimiter = ',')]
    scenarios: Vec<String>,
    /// The first and the last seed, as `1..200`.
    #[arg(long, default_value = "1..50", value_parser = parse_seeds)]
    seeds: RangeInclusive<u64>,
    /// How many runs are played at once.
    #[arg(long, default_value_t = 4)]
    at_once: usize,
    /// How many threads are busy meanwhile.
    #[arg(long, default_value_t = 0)]
    load: usize,
    /// Given by `cargo bench`.
    #[arg(long)]
    bench: bool,
}

fn parse_host(text: &str) -> Result<HostKind, String> {
    match text {
        "platform" => Ok(HostKind::Platform),
        "host" => Ok(HostKind::Own),
        _ => Err("expected platform or host".into()),
    }
}

fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let numbers = text.split_once("..").and_then(|(first, last)| {
        let first: u64 = first.parse().ok()?;
        Some(first..=last.parse().ok()?)
    });
    numbers.ok_or_else(|| "expected two numbers, as in 1..200".into())
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let over = AtomicBool::new(false);
    let failed = std::thread::scope(|scope| {
        for _ in 0..arguments.load {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        let failed = play(&arguments);
        over.store(true, Ordering::Relaxed);
        failed
    });
    println!("beside {} busy threads", arguments.load);
    ExitCode::from(u8::from(failed > 0))
}

/// Returns how many runs failed.
fn play(arguments: &Arguments) -> usize {
    let Arguments {
        host,
        scenarios,
        seeds,
        at_once,
        ..
    } = arguments;
    let tell = |text: &str| println!("{text}");
    if scenarios.is_empty() {
        let report = soak::play(*host, seeds.clone(), *at_once, tell);
        println!("{}", report.summary(*host));
        for (seed, _) in &report.failed {
            println!("failed case: {}, seed {seed}", host.name());
        }
        return report.failed.len();
    }
    let failed = scenarios::play(scenarios, seeds.clone(), *at_once, tell);
    println!("{}, seeds {seeds:?}: {failed} failed", scenarios.join(", "));
    failed
}
