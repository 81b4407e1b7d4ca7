//! The configuration of a host's scheduler: request classes, plans, limits and budgets.

use crate::{HostId, PlanId, Span, VolumeId, ZoneId};

/// Which nodes recognise the repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes that hold one shard.
    Shard,
}

/// May a request run again?
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Where its key is known: nodes recognise a repeat.
    WithKey {
        /// The nodes that share their knowledge of keys.
        scope: IdempotencyScope,
        /// How long they keep it.
        window: Span,
    },
    /// Only if it is certain that it did not run.
    NonIdempotent,
}

/// What requests of one class have in common.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// May its requests run again?
    pub idempotency: Idempotency,
    /// An answer within this counts in full.
    pub latency_objective: Span,
    /// What a unit answered in time is worth against other classes.
    pub priority_weight: f64,
    /// The part of the priority weight that an answer after the latency objective still earns.
    pub late_weight: f64,
    /// Its requests that share an object run one at a time.
    pub in_order: bool,
}

/// What a volume was promised; per second and in units, over all hosts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// `None`: passes without a limit.
    pub limit: Option<Limit>,
    /// What it can count on, however much others ask for.
    pub reserve: f64,
    /// What such a volume is sized for.
    pub nominal_rate: f64,
    /// Its share of what is left beyond the reserves, against other plans.
    pub weight: f64,
    /// A factor on the priority weight of its requests.
    pub price: f64,
}

/// A token bucket's measures, in units or in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// A second.
    pub rate: f64,
    /// The most that it holds.
    pub burst: f64,
}

/// A budget of bytes that go from zone to zone, over all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub struct CrossZoneBudget {
    /// As hosts name it to each other.
    pub id: VolumeId,
    /// What counts against it.
    pub of: BudgetScope,
    /// In bytes.
    pub limit: Limit,
    /// What has a choice never goes past it; else it may where its own zone has no node for it.
    pub hard: bool,
    /// How many hosts share it; 0: not this one.
    pub hosts: u32,
}

/// What counts against a budget between zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetScope {
    /// From, to.
    ZonePair(ZoneId, ZoneId),
    /// All that crosses for the volumes of a plan.
    Plan(PlanId),
}

/// How many attempts beyond each request's first a host may send within `window`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// So many in any case,
    pub free: f64,
    /// and this part of the requests accepted in the window.
    pub share: f64,
    /// Over which both are counted.
    pub window: Span,
}

/// What bounds the work sent to a node that has just started.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Units that it bears within `window`, from all hosts together.
    pub units: f64,
    /// The time over which the units are counted.
    pub window: Span,
    /// It starts with this part of its capacity or more,
    pub initial_fraction: f64,
    /// and has all of it, no slower than evenly, after this.
    pub ramp: Span,
}

/// What a host's scheduler is given at its start.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// This host.
    pub me: HostId,
    /// How many hosts there are, running or not.
    pub hosts: u32,
    /// How late a timer may fire: final answers are given two of these before the deadline.
    pub tick: Span,
    /// By [`RequestClassId`](crate::RequestClassId).
    pub request_classes: Vec<RequestClass>,
    /// By [`PlanId`].
    pub plans: Vec<Plan>,
    /// What bounds the work sent to a node that has just started.
    pub slow_start: SlowStart,
    /// This host's part of what a node bears while it warms up, where hosts settle it; `None`: an even one.
    pub slow_start_share: Option<f64>,
    /// Between two attempts of this host to a node of which nothing comes: its part of what all hosts may ask
    /// it so; zero: as it sees fit.
    pub probe_interval: Span,
    /// `None`: retries are not limited over all requests.
    pub retry_budget: Option<RetryBudget>,
    /// So much later than it was asked for an attempt may go out, while it waits for its connection.
    pub connect_wait: Span,
    /// So long an object rests after an attempt that may still run.
    pub order_settle: Span,
    /// Of one request, the first included.
    pub max_attempts: u32,
    /// The most units that one request has.
    pub max_units: f64,
    /// The part of the priority weight that units beyond the reserve still earn,
    pub within_share_value: f64,
    /// and that units beyond the weighted share still earn.
    pub beyond_share_value: f64,
    /// The longest wait that a rejection may advise; `None`: no advice reaches clients.
    pub max_retry_after: Option<Span>,
    /// Whether hosts can send each other demand reports.
    pub peer_messages_enabled: bool,
    /// The node list answers only when asked.
    pub poll_endpoints: bool,
    /// Then it is asked for again at the latest after this; else what it held counts as told.
    pub poll_within: Option<Span>,
    /// Where this host is; `None`: zones count for nothing.
    pub zone: Option<ZoneId>,
    /// All of them, also those that this host has no share of.
    pub cross_zone_budgets: Vec<CrossZoneBudget>,
    /// The most bytes that one request sends.
    pub max_bytes: f64,
}

impl SchedulerConfig {
    /// Units that a node that warms up bears from this host in any case, within the rule's window.
    pub fn slow_start_units_per_host(&self) -> f64 {
        match self.slow_start_share {
            Some(part) => self.slow_start.units * part,
            None => self.slow_start.units / f64::from(self.hosts.max(1)),
        }
    }

    /// What changes while serving.
    pub fn apply_change(
        &mut self,
        plans: Vec<Plan>,
        cross_zone_budgets: Vec<CrossZoneBudget>,
        fleet_membership: Option<FleetMembership>,
    ) {
        self.plans = plans;
        self.cross_zone_budgets = cross_zone_budgets;
        if let Some(fleet_membership) = fleet_membership {
            self.hosts = fleet_membership.hosts;
            self.slow_start_share = fleet_membership.slow_start_share;
            self.probe_interval = fleet_membership.probe_interval;
        }
    }
}

/// The hosts among which work is shared, where they settle that while they serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetMembership {
    /// Those that there are, running or not.
    pub hosts: u32,
    /// As in [`SchedulerConfig`].
    pub slow_start_share: Option<f64>,
    /// As in [`SchedulerConfig`].
    pub probe_interval: Span,
}

/// What a host may do for a volume from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct VolumeAllocation {
    /// The volume.
    pub volume: VolumeId,
    /// The plan that it has from now on.
    pub plan: PlanId,
    /// Through how many hosts its requests come; 0: no longer through this one.
    pub hosts: u32,
    /// This host's part of the limit, where it is not an even one.
    pub part: Option<Limit>,
}
