//! A member's renewal of its lease, and the coordinator's decision on it.

use crate::allocation::Shares;
use crate::ballot::Ballot;
use crate::process_id::ProcessId;
use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::BTreeMap;

/// A member's request to renew its lease.
pub struct Renewal {
    /// The process that sent the renewal.
    pub process: ProcessId,
    /// The newest ballot that the process had seen from a coordinator when it sent the renewal.
    pub ballot: Ballot,
    /// The host that relayed the renewal; `None`: it came directly.
    pub via: Option<HostId>,
    /// The serial of the grant that the process holds; 0: it holds none.
    pub serial: u64,
    /// The demand of the host's clients for each budget, in units a second.
    pub demand: BTreeMap<VolumeId, f64>,
    /// The shares that the process holds under its lease.
    pub held: Shares,
}

/// The coordinator's decision on a renewal.
pub enum RenewalOutcome {
    /// The member sent the renewal before it learned of this coordinator, so it has to be polled again.
    StaleBallot,
    /// The lease is renewed.
    Granted {
        /// The serial of the new grant.
        serial: u64,
        /// The shares that the member may use under the lease.
        shares: Shares,
    },
    /// Another process of the host holds a lease, so this one gets none.
    Fenced,
}
