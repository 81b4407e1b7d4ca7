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
    /// Part of the reads that go to what was just written.
    pub fresh: f64,
    /// Clients try so often in all.
    pub tries: u32,
    pub seed: u64,
}

/// What goes on for a time.
#[derive(Clone, Debug)]
pub enum Change {
    /// These volumes (a volume, a plan, or `*`) ask for so many times as much.
    Surge {
        who: String,
        times: f64,
        until: Instant,
    },
    /// This part of the clients waits only a part of the latency objective.
    Impatient {
        share: f64,
        part: f64,
        until: Instant,
    },
    /// The volumes' busiest host is another one from now on.
    LeadMoves,
    /// Another document: volumes go through the hosts that it names, new ones too.
    Document(Arc<Deployment>),
}

/// What came of the clients' requests of one request class and plan.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    pub first_tries: u64,
    pub repeats: u64,
    #[serde(rename = "in_slo_time")]
    pub in_latency_objective: u64,
    pub late: u64,
    #[serde(rename = "deferred")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    pub not_taken: u64,
    /// No answer before the client gave up, or its host was gone.
    pub unanswered: u64,
    pub wrong_bytes: u64,
    /// Answers to what was answered before.
    pub second_answers: u64,
    pub units: f64,
    #[serde(rename = "units_in_slo_time")]
    pub units_in_latency_objective: f64,
}

/// By request class and plan.
pub type Tallies = BTreeMap<(String, String), Tally>;
