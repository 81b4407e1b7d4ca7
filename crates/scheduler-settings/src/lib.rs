//! Translates the operators' settings to a [`SchedulerConfig`]. The settings are part of the simulator's first
//! message and of a host's configuration file. Both use this crate, so equal settings give equal configurations.
//! Unknown keys are ignored.
//!
//! [`config`] makes the configuration, [`Names`] holds the names that its ids stand for, and `validation` finds
//! settings that contradict each other.

mod names;
mod raw;
mod validation;

use gullsail_scheduler_api::{
    HostId, Idempotency, IdempotencyScope, Limit, Plan, RequestClass, RetryBudget, SchedulerConfig,
    SlowStart, Span,
};
pub use names::{Names, UnknownName, hash};
pub use raw::{ConnectionSettings, RawSettings};
use raw::{Limits, Policy, Profile, Rules};
pub use validation::Contradiction;

/// Makes the configuration of a scheduler, and the names that its ids stand for.
///
/// # Errors
/// The value of a setting is an unknown word.
pub fn config(raw: &RawSettings) -> Result<(SchedulerConfig, Names), UnknownName> {
    let request_classes = raw.profiles.iter().map(request_class);
    let config = SchedulerConfig {
        slow_start_share: None,
        probe_interval: Span::ZERO,
        host_id: HostId(raw.rank),
        host_count: raw.peers_total,
        tick: Span::from_millis(raw.tick),
        request_classes: request_classes.collect::<Result<_, _>>()?,
        plans: plans(&raw.policies),
        slow_start: slow_start(raw),
        retry_budget: retry_budget(&raw.rules),
        max_connect_wait: Span::ZERO,
        order_settle: Span::from_millis(raw.rules.order_settle),
        max_attempts: raw.limits.max_attempts,
        max_units: raw.family_info.max_units,
        within_share_value: raw.family_info.within_share,
        beyond_share_value: raw.family_info.idle_worth,
        max_retry_after: max_retry_after(&raw.limits),
        peer_messages_enabled: raw.limits.peer_messages,
        poll_endpoints: raw.membership_mode == "ask",
        max_poll_interval: raw.rules.must_ask_in.map(Span::from_millis),
        zone: None,
        cross_zone_budgets: Vec::new(),
        max_bytes: 0.0,
    };
    Ok((config, names(raw)))
}

fn names(raw: &RawSettings) -> Names {
    let plans = raw.policies.iter().map(|policy| policy.name.clone());
    let request_classes = raw.profiles.iter().map(|profile| profile.name.clone());
    Names {
        zones: raw.failure_domains.clone(),
        plans: plans.collect(),
        request_classes: request_classes.collect(),
    }
}

fn slow_start(raw: &RawSettings) -> SlowStart {
    SlowStart {
        units: raw.family_info.cold_units,
        window: Span::from_millis(raw.rules.overload_for),
        initial_fraction: raw.rules.start_capacity,
        ramp: Span::from_millis(raw.rules.ramp_time),
    }
}

fn max_retry_after(limits: &Limits) -> Option<Span> {
    limits
        .retry_after
        .then(|| Span::from_millis(limits.max_retry_after))
}

/// The plans of the settings. If the settings have none, all volumes have one plan without limit and reserve.
fn plans(policies: &[Policy]) -> Vec<Plan> {
    if policies.is_empty() {
        return vec![Plan {
            limit: None,
            reserve: 0.0,
            nominal_rate: 0.0,
            weight: 1.0,
            price: 1.0,
        }];
    }
    let plan = |policy: &Policy| Plan {
        limit: (policy.limit > 0.0).then_some(Limit {
            rate: policy.limit,
            burst: policy.limit_burst,
        }),
        reserve: policy.reserve,
        nominal_rate: policy.nominal,
        weight: policy.parts,
        price: policy.value_factor,
    };
    policies.iter().map(plan).collect()
}

fn retry_budget(rules: &Rules) -> Option<RetryBudget> {
    Some(RetryBudget {
        window: Span::from_millis(rules.look_back?),
        fixed_retries: rules.free_resends.unwrap_or(0.0),
        retries_per_request: rules.extra_per_request.unwrap_or(0.0),
    })
}

fn request_class(profile: &Profile) -> Result<RequestClass, UnknownName> {
    Ok(RequestClass {
        idempotency: idempotency(profile)?,
        latency_objective: Span::from_millis(profile.objective),
        priority_weight: profile.worth,
        late_weight: profile.late_value,
        in_order: profile.serial_by_key,
        max_timeout: (profile.give_up > 0.0).then(|| Span::from_millis(profile.give_up)),
    })
}

fn idempotency(profile: &Profile) -> Result<Idempotency, UnknownName> {
    match profile.idempotency.as_str() {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::WithKey {
            scope: idempotency_scope(profile)?,
            window: Span::from_millis(profile.window),
        }),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(UnknownName::unknown("effect", other)),
    }
}

fn idempotency_scope(profile: &Profile) -> Result<IdempotencyScope, UnknownName> {
    match profile.group.as_str() {
        "all" => Ok(IdempotencyScope::All),
        "zone" => Ok(IdempotencyScope::Zone),
        "cell" => Ok(IdempotencyScope::Shard),
        other => Err(UnknownName::unknown("group", other)),
    }
}
