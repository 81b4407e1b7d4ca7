//! Rules for sending new objects to other zones: which requests may leave this host's zone, which waiting
//! requests no zone can serve in time, and which budgets need tokens.

use crate::scheduler::dispatch::queue::QueueKey;
use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{
    BudgetScope, OverrunCause, PlanId, PoolId, RequestId, SchedulerConfig, Span, VolumeId, ZoneId,
    demand_report,
};
use std::collections::BTreeSet;

/// A budget that a transfer between zones counts against.
pub(crate) struct AppliedBudget {
    pub(crate) id: VolumeId,
    hard: bool,
}

/// The budgets that apply to bytes of a plan's volume sent between two zones; none if the zones are the same.
pub(crate) fn budgets_between(
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

/// The reason why this host's zone has no usable endpoint for new objects of a pool. `None` if the zone has
/// one, or if the host has no zone.
pub(crate) fn no_local_node(state: &SchedulerState, pool: PoolId) -> Option<OverrunCause> {
    let own_zone = state.config.zone?;
    let pool_capacities = state.endpoints.capacities_of_pool(pool);
    let mut local = pool_capacities
        .filter(|capacity| capacity.entry.zone == own_zone)
        .peekable();
    if local.peek().is_none() {
        return Some(OverrunCause::NoLocalNode);
    }
    local
        .all(|capacity| capacity.silent)
        .then_some(OverrunCause::LocalNodesSilent)
}

/// Whether a new object may be sent to `zone`, counting the tokens that the budgets gain `within` a time. The
/// object stays in this host's zone until half of the time to its objective deadline has elapsed, unless the
/// zone has no usable endpoint. It needs tokens of every budget that applies. Without a usable local endpoint,
/// a soft budget may be overrun.
pub(crate) fn may_send_to_zone(
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
        let volume = state.volumes.expect_volume(budget.id);
        let tokens = volume.tokens_after(within, &state.config);
        (is_forced && !budget.hard) || tokens >= request.bytes
    };
    budgets_between(&state.config, request.plan, own_zone, zone).all(allows)
}

/// The requests of a pool's queue that no zone can serve in time: this host's zone has no usable endpoint, and
/// the budgets to other zones gain too few tokens. Without a ready endpoint in another zone, the requests wait for
/// those of this host's zone.
pub(crate) fn unservable_requests(
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
    let pool_capacities = state.endpoints.capacities_of_pool(pool);
    let zones = pool_capacities.map(|capacity| capacity.entry.zone);
    let other_zones: BTreeSet<ZoneId> = zones.filter(|zone| *zone != own_zone).collect();
    let may_wait = |open: &OpenRequest| {
        let left = open.objective_deadline() - state.now;
        other_zones.is_empty()
            || other_zones
                .iter()
                .any(|zone| may_send_to_zone(state, open, *zone, left))
    };
    let queue = state.queues.get(key).into_iter();
    let waiting = queue.flat_map(|queue| queue.ids());
    waiting
        .filter(|id| !may_wait(state.requests.expect_open(*id)))
        .collect()
}

/// All budgets of which this host has a share, once some request in a pool's queue may leave the zone; none
/// until then. Sets the waiting bytes of each of these budgets to the bytes of the whole queue.
pub(crate) fn budgets_needing_tokens(
    state: &mut SchedulerState,
    key: QueueKey,
    pool: PoolId,
) -> Vec<VolumeId> {
    let Some(queue) = state.queues.get(key) else {
        return Vec::new();
    };
    let waiting: Vec<_> = queue
        .ids()
        .map(|id| state.requests.expect_open(id))
        .collect();
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
    let budget_ids: Vec<_> = shared_here
        .map(|budget| demand_report::message_volume_id(budget.id))
        .collect();
    for id in &budget_ids {
        if let Some(budget) = state.volumes.get_mut(*id) {
            budget.set_waiting_bytes(bytes);
        }
    }
    budget_ids
}
