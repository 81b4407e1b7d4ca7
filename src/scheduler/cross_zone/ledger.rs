//! Charges the bytes sent between zones to the cross-zone budgets and reports overruns.

use super::budget::budgets_between;
use crate::scheduler::demand_reports::token_request::request_tokens;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{Action, OverrunCause, PlanId, RequestId, VolumeId, ZoneId};

/// Bytes sent between two zones for one request.
pub(crate) struct CrossZoneBytes {
    pub(crate) id: RequestId,
    pub(crate) plan: PlanId,
    pub(crate) from: ZoneId,
    pub(crate) to: ZoneId,
    pub(crate) bytes: f64,
    /// The cause to report if a budget is overrun.
    pub(crate) cause: OverrunCause,
}

/// Takes the bytes from every budget that applies, and reports each overrun. Does nothing within one zone.
pub(crate) fn charge_budgets(state: &mut SchedulerState, sent: &CrossZoneBytes) {
    let applied = budgets_between(&state.config, sent.plan, sent.from, sent.to);
    let budgets: Vec<VolumeId> = applied.map(|budget| budget.id).collect();
    for id in budgets {
        let Some(budget) = state.volumes.get_mut(id) else {
            continue;
        };
        let overrun = budget.charge_bytes(state.now, &state.config, sent.bytes);
        if overrun > 0.0 {
            state.actions.push(Action::BudgetOverrun {
                id: sent.id,
                cross_zone_budget: id,
                bytes: overrun,
                cause: sent.cause,
            });
        }
        request_tokens(state, id);
    }
}
