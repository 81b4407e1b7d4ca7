//! What this host is asked for, by budget: a decaying sum, so that a quiet host's part shrinks within seconds.

use gullsail_scheduler_api::{Instant, Span, VolumeId};
use std::collections::BTreeMap;

/// What was asked counts half after this: a surge shows within one lease, and a gap of some hundred ms is none.
const HALF: Span = Span::from_micros(1_000_000);
/// Less a second is nothing.
const LEAST: f64 = 1e-3;

#[derive(Clone, Debug, Default)]
pub struct Demand(BTreeMap<VolumeId, (f64, Instant)>);

fn faded(sum: f64, since: Span) -> f64 {
    sum * 0.5f64.powf(since.secs().max(0.0) / HALF.secs())
}

impl Demand {
    pub fn add(&mut self, budget: VolumeId, units: f64, now: Instant) {
        let (sum, at) = self.0.entry(budget).or_insert((0.0, now));
        // Fading is looked at some times in a half-life: a power for each request would cost more than all else here.
        if now - *at < HALF.times(0.01) {
            *sum += units;
            return;
        }
        (*sum, *at) = (faded(*sum, now - *at) + units, now);
    }

    /// A second, of each that is asked for.
    pub fn read(&mut self, now: Instant) -> impl Iterator<Item = (VolumeId, f64)> {
        let rate = move |sum: f64, at: Instant| faded(sum, now - at) * std::f64::consts::LN_2 / HALF.secs();
        self.0.retain(|_, (sum, at)| rate(*sum, *at) > LEAST);
        self.0.iter().map(move |(id, (sum, at))| (*id, rate(*sum, *at)))
    }
}
