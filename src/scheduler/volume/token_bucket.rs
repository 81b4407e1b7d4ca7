//! Token bucket of one volume at this host. Tokens are units, or bytes for a cross-zone budget.

use crate::scheduler::intervals::QUEUE_REVIEW_INTERVAL;
use gullsail_scheduler_api::{Instant, Limit, Span};
use std::collections::VecDeque;

/// Tokens that have been taken from the bucket but may still be in transit: lent to a host that has not
/// received them, or spent on an attempt that has not left this host. Until `until` the burst is lowered by
/// them. Otherwise the bucket would refill while they are unused, and more than the burst could be sent at
/// once.
struct Hold {
    until: Instant,
    units: f64,
}

/// The tokens of this host, the units that wait for tokens, and the held tokens.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// Available tokens. Negative after an overrun of a cross-zone budget, whose transfers are charged without
    /// a check for tokens. Later refills pay off the debt.
    tokens: f64,
    /// Units of the requests that wait for their first attempt at this host; for a cross-zone budget, bytes.
    waiting_units: f64,
    refilled_at: Instant,
    holds: VecDeque<Hold>,
}

impl TokenBucket {
    /// An empty bucket that refills from `now` on.
    pub(crate) fn new(now: Instant) -> Self {
        TokenBucket {
            refilled_at: now,
            ..TokenBucket::default()
        }
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Removes all tokens. The bucket refills from `not_before` on, or from its last refill if that was later.
    pub(crate) fn empty(&mut self, not_before: Instant) {
        self.tokens = 0.0;
        self.refilled_at = self.refilled_at.max(not_before);
    }

    pub(crate) fn secs_since_refill(&self, now: Instant) -> f64 {
        (now - self.refilled_at).secs().max(0.0)
    }

    /// Adds the tokens that a share of the limit yields in the elapsed time, up to its burst.
    pub(crate) fn fill(&mut self, share: &Limit, elapsed_secs: f64) {
        self.tokens = (self.tokens + share.rate * elapsed_secs).min(share.burst);
    }

    /// Records that the bucket has been refilled up to `now`.
    pub(crate) fn set_refilled(&mut self, now: Instant) {
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Adds borrowed tokens, up to the burst.
    pub(crate) fn add(&mut self, units: f64, burst: f64) {
        self.tokens = (self.tokens + units).min(burst);
    }

    /// Takes tokens without a check, so the number of tokens may become negative.
    pub(crate) fn take(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Lowers the burst by `units`, which were taken from the bucket, until `until`.
    pub(crate) fn hold(&mut self, units: f64, until: Instant) {
        self.holds.push_back(Hold { until, units });
    }

    /// Lowers the burst by the units of an attempt until the attempt must have left this host.
    pub(crate) fn hold_for_unsent_attempt(
        &mut self,
        units: f64,
        now: Instant,
        max_connect_wait: Span,
    ) {
        self.hold(units, now + max_connect_wait + QUEUE_REVIEW_INTERVAL);
    }

    /// The units by which the burst is lowered now. Removes holds that have ended.
    pub(crate) fn held_units(&mut self, now: Instant) -> f64 {
        while self.holds.pop_front_if(|hold| hold.until <= now).is_some() {}
        self.holds.iter().map(|hold| hold.units).sum()
    }

    pub(crate) fn hold_count(&self) -> usize {
        self.holds.len()
    }

    pub(crate) fn waiting_units(&self) -> f64 {
        self.waiting_units
    }

    pub(crate) fn add_waiting(&mut self, units: f64) {
        self.waiting_units += units;
    }

    pub(crate) fn remove_waiting(&mut self, units: f64) {
        self.waiting_units -= units;
    }

    /// Sets the waiting bytes of a cross-zone budget. They are recounted each time, not added and subtracted.
    pub(crate) fn set_waiting(&mut self, bytes: f64) {
        self.waiting_units = bytes;
    }

    /// Whether more units wait than there are tokens.
    pub(crate) fn is_short(&self) -> bool {
        self.waiting_units > self.tokens
    }
}
