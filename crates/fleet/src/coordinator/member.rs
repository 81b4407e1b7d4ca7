//! What the coordinator knows of one host, and the states that a host goes through.

use crate::allocation::Shares;
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A host's state in the fleet, as the coordinator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u32)]
pub enum MemberState {
    /// It renews its lease.
    Member = 1,
    /// No renewal for half a lease; it is polled through other hosts.
    Suspected = 2,
    /// Its lease has expired by the coordinator's clock, so also by its own: it uses floor shares only.
    Out = 3,
    /// It announced that it leaves.
    Left = 4,
}

impl MemberState {
    /// The state with this number in a message.
    pub fn from_number(number: u32) -> Option<MemberState> {
        [
            MemberState::Member,
            MemberState::Suspected,
            MemberState::Out,
            MemberState::Left,
        ]
        .into_iter()
        .find(|state| *state as u32 == number)
    }

    /// It may hold a lease.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Member | MemberState::Suspected)
    }
}

/// What changed as time passed, for the log and for polls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipTransitions {
    /// Members that are suspected from now on.
    pub suspected: Vec<HostId>,
    /// Members whose lease has expired.
    pub expired: Vec<HostId>,
    /// Whether the takeover from an earlier coordinator has just completed.
    pub takeover_completed: bool,
}

/// What the coordinator knows of one host.
#[derive(Clone, Debug)]
pub struct Member {
    /// The process that renews under the host's name.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// When its last renewal came.
    pub last_renewal: Instant,
    /// The relay of its last renewal, if that did not come directly.
    pub via: Option<HostId>,
    /// When its newest lease expires by the coordinator's clock. The ledger's grants expire one by one.
    pub expires_at: Instant,
    /// What its clients ask for, by budget.
    pub(super) demand: BTreeMap<VolumeId, f64>,
    /// What it held with its first renewal here.
    pub(super) shares_at_first_renewal: Shares,
}

impl Member {
    /// It may hold a lease.
    pub fn is_active(&self) -> bool {
        self.state.is_active()
    }
}
