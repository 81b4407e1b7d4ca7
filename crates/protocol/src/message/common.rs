//! The greeting that begins each connection, and the handle of an object.

use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// The role of a process at one end of a connection.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum Role {
    /// The value in the message is not a role that this version knows.
    Unknown = 0,
    /// A process that sends requests.
    Client = 1,
    /// A host, which schedules requests.
    Host = 2,
    /// A storage node.
    Node = 3,
    /// The endpoint list service.
    List = 4,
}

/// The greeting: the first frame in each direction of every connection.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's role, a [`Role`].
    #[prost(enumeration = "Role", tag = "1")]
    pub role: i32,
    /// The sender's name in the configuration.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The incarnation of the sender, a random number that is drawn at each start of a process; 0: not given.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Time since the sender started.
    #[prost(int64, tag = "4")]
    pub age_us: i64,
    /// From a node: one more than the number of the shard that it holds.
    #[serde(rename = "cell_plus_one")]
    #[prost(int64, tag = "5")]
    pub shard_plus_one: i64,
}

/// The permanent address of a written object. A read needs no lookup to find it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message, Serialize, Deserialize)]
pub struct Handle {
    /// The shard that holds the object.
    #[serde(rename = "cell")]
    #[prost(int64, tag = "1")]
    pub shard: i64,
    /// The number of the object within the shard.
    #[prost(fixed64, tag = "2")]
    pub object: u64,
}
