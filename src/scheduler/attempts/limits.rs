//! Limits on attempts over all requests of this host: the retry budget, the overload guard and the windows
//! shared by endpoints with sparse traffic.

use super::overload_guard::OverloadGuard;
use super::retry_budget::RetryBudgetUsage;
use crate::scheduler::endpoint::sparse_traffic::SparseTrafficWindows;
use crate::scheduler::messages::{AttemptKey, EndpointCapacity};
use gullsail_scheduler_api::{AttemptEnd, AttemptOutcome, Instant, SchedulerConfig, Span};

/// Counts arrivals and attempts, and decides whether another attempt may be sent.
pub(crate) struct AttemptLimits {
    retry_budget: RetryBudgetUsage,
    overload_guard: OverloadGuard,
    sparse_windows: SparseTrafficWindows,
}

/// The number of entries in each collection.
pub(crate) struct AttemptLimitSizes {
    pub(crate) sparse_in_flight: usize,
    pub(crate) arrivals: usize,
    pub(crate) retries: usize,
}

impl AttemptLimits {
    pub(crate) fn new(now: Instant) -> Self {
        AttemptLimits {
            retry_budget: RetryBudgetUsage::default(),
            overload_guard: OverloadGuard::new(now),
            sparse_windows: SparseTrafficWindows::default(),
        }
    }

    pub(crate) fn record_arrival(&mut self, now: Instant, config: &SchedulerConfig) {
        self.retry_budget.record_arrival(now, config);
    }

    pub(crate) fn record_sent(
        &mut self,
        now: Instant,
        config: &SchedulerConfig,
        key: AttemptKey,
        capacity: &EndpointCapacity,
        latency_objective: Span,
    ) {
        if key.attempt > 0 {
            self.retry_budget.record_retry(now, config);
        }
        self.overload_guard.record_sent(now);
        self.sparse_windows
            .record_sent(key, capacity, latency_objective);
    }

    pub(crate) fn record_ended(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: &AttemptEnd,
        recently_degraded: bool,
    ) {
        let succeeded = end.outcome == AttemptOutcome::Succeeded;
        self.overload_guard.record_ended(now, succeeded);
        self.sparse_windows
            .record_ended(now, key, end, recently_degraded);
    }

    /// Removes arrivals and retries that are older than the retry budget's window.
    pub(crate) fn expire(&mut self, now: Instant, config: &SchedulerConfig) {
        self.retry_budget.expire(now, config);
    }

    /// Whether the retry budget allows another retry.
    pub(crate) fn allow_retry(&self, config: &SchedulerConfig) -> bool {
        self.retry_budget.allows_retry(config)
    }

    /// Whether these limits and the endpoint's available slots allow an attempt at this endpoint now.
    pub(crate) fn allow_attempt(&mut self, now: Instant, capacity: &EndpointCapacity) -> bool {
        let sent_limit = self.overload_guard.sent_limit(now);
        capacity.available_slots > 0
            && !self.sparse_windows.is_full_for(capacity)
            && self.overload_guard.sent(now) <= sent_limit
    }

    pub(crate) fn sizes(&self) -> AttemptLimitSizes {
        AttemptLimitSizes {
            sparse_in_flight: self.sparse_windows.in_flight_count(),
            arrivals: self.retry_budget.arrival_count(),
            retries: self.retry_budget.retry_count(),
        }
    }
}
