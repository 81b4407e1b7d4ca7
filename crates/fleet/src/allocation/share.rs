//! Shares of budgets, counted in millionths of the whole budget throughout this crate.

use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::BTreeMap;

/// A host's share of each budget, in millionths of the whole budget.
pub type Shares = BTreeMap<VolumeId, u32>;

/// One host's share of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostShare {
    /// The host that may use the share.
    pub host: HostId,
    /// The share, in millionths of the whole budget.
    pub share: u32,
}
