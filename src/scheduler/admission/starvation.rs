//! Whether a request would wait for its volume's tokens in vain.

use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{RequestId, SchedulerConfig};

/// True if waiting requests of the same volume that go before this one use up all tokens expected before its
/// objective deadline. Waiting would only keep the client from asking elsewhere. It is wrong if those requests
/// are shed themselves.
pub(crate) fn no_tokens_in_time(state: &mut SchedulerState, id: RequestId) -> bool {
    let Some(open) = state.requests.get(id) else {
        return false;
    };
    let Some(volume) = state.volumes.get_mut(open.request().volume) else {
        return false;
    };
    if !open.is_first_attempt() {
        return false;
    }
    let expected = volume.tokens_expected_by(state.now, open.objective_deadline(), &state.config);
    if volume.waiting_units() <= expected {
        return false;
    }
    let others = state.requests.iter();
    let before = others.filter(|other| goes_before(other, open, &state.config));
    let units_before: f64 = before.map(|other| other.request().units).sum();
    units_before > expected
}

/// Whether a request waits for tokens of the same volume, needs no more of them than `open`, and ranks no lower.
fn goes_before(other: &OpenRequest, open: &OpenRequest, config: &SchedulerConfig) -> bool {
    let waits = other.is_first_attempt() && other.is_waiting();
    let same_volume = other.request().volume == open.request().volume;
    let fits = other.request().units <= open.request().units;
    waits && same_volume && fits && ranks_no_lower(other, open, config)
}

/// By the priority weight of the class, then by the time left.
fn ranks_no_lower(other: &OpenRequest, open: &OpenRequest, config: &SchedulerConfig) -> bool {
    let weight_of =
        |open: &OpenRequest| config.request_classes[open.request().request_class.0].priority_weight;
    let other_weight = weight_of(other);
    let own_weight = weight_of(open);
    other_weight > own_weight
        || (other_weight == own_weight && other.objective_deadline() <= open.objective_deadline())
}
