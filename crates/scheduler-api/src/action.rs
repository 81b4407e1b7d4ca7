//! The actions that the scheduler returns and its host carries out: attempts, final answers, timers, messages to
//! other hosts.

use crate::{HostId, Instant, NodeId, RequestId, Span, TimerId, VolumeId};

/// Why a cross-zone budget was overrun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverrunCause {
    /// The request's data is in the other zone, or the bytes are those of a node's answer from that zone.
    DataPlacement,
    /// The request stores a new object, and its pool has no ready node in the host's zone.
    NoLocalNode,
    /// The request stores a new object, and no ready node of its pool in the host's zone answers.
    LocalNodesSilent,
    /// The attempt is a retry. For a new object, [`NoLocalNode`](Self::NoLocalNode) and
    /// [`LocalNodesSilent`](Self::LocalNodesSilent) take precedence.
    Retry,
}

/// Longest time from the clock reading by which a message may be sent until its bytes are written, since the operating
/// system may hold up the process in between.
pub const MAX_SEND_DELAY: Span = Span::from_micros(150_000);

/// What a host must do. Actions are carried out in the order in which the scheduler returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the node.
    StartAttempt {
        /// The request to send.
        id: RequestId,
        /// The node that receives it.
        node: NodeId,
        /// Time after which the host ends the attempt as timed out; `None`: the attempt runs until the request's
        /// deadline.
        time_out: Option<Span>,
        /// From this clock reading on the host no longer starts to send the attempt, which may have waited for its
        /// connection; `None`: the request's deadline alone bounds it. The message may be written up to
        /// [`MAX_SEND_DELAY`] later.
        send_before: Option<Instant>,
    },
    /// Final answer: the request is rejected. The client can safely repeat it.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// Time after which the client may try again; `None`: the answer does not give one.
        retry_after: Option<Span>,
    },
    /// Final answer: the request failed. It may have run, so a repeat may run it twice.
    Fail {
        /// The failed request.
        id: RequestId,
    },
    /// Fetch the endpoint list and watch it for changes from now on.
    WatchEndpoints,
    /// Set a timer; [`Event::Timer`](crate::Event::Timer) reports it.
    SetTimer {
        /// The id of the timer, which the event repeats.
        id: TimerId,
        /// When the timer is due.
        at: Instant,
    },
    /// A request overran a cross-zone budget. For accounting: there is nothing to do.
    BudgetOverrun {
        /// The request that overran the budget.
        id: RequestId,
        /// The budget, by the low six bytes of its [`CrossZoneBudget::id`](crate::CrossZoneBudget::id).
        cross_zone_budget: VolumeId,
        /// How many of the bytes sent for the request were over the budget.
        bytes: f64,
        /// Why the bytes were sent between zones.
        cause: OverrunCause,
    },
    /// Send a message of at most 256 bytes to another host.
    SendToPeer {
        /// The host that receives the message.
        to: HostId,
        /// The message, encoded as in [`demand_report`](crate::demand_report).
        bytes: Vec<u8>,
    },
}
