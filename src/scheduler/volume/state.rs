//! The state of one volume or cross-zone budget at this host. What the share of the limit brings is worked out
//! in `share`, loans in `loans`, searches for other hosts in `search`.

use super::peers::Peers;
use super::reserve::{Reserve, reserve_rate};
use super::search::PeerSearch;
use super::token_bucket::TokenBucket;
use crate::decaying_sum::DecayingSum;
use crate::scheduler::intervals::DEMAND_WINDOW;
use gullsail_scheduler_api::{
    HostId, Instant, Limit, PlanId, Request, SchedulerConfig, Span, VolumeAllocation, VolumeId,
};

/// Demand below this, in units a second, is none: a withdrawn volume may be forgotten. With
/// [`DEMAND_WINDOW`] that is some twenty seconds after its last request, when no demand report or loan of it
/// is under way any more.
const NO_DEMAND: f64 = 1e-9;

/// What a limit is for.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum LimitKind {
    /// The requests of a volume, in units. The limit is that of its plan.
    #[default]
    Volume,
    /// The traffic between zones, in bytes. The limit stands at this position in the configuration.
    CrossZoneBudget { position: usize },
}

/// A volume or a cross-zone budget, as this host holds it.
#[derive(Default)]
pub(crate) struct Volume {
    pub(super) kind: LimitKind,
    pub(super) plan: PlanId,
    /// How many hosts share the limit; at least one once the volume is known.
    pub(super) hosts: f64,
    /// This host's share of the limit, where it is not an even one.
    pub(super) share: Option<Limit>,
    /// Its requests no longer come through this host.
    pub(super) withdrawn: bool,
    /// Units asked for at this host.
    pub(super) demand: DecayingSum,
    /// Units a second through all hosts, as answers report it, some seconds late.
    pub(super) fleet_usage: Option<f64>,
    pub(super) bucket: TokenBucket,
    pub(super) reserve: Reserve,
    pub(super) peers: Peers,
    pub(super) search: PeerSearch,
}

impl Volume {
    pub(super) fn new(now: Instant) -> Self {
        Volume {
            bucket: TokenBucket::new(now),
            ..Volume::default()
        }
    }

    /// Takes in a request that has just arrived. `started_at` is when this host started.
    pub(super) fn record_arrival(
        &mut self,
        request: &Request,
        now: Instant,
        started_at: Instant,
        config: &SchedulerConfig,
    ) {
        let hosts = match request.volume_hosts {
            0 => f64::from(config.host_count.max(1)),
            hosts => f64::from(hosts),
        };
        if hosts > self.hosts {
            // A host that has just started does not know what it spent before, so its bucket starts empty.
            self.plan = request.plan;
            self.hosts = hosts;
            self.bucket.empty(started_at);
            self.search.restart(now);
        }
        self.demand.add(now, DEMAND_WINDOW, request.units);
    }

    /// Takes in an allocation from a configuration change. True if the volume was withdrawn from this host.
    pub(crate) fn apply_allocation(
        &mut self,
        allocation: &VolumeAllocation,
        now: Instant,
        config: &SchedulerConfig,
    ) -> bool {
        self.plan = allocation.plan;
        self.hosts = f64::from(allocation.host_count.max(1));
        self.share = allocation.host_limit;
        self.withdrawn = allocation.host_count == 0;
        self.refill(now, config);
        self.withdrawn
    }

    /// Takes in the usage through all hosts, as a fraction of the plan's nominal rate.
    pub(crate) fn record_fleet_usage(&mut self, used: f64, config: &SchedulerConfig) {
        let plan = config.plans.get(self.plan.0);
        self.fleet_usage = plan.map(|plan| used * plan.nominal_rate);
    }

    /// Nothing of a withdrawn volume is needed any more, apart from its open requests.
    pub(super) fn is_unused(&mut self, now: Instant) -> bool {
        self.withdrawn && self.demand.read(now, DEMAND_WINDOW) <= NO_DEMAND
    }

    /// Brings the bucket, the demand and the reserve up to date.
    pub(crate) fn refill(&mut self, now: Instant, config: &SchedulerConfig) {
        let elapsed_secs = self.bucket.secs_since_refill(now);
        if let Some(limit) = self.limit(config) {
            let share = self.host_share(now, &limit);
            self.bucket.fill(&share, elapsed_secs);
        }
        let own_demand = self.demand.read(now, DEMAND_WINDOW);
        self.bucket.set_refilled(now);
        if let (LimitKind::Volume, Some(plan)) = (self.kind, config.plans.get(self.plan.0)) {
            let if_others_alike = own_demand * self.hosts;
            let fleet_usage = self.fleet_usage.map(|usage| usage.max(own_demand));
            let fleet_demand = fleet_usage.unwrap_or(if_others_alike);
            let rate = reserve_rate(plan.reserve, own_demand, fleet_demand, self.hosts);
            self.reserve.refill(rate, elapsed_secs, config.max_units);
        }
    }

    /// Takes the units of a request's first attempt from the bucket and from the reserve.
    pub(crate) fn spend(&mut self, now: Instant, config: &SchedulerConfig, units: f64) {
        self.bucket.take(units);
        if config.max_connect_wait > Span::ZERO && self.limit(config).is_some() {
            self.bucket
                .hold_for_unsent_attempt(units, now, config.max_connect_wait);
        }
        let weight = config.plans[self.plan.0].weight;
        self.reserve.spend(units, weight, now);
    }

    /// Takes the bytes of a cross-zone transfer from the budget's bucket, which may go below zero. Returns by
    /// how many of these bytes the budget was overrun; not above zero: by none.
    pub(crate) fn charge_bytes(
        &mut self,
        now: Instant,
        config: &SchedulerConfig,
        bytes: f64,
    ) -> f64 {
        self.refill(now, config);
        self.demand.add(now, DEMAND_WINDOW, bytes);
        self.bucket.take(bytes);
        self.bucket.set_waiting(bytes);
        bytes.min(-self.bucket.tokens())
    }

    /// Whether a first attempt of so many units may be sent now.
    pub(crate) fn allows(&self, units: f64, config: &SchedulerConfig) -> bool {
        self.limit(config).is_none() || self.bucket.tokens() >= units
    }

    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    /// Whether units of this volume are within its reserve.
    pub(crate) fn reserve_covers(&self, units: f64) -> bool {
        self.reserve.covers(units)
    }

    /// How far the volume is within its fair share; 1.0: entirely.
    pub(crate) fn within_fair_share(&self, mean_excess: f64) -> f64 {
        self.reserve.within_fair_share(mean_excess)
    }

    /// Units of the first attempts that wait at this host.
    pub(crate) fn waiting_units(&self) -> f64 {
        self.bucket.waiting_units()
    }

    /// A first attempt of so many units begins to wait.
    pub(crate) fn add_waiting(&mut self, units: f64) {
        self.bucket.add_waiting(units);
    }

    /// A first attempt of so many units no longer waits.
    pub(crate) fn remove_waiting(&mut self, units: f64) {
        self.bucket.remove_waiting(units);
    }

    /// The bytes that wait for a cross-zone budget.
    pub(crate) fn set_waiting_bytes(&mut self, bytes: f64) {
        self.bucket.set_waiting(bytes);
    }

    /// The host to ask for the other hosts of this volume, when a search is due.
    pub(crate) fn next_search(
        &mut self,
        id: VolumeId,
        now: Instant,
        config: &SchedulerConfig,
    ) -> Option<HostId> {
        let is_shared =
            self.limit(config).is_some() && self.hosts > 1.0 && config.peer_messages_enabled;
        if !is_shared {
            return None;
        }
        self.search.next(id, config.host_count, now)
    }

    /// Another host uses this volume.
    pub(crate) fn add_peer(&mut self, host: HostId) {
        self.peers.add(host);
    }
}
