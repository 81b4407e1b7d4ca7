//! Overload guard: a host sends no more than a multiple of what succeeded recently. When most of what hosts
//! send fails, together they keep full nodes full, and overloaded nodes serve next to nothing. No host sees one
//! node often enough to back off from it, but each host sees that most of its own attempts fail.

use crate::decaying_sum::DecayingSum;
use crate::scheduler::endpoint::window::INITIAL_WINDOW;
use gullsail_scheduler_api::{Instant, Span};

/// Attempts allowed for each success. Half of the attempts may fail before sending is limited. A smaller value
/// limits a host at ordinary error rates; a larger one lets an overload last.
const MAX_SENT_PER_SUCCESS: f64 = 2.0;

/// Time constant of both counts: long enough for several attempts of a host with sparse traffic. Longer, and
/// an overload is noticed late.
const SUCCESS_RATE_WINDOW: Span = Span::from_micros(3_000_000);

/// Attempts sent and succeeded recently, over all endpoints.
pub(crate) struct OverloadGuard {
    sent: DecayingSum,
    succeeded: DecayingSum,
}

impl OverloadGuard {
    /// A host that has just started may send as many attempts as a new endpoint's window holds, and more as
    /// they succeed.
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

    /// How many recent attempts there may be before another is sent; one attempt is always allowed.
    pub(crate) fn sent_limit(&mut self, now: Instant) -> f64 {
        MAX_SENT_PER_SUCCESS * self.succeeded.read(now, SUCCESS_RATE_WINDOW) + 1.0
    }

    /// Attempts sent recently.
    pub(crate) fn sent(&mut self, now: Instant) -> f64 {
        self.sent.read(now, SUCCESS_RATE_WINDOW)
    }
}
