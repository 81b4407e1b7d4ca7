//! The kinds of timers of the core.

use super::ids::{AttemptId, ConnectionId};
use gullsail_scheduler_api::{HostId, NodeId, TimerId};

/// What a timer is for. Timers cannot be cancelled, so the handler of each kind checks whether there is still
/// anything to do.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerKind {
    /// A timer that the scheduler requested. The id tells the scheduler what it is for.
    Scheduler(TimerId),
    /// The wait of an attempt for its connection, or for the node's answer, may have reached its limit.
    Attempt(AttemptId),
    /// The response deadline of a connection may have passed.
    ResponseDeadline(ConnectionId),
    /// The backoff of the connection to a node may have ended.
    ReconnectNode(NodeId),
    /// The backoff of the connection to a peer may have ended.
    ReconnectPeer(HostId),
    /// Clock queries to peers are due.
    ClockQueries,
    /// A sweep is due: it closes stalled connections and removes the records of nodes that have been gone for a while.
    Sweep,
    /// Only wakes the host, since [`Core::advance`] advances the fleet in each step. It is set for the fleet's next
    /// advance, for the next increase of the slow-start share, for the next observation of nodes that drain, and for
    /// the time at which a shutdown stops waiting for operator commands.
    Fleet,
    /// Notices to peers of the configuration revisions that hosts follow are due.
    RevisionRound,
}
