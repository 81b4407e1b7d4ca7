//! Applies a configuration change while requests are served.

use crate::scheduler::final_answer::shed;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{
    CrossZoneBudget, FleetMembership, Plan, RequestId, VolumeAllocation, VolumeId, demand_report,
};

/// What changes, as in `Event::ConfigChanged`.
pub(crate) struct ConfigChange {
    pub(crate) plans: Vec<Plan>,
    pub(crate) allocations: Vec<VolumeAllocation>,
    pub(crate) cross_zone_budgets: Vec<CrossZoneBudget>,
    pub(crate) fleet_membership: Option<FleetMembership>,
}

/// Applies plans, budgets and fleet membership, then the allocations of volumes. Up to now, volumes fill by the
/// old configuration.
pub(crate) fn apply_config_change(state: &mut SchedulerState, change: ConfigChange) {
    state.volumes.refill_all(state.now, &state.config);
    state.config.apply_change(
        change.plans,
        change.cross_zone_budgets,
        change.fleet_membership,
    );
    state.volumes.sync_budgets(state.now, &state.config);
    for allocation in &change.allocations {
        let withdrawn = state
            .volumes
            .apply_allocation(allocation, state.now, &state.config);
        if withdrawn {
            shed_waiting(state, demand_report::message_volume_id(allocation.volume));
        }
    }
}

/// Sheds the requests without an attempt of a volume that this host no longer serves.
fn shed_waiting(state: &mut SchedulerState, volume: VolumeId) {
    let of_volume = state
        .requests
        .iter()
        .filter(|open| open.request().volume == volume && open.is_first_attempt());
    let waiting: Vec<RequestId> = of_volume.map(|open| open.request().id).collect();
    for id in waiting {
        shed(state, id);
    }
}
