//! The state of one volume or cross-zone budget at this host. The share of the limit is computed in `share`,
//! loans in `loans`, searches for other hosts in `search`.

use super::peers::Peers;
use super::reserve::{Reserve, reserve_rate};
use super::search::PeerSearch;
use super::token_bucket::TokenBucket;
use crate::decaying_sum::DecayingSum;
use crate::scheduler::intervals::DEMAND_WINDOW;
use gullsail_scheduler_api::{
    HostId, Instant, Limit, PlanId, Request, SchedulerConfig, Span, VolumeAllocation, VolumeId,
};

/// A demand up to this number of units a second counts as none, so that a withdrawn volume may be removed. With
/// [`DEMAND_WINDOW`] that is some twenty seconds after its last request. By then, no demand report or loan of
/// the volume is in transit.
const NO_DEMAND: f64 = 1e-9;

/// Tokens by which a bucket that was refilled in steps may differ from one that was refilled at once.
const TOKEN_ROUNDING: f64 = 1e-6;

/// The traffic that a limit applies to.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum LimitKind {
    /// The requests of a volume, in units. The limit is that of its plan.
    #[default]
    Volume,
    /// The traffic between zones, in bytes. The limit is at this position of the configuration's cross-zone
    /// budgets.
    CrossZoneBudget { position: usize },
}

/// The state of a volume or a cross-zone budget at this host.
#[derive(Default)]
pub(crate) struct Volume {
    pub(super) kind: LimitKind,
    pub(super) plan: PlanId,
    /// Number of hosts that share the limit. Zero only until the first request or allocation of the volume.
    pub(super) host_count: f64,
    /// This host's allocated share of the limit; `None` for an even share.
    pub(super) share: Option<Limit>,
    /// The configuration has allocated the volume to this host or withdrawn it.
    allocated: bool,
    /// The configuration has withdrawn the volume from this host.
    pub(super) withdrawn: bool,
    /// Units (or bytes) requested at this host, as a decaying sum over [`DEMAND_WINDOW`].
    pub(super) demand: DecayingSum,
    /// Units a second sent by all hosts, reported in answers with a delay of some seconds; `None` if never
    /// reported.
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

    /// Records the demand of a request that has just arrived, and a higher number of hosts that it reports.
    /// `started_at` is the start of this incarnation of the host.
    pub(super) fn record_arrival(
        &mut self,
        request: &Request,
        now: Instant,
        started_at: Instant,
        config: &SchedulerConfig,
    ) {
        let host_count = match request.volume_hosts {
            0 => f64::from(config.host_count.max(1)),
            host_count => f64::from(host_count),
        };
        if host_count > self.host_count {
            // An earlier incarnation of this host may have spent the tokens, so the bucket starts empty.
            self.plan = request.plan;
            self.host_count = host_count;
            self.bucket.empty(started_at);
            self.search.restart(now);
        }
        self.demand.add(now, DEMAND_WINDOW, request.units);
    }

    /// Applies an allocation from a configuration change. Returns true if it withdraws the volume from this
    /// host.
    pub(crate) fn apply_allocation(
        &mut self,
        allocation: &VolumeAllocation,
        now: Instant,
        config: &SchedulerConfig,
    ) -> bool {
        self.allocated = true;
        self.plan = allocation.plan;
        self.host_count = f64::from(allocation.host_count.max(1));
        self.share = allocation.host_limit;
        self.withdrawn = allocation.host_count == 0;
        self.refill(now, config);
        self.withdrawn
    }

    /// Records the usage of the volume through all hosts. `used` is a fraction of the plan's nominal rate.
    pub(crate) fn record_fleet_usage(&mut self, used: f64, config: &SchedulerConfig) {
        let plan = config.plans.get(self.plan.0);
        self.fleet_usage = plan.map(|plan| used * plan.nominal_rate);
    }

    /// Whether the volume is withdrawn and has no demand, so that it can be removed once it has no open
    /// requests.
    pub(super) fn is_unused(&mut self, now: Instant) -> bool {
        self.withdrawn && self.demand.read(now, DEMAND_WINDOW) <= NO_DEMAND
    }

    /// Whether only requests have named the volume.
    pub(super) fn is_unallocated(&self) -> bool {
        self.kind == LimitKind::Volume && !self.allocated
    }

    /// Whether a new entry would allow no more than this one, so that it can be forgotten: no tokens were spent or
    /// lent that have not been refilled since. `started_at` is the start of this incarnation of the host.
    pub(super) fn is_as_new(
        &mut self,
        now: Instant,
        started_at: Instant,
        config: &SchedulerConfig,
    ) -> bool {
        if !self.is_unallocated() {
            return false;
        }
        let Some(limit) = self.limit(config) else {
            return true;
        };
        self.refill(now, config);
        let refilled = limit.rate * (now - started_at).secs();
        let tokens_of_new = refilled.min(limit.burst) / self.host_count;
        self.bucket.tokens() >= tokens_of_new - TOKEN_ROUNDING
    }

    /// Refills the bucket and the reserve, and applies the decay to the demand, up to `now`.
    pub(crate) fn refill(&mut self, now: Instant, config: &SchedulerConfig) {
        let elapsed_secs = self.bucket.secs_since_refill(now);
        if let Some(limit) = self.limit(config) {
            let share = self.host_share(now, &limit);
            self.bucket.fill(&share, elapsed_secs);
        }
        let own_demand = self.demand.read(now, DEMAND_WINDOW);
        self.bucket.set_refilled(now);
        if let (LimitKind::Volume, Some(plan)) = (self.kind, config.plans.get(self.plan.0)) {
            let extrapolated = own_demand * self.host_count;
            let fleet_usage = self.fleet_usage.map(|usage| usage.max(own_demand));
            let fleet_demand = fleet_usage.unwrap_or(extrapolated);
            let rate = reserve_rate(plan.reserve, own_demand, fleet_demand, self.host_count);
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

    /// Takes the bytes of a cross-zone transfer from the budget's bucket, whose tokens may become negative. Records
    /// the bytes as waiting, so that the next request for tokens asks other hosts for as many. Returns how many of
    /// the bytes exceed the budget; zero or less if none do.
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

    /// Whether the limit allows a first attempt of `units` now.
    pub(crate) fn allows(&self, units: f64, config: &SchedulerConfig) -> bool {
        self.limit(config).is_none() || self.bucket.tokens() >= units
    }

    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    /// Whether the reserve of the volume covers `units`.
    pub(crate) fn reserve_covers(&self, units: f64) -> bool {
        self.reserve.covers(units)
    }

    /// The degree to which the volume is within its fair share, up to 1.0.
    pub(crate) fn within_fair_share(&self, mean_excess: f64) -> f64 {
        self.reserve.within_fair_share(mean_excess)
    }

    /// Units of the requests that wait at this host for their first attempt.
    pub(crate) fn waiting_units(&self) -> f64 {
        self.bucket.waiting_units()
    }

    /// Adds the units of a request that begins to wait for its first attempt.
    pub(crate) fn add_waiting(&mut self, units: f64) {
        self.bucket.add_waiting(units);
    }

    /// Subtracts the units of a request that no longer waits for its first attempt.
    pub(crate) fn remove_waiting(&mut self, units: f64) {
        self.bucket.remove_waiting(units);
    }

    /// Sets the bytes that wait for a cross-zone budget.
    pub(crate) fn set_waiting_bytes(&mut self, bytes: f64) {
        self.bucket.set_waiting(bytes);
    }

    /// The directory host to ask for the other hosts of this volume; `None` if no search is due or needed.
    pub(crate) fn next_search(
        &mut self,
        id: VolumeId,
        now: Instant,
        config: &SchedulerConfig,
    ) -> Option<HostId> {
        let is_shared =
            self.limit(config).is_some() && self.host_count > 1.0 && config.peer_messages_enabled;
        if !is_shared {
            return None;
        }
        self.search.next(id, config.host_count, now)
    }

    /// Adds another host that uses this volume.
    pub(crate) fn add_peer(&mut self, host: HostId) {
        self.peers.add(host);
    }
}
