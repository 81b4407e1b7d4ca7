//! Detection of requests that would get no tokens of their volume before their objective deadline.

use crate::scheduler::request_table::OpenRequest;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{RequestId, SchedulerConfig};

/// Whether waiting requests of the same volume that rank before this one need more tokens than are expected
/// before its objective deadline. Shedding the request then lets the client try another host. The result is
/// wrong if the requests before it are shed themselves.
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
    let earlier = others.filter(|other| ranks_before(other, open, &state.config));
    let earlier_units: f64 = earlier.map(|other| other.request().units).sum();
    earlier_units > expected
}

/// Whether `other` waits for tokens of the same volume, needs no more tokens than `open`, and ranks no lower.
fn ranks_before(other: &OpenRequest, open: &OpenRequest, config: &SchedulerConfig) -> bool {
    let is_waiting_for_tokens = other.is_first_attempt() && other.is_waiting();
    let same_volume = other.request().volume == open.request().volume;
    let fits = other.request().units <= open.request().units;
    is_waiting_for_tokens && same_volume && fits && ranks_no_lower(other, open, config)
}

/// Whether `other` ranks no lower than `open`. The higher priority weight of the class ranks first, then the
/// earlier objective deadline.
fn ranks_no_lower(other: &OpenRequest, open: &OpenRequest, config: &SchedulerConfig) -> bool {
    let weight_of =
        |open: &OpenRequest| config.request_classes[open.request().request_class.0].priority_weight;
    let other_weight = weight_of(other);
    let own_weight = weight_of(open);
    other_weight > own_weight
        || (other_weight == own_weight && other.objective_deadline() <= open.objective_deadline())
}
