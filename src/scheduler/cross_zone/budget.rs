//! What may cross between zones, which waiting requests have nowhere to go, and which budgets need tokens.

use crate::scheduler::dispatch::queue::QueueKey;
use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{
    BudgetScope, OverrunCause, PlanId, PoolId, RequestId, SchedulerConfig, Span, VolumeId, ZoneId,
    demand_report,
};
use std::collections::BTreeSet;

/// A budget that a crossing counts against.
pub(crate) struct AppliedBudget {
    pub(crate) id: VolumeId,
    hard: bool,
}

/// The budgets that bytes of a plan's volume count against when they go from zone to zone.
pub(crate) fn budgets_across(
    config: &SchedulerConfig,
    plan: PlanId,
    from: ZoneId,
    to: ZoneId,
) -> impl Iterator<Item = AppliedBudget> {
    let scopes = [BudgetScope::ZonePair(from, to), BudgetScope::Plan(plan)];
    let shared_here = config
        .cross_zone_budgets
        .iter()
        .filter(|budget| budget.host_count > 0);
    let applied = shared_here.filter(move |budget| from != to && scopes.contains(&budget.scope));
    applied.map(|budget| AppliedBudget {
        id: demand_report::message_volume_id(budget.id),
        hard: budget.hard,
    })
}

/// Why this host's zone has no endpoint for new objects of a pool; `None`: it has one.
pub(crate) fn no_local_node(state: &SchedulerState, pool: PoolId) -> Option<OverrunCause> {
    let own_zone = state.config.zone?;
    let of_pool = state.endpoints.capacities_of_pool(pool);
    let mut local = of_pool
        .filter(|capacity| capacity.entry.zone == own_zone)
        .peekable();
    if local.peek().is_none() {
        return Some(OverrunCause::NoLocalNode);
    }
    local
        .all(|capacity| capacity.silent)
        .then_some(OverrunCause::LocalNodesSilent)
}

/// Whether a new object may go to that zone, with the tokens that there will be after a time. It stays in this
/// host's zone until half of its time is over, unless no endpoint there takes it. It needs tokens of every
/// budget that applies; a soft budget may be overrun where no local endpoint takes the object.
pub(crate) fn may_cross(
    state: &SchedulerState,
    open: &OpenRequest,
    zone: ZoneId,
    within: Span,
) -> bool {
    let Some(own_zone) = state.config.zone.filter(|own| *own != zone) else {
        return true;
    };
    let request = open.request();
    let is_forced = no_local_node(state, request.pool).is_some();
    if !is_forced && !open.half_time_passed(state.now) {
        return false;
    }
    let allows = |budget: AppliedBudget| {
        let volume = state.volumes.known(budget.id);
        let tokens = volume.tokens_after(within, &state.config);
        (is_forced && !budget.hard) || tokens >= request.bytes
    };
    budgets_across(&state.config, request.plan, own_zone, zone).all(allows)
}

/// Requests that wait for a pool without a local endpoint, and that get no tokens in time to go elsewhere.
pub(crate) fn without_destination(
    state: &SchedulerState,
    key: QueueKey,
    pool: PoolId,
) -> Vec<RequestId> {
    let Some(own_zone) = state.config.zone else {
        return Vec::new();
    };
    if no_local_node(state, pool).is_none() {
        return Vec::new();
    }
    let of_pool = state.endpoints.capacities_of_pool(pool);
    let zones = of_pool.map(|capacity| capacity.entry.zone);
    let other_zones: BTreeSet<ZoneId> = zones.filter(|zone| *zone != own_zone).collect();
    let may_wait = |open: &OpenRequest| {
        let left = open.objective_deadline() - state.now;
        other_zones.is_empty()
            || other_zones
                .iter()
                .any(|zone| may_cross(state, open, *zone, left))
    };
    let queue = state.queues.get(key).into_iter();
    let waiting = queue.flat_map(|queue| queue.ids());
    waiting
        .filter(|id| !may_wait(state.requests.known(*id)))
        .collect()
}

/// The budgets for which a pool's queue needs tokens, once some request in it may leave the zone. The bytes
/// that wait are noted at each of them.
pub(crate) fn budgets_wanted(
    state: &mut SchedulerState,
    key: QueueKey,
    pool: PoolId,
) -> Vec<VolumeId> {
    let Some(queue) = state.queues.get(key) else {
        return Vec::new();
    };
    let waiting: Vec<_> = queue.ids().map(|id| state.requests.known(id)).collect();
    let is_forced = no_local_node(state, pool).is_some();
    let any_may_leave = waiting
        .iter()
        .any(|open| is_forced || open.half_time_passed(state.now));
    if !any_may_leave {
        return Vec::new();
    }
    let bytes = waiting.iter().map(|open| open.request().bytes).sum::<f64>();
    let budgets = state.config.cross_zone_budgets.iter();
    let shared_here = budgets.filter(|budget| budget.host_count > 0);
    let wanted: Vec<_> = shared_here
        .map(|budget| demand_report::message_volume_id(budget.id))
        .collect();
    for id in &wanted {
        if let Some(budget) = state.volumes.get_mut(*id) {
            budget.set_waiting_bytes(bytes);
        }
    }
    wanted
}
