//! The limits that one revision of the configuration states, in the form that every host computes alike.

use gullsail_scheduler_api::{HostId, Limit, PlanId, VolumeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of a revision of the configuration; later revisions have larger numbers. 0: the configuration states no
/// number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// A volume's limit, and the hosts that share it.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedLimit {
    /// The volume's plan, by its position in the configuration of the same revision.
    pub plan: PlanId,
    /// The limit of rate and burst over all hosts together; `None`: the volume has no limit.
    pub limit: Option<Limit>,
    /// The hosts that serve the volume, sorted by number.
    pub hosts: Arc<[HostId]>,
}

impl SharedLimit {
    /// Whether this host serves the volume.
    pub fn is_served_by(&self, host: HostId) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }

    /// Returns the limit of one host by this revision alone: the granted `share` of the limit, or an even share if
    /// there is none. A host that does not serve the volume has a limit of 0. `None`: the volume has no limit.
    fn limit_for(&self, host: HostId, share: Option<f64>) -> Option<Limit> {
        let limit = self.limit?;
        let count = self.hosts.len().max(1) as f64;
        let share = if self.is_served_by(host) {
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
    /// The number of the revision.
    pub revision: Revision,
    /// The limit of each volume.
    pub volumes: BTreeMap<VolumeId, SharedLimit>,
}

impl RevisionLimits {
    /// Whether both revisions have the same limits over the same hosts. Positions of plans may differ.
    pub(crate) fn same_limits_as(&self, other: &RevisionLimits) -> bool {
        let same = |ours: &SharedLimit, theirs: &SharedLimit| {
            ours.limit == theirs.limit && ours.hosts == theirs.hosts
        };
        let mut pairs = self.volumes.iter().zip(&other.volumes);
        self.volumes.len() == other.volumes.len()
            && pairs.all(|(ours, theirs)| ours.0 == theirs.0 && same(ours.1, theirs.1))
    }

    /// Returns the limit of one host for a volume by this revision alone; `None`: no limit applies. A volume that is
    /// not in the revision needs no limit: hosts that follow the revision do not send for it.
    pub fn limit_for(&self, volume: VolumeId, host: HostId, share: Option<f64>) -> Option<Limit> {
        self.volumes.get(&volume)?.limit_for(host, share)
    }
}

/// Returns the lower rate and the lower burst of two limits; `None` is no limit.
pub(crate) fn lower(one: Option<Limit>, other: Option<Limit>) -> Option<Limit> {
    match (one, other) {
        (Some(one), Some(other)) => Some(Limit {
            rate: one.rate.min(other.rate),
            burst: one.burst.min(other.burst),
        }),
        (one, other) => one.or(other),
    }
}
