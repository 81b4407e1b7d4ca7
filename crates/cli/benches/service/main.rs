//! Looks for growth over days of service: `cargo bench -p gullsail-cli --bench service -- HOURS [EVERY]`. It simulates
//! the hours in a minute or two. EVERY is the mean number of seconds between a client's requests.
//!
//! Hosts, nodes, clients, objects, volumes and documents come and go all the time. Each hour ends with a quiet phase after
//! all clients have left. A row for each hour shows the time of the hosts' steps, and the sizes of their collections at
//! load and in the quiet phase. At the end, the means over the first and the last third of the hours are compared.
//!
//! Two other modes: `-- sockets [WAVES]` runs the real host on loopback (`sockets.rs`); `-- load [SECONDS] [EVERY]`
//! simulates a steady load, to be run under a profiler.

mod sockets;
mod world;

use gullsail_scheduler_api::Span;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::OnceLock;
use std::time::Instant;
use world::World;

fn elapsed_nanos() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_nanos() as u64
}

/// The number at a key of `/proc/self/status`, such as `VmRSS:` (in KiB); 0 if it is missing.
fn process_status(key: &str) -> f64 {
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

/// The means of the first and of the last third.
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
        // Only some seconds of steady load, for a profiler.
        let (seconds, request_interval) = (
            arguments.first().copied().unwrap_or(60.0),
            arguments.get(1).copied().unwrap_or(0.05),
        );
        let mut w = World::new(1, request_interval);
        w.play(Span::from_millis(seconds * 1e3));
        return println!(
            "{} answered; accepted, refused, succeeded, rejected, failed, withdrawn: {:?}",
            w.answered,
            w.outcomes()
        );
    }
    let hours = arguments.first().copied().unwrap_or(48.0) as usize;
    let request_interval = arguments.get(1).copied().unwrap_or(4.0);
    let mut w = World::new(1, request_interval);
    w.clock = elapsed_nanos;
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
        w.clients_active = true;
        // Collection sizes are sampled each minute at load and averaged, and once more after all clients have left.
        let mut mean_sizes = BTreeMap::new();
        for _ in 0..54 {
            w.play(minutes(1.0));
            w.size_metrics()
                .into_iter()
                .for_each(|(name, n)| *mean_sizes.entry(name).or_insert(0) += n);
            w.latency
                .drain(..)
                .for_each(|ns| latency.saturating_record(ns.max(1)));
        }
        mean_sizes.values_mut().for_each(|n| *n /= 54);
        w.clients_active = false;
        w.play(minutes(6.0));
        w.latency.clear();
        busy.push(mean_sizes);
        quiet.push(w.size_metrics());
        let us = |quantile| latency.value_at_quantile(quantile) as f64 / 1e3;
        times.push((us(0.5), us(0.99), us(0.999), latency.max() as f64 / 1e6));
        memory.push(process_status("VmRSS:") / 1e3);
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
        "accepted, refused, succeeded, rejected, failed, withdrawn, of running hosts: {:?}",
        w.outcomes()
    );
    println!(
        "answered {}, incarnations of hosts {}, documents accepted {}",
        w.answered, w.incarnations, w.accepted_documents
    );
    w.refused
        .iter()
        .for_each(|(why, n)| println!("refused {n} times: {why}"));
    println!(
        "\ncollection             busy: first third  last third   quiet: first third  last third"
    );
    let mut growing = Vec::new();
    for name in busy[0].keys() {
        let sizes = |all: &[BTreeMap<&str, usize>]| -> Vec<f64> {
            all.iter().map(|l| l[name] as f64).collect()
        };
        let ((b0, b1), (q0, q1)) = (thirds(&sizes(&busy)), thirds(&sizes(&quiet)));
        println!("{name:<22} {b0:>17.1} {b1:>11.1} {q0:>20.1} {q1:>11.1}");
        // The ledger of zone traffic fills up to its bound.
        let fills =
            *name == "core.account" && b1 <= (world::HOSTS * world::MAX_LEDGER_TOTALS) as f64;
        if !fills && (b1 > b0 * 1.2 + 8.0 || q1 > q0 * 1.2 + 8.0) {
            growing.push(*name);
        }
    }
    let thirds_of = |pick: fn(&(f64, f64, f64, f64)) -> f64| {
        thirds(&times.iter().map(pick).collect::<Vec<_>>())
    };
    println!(
        "p50 us {:.1?}, p99 us {:.1?}, p99.9 us {:.1?}",
        thirds_of(|t| t.0),
        thirds_of(|t| t.1),
        thirds_of(|t| t.2)
    );
    println!("resident MB {:.1?}; growing: {growing:?}", thirds(&memory));
}
