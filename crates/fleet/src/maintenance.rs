//! Machines out for work: which goes, when, and that it may be switched off. [`line`](self::Line) is what all hosts know
//! alike, with a version that one coordinator at a time counts on; [`selection`] says who may go next; [`maintenance_coordinator`] is the
//! coordinator's side; what a host may send to is [`may_use`]. The whole argument is in docs/works.md.
//!
//! **Why nothing is sent to a machine that is out.** A host sends to a machine only while it has heard a line, and
//! either holds a lease and knows no order by which the machine has left, or has lost its lease less than `blind` ago and
//! knows no order for it at all. `Out` is decided only when every host of the document has said, in this incarnation, that it
//! let go; or it left; or its last lease is over, with `blind` on top unless it had said that it knows the order. And a
//! majority of all hosts must have said that they know that the machine leaves: a later coordinator takes over the newest
//! line of a majority that has memory, so it knows too.

pub mod coordinator;
pub mod selection;

use crate::lease::Ballot;
use gullsail_protocol::{FleetLine, FleetOrder};
use gullsail_scheduler_api::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A storage node or a host, by its name's number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub u64);

/// The document's `works` entry.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceConfig {
    /// Machines away at once: in all, in a zone, in a pool. One that failed by itself counts.
    pub at_once: u32,
    pub in_zone: u32,
    pub in_pool: u32,
    /// The least part of the nodes' capacity that stays, overall and of the holders of a shard.
    pub keep: f64,
    pub keep_shard: f64,
    /// What stays may be so busy by what is served now, as a part of what it can.
    pub busy: f64,
    /// How long a machine may be away, unless its order says otherwise.
    pub longest: Span,
    /// How long one that is back is watched before the next goes in its place.
    pub watched: Span,
    /// How long a host that lost its lease goes on sending to machines that it knows no order for.
    pub blind: Span,
    /// Times of day (UTC, seconds from midnight, from and to) at which none goes.
    pub rests: Vec<(u32, u32)>,
}

impl MaintenanceConfig {
    /// What a host counts on of `blind`, by a clock that may run unevenly.
    pub fn blind_held(&self, drift: f64) -> Span {
        self.blind.times((1.0 - drift) / (1.0 + drift))
    }
}

/// In the order in which an order goes through them; cancelled from any before `LetGo`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u32)]
pub enum Stage {
    #[serde(rename = "asked")]
    Requested = 1,
    /// A majority of the hosts knows of it: it goes when the terms allow.
    #[serde(rename = "cleared")]
    Approved = 2,
    #[serde(rename = "leaving")]
    Draining = 3,
    /// No host sends to it any more; it is not told to be out before a majority knows that, so that no later coordinator
    /// can take it back.
    #[serde(rename = "let-go")]
    Drained = 4,
    /// It may be switched off.
    #[serde(rename = "out")]
    Offline = 5,
    /// Out for longer than it may be.
    Overdue = 6,
    #[serde(rename = "back")]
    Returning = 7,
    Done = 8,
    Cancelled = 9,
}

impl Stage {
    pub const ALL: [Stage; 9] = [
        Stage::Requested,
        Stage::Approved,
        Stage::Draining,
        Stage::Drained,
        Stage::Offline,
        Stage::Overdue,
        Stage::Returning,
        Stage::Done,
        Stage::Cancelled,
    ];

    fn of(number: u32) -> Option<Stage> {
        Stage::ALL.into_iter().find(|s| *s as u32 == number)
    }

    /// No host may send to the machine.
    pub fn barred(self) -> bool {
        matches!(self, Stage::Draining | Stage::Drained | Stage::Offline | Stage::Overdue)
    }

    /// It counts as away on purpose.
    pub fn away(self) -> bool {
        self.barred() || self == Stage::Returning
    }

    pub fn open(self) -> bool {
        !self.over()
    }

    pub fn over(self) -> bool {
        matches!(self, Stage::Done | Stage::Cancelled)
    }
}

/// One machine's order. What it waits for is told beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub server: ServerId,
    /// Counted by coordinators: the place in line.
    pub number: u64,
    pub stage: Stage,
    /// The line's count at which this stage began.
    pub version: u64,
    /// The stage began so long before that point in time.
    pub age: Span,
    pub as_of: Instant,
    pub longest: Span,
    /// Its shard may be without a holder meanwhile.
    pub shard_away: bool,
    /// It is back as soon as it has started anew; else an operator says so.
    pub returns: bool,
    pub reason: String,
    pub waits: String,
    /// While it leaves, hosts that have not let go; once it is out, those that never said so and whose lease was waited out.
    pub hosts: Vec<u32>,
    /// So many that came later have gone before it.
    pub passed: u32,
    /// The process that goes: another one of its name has started anew.
    pub incarnation: u64,
}

impl Order {
    pub fn aged(&self, now: Instant) -> Span {
        self.age + (now - self.as_of).max(Span::ZERO)
    }
}

/// Which line: by whose ballot, and its count of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineAt {
    pub ballot: Ballot,
    pub count: u64,
}

/// All orders, as of one change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Line {
    pub at: LineAt,
    pub orders: Vec<Order>,
    /// So many hosts had lost their memory when a coordinator began this line, by this round, that an earlier one may be
    /// lost; 0: that never was.
    pub anew: u64,
}

/// Units a second that a host serves, among what it is asked for.
pub const SERVED: gullsail_scheduler_api::VolumeId = gullsail_scheduler_api::VolumeId(u64::MAX - 3);
/// Open orders at most: a message with all of them stays below the bound of a frame.
pub const MOST_ORDERS: usize = 1024;
/// Of what is written for people.
const MOST_TEXT: usize = 200;

pub fn text(text: &str) -> String {
    text.chars().take(MOST_TEXT).collect()
}

fn ms(span: Span) -> u64 {
    span.millis().max(0.0) as u64
}

fn of_ms(ms: u64) -> Span {
    Span::from_millis(ms.min(1 << 40) as f64)
}

impl Line {
    /// The newest order for a machine.
    pub fn order(&self, server: ServerId) -> Option<&Order> {
        self.orders.iter().rev().find(|o| o.server == server)
    }

    pub fn open(&self) -> impl Iterator<Item = &Order> {
        self.orders.iter().filter(|o| o.stage.open())
    }

    pub fn written(&self, now: Instant) -> FleetLine {
        let order = |o: &Order| FleetOrder {
            server: o.server.0,
            number: o.number,
            stage: o.stage as u32,
            version: o.version,
            age_ms: ms(o.aged(now)),
            longest_ms: ms(o.longest),
            shard_away: o.shard_away,
            returns: o.returns,
            reason: o.reason.clone(),
            waits: o.waits.clone(),
            hosts: o.hosts.clone(),
            passed: o.passed,
            incarnation: o.incarnation,
        };
        FleetLine {
            round: self.at.ballot.round,
            by: self.at.ballot.by,
            count: self.at.count,
            anew: self.anew,
            orders: self.orders.iter().map(order).collect(),
        }
    }

    /// `None`: it says what no coordinator writes.
    pub fn read(l: &FleetLine, now: Instant) -> Option<Line> {
        let order = |o: &FleetOrder| {
            let stage = Stage::of(o.stage)?;
            Some(Order {
                server: ServerId(o.server),
                number: o.number,
                stage,
                version: o.version,
                age: of_ms(o.age_ms),
                as_of: now,
                longest: of_ms(o.longest_ms),
                shard_away: o.shard_away,
                returns: o.returns,
                reason: text(&o.reason),
                waits: text(&o.waits),
                hosts: o.hosts.clone(),
                passed: o.passed,
                incarnation: o.incarnation,
            })
        };
        let sound = l.count > 0 && l.orders.len() <= 2 * MOST_ORDERS;
        let orders = l.orders.iter().map(order).collect::<Option<Vec<_>>>().filter(|_| sound)?;
        let ballot = Ballot { round: l.round, by: l.by };
        Some(Line { at: LineAt { ballot, count: l.count }, orders, anew: l.anew })
    }
}

/// May a host send to a machine, by the line it knows and its lease? `lost`: since when it has none; `None`: it has one.
pub fn may_use(
    line: Option<&Line>,
    terms: &MaintenanceConfig,
    drift: f64,
    lost: Option<Instant>,
    server: ServerId,
    now: Instant,
) -> bool {
    // Guards against a newborn that knows of nobody's order. Harms where all hosts start at once: none sends to any
    // machine until a coordinator has told the line.
    let Some(line) = line else { return false };
    let order = line.order(server).map(|o| o.stage).filter(|s| s.open());
    match lost {
        None => order.is_none_or(|s| !s.barred()),
        // Guards against orders that were given since. Harms hosts that nobody decides for: they serve nothing after it.
        Some(since) => order.is_none() && now - since < terms.blind_held(drift),
    }
}

/// What a host knows of a machine, by its own eyes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerObservation {
    pub what: ServerRole,
    pub zone: u32,
    /// It serves: ready by the list and connected here; of a host it is the coordinator who knows.
    pub well: bool,
    /// The process that runs there, as far as it is known; 0: not. Of a node, for how long.
    pub incarnation: u64,
    pub up: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ServerRole {
    /// What it can do, in units a second, and the pool (its kind) that it is in.
    Node {
        shard: i64,
        pool: u64,
        can: f64,
    },
    Host(u32),
}

pub type Servers = BTreeMap<ServerId, ServerObservation>;
