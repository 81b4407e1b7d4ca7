//! Timers of a host.

use super::attempt_key::AttemptKey;
use super::io::ConnectionId;
use gullsail_scheduler_api::{NodeId, TimerId};

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerEvent {
    /// The scheduler set the timer with `Action::SetTimer` and receives `Event::Timer`.
    Scheduler(TimerId),
    /// The attempt times out.
    AttemptTimeout(AttemptKey),
    /// An attempt that still waits for a connection gives up after the connect timeout.
    ConnectionWaitTimeout(AttemptKey),
    /// A node connection that is not established yet is closed.
    ConnectTimeout(ConnectionId),
    /// An idle connection to the node may carry the next attempt.
    ReuseDelayOver(NodeId),
    /// Client connections and idle node connections that have exceeded their age are closed.
    IdleCheck,
    /// Discovery has not responded to the poll with this number.
    DiscoveryTimeout(u64),
    /// The backoff after a lost connection to discovery is over.
    DiscoveryRetry,
    /// Health checks succeed from now on, even if discovery has not responded.
    ReadyTimeout,
    LogMetrics,
    /// The current stage of the shutdown ends.
    ShutdownStage,
    /// The process exits: the platform is about to kill it.
    Exit,
}
