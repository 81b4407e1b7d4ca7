//! The operators' settings, as they stand in the simulator's first message and in a host's configuration,
//! made into [`SchedulerConfig`]. Both routes come through here, so both give the scheduler the same. Read
//! [`config`] for what becomes of the settings, [`Names`] for what stands behind the numbers, `validation`
//! for settings that contradict each other. Keys that are not known are skipped.

mod names;
mod raw;
mod validation;

use gullsail_scheduler_api::{
    HostId, Idempotency, IdempotencyScope, Limit, Plan, RequestClass, RetryBudget, SchedulerConfig,
    SlowStart, Span,
};
pub use names::{Names, Problem, hash};
use raw::{Policy, Profile, Rules};
pub use raw::{RawSettings, Reach};
pub use validation::Contradiction;

/// The configuration of a scheduler, and the names behind its numbers.
///
/// # Errors
/// A setting has a word that is not known.
pub fn config(raw: &RawSettings) -> Result<(SchedulerConfig, Names), Problem> {
    let config = SchedulerConfig {
        slow_start_share: None,
        probe_interval: Span::ZERO,
        me: HostId(raw.rank),
        hosts: raw.peers_total,
        tick: Span::from_millis(raw.tick),
        request_classes: raw
            .profiles
            .iter()
            .map(request_class)
            .collect::<Result<_, _>>()?,
        plans: plans(&raw.policies),
        slow_start: SlowStart {
            units: raw.family_info.cold_units,
            window: Span::from_millis(raw.rules.overload_for),
            initial_fraction: raw.rules.start_capacity,
            ramp: Span::from_millis(raw.rules.ramp_time),
        },
        retry_budget: retry_budget(&raw.rules),
        connect_wait: Span::ZERO,
        order_settle: Span::from_millis(raw.rules.order_settle),
        max_attempts: raw.limits.max_attempts,
        max_units: raw.family_info.max_units,
        within_share_value: raw.family_info.within_share,
        beyond_share_value: raw.family_info.idle_worth,
        max_retry_after: raw
            .limits
            .retry_after
            .then_some(Span::from_millis(raw.limits.max_retry_after)),
        peer_messages_enabled: raw.limits.peer_messages,
        poll_endpoints: raw.membership_mode == "ask",
        poll_within: raw.rules.must_ask_in.map(Span::from_millis),
        zone: None,
        cross_zone_budgets: Vec::new(),
        max_bytes: 0.0,
    };
    let names = Names {
        zones: raw.failure_domains.clone(),
        plans: raw
            .policies
            .iter()
            .map(|policy| policy.name.clone())
            .collect(),
        request_classes: raw
            .profiles
            .iter()
            .map(|profile| profile.name.clone())
            .collect(),
    };
    Ok((config, names))
}

/// Where the settings have no plans, one that has neither limit nor reserve.
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
        free: rules.free_resends.unwrap_or(0.0),
        share: rules.extra_per_request.unwrap_or(0.0),
    })
}

fn request_class(profile: &Profile) -> Result<RequestClass, Problem> {
    let group = || match profile.group.as_str() {
        "all" => Ok(IdempotencyScope::All),
        "zone" => Ok(IdempotencyScope::Zone),
        "cell" => Ok(IdempotencyScope::Shard),
        other => Err(Problem::unknown("group", other)),
    };
    let idempotency = match profile.idempotency.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::WithKey {
            scope: group()?,
            window: Span::from_millis(profile.window),
        },
        "side_effect" => Idempotency::NonIdempotent,
        other => return Err(Problem::unknown("effect", other)),
    };
    Ok(RequestClass {
        idempotency,
        latency_objective: Span::from_millis(profile.objective),
        priority_weight: profile.worth,
        late_weight: profile.late_value,
        in_order: profile.serial_by_key,
    })
}
