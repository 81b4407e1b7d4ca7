//! The operators' settings, as they stand in the bench's first message and in a host's configuration, made into
//! [`SchedulerConfig`] for the decisions. Both routes come through here, so both feed the module the same. Read [`config`] for
//! what becomes of the settings, [`Names`] for what stands behind the numbers, `sound` for settings that contradict
//! each other. Keys that are not known are skipped.

mod sound;

use gullsail_scheduler_api::*;
use serde::Deserialize;
pub use sound::Contradiction;
use std::hash::Hasher;

/// The settings of one host, by the names that the operators state them under. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Stated {
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    family_info: FamilyInfo,
    limits: Limits,
    membership_mode: String,
    peers_total: u32,
    #[serde(default)]
    policies: Vec<Policy>,
    profiles: Vec<Profile>,
    rank: u32,
    rules: Rules,
    /// The tiers' names, and which of them is this host's.
    #[serde(default)]
    stages: Vec<String>,
    #[serde(default)]
    tier: i64,
    tick: f64,
    #[serde(default)]
    zone: String,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct FamilyInfo {
    cold_units: f64,
    max_units: f64,
    within_share: f64,
    idle_worth: f64,
    slots_total: i64,
    /// Of each request class: does it write?
    writes: Vec<bool>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Limits {
    max_attempts: u32,
    #[serde(default = "quarter_second")]
    connect_timeout: f64,
    #[serde(default = "half_minute")]
    keepalive: f64,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Policy {
    name: String,
    #[serde(default)]
    limit: f64,
    #[serde(default)]
    limit_burst: f64,
    #[serde(default)]
    parts: f64,
    #[serde(default)]
    reserve: f64,
    #[serde(default)]
    nominal: f64,
    #[serde(default = "whole")]
    value_factor: f64,
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
struct Profile {
    name: String,
    #[serde(rename = "effect")]
    idempotency: String,
    /// A request's own deadline is what decides; this is the longest.
    give_up: f64,
    objective: f64,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default = "whole")]
    worth: f64,
    #[serde(default)]
    serial_by_key: bool,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    #[serde(default)]
    overload_for: f64,
    #[serde(default)]
    start_capacity: f64,
    #[serde(default)]
    ramp_time: f64,
    #[serde(default)]
    order_settle: f64,
    free_resends: Option<f64>,
    extra_per_request: Option<f64>,
    look_back: Option<f64>,
    /// Where the list is asked for: who does not ask for so long counts as told.
    must_ask_in: Option<f64>,
}

/// Something that is stated in a word that is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {what} '{found}'")]
pub struct Problem {
    what: &'static str,
    found: String,
}

impl Problem {
    pub fn unknown(what: &'static str, found: &str) -> Problem {
        Problem { what, found: found.chars().take(80).collect() }
    }
}

/// The names of one host's settings, in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub zones: Vec<String>,
    pub plans: Vec<String>,
    pub request_classes: Vec<String>,
}

impl Names {
    /// Where no plans are stated, any name is the one that has neither limit nor reserve.
    ///
    /// # Errors
    /// No plan is called so.
    pub fn plan(&self, name: &str) -> Result<PlanId, Problem> {
        if self.plans.is_empty() {
            return Ok(PlanId(0));
        }
        place(&self.plans, name).map(PlanId).ok_or_else(|| Problem::unknown("plan", name))
    }
    /// # Errors
    /// No request class is called so.
    pub fn request_class(&self, name: &str) -> Result<RequestClassId, Problem> {
        place(&self.request_classes, name)
            .map(RequestClassId)
            .ok_or_else(|| Problem::unknown("stream type", name))
    }
    /// A zone that no settings name is none of theirs, and not that of another such name: nodes of two of them must not
    /// be taken for one group that knows a keyed request's repeats.
    pub fn zone(&self, name: &str) -> ZoneId {
        ZoneId(place(&self.zones, name).unwrap_or_else(|| hash(name) as usize | 1 << (usize::BITS - 1)))
    }
}

fn place(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

/// Ids must be the same at every host and in every process, so they are hashes of the names.
pub fn hash(name: &str) -> u64 {
    let mut h = fnv::FnvHasher::default();
    h.write(name.as_bytes());
    h.finish()
}

/// What a host on sockets is told beyond the facts for the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Reach {
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

impl Stated {
    pub fn reach(&self) -> Reach {
        let longest = |of: fn(&Profile) -> f64| self.profiles.iter().map(of).fold(0.0, f64::max);
        Reach {
            longest: (Span::from_millis(longest(|p| p.give_up)), Span::from_millis(longest(|p| p.objective))),
            connect_time_out: Span::from_millis(self.limits.connect_timeout),
            keep_alive: Span::from_millis(self.limits.keepalive),
            writes: self.family_info.writes.clone(),
            shards: self.family_info.slots_total,
        }
    }
}

/// Facts for the decisions, and the names behind their numbers.
///
/// # Errors
/// Something is stated in a word that is not known.
pub fn config(b: &Stated) -> Result<(SchedulerConfig, Names), Problem> {
    let request_classes = b.profiles.iter().map(request_class).collect::<Result<_, _>>()?;
    let plans = b.policies.iter().map(|p| Plan {
        limit: (p.limit > 0.0).then_some(Limit { rate: p.limit, burst: p.limit_burst }),
        reserve: p.reserve,
        nominal_rate: p.nominal,
        weight: p.parts,
        price: p.value_factor,
    });
    let free = Plan { limit: None, reserve: 0.0, nominal_rate: 0.0, weight: 1.0, price: 1.0 };
    let plans = plans.chain(b.policies.is_empty().then_some(free));
    let retry_budget = match (b.rules.free_resends, b.rules.extra_per_request, b.rules.look_back) {
        (free, share, Some(window)) => Some(RetryBudget {
            free: free.unwrap_or(0.0),
            share: share.unwrap_or(0.0),
            window: Span::from_millis(window),
        }),
        _ => None,
    };
    let config = SchedulerConfig {
        slow_start_share: None,
        probe_interval: Span::ZERO,
        me: HostId(b.rank),
        hosts: b.peers_total,
        tick: Span::from_millis(b.tick),
        request_classes,
        plans: plans.collect(),
        slow_start: SlowStart {
            units: b.family_info.cold_units,
            window: Span::from_millis(b.rules.overload_for),
            initial_fraction: b.rules.start_capacity,
            ramp: Span::from_millis(b.rules.ramp_time),
        },
        retry_budget,
        connect_wait: Span::ZERO,
        order_settle: Span::from_millis(b.rules.order_settle),
        max_attempts: b.limits.max_attempts,
        max_units: b.family_info.max_units,
        share_part: b.family_info.within_share,
        spare_part: b.family_info.idle_worth,
        max_retry_after: b.limits.retry_after.then_some(Span::from_millis(b.limits.max_retry_after)),
        peer_messages_enabled: b.limits.peer_messages,
        poll_endpoints: b.membership_mode == "ask",
        poll_within: b.rules.must_ask_in.map(Span::from_millis),
        zone: None,
        cross_zone_budgets: Vec::new(),
        max_bytes: 0.0,
    };
    let names = Names {
        zones: b.failure_domains.clone(),
        plans: b.policies.iter().map(|p| p.name.clone()).collect(),
        request_classes: b.profiles.iter().map(|p| p.name.clone()).collect(),
    };
    Ok((config, names))
}

fn request_class(p: &Profile) -> Result<RequestClass, Problem> {
    let group = || match p.group.as_str() {
        "all" => Ok(IdempotencyScope::All),
        "zone" => Ok(IdempotencyScope::Zone),
        "cell" => Ok(IdempotencyScope::Shard),
        other => Err(Problem::unknown("group", other)),
    };
    let idempotency = match p.idempotency.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::WithKey { group: group()?, window: Span::from_millis(p.window) },
        "side_effect" => Idempotency::NonIdempotent,
        other => return Err(Problem::unknown("effect", other)),
    };
    Ok(RequestClass {
        idempotency,
        latency_objective: Span::from_millis(p.objective),
        priority_weight: p.worth,
        late_weight: p.late_value,
        in_order: p.serial_by_key,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Rule 2: nodes of zones that no settings name are not of one zone because of it.
    #[test]
    fn unknown_zones_are_no_zone_together() {
        let names = Names { zones: vec!["a".into()], ..Names::default() };
        let all = ["a", "x", "y", ""].map(|n| names.zone(n));
        assert_eq!((all[0], names.zone("x")), (ZoneId(0), all[1]));
        assert!(all.iter().enumerate().all(|(at, z)| !all[..at].contains(z)));
    }
}
