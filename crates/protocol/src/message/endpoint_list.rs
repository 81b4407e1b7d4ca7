//! Messages between hosts and the list service: the endpoint list and its changes.

use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// Asks for the complete endpoint list, and for its later changes if `watch` is set.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListQuery {
    /// Whether the list service sends all later changes.
    #[prost(bool, tag = "1")]
    pub watch: bool,
}

/// The state of a node in the endpoint list.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum ListedState {
    /// The node takes requests.
    Ready = 0,
    /// The node finishes the requests it has and takes no new ones.
    Draining = 1,
    /// The node no longer exists.
    Gone = 2,
}

/// One node of the endpoint list.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The node's name. It is the same in all its incarnations and never reused for another shard.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The address on which the node listens.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The shard that the node holds.
    #[serde(rename = "cell")]
    #[prost(int64, tag = "3")]
    pub shard: i64,
    /// The name of the node's zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The node's state, a [`ListedState`].
    #[serde(rename = "standing")]
    #[prost(enumeration = "ListedState", tag = "5")]
    pub state: i32,
    /// Time since the node last started; 0: not known.
    #[prost(int64, tag = "6")]
    pub age_us: i64,
    /// The node's newest known incarnation; 0: not known.
    #[prost(fixed64, tag = "7")]
    pub incarnation: u64,
    /// The node's kind, by which pools of the configuration select nodes; empty: it has none.
    #[prost(string, tag = "8")]
    #[serde(default)]
    pub kind: String,
}

/// The complete endpoint list, or the entries that changed.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    /// The version of the list, which only grows.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Whether `entries` is the complete list, so that nodes that are not in it are gone. Otherwise it has the
    /// entries that changed.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// The entries, one for each node.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<ListedEndpoint>,
}

/// The list service cannot answer at present.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListRefused {
    /// Why the list service cannot answer, for people.
    #[prost(string, tag = "1")]
    pub reason: String,
}
