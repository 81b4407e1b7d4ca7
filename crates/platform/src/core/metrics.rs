//! Counters since the start of the host, by cause. They are logged as JSON, so that they can be compared with
//! what went over the sockets. The serialized keys are read by others and do not change.

use super::request_error::RequestError;
use gullsail_scheduler_api::AttemptOutcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// All counters of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Metrics {
    /// Client connections accepted.
    #[serde(rename = "accepted")]
    pub connections_accepted: u64,
    /// Client connections for which no other one could be closed.
    #[serde(rename = "no_place")]
    pub eviction_failures: u64,
    /// Client connections closed in favour of new ones.
    #[serde(rename = "made_room")]
    pub clients_evicted: u64,
    /// Client connections on which more was received behind an open request than is buffered.
    #[serde(rename = "crowded")]
    pub input_overflows: u64,
    /// Requests handed to the scheduler.
    #[serde(rename = "taken")]
    pub requests: u64,
    /// Requests answered with success.
    #[serde(rename = "done")]
    pub succeeded: u64,
    /// Requests rejected by the scheduler.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Requests that failed.
    #[serde(rename = "abandoned")]
    pub failed: u64,
    /// Requests whose client disconnected first.
    #[serde(rename = "client_left")]
    pub clients_disconnected: u64,
    /// Messages that were not accepted as requests.
    #[serde(rename = "refused")]
    pub invalid_requests: BTreeMap<RequestError, u64>,
    /// Attempts that were written to a node.
    #[serde(rename = "sent")]
    pub attempts_sent: u64,
    /// How attempts ended.
    #[serde(rename = "endings")]
    pub attempt_outcomes: BTreeMap<&'static str, u64>,
    /// Responses of nodes that could not be parsed, by cause.
    #[serde(rename = "spoilt")]
    pub malformed_responses: BTreeMap<String, u64>,
    /// Input from nodes that belongs to no request.
    #[serde(rename = "surplus")]
    pub unsolicited_input: u64,
    /// Connections to nodes that were opened.
    #[serde(rename = "opened")]
    pub node_connections_opened: u64,
    /// Attempts that took an idle connection.
    #[serde(rename = "used_again")]
    pub node_connections_reused: u64,
    /// Idle connections that were found closed when an attempt took them.
    #[serde(rename = "found_dead")]
    pub idle_connections_closed: u64,
    /// Connections that could not be established.
    #[serde(rename = "not_reached")]
    pub connect_failures: u64,
    /// Connections lost with an attempt in flight.
    #[serde(rename = "breaks")]
    pub connections_lost: u64,
    /// Losses after which the node's process was shown to run on.
    #[serde(rename = "lives_on")]
    pub restarts_ruled_out: u64,
    /// Endpoint lists received whole.
    #[serde(rename = "lists")]
    pub discovery_snapshots: u64,
    /// Entries received from discovery.
    #[serde(rename = "changes")]
    pub discovery_entries: u64,
    /// Losses of discovery.
    #[serde(rename = "list_lost")]
    pub discovery_lost: u64,
    /// Entries from discovery that could not be parsed.
    #[serde(rename = "entries_skipped")]
    pub discovery_entries_skipped: u64,
    /// Datagrams sent to peers.
    #[serde(rename = "told")]
    pub peer_messages_sent: u64,
    /// Datagrams received from peers.
    #[serde(rename = "heard")]
    pub peer_messages_received: u64,
    /// Datagrams from unknown senders, or too long.
    pub foreign_datagrams: u64,
    /// Settings documents read anew.
    pub reloads: u64,
}

impl Metrics {
    /// Counts the end of an attempt.
    pub fn count_outcome(&mut self, outcome: AttemptOutcome) {
        let name = match outcome {
            AttemptOutcome::Succeeded => "done",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Rejected => "turned_away",
            AttemptOutcome::Unreachable => "unreached",
            AttemptOutcome::NotSent => "unsent",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::ConnectionLost => "broken",
            AttemptOutcome::Cancelled => "cancelled",
        };
        *self.attempt_outcomes.entry(name).or_default() += 1;
    }
}
