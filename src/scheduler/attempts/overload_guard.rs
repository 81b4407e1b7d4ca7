//! Overload guard: a host sends no more attempts than a multiple of its recent successes. If all hosts keep
//! sending while most attempts fail, the nodes stay overloaded and complete almost nothing. A host with sparse
//! traffic sends too few attempts to each node for a window per node to react, but the failure rate over all of
//! its attempts is visible to it.

use crate::decaying_sum::DecayingSum;
use crate::scheduler::endpoint::window::INITIAL_WINDOW;
use gullsail_scheduler_api::{Instant, Span};

/// Attempts allowed for each success. Half of the attempts may fail before sending is limited. A smaller value
/// limits a host at ordinary error rates; a larger one prolongs an overload.
const MAX_SENT_PER_SUCCESS: f64 = 2.0;

/// Time constant of the counts of attempts and successes. It covers several attempts of a host with sparse
/// traffic. A longer one notices an overload late.
const SUCCESS_RATE_WINDOW: Span = Span::from_micros(3_000_000);

/// Recent attempts and successes over all endpoints.
pub(crate) struct OverloadGuard {
    sent: DecayingSum,
    succeeded: DecayingSum,
}

impl OverloadGuard {
    /// A host that has just started is credited with as many successes as a new endpoint's window holds attempts,
    /// so that it can send attempts before its first success.
    pub(crate) fn new(now: Instant) -> Self {
        let mut succeeded = DecayingSum::default();
        succeeded.add(now, SUCCESS_RATE_WINDOW, INITIAL_WINDOW);
        OverloadGuard {
            sent: DecayingSum::default(),
            succeeded,
        }
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.sent.add(now, SUCCESS_RATE_WINDOW, 1.0);
    }

    pub(crate) fn record_ended(&mut self, now: Instant, succeeded: bool) {
        self.succeeded
            .add(now, SUCCESS_RATE_WINDOW, f64::from(succeeded));
    }

    /// The number of recent attempts up to which another attempt may be sent. It is at least one, so that a
    /// host without successes still sends single attempts.
    pub(crate) fn sent_limit(&mut self, now: Instant) -> f64 {
        MAX_SENT_PER_SUCCESS * self.succeeded.read(now, SUCCESS_RATE_WINDOW) + 1.0
    }

    /// Decaying count of the attempts sent recently.
    pub(crate) fn sent(&mut self, now: Instant) -> f64 {
        self.sent.read(now, SUCCESS_RATE_WINDOW)
    }
}
