//! Times at which the buffered bytes of a client connection were received. The time for which a pipelined request waits
//! in the buffer counts towards its deadline.

use gullsail_scheduler_api::Instant;
use std::collections::VecDeque;

/// Most arrivals recorded for one connection. Later bytes are added to the last arrival and keep its time.
const MAX_ARRIVALS: usize = 32;

/// Bytes that were received at the same time.
#[derive(Debug)]
struct Arrival {
    /// How many bytes the connection had received after this arrival.
    end_offset: u64,
    at: Instant,
}

/// The arrivals of bytes that are not decoded yet, in order.
#[derive(Debug, Default)]
pub(super) struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records that the connection has received `end_offset` bytes by now.
    pub(super) fn record(&mut self, end_offset: u64, now: Instant) {
        let full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if full || last.at == now => last.end_offset = end_offset,
            _ => self.arrivals.push_back(Arrival {
                end_offset,
                at: now,
            }),
        }
    }

    /// Returns when the last byte of the message that ends at `end_offset` was received, and drops earlier arrivals.
    pub(super) fn take_time_of(&mut self, end_offset: u64) -> Option<Instant> {
        while self
            .arrivals
            .front()
            .is_some_and(|first| first.end_offset < end_offset)
        {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map(|first| first.at)
    }

    /// Drops all arrivals: nothing is buffered.
    pub(super) fn clear(&mut self) {
        self.arrivals.clear();
    }
}
