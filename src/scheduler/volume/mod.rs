//! Volumes and cross-zone budgets: everything that has a limit over all hosts. Each has a [`token_bucket`]
//! filled by this host's [`share`] of the limit; what is missing is borrowed from other hosts ([`loans`]), of
//! which [`peers`] holds the last reports. The [`reserve`] decides what a volume's next unit is worth against
//! other volumes. The [`table`] holds all of them.

pub(super) mod loans;
pub(super) mod peers;
pub(super) mod reserve;
pub(super) mod share;
pub(super) mod table;
pub(super) mod token_bucket;

use crate::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{
    Instant, Limit, PlanId, Request, SchedulerConfig, Span, VolumeAllocation,
};
use peers::Peers;
use reserve::Reserve;
use token_bucket::TokenBucket;

/// Time constant of a volume's demand, and the age at which a demand report is too old to count: as in
/// docs/design.md. Longer, and shares follow the demand late; shorter, and single requests move them.
pub(super) const DEMAND_WINDOW: Span = Span::from_micros(1_000_000);

/// Demand below this, in units a second, is none: a withdrawn volume may be forgotten. With
/// [`DEMAND_WINDOW`] that is some twenty seconds after its last request, when no demand report or loan of it
/// is under way any more.
const NO_DEMAND: f64 = 1e-9;

/// What a limit is for.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum LimitKind {
    /// The requests of a volume, in units. The limit is that of its plan.
    #[default]
    Volume,
    /// The traffic between zones, in bytes. The limit stands at this position in the configuration.
    CrossZoneBudget { position: usize },
}

/// A volume or a cross-zone budget, as this host holds it.
#[derive(Default)]
pub(super) struct Volume {
    kind: LimitKind,
    plan: PlanId,
    /// How many hosts share the limit; at least one once the volume is known.
    hosts: f64,
    /// This host's share of the limit, where it is not an even one.
    share: Option<Limit>,
    /// Its requests no longer come through this host.
    withdrawn: bool,
    /// Units asked for at this host.
    demand: DecayingSum,
    /// Units a second through all hosts, as answers report it, some seconds late.
    fleet_usage: Option<f64>,
    bucket: TokenBucket,
    reserve: Reserve,
    peers: Peers,
}

impl Volume {
    fn new(now: Instant) -> Self {
        Volume {
            bucket: TokenBucket::new(now),
            ..Volume::default()
        }
    }

    /// Takes in a request that has just arrived. `started_at` is when this host started.
    fn record_arrival(
        &mut self,
        request: &Request,
        now: Instant,
        started_at: Instant,
        config: &SchedulerConfig,
    ) {
        let hosts = match request.volume_hosts {
            0 => f64::from(config.hosts.max(1)),
            hosts => f64::from(hosts),
        };
        if hosts > self.hosts {
            // A host that has just started does not know what it spent before, so its bucket starts empty.
            self.plan = request.plan;
            self.hosts = hosts;
            self.bucket.empty(started_at);
            self.peers.restart_search(now);
        }
        self.demand.add(now, DEMAND_WINDOW, request.units);
    }

    /// Takes in an allocation from a configuration change. True if the volume was withdrawn from this host.
    pub(super) fn apply_allocation(
        &mut self,
        allocation: &VolumeAllocation,
        now: Instant,
        config: &SchedulerConfig,
    ) -> bool {
        self.plan = allocation.plan;
        self.hosts = f64::from(allocation.hosts.max(1));
        self.share = allocation.part;
        self.withdrawn = allocation.hosts == 0;
        self.refill(now, config);
        self.withdrawn
    }

    /// Takes in the usage through all hosts, as a fraction of the plan's nominal rate.
    pub(super) fn record_fleet_usage(&mut self, used: f64, config: &SchedulerConfig) {
        let plan = config.plans.get(self.plan.0);
        self.fleet_usage = plan.map(|plan| used * plan.nominal_rate);
    }

    /// Nothing of a withdrawn volume is needed any more, apart from its open requests.
    fn is_unused(&mut self, now: Instant) -> bool {
        self.withdrawn && self.demand.read(now, DEMAND_WINDOW) <= NO_DEMAND
    }

    /// Brings the bucket, the demand and the reserve up to date.
    pub(super) fn refill(&mut self, now: Instant, config: &SchedulerConfig) {
        let elapsed_secs = self.bucket.secs_since_refill(now);
        if let Some(limit) = self.limit(config) {
            let share = self.host_share(now, &limit);
            self.bucket.fill(&share, elapsed_secs);
        }
        let own_demand = self.demand.read(now, DEMAND_WINDOW);
        self.bucket.set_refilled(now);
        self.refill_reserve(own_demand, elapsed_secs, config);
    }

    /// Takes the units of a request's first attempt from the bucket and from the reserve.
    pub(super) fn spend(&mut self, now: Instant, config: &SchedulerConfig, units: f64) {
        self.bucket.take(units);
        if config.connect_wait > Span::ZERO && self.limit(config).is_some() {
            self.bucket
                .hold_for_unsent_attempt(units, now, config.connect_wait);
        }
        let weight = config.plans[self.plan.0].weight;
        self.reserve.spend(units, weight, now);
    }

    /// Takes the bytes of a cross-zone transfer from the budget's bucket, which may go below zero. Returns by
    /// how many of these bytes the budget was overrun; not above zero: by none.
    pub(super) fn charge_bytes(
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
    pub(super) fn allows(&self, units: f64, config: &SchedulerConfig) -> bool {
        self.limit(config).is_none() || self.bucket.tokens() >= units
    }

    pub(super) fn plan(&self) -> PlanId {
        self.plan
    }

    pub(super) fn reserve(&self) -> &Reserve {
        &self.reserve
    }

    pub(super) fn bucket(&self) -> &TokenBucket {
        &self.bucket
    }

    pub(super) fn bucket_mut(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }

    pub(super) fn peers_mut(&mut self) -> &mut Peers {
        &mut self.peers
    }
}
