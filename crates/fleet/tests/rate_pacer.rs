//! The rate of operations of all hosts together on one node.

use gullsail_fleet::rate_pacer::RatePacer;
use gullsail_scheduler_api::{Instant, Span};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(ms: i64) -> Instant {
    Instant::from_micros(ms * 1000)
}

/// Returns the times at which hosts start operations until `until_s`, in seconds. By its share each host has
/// `interval_ms` between two operations; it asks again at the time that its pacer returns.
fn operations(hosts: u64, interval_ms: f64, until_s: f64) -> Vec<f64> {
    let mut all = Vec::new();
    for seed in 0..hosts {
        let mut rate_pacer = RatePacer::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::from_micros(0);
        while now < Instant::from_micros((until_s * 1e6) as i64) {
            match rate_pacer.take(Span::from_millis(interval_ms), now, &mut rng) {
                Ok(()) => all.push(now.micros() as f64 / 1e6),
                Err(at) => now = at,
            }
        }
    }
    all.sort_by(f64::total_cmp);
    all
}

#[test]
fn all_hosts_together_exceed_the_rate_by_at_most_one_operation_each() {
    // hosts, interval of one host in ms; the rate of all hosts together is ten operations a second in each case
    for (hosts, interval_ms) in [(1, 100.0), (24, 2400.0), (300, 30_000.0)] {
        let all = operations(hosts, interval_ms, 60.0);
        for (index, from) in all.iter().enumerate() {
            for (more, to) in all[index..].iter().enumerate() {
                let most = 10.0 * (to - from) + hosts as f64 + 1.0;
                assert!(
                    (more + 1) as f64 <= most,
                    "{hosts} hosts: {} from {from} to {to}",
                    more + 1
                );
            }
        }
        assert!(
            all.len() as f64 >= 0.9 * 600.0 - hosts as f64,
            "{hosts} hosts: {} in all",
            all.len()
        );
        // Hosts do not all start an operation at once, as they would if each began with full credit.
        let first = all.iter().filter(|at| **at < 1.0).count();
        assert!(first <= 25, "{hosts} hosts: {first} in the first second");
    }
}

/// A random generator that yields the lowest value, so that a pacer starts without credit.
struct LowestDraw;

impl RngCore for LowestDraw {
    fn next_u32(&mut self) -> u32 {
        0
    }

    fn next_u64(&mut self) -> u64 {
        0
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        bytes.fill(0);
    }
}

#[test]
fn a_changed_share_applies_to_later_credit_only() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut rate_pacer = RatePacer::default();
    // No credit at 0, and an interval of one second.
    let first = rate_pacer.take(Span::from_millis(1000.0), ms(0), &mut LowestDraw);
    assert_eq!(first, Err(ms(1000)));
    // time, interval, whether the operation may start
    let cases = [
        (100, 1000.0, false), // credit 0.1
        (200, 500.0, false),  // plus 0.1: the earlier, longer interval counts
        (590, 500.0, false),  // plus 0.78
        (600, 500.0, true),
        (650, 100.0, false), // credit 0.1, by the longer interval
        (741, 100.0, true),
        (750, 0.0, true), // the rate is not limited
        (760, 1e6, false),
    ];
    for (at, interval_ms, may) in cases {
        let result = rate_pacer.take(Span::from_millis(interval_ms), ms(at), &mut rng);
        assert_eq!(result.is_ok(), may, "at {at}: {result:?}");
    }
}
