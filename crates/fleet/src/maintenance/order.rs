//! One server's order and the stages that it goes through. Changed by the coordinator alone; known to all
//! hosts.

use super::server::ServerId;
use gullsail_scheduler_api::{Instant, Span};
use serde::{Deserialize, Serialize};

/// The low bits of an order's number are the order book's count at its request; the bits above are the
/// coordinator's round. A coordinator makes fewer changes of the order book than two to this power.
pub(super) const COUNT_BITS: u32 = 20;

/// The stages of an order, in sequence. It can be cancelled in any stage before `Drained`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u32)]
pub enum Stage {
    /// Requested by an operator; a majority of the hosts may not know it yet.
    #[serde(rename = "asked")]
    Requested = 1,
    /// Known by a majority of the hosts. It starts to drain when the limits allow.
    #[serde(rename = "cleared")]
    Approved = 2,
    /// No host may start an attempt to the server; earlier attempts may still run.
    #[serde(rename = "leaving")]
    Draining = 3,
    /// No host sends to the server. It is reported as offline only once a majority knows that, so that every
    /// later coordinator knows it too.
    #[serde(rename = "let-go")]
    Drained = 4,
    /// The server may be switched off.
    #[serde(rename = "out")]
    Offline = 5,
    /// Offline for longer than the order allows.
    Overdue = 6,
    /// The server is in service again and is watched.
    #[serde(rename = "back")]
    Returning = 7,
    /// The server has returned and serves.
    Done = 8,
    /// The order was withdrawn.
    Cancelled = 9,
}

impl Stage {
    /// All stages, in sequence.
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

    /// The stage with this number in a message.
    pub(super) fn from_number(number: u32) -> Option<Stage> {
        Stage::ALL.into_iter().find(|stage| *stage as u32 == number)
    }

    /// No host may send to the server.
    pub fn barred(self) -> bool {
        matches!(
            self,
            Stage::Draining | Stage::Drained | Stage::Offline | Stage::Overdue
        )
    }

    /// The server counts as away for maintenance.
    pub fn away(self) -> bool {
        self.barred() || self == Stage::Returning
    }

    /// The order is neither done nor cancelled.
    pub fn open(self) -> bool {
        !self.over()
    }

    /// The order is done or cancelled.
    pub fn over(self) -> bool {
        matches!(self, Stage::Done | Stage::Cancelled)
    }
}

/// One server's order.
///
/// It has more than twelve fields because it is the record that hosts send each other and keep as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The server that is to go offline.
    pub server: ServerId,
    /// Given by the coordinator that accepted the order: its place in the queue.
    pub number: u64,
    /// How far it has come.
    pub stage: Stage,
    /// The order book's count at which this stage began.
    pub version: u64,
    /// How long before `as_of` this stage began.
    pub age: Span,
    /// When `age` was taken, by the clock of the host that holds this copy.
    pub as_of: Instant,
    /// How long the server may be offline.
    pub longest: Span,
    /// Whether its shard may be without a holder meanwhile.
    pub shard_away: bool,
    /// Whether a restart counts as its return; otherwise an operator has to command it.
    pub returns: bool,
    /// The operator's reason.
    pub reason: String,
    /// What the order waits for, for operators.
    pub waiting_for: String,
    /// While it drains, the hosts that still use the server. Once it is offline, the hosts that never reported
    /// its release, so that their lease had to be waited out.
    pub hosts: Vec<u32>,
    /// How many later orders have overtaken it.
    pub passed: u32,
    /// The process that was to drain. If another one runs, the server has restarted; 0: not known.
    pub incarnation: u64,
}

impl Order {
    /// How long it has been in its stage.
    pub fn aged(&self, now: Instant) -> Span {
        self.age + (now - self.as_of).max(Span::ZERO)
    }
}
