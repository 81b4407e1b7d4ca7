//! The settings as they are read, under the operators' keys, and the part that a host with sockets needs.

use gullsail_scheduler_api::Span;
use serde::Deserialize;

/// The settings of one host, under the operators' keys. Times are in milliseconds. The struct has a field for
/// each key of the operators' document, so it is as wide as that document.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RawSettings {
    #[serde(default)]
    pub(crate) failure_domains: Vec<String>,
    #[serde(default)]
    pub(crate) family_info: FamilyInfo,
    pub(crate) limits: Limits,
    pub(crate) membership_mode: String,
    pub(crate) peers_total: u32,
    #[serde(default)]
    pub(crate) policies: Vec<Policy>,
    pub(crate) profiles: Vec<Profile>,
    pub(crate) rank: u32,
    pub(crate) rules: Rules,
    /// The names of the tiers; `tier` is the position of this host's tier.
    #[serde(default)]
    pub(crate) stages: Vec<String>,
    #[serde(default)]
    pub(crate) tier: i64,
    pub(crate) tick: f64,
    #[serde(default)]
    pub(crate) zone: String,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct FamilyInfo {
    pub(crate) cold_units: f64,
    pub(crate) max_units: f64,
    pub(crate) within_share: f64,
    pub(crate) idle_worth: f64,
    pub(crate) slots_total: i64,
    /// For each request class, whether its requests write.
    pub(crate) writes: Vec<bool>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Limits {
    pub(crate) max_attempts: u32,
    #[serde(default = "default_connect_timeout")]
    pub(crate) connect_timeout: f64,
    #[serde(default = "default_keepalive")]
    pub(crate) keepalive: f64,
    #[serde(default)]
    pub(crate) max_retry_after: f64,
    #[serde(default)]
    pub(crate) peer_messages: bool,
    #[serde(default)]
    pub(crate) retry_after: bool,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Policy {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) limit: f64,
    #[serde(default)]
    pub(crate) limit_burst: f64,
    #[serde(default)]
    pub(crate) parts: f64,
    #[serde(default)]
    pub(crate) reserve: f64,
    #[serde(default)]
    pub(crate) nominal: f64,
    #[serde(default = "neutral_factor")]
    pub(crate) value_factor: f64,
}

/// The default of factors, which leaves the value unchanged.
fn neutral_factor() -> f64 {
    1.0
}

/// Default timeout for connecting to a node, in milliseconds.
fn default_connect_timeout() -> f64 {
    250.0
}

/// Default time for which idle connections are kept, in milliseconds.
fn default_keepalive() -> f64 {
    30_000.0
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Profile {
    pub(crate) name: String,
    #[serde(rename = "effect")]
    pub(crate) idempotency: String,
    /// The longest timeout of a request. Each request states its own.
    pub(crate) give_up: f64,
    pub(crate) objective: f64,
    #[serde(default)]
    pub(crate) group: String,
    #[serde(default)]
    pub(crate) window: f64,
    #[serde(default)]
    pub(crate) late_value: f64,
    #[serde(default = "neutral_factor")]
    pub(crate) worth: f64,
    #[serde(default)]
    pub(crate) serial_by_key: bool,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Rules {
    #[serde(default)]
    pub(crate) overload_for: f64,
    #[serde(default)]
    pub(crate) start_capacity: f64,
    #[serde(default)]
    pub(crate) ramp_time: f64,
    #[serde(default)]
    pub(crate) order_settle: f64,
    pub(crate) free_resends: Option<f64>,
    pub(crate) extra_per_request: Option<f64>,
    pub(crate) look_back: Option<f64>,
    /// Longest interval between polls of the endpoint list. A host that polls less often is treated as if it had
    /// received the updates that it missed.
    pub(crate) must_ask_in: Option<f64>,
}

/// The settings that a host with sockets needs beyond its scheduler's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Timeout for connecting to a node.
    pub connect_timeout: Span,
    /// Time after which idle connections to nodes are closed.
    pub node_idle_timeout: Span,
    /// For each request class, whether its requests write.
    pub writes: Vec<bool>,
    /// The longest timeout and the longest latency objective of all request classes.
    pub longest: (Span, Span),
    /// Number of shards, which are numbered from 0; 0: unknown.
    pub shards: i64,
}

impl RawSettings {
    /// The part that a host with sockets needs.
    pub fn connection_settings(&self) -> ConnectionSettings {
        let profiles = || self.profiles.iter();
        let timeout = profiles().map(|profile| profile.give_up);
        let objective = profiles().map(|profile| profile.objective);
        ConnectionSettings {
            longest: (longest_of(timeout), longest_of(objective)),
            connect_timeout: Span::from_millis(self.limits.connect_timeout),
            node_idle_timeout: Span::from_millis(self.limits.keepalive),
            writes: self.family_info.writes.clone(),
            shards: self.family_info.slots_total,
        }
    }
}

/// The longest of the times, which are in milliseconds; zero if there are none.
fn longest_of(times: impl Iterator<Item = f64>) -> Span {
    Span::from_millis(times.fold(0.0, f64::max))
}
