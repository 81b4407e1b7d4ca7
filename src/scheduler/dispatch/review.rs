//! Entry into a wait queue and the review of a queue. A review sheds the requests that can no longer meet their
//! objective, requests tokens for the others, and asks endpoints for their capacity.

use super::endpoint_choice::choose_endpoint;
use super::queue::QueueKey;
use crate::scheduler::admission::starvation::no_tokens_in_time;
use crate::scheduler::attempts::idempotency::{is_bound_to_shard, may_run_again};
use crate::scheduler::cross_zone::budget::{budgets_needing_tokens, unservable_requests};
use crate::scheduler::demand_reports::token_request::request_tokens;
use crate::scheduler::endpoint::health::MEDIAN_TO_MEAN_LATENCY;
use crate::scheduler::endpoint::index::Destination;
use crate::scheduler::final_answer::shed;
use crate::scheduler::intervals::QUEUE_REVIEW_INTERVAL;
use crate::scheduler::messages::Outgoing;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{Action, Instant, RequestId, VolumeId};
use rand_chacha::ChaCha8Rng;

/// Puts a request into its queue, for its first attempt or for a retry, and reviews the queue. Sheds the
/// request if it would get no tokens in time.
pub(crate) fn enqueue(state: &mut SchedulerState, id: RequestId, rng: &mut ChaCha8Rng) {
    let Some(key) = queue_key(state, id) else {
        return;
    };
    state.enter_queue(id, key);
    if no_tokens_in_time(state, id) {
        shed(state, id);
    } else {
        review_queue(state, key, state.now, rng);
    }
}

/// The queue for a request. If only one shard recognises the idempotency key of a retry, the retry waits for
/// that shard.
fn queue_key(state: &SchedulerState, id: RequestId) -> Option<QueueKey> {
    let open = state.requests.get(id)?;
    let request = open.request();
    let execution = open.unproven_execution();
    let bound_to = execution.filter(|_| is_bound_to_shard(state.class_of(request)));
    let shard = request.shard.or(bound_to.map(|execution| execution.shard));
    Some(QueueKey {
        retries: !open.is_first_attempt(),
        destination: shard.map_or(Destination::Pool(request.pool), Destination::Shard),
    })
}

/// Reviews a queue after its review timer has fired. Requests that even the fastest endpoint of the destination
/// is not expected to answer in time are shed.
pub(crate) fn review_queue_on_timer(
    state: &mut SchedulerState,
    key: QueueKey,
    rng: &mut ChaCha8Rng,
) {
    let least_latency = state.endpoints.least_latency(key.destination);
    let soonest = least_latency.times(MEDIAN_TO_MEAN_LATENCY);
    let earliest_completion = state.now + soonest.max(QUEUE_REVIEW_INTERVAL);
    review_queue(state, key, earliest_completion, rng);
}

/// Reviews a queue. Requests whose objective deadline is not after `earliest_completion` are shed.
fn review_queue(
    state: &mut SchedulerState,
    key: QueueKey,
    earliest_completion: Instant,
    rng: &mut ChaCha8Rng,
) {
    if state.queues.get(key).is_none() {
        return;
    }
    let to_shed = requests_to_shed(state, key, earliest_completion);
    let budgets = budgets_short_of_tokens(state, key);
    for id in to_shed {
        shed(state, id);
    }
    set_review_timer(state, key);
    let Some(queue) = state.queues.get(key) else {
        return;
    };
    let volumes: Vec<VolumeId> = queue.volumes().collect();
    for volume in budgets.into_iter().chain(volumes) {
        request_tokens(state, volume);
    }
    request_capacity(state, key.destination, rng);
}

/// The requests of a queue that cannot be served in time, have no endpoint to go to, or may no longer be repeated.
fn requests_to_shed(
    state: &SchedulerState,
    key: QueueKey,
    earliest_completion: Instant,
) -> Vec<RequestId> {
    let Some(queue) = state.queues.get(key) else {
        return Vec::new();
    };
    let unreachable = state.endpoints.is_unreachable(key.destination, state.now);
    let mut to_shed = if unreachable {
        queue.ids().collect()
    } else {
        queue.due_by(earliest_completion)
    };
    if key.retries {
        to_shed.extend(queue.ids().filter(|id| !may_still_run_again(state, *id)));
    }
    if let Destination::Pool(pool) = key.destination {
        to_shed.extend(unservable_requests(state, key, pool));
    }
    to_shed
}

fn may_still_run_again(state: &SchedulerState, id: RequestId) -> bool {
    let open = state.requests.expect_open(id);
    let class = state.class_of(open.request());
    may_run_again(open.unproven_execution(), class.idempotency, state.now)
}

/// The cross-zone budgets from which requests of a queue need tokens.
fn budgets_short_of_tokens(state: &mut SchedulerState, key: QueueKey) -> Vec<VolumeId> {
    match key.destination {
        Destination::Pool(pool) if state.config.zone.is_some() => {
            budgets_needing_tokens(state, key, pool)
        }
        _ => Vec::new(),
    }
}

fn set_review_timer(state: &mut SchedulerState, key: QueueKey) {
    if let Some(id) = state.queues.new_timer(key) {
        let at = state.now + QUEUE_REVIEW_INTERVAL;
        state.actions.push(Action::SetTimer { id, at });
    }
}

/// Asks endpoints that could serve a waiting request for their capacity.
fn request_capacity(state: &mut SchedulerState, destination: Destination, rng: &mut ChaCha8Rng) {
    match destination {
        Destination::Shard(shard) => {
            let nodes = state.endpoints.nodes_of_shard(shard);
            state.outbox.extend(nodes.map(Outgoing::capacity_requested));
        }
        Destination::Pool(pool) => choose_endpoint(state, pool, rng),
    }
}
