//! Messages between hosts and storage nodes: attempts of requests, their results, and probes.

use super::Handle;
use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// One attempt of a request, sent to a node. The body holds the data of a write.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Attempt {
    /// The attempt's number, unique on this connection.
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The name of the request's class.
    #[serde(rename = "stream_type")]
    #[prost(string, tag = "2")]
    pub request_class: String,
    /// The name of the request's volume.
    #[prost(string, tag = "3")]
    pub volume: String,
    /// The work of the request in units.
    #[prost(double, tag = "4")]
    pub units: f64,
    /// Whether the request is a write.
    #[prost(bool, tag = "5")]
    pub write: bool,
    /// The object to read or write; `None`: a new object, whose handle the node chooses.
    #[prost(message, optional, tag = "6")]
    pub handle: Option<Handle>,
    /// The request's idempotency key, by which a node recognises a repeat. It is the same in all attempts and all of
    /// the client's tries.
    #[serde(rename = "mark")]
    #[prost(string, tag = "7")]
    pub idempotency_key: String,
    /// The number of the client's try that this attempt belongs to, from 0.
    #[prost(uint32, tag = "8")]
    pub repeat: u32,
    /// The number of the attempt within that try, from 0.
    #[prost(uint32, tag = "9")]
    pub number: u32,
    /// Time after which the host no longer waits for an answer.
    #[prost(int64, tag = "10")]
    pub time_out_us: i64,
}

/// The result of an attempt at a node.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum AttemptResult {
    /// The value in the message is not a result that this version knows.
    Unknown = 0,
    /// The node completed the attempt.
    #[serde(rename = "Done")]
    Succeeded = 1,
    /// The attempt failed. It may have run.
    Failed = 2,
    /// The node rejected the attempt: it never ran.
    #[serde(rename = "TurnedAway")]
    Rejected = 3,
}

/// A node's answer to an attempt. The body holds the data of a read.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct AttemptAnswer {
    /// The number of the attempt, as in [`Attempt`].
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The result, an [`AttemptResult`].
    #[prost(enumeration = "AttemptResult", tag = "2")]
    pub result: i32,
    /// The object that was read or written.
    #[prost(message, optional, tag = "3")]
    pub handle: Option<Handle>,
    /// One more than the volume's usage over all hosts in a finished period, in percent of its nominal rate; 0: not
    /// reported.
    #[serde(rename = "used_plus_one")]
    #[prost(uint32, tag = "4")]
    pub usage_percent_plus_one: u32,
    /// Whether this attempt took effect. `false`: it did not, or an earlier attempt with the same idempotency key
    /// did.
    #[prost(bool, tag = "5")]
    pub ran: bool,
    /// Why the attempt failed, for people.
    #[prost(string, tag = "6")]
    pub reason: String,
}

/// Cancels an attempt: the host no longer waits for its answer.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Cancel {
    /// The number of the attempt, as in [`Attempt`].
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Asks a node for its load.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Probe {
    /// A number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// A node's answer to a probe: its load.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// The number in the probe.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of requests that the node is working on.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Number of requests that wait at the node.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
}
