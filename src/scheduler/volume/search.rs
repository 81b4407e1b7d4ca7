//! Schedule of the searches for the other hosts of a volume. A search asks a directory host, which stores the
//! hosts that use the volume.

use crate::scheduler::intervals::EPOCH;
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};

/// Number of times that the interval between searches doubles: from one epoch (0.25 s) to 16 s.
const MAX_SEARCH_DOUBLINGS: u32 = 6;

/// Number of directory hosts of a volume. There is more than one because a host may be down or may have lost
/// its directory in a restart.
const DIRECTORY_HOSTS: u32 = 2;

/// How long a directory keeps a host that does not search again: four times the longest interval between
/// searches, so that a few lost messages do not remove a host.
pub(crate) fn directory_retention() -> Span {
    EPOCH.times(f64::from(4 << MAX_SEARCH_DOUBLINGS))
}

/// The schedule of this host's searches for the other hosts of one volume.
#[derive(Default)]
pub(crate) struct PeerSearch {
    /// Number of searches since the last restart of the schedule.
    searches: u32,
    next_at: Instant,
}

impl PeerSearch {
    /// Restarts the schedule with the shortest interval, since the volume has more hosts than before.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.searches = 0;
        self.next_at = now;
    }

    /// The directory host to ask, if a search is due; schedules the next search. Directory hosts are asked in
    /// turn.
    pub(crate) fn next(&mut self, id: VolumeId, host_count: u32, now: Instant) -> Option<HostId> {
        if now < self.next_at {
            return None;
        }
        let doublings = self.searches.min(MAX_SEARCH_DOUBLINGS);
        let turn = u64::from(self.searches % DIRECTORY_HOSTS);
        let directory_host = (id.0 + turn) % u64::from(host_count.max(1));
        self.next_at = now + EPOCH.times(f64::from(1 << doublings));
        self.searches = self.searches.wrapping_add(1);
        Some(HostId(directory_host as u32))
    }
}
