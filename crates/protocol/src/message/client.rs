//! Messages between clients and hosts: a request and its one final answer.

use super::Handle;
use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// A client sends a request to a host. The body holds the data of a write.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Submit {
    /// The request's number, unique among the open requests of this connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
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
    /// The object to read or write; `None`: a new object.
    #[prost(message, optional, tag = "5")]
    pub handle: Option<Handle>,
    /// For a request class that keeps order: requests with the same key run one at a time. Empty: the handle is the
    /// key.
    #[prost(string, tag = "6")]
    pub order_key: String,
    /// The request's idempotency key, by which a repeat is recognised. It is the same in all of the client's tries.
    #[serde(rename = "mark")]
    #[prost(string, tag = "7")]
    pub idempotency_key: String,
    /// The number of the client's try, from 0.
    #[prost(uint32, tag = "8")]
    pub repeat: u32,
    /// Time after which the client gives up on this try.
    #[serde(rename = "ttl_us")]
    #[prost(int64, tag = "9")]
    pub timeout_us: i64,
}

/// The outcome of a request, in its final answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum Outcome {
    /// The value in the message is not an outcome that this version knows.
    Unknown = 0,
    /// The host served the request.
    #[serde(rename = "Done")]
    Succeeded = 1,
    /// The host rejected the request. The client can safely send it again.
    #[serde(rename = "Deferred")]
    Rejected = 2,
    /// The request failed. It may have run.
    #[serde(rename = "Abandoned")]
    Failed = 3,
}

/// The final answer to a request. The body holds the data of a read.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Answer {
    /// The number of the request, as in [`Submit`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The request's outcome, an [`Outcome`].
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// In the answer to a successful write: the object that was written.
    #[prost(message, optional, tag = "3")]
    pub handle: Option<Handle>,
    /// In a rejection: time after which the client may send the request again; 0: not given.
    #[serde(rename = "come_back_us")]
    #[prost(int64, tag = "4")]
    pub retry_after_us: i64,
}

/// The host did not accept the request: nothing of it ran, and no [`Answer`] follows.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct NotTaken {
    /// The number of the request, as in [`Submit`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Why the host did not accept the request, for people.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Whether the reason is that the host shuts down, so that another host may accept the request.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

/// The host shuts down. A client sends nothing more on this connection and closes it once it has the answers to
/// what it sent. Until then the host answers every request that still comes with [`NotTaken`].
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct GoAway {}

/// The client no longer waits for the answer to a request.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Withdraw {
    /// The number of the request, as in [`Submit`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
}
