//! The demand of this host's clients, by budget, as exponentially decaying sums, so that the share of a host that
//! becomes idle shrinks within seconds. `Fleet` updates it and reports it with each renewal.

use gullsail_scheduler_api::{Instant, Span, VolumeId};
use std::collections::BTreeMap;

/// The half-life of the decay: a request counts half after this time.
const HALF_LIFE: Span = Span::from_micros(1_000_000);
/// A demand below this many units a second counts as none, and its budget is dropped from the map.
const MIN_RATE: f64 = 1e-3;
/// The shortest time between two decays of a sum, as a fraction of the half-life. Computing a power for each request
/// would cost more than the rest of this module.
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

    /// The steady demand, in units a second, that would keep the sum at its value at `now`.
    fn rate(&self, now: Instant) -> f64 {
        self.at(now) * std::f64::consts::LN_2 / HALF_LIFE.secs()
    }
}

/// The demand for each budget.
#[derive(Clone, Debug, Default)]
pub struct Demand(BTreeMap<VolumeId, DecayingSum>);

impl Demand {
    /// Adds units of a budget that clients ask for.
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

    /// The demand for each budget, in units a second. Forgets budgets without demand.
    pub fn rates(&mut self, now: Instant) -> impl Iterator<Item = (VolumeId, f64)> {
        self.0.retain(|_, entry| entry.rate(now) > MIN_RATE);
        self.0.iter().map(move |(id, entry)| (*id, entry.rate(now)))
    }
}
