//! Sending of attempts to an endpoint that has room.

use super::candidate::{Candidate, best_candidate};
use super::endpoint_choice::choose_endpoint;
use super::queue::QueueKey;
use crate::scheduler::attempts::idempotency::{UnprovenExecution, send_before};
use crate::scheduler::cross_zone::budget::no_local_node;
use crate::scheduler::cross_zone::ledger::{CrossZoneBytes, charge_budgets};
use crate::scheduler::endpoint::index::Destination;
use crate::scheduler::messages::{AttemptKey, EndpointCapacity, EndpointMessage, Outgoing};
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{Action, OverrunCause, PoolId, Request, RequestId, ZoneId};
use rand_chacha::ChaCha8Rng;

/// The best request for a new object, in a pool for which the endpoint was chosen.
#[derive(Clone, Copy)]
struct NewObject {
    candidate: Candidate,
    pool: PoolId,
}

/// Sends one request to an endpoint, if the endpoint has room and a request may be sent to it. The endpoint's
/// tracker then reports its capacity again, and the next request is sent. First attempts take precedence over
/// retries.
pub(crate) fn fill_endpoint(
    state: &mut SchedulerState,
    capacity: &EndpointCapacity,
    rng: &mut ChaCha8Rng,
) {
    let chosen_for = state.endpoints.take_choices(capacity.entry.node);
    if !state.attempt_limits.allow_attempt(state.now, capacity) {
        return;
    }
    for retries in [false, true] {
        let shard_queue = QueueKey {
            retries,
            destination: Destination::Shard(capacity.entry.shard),
        };
        let shard_bound = best_candidate(state, shard_queue, capacity);
        let new_object = best_new_object(state, retries, &chosen_for, capacity);
        let preferred =
            new_object.filter(|new| takes_precedence(state, new.candidate, shard_bound));
        if let Some(new) = preferred {
            send(state, new.candidate.id, capacity);
            choose_endpoint(state, new.pool, rng);
            return;
        }
        if let Some(shard_bound) = shard_bound {
            send(state, shard_bound.id, capacity);
            return;
        }
    }
}

/// The new object with the highest value in the pools for which this endpoint was chosen.
fn best_new_object(
    state: &mut SchedulerState,
    retries: bool,
    chosen_for: &[PoolId],
    capacity: &EndpointCapacity,
) -> Option<NewObject> {
    let new_objects = chosen_for.iter().filter_map(|pool| {
        let key = QueueKey {
            retries,
            destination: Destination::Pool(*pool),
        };
        let candidate = best_candidate(state, key, capacity)?;
        Some(NewObject {
            candidate,
            pool: *pool,
        })
    });
    new_objects.max_by(|left, right| left.candidate.value.total_cmp(&right.candidate.value))
}

/// Whether a new object takes precedence over the best request for this endpoint's shard. Until half of the
/// time to its objective deadline has elapsed, the new object yields, since another endpoint may take it. Where
/// data is distributed unevenly, new objects would otherwise displace requests that only one shard can serve.
fn takes_precedence(
    state: &SchedulerState,
    new: Candidate,
    shard_bound: Option<Candidate>,
) -> bool {
    let Some(shard_bound) = shard_bound else {
        return true;
    };
    let half_time_passed = state
        .requests
        .expect_open(new.id)
        .half_time_passed(state.now);
    new.value > shard_bound.value && half_time_passed
}

fn send(state: &mut SchedulerState, id: RequestId, capacity: &EndpointCapacity) {
    state.leave_queue(id);
    let Some(open) = state.requests.get(id) else {
        return;
    };
    let request = open.request().clone();
    let time_out = open.objective_deadline() - state.now;
    let key = AttemptKey {
        request: id,
        attempt: open.attempts_sent(),
    };
    let idempotency = state.class_of(&request).idempotency;
    let send_before = send_before(open.unproven_execution(), idempotency);
    if key.attempt == 0 {
        state.spend(&request);
    }
    record_sent(state, key, &request, capacity);
    state.actions.push(Action::StartAttempt {
        id,
        node: capacity.entry.node,
        time_out: Some(time_out),
        send_before,
    });
    charge_cross_zone(state, key, &request, capacity.entry.zone);
}

/// Records an attempt in the attempt limits and the request table, and posts it to the endpoint's tracker.
fn record_sent(
    state: &mut SchedulerState,
    key: AttemptKey,
    request: &Request,
    capacity: &EndpointCapacity,
) {
    let class = state.class_of(request);
    let latency_objective = state.objectives.objective_at_node(class);
    state
        .attempt_limits
        .record_sent(state.now, &state.config, key, capacity, latency_objective);
    let execution = UnprovenExecution {
        attempt: key.attempt,
        shard: capacity.entry.shard,
        zone: capacity.entry.zone,
        sent_at: state.now,
    };
    state.requests.record_sent(key.request, execution);
    state.outbox.push_back(Outgoing {
        to: capacity.entry.node,
        message: EndpointMessage::AttemptSent {
            key,
            units: request.units,
            latency_objective,
        },
    });
}

/// Charges the request's bytes to the cross-zone budgets if the attempt leaves this host's zone.
fn charge_cross_zone(state: &mut SchedulerState, key: AttemptKey, request: &Request, to: ZoneId) {
    let Some(own_zone) = state.config.zone else {
        return;
    };
    let no_local_cause = if request.shard.is_none() {
        no_local_node(state, request.pool)
    } else {
        None
    };
    let default_cause = if key.attempt == 0 {
        OverrunCause::DataPlacement
    } else {
        OverrunCause::Retry
    };
    let sent = CrossZoneBytes {
        id: key.request,
        plan: request.plan,
        from: own_zone,
        to,
        bytes: request.bytes,
        cause: no_local_cause.unwrap_or(default_cause),
    };
    charge_budgets(state, &sent);
}
