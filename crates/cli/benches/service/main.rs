//! Days of service in a minute or two: `cargo bench -p gullsail-cli --bench service -- HOURS [EVERY]`, or `--
//! sockets [WAVES]` for the real host on loopback (`sockets.rs`), or `-- load [SECONDS] [EVERY]` under a
//! profiler. Of the first: hosts, nodes, clients, objects, volumes and documents come and go all the while.
//! Each hour has a quiet end in which all clients have left; what is held then, and how long steps took, is a
//! row. The first third of the hours is set beside the last.

mod sockets;
mod world;

use gullsail_scheduler_api::Span;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::OnceLock;
use std::time::Instant;
use world::World;

fn clock() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_nanos() as u64
}

fn status(key: &str) -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with(key))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or_default()
}

/// Means of the first and the last third.
fn thirds(all: &[f64]) -> (f64, f64) {
    let third = (all.len() / 3).max(1);
    let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len().max(1) as f64;
    (
        mean(&all[..third.min(all.len())]),
        mean(&all[all.len().saturating_sub(third)..]),
    )
}

fn main() {
    let arguments: Vec<f64> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    if std::env::args().any(|a| a == "sockets") {
        return sockets::run(arguments.first().copied().unwrap_or(30.0) as usize);
    }
    if std::env::args().any(|a| a == "load") {
        // For a profiler: some seconds of steady load, and nothing else.
        let (seconds, every) = (
            arguments.first().copied().unwrap_or(60.0),
            arguments.get(1).copied().unwrap_or(0.05),
        );
        let mut w = World::new(1, every);
        w.play(Span::from_millis(seconds * 1e3));
        return println!(
            "{} answered; taken, not taken, done, deferred, abandoned, left: {:?}",
            w.answered,
            w.outcomes()
        );
    }
    let hours = arguments.first().copied().unwrap_or(48.0) as usize;
    let every = arguments.get(1).copied().unwrap_or(4.0);
    let mut w = World::new(1, every);
    w.clock = clock;
    let minutes = |m: f64| Span::from_millis(m * 60e3);
    let (mut busy, mut quiet) = (
        Vec::<BTreeMap<_, usize>>::new(),
        Vec::<BTreeMap<_, usize>>::new(),
    );
    let (mut times, mut memory) = (Vec::new(), Vec::new());
    println!(
        "hour  steps    p50 us  p99 us  p99.9 us  worst ms  resident MB  held busy  held quiet"
    );
    for hour in 0..hours {
        let mut latency =
            Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).expect("a histogram");
        w.open = true;
        // Lengths are sampled each minute at full load, then once all clients have left.
        let mut most = BTreeMap::new();
        for _ in 0..54 {
            w.play(minutes(1.0));
            w.size_metrics()
                .into_iter()
                .for_each(|(name, n)| *most.entry(name).or_insert(0) += n);
            w.latency
                .drain(..)
                .for_each(|ns| latency.saturating_record(ns.max(1)));
        }
        most.values_mut().for_each(|n| *n /= 54);
        w.open = false;
        w.play(minutes(6.0));
        w.latency.clear();
        busy.push(most);
        quiet.push(w.size_metrics());
        let us = |q| latency.value_at_quantile(q) as f64 / 1e3;
        times.push((us(0.5), us(0.99), us(0.999), latency.max() as f64 / 1e6));
        memory.push(status("VmRSS:") / 1e3);
        let sum =
            |all: &[BTreeMap<&str, usize>]| all.last().map_or(0, |l| l.values().sum::<usize>());
        let (t, rss) = (times[hour], memory[hour]);
        println!(
            "{hour:>4} {:>6} {:>9.1} {:>7.1} {:>9.1} {:>9.2} {rss:>12.1} {:>10} {:>11}",
            latency.len(),
            t.0,
            t.1,
            t.2,
            t.3,
            sum(&busy),
            sum(&quiet)
        );
    }
    println!(
        "taken, not taken, done, deferred, abandoned, left, of hosts that are up: {:?}",
        w.outcomes()
    );
    println!(
        "answered {}, lives of hosts {}, documents taken {}",
        w.answered, w.incarnations, w.taken_documents
    );
    w.turned_down
        .iter()
        .for_each(|(why, n)| println!("turned down {n} times: {why}"));
    println!(
        "\ncollection             busy: first third  last third   quiet: first third  last third"
    );
    let mut grows = Vec::new();
    for name in busy[0].keys() {
        let of = |all: &[BTreeMap<&str, usize>]| -> Vec<f64> {
            all.iter().map(|l| l[name] as f64).collect()
        };
        let ((b0, b1), (q0, q1)) = (thirds(&of(&busy)), thirds(&of(&quiet)));
        println!("{name:<22} {b0:>17.1} {b1:>11.1} {q0:>20.1} {q1:>11.1}");
        let fills = *name == "core.account" && b1 <= (world::HOSTS * world::ACCOUNT) as f64;
        if !fills && (b1 > b0 * 1.2 + 8.0 || q1 > q0 * 1.2 + 8.0) {
            grows.push(*name);
        }
    }
    let of = |pick: fn(&(f64, f64, f64, f64)) -> f64| {
        thirds(&times.iter().map(pick).collect::<Vec<_>>())
    };
    println!(
        "p50 us {:.1?}, p99 us {:.1?}, p99.9 us {:.1?}",
        of(|t| t.0),
        of(|t| t.1),
        of(|t| t.2)
    );
    println!("resident MB {:.1?}; grows: {grows:?}", thirds(&memory));
}
