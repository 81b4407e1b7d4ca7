//! Bytes and frames that went from zone to zone, by plan, volume, request class and reason. Each host counts
//! what it sends and what it is sent, so each frame between a host and a node is counted once, at the host;
//! frames between hosts are counted by their sender.

use gullsail_scheduler_api::{Instant, PlanId, RequestClassId, Span, VolumeId, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Why something went to another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The data of the request is there.
    Bound,
    /// A new object was placed there.
    Placed,
    /// An attempt after a request's first.
    Further,
    /// Frames between hosts, and frames to and from nodes that carry no attempt.
    Peers,
}

/// Whose requests a flow belongs to. Its order is the order of its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowOf {
    /// The volume's plan.
    pub plan: PlanId,
    /// The volume.
    pub volume: VolumeId,
    /// The request class.
    pub request_class: RequestClassId,
}

/// What is counted together. Its order is the order of its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    /// The zone that it left.
    pub from: ZoneId,
    /// The zone that it went to.
    pub to: ZoneId,
    /// Why.
    pub reason: Reason,
    /// Of requests; `None` where there are none.
    pub of: Option<FlowOf>,
}

/// How much went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Frames.
    pub frames: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes of these that no client had the benefit of: of attempts that did not end their request.
    pub for_nothing: u64,
}

impl Total {
    fn add(&mut self, other: Total) {
        self.frames += other.frames;
        self.bytes += other.bytes;
        self.for_nothing += other.for_nothing;
    }
}

/// The most flows in one bucket: what comes beyond is counted without its volume.
const MAX_FLOWS: usize = 4096;
/// The most totals that are kept in buckets, a few megabytes: older ones are summed up. Reading all of them
/// takes some milliseconds.
const MAX_TOTALS: usize = 16_384;
/// The most buckets that are kept.
const MAX_BUCKETS: usize = 720;

#[derive(Debug)]
struct Bucket {
    start: Instant,
    totals: BTreeMap<Flow, Total>,
}

/// The traffic between zones of one incarnation of a host, in time buckets. It is lost with that incarnation.
#[derive(Debug)]
pub struct Ledger {
    /// How long one bucket is.
    bucket_length: Span,
    buckets: VecDeque<Bucket>,
    /// The sums of buckets that are gone.
    before: BTreeMap<Flow, Total>,
    /// Totals in the buckets.
    held: usize,
    /// When counting began.
    pub since: Instant,
}

impl Ledger {
    /// An empty ledger with buckets of that length.
    pub fn new(bucket_length: Span, now: Instant) -> Ledger {
        Ledger {
            bucket_length,
            buckets: VecDeque::new(),
            before: BTreeMap::new(),
            held: 0,
            since: now,
        }
    }

    /// Counts one frame. Within a zone nothing is counted. `for_nothing`: no client has the benefit of it.
    pub fn count(&mut self, now: Instant, flow: Flow, bytes: usize, for_nothing: bool) {
        if flow.from == flow.to {
            return;
        }
        let length = self.bucket_length.micros();
        let start = Instant::from_micros(now.micros().div_euclid(length) * length);
        // A clock that went back counts into the newest bucket: buckets stay in order.
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
            self.held += bucket.totals.len() - before;
        }
        self.sum_up_old_buckets();
    }

    /// Keeps the number of totals and of buckets within bounds.
    fn sum_up_old_buckets(&mut self) {
        while (self.held > MAX_TOTALS || self.buckets.len() > MAX_BUCKETS)
            && self.buckets.len() > 1
            && let Some(old) = self.buckets.pop_front()
        {
            self.held -= old.totals.len();
            for (flow, total) in old.totals {
                add(&mut self.before, flow, total);
            }
        }
    }

    /// All flows since a point in time, as far as they are kept; of the whole incarnation where it is `None`.
    pub fn since(&self, from: Option<Instant>) -> BTreeMap<Flow, Total> {
        let mut all = if from.is_none() {
            self.before.clone()
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

    /// Bytes by bucket of one pair of zones, with the start of each bucket.
    pub fn over_time(&self, from: ZoneId, to: ZoneId) -> impl Iterator<Item = (Instant, u64)> {
        self.buckets.iter().map(move |bucket| {
            let of_pair = bucket
                .totals
                .iter()
                .filter(|(flow, _)| flow.from == from && flow.to == to);
            (bucket.start, of_pair.map(|(_, total)| total.bytes).sum())
        })
    }

    /// How many totals are kept.
    pub fn kept(&self) -> usize {
        self.before.len() + self.held
    }
}

fn add(totals: &mut BTreeMap<Flow, Total>, flow: Flow, total: Total) {
    let has_room = totals.len() < MAX_FLOWS || totals.contains_key(&flow);
    let flow = if has_room {
        flow
    } else {
        Flow { of: None, ..flow }
    };
    totals.entry(flow).or_default().add(total);
}
