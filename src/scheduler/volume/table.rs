//! All volumes and cross-zone budgets that this host knows. Budgets have ids of their own among the volumes:
//! they fill, are lent and are asked for in the same way.

use super::reserve::MeanExcess;
use super::state::{LimitKind, Volume};
use gullsail_scheduler_api::{
    HostId, Instant, Request, SchedulerConfig, VolumeAllocation, VolumeId, demand_report,
};
use std::collections::BTreeMap;

/// The volumes by their ids, as these are sent between hosts.
pub(crate) struct VolumeTable {
    by_id: BTreeMap<VolumeId, Volume>,
    /// Mean, over the volumes beyond their reserves, of the units recently sent beyond them, by weight.
    mean_excess: f64,
    /// When this incarnation of the host started.
    started_at: Instant,
}

/// A search for further hosts of a volume.
pub(crate) struct VolumeSearch {
    pub(crate) directory_host: HostId,
    pub(crate) volume: VolumeId,
}

/// What a review of all volumes found.
#[derive(Default)]
pub(crate) struct VolumeReview {
    /// Demand over all volumes at this host, in units a second.
    pub(crate) demand: f64,
    /// The searches that are due.
    pub(crate) searches: Vec<VolumeSearch>,
}

impl VolumeTable {
    pub(crate) fn new(started_at: Instant) -> Self {
        VolumeTable {
            by_id: BTreeMap::new(),
            mean_excess: 0.0,
            started_at,
        }
    }

    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    pub(crate) fn mean_excess(&self) -> f64 {
        self.mean_excess
    }

    pub(crate) fn get(&self, id: VolumeId) -> Option<&Volume> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: VolumeId) -> Option<&mut Volume> {
        self.by_id.get_mut(&id)
    }

    /// A volume that is known to be here: that of an open request, or a budget of the configuration.
    pub(crate) fn known(&self, id: VolumeId) -> &Volume {
        &self.by_id[&id]
    }

    /// Takes in a request that has just arrived.
    pub(crate) fn record_arrival(
        &mut self,
        request: &Request,
        now: Instant,
        config: &SchedulerConfig,
    ) {
        let volume = self.by_id.entry(request.volume).or_default();
        volume.record_arrival(request, now, self.started_at, config);
    }

    /// Brings all volumes up to date.
    pub(crate) fn refill_all(&mut self, now: Instant, config: &SchedulerConfig) {
        for volume in self.by_id.values_mut() {
            volume.refill(now, config);
        }
    }

    /// True if the volume was withdrawn from this host.
    pub(crate) fn apply_allocation(
        &mut self,
        allocation: &VolumeAllocation,
        now: Instant,
        config: &SchedulerConfig,
    ) -> bool {
        let id = demand_report::message_volume_id(allocation.volume);
        let volume = self.by_id.entry(id).or_insert_with(|| Volume::new(now));
        volume.apply_allocation(allocation, now, config)
    }

    /// Refills all volumes and brings the estimates up to date.
    pub(crate) fn review(&mut self, now: Instant, config: &SchedulerConfig) -> VolumeReview {
        let mut review = VolumeReview::default();
        let mut mean_excess = MeanExcess::default();
        for (id, volume) in &mut self.by_id {
            volume.refill(now, config);
            mean_excess.add(&mut volume.reserve, now);
            review.demand += volume.demand.last();
            if let Some(directory_host) = volume.next_search(*id, now, config) {
                review.searches.push(VolumeSearch {
                    directory_host,
                    volume: *id,
                });
            }
        }
        self.mean_excess = mean_excess.mean();
        review
    }

    /// Forgets withdrawn volumes that have neither demand nor open requests.
    pub(crate) fn forget_unused(&mut self, now: Instant, has_open: impl Fn(VolumeId) -> bool) {
        self.by_id
            .retain(|id, volume| !volume.is_unused(now) || has_open(*id));
    }

    /// Brings the cross-zone budgets in line with the configuration.
    pub(crate) fn sync_budgets(&mut self, now: Instant, config: &SchedulerConfig) {
        let position = |id: &VolumeId| {
            let mut budgets = config.cross_zone_budgets.iter();
            budgets.position(|budget| {
                budget.host_count > 0 && demand_report::message_volume_id(budget.id) == *id
            })
        };
        self.by_id.retain(|id, volume| {
            let is_budget = volume.kind != LimitKind::Volume;
            !is_budget || position(id).is_some()
        });
        for budget in config
            .cross_zone_budgets
            .iter()
            .filter(|budget| budget.host_count > 0)
        {
            let id = demand_report::message_volume_id(budget.id);
            let volume = self.by_id.entry(id).or_insert_with(|| Volume::new(now));
            if let Some(position) = position(&id) {
                volume.kind = LimitKind::CrossZoneBudget { position };
            }
            volume.hosts = f64::from(budget.host_count);
        }
    }

    /// Number of volumes and budgets.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of holds over all buckets.
    pub(crate) fn hold_count(&self) -> usize {
        let volumes = self.by_id.values();
        volumes.map(|volume| volume.bucket.hold_count()).sum()
    }

    /// Number of peers over all volumes.
    pub(crate) fn peer_count(&self) -> usize {
        self.by_id.values().map(|volume| volume.peers.count()).sum()
    }
}
