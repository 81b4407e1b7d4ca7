//! To simulated nodes and lists alone: what goes wrong with them.

use super::ListedEndpoint;
use prost::Message;
use serde::{Deserialize, Serialize};

/// To a simulated process alone, from the script of a scenario: what goes wrong with it, or what the list is
/// to say.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Order {
    /// Of a node: `stall`, `slow`, `fail`, `costly`. Of the list: `late`, `refuse`.
    #[serde(rename = "what")]
    #[prost(string, tag = "1")]
    pub kind: String,
    /// How severe: a factor or a share.
    #[prost(double, tag = "2")]
    pub size: f64,
    /// How long it lasts.
    #[serde(rename = "lasts_us")]
    #[prost(int64, tag = "3")]
    pub duration_us: i64,
    /// Of the list: these entries are so from now on.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<ListedEndpoint>,
    /// The share of requests that is affected.
    #[prost(double, tag = "5")]
    pub share: f64,
    /// The request class that is affected; empty: all.
    #[serde(rename = "stream_type")]
    #[prost(string, tag = "6")]
    pub request_class: String,
}
