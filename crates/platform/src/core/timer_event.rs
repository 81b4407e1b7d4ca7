//! What the timers of a host are for.

use super::attempt_key::AttemptKey;
use super::io::ConnectionId;
use gullsail_scheduler_api::TimerId;

#[derive(Clone, Copy, Debug)]
pub(super) enum TimerEvent {
    /// One of the scheduler's own.
    Scheduler(TimerId),
    /// The attempt has taken as long as it may.
    AttemptTimeout(AttemptKey),
    /// The attempt has waited for a connection as long as it may.
    ConnectionWaitTimeout(AttemptKey),
    ConnectTimeout(ConnectionId),
    /// Client and idle node connections are checked for their age.
    IdleCheck,
    /// Discovery has not answered the poll of this number.
    DiscoveryTimeout(u64),
    DiscoveryRetry,
    /// The host serves without discovery, with the endpoints that it remembers.
    ReadyTimeout,
    LogMetrics,
    /// The next stage of the shutdown.
    ShutdownStage,
    /// The platform would kill the process the next moment.
    Exit,
}
