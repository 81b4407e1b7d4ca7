//! What a member asks of the coordinator, and what it is answered.

use crate::allocation::Shares;
use crate::ballot::Ballot;
use crate::process_id::ProcessId;
use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::BTreeMap;

/// A member's request to renew its lease.
pub struct Renewal {
    /// Who renews.
    pub process: ProcessId,
    /// The ballot of the coordinator that it followed when it wrote this.
    pub ballot: Ballot,
    /// The host that passed it on, if any.
    pub via: Option<HostId>,
    /// The serial of the grant that it holds; 0: none.
    pub serial: u64,
    /// What its clients ask for, by budget.
    pub demand: BTreeMap<VolumeId, f64>,
    /// What it holds.
    pub held: Shares,
}

/// What a renewal leads to.
pub enum RenewalOutcome {
    /// It was written before the member knew of this coordinator: it is to be asked again.
    StaleBallot,
    /// The lease is renewed.
    Granted {
        /// Counts the grants of this coordinator.
        serial: u64,
        /// What may be used under it.
        shares: Shares,
    },
    /// Another process holds a lease under that host's name.
    Fenced,
}
