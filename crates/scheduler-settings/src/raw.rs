//! The settings as they are read, by the operators' keys, and what the sockets of a host need of them.

use gullsail_scheduler_api::Span;
use serde::Deserialize;

/// The settings of one host, by the names that the operators state them under. Times in milliseconds.
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
    /// The tiers' names, and which of them is this host's.
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
    /// Of each request class: does it write?
    pub(crate) writes: Vec<bool>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Limits {
    pub(crate) max_attempts: u32,
    #[serde(default = "quarter_second")]
    pub(crate) connect_timeout: f64,
    #[serde(default = "half_minute")]
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
    #[serde(default = "whole")]
    pub(crate) value_factor: f64,
}

fn whole() -> f64 {
    1.0
}

fn quarter_second() -> f64 {
    250.0
}

fn half_minute() -> f64 {
    30_000.0
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Profile {
    pub(crate) name: String,
    #[serde(rename = "effect")]
    pub(crate) idempotency: String,
    /// A request's own deadline is what decides; this is the longest.
    pub(crate) give_up: f64,
    pub(crate) objective: f64,
    #[serde(default)]
    pub(crate) group: String,
    #[serde(default)]
    pub(crate) window: f64,
    #[serde(default)]
    pub(crate) late_value: f64,
    #[serde(default = "whole")]
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
    /// Where the list is polled: who does not poll for so long counts as informed.
    pub(crate) must_ask_in: Option<f64>,
}

/// What a host on sockets needs beyond the configuration of its scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Reach {
    /// For a connection to a node.
    pub connect_time_out: Span,
    /// Idle connections to nodes end after this.
    pub keep_alive: Span,
    /// Of each request class: does it write?
    pub writes: Vec<bool>,
    /// The longest deadline, and the longest latency objective.
    pub longest: (Span, Span),
    /// How many shards there are, numbered from 0; 0: not told.
    pub shards: i64,
}

impl RawSettings {
    /// What the sockets of a host need.
    pub fn reach(&self) -> Reach {
        let longest = |of: fn(&Profile) -> f64| self.profiles.iter().map(of).fold(0.0, f64::max);
        Reach {
            longest: (
                Span::from_millis(longest(|p| p.give_up)),
                Span::from_millis(longest(|p| p.objective)),
            ),
            connect_time_out: Span::from_millis(self.limits.connect_timeout),
            keep_alive: Span::from_millis(self.limits.keepalive),
            writes: self.family_info.writes.clone(),
            shards: self.family_info.slots_total,
        }
    }
}
