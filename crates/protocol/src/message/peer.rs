//! Messages between hosts: demand reports, clock readings and revision notices.

use prost::Message;
use serde::{Deserialize, Serialize};

/// A message between the schedulers of two hosts, of at most [`crate::MAX_DEMAND_REPORT_BYTES`].
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct DemandReport {
    /// The message, encoded as in `demand_report` of `crates/scheduler-api`.
    #[prost(bytes = "vec", tag = "1")]
    pub bytes: Vec<u8>,
}

/// Asks a peer for the reading of its clock.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ClockQuery {
    /// The reading of the sender's clock, which the reply repeats.
    #[prost(int64, tag = "1")]
    pub asked_us: i64,
}

/// The answer to a [`ClockQuery`].
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ClockReply {
    /// `asked_us` of the query.
    #[prost(int64, tag = "1")]
    pub asked_us: i64,
    /// The reading of the replying host's clock, taken between the arrival of the query and this reply.
    #[prost(int64, tag = "2")]
    pub clock_us: i64,
}

/// A revision notice: which hosts are known to follow a revision of the configuration or a later one.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Reached {
    /// The revision that the sender follows.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    /// The revision that `hosts` is about.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// One bit for each host, by its number: whether it is known to follow `revision` or a later one.
    #[prost(bytes = "vec", tag = "3")]
    pub hosts: Vec<u8>,
}
