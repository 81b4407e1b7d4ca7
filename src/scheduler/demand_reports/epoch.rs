//! Epochs: the regular review of all volumes, at multiples of [`EPOCH`] on the hosts' common clock. A review
//! refills the volumes, updates estimates, removes entries that are no longer needed and searches for other
//! hosts.

use super::peer_messages::register_user;
use crate::scheduler::intervals::EPOCH;
use crate::scheduler::messages::EPOCH_TIMER;
use crate::scheduler::state::SchedulerState;
use crate::scheduler::volume::search::directory_retention;
use crate::scheduler::volume::table::VolumeSearch;
use gullsail_scheduler_api::{Action, Instant, demand_report};

/// Starts an epoch and sets the timer for the next one.
pub(crate) fn start_epoch(state: &mut SchedulerState) {
    let now = state.now;
    let next_epoch = now.micros().div_euclid(EPOCH.micros()) + 1;
    state.actions.push(Action::SetTimer {
        id: EPOCH_TIMER,
        at: Instant::from_micros(next_epoch * EPOCH.micros()),
    });
    state.requests.remove_idle_objects(now);
    state.endpoints.remove_expired(now);
    state.directory.remove_expired(now, directory_retention());
    let requests = &state.requests;
    state.volumes.remove_unused(now, |volume| {
        requests.iter().any(|open| open.request().volume == volume)
    });
    let review = state.volumes.review(now, &state.config);
    state
        .fleet_demand
        .update(review.demand, state.endpoints.shard_count(), &state.config);
    for search in review.searches {
        search_peers(state, &search);
    }
}

/// Asks a directory host for the other hosts of a volume.
fn search_peers(state: &mut SchedulerState, search: &VolumeSearch) {
    let to = search.directory_host;
    if to == state.config.host_id {
        register_user(state, to, search.volume);
        return;
    }
    state.actions.push(Action::SendToPeer {
        to,
        bytes: demand_report::pack_search(search.volume),
    });
}
