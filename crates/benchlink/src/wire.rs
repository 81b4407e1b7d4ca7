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
    /// Its shard.
    #[serde(default = "no_shard")]
    pub group: i64,
    /// Its state.
    pub health: String,
    /// Its name.
    pub node: String,
    /// Its zone.
    #[serde(default)]
    pub region_part: String,
    /// When its process started, in milliseconds; 0: unknown.
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
        /// The host.
        host: u64,
        /// The seed of its random generator.
        rng_seed: u64,
        /// Its settings.
        boot_info: Box<RawSettings>,
    },
    /// An endpoint list to which [`WireEvent::Fleet`] refers.
    Page {
        /// The number of the list.
        table: u64,
        /// Its entries.
        #[serde(default)]
        hosts: Vec<Entry>,
    },
    /// An endpoint list for a host, or the loss of discovery.
    Fleet {
        /// The host.
        host: u64,
        /// The number of the list.
        #[serde(default)]
        table: u64,
        /// What kind of list it is.
        mode: String,
    },
    /// A request.
    #[serde(rename_all = "kebab-case")]
    Accept {
        /// The host.
        host: u64,
        /// The request.
        id: u64,
        /// Its work, in units.
        quota_units: f64,
        /// How long its client waits, in milliseconds.
        #[serde(rename = "ttl")]
        timeout: f64,
        /// Its plan.
        #[serde(default)]
        grade: String,
        /// Its request class.
        #[serde(default)]
        profile: String,
        /// Its volume.
        #[serde(default)]
        store_user: String,
        /// Its shard; negative: none.
        #[serde(default = "no_shard")]
        lies_in: i64,
        /// Its object.
        #[serde(default)]
        object: Option<String>,
        /// How many hosts serve its volume.
        #[serde(default)]
        mounts: u32,
    },
    /// A timer of the scheduler.
    Timer {
        /// The host.
        host: u64,
        /// The timer.
        name: u64,
    },
    /// A client disconnected.
    Dropped {
        /// The host.
        host: u64,
        /// The request.
        id: u64,
    },
    /// A host is killed.
    Detach {
        /// The host.
        host: u64,
    },
    /// A peer message.
    #[serde(rename = "Heard")]
    PeerMessage {
        /// The host.
        host: u64,
        /// The sending host.
        src: u32,
        /// The message, as base64.
        octets: String,
    },
    /// An attempt ended.
    #[serde(rename_all = "kebab-case")]
    Resolved {
        /// The host.
        host: u64,
        /// The request.
        id: u64,
        /// The latency in milliseconds.
        #[serde(default)]
        spent: f64,
        /// The attempt.
        #[serde(default)]
        attempt: u32,
        /// Its outcome.
        state_code: String,
        /// Its node.
        node: String,
        /// The request is finished.
        #[serde(default)]
        complete: bool,
        /// One more than the used percentage; 0: unknown.
        #[serde(default)]
        metered: u32,
    },
    /// A response began.
    AckFirst {
        /// The host.
        host: u64,
        /// The request.
        id: u64,
        /// Its node.
        node: String,
        /// The latency in milliseconds.
        #[serde(default)]
        spent: f64,
    },
    /// Any other event, which is ignored.
    #[serde(other)]
    Unknown,
}

/// The number for "no shard".
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
