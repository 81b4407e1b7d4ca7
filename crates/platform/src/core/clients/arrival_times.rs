//! When the bytes were received that wait behind an open request. A request that waits there has that much less time.

use gullsail_scheduler_api::Instant;
use std::collections::VecDeque;

/// Most arrivals remembered of one connection.
const MAX_ARRIVALS: usize = 32;

/// Bytes that were received together.
#[derive(Debug)]
struct Arrival {
    /// The last of them, by its place among all bytes of the connection.
    end: u64,
    at: Instant,
}

/// Arrivals of bytes that were not read yet, in order.
#[derive(Debug, Default)]
pub(super) struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// All bytes up to `end` have been received by now.
    pub(super) fn received(&mut self, end: u64, now: Instant) {
        let full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if full || last.at == now => last.end = end,
            _ => self.arrivals.push_back(Arrival { end, at: now }),
        }
    }

    /// A message that ends there is read: returns when its last byte was received.
    pub(super) fn read(&mut self, end: u64) -> Option<Instant> {
        while self.arrivals.front().is_some_and(|first| first.end < end) {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map(|first| first.at)
    }

    /// Nothing waits any more.
    pub(super) fn clear(&mut self) {
        self.arrivals.clear();
    }
}
