//! What a host counts since its start, for its operators: nothing is decided by these figures.

use super::Core;
use gullsail_scheduler_api::Span;
use tracing::warn;

/// What was counted since the start.
///
/// Read from another version, what that version does not count is 0.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests that were accepted from clients.
    pub taken: u64,
    /// Requests that were refused before anything was decided.
    pub not_taken: u64,
    /// Requests that succeeded.
    pub done: u64,
    /// Requests that ended as rejected.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Requests that ended as failed.
    #[serde(rename = "abandoned")]
    pub failed: u64,
    /// Requests whose client withdrew them or disconnected.
    pub clients_left: u64,
    /// Attempts, sent or not.
    #[serde(rename = "legs")]
    pub attempts: u64,
    /// Answers of nodes to attempts that had ended already.
    pub late_node_answers: u64,
    /// Connections that ended.
    pub links_broken: u64,
    /// Demand reports sent to peers.
    #[serde(rename = "labels_sent")]
    pub demand_reports_sent: u64,
    /// Demand reports handed to the scheduler.
    #[serde(rename = "labels_heard")]
    pub demand_reports_received: u64,
    /// Demand reports that were not handed on: the sender's clock is not known yet, or too far off.
    #[serde(rename = "labels_dropped")]
    pub demand_reports_dropped: u64,
    /// Nodes that reconnected as another process.
    pub nodes_restarted: u64,
    /// Nodes that connected first, or reconnected as the same process.
    pub nodes_met_again: u64,
    /// Times that the endpoint list could not be reached.
    pub list_lost: u64,
    /// Connections that were refused, since there were as many as there may be.
    pub links_refused: u64,
    /// Times that clients had to wait, since the host held all it may.
    pub held_back: u64,
    /// The longest time that the loop worked between two waits.
    pub longest_step_us: u64,
    /// Steps of the loop that took more than ten milliseconds.
    pub long_steps: u64,
    /// Times that the process stood still.
    pub stood_still: u64,
    /// The longest time that the process stood still.
    pub longest_still_us: u64,
    /// Requests whose timeout was shortened by the time they may have waited while the process stood still.
    pub aged: u64,
    /// Answers that were not sent, since their client no longer waited.
    pub answers_withheld: u64,
    /// Configurations that were applied.
    pub documents_taken: u64,
    /// Configurations that were refused.
    pub documents_turned_down: u64,
    /// The most requests that were open at once.
    pub most_open: u64,
    /// The most bytes that were held at once.
    pub most_held: u64,
}

/// What a host holds at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldLoad {
    /// Open requests.
    pub open_requests: usize,
    /// Attempts that have not ended.
    pub attempts_out: usize,
    /// Bytes held for requests, and for the other sides of connections.
    pub bytes: usize,
}

impl Core {
    /// Records how long the loop around this worked between two waits.
    pub fn worked(&mut self, span: Span) {
        let us = span.micros().max(0) as u64;
        self.counts.longest_step_us = self.counts.longest_step_us.max(us);
        self.counts.long_steps += u64::from(us > 10_000);
    }

    /// Records that the process stood still for so long.
    pub fn stood_still(&mut self, span: Span) {
        warn!(ms = span.millis(), "this process stood still");
        self.counts.stood_still += 1;
        self.counts.longest_still_us = self
            .counts
            .longest_still_us
            .max(span.micros().max(0) as u64);
    }

    /// What was counted since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// What this host holds now.
    pub fn load(&self) -> HeldLoad {
        HeldLoad {
            open_requests: self.requests.open(),
            attempts_out: self.requests.attempts_out(),
            bytes: self.requests.held() + self.unsent,
        }
    }
}
