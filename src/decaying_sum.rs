//! A sum that decays exponentially with time.

use gullsail_scheduler_api::{Instant, Span};

/// Exponentially decaying sum. Each addition falls to 1/e of its value within the time constant `over`, so the
/// value is about what was added in the last `over`. It is brought up to date when it is read or added to; all
/// calls for one sum use the same time constant.
#[derive(Clone, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Instant,
}

impl DecayingSum {
    /// The value as of now.
    pub fn read(&mut self, now: Instant, over: Span) -> f64 {
        let elapsed_secs = (now - self.at).secs().max(0.0);
        self.sum *= (-elapsed_secs / over.secs()).exp();
        self.at = now;
        self.sum
    }

    /// Brings the sum up to date and adds to it.
    pub fn add(&mut self, now: Instant, over: Span, amount: f64) {
        self.sum = self.read(now, over) + amount;
    }

    /// The value as of the last call of [`read`](Self::read) or [`add`](Self::add), without decay since.
    pub fn last(&self) -> f64 {
        self.sum
    }
}
