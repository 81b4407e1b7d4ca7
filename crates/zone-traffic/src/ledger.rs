//! Counts bytes and frames between zones, by plan, volume, request class and reason. A frame between a host and a node
//! is counted by the host, in both directions. A frame between two hosts is counted by its sender. So each frame is
//! counted once.

use gullsail_scheduler_api::{Instant, PlanId, RequestClassId, Span, VolumeId, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The reason why a frame was sent to another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The data of the request is in the other zone.
    Bound,
    /// A new object was placed in the other zone.
    Placed,
    /// The frame belongs to an attempt after a request's first.
    Further,
    /// Frames between hosts, and frames to and from nodes that carry no attempt.
    Peers,
}

/// The requests that a flow belongs to. Values are ordered by their fields in sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowOf {
    /// The plan of the volume.
    pub plan: PlanId,
    /// The volume of the requests.
    pub volume: VolumeId,
    /// The class of the requests.
    pub request_class: RequestClassId,
}

/// Traffic that is counted in one total. Values are ordered by their fields in sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    /// The sending zone.
    pub from: ZoneId,
    /// The receiving zone.
    pub to: ZoneId,
    /// The reason for the traffic.
    pub reason: Reason,
    /// The requests that the traffic belongs to. `None`: it belongs to no request, or its bucket had no room for a
    /// separate flow.
    pub of: Option<FlowOf>,
}

/// The amount of traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The number of frames.
    pub frames: u64,
    /// The bytes of these frames.
    pub bytes: u64,
    /// The part of the bytes that was of no use to a client: those of attempts that did not end their request.
    pub for_nothing: u64,
}

impl Total {
    fn add(&mut self, other: Total) {
        self.frames += other.frames;
        self.bytes += other.bytes;
        self.for_nothing += other.for_nothing;
    }
}

/// The maximum number of flows in one bucket. Further flows are counted without plan, volume and request class.
const MAX_FLOWS: usize = 4096;
/// The maximum number of totals in all buckets, beyond which the oldest buckets are summed up. So many totals take a few
/// megabytes of memory, and a few milliseconds to read.
const MAX_TOTALS: usize = 16_384;
/// The maximum number of buckets.
const MAX_BUCKETS: usize = 720;

/// The traffic in one interval.
#[derive(Debug)]
struct Bucket {
    start: Instant,
    totals: BTreeMap<Flow, Total>,
}

/// The traffic between zones of one incarnation of a host, in buckets by time. It is not stored across restarts.
#[derive(Debug)]
pub struct Ledger {
    /// The length of the interval of one bucket.
    bucket_length: Span,
    buckets: VecDeque<Bucket>,
    /// The sums of the buckets that were removed.
    removed: BTreeMap<Flow, Total>,
    /// The number of totals in all buckets.
    bucket_totals: usize,
    /// The time at which counting began.
    pub since: Instant,
}

impl Ledger {
    /// Creates an empty ledger with buckets of this length.
    pub fn new(bucket_length: Span, now: Instant) -> Ledger {
        Ledger {
            bucket_length,
            buckets: VecDeque::new(),
            removed: BTreeMap::new(),
            bucket_totals: 0,
            since: now,
        }
    }

    /// Counts one frame. A frame within a zone is ignored. `for_nothing`: the frame was of no use to a client.
    pub fn count(&mut self, now: Instant, flow: Flow, bytes: usize, for_nothing: bool) {
        if flow.from == flow.to {
            return;
        }
        let length = self.bucket_length.micros();
        let start = Instant::from_micros(now.micros().div_euclid(length) * length);
        // After the clock went back, frames are counted in the newest bucket, so that buckets stay in order.
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.start < start)
        {
            self.buckets.push_back(Bucket {
                start,
                totals: BTreeMap::new(),
            });
        }
        let bytes = bytes as u64;
        let total = Total {
            frames: 1,
            bytes,
            for_nothing: if for_nothing { bytes } else { 0 },
        };
        if let Some(bucket) = self.buckets.back_mut() {
            let before = bucket.totals.len();
            add(&mut bucket.totals, flow, total);
            self.bucket_totals += bucket.totals.len() - before;
        }
        self.sum_up_old_buckets();
    }

    /// Sums up the oldest buckets until the numbers of totals and of buckets are within their limits.
    fn sum_up_old_buckets(&mut self) {
        while (self.bucket_totals > MAX_TOTALS || self.buckets.len() > MAX_BUCKETS)
            && self.buckets.len() > 1
            && let Some(old) = self.buckets.pop_front()
        {
            self.bucket_totals -= old.totals.len();
            for (flow, total) in old.totals {
                add(&mut self.removed, flow, total);
            }
        }
    }

    /// All flows from the bucket that holds `from` on, as far as buckets are kept. `None`: of the whole incarnation.
    pub fn since(&self, from: Option<Instant>) -> BTreeMap<Flow, Total> {
        let mut all = if from.is_none() {
            self.removed.clone()
        } else {
            BTreeMap::new()
        };
        let counts =
            |bucket: &&Bucket| from.is_none_or(|from| bucket.start + self.bucket_length > from);
        for bucket in self.buckets.iter().filter(counts) {
            for (flow, total) in &bucket.totals {
                all.entry(*flow).or_default().add(*total);
            }
        }
        all
    }

    /// The bytes from one zone to another in each bucket, with the start of the bucket.
    pub fn over_time(&self, from: ZoneId, to: ZoneId) -> impl Iterator<Item = (Instant, u64)> {
        self.buckets.iter().map(move |bucket| {
            let of_pair = bucket
                .totals
                .iter()
                .filter(|(flow, _)| flow.from == from && flow.to == to);
            (bucket.start, of_pair.map(|(_, total)| total.bytes).sum())
        })
    }

    /// The number of totals that are kept.
    pub fn kept(&self) -> usize {
        self.removed.len() + self.bucket_totals
    }
}

/// Adds to the total of a flow. If there are too many flows, the flow is counted without its requests.
fn add(totals: &mut BTreeMap<Flow, Total>, flow: Flow, total: Total) {
    let has_room = totals.len() < MAX_FLOWS || totals.contains_key(&flow);
    let flow = if has_room {
        flow
    } else {
        Flow { of: None, ..flow }
    };
    totals.entry(flow).or_default().add(total);
}
