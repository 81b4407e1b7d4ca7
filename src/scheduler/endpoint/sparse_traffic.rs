//! Congestion windows for endpoints with sparse traffic. If each of many hosts rarely sends an attempt to a
//! node, a window for this one node gets too few answers to react in time, yet all hosts together can overload
//! the node. So the endpoints of one zone that answer this host rarely share one window. Each zone has a window
//! of its own, because a network partition may cut off one zone.
//!
//! The shared window reacts less than that of a single endpoint, since about one attempt in twenty is late without
//! any congestion: a decrease is smaller, and only attempts that miss their latency objective, time out or are
//! rejected cause one.
//! Endpoints that are warming up, or whose own window was decreased within the last minute and is still small, do
//! not reduce the shared window. If many endpoints of a zone fail, it is too small for the healthy ones.

use super::window::MAX_WINDOW;
use crate::scheduler::messages::{AttemptKey, EndpointCapacity};
use gullsail_scheduler_api::{AttemptEnd, AttemptOutcome, Instant, Span, ZoneId};
use std::collections::BTreeMap;

/// Factor on the shared window at a decrease. With one half, as for a single endpoint, the failure of one
/// endpoint would stop the traffic to all others.
const SHARED_DECREASE_FACTOR: f64 = 0.7;

struct SharedWindow {
    /// Size of the window, in attempts; at least one.
    size: f64,
    /// The attempts in flight with their latency objectives.
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

    /// Adjusts the window after the end of an attempt. The caller has removed the attempt from `in_flight`.
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
        // Attempts that were sent before the last decrease do not show the effect of the smaller window.
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
    /// Whether an endpoint has sparse traffic and the shared window of its zone is full.
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
