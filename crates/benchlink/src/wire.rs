//! The bench's events as they are received. Names are those of the bench's protocol; [`events`](crate::events)
//! translates them.

use gullsail_scheduler_settings::RawSettings;
use serde::Deserialize;

/// One line: the events at one point in time.
#[derive(Deserialize)]
pub struct Batch {
    /// The time in milliseconds.
    #[serde(rename = "t")]
    pub time_ms: f64,
    /// The events, in order.
    pub arrivals: Vec<WireEvent>,
}

/// A node of an endpoint list.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// The shard that the node holds; -1: none.
    #[serde(default = "no_shard")]
    pub group: i64,
    /// The node's state: `Ready`, `Terminating` or `Gone`.
    pub health: String,
    /// The node's name.
    pub node: String,
    /// The name of the node's zone.
    #[serde(default)]
    pub region_part: String,
    /// When the node's process started, in milliseconds; 0: unknown.
    #[serde(default)]
    pub online_since: f64,
}

/// An event for one host, or for all hosts of the process.
#[derive(Deserialize)]
#[serde(tag = "type")]
pub enum WireEvent {
    /// A host starts, with its settings.
    #[serde(rename = "Born", rename_all = "kebab-case")]
    Start {
        /// The number of the host that starts.
        host: u64,
        /// The seed of the scheduler's random generator.
        rng_seed: u64,
        /// The host's settings.
        boot_info: Box<RawSettings>,
    },
    /// An endpoint list to which [`WireEvent::Fleet`] refers.
    Page {
        /// The number of the list.
        table: u64,
        /// The entries of the list, one for each node.
        #[serde(default)]
        hosts: Vec<Entry>,
    },
    /// An endpoint list for a host, or the loss of the list.
    Fleet {
        /// The number of the host that receives the list.
        host: u64,
        /// The number of the list.
        #[serde(default)]
        table: u64,
        /// The kind of the update: `incr`, `total`, `warm_copy`, or `lost` if the list cannot be fetched.
        mode: String,
    },
    /// A request arrived at a host.
    #[serde(rename_all = "kebab-case")]
    Accept {
        /// The number of the host.
        host: u64,
        /// The request's id.
        id: u64,
        /// The work of the request, in units.
        quota_units: f64,
        /// How long the client waits for the answer, in milliseconds.
        #[serde(rename = "ttl")]
        timeout: f64,
        /// The name of the volume's plan.
        #[serde(default)]
        grade: String,
        /// The name of the request class.
        #[serde(default)]
        profile: String,
        /// The name of the volume.
        #[serde(default)]
        store_user: String,
        /// The shard of the request's data; negative: a new object.
        #[serde(default = "no_shard")]
        lies_in: i64,
        /// The name of the object, if the request is about a named one.
        #[serde(default)]
        object: Option<String>,
        /// Number of hosts that serve the volume; 0: unknown.
        #[serde(default)]
        mounts: u32,
    },
    /// A timer of the scheduler is due.
    Timer {
        /// The number of the host.
        host: u64,
        /// The timer's id.
        name: u64,
    },
    /// A client disconnected.
    Dropped {
        /// The number of the host.
        host: u64,
        /// The id of the client's request.
        id: u64,
    },
    /// A host is killed.
    Detach {
        /// The number of the host.
        host: u64,
    },
    /// A host received a message of another host.
    #[serde(rename = "Heard")]
    PeerMessage {
        /// The number of the receiving host.
        host: u64,
        /// The number of the sending host.
        src: u32,
        /// The message, as base64.
        octets: String,
    },
    /// An attempt ended.
    #[serde(rename_all = "kebab-case")]
    Resolved {
        /// The number of the host.
        host: u64,
        /// The id of the request.
        id: u64,
        /// The attempt's latency in milliseconds.
        #[serde(default)]
        spent: f64,
        /// The number of the attempt within the request, from 0.
        #[serde(default)]
        attempt: u32,
        /// The outcome of the attempt, such as `delivered` or `expired`.
        state_code: String,
        /// The name of the node that the attempt was sent to.
        node: String,
        /// Whether the client has its final answer, so that the request is finished.
        #[serde(default)]
        complete: bool,
        /// One more than the volume's usage in percent of its nominal rate; 0: unknown.
        #[serde(default)]
        metered: u32,
    },
    /// The client received the beginning of a streamed response.
    AckFirst {
        /// The number of the host.
        host: u64,
        /// The id of the request.
        id: u64,
        /// The name of the node that responds.
        node: String,
        /// The attempt's latency so far, in milliseconds.
        #[serde(default)]
        spent: f64,
    },
    /// Any other event, which is ignored.
    #[serde(other)]
    Unknown,
}

/// The value of a shard that is not given: no shard.
fn no_shard() -> i64 {
    -1
}

impl WireEvent {
    /// The host that the event is for; `None`: all hosts, or an unknown event.
    pub fn host(&self) -> Option<u64> {
        match *self {
            WireEvent::Start { host, .. }
            | WireEvent::Fleet { host, .. }
            | WireEvent::Accept { host, .. }
            | WireEvent::Timer { host, .. }
            | WireEvent::Dropped { host, .. }
            | WireEvent::Detach { host }
            | WireEvent::PeerMessage { host, .. }
            | WireEvent::Resolved { host, .. }
            | WireEvent::AckFirst { host, .. } => Some(host),
            WireEvent::Page { .. } | WireEvent::Unknown => None,
        }
    }
}
