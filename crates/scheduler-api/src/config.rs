//! The configuration of a host's scheduler: request classes, plans, limits and budgets.

use crate::{HostId, PlanId, Span, VolumeId, ZoneId};

/// Which nodes recognise a repeated request by its idempotency key.
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
    /// The request may run any number of times.
    Idempotent,
    /// The request may be sent again to nodes that know its idempotency key: they recognise the repeat.
    WithKey {
        /// The nodes among which a key is known.
        scope: IdempotencyScope,
        /// How long these nodes remember a key.
        window: Span,
    },
    /// The request may be sent again only if it is certain that it did not run.
    NonIdempotent,
}

/// A request class: the settings of all its requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// An answer within this time, counted from the client's first try, has the full priority weight.
    pub latency_objective: Span,
    /// Value of a unit of work that is answered in time, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still has.
    pub late_weight: f64,
    /// Whether requests of the class on one object run one at a time, in order of arrival.
    pub in_order: bool,
    /// Longest time for which a client of the class waits, all of its tries included; `None`: not stated.
    pub max_timeout: Option<Span>,
}

/// The service that a volume is promised, over all hosts together. Rates are in units a second.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The volume's limit; `None`: the volume has no limit.
    pub limit: Option<Limit>,
    /// The reserved rate: the volume gets it whatever the demand of other volumes.
    pub reserve: f64,
    /// The rate that the volume is expected to need.
    pub nominal_rate: f64,
    /// Weight, relative to other plans, by which the capacity beyond all reserves is shared.
    pub weight: f64,
    /// Factor on the priority weight of the volume's requests.
    pub price: f64,
}

/// The rate and the burst of a token bucket, in units or in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: f64,
    /// Capacity of the bucket in tokens.
    pub burst: f64,
}

/// A cross-zone budget: a limit on the bytes sent between zones, over all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub struct CrossZoneBudget {
    /// The budget's id, also in messages between hosts.
    pub id: VolumeId,
    /// The traffic that counts against it.
    pub scope: BudgetScope,
    /// Rate in bytes a second and burst in bytes.
    pub limit: Limit,
    /// Whether the budget is hard: a new object never overruns it. A new object may overrun a soft budget if the
    /// host's zone has no usable node for it. Requests for stored data, and answers, may overrun either kind.
    pub hard: bool,
    /// Number of hosts that share the budget; 0: this host has no share of it.
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

/// Limit on the retries that a host sends within a window: a fixed number plus a fraction of its requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed in a window whatever the number of requests.
    pub fixed_retries: f64,
    /// Retries allowed for each request that arrived in the window.
    pub retries_per_request: f64,
    /// The time over which retries and requests are counted.
    pub window: Span,
}

/// What bounds the work sent to a node that has just started.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Units that the node can serve within `window` when it starts, from all hosts together.
    pub units: f64,
    /// The time over which the units are counted.
    pub window: Span,
    /// Smallest fraction of its capacity that the node has when it starts.
    pub initial_fraction: f64,
    /// Time after which the node has its full capacity; until then its capacity grows at least linearly.
    pub ramp: Span,
}

/// The configuration of a host's scheduler. It is one flat struct because it is made in one place from the
/// operators' settings and changes afterwards only by [`SchedulerConfig::apply_change`].
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// The host on which the scheduler runs.
    pub host_id: HostId,
    /// Number of hosts in the configuration, running or not.
    pub host_count: u32,
    /// Longest delay with which a timer may fire. Final answers are given two ticks before the client's deadline.
    pub tick: Span,
    /// The request classes, indexed by [`RequestClassId`](crate::RequestClassId).
    pub request_classes: Vec<RequestClass>,
    /// The plans, indexed by [`PlanId`].
    pub plans: Vec<Plan>,
    /// What bounds the work sent to a node that has just started.
    pub slow_start: SlowStart,
    /// This host's fraction of the slow-start budget, if the fleet assigns it; `None`: an even share.
    pub slow_start_share: Option<f64>,
    /// Shortest interval between two attempts of this host to a node that does not answer. It keeps all hosts
    /// together from probing the node too often. Zero: no fleet-wide limit.
    pub probe_interval: Span,
    /// The budget for the retries of all requests; `None`: there is no such budget.
    pub retry_budget: Option<RetryBudget>,
    /// Longest time that an attempt may wait for its connection before it is sent.
    pub max_connect_wait: Span,
    /// How long the next request on an object waits after the end of an attempt that its node may still run, for
    /// classes that keep the order of requests on one object.
    pub order_settle: Span,
    /// Largest number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Largest number of units that one request has.
    pub max_units: f64,
    /// Fraction of the priority weight that units beyond the reserve have, within the fair share.
    pub within_share_value: f64,
    /// Fraction of the priority weight that units beyond the fair share have.
    pub beyond_share_value: f64,
    /// Longest time in [`Action::Reject`](crate::Action::Reject) after which a client may try again; `None`:
    /// rejections give no time.
    pub max_retry_after: Option<Span>,
    /// Whether hosts can send each other messages.
    pub peer_messages_enabled: bool,
    /// Whether the scheduler polls for the endpoint list; otherwise its updates are pushed to the host.
    pub poll_endpoints: bool,
    /// Longest interval between polls of the endpoint list; `None`: the scheduler's default. A host that polls
    /// less often is treated as if it had received the updates that it missed.
    pub max_poll_interval: Option<Span>,
    /// The zone of this host; `None`: zones are not taken into account.
    pub zone: Option<ZoneId>,
    /// All cross-zone budgets, including those of which this host has no share.
    pub cross_zone_budgets: Vec<CrossZoneBudget>,
    /// Largest number of bytes that one request sends.
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

    /// Replaces the settings that may change while the host serves requests. If `fleet_membership` is `None`, the
    /// present membership stays.
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

/// The settings that the fleet assigns to this host at run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetMembership {
    /// Number of hosts in the configuration, running or not.
    pub host_count: u32,
    /// This host's fraction of the slow-start budget, as in [`SchedulerConfig::slow_start_share`].
    pub slow_start_share: Option<f64>,
    /// Shortest interval between probes, as in [`SchedulerConfig::probe_interval`].
    pub probe_interval: Span,
}

/// This host's allocation for a volume from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct VolumeAllocation {
    /// The volume that the allocation is for.
    pub volume: VolumeId,
    /// The plan of the volume from now on.
    pub plan: PlanId,
    /// Number of hosts that serve the volume; 0: this host no longer serves it.
    pub host_count: u32,
    /// This host's share of the plan's limit; `None`: an even share of it.
    pub host_limit: Option<Limit>,
}
