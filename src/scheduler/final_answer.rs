//! Final answers that the scheduler gives without an endpoint, and the closing of requests. A request is shed
//! when it enters a queue or its queue is reviewed and it cannot be served in time (`dispatch::review`), after
//! a failed attempt that may not be retried (`attempts::outcome`), at its deadline (`request_scheduler`), and
//! when its volume is withdrawn from this host (`admission::config_change`).

use super::attempts::idempotency::is_safe_anywhere;
use super::endpoint::index::Destination;
use super::intervals::EPOCH;
use super::state::SchedulerState;
use gullsail_scheduler_api::{Action, Request, RequestId, Span};

/// Gives a request its final answer at once. The request is rejected if the client may safely repeat it, and
/// failed otherwise.
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

/// The delay before a client should retry: the time until the volume has tokens for the request, but at least
/// the lowest expected latency of the shard's endpoints, and at most the configured maximum. For a new object,
/// one epoch stands in for the latency. `None` if the configuration sets no maximum.
fn retry_after(state: &SchedulerState, request: &Request) -> Option<Span> {
    let max_delay = state.config.max_retry_after?;
    let volume = state.volumes.get(request.volume);
    let until_tokens = volume.map_or(EPOCH, |volume| {
        volume.time_until_tokens(request.units, &state.config)
    });
    let latency = request.shard.map_or(EPOCH, |shard| {
        state.endpoints.least_latency(Destination::Shard(shard))
    });
    Some(latency.max(until_tokens).min(max_delay))
}

/// Closes a request whose client has its answer or has disconnected. The request stays in the table until no
/// attempt is in flight.
pub(super) fn close(state: &mut SchedulerState, id: RequestId) {
    state.leave_queue(id);
    state.requests.close(id);
}
