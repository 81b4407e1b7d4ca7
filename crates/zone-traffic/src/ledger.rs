//! Bytes and frames that went from zone to zone, by plan, volume, request class and reason. Each host counts what it
//! sends and what it is sent, so each frame between a host and a node is counted once, at the host; what peers say
//! to each other is counted by who sends it.

use gullsail_scheduler_api::{Instant, PlanId, RequestClassId, Span, VolumeId, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Why something crossed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Its data lies there.
    Bound,
    /// A new object was placed there.
    Placed,
    /// A attempt after a request's first.
    Further,
    /// Hosts speak to each other, and to nodes about themselves.
    Peers,
}

/// What is counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    pub from: ZoneId,
    pub to: ZoneId,
    pub reason: Reason,
    /// Of a request; `None` where there is none.
    pub of: Option<(PlanId, VolumeId, RequestClassId)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    pub frames: u64,
    pub bytes: u64,
    /// Of these, such as no client had anything of: of attempts that did not end its request.
    pub for_nothing: u64,
}

impl Total {
    fn add(&mut self, other: Total) {
        self.frames += other.frames;
        self.bytes += other.bytes;
        self.for_nothing += other.for_nothing;
    }
}

/// A flow for each of so many in one span of time: what comes beyond is counted without its volume.
const FLOWS: usize = 4096;
/// Totals that are kept, a few megabytes, over spans of at most this many: older ones are summed. Some milliseconds
/// for whoever reads all of them.
const TOTALS: usize = 16_384;
const SPANS: usize = 720;

/// The account of one incarnation of a host. What it holds is lost with that incarnation; what was read before is not.
#[derive(Debug)]
pub struct Account {
    /// How long one bucket is.
    every: Span,
    buckets: VecDeque<(Instant, BTreeMap<Flow, Total>)>,
    /// What buckets that are gone held.
    before: BTreeMap<Flow, Total>,
    /// Totals in the buckets.
    held: usize,
    pub since: Instant,
}

impl Account {
    pub fn new(every: Span, now: Instant) -> Account {
        Account { every, buckets: VecDeque::new(), before: BTreeMap::new(), held: 0, since: now }
    }

    /// Within a zone nothing is counted.
    pub fn count(&mut self, now: Instant, flow: Flow, bytes: usize, for_nothing: bool) {
        if flow.from == flow.to {
            return;
        }
        let start = now.micros().div_euclid(self.every.micros()) * self.every.micros();
        let start = Instant::from_micros(start);
        // A clock that went back counts into the newest bucket: buckets stay in order.
        if self.buckets.back().is_none_or(|b| b.0 < start) {
            self.buckets.push_back((start, BTreeMap::new()));
        }
        let bytes = bytes as u64;
        let total = Total { frames: 1, bytes, for_nothing: if for_nothing { bytes } else { 0 } };
        if let Some((_, bucket)) = self.buckets.back_mut() {
            let before = bucket.len();
            put(bucket, flow, total);
            self.held += bucket.len() - before;
        }
        while (self.held > TOTALS || self.buckets.len() > SPANS)
            && self.buckets.len() > 1
            && let Some((_, old)) = self.buckets.pop_front()
        {
            self.held -= old.len();
            old.into_iter().for_each(|(flow, total)| put(&mut self.before, flow, total));
        }
    }

    /// What crossed since a point in time, as far as it is kept; the whole of this incarnation where it is `None`.
    pub fn since(&self, from: Option<Instant>) -> BTreeMap<Flow, Total> {
        let mut all = if from.is_none() { self.before.clone() } else { BTreeMap::new() };
        for (_, bucket) in self.buckets.iter().filter(|b| from.is_none_or(|from| b.0 + self.every > from)) {
            bucket.iter().for_each(|(flow, total)| all.entry(*flow).or_default().add(*total));
        }
        all
    }

    /// Bytes by bucket of one pair of zones.
    pub fn over_time(&self, from: ZoneId, to: ZoneId) -> impl Iterator<Item = (Instant, u64)> {
        self.buckets.iter().map(move |(at, bucket)| {
            let of_pair = bucket.iter().filter(|(flow, _)| flow.from == from && flow.to == to);
            (*at, of_pair.map(|(_, total)| total.bytes).sum())
        })
    }

    /// How many totals are kept.
    pub fn kept(&self) -> usize {
        self.before.len() + self.held
    }
}

fn put(bucket: &mut BTreeMap<Flow, Total>, flow: Flow, total: Total) {
    let flow =
        if bucket.len() < FLOWS || bucket.contains_key(&flow) { flow } else { Flow { of: None, ..flow } };
    bucket.entry(flow).or_default().add(total);
}
