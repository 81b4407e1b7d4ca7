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
}

impl fmt::Display for CommandRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            CommandRefusal::UnknownServer => "no such machine is known to whoever decides",
            CommandRefusal::TooLittleCapacity { remaining, keep } => {
                let percent = remaining * 100.0;
                return write!(
                    f,
                    "without it {percent:.0}% of all capacity stays, and keep={keep} wants more"
                );
            }
            CommandRefusal::NoOrder => "there is no order for it",
            CommandRefusal::NotOffline => "it is not out yet: `cancel` takes its order back",
            CommandRefusal::AlreadyOffline => "it is out already: `back` says that it is back",
            CommandRefusal::HostIsDraining => "this host is leaving already, and will be out",
            CommandRefusal::TooManyOrders => {
                return write!(f, "more than {MAX_ORDERS} orders would be open");
            }
            CommandRefusal::NoMaintenance => "the document has no `works`",
            CommandRefusal::TooManyCommands => "too many orders are on their way from this host",
            CommandRefusal::Unanswered => {
                "nobody who decides took it in time; it may still count: say it again, it counts once"
            }
        };
        f.write_str(text)
    }
}

impl std::error::Error for CommandRefusal {}
