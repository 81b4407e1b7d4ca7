//! Token bucket of one volume at this host. Tokens are units, or bytes for a cross-zone budget.

use crate::scheduler::intervals::QUEUE_REVIEW_INTERVAL;
use gullsail_scheduler_api::{Instant, Limit, Span};
use std::collections::VecDeque;

/// Tokens that left the bucket but may not be used yet: lent to a host they have not reached, or spent on an
/// attempt that has not gone out. Until then the burst is lower by them, so that the bucket does not fill up
/// behind them.
struct Hold {
    until: Instant,
    units: f64,
}

/// Tokens of this host, the units that wait for them, and what is held.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// May be negative: retries of transfers between zones are charged without asking. The debt is paid by
    /// later refills.
    tokens: f64,
    /// Units of the first attempts that wait at this host.
    waiting_units: f64,
    refilled_at: Instant,
    holds: VecDeque<Hold>,
}

impl TokenBucket {
    /// An empty bucket that fills from now on.
    pub(crate) fn new(now: Instant) -> Self {
        TokenBucket {
            refilled_at: now,
            ..TokenBucket::default()
        }
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Drops all tokens; the bucket fills from `not_before` on, or from its last refill if that was later.
    pub(crate) fn empty(&mut self, not_before: Instant) {
        self.tokens = 0.0;
        self.refilled_at = self.refilled_at.max(not_before);
    }

    pub(crate) fn secs_since_refill(&self, now: Instant) -> f64 {
        (now - self.refilled_at).secs().max(0.0)
    }

    /// Adds what a share of the limit brings in a time, up to its burst.
    pub(crate) fn fill(&mut self, share: &Limit, elapsed_secs: f64) {
        self.tokens = (self.tokens + share.rate * elapsed_secs).min(share.burst);
    }

    /// The bucket is up to date.
    pub(crate) fn set_refilled(&mut self, now: Instant) {
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Adds borrowed tokens, up to the burst.
    pub(crate) fn add(&mut self, units: f64, burst: f64) {
        self.tokens = (self.tokens + units).min(burst);
    }

    /// Takes tokens, without asking whether there are any.
    pub(crate) fn take(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Lowers the burst by units that were taken, until the point in time.
    pub(crate) fn hold(&mut self, units: f64, until: Instant) {
        self.holds.push_back(Hold { until, units });
    }

    /// Lowers the burst by the units of an attempt until it must have gone out.
    pub(crate) fn hold_for_unsent_attempt(&mut self, units: f64, now: Instant, connect_wait: Span) {
        self.hold(units, now + connect_wait + QUEUE_REVIEW_INTERVAL);
    }

    /// The units by which the burst is lower now.
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

    /// For a cross-zone budget, whose waiting bytes are counted anew each time.
    pub(crate) fn set_waiting(&mut self, bytes: f64) {
        self.waiting_units = bytes;
    }

    /// Whether more units wait than there are tokens.
    pub(crate) fn is_short(&self) -> bool {
        self.waiting_units > self.tokens
    }
}
