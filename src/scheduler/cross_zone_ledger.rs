//! The budgets between zones among the volumes: which apply to a crossing, and what was charged to them. The
//! overruns are reported from here; whether something may cross is decided in `cross_zone`.

use super::request_scheduler::RequestScheduler;
use super::volume::DEMAND_WINDOW;
use super::volume_table::Volume;
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
    /// Budgets stand among the volumes, under ids of their own: they fill, are lent and asked for alike.
    pub(super) fn sync_budgets(&mut self) {
        let (now, config) = (self.now, &self.config);
        let place = |id: &VolumeId| {
            let mut budgets = config.cross_zone_budgets.iter();
            budgets.position(|b| b.hosts > 0 && demand_report::carried(b.id) == *id)
        };
        self.volumes
            .by_id
            .retain(|id, v| v.cross_zone_budget.is_none() || place(id).is_some());
        for budget in config.cross_zone_budgets.iter().filter(|b| b.hosts > 0) {
            let id = demand_report::carried(budget.id);
            let volume = self
                .volumes
                .by_id
                .entry(id)
                .or_insert_with(|| Volume::new(now));
            volume.cross_zone_budget = place(&id);
            volume.hosts = f64::from(budget.hosts);
        }
    }

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
            let Some(budget) = self.volumes.by_id.get_mut(&cross_zone_budget) else {
                continue;
            };
            budget.refill(self.now, &self.config);
            budget.demand.add(self.now, DEMAND_WINDOW, bytes);
            budget.bucket.tokens -= bytes;
            budget.bucket.waiting = bytes;
            let over = bytes.min(-budget.bucket.tokens);
            if over > 0.0 {
                self.actions.push(Action::BudgetOverrun {
                    id,
                    cross_zone_budget,
                    bytes: over,
                    cause,
                });
            }
            self.ask_for_tokens(cross_zone_budget);
        }
    }
}
