//! The coordinator's record of one host, and the states of a host in the fleet.

use crate::allocation::Shares;
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A host's state in the fleet, as the coordinator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u32)]
pub enum MemberState {
    /// The host is a member and renews its lease.
    Member = 1,
    /// The coordinator received no renewal for half a lease, and polled the host directly and through relays. The host
    /// may still hold its lease.
    Suspected = 2,
    /// The host's lease has expired by the coordinator's clock, so also by the host's. It uses floor shares only.
    Out = 3,
    /// The host announced that it leaves the fleet.
    Left = 4,
}

impl MemberState {
    /// Returns the state with this number in a message; `None`: there is none.
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

    /// Whether a host in this state may hold a lease.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Member | MemberState::Suspected)
    }
}

/// Changes of membership that are due to elapsed time, for the log and for polls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipTransitions {
    /// Members that are suspected from now on.
    pub suspected: Vec<HostId>,
    /// Members whose lease has expired.
    pub expired: Vec<HostId>,
    /// Whether the takeover from an earlier coordinator has just completed.
    pub takeover_completed: bool,
}

/// The coordinator's record of one host.
#[derive(Clone, Debug)]
pub struct Member {
    /// The incarnation of the process that renews the host's lease.
    pub incarnation: u64,
    /// The host's state.
    pub state: MemberState,
    /// When the coordinator received the host's last renewal.
    pub last_renewal: Instant,
    /// The relay of the last renewal; `None`: it came directly.
    pub via: Option<HostId>,
    /// When the newest lease expires by the coordinator's clock. The ledger tracks the expiry of each grant.
    pub expires_at: Instant,
    /// The demand of the host's clients for each budget, in units a second.
    pub(super) demand: BTreeMap<VolumeId, f64>,
    /// The shares that the host reported to hold with the renewal by which this coordinator admitted it.
    pub(super) shares_at_first_renewal: Shares,
}

impl Member {
    /// Whether the host may hold a lease.
    pub fn is_active(&self) -> bool {
        self.state.is_active()
    }
}
