//! Polling of the endpoint list after its loss, with an exponential backoff.

use super::messages::POLL_TIMER;
use gullsail_scheduler_api::{Action, Instant, SchedulerConfig, Span, UpdateKind};

/// First backoff before the endpoint list is polled again: a few round trips. The backoff doubles with each
/// loss up to [`MAX_POLL_BACKOFF`].
const MIN_POLL_BACKOFF: Span = Span::from_micros(500_000);

/// Largest backoff: an eighth of the minute for which requests wait for a replacement of a lost endpoint.
/// A longer backoff notices the replacement late; a shorter one puts more load on a failed list service.
const MAX_POLL_BACKOFF: Span = Span::from_micros(7_500_000);

/// The backoff of this host between polls of the endpoint list.
pub(super) struct EndpointPolling {
    backoff: Span,
}

impl EndpointPolling {
    pub(super) fn new() -> Self {
        EndpointPolling {
            backoff: MIN_POLL_BACKOFF,
        }
    }

    /// Returns the action that sets the timer for the next poll after the loss of the list. Each host waits for
    /// a different fraction of the backoff, since all hosts lose the list at the same time.
    pub(super) fn list_lost(&mut self, now: Instant, config: &SchedulerConfig) -> Action {
        let fraction =
            0.5 + 0.5 * f64::from(config.host_id.0) / f64::from(config.host_count.max(1));
        let max_backoff = config.max_poll_interval.unwrap_or(MAX_POLL_BACKOFF);
        let wait = self.backoff.min(max_backoff).times(fraction);
        self.backoff = self.backoff.times(2.0).min(MAX_POLL_BACKOFF);
        Action::SetTimer {
            id: POLL_TIMER,
            at: now + wait,
        }
    }

    /// Resets the backoff if the list came from the list service.
    pub(super) fn list_received(&mut self, update_kind: UpdateKind) {
        if matches!(update_kind, UpdateKind::Delta | UpdateKind::Snapshot) {
            self.backoff = MIN_POLL_BACKOFF;
        }
    }
}
