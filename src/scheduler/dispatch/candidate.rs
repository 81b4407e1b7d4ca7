//! The choice of the request that goes to an endpoint with room: the one with the most value per unit among
//! those that may be sent there now; of equal value, the one with the least time left.

use super::queue::{QueueKey, WaitingRequest};
use crate::scheduler::attempts::idempotency::may_repeat_at;
use crate::scheduler::cross_zone::budget::may_cross;
use crate::scheduler::endpoint::health::MEDIAN_TO_MEAN_LATENCY;
use crate::scheduler::messages::EndpointCapacity;
use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{RequestClass, RequestId, Span, demand_report};

/// Requests looked at in each group of a queue. The first may be too large for the endpoint, or wait for an
/// earlier request of its object. More of them cost processor time at each choice.
const CANDIDATES_PER_GROUP: usize = 4;

/// The best request of a queue for an endpoint, with the value that it has per unit.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) value: f64,
    pub(crate) id: RequestId,
}

/// A waiting request with the value that it has per unit.
struct Valued<'a> {
    value: f64,
    waiting: &'a WaitingRequest,
}

/// The best candidate of one queue, if any of its requests may be sent to the endpoint now.
pub(crate) fn best_candidate(
    state: &mut SchedulerState,
    key: QueueKey,
    capacity: &EndpointCapacity,
) -> Option<Candidate> {
    refill_volumes(state, key);
    let state = &*state;
    let queue = state.queues.get(key)?;
    let first = queue.first_of_groups(CANDIDATES_PER_GROUP);
    let sendable = first.filter(|waiting| {
        let open = state.requests.known(waiting.id);
        may_send(state, waiting.id, open, capacity)
    });
    let valued = sendable.map(|waiting| Valued {
        value: value_per_unit(state, state.requests.known(waiting.id)),
        waiting,
    });
    // Of equal value, the request with the least time left is the greatest.
    let best = valued.max_by(|left, right| {
        let by_value = left.value.total_cmp(&right.value);
        by_value.then(right.waiting.cmp(left.waiting))
    });
    best.map(|best| Candidate {
        value: best.value,
        id: best.waiting.id,
    })
}

/// Brings the volumes of a queue and all cross-zone budgets up to date.
fn refill_volumes(state: &mut SchedulerState, key: QueueKey) {
    let Some(queue) = state.queues.get(key) else {
        return;
    };
    let budgets = state.config.cross_zone_budgets.iter();
    let budget_ids = budgets.map(|budget| demand_report::message_volume_id(budget.id));
    for id in queue.volumes().chain(budget_ids) {
        if let Some(volume) = state.volumes.get_mut(id) {
            volume.refill(state.now, &state.config);
        }
    }
}

/// The value of one unit of a request: full within the volume's reserve, less beyond its fair share.
fn value_per_unit(state: &SchedulerState, open: &OpenRequest) -> f64 {
    let config = &state.config;
    let volume = state.volumes.known(open.request().volume);
    let class = state.class_of(open.request());
    let full = class.priority_weight * config.plans[volume.plan().0].price;
    let within_fair_share = volume.within_fair_share(state.volumes.mean_excess());
    let factor_beyond_reserve = config.beyond_share_value
        + (config.within_share_value - config.beyond_share_value) * within_fair_share;
    full * if volume.reserve_covers(open.request().units) {
        1.0
    } else {
        factor_beyond_reserve
    }
}

/// Whether a request may have an attempt at that endpoint now.
fn may_send(
    state: &SchedulerState,
    id: RequestId,
    open: &OpenRequest,
    capacity: &EndpointCapacity,
) -> bool {
    let class = state.class_of(open.request());
    let endpoint_allows = fits_slow_start(open, capacity)
        && is_expected_in_time(state, open, capacity)
        && is_zone_allowed(state, open, capacity)
        && may_repeat_at(
            open.unproven_execution(),
            &capacity.entry,
            class.idempotency,
            state.now,
        );
    if !endpoint_allows {
        return false;
    }
    if !open.is_first_attempt() {
        return state.attempt_limits.allow_retry(&state.config);
    }
    is_next_of_object(state, id, open, class) && has_tokens(state, open)
}

fn fits_slow_start(open: &OpenRequest, capacity: &EndpointCapacity) -> bool {
    capacity.units >= open.request().units
}

/// An attempt that is expected to miss its objective is not sent. Across many hosts, such single attempts
/// would overload the endpoint.
fn is_expected_in_time(
    state: &SchedulerState,
    open: &OpenRequest,
    capacity: &EndpointCapacity,
) -> bool {
    let expected_end = state.now + capacity.latency.times(MEDIAN_TO_MEAN_LATENCY);
    expected_end <= open.objective_deadline()
}

/// Cross-zone budgets bind new objects only: the data of others lies where it lies.
fn is_zone_allowed(
    state: &SchedulerState,
    open: &OpenRequest,
    capacity: &EndpointCapacity,
) -> bool {
    open.request().shard.is_some() || may_cross(state, open, capacity.entry.zone, Span::ZERO)
}

/// Whether the order of requests on one object lets this one go, for classes that keep the order.
fn is_next_of_object(
    state: &SchedulerState,
    id: RequestId,
    open: &OpenRequest,
    class: &RequestClass,
) -> bool {
    !class.in_order
        || state
            .requests
            .is_next_of_object(id, open.request().object, state.now)
}

fn has_tokens(state: &SchedulerState, open: &OpenRequest) -> bool {
    let request = open.request();
    let volume = state.volumes.known(request.volume);
    volume.allows(request.units, &state.config)
}
