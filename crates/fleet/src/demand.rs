//! What clients ask of this host, by budget: decaying sums, so that the share of a host that falls quiet
//! shrinks within seconds. Filled by `Fleet` and read for each renewal.

use gullsail_scheduler_api::{Instant, Span, VolumeId};
use std::collections::BTreeMap;

/// A request counts half after this time: a surge shows within one lease, and a gap of some hundred
/// milliseconds does not.
const HALF_LIFE: Span = Span::from_micros(1_000_000);
/// A rate below this many units a second counts as none.
const MIN_RATE: f64 = 1e-3;
/// A sum is decayed at most once in this part of a half-life: a power for each request would cost more than
/// all else here.
const DECAY_STEP: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    sum: f64,
    as_of: Instant,
}

impl DecayingSum {
    fn at(&self, now: Instant) -> f64 {
        let elapsed = now - self.as_of;
        self.sum * 0.5f64.powf(elapsed.secs().max(0.0) / HALF_LIFE.secs())
    }

    fn rate(&self, now: Instant) -> f64 {
        self.at(now) * std::f64::consts::LN_2 / HALF_LIFE.secs()
    }
}

/// Demand by budget.
#[derive(Clone, Debug, Default)]
pub struct Demand(BTreeMap<VolumeId, DecayingSum>);

impl Demand {
    /// Clients ask for so many units of a budget.
    pub fn add(&mut self, budget: VolumeId, units: f64, now: Instant) {
        let entry = self.0.entry(budget).or_insert(DecayingSum {
            sum: 0.0,
            as_of: now,
        });
        if now - entry.as_of < HALF_LIFE.times(DECAY_STEP) {
            entry.sum += units;
            return;
        }
        *entry = DecayingSum {
            sum: entry.at(now) + units,
            as_of: now,
        };
    }

    /// Units a second, of each budget that is asked for.
    pub fn rates(&mut self, now: Instant) -> impl Iterator<Item = (VolumeId, f64)> {
        self.0.retain(|_, entry| entry.rate(now) > MIN_RATE);
        self.0.iter().map(move |(id, entry)| (*id, entry.rate(now)))
    }
}
