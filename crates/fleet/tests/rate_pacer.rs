//! What all hosts together do to one node at a limited rate.

use gullsail_fleet::rate_pacer::RatePacer;
use gullsail_scheduler_api::{Instant, Span};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(ms: i64) -> Instant {
    Instant::from_micros(ms * 1000)
}

/// When each host begins an operation, in seconds from 0 to `until_s`; each has `interval_ms` between two by
/// its share, and asks again whenever it is told to.
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
fn hosts_together_keep_to_the_rate_and_one_each() {
    // hosts, and the interval of one host in ms: ten a second over all of them, in each case
    for (hosts, interval_ms) in [(1, 100.0), (24, 2400.0), (300, 30_000.0)] {
        let all = operations(hosts, interval_ms, 60.0);
        for (place, from) in all.iter().enumerate() {
            for (more, to) in all[place..].iter().enumerate() {
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
        // Not all at the beginning, as they would be with one each to spend.
        let first = all.iter().filter(|at| **at < 1.0).count();
        assert!(first <= 25, "{hosts} hosts: {first} in the first second");
    }
}

/// Draws the lowest value each time, so that a pacer begins without credit.
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
fn a_share_that_grows_or_shrinks_counts_from_then_on() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut rate_pacer = RatePacer::default();
    // Without credit at 0, with a second between two.
    let first = rate_pacer.take(Span::from_millis(1000.0), ms(0), &mut LowestDraw);
    assert_eq!(first, Err(ms(1000)));
    // at, interval, whether it may
    let cases = [
        (100, 1000.0, false), // a tenth
        (200, 500.0, false),  // and one more: it was not this host's before
        (590, 500.0, false),  // and 0.78
        (600, 500.0, true),
        (650, 100.0, false), // a tenth, at the slower
        (741, 100.0, true),
        (750, 0.0, true), // no rate: as often as wanted
        (760, 1e6, false),
    ];
    for (at, interval_ms, may) in cases {
        let taken = rate_pacer.take(Span::from_millis(interval_ms), ms(at), &mut rng);
        assert_eq!(taken.is_ok(), may, "at {at}: {taken:?}");
    }
}
