//! Arrival of a request: the request is added to the table and queued, or rejected if the configuration no
//! longer has its class or plan.

use crate::scheduler::dispatch::review::enqueue;
use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{
    Action, Instant, Request, RequestClass, RequestId, SchedulerConfig, TimerId, demand_report,
};
use rand_chacha::ChaCha8Rng;

/// Handles a request that has just arrived.
pub(crate) fn admit(state: &mut SchedulerState, mut request: Request, rng: &mut ChaCha8Rng) {
    request.volume = demand_report::message_volume_id(request.volume);
    let now = state.now;
    let id = request.id;
    let Some(class) = configured_class(&state.config, &request) else {
        return reject_unseen(state, id);
    };
    let requests = &state.requests;
    let open_volumes = || requests.iter().map(|open| open.request().volume).collect();
    let volumes = &mut state.volumes;
    if !volumes.has_room_for(request.volume, now, &state.config, open_volumes) {
        return reject_unseen(state, id);
    }
    // No client waits longer than its class states. Otherwise one that claims to would set a timer for that long, and
    // make all other requests of its class look like late retries.
    request.timeout = class
        .max_timeout
        .map_or(request.timeout, |longest| request.timeout.min(longest));
    state.attempt_limits.record_arrival(now, &state.config);
    let deadline = answer_deadline(&request, now, &state.config);
    let time_left = state.objectives.time_left(&request, class);
    let objective_deadline = time_left.map_or(deadline, |left| now + left);
    let keeps_order = class.in_order;
    state.volumes.record_arrival(&request, now, &state.config);
    state.actions.push(Action::SetTimer {
        id: TimerId(id.0),
        at: deadline,
    });
    let open = OpenRequest::new(request, now, objective_deadline);
    state.requests.insert(id, open, keeps_order);
    enqueue(state, id, rng);
}

/// Rejects a request that is not added to the table, so no later event would answer it. It never ran, so a rejection is
/// safe.
fn reject_unseen(state: &mut SchedulerState, id: RequestId) {
    state.actions.push(Action::Reject {
        id,
        retry_after: state.config.max_retry_after,
    });
}

/// The class of a request; `None` if the configuration lacks the class or the request's plan.
fn configured_class<'a>(
    config: &'a SchedulerConfig,
    request: &Request,
) -> Option<&'a RequestClass> {
    let class = config.request_classes.get(request.request_class.0)?;
    config.plans.get(request.plan.0)?;
    Some(class)
}

/// The time by which the scheduler gives the final answer. It is two ticks before the request times out: a
/// timer may fire one tick late, and the answer may take another tick to reach the client.
fn answer_deadline(request: &Request, now: Instant, config: &SchedulerConfig) -> Instant {
    now + request.timeout - config.tick - config.tick
}
