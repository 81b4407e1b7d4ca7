//! The border of gullsail's decisions: events in, actions out, the ids both name, points in time and
//! spans, and the facts that are given once at start. Nothing is decided here.

pub mod demand_report;

use std::ops::{Add, Sub};

/// A point in time, in microseconds of the hosts' common clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(i64);

/// A length of time in microseconds; never mixes with [`Instant`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

impl Instant {
    pub const fn from_micros(us: i64) -> Self {
        Instant(us)
    }
    pub fn from_millis(ms: f64) -> Self {
        Instant((ms * 1e3).round() as i64)
    }
    pub const fn micros(self) -> i64 {
        self.0
    }
    pub fn millis(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_micros(us: i64) -> Self {
        Span(us)
    }
    pub fn from_millis(ms: f64) -> Self {
        Span((ms * 1e3).round() as i64)
    }
    pub const fn micros(self) -> i64 {
        self.0
    }
    pub fn millis(self) -> f64 {
        self.0 as f64 / 1e3
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    pub fn times(self, by: f64) -> Self {
        Span((self.0 as f64 * by).round() as i64)
    }
}

impl Add<Span> for Instant {
    type Output = Instant;
    fn add(self, by: Span) -> Instant {
        Instant(self.0.saturating_add(by.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;
    fn sub(self, by: Span) -> Instant {
        Instant(self.0.saturating_sub(by.0))
    }
}

impl Sub for Instant {
    type Output = Span;
    fn sub(self, from: Instant) -> Span {
        Span(self.0.saturating_sub(from.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, by: Span) -> Span {
        Span(self.0.saturating_add(by.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, by: Span) -> Span {
        Span(self.0.saturating_sub(by.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub $of);
    )*};
}

ids! {
    /// A request, as this host was handed it.
    RequestId(u64);
    /// A storage node; the same number at every host.
    NodeId(u64);
    /// A volume; the same number at every host.
    VolumeId(u64);
    /// A piece of data.
    ObjectId(u64);
    /// The part of the data that a node holds.
    ShardId(i64);
    /// A host, by its place among the hosts.
    HostId(u32);
    /// A zone, by its place in the facts.
    ZoneId(usize);
    /// A plan, by its place in the facts.
    PlanId(usize);
    /// A request class, by its place in the facts.
    RequestClassId(usize);
    /// A pool of nodes, by its place; the first holds all of them.
    PoolId(usize);
    /// A timer, named by whoever set it.
    TimerId(u64);
}

impl PoolId {
    /// Every node, whatever other pools it is in.
    pub const ALL: PoolId = PoolId(0);
    pub const LAST: PoolId = PoolId(usize::MAX);
}

/// Which nodes recognise the repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    All,
    Zone,
    Shard,
}

/// May a request run again?
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    WithKey { group: IdempotencyScope, window: Span },
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct RequestClass {
    pub idempotency: Idempotency,
    pub latency_objective: Span,
    pub priority_weight: f64,
    /// The part of the benefit that an answer after the latency objective still earns.
    pub late_weight: f64,
    /// Its requests that share an object run one at a time.
    pub in_order: bool,
}

/// What a volume was promised; per second and in units, over all hosts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// `None`: passes without a limit.
    pub limit: Option<Limit>,
    pub reserve: f64,
    /// What such a volume is sized for.
    pub nominal_rate: f64,
    pub weight: f64,
    pub price: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub rate: f64,
    pub burst: f64,
}

/// What a host may do for a volume from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct VolumeAllocation {
    pub volume: VolumeId,
    pub plan: PlanId,
    /// Through how many hosts its requests come; 0: no longer through this one.
    pub hosts: u32,
    /// This host's part of the limit, where it is not an even one.
    pub part: Option<Limit>,
}

/// A budget of bytes that go from zone to zone, over all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub struct CrossZoneBudget {
    /// As hosts name it to each other.
    pub id: VolumeId,
    pub of: BudgetScope,
    /// In bytes.
    pub limit: Limit,
    /// What has a choice never goes past it; else it may where its own zone has no node for it.
    pub hard: bool,
    /// How many hosts share it; 0: not this one.
    pub hosts: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetScope {
    /// From, to.
    ZonePair(ZoneId, ZoneId),
    /// All that crosses for the volumes of a plan.
    Plan(PlanId),
}

/// Why something went past a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverrunCause {
    /// Its data lies there.
    DataPlacement,
    /// Its own zone has no node that takes it: these drain or are gone, or they are silent.
    NoLocalNode,
    LocalNodesSilent,
    /// A further attempt of something that had its first elsewhere.
    Retry,
}

/// How many attempts beyond each request's first a host may send within `window`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    pub free: f64,
    pub share: f64,
    pub window: Span,
}

/// What bounds the work sent to a node that has just started.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Units that it bears within `window`, from all hosts together.
    pub units: f64,
    pub window: Span,
    /// It starts with this part of its capacity or more,
    pub initial_fraction: f64,
    /// and has all of it, no slower than evenly, after this.
    pub ramp: Span,
}

/// What a host is told at its start.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    pub me: HostId,
    pub hosts: u32,
    pub tick: Span,
    pub request_classes: Vec<RequestClass>,
    pub plans: Vec<Plan>,
    pub slow_start: SlowStart,
    /// This host's part of what a cold node bears, where hosts settle it; `None`: an even one.
    pub slow_start_share: Option<f64>,
    /// Between two attempts of this host to a node of which nothing comes: its part of what all hosts may ask it so; zero: as
    /// it sees fit.
    pub probe_interval: Span,
    pub retry_budget: Option<RetryBudget>,
    /// So much later than it was asked for an attempt may go out, while it waits for its connection.
    pub connect_wait: Span,
    pub order_settle: Span,
    pub max_attempts: u32,
    pub max_units: f64,
    /// The parts of the benefit that units past the reserve, and past the share, still earn.
    pub share_part: f64,
    pub spare_part: f64,
    /// The longest wait that a rejection may advise; `None`: no advice reaches clients.
    pub max_retry_after: Option<Span>,
    pub peer_messages_enabled: bool,
    /// The node list answers only when asked.
    pub poll_endpoints: bool,
    /// Then it is asked for again at the latest after this; else what it held counts as told.
    pub poll_within: Option<Span>,
    /// Where this host is; `None`: zones count for nothing.
    pub zone: Option<ZoneId>,
    pub cross_zone_budgets: Vec<CrossZoneBudget>,
    /// The most that one request sends.
    pub max_bytes: f64,
}

impl SchedulerConfig {
    /// Units that a cold node bears from this host in any case, within the rule's window.
    pub fn borne(&self) -> f64 {
        match self.slow_start_share {
            Some(part) => self.slow_start.units * part,
            None => self.slow_start.units / f64::from(self.hosts.max(1)),
        }
    }

    /// What changes while serving.
    pub fn follow(
        &mut self,
        plans: Vec<Plan>,
        cross_zone_budgets: Vec<CrossZoneBudget>,
        fleet_membership: Option<FleetMembership>,
    ) {
        (self.plans, self.cross_zone_budgets) = (plans, cross_zone_budgets);
        if let Some(fleet_membership) = fleet_membership {
            (self.hosts, self.slow_start_share) = (fleet_membership.hosts, fleet_membership.slow_start_share);
            self.probe_interval = fleet_membership.probe_interval;
        }
    }
}

/// Among whom things are shared, where hosts settle that while they serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetMembership {
    /// Those that there are, running or not.
    pub hosts: u32,
    /// As in [`SchedulerConfig`].
    pub slow_start_share: Option<f64>,
    pub probe_interval: Span,
}

/// In the order in which a node goes through them: only a newer start leads back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    pub node: NodeId,
    pub shard: ShardId,
    pub zone: ZoneId,
    pub state: EndpointState,
    /// When it last started, if that is known.
    pub started: Option<Instant>,
    /// Those it is in beside that of all nodes.
    pub pools: Vec<PoolId>,
}

/// What a piece of news about the node list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Entries that changed.
    Delta,
    /// The whole list; who is not in it is gone.
    Snapshot,
    /// The whole list as it was last seen, perhaps long ago.
    StaleSnapshot,
    /// What these nodes said of themselves: their starts are certain, whatever was supposed.
    SelfReported,
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: RequestId,
    pub request_class: RequestClassId,
    pub plan: PlanId,
    pub volume: VolumeId,
    pub units: f64,
    /// What an attempt of it sends.
    pub bytes: f64,
    /// Where the data lies; `None`: a new object.
    pub shard: Option<ShardId>,
    pub object: Option<ObjectId>,
    /// Of a new object: where it may lie.
    pub pool: PoolId,
    /// How long until the client gives up on this try.
    pub timeout: Span,
    /// Through how many hosts the volume's requests come.
    pub volume_hosts: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Succeeded,
    /// The node answered with an error.
    Failed,
    /// Turned away unseen: it never ran.
    Rejected,
    /// No connection: it never ran.
    Unreachable,
    /// Never went out.
    NotSent,
    /// No answer in time.
    TimedOut,
    /// The connection broke.
    ConnectionLost,
    Cancelled,
}

impl AttemptOutcome {
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
    }
}

/// What came of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    pub id: RequestId,
    pub attempt: u32,
    pub node: NodeId,
    pub outcome: AttemptOutcome,
    pub latency: Span,
    /// The client has its final answer.
    pub finished: bool,
    /// What the volume was served through all hosts in some finished period, as a part of its usual rate.
    pub used: Option<f64>,
    /// Where the node is, and what it sent back.
    pub zone: ZoneId,
    pub bytes: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    EndpointList {
        update_kind: UpdateKind,
        entries: Vec<Endpoint>,
    },
    /// A call for the list failed, or the watch broke.
    EndpointListLost,
    RequestArrived(Request),
    /// All plans as they are from now on, and of every volume whose allocations this changes the new ones. Places
    /// of plans may be other than before, so a volume that was served must be among these then.
    ConfigChanged {
        plans: Vec<Plan>,
        allocations: Vec<VolumeAllocation>,
        cross_zone_budgets: Vec<CrossZoneBudget>,
        /// `None`: as before.
        fleet_membership: Option<FleetMembership>,
    },
    Timer(TimerId),
    ClientDisconnected(RequestId),
    PeerMessage {
        from: HostId,
        bytes: Vec<u8>,
    },
    AttemptEnded(AttemptEnd),
    ResponseStarted {
        id: RequestId,
        node: NodeId,
        latency: Span,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the node; without a time-out it runs until the deadline.
    StartAttempt {
        id: RequestId,
        node: NodeId,
        time_out: Option<Span>,
    },
    /// Final answer: rejected; a repeat does no harm.
    Reject {
        id: RequestId,
        retry_after: Option<Span>,
    },
    /// Final answer: abandoned; promises nothing.
    Fail {
        id: RequestId,
    },
    /// Ask for the node list and its changes from now on.
    WatchEndpoints,
    SetTimer {
        id: TimerId,
        at: Instant,
    },
    /// Something of this request went past a budget, by so many bytes of its own.
    BudgetOverrun {
        id: RequestId,
        cross_zone_budget: VolumeId,
        bytes: f64,
        cause: OverrunCause,
    },
    /// At most 256 bytes to one host.
    SendToPeer {
        to: HostId,
        bytes: Vec<u8>,
    },
}
