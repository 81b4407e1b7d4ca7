//! Repeats the stop soak on many seeds: `cargo bench -p gullsail-cli --bench stop_soak -- [--host platform|host] [--seeds
//! 1..200] [--at-once 4] [--load N]`. With `--scenarios out-takeover,budget-storm` in place of `--host`, it plays these
//! scenarios of a fleet. `--load N` keeps N threads busy during the runs.

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
    /// The kind of host to stop: `platform` or `host`.
    #[arg(long, default_value = "platform", value_parser = parse_host)]
    host: HostKind,
    /// Scenarios to play in place of stopping a host.
    #[arg(long, value_delimiter = ',')]
    scenarios: Vec<String>,
    /// The first and the last seed, as `1..200`.
    #[arg(long, default_value = "1..50", value_parser = parse_seeds)]
    seeds: RangeInclusive<u64>,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 4)]
    at_once: usize,
    /// Number of threads that are kept busy during the runs.
    #[arg(long, default_value_t = 0)]
    load: usize,
    /// Passed by `cargo bench`; has no effect.
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
    let finished = AtomicBool::new(false);
    let failed = std::thread::scope(|scope| {
        for _ in 0..arguments.load {
            scope.spawn(|| {
                while !finished.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        let failed = play(&arguments);
        finished.store(true, Ordering::Relaxed);
        failed
    });
    println!("beside {} busy threads", arguments.load);
    ExitCode::from(u8::from(failed > 0))
}

/// Returns the number of failed runs.
fn play(arguments: &Arguments) -> usize {
    let Arguments {
        host,
        scenarios,
        seeds,
        at_once,
        ..
    } = arguments;
    let print_line = |text: &str| println!("{text}");
    if scenarios.is_empty() {
        let report = soak::play(*host, seeds.clone(), *at_once, print_line);
        println!("{}", report.summary(*host));
        for (seed, _) in &report.failed {
            println!("failed case: {}, seed {seed}", host.name());
        }
        return report.failed.len();
    }
    let failed = scenarios::play(scenarios, seeds.clone(), *at_once, print_line);
    println!("{}, seeds {seeds:?}: {failed} failed", scenarios.join(", "));
    failed
}
