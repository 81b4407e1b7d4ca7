//! Faults and list entries for simulated nodes and list services.

use super::ListedEndpoint;
use prost::Message;
use serde::{Deserialize, Serialize};

/// From a scenario to a simulated process: a fault that it has from now on, or entries for the endpoint list. Other
/// processes ignore it.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Order {
    /// For a node, the fault: `stall`, `slow`, `fail` or `costly`. For the list service, `refuse`: it refuses queries.
    /// With any other kind, the list service publishes `entries`.
    #[serde(rename = "what")]
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Severity of the fault: a factor for `slow` and `costly`, the fraction of requests for `fail`.
    #[prost(double, tag = "2")]
    pub size: f64,
    /// How long the fault lasts, in microseconds.
    #[serde(rename = "lasts_us")]
    #[prost(int64, tag = "3")]
    pub duration_us: i64,
    /// For the list service: entries to publish.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<ListedEndpoint>,
    /// For `costly`: the fraction of requests that is affected.
    #[prost(double, tag = "5")]
    pub share: f64,
    /// For `costly`: the request class that is affected; empty: all classes.
    #[serde(rename = "stream_type")]
    #[prost(string, tag = "6")]
    pub request_class: String,
}
