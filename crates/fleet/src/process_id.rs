//! Identifies one process among those that run, one after the other, as the same host.

use gullsail_scheduler_api::HostId;

/// A host in one of its incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// The host that the process runs as.
    pub host: HostId,
    /// Drawn at random each time the host starts.
    pub incarnation: u64,
}
