//! The settings by which servers are taken offline. Part of `FleetConfig`; depends on no other module of this
//! crate.

use gullsail_scheduler_api::Span;

/// The configuration's `works` entry.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceConfig {
    /// Servers away at the same time, in all. One that failed by itself counts.
    pub at_once: u32,
    /// The same, in one zone.
    pub in_zone: u32,
    /// The same, in one pool.
    pub in_pool: u32,
    /// The least part of the nodes' capacity that stays.
    pub keep: f64,
    /// The least part of the capacity of a shard's holders that stays.
    pub keep_shard: f64,
    /// What is served now may take up this part of the capacity that stays.
    pub busy: f64,
    /// How long a server may be away, unless its order gives another time.
    pub longest: Span,
    /// How long a server that has returned is watched before the next goes in its place.
    pub watched: Span,
    /// How long a host that lost its lease keeps sending to servers that it knows no order for.
    pub blind: Span,
    /// Times of day at which no server goes: from and to, in seconds from midnight UTC.
    pub rests: Vec<(u32, u32)>,
}

impl MaintenanceConfig {
    /// How much of `blind` a host relies on, by a clock that may run fast or slow by `drift`.
    pub fn blind_held(&self, drift: f64) -> Span {
        self.blind.times((1.0 - drift) / (1.0 + drift))
    }
}
