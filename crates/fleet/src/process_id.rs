//! Names one process among those that run, one after the other, under the name of the same host.

use gullsail_scheduler_api::HostId;

/// A host in one of its incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// The host whose name the process bears.
    pub host: HostId,
    /// Drawn anew each time the host starts.
    pub incarnation: u64,
}
