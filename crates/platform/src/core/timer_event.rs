//! What the timers of a host are for.

use super::attempt_key::AttemptKey;
use super::io::ConnectionId;
use gullsail_scheduler_api::TimerId;

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerEvent {
    /// A timer of the scheduler.
    Scheduler(TimerId),
    /// The attempt's time is over.
    AttemptTimeout(AttemptKey),
    /// The attempt has waited for a connection for the connect timeout.
    ConnectionWaitTimeout(AttemptKey),
    /// The connection was not established in time.
    ConnectTimeout(ConnectionId),
    /// Client and idle node connections are checked for their age.
    IdleCheck,
    /// Discovery has not answered the poll of this number.
    DiscoveryTimeout(u64),
    /// The backoff after a lost connection to discovery is over.
    DiscoveryRetry,
    /// The host serves with the stored endpoints although discovery has not answered.
    ReadyTimeout,
    LogMetrics,
    /// The next stage of the shutdown.
    ShutdownStage,
    /// The platform is about to kill the process.
    Exit,
}
