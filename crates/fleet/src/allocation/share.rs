//! The unit in which budgets are divided. Every other module counts in it; this file depends on none of them.

use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::BTreeMap;

/// What a host may use of each budget, in millionths of the whole.
pub type Shares = BTreeMap<VolumeId, u32>;

/// What one host may use of some budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostShare {
    /// The host.
    pub host: HostId,
    /// In millionths of the whole.
    pub share: u32,
}
