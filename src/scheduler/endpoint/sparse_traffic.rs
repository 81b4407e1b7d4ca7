//! Congestion windows for endpoints with sparse traffic. Where each of many hosts sends a node an attempt only
//! now and then, no window for this one node sees enough answers to react in time, yet all hosts together can
//! overload it. So the endpoints of one zone that answer this host rarely share one window. Zones are kept
//! apart because one may be cut off.
//!
//! The shared window falls less than that of a single endpoint, and only for missed latency objectives: about
//! one attempt in twenty is late without any congestion. Endpoints that warm up, or were late within the last
//! minute, do not reduce it. The window is too small for the healthy endpoints of a zone if many others fail.

use super::window::MAX_WINDOW;
use crate::scheduler::messages::{AttemptKey, EndpointCapacity};
use gullsail_scheduler_api::{AttemptEnd, AttemptOutcome, Instant, Span, ZoneId};
use std::collections::BTreeMap;

/// Part of the shared window that is left after a decrease. Half, as for a single endpoint, would let one
/// endpoint's failure stop the traffic to all others.
const SHARED_DECREASE_FACTOR: f64 = 0.7;

struct SharedWindow {
    /// In attempts; at least one.
    size: f64,
    /// Latency objective of each attempt in flight.
    in_flight: BTreeMap<AttemptKey, Span>,
    last_decrease: Instant,
}

impl SharedWindow {
    fn new() -> Self {
        SharedWindow {
            size: MAX_WINDOW,
            in_flight: BTreeMap::new(),
            last_decrease: Instant::default(),
        }
    }

    /// Adjusts the window after an attempt that is no longer in `in_flight`.
    fn record(
        &mut self,
        now: Instant,
        end: &AttemptEnd,
        latency_objective: Span,
        recently_degraded: bool,
    ) {
        use AttemptOutcome::{Rejected, Succeeded, TimedOut};
        let in_flight = self.in_flight.len() as f64 + 1.0;
        let in_time = end.outcome == Succeeded && end.latency <= latency_objective;
        let missed = matches!(end.outcome, Succeeded | TimedOut | Rejected);
        let sent_after_decrease = now - end.latency > self.last_decrease;
        if in_time {
            let window_used = in_flight + 1.0 >= self.size.floor();
            let increase = f64::from(window_used) / self.size;
            self.size = (self.size + increase).min(MAX_WINDOW);
        } else if missed && !recently_degraded && sent_after_decrease {
            self.size = (self.size.min(in_flight) * SHARED_DECREASE_FACTOR).max(1.0);
            self.last_decrease = now;
        }
    }

    fn is_full(&self) -> bool {
        self.in_flight.len() >= self.size as usize
    }
}

/// The shared window of each zone.
#[derive(Default)]
pub(crate) struct SparseTrafficWindows {
    by_zone: BTreeMap<ZoneId, SharedWindow>,
}

impl SparseTrafficWindows {
    /// Whether the shared window keeps this endpoint from being sent an attempt.
    pub(crate) fn is_full_for(&self, capacity: &EndpointCapacity) -> bool {
        let window = self.by_zone.get(&capacity.entry.zone);
        capacity.sparse_traffic && window.is_some_and(SharedWindow::is_full)
    }

    pub(crate) fn record_sent(
        &mut self,
        key: AttemptKey,
        capacity: &EndpointCapacity,
        latency_objective: Span,
    ) {
        if capacity.sparse_traffic {
            let window = self
                .by_zone
                .entry(capacity.entry.zone)
                .or_insert_with(SharedWindow::new);
            window.in_flight.insert(key, latency_objective);
        }
    }

    pub(crate) fn record_ended(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: &AttemptEnd,
        recently_degraded: bool,
    ) {
        for window in self.by_zone.values_mut() {
            if let Some(latency_objective) = window.in_flight.remove(&key) {
                window.record(now, end, latency_objective, recently_degraded);
                return;
            }
        }
    }

    /// Number of attempts in flight over all zones.
    pub(crate) fn in_flight_count(&self) -> usize {
        let windows = self.by_zone.values();
        windows.map(|window| window.in_flight.len()).sum()
    }
}
