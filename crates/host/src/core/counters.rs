//! Counters of a host since its start, for its operators. No decision depends on them.

use super::Core;
use gullsail_scheduler_api::Span;
use tracing::warn;

/// A step of the event loop that takes longer than this counts as long: 10 ms, in microseconds.
const LONG_STEP_US: u64 = 10_000;

/// The counters of a host since its start.
///
/// A counter that another version does not report is read as 0. The struct has more than twelve fields because it is
/// one flat JSON object of the control socket.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests that were accepted from clients.
    pub taken: u64,
    /// Requests that were refused without any attempt: invalid, received during the shutdown, or ended only after
    /// their shortened deadline because of a stall of the process. The last kind was accepted before and is counted in
    /// `taken` too; the scheduler never saw the others.
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
    /// Attempts that were started, whether or not they were sent to their node. An attempt that the scheduler decided
    /// on is not started if its node is unknown or its request has ended.
    #[serde(rename = "legs")]
    pub attempts: u64,
    /// Node answers that were discarded because their attempt had ended.
    pub late_node_answers: u64,
    /// Connections that ended.
    #[serde(rename = "links_broken")]
    pub connections_closed: u64,
    /// Demand reports sent to peers.
    #[serde(rename = "labels_sent")]
    pub demand_reports_sent: u64,
    /// Demand reports handed to the scheduler.
    #[serde(rename = "labels_heard")]
    pub demand_reports_received: u64,
    /// Demand reports that were dropped: the offset of the sender's clock is too large, its reply took too long, or
    /// too many reports waited for it.
    #[serde(rename = "labels_dropped")]
    pub demand_reports_dropped: u64,
    /// How often a node reconnected as another process.
    pub nodes_restarted: u64,
    /// How often a node connected for the first time, or reconnected as the same process.
    pub nodes_met_again: u64,
    /// How often the endpoint list became unavailable.
    #[serde(rename = "list_lost")]
    pub endpoint_list_losses: u64,
    /// Incoming connections that were refused: the limit was reached, or the host was shutting down.
    #[serde(rename = "links_refused")]
    pub connections_refused: u64,
    /// How often the host stopped reading from all clients because it had reached a bound.
    #[serde(rename = "held_back")]
    pub back_pressure_events: u64,
    /// The longest time that the event loop worked between two waits, in microseconds.
    pub longest_step_us: u64,
    /// Steps of the event loop that took more than ten milliseconds.
    pub long_steps: u64,
    /// How often the process was stalled, as detected by [`crate::stall_detector`].
    #[serde(rename = "stood_still")]
    pub stalls: u64,
    /// The longest stall of the process, in microseconds.
    #[serde(rename = "longest_still_us")]
    pub longest_stall_us: u64,
    /// Requests whose timeout was shortened by the time that they may have waited during a stall.
    #[serde(rename = "aged")]
    pub timeouts_shortened: u64,
    /// Final answers that were not sent because the request's deadline had passed.
    #[serde(rename = "answers_withheld")]
    pub late_answers_dropped: u64,
    /// Configurations that were applied.
    pub documents_taken: u64,
    /// Configurations that were rejected.
    pub documents_turned_down: u64,
    /// The largest number of requests that were open at the same time.
    pub most_open: u64,
    /// The largest number of bytes that were held at the same time, for requests and in write queues.
    pub most_held: u64,
}

/// The current load of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldLoad {
    /// Number of open requests.
    pub open_requests: usize,
    /// Number of attempts that have not ended.
    pub attempts_in_flight: usize,
    /// Bytes of the bodies of open requests, and unsent bytes of all connections.
    pub bytes: usize,
}

impl Core {
    /// Records how long the caller's event loop worked between two waits.
    pub fn record_step_time(&mut self, span: Span) {
        let us = span.micros().max(0) as u64;
        self.counts.longest_step_us = self.counts.longest_step_us.max(us);
        self.counts.long_steps += u64::from(us > LONG_STEP_US);
    }

    /// Records a stall of the process that lasted for `span`.
    pub fn record_stall(&mut self, span: Span) {
        warn!(
            stalled_ms = span.millis(),
            "process stalled: request timeouts are shortened, leases may have expired"
        );
        self.counts.stalls += 1;
        self.counts.longest_stall_us = self
            .counts
            .longest_stall_us
            .max(span.micros().max(0) as u64);
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the current load.
    pub fn load(&self) -> HeldLoad {
        HeldLoad {
            open_requests: self.requests.open(),
            attempts_in_flight: self.requests.attempts_in_flight(),
            bytes: self.requests.body_bytes() + self.connections.unsent_bytes,
        }
    }
}
