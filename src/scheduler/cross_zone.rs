//! Budgets of bytes between zones: what may cross, what waits without hope of it, and which budgets need
//! tokens. Called by `dispatch`; bytes are charged in `cross_zone_ledger`.

use super::{AppliedBudget, OpenRequest, QueueKey, RequestScheduler};
use gullsail_scheduler_api::{
    OverrunCause, PoolId, RequestId, Span, VolumeId, ZoneId, demand_report,
};
use std::collections::BTreeSet;

impl RequestScheduler {
    /// Why this host's zone has no node for new objects of a pool, if it has none.
    pub(super) fn no_local_node(&self, pool: PoolId) -> Option<OverrunCause> {
        let own_zone = self.config.zone?;
        let mut local = self
            .endpoints
            .capacities_of_pool(pool)
            .filter(|c| c.entry.zone == own_zone)
            .peekable();
        if local.peek().is_none() {
            Some(OverrunCause::NoLocalNode)
        } else {
            local
                .all(|c| c.silent)
                .then_some(OverrunCause::LocalNodesSilent)
        }
    }

    /// May what has a choice go to that zone, now or within so long? With tokens, once half of its time is
    /// gone; past a soft budget only where there is no node at home.
    pub(super) fn may_cross(&self, open: &OpenRequest, zone: ZoneId, within: Span) -> bool {
        let Some(own_zone) = self.config.zone.filter(|own| *own != zone) else {
            return true;
        };
        let no_local_node = self.no_local_node(open.request.pool).is_some();
        let fits = |budget: AppliedBudget| {
            let tokens = self
                .volumes
                .known(budget.id)
                .tokens_after(within, &self.config);
            (no_local_node && !budget.hard) || tokens >= open.request.bytes
        };
        let time_to_cross = no_local_node || self.now >= open.half_time;
        time_to_cross
            && self
                .budgets_across(open.request.plan, own_zone, zone)
                .all(fits)
    }

    /// What waits in a pool's queue with nothing at home, and no tokens in time for anywhere else.
    pub(super) fn without_destination(&self, key: QueueKey, pool: PoolId) -> Vec<RequestId> {
        let Some(own_zone) = self
            .config
            .zone
            .filter(|_| self.no_local_node(pool).is_some())
        else {
            return Vec::new();
        };
        let zones = self
            .endpoints
            .capacities_of_pool(pool)
            .map(|capacity| capacity.entry.zone);
        let zones: BTreeSet<_> = zones.filter(|zone| *zone != own_zone).collect();
        let may_wait = |open: &OpenRequest| {
            let left = open.objective_deadline - self.now;
            zones.is_empty() || zones.iter().any(|zone| self.may_cross(open, *zone, left))
        };
        let waiting = self
            .queues
            .by_key
            .get(&key)
            .into_iter()
            .flat_map(|queue| queue.ids());
        waiting
            .filter(|id| !may_wait(&self.requests.open[id]))
            .collect()
    }

    /// The budgets for which a pool's queue needs tokens, once some request in it would leave the zone.
    pub(super) fn budgets_wanted(&mut self, key: QueueKey, pool: PoolId) -> Vec<VolumeId> {
        let Some(queue) = self.queues.by_key.get(&key) else {
            return Vec::new();
        };
        let waiting: Vec<_> = queue.ids().map(|id| &self.requests.open[&id]).collect();
        let no_local_node = self.no_local_node(pool).is_some();
        if !waiting
            .iter()
            .any(|open| no_local_node || self.now >= open.half_time)
        {
            return Vec::new();
        }
        let bytes = waiting.iter().map(|open| open.request.bytes).sum::<f64>();
        let shared = self
            .config
            .cross_zone_budgets
            .iter()
            .filter(|budget| budget.hosts > 0);
        let wanted: Vec<_> = shared
            .map(|budget| demand_report::carried(budget.id))
            .collect();
        for id in &wanted {
            if let Some(budget) = self.volumes.get_mut(*id) {
                budget.bucket_mut().set_waiting(bytes);
            }
        }
        wanted
    }
}
