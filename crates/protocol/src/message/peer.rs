//! Between hosts: demand reports, clocks, revisions.

use prost::Message;
use serde::{Deserialize, Serialize};

/// From host to host: bytes of the decisions' own, at most [`crate::MAX_DEMAND_REPORT_BYTES`].
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct DemandReport {
    /// Packed by the scheduler's API.
    #[prost(bytes = "vec", tag = "1")]
    pub bytes: Vec<u8>,
}

/// What is your clock? `asked_us` is the asker's, and comes back as it was.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ClockQuery {
    /// The asker's clock.
    #[prost(int64, tag = "1")]
    pub asked_us: i64,
}

/// What a peer's clock showed.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ClockReply {
    /// As in the query.
    #[prost(int64, tag = "1")]
    pub asked_us: i64,
    /// The clock of the one asked, between the question's arrival and this.
    #[prost(int64, tag = "2")]
    pub clock_us: i64,
}

/// Which hosts are known to hold to a document of this revision or a later one.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Reached {
    /// What the sender holds to.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    /// The revision that the bits are about.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// One bit for each host, by number.
    #[prost(bytes = "vec", tag = "3")]
    pub hosts: Vec<u8>,
}
