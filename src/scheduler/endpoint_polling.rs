//! Polling of the endpoint list after it was lost, with a backoff.

use super::messages::POLL_TIMER;
use gullsail_scheduler_api::{Action, Instant, SchedulerConfig, Span, UpdateKind};

/// First backoff before the endpoint list is polled again: a few round trips. Doubles up to
/// [`MAX_POLL_BACKOFF`].
const MIN_POLL_BACKOFF: Span = Span::from_micros(500_000);

/// Largest backoff: an eighth of the minute for which requests wait for a replacement of a lost endpoint.
/// Longer, and the replacement is noticed late; shorter, and a list service that is down is asked more often.
const MAX_POLL_BACKOFF: Span = Span::from_micros(7_500_000);

/// The backoff of this host.
pub(super) struct EndpointPolling {
    backoff: Span,
}

impl EndpointPolling {
    pub(super) fn new() -> Self {
        EndpointPolling {
            backoff: MIN_POLL_BACKOFF,
        }
    }

    /// The list was lost: sets the timer for the next poll. Each host waits for its own fraction of the
    /// backoff, since all of them lose the list at the same time.
    pub(super) fn list_lost(&mut self, now: Instant, config: &SchedulerConfig) -> Action {
        let fraction = 0.5 + 0.5 * f64::from(config.me.0) / f64::from(config.host_count.max(1));
        let most = config.max_poll_interval.unwrap_or(MAX_POLL_BACKOFF);
        let wait = self.backoff.min(most).times(fraction);
        self.backoff = self.backoff.times(2.0).min(MAX_POLL_BACKOFF);
        Action::SetTimer {
            id: POLL_TIMER,
            at: now + wait,
        }
    }

    /// The list was received from its service: the backoff starts anew.
    pub(super) fn list_received(&mut self, update_kind: UpdateKind) {
        if matches!(update_kind, UpdateKind::Delta | UpdateKind::Snapshot) {
            self.backoff = MIN_POLL_BACKOFF;
        }
    }
}
