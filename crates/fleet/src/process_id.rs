//! Identifies a process of a host. A host that restarts runs as another process.

use gullsail_scheduler_api::HostId;

/// One process of a host, distinguished from earlier and later ones by its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// The host that the process runs as.
    pub host: HostId,
    /// Drawn at random each time the host starts.
    pub incarnation: u64,
}
