//! Disturbances: faults that relays inject into the frames and connections between two processes for a time.

use std::time::Duration;
use tokio::time::Instant;

/// A fault in the frames and connections from one process to another, for a time.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The name of the sending process, or `*` for any.
    pub from: String,
    /// The name of the receiving process, or `*` for any.
    pub to: String,
    /// When the disturbance ends.
    pub until: Instant,
    /// The kind of fault.
    pub kind: DisturbanceKind,
}

/// A fault that a relay injects. Chances are 0 to 1 and apply to each frame on its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisturbanceKind {
    /// Frames arrive later by this time.
    Delay(Duration),
    /// Demand reports between hosts are lost with this chance.
    LoseDemandReports(f64),
    /// Successive demand reports swap places in pairs.
    SwapDemandReports,
    /// New connections are closed at once.
    Refuse,
    /// New connections are accepted and get no frames; they close after a few seconds.
    Silent,
    /// Answers to attempts that succeeded are turned into errors with this chance.
    Errors(f64),
    /// Frames are lost with this chance, while the connection stays open.
    Lose(f64),
    /// Each frame is the last of its direction with this chance; the other direction stays open.
    HalfClose(f64),
    /// Each frame breaks its connection with this chance.
    Reset(f64),
    /// Messages between hosts arrive twice with this chance.
    Repeat(f64),
}

impl Disturbance {
    /// Returns whether the disturbance affects frames from one process to another at this time.
    pub(super) fn applies(&self, now: Instant, from: &str, to: &str) -> bool {
        self.until > now && matches_name(&self.from, from) && matches_name(&self.to, to)
    }
}

/// An order to break all connections between two processes. A name may be `*`.
#[derive(Clone, Default)]
pub(super) struct Cut {
    pub(super) from: String,
    pub(super) to: String,
}

impl Cut {
    /// Returns whether the cut breaks the connection between these two, whichever of them opened it.
    pub(super) fn matches(&self, one: &str, other: &str) -> bool {
        let matches = |from, to| matches_name(&self.from, from) && matches_name(&self.to, to);
        matches(one, other) || matches(other, one)
    }
}

fn matches_name(pattern: &str, name: &str) -> bool {
    pattern == "*" || pattern == name
}
