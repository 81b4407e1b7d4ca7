//! What is due when. Timers are many (several for each request) and mostly outlived by what they were for, so
//! they are kept in buckets of a millisecond: setting one is a look-up among some thousands of buckets, not
//! among all timers. None comes early; each comes at most a millisecond late.

use gullsail_scheduler_api::Instant;
use std::collections::BTreeMap;

/// A driver's own timer is no finer.
const GRAIN: i64 = 1000;

#[derive(Debug)]
pub struct Timers<T> {
    buckets: BTreeMap<i64, Vec<T>>,
    /// Emptied buckets, used again.
    spare: Vec<Vec<T>>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { buckets: BTreeMap::new(), spare: Vec::new() }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, at: Instant, what: T) {
        let bucket = at.micros().saturating_add(GRAIN - 1).div_euclid(GRAIN);
        self.buckets.entry(bucket).or_insert_with(|| self.spare.pop().unwrap_or_default()).push(what);
    }

    pub fn next(&self) -> Option<Instant> {
        self.buckets.first_key_value().map(|(bucket, _)| Instant::from_micros(bucket.saturating_mul(GRAIN)))
    }

    /// Those that are due, in order of time and, within a millisecond, of setting.
    pub fn take(&mut self, now: Instant) -> Option<Vec<T>> {
        self.buckets
            .first_entry()
            .filter(|e| e.key().saturating_mul(GRAIN) <= now.micros())
            .map(|e| e.remove())
    }

    /// How many are set.
    pub fn pending(&self) -> usize {
        self.buckets.values().map(Vec::len).sum()
    }

    /// A bucket that was taken and emptied.
    pub fn give_back(&mut self, mut bucket: Vec<T>) {
        if self.spare.len() < 64 {
            bucket.clear();
            self.spare.push(bucket);
        }
    }
}
