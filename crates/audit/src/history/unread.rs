//! The number of bytes that the kernel had received on client connections, sampled while the proxy had not yet read
//! all of them.

use std::collections::BTreeMap;

/// The number of bytes received on a connection at one time.
#[derive(Debug)]
struct Sample {
    at: i64,
    received: u64,
}

/// Samples by connection, in order of time.
#[derive(Debug, Default)]
pub(crate) struct UnreadBytes {
    samples: BTreeMap<u64, Vec<Sample>>,
}

impl UnreadBytes {
    pub(super) fn insert(&mut self, link: u64, at: i64, received: u64) {
        let samples = self.samples.entry(link).or_default();
        samples.push(Sample { at, received });
    }

    /// The time of the first sample with at least `bytes` bytes received; `None`: there is none.
    pub(super) fn had_come_by(&self, link: u64, bytes: u64) -> Option<i64> {
        let samples = self.samples.get(&link)?;
        let first = samples.partition_point(|sample| sample.received < bytes);
        samples.get(first).map(|sample| sample.at)
    }
}
