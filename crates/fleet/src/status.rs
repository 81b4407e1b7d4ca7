//! The status of the fleet as one host sees it, for operators. `Fleet::status` builds it; the control socket returns
//! it as JSON.

use crate::coordinator::MemberState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One host's view of the fleet. Hosts are numbered by their position in the configuration; the command line shows
/// their names. A field that another version did not write has its default when read.
///
/// It has more than twelve fields because it is a JSON object of the control socket, whose keys are stable.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The number of the host whose view this is.
    pub me: u32,
    /// The epoch of the membership that this host knows; it grows with every change of membership.
    pub epoch: u64,
    /// The round of the newest ballot that this host has seen from a coordinator.
    pub round: u64,
    /// The coordinator's number; `None`: this host knows no coordinator.
    pub coordinator: Option<u32>,
    /// The time until this host's coordinator lease expires unless renewed, in milliseconds; `None`: this host is not
    /// the coordinator.
    pub decides_for_ms: Option<f64>,
    /// The longest time until the takeover from an earlier coordinator completes, in milliseconds. No share grows until
    /// then. `None`: this host is not the coordinator, or the takeover is complete.
    pub takes_over_ms: Option<f64>,
    /// The time until this host's member lease expires unless renewed, in milliseconds; `None`: it has no lease and
    /// uses floor shares.
    pub lease_ms: Option<f64>,
    /// The time until this host's acceptor has recovered from its start and replies to candidates, in milliseconds;
    /// `None`: it has recovered.
    #[serde(rename = "mute_ms")]
    pub recovering_ms: Option<f64>,
    /// Whether a coordinator reported that another process holds the member lease of this host. If so, this process
    /// uses no share.
    pub fenced: bool,
    /// All hosts that have renewed a lease at the coordinator.
    pub members: Vec<MemberStatus>,
    /// This host's share of each budget.
    pub budgets: Vec<BudgetStatus>,
    /// Messages that were dropped, by cause.
    pub dropped: BTreeMap<String, u64>,
    /// Events counted since the start of the process.
    pub counts: Counts,
}

/// The state of one host, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The host's number.
    pub host: u32,
    /// The incarnation of the process that runs as the host.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The host's state as the coordinator sees it.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// The time since the host's last renewal, in milliseconds; `None`: the reporting host is not the coordinator.
    #[serde(rename = "heard_ms")]
    pub last_renewal_ms: Option<f64>,
    /// The relay of the host's last renewal; `None`: it came directly, or the reporting host is not the coordinator.
    pub via: Option<u32>,
    /// The time until the host's lease expires, in milliseconds; `None`: the reporting host is not the coordinator.
    pub over_ms: Option<f64>,
}

/// The state of one budget, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The budget's number.
    pub budget: u64,
    /// The share that this host may use now, in millionths of the whole.
    pub share: u32,
    /// The largest total that all hosts together may be using, in millionths; `None`: the reporting host is not the
    /// coordinator.
    pub counted: Option<u64>,
    /// The largest share that each host may be using, as pairs of host and share in millionths; empty if the reporting
    /// host is not the coordinator.
    pub parts: Vec<(u32, u32)>,
}

/// The counters of a host, for its status.
#[derive(Clone, Debug, Default)]
pub(crate) struct Statistics {
    /// Messages that were dropped, by cause.
    pub(crate) dropped: BTreeMap<&'static str, u64>,
    pub(crate) counts: Counts,
}

impl Statistics {
    /// Returns the counts of dropped messages with owned keys, for the status.
    pub(crate) fn dropped_by_cause(&self) -> BTreeMap<String, u64> {
        let dropped = self.dropped.iter();
        dropped
            .map(|(cause, count)| (cause.to_string(), *count))
            .collect()
    }

    /// Counts a dropped message under its cause.
    pub(crate) fn count_dropped(&mut self, cause: &'static str) {
        *self.dropped.entry(cause).or_default() += 1;
    }
}

/// Events counted since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Messages sent to other hosts, without those that this host relayed.
    #[serde(rename = "notes_out")]
    pub messages_out: u64,
    /// Messages that came from other hosts, including those that were dropped or relayed.
    #[serde(rename = "notes_in")]
    pub messages_in: u64,
    /// Messages that this host relayed between two other hosts.
    pub passed_on: u64,
    /// The number of times this host was elected coordinator.
    pub elected: u64,
    /// The number of times this host's member lease expired.
    pub leases_lost: u64,
    /// Member leases that this host granted or renewed as the coordinator.
    pub granted: u64,
}
