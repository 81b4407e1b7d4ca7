//! Between clients and hosts: a request, its one final answer.

use super::Handle;
use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// A client hands a request over; a write's bytes follow as the body.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Submit {
    /// Names it on this connection, until it is answered.
    #[prost(uint64, tag = "1")]
    pub id: u64,
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
    /// Where its data lies; none: a new object.
    #[prost(message, optional, tag = "5")]
    pub handle: Option<Handle>,
    /// Requests of a request class that keeps order take turns by this; empty: by the handle.
    #[prost(string, tag = "6")]
    pub order_key: String,
    /// The same in every try of what a client wants once: a repeat is known by it.
    #[serde(rename = "mark")]
    #[prost(string, tag = "7")]
    pub idempotency_key: String,
    /// Which of the client's tries this is, from 0.
    #[prost(uint32, tag = "8")]
    pub repeat: u32,
    /// How long from now until the client gives up on this try.
    #[serde(rename = "ttl_us")]
    #[prost(int64, tag = "9")]
    pub timeout_us: i64,
}

/// What the one final answer says.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum Outcome {
    /// Not an outcome that this version knows.
    Unknown = 0,
    /// The request was served.
    #[serde(rename = "Done")]
    Succeeded = 1,
    /// It may be sent again without harm.
    #[serde(rename = "Deferred")]
    Rejected = 2,
    /// Promises nothing: it may have run.
    #[serde(rename = "Abandoned")]
    Failed = 3,
}

/// The one final answer; a read's bytes follow as the body.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Answer {
    /// The request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// An [`Outcome`].
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// Of a write that is done.
    #[prost(message, optional, tag = "3")]
    pub handle: Option<Handle>,
    /// Of a rejection: when to come back; 0: no advice.
    #[serde(rename = "come_back_us")]
    #[prost(int64, tag = "4")]
    pub retry_after_us: i64,
}

/// The request was not taken: nothing of it ran, and no answer follows.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct NotTaken {
    /// The request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Why, for people.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// The host goes away; another may take it.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

/// The host shuts down. A client sends nothing more on this connection and closes it once it has the answers to
/// what it sent. Until then the host answers every request that still comes with [`NotTaken`].
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct GoAway {}

/// The client no longer waits for this one.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Withdraw {
    /// The request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
}
