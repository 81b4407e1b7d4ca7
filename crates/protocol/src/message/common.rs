//! What all connections begin with, and what names an object.

use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// Who opens a connection, or answers on one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum Role {
    /// Not a role that this version knows.
    Unknown = 0,
    /// A client.
    Client = 1,
    /// A host.
    Host = 2,
    /// A storage node.
    Node = 3,
    /// The endpoint list service.
    List = 4,
}

/// The first frame each way on every connection. The incarnation is drawn anew at each start of a process.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Hello {
    /// A [`Role`].
    #[prost(enumeration = "Role", tag = "1")]
    pub role: i32,
    /// The process's name in the configuration.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Drawn anew at each start.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// How long the process has been up.
    #[prost(int64, tag = "4")]
    pub age_us: i64,
    /// Of a node: the shard it holds, plus one.
    #[serde(rename = "cell_plus_one")]
    #[prost(int64, tag = "5")]
    pub shard_plus_one: i64,
}

/// Names a written object for good: a later read needs no lookup.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message, Serialize, Deserialize)]
pub struct Handle {
    /// The shard that holds the object.
    #[serde(rename = "cell")]
    #[prost(int64, tag = "1")]
    pub shard: i64,
    /// The object within the shard.
    #[prost(fixed64, tag = "2")]
    pub object: u64,
}
