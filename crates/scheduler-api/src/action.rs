//! The scheduler's output, which its host carries out: attempts, final answers, timers, messages to other hosts.

use crate::{HostId, Instant, NodeId, RequestId, Span, TimerId, VolumeId};

/// Why a cross-zone budget was overrun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverrunCause {
    /// The request's data is in the other zone.
    DataPlacement,
    /// No node in the host's zone takes the request: all of them drain or are gone.
    NoLocalNode,
    /// The nodes in the host's zone do not answer.
    LocalNodesSilent,
    /// The attempt is a retry.
    Retry,
}

/// What a host must do. Actions are carried out in the order in which the scheduler returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the node.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The node.
        node: NodeId,
        /// The attempt ends as timed out after this time; `None`: it runs until the request's deadline.
        time_out: Option<Span>,
    },
    /// Final answer: the request is rejected. A repeat by the client does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// After what time the client may try again; `None`: the answer gives none.
        retry_after: Option<Span>,
    },
    /// Final answer: the request failed. It may have run, so a repeat may do harm.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Fetch the endpoint list and watch it for changes from now on.
    WatchEndpoints,
    /// Set a timer; [`Event::Timer`](crate::Event::Timer) reports it.
    SetTimer {
        /// The timer, as in the event.
        id: TimerId,
        /// When it is due.
        at: Instant,
    },
    /// A request overran a cross-zone budget. For accounting: there is nothing to do.
    BudgetOverrun {
        /// The request.
        id: RequestId,
        /// The budget, as in [`CrossZoneBudget`](crate::CrossZoneBudget).
        cross_zone_budget: VolumeId,
        /// How many of the request's bytes were over the budget.
        bytes: f64,
        /// Why the request left its zone.
        cause: OverrunCause,
    },
    /// Send a message of at most 256 bytes to another host.
    SendToPeer {
        /// The receiver.
        to: HostId,
        /// The message, as in [`demand_report`](crate::demand_report).
        bytes: Vec<u8>,
    },
}
