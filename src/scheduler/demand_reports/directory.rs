//! Directory of the hosts that use a volume, for the volumes whose directory falls to this host.

use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use std::collections::BTreeMap;

/// The hosts that use each volume.
#[derive(Default)]
pub(crate) struct UserDirectory {
    /// With each host, when it last searched for the others.
    users: BTreeMap<VolumeId, BTreeMap<HostId, Instant>>,
}

/// What the directory knows of a volume when a host searches.
pub(crate) struct OtherUsers {
    pub(crate) hosts: Vec<HostId>,
    /// The searching host is new: the others have not heard of it.
    pub(crate) searcher_is_new: bool,
}

impl UserDirectory {
    /// Notes that a host uses a volume and returns the others.
    pub(crate) fn register(&mut self, host: HostId, volume: VolumeId, now: Instant) -> OtherUsers {
        let users = self.users.entry(volume).or_default();
        let searcher_is_new = users.insert(host, now).is_none();
        let others = users.keys().filter(|user| **user != host);
        OtherUsers {
            hosts: others.copied().collect(),
            searcher_is_new,
        }
    }

    /// Forgets hosts that have not searched for so long.
    pub(crate) fn forget_old(&mut self, now: Instant, retention: Span) {
        for users in self.users.values_mut() {
            users.retain(|_, searched_at| now - *searched_at < retention);
        }
        self.users.retain(|_, users| !users.is_empty());
    }

    /// Number of hosts over all volumes.
    pub(crate) fn user_count(&self) -> usize {
        self.users.values().map(BTreeMap::len).sum()
    }
}
