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
    /// An operator has requested it.
    #[serde(rename = "asked")]
    Requested = 1,
    /// A majority of the hosts knows of it: the server goes when the limits allow.
    #[serde(rename = "cleared")]
    Approved = 2,
    /// No host may begin anything on it; some may still be sending.
    #[serde(rename = "leaving")]
    Draining = 3,
    /// No host sends to it any more. It is reported as offline only once a majority knows that, so that no
    /// later coordinator can take it back.
    #[serde(rename = "let-go")]
    Drained = 4,
    /// It may be switched off.
    #[serde(rename = "out")]
    Offline = 5,
    /// Offline for longer than it may be.
    Overdue = 6,
    /// It is used again, and watched.
    #[serde(rename = "back")]
    Returning = 7,
    /// It has returned and serves.
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
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The server that is to go.
    pub server: ServerId,
    /// Given by the coordinator that took the order: its place in the queue.
    pub number: u64,
    /// How far it has come.
    pub stage: Stage,
    /// The order book's count at which this stage began.
    pub version: u64,
    /// How long before `as_of` this stage began.
    pub age: Span,
    /// By the clock of the host that holds this copy.
    pub as_of: Instant,
    /// How long the server may be offline.
    pub longest: Span,
    /// Its shard may be without a holder meanwhile.
    pub shard_away: bool,
    /// It has returned as soon as it has restarted; otherwise an operator has to say so.
    pub returns: bool,
    /// The operator's reason.
    pub reason: String,
    /// What the order waits for, for operators.
    pub waits: String,
    /// While it drains, the hosts that have not released the server; once it is offline, those that never
    /// reported so and whose lease was waited for.
    pub hosts: Vec<u32>,
    /// How many later orders have gone before it.
    pub passed: u32,
    /// The process that is to go; another one under the server's name has restarted.
    pub incarnation: u64,
}

impl Order {
    /// How long it has been in its stage.
    pub fn aged(&self, now: Instant) -> Span {
        self.age + (now - self.as_of).max(Span::ZERO)
    }
}
