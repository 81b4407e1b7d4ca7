//! Congestion window: the number of attempts that this host may have in flight at one endpoint. The window
//! grows by one for each round trip whose answers are in time (additive increase) and is halved when an attempt is
//! late or fails (multiplicative decrease). Below one, single attempts are spaced in time.

use gullsail_scheduler_api::{AttemptOutcome, Instant, Span};

/// Window of an endpoint that has not answered yet. A larger window would overload a small node before its
/// first answer; a smaller one would leave a node idle for several round trips.
pub(crate) const INITIAL_WINDOW: f64 = 4.0;

/// Largest window. Without a bound, the window of a fast node would grow until the node's own queue is full. A
/// smaller bound would limit the throughput of a single host.
pub(crate) const MAX_WINDOW: f64 = 32.0;

/// Smallest window: one attempt in eight times the mean latency. With a smaller one, an endpoint would be
/// probed less than once within most latency objectives, and this host would not notice its recovery.
const MIN_WINDOW: f64 = 0.125;

/// Increase for each answer in time while the window is below one. A window at [`MIN_WINDOW`] is back at one
/// after four such answers. A smaller increase would keep a recovered node idle for longer.
const SUB_UNIT_INCREASE: f64 = 0.25;

/// Fraction of the latency objective above which an attempt counts as late. The remaining fraction is for the
/// wait at this host, where requests can still be ordered and shed.
const NODE_TIME_FRACTION: f64 = 0.4;

/// How long after a decrease the endpoint counts as recently degraded.
const DEGRADED_MEMORY: Span = Span::from_micros(60_000_000);

/// Limits the attempts in flight at one endpoint.
pub(crate) struct CongestionWindow {
    /// Size of the window, in attempts. Below one, single attempts are spaced by the mean latency divided by
    /// this size.
    size: f64,
    last_decrease: Instant,
}

/// The end of an attempt, with what the window and the health need of it.
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

    /// Resets the window after a restart of the endpoint.
    pub(crate) fn reset(&mut self) {
        self.size = INITIAL_WINDOW;
    }

    /// Adjusts the window after the end of an attempt. Attempts that were not sent, were cancelled or lost their
    /// connection do not change it, since they are no sign of congestion. `in_flight` does not count this attempt;
    /// `mean_latency` includes it.
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

    /// Halves the window, at most once in each mean latency.
    fn decrease(&mut self, mean_latency: Span, now: Instant) {
        if now - self.last_decrease <= mean_latency {
            return;
        }
        // Many hosts with a window of one each can still overload a small or slow node, so the window may fall
        // below one. The drawback is that a node with a single expensive request is then idle for a while.
        let floor = if self.size > 1.0 { 1.0 } else { MIN_WINDOW };
        self.size = (self.size / 2.0).max(floor);
        self.last_decrease = now;
    }

    /// Whether the window was decreased within the last minute and is smaller than the initial window.
    pub(crate) fn recently_decreased(&self, now: Instant) -> bool {
        self.size < INITIAL_WINDOW && now - self.last_decrease < DEGRADED_MEMORY
    }

    /// The number of further attempts that may be sent now, `since_sent` after the last one.
    pub(crate) fn available_slots(
        &self,
        in_flight: usize,
        since_sent: Span,
        mean_latency: Span,
    ) -> usize {
        let spacing_elapsed = self.size >= 1.0 || since_sent > mean_latency.times(1.0 / self.size);
        if !spacing_elapsed {
            return 0;
        }
        (self.size.max(1.0) as usize).saturating_sub(in_flight)
    }
}
