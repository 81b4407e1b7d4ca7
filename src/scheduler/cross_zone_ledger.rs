//! The budgets between zones among the volumes: which apply to a crossing, and what was charged to them. The
//! overruns are reported from here; whether something may cross is decided in `cross_zone`.

use super::request_scheduler::RequestScheduler;
use gullsail_scheduler_api::{
    Action, BudgetScope, OverrunCause, PlanId, RequestId, VolumeId, ZoneId, demand_report,
};

/// Bytes of one request that go from zone to zone.
pub(super) struct CrossZoneBytes {
    pub(super) id: RequestId,
    pub(super) plan: PlanId,
    pub(super) from: ZoneId,
    pub(super) to: ZoneId,
    pub(super) bytes: f64,
    pub(super) cause: OverrunCause,
}

/// A budget that something counts against.
pub(super) struct AppliedBudget {
    pub(super) id: VolumeId,
    pub(super) hard: bool,
}

impl RequestScheduler {
    /// The budgets that bytes of a plan's volume from zone to zone count against.
    pub(super) fn budgets_across(
        &self,
        plan: PlanId,
        from: ZoneId,
        to: ZoneId,
    ) -> impl Iterator<Item = AppliedBudget> {
        let scopes = [BudgetScope::ZonePair(from, to), BudgetScope::Plan(plan)];
        let budgets = self.config.cross_zone_budgets.iter();
        let applied = budgets.filter(move |b| from != to && b.hosts > 0 && scopes.contains(&b.of));
        applied.map(|b| AppliedBudget {
            id: demand_report::carried(b.id),
            hard: b.hard,
        })
    }

    /// Takes bytes that cross from their budgets; an overrun is reported with its cause.
    pub(super) fn charge_budgets(&mut self, sent: &CrossZoneBytes) {
        let CrossZoneBytes {
            id,
            plan,
            from,
            to,
            bytes,
            cause,
        } = *sent;
        for AppliedBudget {
            id: cross_zone_budget,
            ..
        } in self.budgets_across(plan, from, to).collect::<Vec<_>>()
        {
            let Some(budget) = self.volumes.get_mut(cross_zone_budget) else {
                continue;
            };
            let over = budget.charge_bytes(self.now, &self.config, bytes);
            if over > 0.0 {
                self.actions.push(Action::BudgetOverrun {
                    id,
                    cross_zone_budget,
                    bytes: over,
                    cause,
                });
            }
            self.request_tokens(cross_zone_budget);
        }
    }
}
