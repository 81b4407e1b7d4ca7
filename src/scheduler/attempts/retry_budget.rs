//! Retry budget: the number of retries that this host may send within a window. It is a fixed number plus a
//! fraction of the requests that arrived in the window, both from the configuration. Arrivals and retries are
//! counted exactly and not as decaying sums, because the platform checks the budget against exact counts.

use gullsail_scheduler_api::{Instant, SchedulerConfig};
use std::collections::VecDeque;

/// The arrivals and retries within the retry budget's window; both are empty without a budget.
#[derive(Default)]
pub(crate) struct RetryBudgetUsage {
    /// Arrival times of requests, including those that were shed at once.
    arrivals: VecDeque<Instant>,
    /// Times at which retries were sent.
    retries: VecDeque<Instant>,
}

impl RetryBudgetUsage {
    pub(crate) fn record_arrival(&mut self, now: Instant, config: &SchedulerConfig) {
        if config.retry_budget.is_some() {
            self.arrivals.push_back(now);
        }
    }

    pub(crate) fn record_retry(&mut self, now: Instant, config: &SchedulerConfig) {
        if config.retry_budget.is_some() {
            self.retries.push_back(now);
        }
    }

    /// Removes entries that are older than the window. A retry may leave the host up to `max_connect_wait` after
    /// the decision to send it, when older arrivals are no longer in the window. So retries count for that much
    /// longer, and arrivals for that much less.
    pub(crate) fn expire(&mut self, now: Instant, config: &SchedulerConfig) {
        let Some(budget) = config.retry_budget else {
            return;
        };
        let window_start = now - budget.window;
        let arrivals_from = window_start + config.max_connect_wait;
        while self
            .arrivals
            .pop_front_if(|at| *at <= arrivals_from)
            .is_some()
        {}
        let retries_from = window_start - config.max_connect_wait;
        while self.retries.pop_front_if(|at| *at < retries_from).is_some() {}
    }

    /// Whether another retry is within the budget.
    pub(crate) fn allows_retry(&self, config: &SchedulerConfig) -> bool {
        let Some(budget) = config.retry_budget else {
            return true;
        };
        let arrivals = self.arrivals.len() as f64;
        let with_next = self.retries.len() as f64 + 1.0;
        with_next <= budget.fixed_retries + budget.retries_per_request * arrivals
    }

    pub(crate) fn arrival_count(&self) -> usize {
        self.arrivals.len()
    }

    pub(crate) fn retry_count(&self) -> usize {
        self.retries.len()
    }
}
