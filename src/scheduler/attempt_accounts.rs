//! Counts of what this host sent of late and of what came of it. Bookkeeping only: what they allow is decided
//! in `attempts` and `dispatch`.

use super::attempts::RECENT;
use super::endpoint::sparse_traffic::SparseTrafficWindows;
use super::endpoint::window::INITIAL_WINDOW;
use super::messages::{AttemptKey, EndpointCapacity};
use crate::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{AttemptEnd, AttemptOutcome, Instant, SchedulerConfig, Span};
use std::collections::VecDeque;

#[derive(Default)]
pub(super) struct AttemptAccounts {
    pub(super) sent: DecayingSum,
    pub(super) succeeded: DecayingSum,
    /// When requests were accepted, within the retry budget's window.
    pub(super) accepted: VecDeque<Instant>,
    /// When retries were sent, within the retry budget's window.
    pub(super) retries_sent: VecDeque<Instant>,
    pub(super) sparse_windows: SparseTrafficWindows,
}

impl AttemptAccounts {
    pub(super) fn new(now: Instant) -> Self {
        let mut accounts = AttemptAccounts::default();
        accounts.succeeded.add(now, RECENT, INITIAL_WINDOW); // some trust before anything is known
        accounts
    }

    pub(super) fn record_accepted(&mut self, now: Instant, config: &SchedulerConfig) {
        if config.retry_budget.is_some() {
            self.accepted.push_back(now);
        }
    }

    pub(super) fn record_sent(
        &mut self,
        now: Instant,
        config: &SchedulerConfig,
        key: AttemptKey,
        capacity: &EndpointCapacity,
        latency_objective: Span,
    ) {
        if key.attempt > 0 && config.retry_budget.is_some() {
            self.retries_sent.push_back(now);
        }
        self.sent.add(now, RECENT, 1.0);
        self.sparse_windows
            .record_sent(key, capacity, latency_objective);
    }

    pub(super) fn record_ended(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: &AttemptEnd,
        recently_degraded: bool,
    ) {
        self.succeeded.add(
            now,
            RECENT,
            f64::from(end.outcome == AttemptOutcome::Succeeded),
        );
        self.sparse_windows
            .record_ended(now, key, end, recently_degraded);
    }
}
