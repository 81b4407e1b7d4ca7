//! Disturbances: what is done to frames and connections between two names, and for how long.

use std::time::Duration;
use tokio::time::Instant;

/// Done to frames on links between two names, for some time. A name may be `*`.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The sender, or `*`.
    pub from: String,
    /// The receiver, or `*`.
    pub to: String,
    /// When it ends.
    pub until: Instant,
    /// What is done.
    pub what: DisturbanceKind,
}

/// What the proxy does to frames or connections for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisturbanceKind {
    /// Frames take so much longer.
    Delay(Duration),
    /// Demand reports between hosts are lost, this part of them.
    LoseDemandReports(f64),
    /// Two demand reports in a row change places.
    SwapDemandReports,
    /// New connections end at once.
    Refuse,
    /// New connections are accepted and nothing comes of them.
    Silent,
    /// This part of the attempts' answers become errors.
    Errors(f64),
    /// This part of the frames is lost, with no sign of it.
    Lose(f64),
    /// Each frame is the last of its direction with this chance; the other direction goes on.
    HalfClose(f64),
    /// Each frame breaks its connection with this chance.
    Reset(f64),
    /// This part of what hosts tell each other comes twice.
    Repeat(f64),
}

impl Disturbance {
    /// Whether it meets frames from one process to another at this time.
    pub(super) fn applies(&self, now: Instant, from: &str, to: &str) -> bool {
        self.until > now && matches_name(&self.from, from) && matches_name(&self.to, to)
    }
}

/// All connections between two names, each of which may be `*`.
#[derive(Clone, Default)]
pub(super) struct Cut {
    pub(super) from: String,
    pub(super) to: String,
}

impl Cut {
    /// Whether it meets the connection of these two, whichever of them opened it.
    pub(super) fn meets(&self, one: &str, other: &str) -> bool {
        let meets = |from, to| matches_name(&self.from, from) && matches_name(&self.to, to);
        meets(one, other) || meets(other, one)
    }
}

fn matches_name(pattern: &str, name: &str) -> bool {
    pattern == "*" || pattern == name
}
