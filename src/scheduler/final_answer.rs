//! Final answers that the scheduler gives itself, and the closing of requests. Requests are shed on arrival
//! (`admission`), when they wait in vain (`dispatch::review`), after a failed attempt that must not be followed
//! by another (`attempts::outcome`), at their deadline (`request_scheduler`), and when their volume is
//! withdrawn (`admission::config_change`).

use super::attempts::idempotency::is_safe_anywhere;
use super::endpoint::index::Destination;
use super::intervals::EPOCH;
use super::state::SchedulerState;
use gullsail_scheduler_api::{Action, Request, RequestId, Span};

/// Gives a request its final answer at once: rejected if a repeat by the client does no harm, else failed.
pub(super) fn shed(state: &mut SchedulerState, id: RequestId) {
    let Some(open) = state.requests.get(id) else {
        return;
    };
    if open.is_answered() {
        return;
    }
    let request = open.request();
    let may_reject = is_safe_anywhere(state.class_of(request)) || open.never_ran();
    let answer = if may_reject {
        Action::Reject {
            id,
            retry_after: retry_after(state, request),
        }
    } else {
        Action::Fail { id }
    };
    state.actions.push(answer);
    close(state, id);
}

/// When a client may try again: once the volume has tokens, and no sooner than an endpoint usually answers.
fn retry_after(state: &SchedulerState, request: &Request) -> Option<Span> {
    let most = state.config.max_retry_after?;
    let volume = state.volumes.get(request.volume);
    let until_tokens = volume.map_or(EPOCH, |volume| {
        volume.time_until_tokens(request.units, &state.config)
    });
    let latency = request.shard.map_or(EPOCH, |shard| {
        state.endpoints.least_latency(Destination::Shard(shard))
    });
    Some(latency.max(until_tokens).min(most))
}

/// The client has its answer or is gone. The request stays in the table until no attempt is in flight.
pub(super) fn close(state: &mut SchedulerState, id: RequestId) {
    state.leave_queue(id);
    state.requests.close(id);
}
