//! The border of gullsail's decisions: events in, actions out, the ids both name, points in time and
//! spans, and the facts that are given once at start. Nothing is decided here.

pub mod label;

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
    /// A transfer, as this host was handed it.
    TransferId(u64);
    /// A storage node; the same number at every host.
    NodeId(u64);
    /// A volume; the same number at every host.
    VolumeId(u64);
    /// A piece of data.
    ObjectId(u64);
    /// The part of the data that a node holds.
    CellId(i64);
    /// A host, by its place among the hosts.
    HostId(u32);
    /// A zone, by its place in the facts.
    ZoneId(usize);
    /// A plan, by its place in the facts.
    PlanId(usize);
    /// A stream type, by its place in the facts.
    StreamTypeId(usize);
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

/// Which nodes recognise the repeat of a keyed transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// May a transfer run again?
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Repeatable,
    Keyed { group: Group, window: Span },
    Unrepeatable,
}

#[derive(Clone, Debug)]
pub struct StreamType {
    pub effect: Effect,
    pub slo_time: Span,
    pub benefit: f64,
    /// The part of the benefit that an answer after the SLO time still earns.
    pub late_part: f64,
    /// Its transfers that share an object run one at a time.
    pub in_order: bool,
}

/// What a volume was promised; per second and in units, over all hosts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// `None`: passes without a limit.
    pub limit: Option<Limit>,
    pub reserve: f64,
    /// What such a volume is sized for.
    pub usual: f64,
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
pub struct Terms {
    pub volume: VolumeId,
    pub plan: PlanId,
    /// Through how many hosts its transfers come; 0: no longer through this one.
    pub hosts: u32,
    /// This host's part of the limit, where it is not an even one.
    pub part: Option<Limit>,
}

/// A budget of bytes that go from zone to zone, over all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub struct Crossing {
    /// As hosts name it to each other.
    pub id: VolumeId,
    pub of: Across,
    /// In bytes.
    pub limit: Limit,
    /// What has a choice never goes past it; else it may where its own zone has no node for it.
    pub hard: bool,
    /// How many hosts share it; 0: not this one.
    pub hosts: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Across {
    /// From, to.
    Pair(ZoneId, ZoneId),
    /// All that crosses for the volumes of a plan.
    Plan(PlanId),
}

/// Why something went past a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Its data lies there.
    Bound,
    /// Its own zone has no node that takes it: these drain or are gone, or they are silent.
    Drained,
    Silent,
    /// A further leg of something that had its first elsewhere.
    Further,
}

/// How many legs beyond each transfer's first a host may send within `window`.
#[derive(Clone, Copy, Debug)]
pub struct LegBudget {
    pub free: f64,
    pub share: f64,
    pub window: Span,
}

/// What bounds the work sent to a node that has just started.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    /// Units that it bears within `window`, from all hosts together.
    pub units: f64,
    pub window: Span,
    /// It starts with this part of its capacity or more,
    pub first_part: f64,
    /// and has all of it, no slower than evenly, after this.
    pub ramp: Span,
}

/// What a host is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    pub me: HostId,
    pub hosts: u32,
    pub tick: Span,
    pub stream_types: Vec<StreamType>,
    pub plans: Vec<Plan>,
    pub cold: ColdStart,
    /// This host's part of what a cold node bears, where hosts settle it; `None`: an even one.
    pub cold_part: Option<f64>,
    /// Between two legs of this host to a node of which nothing comes: its part of what all hosts may ask it so; zero: as
    /// it sees fit.
    pub probe_every: Span,
    pub leg_budget: Option<LegBudget>,
    /// So much later than it was asked for a leg may go out, while it waits for its connection.
    pub leg_wait: Span,
    pub order_settle: Span,
    pub most_legs: u32,
    pub most_units: f64,
    /// The parts of the benefit that units past the reserve, and past the share, still earn.
    pub share_part: f64,
    pub spare_part: f64,
    /// The longest wait that a deferral may advise; `None`: no advice reaches clients.
    pub longest_advice: Option<Span>,
    pub peers_talk: bool,
    /// The node list answers only when asked.
    pub list_asked: bool,
    /// Then it is asked for again at the latest after this; else what it held counts as told.
    pub ask_within: Option<Span>,
    /// Where this host is; `None`: zones count for nothing.
    pub zone: Option<ZoneId>,
    pub crossings: Vec<Crossing>,
    /// The most that one transfer sends.
    pub most_bytes: f64,
}

impl Facts {
    /// Units that a cold node bears from this host in any case, within the rule's window.
    pub fn borne(&self) -> f64 {
        match self.cold_part {
            Some(part) => self.cold.units * part,
            None => self.cold.units / f64::from(self.hosts.max(1)),
        }
    }

    /// What changes while serving.
    pub fn follow(&mut self, plans: Vec<Plan>, crossings: Vec<Crossing>, among: Option<Among>) {
        (self.plans, self.crossings) = (plans, crossings);
        if let Some(among) = among {
            (self.hosts, self.cold_part) = (among.hosts, among.cold_part);
            self.probe_every = among.probe_every;
        }
    }
}

/// Among whom things are shared, where hosts settle that while they serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Among {
    /// Those that there are, running or not.
    pub hosts: u32,
    /// As in [`Facts`].
    pub cold_part: Option<f64>,
    pub probe_every: Span,
}

/// In the order in which a node goes through them: only a newer start leads back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, Default)]
pub struct NodeEntry {
    pub node: NodeId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub standing: Standing,
    /// When it last started, if that is known.
    pub started: Option<Instant>,
    /// Those it is in beside that of all nodes.
    pub pools: Vec<PoolId>,
}

/// What a piece of news about the node list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// Entries that changed.
    Changes,
    /// The whole list; who is not in it is gone.
    Whole,
    /// The whole list as it was last seen, perhaps long ago.
    Remembered,
    /// What these nodes said of themselves: their starts are certain, whatever was supposed.
    Seen,
}

#[derive(Clone, Debug, Default)]
pub struct Transfer {
    pub id: TransferId,
    pub stream_type: StreamTypeId,
    pub plan: PlanId,
    pub volume: VolumeId,
    pub units: f64,
    /// What a leg of it sends.
    pub bytes: f64,
    /// Where the data lies; `None`: a new object.
    pub cell: Option<CellId>,
    pub object: Option<ObjectId>,
    /// Of a new object: where it may lie.
    pub pool: PoolId,
    /// How long until the client gives up on this try.
    pub ttl: Span,
    /// Through how many hosts the volume's transfers come.
    pub volume_hosts: u32,
}

/// How a leg ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Done,
    /// The node answered with an error.
    Failed,
    /// Turned away unseen: it never ran.
    TurnedAway,
    /// No connection: it never ran.
    Unreached,
    /// Never went out.
    Unsent,
    /// No answer in time.
    TimedOut,
    /// The connection broke.
    Broken,
    Cancelled,
}

impl Ending {
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::TurnedAway | Ending::Unreached | Ending::Unsent)
    }
}

/// What came of a leg.
#[derive(Clone, Debug)]
pub struct LegEnd {
    pub id: TransferId,
    pub leg: u32,
    pub node: NodeId,
    pub ending: Ending,
    pub took: Span,
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
    List {
        extent: Extent,
        entries: Vec<NodeEntry>,
    },
    /// A call for the list failed, or the watch broke.
    ListLost,
    Arrived(Transfer),
    /// All plans as they are from now on, and of every volume whose terms this changes the new ones. Places
    /// of plans may be other than before, so a volume that was served must be among these then.
    Plans {
        plans: Vec<Plan>,
        terms: Vec<Terms>,
        crossings: Vec<Crossing>,
        /// `None`: as before.
        among: Option<Among>,
    },
    Timer(TimerId),
    ClientLeft(TransferId),
    PeerSaid {
        from: HostId,
        bytes: Vec<u8>,
    },
    LegEnded(LegEnd),
    StreamBegan {
        id: TransferId,
        node: NodeId,
        took: Span,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the transfer to the node; without a time-out it runs until the expiry.
    Leg {
        id: TransferId,
        node: NodeId,
        time_out: Option<Span>,
    },
    /// Final answer: deferred; a repeat does no harm.
    Defer {
        id: TransferId,
        come_back: Option<Span>,
    },
    /// Final answer: abandoned; promises nothing.
    Abandon {
        id: TransferId,
    },
    /// Ask for the node list and its changes from now on.
    Watch,
    Timer {
        id: TimerId,
        at: Instant,
    },
    /// Something of this transfer went past a budget, by so many bytes of its own.
    Past {
        id: TransferId,
        crossing: VolumeId,
        bytes: f64,
        cause: Cause,
    },
    /// At most 256 bytes to one host.
    Tell {
        to: HostId,
        bytes: Vec<u8>,
    },
}
