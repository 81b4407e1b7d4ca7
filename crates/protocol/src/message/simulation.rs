//! To simulated nodes and lists alone: what goes wrong with them.

use super::ListedEndpoint;
use prost::Message;
use serde::{Deserialize, Serialize};

/// To a simulated process alone, from the script of a scenario: what goes wrong with it, or what the list is
/// to say.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Order {
    /// Of a node: `stall`, `slow`, `fail`, `costly`. Of the list: `late`, `refuse`.
    #[prost(string, tag = "1")]
    pub what: String,
    #[prost(double, tag = "2")]
    pub size: f64,
    #[prost(int64, tag = "3")]
    pub lasts_us: i64,
    /// Of the list: these entries are so from now on.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<ListedEndpoint>,
    /// Which part of the requests is meant, and of which request class; empty: all types.
    #[prost(double, tag = "5")]
    pub share: f64,
    #[serde(rename = "stream_type")]
    #[prost(string, tag = "6")]
    pub request_class: String,
}
