//! Things that all hosts do to one node at a rate over all of them, such as opening connections: each host does them at
//! its part of the rate, spaced out. Over any span one host begins at most one more than its part brings, so all together
//! begin at most the rate brings, and one for each host; and since each begins at a point drawn by chance, hosts that
//! lose the same node in the same instant come back to it one after the other.

use gullsail_scheduler_api::{Instant, Span};
use rand::Rng;

/// Not asked for as long as two take, it was idle: who waits for its turn asks after one at the latest.
const IDLE: f64 = 2.0;

/// What one host does to one node.
#[derive(Clone, Debug, Default)]
pub struct RatePacer {
    /// What has come together of the next one, up to a whole; as of when, and how long one took then. `None`: it never did
    /// any.
    gathered: Option<(f64, Instant, Span)>,
}

impl RatePacer {
    /// Asks to do it now, with so long between two by this host's part. `Err`: when to ask again.
    ///
    /// What was not used for long gathers to one at most, and is drawn anew then: else all hosts would have one to spend
    /// in the same instant. Harms a host that is alone in wanting it: it waits for half of its part in the mean.
    pub fn take(&mut self, every: Span, now: Instant, rng: &mut impl Rng) -> Result<(), Instant> {
        if every <= Span::ZERO {
            return Ok(());
        }
        // A part that grew counts from now on: until just now another host may have had it.
        let brought = |at: Instant, latency: Span| (now - at).secs().max(0.0) / every.max(latency).secs();
        let fresh = self.gathered.filter(|g| brought(g.1, g.2) < IDLE);
        let gathered = fresh.map_or_else(|| rng.random_range(0.0..1.0), |g| g.0 + brought(g.1, g.2));
        // A point in time has microseconds: what is a hair below one is one.
        if gathered < 1.0 - 1e-3 {
            self.gathered = Some((gathered, now, every));
            return Err(now + every.times(1.0 - gathered).max(Span::from_micros(1000)));
        }
        self.gathered = Some((gathered.min(1.0) - 1.0, now, every));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;

    /// When each of so many hosts may, each with so long between two, asked whenever it is told to, from 0 to `until`.
    fn played(hosts: u64, every: f64, until: f64) -> Vec<f64> {
        let mut all = Vec::new();
        for seed in 0..hosts {
            let (mut rate_pacer, mut rng) = (RatePacer::default(), ChaCha8Rng::seed_from_u64(seed));
            let mut now = Instant::from_micros(0);
            while now < Instant::from_micros((until * 1e6) as i64) {
                match rate_pacer.take(Span::from_millis(every), now, &mut rng) {
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
        // hosts, between two of one host in ms: ten a second over all of them, in each case
        for (hosts, every) in [(1, 100.0), (24, 2400.0), (300, 30_000.0)] {
            let all = played(hosts, every, 60.0);
            for (place, from) in all.iter().enumerate() {
                for (more, to) in all[place..].iter().enumerate() {
                    let most = 10.0 * (to - from) + hosts as f64 + 1.0;
                    assert!((more + 1) as f64 <= most, "{hosts} hosts: {} from {from} to {to}", more + 1);
                }
            }
            assert!(all.len() as f64 >= 0.9 * 600.0 - hosts as f64, "{hosts} hosts: {} in all", all.len());
            // Not all at the beginning, as they would be with one each to spend.
            let first = all.iter().filter(|at| **at < 1.0).count();
            assert!(first <= 25, "{hosts} hosts: {first} in the first second");
        }
    }

    #[test]
    fn a_part_that_grows_or_shrinks_counts_from_then_on() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let ms = |ms: i64| Instant::from_micros(ms * 1000);
        let mut rate_pacer = RatePacer { gathered: Some((0.0, ms(0), Span::from_millis(1000.0))) };
        // at, between two, whether it may
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
        for (at, every, may) in cases {
            let got = rate_pacer.take(Span::from_millis(every), ms(at), &mut rng);
            assert_eq!(got.is_ok(), may, "at {at}: {got:?}");
        }
    }
}
