//! What an operator is shown of the fleet, as one host sees it.

use crate::coordinator::MemberState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Numbers are hosts' places in the document; whoever shows them puts names in. What one version does not tell is empty
/// where another reads it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    pub me: u32,
    pub epoch: u64,
    /// The round of the ballot by which is decided.
    pub round: u64,
    pub coordinator: Option<u32>,
    /// It is this host; for how long at least, unless it renews that.
    pub decides_for_ms: Option<f64>,
    /// Of a coordinator: until what an earlier one granted is over, nothing grows; so long at most.
    pub takes_over_ms: Option<f64>,
    /// This host's own lease lasts so long, unless renewed; `None`: it has none, and its floors count.
    pub lease_ms: Option<f64>,
    /// A process newly born says nothing as a voter for so long.
    pub mute_ms: Option<f64>,
    /// Another process holds this host's name.
    pub fenced: bool,
    pub members: Vec<MemberStatus>,
    pub budgets: Vec<BudgetStatus>,
    /// Messages that were dropped, by cause.
    pub dropped: BTreeMap<String, u64>,
    pub counts: Counts,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub host: u32,
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Of a coordinator's own view: heard so long ago, through whom, and its lease is over then.
    pub heard_ms: Option<f64>,
    pub via: Option<u32>,
    pub over_ms: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    pub budget: u64,
    /// What this host may use now, in millionths of the whole.
    pub share: u32,
    /// Of a coordinator: what may be in use over all hosts, and by each.
    pub counted: Option<u64>,
    pub parts: Vec<(u32, u32)>,
}

/// Since the start of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    #[serde(rename = "notes_out")]
    pub messages_out: u64,
    #[serde(rename = "notes_in")]
    pub messages_in: u64,
    pub passed_on: u64,
    pub elected: u64,
    pub leases_lost: u64,
    pub granted: u64,
}
