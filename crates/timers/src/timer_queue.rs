//! A queue of timers. There are many of them (several for each request), and what most of them are for has
//! ended when they fire, so they are kept in buckets of a millisecond: setting one is a look-up among some
//! thousands of buckets, not among all timers. No timer fires early; each fires at most a millisecond late.
//! Timers are never cancelled.

use gullsail_scheduler_api::Instant;
use std::collections::BTreeMap;

/// Length of one bucket in microseconds: the timers of the runtimes are no finer.
const BUCKET_US: i64 = 1000;

/// Timers by when they are due.
#[derive(Debug)]
pub struct Timers<T> {
    buckets: BTreeMap<i64, Vec<T>>,
    /// Emptied buckets, used again.
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

    /// When the next timer is due.
    pub fn next(&self) -> Option<Instant> {
        self.buckets
            .first_key_value()
            .map(|(bucket, _)| Instant::from_micros(bucket.saturating_mul(BUCKET_US)))
    }

    /// The oldest bucket of timers that are due; `None`: none is. Timers come in order of time and, within a
    /// millisecond, in the order in which they were set.
    pub fn take(&mut self, now: Instant) -> Option<Vec<T>> {
        self.buckets
            .first_entry()
            .filter(|e| e.key().saturating_mul(BUCKET_US) <= now.micros())
            .map(|e| e.remove())
    }

    /// How many are set.
    pub fn pending(&self) -> usize {
        self.buckets.values().map(Vec::len).sum()
    }

    /// Hands a bucket back that was taken, for later use.
    pub fn give_back(&mut self, mut bucket: Vec<T>) {
        if self.spare.len() < 64 {
            bucket.clear();
            self.spare.push(bucket);
        }
    }
}
