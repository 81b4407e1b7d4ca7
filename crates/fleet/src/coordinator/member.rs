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
    /// Silent for half of its lease; other hosts are asked to reach it.
    Suspected = 2,
    /// Its lease is over, as it knows by itself: it uses nothing but its floors.
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

/// What the coordinator knows of one host.
#[derive(Clone, Debug)]
pub struct Member {
    /// The process that renews under the host's name.
    pub incarnation: u64,
    /// Where it stands.
    pub state: MemberState,
    /// When its last renewal came.
    pub last_renewal: Instant,
    /// The host that passed its last renewal on, where it does not reach this one by itself.
    pub via: Option<HostId>,
    /// When its lease is over.
    pub until: Instant,
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
