//! Handling of an attempt that has ended: the outcome is recorded, and the request is closed, retried or shed.

use super::idempotency::may_run_again;
use crate::scheduler::cross_zone::ledger::{CrossZoneBytes, charge_budgets};
use crate::scheduler::dispatch::review::enqueue;
use crate::scheduler::final_answer::{close, shed};
use crate::scheduler::messages::{AttemptKey, EndpointMessage, Outgoing};
use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{AttemptEnd, AttemptOutcome, OverrunCause, Span};
use rand_chacha::ChaCha8Rng;

/// Handles the end of an attempt, even if the request already has its final answer.
pub(crate) fn attempt_ended(state: &mut SchedulerState, end: &AttemptEnd, rng: &mut ChaCha8Rng) {
    record_at_endpoint(state, end);
    let Some(open) = state.requests.get(end.id) else {
        return;
    };
    let request = open.request();
    let volume = request.volume;
    if let Some(own_zone) = state.config.zone {
        let answer = CrossZoneBytes {
            id: end.id,
            plan: request.plan,
            from: end.zone,
            to: own_zone,
            bytes: end.bytes,
            cause: OverrunCause::DataPlacement,
        };
        charge_budgets(state, &answer);
    }
    if let (Some(used), Some(volume)) = (end.used, state.volumes.get_mut(volume)) {
        volume.record_fleet_usage(used, &state.config);
    }
    state
        .requests
        .record_ended(end, state.now + state.config.order_settle);
    let Some(open) = state.requests.get(end.id) else {
        return;
    };
    if open.is_answered() || end.finished {
        close(state, end.id);
    } else if is_retry_useful(state, open, end) && is_retry_safe(state, open) {
        enqueue(state, end.id, rng);
    } else {
        shed(state, end.id);
    }
}

/// Passes the outcome to the endpoint's tracker and to the limits over all attempts.
fn record_at_endpoint(state: &mut SchedulerState, end: &AttemptEnd) {
    let key = AttemptKey {
        request: end.id,
        attempt: end.attempt,
    };
    state.outbox.push_back(Outgoing {
        to: end.node,
        message: EndpointMessage::AttemptEnded {
            key,
            outcome: end.outcome,
            latency: end.latency,
        },
    });
    let capacity = state.endpoints.capacity(end.node);
    let recently_degraded = capacity.is_none_or(|capacity| capacity.recently_degraded);
    state
        .attempt_limits
        .record_ended(state.now, key, end, recently_degraded);
}

/// Whether a retry could still meet the objective deadline and the request has attempts left. There is no retry
/// after a timeout, since it would mostly do the same work twice.
fn is_retry_useful(state: &SchedulerState, open: &OpenRequest, end: &AttemptEnd) -> bool {
    let capacity = state.endpoints.capacity(end.node);
    let latency = capacity.map_or(Span::ZERO, |capacity| capacity.latency);
    let in_time = state.now + latency < open.objective_deadline();
    in_time
        && end.outcome != AttemptOutcome::TimedOut
        && open.attempts_sent() < state.config.max_attempts
}

fn is_retry_safe(state: &SchedulerState, open: &OpenRequest) -> bool {
    let class = state.class_of(open.request());
    may_run_again(open.unproven_execution(), class.idempotency, state.now)
}
