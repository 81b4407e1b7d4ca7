//! The choice of the request to send to an endpoint with room: among the requests that may be sent there now,
//! the one with the highest value per unit; of equal value, the one with the earliest objective deadline.

use super::queue::{QueueKey, WaitingRequest};
use crate::scheduler::attempts::idempotency::may_repeat_at;
use crate::scheduler::cross_zone::budget::may_send_to_zone;
use crate::scheduler::endpoint::health::MEDIAN_TO_MEAN_LATENCY;
use crate::scheduler::messages::EndpointCapacity;
use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{RequestClass, RequestId, Span, demand_report};

/// Number of requests considered in each group of a queue. There is more than one because the first request may
/// be too large for the endpoint, or wait for an earlier request on its object. A larger number costs more
/// processor time at each choice.
const CANDIDATES_PER_GROUP: usize = 4;

/// The best request of a queue for an endpoint, with its value per unit.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) value: f64,
    pub(crate) id: RequestId,
}

/// A waiting request with its value per unit.
struct ValuedRequest<'a> {
    value: f64,
    waiting: &'a WaitingRequest,
}

/// The best candidate of one queue; `None` if none of its considered requests may be sent to the endpoint now.
pub(crate) fn best_candidate(
    state: &mut SchedulerState,
    key: QueueKey,
    capacity: &EndpointCapacity,
) -> Option<Candidate> {
    refill_volumes(state, key);
    let state = &*state;
    let queue = state.queues.get(key)?;
    let considered = queue.first_of_groups(CANDIDATES_PER_GROUP);
    let sendable = considered.filter(|waiting| {
        let open = state.requests.expect_open(waiting.id);
        may_send(state, waiting.id, open, capacity)
    });
    let valued = sendable.map(|waiting| ValuedRequest {
        value: value_per_unit(state, state.requests.expect_open(waiting.id)),
        waiting,
    });
    // Of equal value, the request with the earliest objective deadline is the maximum.
    let best = valued.max_by(|left, right| {
        let by_value = left.value.total_cmp(&right.value);
        by_value.then(right.waiting.cmp(left.waiting))
    });
    best.map(|best| Candidate {
        value: best.value,
        id: best.waiting.id,
    })
}

/// Refills the token buckets of a queue's volumes and of all cross-zone budgets.
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

/// The value of one unit of a request. It is full within the volume's reserve. Beyond the reserve it is
/// reduced, and reduced further the more the volume exceeds its fair share.
fn value_per_unit(state: &SchedulerState, open: &OpenRequest) -> f64 {
    let config = &state.config;
    let volume = state.volumes.expect_volume(open.request().volume);
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

/// Whether a request may be sent to an endpoint now. Beside the endpoint's conditions, a retry must be within the
/// retry budget; a first attempt needs tokens of its volume and must be the next request on its object.
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

/// Whether an attempt is expected to end by the objective deadline. Attempts that are expected to be late are
/// not sent: such attempts of many hosts together would overload the endpoint.
fn is_expected_in_time(
    state: &SchedulerState,
    open: &OpenRequest,
    capacity: &EndpointCapacity,
) -> bool {
    let expected_end = state.now + capacity.latency.times(MEDIAN_TO_MEAN_LATENCY);
    expected_end <= open.objective_deadline()
}

/// Whether a request may be sent to the endpoint's zone. Cross-zone budgets limit only new objects, since the
/// data of other requests is already stored at a shard.
fn is_zone_allowed(
    state: &SchedulerState,
    open: &OpenRequest,
    capacity: &EndpointCapacity,
) -> bool {
    open.request().shard.is_some() || may_send_to_zone(state, open, capacity.entry.zone, Span::ZERO)
}

/// Whether a request may be sent now by the order of requests on its object. True for classes without an order.
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
    let volume = state.volumes.expect_volume(request.volume);
    volume.allows(request.units, &state.config)
}
