//! All volumes and cross-zone budgets at this host. Both are stored under volume ids, since their tokens are
//! refilled, lent and requested in the same way.

use super::reserve::MeanExcess;
use super::state::{LimitKind, Volume};
use crate::scheduler::intervals::EPOCH;
use gullsail_scheduler_api::{
    HostId, Instant, Request, SchedulerConfig, VolumeAllocation, VolumeId, demand_report,
};
use std::collections::{BTreeMap, BTreeSet};

/// Most volumes of requests that a host keeps, so that clients that name ever new ones cannot occupy memory without
/// end. Each review goes over all of them.
const MAX_VOLUMES: usize = 16_384;

/// Most searches that one review returns. The others are due at the next one.
const MAX_SEARCHES_PER_REVIEW: usize = 512;

/// The volumes by their ids, in the form in which ids are sent between hosts.
pub(crate) struct VolumeTable {
    by_id: BTreeMap<VolumeId, Volume>,
    /// Number of volumes that only requests have named: neither allocated to this host nor budgets.
    unallocated: usize,
    /// No volumes are forgotten before this time, since the last time gained little room.
    forget_from: Instant,
    /// Mean weighted excess over the volumes that were sent units beyond their reserves.
    mean_excess: f64,
    /// Start of this incarnation of the host.
    started_at: Instant,
}

/// A search for the other hosts of a volume.
pub(crate) struct VolumeSearch {
    pub(crate) directory_host: HostId,
    pub(crate) volume: VolumeId,
}

/// The result of a review of all volumes.
#[derive(Default)]
pub(crate) struct VolumeReview {
    /// Demand over all volumes at this host, in units a second.
    pub(crate) demand: f64,
    /// Searches to send now.
    pub(crate) searches: Vec<VolumeSearch>,
}

impl VolumeTable {
    pub(crate) fn new(started_at: Instant) -> Self {
        VolumeTable {
            by_id: BTreeMap::new(),
            unallocated: 0,
            forget_from: started_at,
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

    /// The volume of an open request, or a cross-zone budget of the configuration. Panics if `id` is neither.
    pub(crate) fn expect_volume(&self, id: VolumeId) -> &Volume {
        &self.by_id[&id]
    }

    /// Whether a request's volume is in the table or may be added to it. Of a full table, volumes are forgotten that
    /// are as good as new and have no open requests. Forgetting costs time in proportion to the table, so it is not
    /// repeated within an epoch unless it gained half of the table. Harms clients of new volumes while so many
    /// volumes are in use at once.
    pub(crate) fn has_room_for(
        &mut self,
        id: VolumeId,
        now: Instant,
        config: &SchedulerConfig,
        open_volumes: impl FnOnce() -> BTreeSet<VolumeId>,
    ) -> bool {
        let is_full = |table: &Self| table.unallocated >= MAX_VOLUMES;
        if !is_full(self) || self.by_id.contains_key(&id) {
            return true;
        }
        if now >= self.forget_from {
            let open = open_volumes();
            let started_at = self.started_at;
            self.by_id.retain(|id, volume| {
                open.contains(id) || !volume.is_as_new(now, started_at, config)
            });
            self.count_unallocated();
            if self.unallocated > MAX_VOLUMES / 2 {
                self.forget_from = now + EPOCH;
            }
        }
        !is_full(self)
    }

    fn count_unallocated(&mut self) {
        let volumes = self.by_id.values();
        self.unallocated = volumes.filter(|volume| volume.is_unallocated()).count();
    }

    /// Records a request that has just arrived at its volume, which is created if needed.
    pub(crate) fn record_arrival(
        &mut self,
        request: &Request,
        now: Instant,
        config: &SchedulerConfig,
    ) {
        let unallocated = &mut self.unallocated;
        let volume = self.by_id.entry(request.volume).or_insert_with(|| {
            *unallocated += 1;
            Volume::default()
        });
        volume.record_arrival(request, now, self.started_at, config);
    }

    /// Refills all volumes up to `now`.
    pub(crate) fn refill_all(&mut self, now: Instant, config: &SchedulerConfig) {
        for volume in self.by_id.values_mut() {
            volume.refill(now, config);
        }
    }

    /// Applies an allocation to its volume, which is created if needed. Returns true if the allocation
    /// withdraws the volume from this host.
    pub(crate) fn apply_allocation(
        &mut self,
        allocation: &VolumeAllocation,
        now: Instant,
        config: &SchedulerConfig,
    ) -> bool {
        let id = demand_report::message_volume_id(allocation.volume);
        let known = self.by_id.get(&id);
        self.unallocated -= usize::from(known.is_some_and(Volume::is_unallocated));
        let volume = self.by_id.entry(id).or_insert_with(|| Volume::new(now));
        volume.apply_allocation(allocation, now, config)
    }

    /// Refills all volumes, updates the mean excess, and collects the total demand and the searches that are
    /// due.
    pub(crate) fn review(&mut self, now: Instant, config: &SchedulerConfig) -> VolumeReview {
        let mut review = VolumeReview::default();
        let mut mean_excess = MeanExcess::default();
        for (id, volume) in &mut self.by_id {
            volume.refill(now, config);
            mean_excess.add(&mut volume.reserve, now);
            review.demand += volume.demand.last();
            if review.searches.len() < MAX_SEARCHES_PER_REVIEW
                && let Some(directory_host) = volume.next_search(*id, now, config)
            {
                review.searches.push(VolumeSearch {
                    directory_host,
                    volume: *id,
                });
            }
        }
        self.mean_excess = mean_excess.mean();
        review
    }

    /// Removes withdrawn volumes that have neither demand nor open requests.
    pub(crate) fn remove_unused(&mut self, now: Instant, has_open: impl Fn(VolumeId) -> bool) {
        self.by_id
            .retain(|id, volume| !volume.is_unused(now) || has_open(*id));
    }

    /// Adds, updates and removes cross-zone budgets so that they match the configuration.
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
            volume.host_count = f64::from(budget.host_count);
        }
        self.count_unallocated();
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
