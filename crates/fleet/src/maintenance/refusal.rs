//! Why an operator's command is refused, with the texts that the operator reads.

use super::order_book::MAX_ORDERS;
use std::fmt;

/// Why an operator's command is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandRefusal {
    /// The coordinator does not know the server.
    UnknownServer,
    /// Too little capacity would stay, however long it waits.
    TooLittleCapacity {
        /// The part of the capacity that would stay.
        remaining: f64,
        /// The part that has to stay.
        keep: f64,
    },
    /// Nothing to cancel, and nothing to return from.
    NoOrder,
    /// The server has not gone offline yet, so it cannot return.
    NotOffline,
    /// The server is offline, so its order can no longer be cancelled.
    AlreadyOffline,
    /// A host that drains gives up its membership, so its order can no longer be cancelled.
    HostIsDraining,
    /// The order book is full.
    TooManyOrders,
    /// The fleet's configuration has no maintenance.
    NoMaintenance,
    /// Too many commands of this host wait for an answer.
    TooManyCommands,
    /// No coordinator answered in time.
    Unanswered,
    /// This host is leaving the fleet.
    HostIsLeaving,
}

impl fmt::Display for CommandRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            CommandRefusal::UnknownServer => "the coordinator knows no server of that name",
            CommandRefusal::TooLittleCapacity { remaining, keep } => {
                let percent = remaining * 100.0;
                return write!(
                    f,
                    "without it {percent:.0}% of all capacity stays, and keep={keep} wants more"
                );
            }
            CommandRefusal::NoOrder => "there is no order for it",
            CommandRefusal::NotOffline => "it is not offline yet: `cancel` withdraws its order",
            CommandRefusal::AlreadyOffline => "it is out already: `back` says that it is back",
            CommandRefusal::HostIsDraining => {
                "this host is already draining: its order can no longer be withdrawn"
            }
            CommandRefusal::TooManyOrders => {
                return write!(f, "more than {MAX_ORDERS} orders would be open");
            }
            CommandRefusal::NoMaintenance => "the configuration has no `works` entry",
            CommandRefusal::TooManyCommands => "too many commands of this host wait for an answer",
            CommandRefusal::HostIsLeaving => {
                "this host is leaving: give the command to another one"
            }
            CommandRefusal::Unanswered => {
                "no coordinator acknowledged it in time; it may still take effect, and repeating it is safe"
            }
        };
        f.write_str(text)
    }
}

impl std::error::Error for CommandRefusal {}
