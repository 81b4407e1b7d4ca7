//! Counters of events since the start of the host. They are logged as one JSON object in which a field's name is its
//! key. docs/operate-platform.md lists them.

use super::request_error::RequestError;
use gullsail_scheduler_api::AttemptOutcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// All counters of a host. They are independent of each other and are logged as one flat object, hence the large number
/// of fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Metrics {
    /// Client connections accepted.
    pub connections_accepted: u64,
    /// New client connections above the soft limit for which no other connection could be closed.
    pub connection_limit_reached: u64,
    /// Client connections closed to free slots for new ones.
    pub clients_evicted: u64,
    /// How often a client sent more while its request was open than the host buffers.
    pub input_overflows: u64,
    /// Requests passed to the scheduler.
    pub requests_accepted: u64,
    /// Requests answered with 200.
    pub requests_succeeded: u64,
    /// Requests that the scheduler rejected: answered with 503, mostly with `Retry-After`.
    pub requests_rejected: u64,
    /// Requests answered with 500 because they failed or the host shut down.
    pub requests_failed: u64,
    /// Requests whose client disconnected before the response.
    pub clients_disconnected: u64,
    /// Messages that were not accepted as requests, by cause. They include messages received in the last stage of the
    /// shutdown, which are answered with 503.
    pub invalid_requests: BTreeMap<RequestError, u64>,
    /// Attempts whose complete message was written to a node.
    pub attempts_sent: u64,
    /// Attempts that ended, by outcome.
    pub attempt_outcomes: BTreeMap<&'static str, u64>,
    /// Responses of nodes that could not be decoded, by cause.
    pub malformed_responses: BTreeMap<String, u64>,
    /// How often a node sent bytes that belong to no request.
    pub unsolicited_input: u64,
    /// Connections to nodes that the host started to open.
    pub node_connections_opened: u64,
    /// How often an attempt took an idle connection to a node.
    pub node_connections_reused: u64,
    /// Connections to nodes that turned out to be closed or to have unread input when an attempt was to be written.
    pub idle_connections_found_closed: u64,
    /// Connections to nodes that could not be established.
    pub connect_failures: u64,
    /// Connections to nodes that ended after the message of an attempt was written and before its response.
    pub connections_lost: u64,
    /// How often a lost connection turned out not to be a restart of the node's process.
    pub same_process_after_break: u64,
    /// Complete endpoint lists received.
    pub discovery_snapshots: u64,
    /// Entries of endpoint lists received from discovery and applied.
    pub discovery_entries: u64,
    /// How often a poll of discovery failed, timed out, or returned a list that was not applied.
    pub discovery_lost: u64,
    /// Entries from discovery that could not be parsed.
    pub discovery_entries_skipped: u64,
    /// Demand reports sent to other hosts.
    pub reports_sent: u64,
    /// Demand reports received from other hosts.
    pub reports_received: u64,
    /// Datagrams that were too long, or whose sender is not a host of the fleet.
    pub foreign_datagrams: u64,
    /// Valid settings documents applied by a reload.
    pub reloads: u64,
}

impl Metrics {
    /// Counts an attempt that ended with this outcome.
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
