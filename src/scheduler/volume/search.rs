//! Searches for the other hosts of a volume, which ask the hosts that keep its directory.

use crate::scheduler::intervals::EPOCH;
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};

/// How often the interval between searches doubles: from one epoch (0.25 s) to 16 s.
const MAX_SEARCH_DOUBLINGS: u32 = 6;

/// How many hosts keep the directory of a volume's hosts. One of them may be down, or have lost it.
const DIRECTORY_HOSTS: u32 = 2;

/// How long a directory remembers a host that does not search again: four times the longest interval between
/// its searches, so that lost messages do not remove it.
pub(crate) fn directory_retention() -> Span {
    EPOCH.times(f64::from(4 << MAX_SEARCH_DOUBLINGS))
}

/// When this host searches for the other hosts of one volume.
#[derive(Default)]
pub(crate) struct PeerSearch {
    /// Searches so far.
    searches: u32,
    next_at: Instant,
}

impl PeerSearch {
    /// More hosts use the volume than were known: the search begins anew.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.searches = 0;
        self.next_at = now;
    }

    /// The host to ask, when a search is due. The hosts of the directory are asked in turn.
    pub(crate) fn next(&mut self, id: VolumeId, hosts: u32, now: Instant) -> Option<HostId> {
        if now < self.next_at {
            return None;
        }
        let doublings = self.searches.min(MAX_SEARCH_DOUBLINGS);
        let turn = u64::from(self.searches % DIRECTORY_HOSTS);
        let directory_host = (id.0 + turn) % u64::from(hosts.max(1));
        self.next_at = now + EPOCH.times(f64::from(1 << doublings));
        self.searches = self.searches.wrapping_add(1);
        Some(HostId(directory_host as u32))
    }
}
