//! Between hosts and storage nodes: an attempt of a request, its result, probes.

use super::Handle;
use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// One attempt of a request, to a node; a write's bytes follow as the body.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Attempt {
    /// Names it on this connection.
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The name of the request class.
    #[serde(rename = "stream_type")]
    #[prost(string, tag = "2")]
    pub request_class: String,
    /// The name of the volume.
    #[prost(string, tag = "3")]
    pub volume: String,
    /// The work of the request in units.
    #[prost(double, tag = "4")]
    pub units: f64,
    /// Whether it is a write.
    #[prost(bool, tag = "5")]
    pub write: bool,
    /// The object; none: a new one, which the node names.
    #[prost(message, optional, tag = "6")]
    pub handle: Option<Handle>,
    /// The same in every try of one request: a node recognises a repeat by it.
    #[serde(rename = "mark")]
    #[prost(string, tag = "7")]
    pub idempotency_key: String,
    /// Which of the client's tries this belongs to, from 0.
    #[prost(uint32, tag = "8")]
    pub repeat: u32,
    /// Which attempt of that try this is, from 0.
    #[prost(uint32, tag = "9")]
    pub number: u32,
    /// After this long nobody waits for its answer.
    #[prost(int64, tag = "10")]
    pub time_out_us: i64,
}

/// What a node says of an attempt.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum AttemptResult {
    /// Not a result that this version knows.
    Unknown = 0,
    /// The node did the work.
    #[serde(rename = "Done")]
    Succeeded = 1,
    /// It may have run.
    Failed = 2,
    /// Turned away unseen: it never ran.
    #[serde(rename = "TurnedAway")]
    Rejected = 3,
}

/// What came of an attempt; a read's bytes follow as the body.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct AttemptAnswer {
    /// The attempt.
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// An [`AttemptResult`].
    #[prost(enumeration = "AttemptResult", tag = "2")]
    pub result: i32,
    /// The object that was read or written.
    #[prost(message, optional, tag = "3")]
    pub handle: Option<Handle>,
    /// The volume's use through all hosts in a finished period, in percent of its usual rate, plus one;
    /// 0: not told.
    #[serde(rename = "used_plus_one")]
    #[prost(uint32, tag = "4")]
    pub usage_percent_plus_one: u32,
    /// It took effect now, and not in an earlier attempt whose mark it bears.
    #[prost(bool, tag = "5")]
    pub ran: bool,
    /// Why it failed, for people.
    #[prost(string, tag = "6")]
    pub reason: String,
}

/// Nobody waits for this attempt any more.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt.
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Asks a node how busy it is.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Probe {
    /// Comes back with the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// How many requests run at the node, and how many wait there.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Of the probe.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Requests that run.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
}
