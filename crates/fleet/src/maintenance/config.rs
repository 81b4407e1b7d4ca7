//! The settings of maintenance: the limits within which servers go offline. Part of `FleetConfig`; it depends on
//! no other module of this crate.

use gullsail_scheduler_api::Span;

/// The configuration's `works` entry.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceConfig {
    /// The most servers away at the same time, in all. A server that failed counts.
    pub at_once: u32,
    /// The same, in one zone.
    pub in_zone: u32,
    /// The same, in one pool.
    pub in_pool: u32,
    /// The fraction of the nodes' capacity that must remain.
    pub keep: f64,
    /// The fraction of the capacity of a shard's holders that must remain.
    pub keep_shard: f64,
    /// The largest fraction of the remaining capacity that the present load may take up.
    pub busy: f64,
    /// How long a server may be away, unless its order gives another time.
    pub longest: Span,
    /// How long a server that has returned is watched before its order is done and frees its place.
    pub watched: Span,
    /// The isolation grace: how long a host whose confirmed lease has ended keeps sending to servers that it knows
    /// no order for.
    pub isolation_grace: Span,
    /// Quiet hours in which no server starts to drain: from and to, in seconds from midnight UTC.
    pub quiet_hours: Vec<(u32, u32)>,
}

impl MaintenanceConfig {
    /// The isolation grace as a host counts it: shortened by the drift of clocks.
    pub fn isolation_grace_held(&self, drift: f64) -> Span {
        self.isolation_grace.times((1.0 - drift) / (1.0 + drift))
    }
}
