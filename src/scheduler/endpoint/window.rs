//! Congestion window: how many attempts this host may have in flight at one endpoint. It grows by one for
//! each round trip that is in time (additive increase) and halves when an attempt is late or fails
//! (multiplicative decrease). Below one, attempts are spaced in time.

use gullsail_scheduler_api::{AttemptOutcome, Instant, Span};

/// Attempts in flight at an endpoint that has not answered yet: a few. More would overload a small node before
/// its first answer; fewer would leave a node idle for several round trips.
pub(crate) const INITIAL_WINDOW: f64 = 4.0;

/// Largest number of attempts in flight at one endpoint. Without a bound, the window of a fast node would grow
/// until the node's own queue is full; a smaller one limits what a host that is alone can send.
pub(crate) const MAX_WINDOW: f64 = 32.0;

/// Smallest window: one attempt in eight times the latency. With a smaller one, the endpoint is probed less
/// than once within most latency objectives, and this host would not notice that it has recovered.
const MIN_WINDOW: f64 = 0.125;

/// Increase for each answer in time while the window is below one. A window at [`MIN_WINDOW`] is back at one
/// after four such answers; a smaller increase keeps a recovered node idle for longer.
const SUB_UNIT_INCREASE: f64 = 0.25;

/// Share of the latency objective that an attempt may spend at the node before it counts as congestion. The
/// rest is for the wait at this host, where requests can still be ordered and shed.
const NODE_TIME_FRACTION: f64 = 0.4;

/// For how long a decrease marks the endpoint as degraded.
const DEGRADED_MEMORY: Span = Span::from_micros(60_000_000);

/// Limits the attempts in flight at one endpoint.
pub(crate) struct CongestionWindow {
    /// In attempts. Below one, single attempts are spaced by the latency divided by this size.
    size: f64,
    last_decrease: Instant,
}

/// An attempt that has ended, as the window sees it.
pub(crate) struct EndedAttempt {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) latency: Span,
    pub(crate) latency_objective: Span,
}

impl CongestionWindow {
    pub(crate) fn new(now: Instant) -> Self {
        CongestionWindow {
            size: INITIAL_WINDOW,
            last_decrease: now,
        }
    }

    /// The endpoint has restarted: what was learnt of its earlier process no longer holds.
    pub(crate) fn reset(&mut self) {
        self.size = INITIAL_WINDOW;
    }

    /// Adjusts the window. `in_flight` no longer counts the attempt; `mean_latency` includes it.
    pub(crate) fn record(
        &mut self,
        ended: &EndedAttempt,
        in_flight: usize,
        mean_latency: Span,
        now: Instant,
    ) {
        use AttemptOutcome::{Cancelled, ConnectionLost, NotSent, Succeeded};
        let in_time = ended.latency <= ended.latency_objective.times(NODE_TIME_FRACTION);
        if ended.outcome == Succeeded && in_time {
            self.increase(in_flight);
        } else if !matches!(ended.outcome, NotSent | Cancelled | ConnectionLost) {
            self.decrease(mean_latency, now);
        }
    }

    fn increase(&mut self, in_flight: usize) {
        if self.size < 1.0 {
            self.size = (self.size + SUB_UNIT_INCREASE).min(1.0);
        } else if in_flight + 1 >= self.size as usize {
            self.size = (self.size + 1.0 / self.size).min(MAX_WINDOW);
        }
    }

    /// Halves the window, at most once in a round trip.
    fn decrease(&mut self, mean_latency: Span, now: Instant) {
        if now - self.last_decrease <= mean_latency {
            return;
        }
        // Many hosts with a window of one each can still overload a small or slowed node, so the window falls
        // below one. A node that was late for a single expensive request is then idle for a while.
        let floor = if self.size > 1.0 { 1.0 } else { MIN_WINDOW };
        self.size = (self.size / 2.0).max(floor);
        self.last_decrease = now;
    }

    /// Smaller than at the start because of a decrease within the last minute.
    pub(crate) fn recently_decreased(&self, now: Instant) -> bool {
        self.size < INITIAL_WINDOW && now - self.last_decrease < DEGRADED_MEMORY
    }

    /// How many more attempts may be sent now, `since_sent` after the last one.
    pub(crate) fn available_slots(
        &self,
        in_flight: usize,
        since_sent: Span,
        mean_latency: Span,
    ) -> usize {
        let spacing_over = self.size >= 1.0 || since_sent > mean_latency.times(1.0 / self.size);
        if !spacing_over {
            return 0;
        }
        (self.size.max(1.0) as usize).saturating_sub(in_flight)
    }
}
