//! The identity of a host's process.

use gullsail_scheduler_api::{HostId, Instant};

/// The host's id in the configuration, and the process that runs as this host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Identity {
    /// Index of the host in the configuration.
    pub(super) host: HostId,
    /// Differs between processes of the same host, so that others notice a restart.
    pub(super) incarnation: u64,
    /// When this process started, by the host's clock.
    pub(super) started_at: Instant,
}
