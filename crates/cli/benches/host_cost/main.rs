//! Measures the cost of a host, as ratios within one run. `cargo bench -p gullsail-cli --bench host_cost -- MODE`:
//!
//! * `cost` (the default): compares a host with a bare relay of the same frames. Each runs on one thread, with the same
//!   client and nodes that answer at once. Shows requests per second of that thread's processor time, and latencies.
//! * `fleet`: processor time of a host with a fleet, relative to one without.
//! * `memory`: bytes per open request.
//! * `soak SECONDS`: resident memory of a host that serves a steady load.
//! * `scale`: demand reports and processor time per request with 10, 50 and 100 hosts, 60 nodes, and volumes that all
//!   hosts serve.

mod load;
mod processes;
mod scale;

use gullsail_configuration::parse;
use hdrhistogram::Histogram;
use load::{Answers, Load, clients};
use processes::{Cost, bare_relay, document, document_text, hosts, listeners, nodes};
use scale::{scale, scale_part};
use std::sync::Arc;
use std::time::Duration;

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok())
        .unwrap_or_default()
        * 4096
}

/// The measurements of one run of a host or a relay.
struct Measured {
    /// Requests per second of processor time.
    by_cpu: f64,
    /// Requests per second.
    by_time: f64,
    /// Request latencies in microseconds.
    times: Histogram<u64>,
}

fn measure(bytes: usize, outstanding: usize, seconds: f64, relay: bool) -> Measured {
    let count = 8;
    let ((nl, na), (hl, ha)) = (listeners(count), listeners(1));
    nodes(nl, Some(bytes));
    let running = if relay {
        bare_relay(hl.into_iter().next().expect("one"), na)
    } else {
        hosts(&document(&ha, &na, ""), 0, hl)
    };
    let load = Load {
        outstanding,
        rate: 0.0,
        seconds,
        shards: count as i64,
        bytes: 0,
        warm: 0.5,
    };
    let Answers {
        succeeded: done,
        others: other,
        times,
    } = clients(&ha, &load, relay);
    assert!(
        other * 100 <= done,
        "{other} requests failed, {done} succeeded"
    );
    let Cost { cpu, .. } = running.end();
    Measured {
        by_cpu: done as f64 / cpu,
        by_time: done as f64 / seconds,
        times,
    }
}

fn cost() {
    println!("bytes  open requests   who     requests/cpu-s   requests/s   p50 us   p99 us");
    for (bytes, outstanding) in [(0, 128), (1024, 128), (65_536, 64), (0, 1), (1024, 1)] {
        let mut results = Vec::new();
        // Relay and host run in turn. The first round warms up; the second is shown.
        for round in 0..2 {
            for relay in [true, false] {
                let Measured {
                    by_cpu,
                    by_time,
                    times,
                } = measure(
                    bytes,
                    outstanding,
                    if round == 0 { 0.5 } else { 4.0 },
                    relay,
                );
                if round == 1 {
                    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
                    let who = if relay { "relay" } else { "host" };
                    println!(
                        "{bytes:>6} {outstanding:>13}  {who:>6} {by_cpu:>15.0} {by_time:>12.0} {p50:>8} {p99:>8}"
                    );
                    results.push((by_cpu, p50, p99));
                }
            }
        }
        let (relay, host) = (results[0], results[1]);
        println!(
            "       host/relay: {:.2} of its requests by processor time, p50 x{:.2}, p99 x{:.2}",
            host.0 / relay.0,
            host.1 as f64 / relay.1.max(1) as f64,
            host.2 as f64 / relay.2.max(1) as f64
        );
    }
}

/// Runs the same load on a host without a fleet and with one, in turn.
fn fleet() {
    let (mut ratios, limit) = (Vec::new(), "limit=\"1000000000units/s\" burst=1000000000");
    let entries = [
        "",
        "fleet \"f\" lease=\"1s\" drift=0.001 voters=1 floor=0.3\n",
    ];
    for round in 0..33 {
        // The order changes each round, which cancels a drift of the machine's speed.
        let order = if round % 2 == 0 { [0, 1] } else { [1, 0] };
        let mut by_cpu = [0.0; 2];
        for which in order {
            let entry = entries[which];
            let ((nl, na), (hl, ha)) = (listeners(8), listeners(1));
            nodes(nl, Some(0));
            let text = document_text(&ha, &na, limit) + entry;
            let d = parse("bench.kdl", &text).unwrap_or_else(|p| panic!("{:?}", p.problems));
            let running = hosts(&Arc::new(d), 0, hl);
            let load = Load {
                outstanding: 128,
                rate: 0.0,
                seconds: 1.0,
                shards: 8,
                bytes: 0,
                warm: 0.5,
            };
            let Answers {
                succeeded: done, ..
            } = clients(&ha, &load, false);
            by_cpu[which] = done as f64 / running.end().cpu;
        }
        println!(
            "round {round}: off {:.0}, on {:.0} requests per processor second",
            by_cpu[0], by_cpu[1]
        );
        ratios.extend((round > 0).then_some(by_cpu[0] / by_cpu[1] - 1.0));
    }
    ratios.sort_by(f64::total_cmp);
    let at = |quantile: f64| ratios[(ratios.len() as f64 * quantile) as usize] * 100.0;
    let (lower, median, upper) = (at(0.25), at(0.5), at(0.75));
    println!(
        "on costs {median:.1}% more (median of {}; the middle half {lower:.1}% to {upper:.1}%)",
        ratios.len()
    );
}

fn memory() {
    for round in 0..2 {
        let ((nl, na), (hl, ha)) = (listeners(8), listeners(1));
        nodes(nl, None);
        let running = hosts(&document(&ha, &na, ""), 0, hl);
        let before = resident_bytes();
        let load = Load {
            outstanding: 0,
            rate: 40_000.0,
            seconds: 0.75,
            shards: 8,
            bytes: 0,
            warm: 0.5,
        };
        let sampler = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(1300));
            resident_bytes()
        });
        let Answers { others: other, .. } = clients(&ha, &load, false);
        let open = sampler.join().expect("the memory sample") - before;
        let Cost { counts, .. } = running.end();
        println!(
            "round {round}: {} open at most, {other} deferred: {} bytes each (client and host together)",
            counts[0].most_open,
            open / counts[0].most_open.max(1) as usize
        );
    }
}

fn soak(seconds: f64) {
    let ((nl, na), (hl, ha)) = (listeners(8), listeners(1));
    nodes(nl, Some(1024));
    let running = hosts(&document(&ha, &na, ""), 0, hl);
    let sampler = std::thread::spawn(move || {
        for minute in 0..=(seconds / 60.0) as u64 {
            println!(
                "minute {minute}: {:.1} MB resident",
                resident_bytes() as f64 / 1e6
            );
            std::thread::sleep(Duration::from_secs(60));
        }
    });
    let load = Load {
        outstanding: 0,
        rate: 3000.0,
        seconds,
        shards: 8,
        bytes: 0,
        warm: 0.5,
    };
    let Answers {
        succeeded: done,
        others: other,
        times,
    } = clients(&ha, &load, false);
    println!(
        "{done} done, {other} not; p50 {} us, p99 {} us",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99)
    );
    println!(
        "at the end: {:.1} MB resident",
        resident_bytes() as f64 / 1e6
    );
    running.end();
    drop(sampler);
}

fn main() {
    let arguments: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| a != "--bench")
        .collect();
    match arguments.first().map(String::as_str) {
        None | Some("cost") => cost(),
        Some("fleet") => fleet(),
        Some("memory") => memory(),
        Some("scale") => scale(),
        Some("scale-part") => match &arguments[1..] {
            [file, from, to] => scale_part(
                file,
                from.parse().expect("a host index"),
                to.parse().expect("a host index"),
            ),
            _ => eprintln!("scale-part FILE FROM TO"),
        },
        Some("soak") => soak(
            arguments
                .get(1)
                .and_then(|s| s.parse().ok())
                .unwrap_or(600.0),
        ),
        Some(other) => {
            eprintln!("no mode is called {other}: cost, fleet, memory, scale, soak SECONDS")
        }
    }
}
