//! The settings of maintenance: the limits within which servers are taken offline. Part of `FleetConfig`.

use gullsail_scheduler_api::Span;

/// The settings in the configuration's `works` entry.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceConfig {
    /// The most servers that may be away at the same time in all, including failed ones.
    pub at_once: u32,
    /// The most servers that may be away at the same time in one zone.
    pub in_zone: u32,
    /// The most servers that may be away at the same time in one pool; all hosts count as one pool.
    pub in_pool: u32,
    /// The fraction of the capacity of all nodes that must remain.
    pub keep: f64,
    /// The fraction of the capacity of a shard's holders that must remain.
    pub keep_shard: f64,
    /// The largest fraction of the remaining capacity that the present load may use.
    pub busy: f64,
    /// How long a server may be offline before its order is overdue, unless the order states another time.
    pub longest: Span,
    /// How long a server that has returned is watched before its order is done and it no longer counts as away.
    pub watched: Span,
    /// The isolation grace: after the lease that confirmed a host's order book has expired, the host may send for this
    /// time to servers that have no open order in it.
    pub isolation_grace: Span,
    /// Quiet hours, in which no server starts to drain: pairs of start and end, in seconds from midnight UTC. An end
    /// before the start is on the next day.
    pub quiet_hours: Vec<(u32, u32)>,
}

impl MaintenanceConfig {
    /// Returns the isolation grace at a host, which is shorter than `isolation_grace` to allow for clock drift.
    pub fn isolation_grace_held(&self, drift: f64) -> Span {
        self.isolation_grace.times((1.0 - drift) / (1.0 + drift))
    }
}
