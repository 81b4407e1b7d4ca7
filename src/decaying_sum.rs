//! A sum that decays exponentially with time.

use gullsail_scheduler_api::{Instant, Span};

/// Exponentially decaying sum. Each added amount falls to 1/e of its value within the time constant `over`, so
/// the sum approximates the total of the amounts added in the last `over`. Decay is applied on each read and
/// each addition. All calls for one sum must use the same time constant.
#[derive(Clone, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Instant,
}

impl DecayingSum {
    /// Applies the decay up to `now` and returns the sum.
    pub fn read(&mut self, now: Instant, over: Span) -> f64 {
        let elapsed_secs = (now - self.at).secs().max(0.0);
        self.sum *= (-elapsed_secs / over.secs()).exp();
        self.at = now;
        self.sum
    }

    /// Applies the decay up to `now` and adds `amount`.
    pub fn add(&mut self, now: Instant, over: Span, amount: f64) {
        self.sum = self.read(now, over) + amount;
    }

    /// The sum at the last call of [`read`](Self::read) or [`add`](Self::add), without the decay since then.
    pub fn last(&self) -> f64 {
        self.sum
    }
}
