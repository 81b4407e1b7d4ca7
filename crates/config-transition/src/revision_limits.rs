//! The limits that one revision of the configuration states, in the form that every host computes alike.

use gullsail_scheduler_api::{HostId, Limit, PlanId, VolumeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of a revision: a later one is larger. 0: the configuration states none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// A volume's limit, and the hosts that share it.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedLimit {
    /// By the configuration's own order of plans.
    pub plan: PlanId,
    /// Over all hosts, in units; `None`: without a limit.
    pub limit: Option<Limit>,
    /// In order of their numbers.
    pub hosts: Arc<[HostId]>,
}

impl SharedLimit {
    /// Whether the volume is served through this host.
    pub fn through(&self, host: HostId) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }

    /// What that host may send by this revision alone: an even share, or the `share` that it was granted. A
    /// host that does not serve the volume may send nothing. `None`: the volume has no limit.
    fn limit_for(&self, host: HostId, share: Option<f64>) -> Option<Limit> {
        let limit = self.limit?;
        let count = self.hosts.len().max(1) as f64;
        let share = if self.through(host) {
            share.unwrap_or(1.0 / count)
        } else {
            0.0
        };
        Some(Limit {
            rate: limit.rate * share,
            burst: limit.burst * share,
        })
    }
}

/// All limits of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RevisionLimits {
    /// Which revision.
    pub revision: Revision,
    /// By volume.
    pub volumes: BTreeMap<VolumeId, SharedLimit>,
}

impl RevisionLimits {
    /// Whether both state the same limits over the same hosts. Places of plans may differ.
    pub(crate) fn same_limits_as(&self, other: &RevisionLimits) -> bool {
        let same = |ours: &SharedLimit, theirs: &SharedLimit| {
            ours.limit == theirs.limit && ours.hosts == theirs.hosts
        };
        let mut pairs = self.volumes.iter().zip(&other.volumes);
        self.volumes.len() == other.volumes.len()
            && pairs.all(|(ours, theirs)| ours.0 == theirs.0 && same(ours.1, theirs.1))
    }

    /// What a host may send for a volume by this revision alone; `None`: no limit applies. For a volume that
    /// is not in the revision, hosts that follow it send nothing and so take nothing from the others.
    pub fn limit_for(&self, volume: VolumeId, host: HostId, share: Option<f64>) -> Option<Limit> {
        self.volumes.get(&volume)?.limit_for(host, share)
    }
}

/// The lower of two limits, rate and burst each by itself.
pub(crate) fn lower(one: Option<Limit>, other: Option<Limit>) -> Option<Limit> {
    match (one, other) {
        (Some(one), Some(other)) => Some(Limit {
            rate: one.rate.min(other.rate),
            burst: one.burst.min(other.burst),
        }),
        (one, other) => one.or(other),
    }
}
