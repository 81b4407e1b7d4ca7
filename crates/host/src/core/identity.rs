//! Which process this is.

use gullsail_scheduler_api::{HostId, Instant};

/// The host's number in the configuration, and the process that serves as this host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Identity {
    /// The host's number in the configuration.
    pub(super) host: HostId,
    /// Differs for each process of this host, so that others notice a restart.
    pub(super) incarnation: u64,
    /// When this process started, by its own clock.
    pub(super) started_at: Instant,
}
