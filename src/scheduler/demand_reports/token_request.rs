//! Requests for tokens to the other hosts of a volume.

use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::demand_report::{self, VolumeDemand};
use gullsail_scheduler_api::{Action, VolumeId};

/// Asks the next peers in turn for tokens, if more units wait for the volume than there are tokens.
pub(crate) fn request_tokens(state: &mut SchedulerState, id: VolumeId) {
    let Some(volume) = state.volumes.get_mut(id) else {
        return;
    };
    let Some(request) = volume.token_request(state.now, &state.config) else {
        return;
    };
    let report = VolumeDemand {
        volume: id,
        demand: request.demand,
        wanted: request.wanted,
        lent: 0.0,
    };
    let bytes = demand_report::pack_report(state.now, &[report]);
    let sends = request.lenders.iter().map(|to| Action::SendToPeer {
        to: *to,
        bytes: bytes.clone(),
    });
    state.actions.extend(sends);
}
