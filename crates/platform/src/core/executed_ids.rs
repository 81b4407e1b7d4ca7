//! The trace ids of requests that may have run, of classes in which a second run does harm. A client may send a request
//! again with the id of one that it did not wait for, although a new id is due. While the first is open, its id is in
//! the table of open requests; afterwards it is kept here.

use gullsail_scheduler_api::{Instant, Span};
use std::collections::{BTreeMap, VecDeque};

/// For how long an id is kept after the arrival of its request.
const RETENTION: Span = Span::from_micros(60_000_000);
/// Most ids that are kept. Beyond it the oldest is dropped, so that ever new ids cannot occupy memory without end; a
/// client that sends that many within the retention shortens it for others.
const MAX_IDS: usize = 16_384;

/// The ids of requests that may have run, for a bounded time and number.
#[derive(Debug, Default)]
pub(super) struct ExecutedIds {
    /// When the request with each id arrived.
    arrivals: BTreeMap<u64, Instant>,
    /// The ids in the order in which they were added.
    in_order: VecDeque<u64>,
}

impl ExecutedIds {
    /// Adds the id of a request that arrived at this time. An id that is there keeps its earlier time.
    pub(super) fn insert(&mut self, trace_id: u64, arrived_at: Instant) {
        if self.arrivals.contains_key(&trace_id) {
            return;
        }
        self.arrivals.insert(trace_id, arrived_at);
        self.in_order.push_back(trace_id);
        if self.in_order.len() > MAX_IDS {
            self.drop_oldest();
        }
    }

    /// When the request with this id arrived; `None` if none may have run. Drops the ids whose time is over.
    pub(super) fn arrival_of(&mut self, trace_id: u64, now: Instant) -> Option<Instant> {
        while self
            .oldest_arrival()
            .is_some_and(|at| now - at >= RETENTION)
        {
            self.drop_oldest();
        }
        self.arrivals.get(&trace_id).copied()
    }

    fn oldest_arrival(&self) -> Option<Instant> {
        self.arrivals.get(self.in_order.front()?).copied()
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.in_order.pop_front() {
            self.arrivals.remove(&oldest);
        }
    }

    /// The number of ids that are kept.
    pub(super) fn len(&self) -> usize {
        self.arrivals.len()
    }
}
