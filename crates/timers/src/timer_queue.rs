//! A queue of timers. There are several timers for each request, and most of them fire only after the request has
//! ended. Timers are kept in buckets of a millisecond, so setting one is a look-up among some thousands of buckets
//! instead of all timers. No timer fires early, and each fires at most a millisecond late. Timers cannot be
//! cancelled.

use gullsail_scheduler_api::Instant;
use std::collections::BTreeMap;

/// Length of one bucket in microseconds: 1 ms, since the runtimes' timers are no finer. Timers fire up to this
/// much late. Shorter buckets would be more numerous.
const BUCKET_US: i64 = 1000;

/// Most emptied buckets that are kept for reuse. More would hold memory after a burst, fewer would cost an
/// allocation for most buckets.
const MAX_SPARE_BUCKETS: usize = 64;

/// Timers by the time at which they are due.
#[derive(Debug)]
pub struct Timers<T> {
    /// The timers that are set, by the end of their bucket in units of [`BUCKET_US`].
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
    /// Adds a timer that is due at `at`.
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

    /// When the next timer fires; `None`: no timer is set.
    pub fn next(&self) -> Option<Instant> {
        self.buckets
            .first_key_value()
            .map(|(bucket, _)| Instant::from_micros(bucket.saturating_mul(BUCKET_US)))
    }

    /// Removes the earliest bucket if its timers are due; `None`: no timer is due. Buckets come in order of time,
    /// the timers of one bucket in the order in which they were set.
    pub fn take_due(&mut self, now: Instant) -> Option<Vec<T>> {
        let first = self.buckets.first_entry()?;
        let due_us = first.key().saturating_mul(BUCKET_US);
        (due_us <= now.micros()).then(|| first.remove())
    }

    /// The number of timers that are set.
    pub fn pending(&self) -> usize {
        self.buckets.values().map(Vec::len).sum()
    }

    /// Takes back a bucket that [`Timers::take_due`] returned, for reuse.
    pub fn give_back(&mut self, mut bucket: Vec<T>) {
        if self.spare.len() < MAX_SPARE_BUCKETS {
            bucket.clear();
            self.spare.push(bucket);
        }
    }
}
