//! Between hosts and the list service: the endpoint list and its changes.

use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// Asks for the whole node list, and with `watch` for all changes from then on.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListQuery {
    /// Whether all changes are to follow.
    #[prost(bool, tag = "1")]
    pub watch: bool,
}

/// What the list says of a node.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum ListedState {
    /// It takes requests.
    Ready = 0,
    /// It finishes what it has and takes nothing new.
    Draining = 1,
    /// It is no longer there.
    Gone = 2,
}

/// One node of the list.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The node's name, the same in all its incarnations and never used again for another shard.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Where it listens.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The shard that it holds.
    #[serde(rename = "cell")]
    #[prost(int64, tag = "3")]
    pub shard: i64,
    /// The zone's name.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// A [`ListedState`].
    #[serde(rename = "standing")]
    #[prost(enumeration = "ListedState", tag = "5")]
    pub state: i32,
    /// How long ago it last started; 0: not known.
    #[prost(int64, tag = "6")]
    pub age_us: i64,
    /// The incarnation of its last start; 0: not known.
    #[prost(fixed64, tag = "7")]
    pub incarnation: u64,
    /// What sort of node it is, for the pools of a document; empty: none.
    #[prost(string, tag = "8")]
    #[serde(default)]
    pub kind: String,
}

/// The whole list, or what changed in it.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    /// The list's version, which only grows.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The whole list: who is not in it is gone. Else the entries that changed.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// The entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<ListedEndpoint>,
}

/// The list service cannot answer now.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListRefused {
    /// Why, for people.
    #[prost(string, tag = "1")]
    pub reason: String,
}
