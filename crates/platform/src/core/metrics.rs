//! Counters since the start of the host, by cause. They are logged as one JSON object; the name of a field is its
//! key there. docs/operate-platform.md lists them all.

use super::request_error::RequestError;
use gullsail_scheduler_api::AttemptOutcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// All counters of a host. It has a field for each counter, and so more than twelve: they are logged together as one
/// flat object, and none depends on another.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Metrics {
    /// Client connections accepted.
    pub connections_accepted: u64,
    /// New client connections above the soft limit for which no other one could be closed.
    pub connection_limit_reached: u64,
    /// Client connections closed in favour of new ones.
    pub clients_evicted: u64,
    /// Client connections on which more was received behind an open request than is buffered.
    pub input_overflows: u64,
    /// Requests handed to the scheduler.
    pub requests_accepted: u64,
    /// Requests answered with 200.
    pub requests_succeeded: u64,
    /// Requests that the scheduler rejected: answered with 503, mostly with `Retry-After`.
    pub requests_rejected: u64,
    /// Requests that failed: answered with 500.
    pub requests_failed: u64,
    /// Requests whose client disconnected before the response.
    pub clients_disconnected: u64,
    /// Messages that were not accepted as requests, by cause. Those that arrive after the last stage of the
    /// shutdown has begun are among them, answered with 503.
    pub invalid_requests: BTreeMap<RequestError, u64>,
    /// Attempts that were written to a node.
    pub attempts_sent: u64,
    /// Attempts that ended, by outcome.
    pub attempt_outcomes: BTreeMap<&'static str, u64>,
    /// Responses of nodes that could not be decoded, by cause.
    pub malformed_responses: BTreeMap<String, u64>,
    /// How often a node sent something that belongs to no request.
    pub unsolicited_input: u64,
    /// Connections to nodes that were opened.
    pub node_connections_opened: u64,
    /// Attempts that took an idle connection.
    pub node_connections_reused: u64,
    /// Idle connections that were found closed when an attempt took them.
    pub idle_connections_found_closed: u64,
    /// Connections that could not be established.
    pub connect_failures: u64,
    /// Connections lost with an attempt in flight.
    pub connections_lost: u64,
    /// Lost connections after which the node's process was shown to be the same.
    pub same_process_after_break: u64,
    /// Complete endpoint lists received.
    pub discovery_snapshots: u64,
    /// Entries received from discovery.
    pub discovery_entries: u64,
    /// How often discovery was lost, or its response was not applied.
    pub discovery_lost: u64,
    /// Entries from discovery that could not be parsed.
    pub discovery_entries_skipped: u64,
    /// Demand reports sent to other hosts.
    pub reports_sent: u64,
    /// Demand reports received from other hosts.
    pub reports_received: u64,
    /// Datagrams that were too long, or whose sender is none of the hosts.
    pub foreign_datagrams: u64,
    /// Settings documents read anew.
    pub reloads: u64,
}

impl Metrics {
    /// Counts the end of an attempt.
    pub fn count_outcome(&mut self, outcome: AttemptOutcome) {
        let name = match outcome {
            AttemptOutcome::Succeeded => "succeeded",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::ConnectionLost => "connection_lost",
            AttemptOutcome::Cancelled => "cancelled",
        };
        *self.attempt_outcomes.entry(name).or_default() += 1;
    }
}
