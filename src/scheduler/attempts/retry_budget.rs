//! Retry budget: how many attempts beyond each request's first this host may send within a window, as a number
//! of its own and a part of the requests that arrived in the window. Both are counted exactly, because a rule
//! of the platform checks them. The figures are those of the configuration.

use gullsail_scheduler_api::{Instant, SchedulerConfig};
use std::collections::VecDeque;

/// What counts within the retry budget's window.
#[derive(Default)]
pub(crate) struct RetryBudgetUsage {
    /// When requests arrived, including those that were shed at once.
    arrivals: VecDeque<Instant>,
    /// When retries were sent.
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

    /// Forgets what has left the window. An attempt may go out later than it was decided, by up to
    /// `max_connect_wait`: retries count for that much longer, and arrivals for that much less.
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
