//! A sum in which what was added counts ever less.

use gullsail_scheduler_api::{Instant, Span};

/// Falls by 1/e after each `over`; brought up to date when it is read.
#[derive(Clone, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Instant,
}

impl DecayingSum {
    pub fn read(&mut self, now: Instant, over: Span) -> f64 {
        self.sum *= (-(now - self.at).secs().max(0.0) / over.secs()).exp();
        self.at = now;
        self.sum
    }
    pub fn add(&mut self, now: Instant, over: Span, what: f64) {
        self.sum = self.read(now, over) + what;
    }
    /// As of the last reading or addition.
    pub fn last(&self) -> f64 {
        self.sum
    }
}
