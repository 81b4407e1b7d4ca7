//! A request arrives: it is taken into the table and queued, or rejected if the configuration no longer knows
//! its class or plan.

use crate::scheduler::dispatch::review::enqueue;
use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{
    Action, Instant, Request, RequestClass, SchedulerConfig, TimerId, demand_report,
};
use rand_chacha::ChaCha8Rng;

/// Takes in a request that has just arrived.
pub(crate) fn admit(state: &mut SchedulerState, mut request: Request, rng: &mut ChaCha8Rng) {
    request.volume = demand_report::message_volume_id(request.volume);
    let now = state.now;
    let id = request.id;
    let Some(class) = known_class(&state.config, &request) else {
        // The request never ran, and nothing below would ever answer it.
        state.actions.push(Action::Reject {
            id,
            retry_after: state.config.max_retry_after,
        });
        return;
    };
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

/// The class of a request, if the configuration knows it and the request's plan.
fn known_class<'a>(config: &'a SchedulerConfig, request: &Request) -> Option<&'a RequestClass> {
    let class = config.request_classes.get(request.request_class.0)?;
    config.plans.get(request.plan.0)?;
    Some(class)
}

/// When the final answer is given at the latest. A timer may fire late by one tick; the other tick is for the
/// answer's way to the client.
fn answer_deadline(request: &Request, now: Instant, config: &SchedulerConfig) -> Instant {
    now + request.timeout - config.tick - config.tick
}
