//! The load of simulated clients, temporary changes of it, and the counts of the requests' outcomes.

use gullsail_configuration::Deployment;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::Instant;

/// The load that clients generate while no [`Change`] is in force.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second over all hosts, by request class in the document's order.
    pub rates: Vec<f64>,
    /// The length of a written object in bytes.
    pub object_bytes: usize,
    /// The fraction of reads, 0 to 1, that go to recently written objects.
    pub recent_read_share: f64,
    /// The most attempts that a client makes for one request, the first one included.
    pub max_attempts: u32,
    /// Seed of the clients' random choices and of their idempotency keys.
    pub seed: u64,
}

/// A change of the clients' load.
#[derive(Clone, Debug)]
pub enum Change {
    /// The demand of a volume, a plan or all (`*`) is multiplied.
    Surge {
        /// The name of the volume or plan, or `*` for all volumes.
        who: String,
        /// The factor by which the demand is multiplied.
        times: f64,
        /// When the demand returns to its usual rate.
        until: Instant,
    },
    /// Some clients wait only a fraction of the latency objective.
    Impatient {
        /// The fraction of the requests, 0 to 1, that have the shorter timeout.
        share: f64,
        /// The timeout of these requests, as a fraction of the latency objective.
        part: f64,
        /// When all clients wait until the deadline again.
        until: Instant,
    },
    /// The busiest host of each volume changes to the next one in the volume's list of hosts.
    ShiftBusiestHost,
    /// The clients switch to another document and send to the hosts that it names, including new ones.
    Document(Arc<Deployment>),
}

/// Counts the outcomes of the clients' requests of one request class and plan.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Requests, counted once each, at their first attempt.
    pub first_tries: u64,
    /// Attempts after the first one.
    pub repeats: u64,
    /// Requests that succeeded within the latency objective.
    #[serde(rename = "in_slo_time")]
    pub in_latency_objective: u64,
    /// Requests that succeeded after the latency objective.
    pub late: u64,
    /// Attempts that a host rejected; repeating a rejected request is safe.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Attempts that failed; the request may have run.
    #[serde(rename = "abandoned")]
    pub failed: u64,
    /// Attempts that a host refused, because the request was invalid or the host was shutting down.
    pub not_taken: u64,
    /// Requests without an answer: the client's timeout passed, or the connection closed and no retry was allowed.
    pub unanswered: u64,
    /// Reads that returned bytes other than those written.
    pub wrong_bytes: u64,
    /// Answers to requests that already had one.
    pub second_answers: u64,
    /// The units of all requests, counted at their first attempt.
    pub units: f64,
    /// The units of the requests that succeeded within the latency objective.
    #[serde(rename = "units_in_slo_time")]
    pub units_in_latency_objective: f64,
}

/// The tallies by the names of the request class and the plan.
pub type Tallies = BTreeMap<(String, String), Tally>;
