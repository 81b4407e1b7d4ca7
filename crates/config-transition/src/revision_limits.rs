//! What one document promises of limits, in the form that every host computes alike.

use gullsail_scheduler_api::{HostId, Limit, PlanId, VolumeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of a document: a later one is larger. 0: the document states none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// A volume's limit, and who shares it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    /// By the document's own order of plans.
    pub plan: PlanId,
    /// Over all hosts, in units; `None`: without a limit.
    pub limit: Option<Limit>,
    /// In order of their numbers.
    pub hosts: Arc<[HostId]>,
}

impl Shared {
    pub fn through(&self, host: HostId) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }

    /// What that host may send by this document alone: an even part, or the `share` that it was granted, if it serves the
    /// volume, else nothing. `None`: as much as it likes.
    fn part(&self, host: HostId, share: Option<f64>) -> Option<Limit> {
        let limit = self.limit?;
        let count = self.hosts.len().max(1) as f64;
        let by = if self.through(host) { share.unwrap_or(1.0 / count) } else { 0.0 };
        Some(Limit { rate: limit.rate * by, burst: limit.burst * by })
    }
}

/// One document's promises.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RevisionLimits {
    pub revision: Revision,
    pub volumes: BTreeMap<VolumeId, Shared>,
}

impl RevisionLimits {
    /// The same limits over the same hosts; places of plans may differ.
    pub(crate) fn promise_as(&self, other: &RevisionLimits) -> bool {
        let what = |p: &RevisionLimits| -> Vec<_> {
            p.volumes.iter().map(|(id, v)| (*id, v.limit, v.hosts.clone())).collect()
        };
        what(self) == what(other)
    }

    /// A volume that the document does not know is sent nothing by those who hold to it, and so takes nothing
    /// from what others may send: it counts as without a limit.
    pub fn part(&self, volume: VolumeId, host: HostId, share: Option<f64>) -> Option<Limit> {
        self.volumes.get(&volume)?.part(host, share)
    }
}

/// The lower of two limits, rate and burst each by itself.
pub(crate) fn lower(a: Option<Limit>, b: Option<Limit>) -> Option<Limit> {
    match (a, b) {
        (Some(a), Some(b)) => Some(Limit { rate: a.rate.min(b.rate), burst: a.burst.min(b.burst) }),
        (one, other) => one.or(other),
    }
}
