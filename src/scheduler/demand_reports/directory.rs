//! Directory of the hosts that use a volume, for the volumes of which this host is a directory host.

use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use std::collections::BTreeMap;

/// Most volumes in a directory. It bounds the memory that searches for ever new volumes can occupy; the hosts of further
/// volumes do not find each other and keep their shares.
const MAX_VOLUMES: usize = 16_384;

/// The hosts that use each volume.
#[derive(Default)]
pub(crate) struct UserDirectory {
    /// For each volume, its hosts with the time of their last search.
    users: BTreeMap<VolumeId, BTreeMap<HostId, Instant>>,
}

/// The directory's reply to the search of a host.
pub(crate) struct OtherUsers {
    /// The other hosts that use the volume.
    pub(crate) hosts: Vec<HostId>,
    /// The searching host was not in the directory, so the other hosts must be notified of it.
    pub(crate) searcher_is_new: bool,
}

impl UserDirectory {
    /// Records that a host uses a volume, and returns the other hosts of the volume.
    pub(crate) fn register(&mut self, host: HostId, volume: VolumeId, now: Instant) -> OtherUsers {
        if self.users.len() >= MAX_VOLUMES && !self.users.contains_key(&volume) {
            return OtherUsers {
                hosts: Vec::new(),
                searcher_is_new: false,
            };
        }
        let users = self.users.entry(volume).or_default();
        let searcher_is_new = users.insert(host, now).is_none();
        let others = users.keys().filter(|user| **user != host);
        OtherUsers {
            hosts: others.copied().collect(),
            searcher_is_new,
        }
    }

    /// Removes hosts that have not searched within `retention`.
    pub(crate) fn remove_expired(&mut self, now: Instant, retention: Span) {
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
