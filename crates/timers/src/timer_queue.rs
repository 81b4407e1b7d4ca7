//! A queue of timers. There are several timers for each request, and most of them fire after what they were set
//! for has ended. They are kept in buckets of a millisecond, so setting one is a look-up among some thousands of
//! buckets and not among all timers. No timer fires early, and each fires at most a millisecond late. Timers
//! cannot be cancelled.

use gullsail_scheduler_api::Instant;
use std::collections::BTreeMap;

/// Length of one bucket in microseconds: 1 ms, since the timers of the runtimes are no finer. Timers fire up to
/// this much late; shorter buckets would be more numerous.
const BUCKET_US: i64 = 1000;

/// Emptied buckets that are kept for reuse. More hold memory after a burst; fewer cost an allocation for most
/// buckets.
const MAX_SPARE_BUCKETS: usize = 64;

/// Timers by the time at which they are due.
#[derive(Debug)]
pub struct Timers<T> {
    buckets: BTreeMap<i64, Vec<T>>,
    /// Emptied buckets, kept for reuse.
    spare: Vec<Vec<T>>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            buckets: BTreeMap::new(),
            spare: Vec::new(),
        }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: Instant, timer: T) {
        let bucket = at
            .micros()
            .saturating_add(BUCKET_US - 1)
            .div_euclid(BUCKET_US);
        self.buckets
            .entry(bucket)
            .or_insert_with(|| self.spare.pop().unwrap_or_default())
            .push(timer);
    }

    /// The time at which the next timer is due.
    pub fn next(&self) -> Option<Instant> {
        self.buckets
            .first_key_value()
            .map(|(bucket, _)| Instant::from_micros(bucket.saturating_mul(BUCKET_US)))
    }

    /// Removes the oldest bucket of timers that are due; `None`: none is due. Timers are in order of time and,
    /// within a millisecond, in the order in which they were set.
    pub fn take(&mut self, now: Instant) -> Option<Vec<T>> {
        let first = self.buckets.first_entry()?;
        let due_us = first.key().saturating_mul(BUCKET_US);
        (due_us <= now.micros()).then(|| first.remove())
    }

    /// How many timers are set.
    pub fn pending(&self) -> usize {
        self.buckets.values().map(Vec::len).sum()
    }

    /// Returns a bucket that was taken, for reuse.
    pub fn give_back(&mut self, mut bucket: Vec<T>) {
        if self.spare.len() < MAX_SPARE_BUCKETS {
            bucket.clear();
            self.spare.push(bucket);
        }
    }
}
