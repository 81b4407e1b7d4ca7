//! The configuration of a host's scheduler: request classes, plans, limits and budgets.

use crate::{HostId, PlanId, Span, VolumeId, ZoneId};

/// Which nodes recognise the repeat of a request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes that hold one shard.
    Shard,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It may be sent again to nodes that know its idempotency key: they recognise the repeat.
    WithKey {
        /// The nodes that share their knowledge of keys.
        scope: IdempotencyScope,
        /// How long they keep a key.
        window: Span,
    },
    /// It may be sent again only if it is certain that it did not run.
    NonIdempotent,
}

/// What requests of one class have in common.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// An answer within this time has its full value.
    pub latency_objective: Span,
    /// Value of a unit answered in time, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still has.
    pub late_weight: f64,
    /// Its requests on one object run one at a time, in order of arrival.
    pub in_order: bool,
}

/// What a volume was promised, over all hosts. Rates are in units a second.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The most that it may be sent; `None`: no limit.
    pub limit: Option<Limit>,
    /// The rate that it gets however much other volumes ask for.
    pub reserve: f64,
    /// The rate that it is expected to need.
    pub nominal_rate: f64,
    /// Its weight, relative to other plans, in sharing what is left beyond the reserves.
    pub weight: f64,
    /// Factor on the priority weight of its requests.
    pub price: f64,
}

/// The rate and the burst of a token bucket, in units or in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: f64,
    /// The most tokens that the bucket holds.
    pub burst: f64,
}

/// A cross-zone budget: a limit on the bytes sent between zones, over all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub struct CrossZoneBudget {
    /// Its id in messages between hosts.
    pub id: VolumeId,
    /// The traffic that counts against it.
    pub scope: BudgetScope,
    /// Rate and burst, in bytes.
    pub limit: Limit,
    /// A new object never overruns it. A soft budget may be overrun where the host's zone has no node for the
    /// object.
    pub hard: bool,
    /// How many hosts share it; 0: this host has no share.
    pub host_count: u32,
}

/// The traffic that counts against a cross-zone budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetScope {
    /// All traffic from the first zone to the second.
    ZonePair(ZoneId, ZoneId),
    /// All traffic between zones for the volumes of a plan.
    Plan(PlanId),
}

/// How many retries a host may send within a window: a fixed number, and a fraction of its requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub fixed_retries: f64,
    /// Retries allowed for each request that arrived in the window.
    pub retries_per_request: f64,
    /// The time over which retries and requests are counted.
    pub window: Span,
}

/// What bounds the work sent to a node that has just started.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Units that it can serve within `window` at its start, from all hosts together.
    pub units: f64,
    /// The time over which the units are counted.
    pub window: Span,
    /// Fraction of its capacity that it has at least when it starts.
    pub initial_fraction: f64,
    /// Time after which it has its full capacity; until then capacity grows at least linearly.
    pub ramp: Span,
}

/// The configuration of a host's scheduler. It is one flat struct because it is made in one place from the
/// operators' settings and read-only afterwards, but for [`SchedulerConfig::apply_change`].
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// This host.
    pub me: HostId,
    /// How many hosts there are, running or not.
    pub host_count: u32,
    /// How late a timer may fire. Final answers are given two ticks before the client's deadline.
    pub tick: Span,
    /// By [`RequestClassId`](crate::RequestClassId).
    pub request_classes: Vec<RequestClass>,
    /// By [`PlanId`].
    pub plans: Vec<Plan>,
    /// What bounds the work sent to a node that has just started.
    pub slow_start: SlowStart,
    /// This host's fraction of the slow-start budget, where the fleet assigns it; `None`: an even share.
    pub slow_start_share: Option<f64>,
    /// Shortest interval between two attempts of this host to a node that does not answer, so that all hosts
    /// together do not probe it too often; zero: no fleet-wide limit.
    pub probe_interval: Span,
    /// `None`: retries are not limited over all requests.
    pub retry_budget: Option<RetryBudget>,
    /// How long an attempt may wait for its connection before it goes out.
    pub max_connect_wait: Span,
    /// How long the next request on an object waits after an attempt that may still run.
    pub order_settle: Span,
    /// Attempts for one request, the first included.
    pub max_attempts: u32,
    /// The most units that one request has.
    pub max_units: f64,
    /// Fraction of the priority weight that units beyond the reserve have, within the fair share.
    pub within_share_value: f64,
    /// Fraction of the priority weight that units beyond the fair share have.
    pub beyond_share_value: f64,
    /// The longest wait that a rejection tells the client; `None`: it tells none.
    pub max_retry_after: Option<Span>,
    /// Whether hosts can send each other messages.
    pub peer_messages_enabled: bool,
    /// The endpoint list must be fetched; otherwise its updates come unasked.
    pub poll_endpoints: bool,
    /// Longest interval between polls of the endpoint list. A host that polls less often is taken as informed
    /// of what it missed.
    pub max_poll_interval: Option<Span>,
    /// The zone of this host; `None`: zones are not taken into account.
    pub zone: Option<ZoneId>,
    /// All cross-zone budgets, also those of which this host has no share.
    pub cross_zone_budgets: Vec<CrossZoneBudget>,
    /// The most bytes that one request sends.
    pub max_bytes: f64,
}

impl SchedulerConfig {
    /// Units that this host may send to a node within the slow-start window when the node has just started.
    pub fn slow_start_units_per_host(&self) -> f64 {
        match self.slow_start_share {
            Some(part) => self.slow_start.units * part,
            None => self.slow_start.units / f64::from(self.host_count.max(1)),
        }
    }

    /// Replaces what may change while the host serves requests.
    pub fn apply_change(
        &mut self,
        plans: Vec<Plan>,
        cross_zone_budgets: Vec<CrossZoneBudget>,
        fleet_membership: Option<FleetMembership>,
    ) {
        self.plans = plans;
        self.cross_zone_budgets = cross_zone_budgets;
        if let Some(fleet_membership) = fleet_membership {
            self.host_count = fleet_membership.host_count;
            self.slow_start_share = fleet_membership.slow_start_share;
            self.probe_interval = fleet_membership.probe_interval;
        }
    }
}

/// This host's part among the hosts of a fleet, where the fleet assigns it at run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetMembership {
    /// How many hosts there are, running or not.
    pub host_count: u32,
    /// As in [`SchedulerConfig`].
    pub slow_start_share: Option<f64>,
    /// As in [`SchedulerConfig`].
    pub probe_interval: Span,
}

/// What this host may send for a volume from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct VolumeAllocation {
    /// The volume.
    pub volume: VolumeId,
    /// The plan of the volume from now on.
    pub plan: PlanId,
    /// How many hosts serve the volume; 0: this host no longer does.
    pub host_count: u32,
    /// This host's share of the limit, where it is not an even one.
    pub host_limit: Option<Limit>,
}
