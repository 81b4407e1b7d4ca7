//! A sum in which what was added counts ever less.

use gullsail_scheduler_api::{Instant, Span};

/// Falls by 1/e after each `over`; brought up to date when it is read.
#[derive(Clone, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Instant,
}

impl DecayingSum {
    /// As of now.
    pub fn read(&mut self, now: Instant, over: Span) -> f64 {
        self.sum *= (-(now - self.at).secs().max(0.0) / over.secs()).exp();
        self.at = now;
        self.sum
    }

    /// Brings it up to date and adds to it.
    pub fn add(&mut self, now: Instant, over: Span, amount: f64) {
        self.sum = self.read(now, over) + amount;
    }

    /// As of the last reading or addition.
    pub fn last(&self) -> f64 {
        self.sum
    }
}
