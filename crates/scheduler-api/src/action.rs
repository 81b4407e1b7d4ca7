//! What a host is to do: attempts, final answers, timers, messages to other hosts.

use crate::{HostId, Instant, NodeId, RequestId, Span, TimerId, VolumeId};

/// Why a budget between zones was overrun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverrunCause {
    /// Its data lies there.
    DataPlacement,
    /// Its own zone has no node that takes it: these drain or are gone.
    NoLocalNode,
    /// The nodes of its own zone are silent.
    LocalNodesSilent,
    /// A retry of something that had its first attempt elsewhere.
    Retry,
}

/// What a host is to do, in the order in which the scheduler says it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the node; without a time-out it runs until the deadline.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Where it goes.
        node: NodeId,
        /// The attempt ends as timed out after this.
        time_out: Option<Span>,
    },
    /// Final answer: rejected; a repeat does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client may try again; `None`: no advice.
        retry_after: Option<Span>,
    },
    /// Final answer: failed; it may have run, so nothing is said of a repeat.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for the node list and its changes from now on.
    WatchEndpoints,
    /// Report the timer when it is due.
    SetTimer {
        /// Given back with the event.
        id: TimerId,
        /// When it is due.
        at: Instant,
    },
    /// This request overran a budget between zones.
    BudgetOverrun {
        /// The request.
        id: RequestId,
        /// The budget, as in [`CrossZoneBudget`](crate::CrossZoneBudget).
        cross_zone_budget: VolumeId,
        /// By so many bytes of its own.
        bytes: f64,
        /// Why it crossed.
        cause: OverrunCause,
    },
    /// At most 256 bytes to one host.
    SendToPeer {
        /// The receiver.
        to: HostId,
        /// See [`demand_report`](crate::demand_report).
        bytes: Vec<u8>,
    },
}
