//! Sending an attempt to an endpoint that has room.

use super::candidate::{Candidate, best_candidate};
use super::endpoint_choice::choose_endpoint;
use super::queue::QueueKey;
use crate::scheduler::attempts::idempotency::UnprovenExecution;
use crate::scheduler::cross_zone::budget::no_local_node;
use crate::scheduler::cross_zone::ledger::{CrossZoneBytes, charge_budgets};
use crate::scheduler::endpoint::index::Destination;
use crate::scheduler::messages::{AttemptKey, EndpointCapacity, EndpointMessage, Outgoing};
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{Action, OverrunCause, PoolId, Request, RequestId, ZoneId};
use rand_chacha::ChaCha8Rng;

/// The best new object for an endpoint that was chosen for its pool.
#[derive(Clone, Copy)]
struct NewObject {
    candidate: Candidate,
    pool: PoolId,
}

/// Sends an endpoint one request, if it has room and any request may go to it. First attempts go before
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
        let of_shard = QueueKey {
            retries,
            destination: Destination::Shard(capacity.entry.shard),
        };
        let bound = best_candidate(state, of_shard, capacity);
        let new_object = best_new_object(state, retries, &chosen_for, capacity);
        let preferred = new_object.filter(|new| goes_before(state, new.candidate, bound));
        if let Some(new) = preferred {
            send(state, new.candidate.id, capacity);
            choose_endpoint(state, new.pool, rng);
            return;
        }
        if let Some(bound) = bound {
            send(state, bound.id, capacity);
            return;
        }
    }
}

/// The new object of most value in the pools for which this endpoint was chosen.
fn best_new_object(
    state: &mut SchedulerState,
    retries: bool,
    chosen_for: &[PoolId],
    capacity: &EndpointCapacity,
) -> Option<NewObject> {
    let of_pools = chosen_for.iter().filter_map(|pool| {
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
    of_pools.max_by(|left, right| left.candidate.value.total_cmp(&right.candidate.value))
}

/// Whether a new object goes before a request that is bound to this endpoint's shard. It yields until half of
/// its time is over, since it can wait for an endpoint that no bound request waits for. Where data lies
/// unevenly, new objects would otherwise displace requests that have one endpoint only.
fn goes_before(state: &SchedulerState, new: Candidate, bound: Option<Candidate>) -> bool {
    let Some(bound) = bound else {
        return true;
    };
    let half_time_passed = state.requests.known(new.id).half_time_passed(state.now);
    new.value > bound.value && half_time_passed
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
    if key.attempt == 0 {
        state.spend(&request);
    }
    record_sent(state, key, &request, capacity);
    state.actions.push(Action::StartAttempt {
        id,
        node: capacity.entry.node,
        time_out: Some(time_out),
    });
    charge_cross_zone(state, key, &request, capacity.entry.zone);
}

/// Notes the attempt at the limits, at its request and at the endpoint's tracker.
fn record_sent(
    state: &mut SchedulerState,
    key: AttemptKey,
    request: &Request,
    capacity: &EndpointCapacity,
) {
    let class = state.class_of(request);
    let latency_objective = state.objectives.at_node(class);
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

/// Charges the attempt's bytes to the cross-zone budgets if it leaves this host's zone.
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
