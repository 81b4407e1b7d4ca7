//! Shapes of what the module's parts hold and pass on: notes, the room of a node as the desk sees it,
//! transfers and the lines in which they wait. Nothing is decided here; what is tuned stands with its use.

use super::*;

pub(super) enum NodeNote {
    Listed(NodeEntry, bool), // and whether the node itself said it
    Out { id: TransferId, leg: u32, units: f64, slo_time: Span },
    Ended { id: TransferId, leg: u32, ending: Ending, took: Span },
    Beat,
}

/// Which, when, its units, whether it was served.
pub(super) type ColdLeg = ((TransferId, u32), Instant, f64, bool);

#[derive(Clone)]
pub(super) struct Room {
    pub(super) entry: NodeEntry,
    pub(super) slots: usize,
    pub(super) units: f64, // how many it may be sent now; infinite once it is warm
    pub(super) even: f64,  // and within this host's even part, whatever other hosts do
    pub(super) latency: Span,
    pub(super) silent: bool,
    pub(super) weak: bool,   // cold, or late or full within the last minute
    pub(super) seldom: bool, // its answers are too few to know it by
}

/// Legs out at nodes of one zone that answer seldom, with their SLO times, and the window that they share.
#[derive(Default)]
pub(super) struct Seldom {
    pub(super) window: f64,
    pub(super) out: BTreeMap<(TransferId, u32), Span>,
    pub(super) halved: Instant,
}

pub(super) enum DeskNote {
    Event(Event),
    Room(Room),
}

#[derive(Default)]
pub(super) struct Xfer {
    pub(super) t: Transfer,
    pub(super) slo_end: Instant,
    pub(super) half_time: Instant,    // when half of the time until then is gone
    pub(super) line: Option<LineKey>, // where it waits
    pub(super) legs: u32,
    pub(super) out: u32,
    /// The first leg that did not prove that it never ran: its number, where, since when.
    pub(super) maybe_ran: Option<(u32, CellId, ZoneId, Instant)>,
    pub(super) closed: bool, // it has its final answer, or a stream has begun that is now the client's
}

/// Where a leg can go: to who holds this data, or, of a new object, to any node of a pool.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Where {
    Pool(PoolId),
    Cell(CellId),
}

/// Whether it holds further legs, which wait in lines of their own, and for where.
pub(super) type LineKey = (bool, Where);

/// What waits for a node, by volume and stream type, the least time left first.
#[derive(Default)]
pub(super) struct Line {
    pub(super) groups: BTreeMap<(VolumeId, StreamTypeId), BTreeSet<(Instant, TransferId)>>,
    pub(super) beat: Option<TimerId>,
}

/// The transfers of one object whose stream type keeps order, in order of arrival; idle until when.
pub(super) type Turn = (VecDeque<TransferId>, Instant);
