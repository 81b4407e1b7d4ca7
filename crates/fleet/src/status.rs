//! The status of the fleet as one host sees it, for operators. Built by `Fleet::status`; serialized for the
//! control socket.

use crate::coordinator::MemberState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One host's view of the fleet. Hosts are numbered by their place in the configuration; the command line
/// shows their names. Fields that another version does not write are empty when read.
///
/// It has more than twelve fields because it is the control socket's JSON object, whose keys stay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The host whose view this is.
    pub me: u32,
    /// Counts the changes of membership.
    pub epoch: u64,
    /// The highest round that this host has seen of a coordinator.
    pub round: u64,
    /// The newest coordinator known.
    pub coordinator: Option<u32>,
    /// This host is the coordinator; for how long at least, unless it renews its lease.
    pub decides_for_ms: Option<f64>,
    /// Of a coordinator that takes over: the longest time until the earlier one's grants have expired. No share
    /// grows until then.
    pub takes_over_ms: Option<f64>,
    /// How long this host's member lease lasts, unless renewed; `None`: it has none and uses floor shares.
    pub lease_ms: Option<f64>,
    /// How long this host's acceptor is still recovering from a start, and answers no candidate.
    #[serde(rename = "mute_ms")]
    pub recovering_ms: Option<f64>,
    /// Another process holds a lease under this host's name.
    pub fenced: bool,
    /// All hosts that the coordinator knows.
    pub members: Vec<MemberStatus>,
    /// All budgets.
    pub budgets: Vec<BudgetStatus>,
    /// Messages that were dropped, by cause.
    pub dropped: BTreeMap<String, u64>,
    /// Events counted since the start of the process.
    pub counts: Counts,
}

/// One host, as it is shown to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its number.
    pub host: u32,
    /// The process that runs under its name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Of the coordinator's own view: how long ago its last renewal came.
    #[serde(rename = "heard_ms")]
    pub last_renewal_ms: Option<f64>,
    /// Of the coordinator's own view: the host that passes its renewals on.
    pub via: Option<u32>,
    /// Of the coordinator's own view: the time until its lease expires.
    pub over_ms: Option<f64>,
}

/// One budget, as it is shown to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Its number.
    pub budget: u64,
    /// What this host may use now, in millionths of the whole.
    pub share: u32,
    /// Of the coordinator's own view: what may be in use over all hosts.
    pub counted: Option<u64>,
    /// Of the coordinator's own view: what may be in use by each host, as pairs of host and share.
    pub parts: Vec<(u32, u32)>,
}

/// What a host counts, for its status.
#[derive(Clone, Debug, Default)]
pub(crate) struct Statistics {
    /// Messages that were dropped, by cause.
    pub(crate) dropped: BTreeMap<&'static str, u64>,
    pub(crate) counts: Counts,
}

impl Statistics {
    /// The dropped messages, as the status shows them.
    pub(crate) fn dropped_by_cause(&self) -> BTreeMap<String, u64> {
        let dropped = self.dropped.iter();
        dropped
            .map(|(cause, count)| (cause.to_string(), *count))
            .collect()
    }

    /// Counts a message that is dropped, by cause.
    pub(crate) fn count_dropped(&mut self, cause: &'static str) {
        *self.dropped.entry(cause).or_default() += 1;
    }
}

/// Events counted since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Messages sent to other hosts.
    #[serde(rename = "notes_out")]
    pub messages_out: u64,
    /// Messages that came from other hosts.
    #[serde(rename = "notes_in")]
    pub messages_in: u64,
    /// Messages relayed between two other hosts.
    pub passed_on: u64,
    /// How often this host was elected coordinator.
    pub elected: u64,
    /// How often this host's member lease expired.
    pub leases_lost: u64,
    /// Leases granted as the coordinator.
    pub granted: u64,
}
