//! The order to take one server offline, and its stages. Only the coordinator changes orders; all hosts have copies.

use super::server::ServerId;
use gullsail_scheduler_api::{Instant, Span};
use serde::{Deserialize, Serialize};

/// The number of low bits of an order's number that hold the order book's count at the order's request. The bits above
/// hold the coordinator's round. The count has to stay below two to this power; it continues from one coordinator to
/// the next.
pub(super) const COUNT_BITS: u32 = 20;

/// The stages of an order, in sequence. An order can be cancelled in any stage before `Drained`; that of a host only
/// before `Draining`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u32)]
pub enum Stage {
    /// An operator has requested the order; it is not yet confirmed that a majority of hosts has it.
    #[serde(rename = "asked")]
    Requested = 1,
    /// A majority of hosts has the order. The server starts to drain when the limits allow.
    #[serde(rename = "cleared")]
    Approved = 2,
    /// No host may start an attempt to the server; earlier attempts may still run.
    #[serde(rename = "leaving")]
    Draining = 3,
    /// No host sends to the server. The order becomes `Offline` once a majority of hosts has this stage, so that every
    /// later coordinator adopts it.
    #[serde(rename = "let-go")]
    Drained = 4,
    /// The server may be switched off.
    #[serde(rename = "out")]
    Offline = 5,
    /// The server has been offline for longer than the order allows.
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
    /// All stages, in the sequence of their numbers.
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

    /// Returns the stage with this number in a message; `None`: there is none.
    pub(super) fn from_number(number: u32) -> Option<Stage> {
        Stage::ALL.into_iter().find(|stage| *stage as u32 == number)
    }

    /// Whether no host may start an attempt to the server in this stage.
    pub fn blocks_attempts(self) -> bool {
        matches!(
            self,
            Stage::Draining | Stage::Drained | Stage::Offline | Stage::Overdue
        )
    }

    /// Whether the server counts as away for maintenance in this stage.
    pub fn is_away(self) -> bool {
        self.blocks_attempts() || self == Stage::Returning
    }

    /// Whether the order is neither done nor cancelled.
    pub fn is_open(self) -> bool {
        !self.has_ended()
    }

    /// Whether the order is done or cancelled.
    pub fn has_ended(self) -> bool {
        matches!(self, Stage::Done | Stage::Cancelled)
    }
}

/// The order to take one server offline.
///
/// It has more than twelve fields because hosts send and store it as one record.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The server that is to go offline.
    pub server: ServerId,
    /// The order's number, given by the coordinator that accepted it. Lower numbers are earlier in the queue.
    pub number: u64,
    /// The order's stage.
    pub stage: Stage,
    /// The order book's count when the order entered this stage, or when the present coordinator adopted the order book
    /// if that was later.
    pub version: u64,
    /// The time that the order had been in this stage as of `as_of`.
    pub age: Span,
    /// The time that `age` refers to, by the clock of the host that holds this copy.
    pub as_of: Instant,
    /// How long the server may be offline before the order is overdue.
    pub max_offline: Span,
    /// Whether the server's shard may have too few holders, or none, while the server is offline.
    pub shard_away: bool,
    /// Whether a restart of the server counts as its return. If not, an operator has to command the return.
    pub returns_on_restart: bool,
    /// The reason that the operator gave for the order.
    pub reason: String,
    /// What the order waits for, as text for operators; empty: it does not wait.
    pub waiting_for: String,
    /// While the server drains, the hosts that still use it. After that, the hosts that never reported its release, so
    /// that the coordinator waited for their leases to expire.
    pub hosts: Vec<u32>,
    /// The number of later orders that started to drain before this one.
    pub times_overtaken: u32,
    /// The incarnation of the process that was running when the server started to drain; 0: not known. If another one
    /// runs, the server has restarted. For a host that restarts while it drains, this becomes its new incarnation.
    pub incarnation: u64,
}

impl Order {
    /// Returns how long the order has been in its stage at `now`.
    pub fn time_in_stage(&self, now: Instant) -> Span {
        self.age + (now - self.as_of).max(Span::ZERO)
    }
}
