//! What simulated clients ask for, what changes it for a time, and the counts of what came of it.

use gullsail_configuration::Deployment;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::Instant;

/// What clients ask for, for as long as nothing changes it.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests a second by request class, in the document's order, over all hosts.
    pub rates: Vec<f64>,
    /// Bytes of a written object.
    pub bytes: usize,
    /// The fraction of reads that go to recently written objects.
    pub fresh: f64,
    /// How often a client tries in all.
    pub tries: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What goes on for a time.
#[derive(Clone, Debug)]
pub enum Change {
    /// The demand of a volume, a plan or all (`*`) is multiplied.
    Surge {
        /// The volume, plan or `*`.
        who: String,
        /// The factor.
        times: f64,
        /// When it ends.
        until: Instant,
    },
    /// Some clients wait only a fraction of the latency objective.
    Impatient {
        /// The fraction of the clients.
        share: f64,
        /// The fraction of the latency objective.
        part: f64,
        /// When it ends.
        until: Instant,
    },
    /// Each volume's busiest host changes.
    LeadMoves,
    /// Another document: volumes go through the hosts that it names, new ones too.
    Document(Arc<Deployment>),
}

/// What came of the clients' requests of one request class and plan.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Requests, counted at their first try.
    pub first_tries: u64,
    /// Further tries.
    pub repeats: u64,
    /// Succeeded within the latency objective.
    #[serde(rename = "in_slo_time")]
    pub in_latency_objective: u64,
    /// Succeeded after it.
    pub late: u64,
    /// Rejected: a repeat does no harm.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Failed: the request may have run.
    #[serde(rename = "abandoned")]
    pub failed: u64,
    /// Refused by the host as invalid, or while it shuts down.
    pub not_taken: u64,
    /// No answer before the client gave up, or its host was gone.
    pub unanswered: u64,
    /// Reads that returned other bytes than were written.
    pub wrong_bytes: u64,
    /// Answers to what was answered before.
    pub second_answers: u64,
    /// Units of all requests.
    pub units: f64,
    /// Units of those that succeeded within the latency objective.
    #[serde(rename = "units_in_slo_time")]
    pub units_in_latency_objective: f64,
}

/// By request class and plan.
pub type Tallies = BTreeMap<(String, String), Tally>;
