//! A short form of the benchmark `stop_soak`, on fixed seeds.

mod soak;

use soak::HostKind;

/// Concurrent runs: few, since each one starts a host, nodes and clients.
const AT_ONCE: usize = 3;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=18;

fn soak(kind: HostKind) {
    let report = soak::play(kind, SEEDS, AT_ONCE, |text| println!("{text}"));
    println!("{}", report.summary(kind));
    for (seed, _) in &report.failed {
        println!("failed case: {}, seed {seed}", kind.name());
    }
    assert!(
        report.failed.is_empty(),
        "{} seeds failed",
        report.failed.len()
    );
}

#[test]
fn the_platform_host_answers_all_requests_at_shutdown() {
    soak(HostKind::Platform);
}

#[test]
fn the_host_answers_all_requests_at_shutdown() {
    soak(HostKind::Own);
}
