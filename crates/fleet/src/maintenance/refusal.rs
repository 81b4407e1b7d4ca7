//! Why an operator's command is refused, with the texts that the operator reads.

use super::order_book::MAX_ORDERS;
use std::fmt;

/// Why an operator's command is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandRefusal {
    /// The coordinator's configuration does not have the server.
    UnknownServer,
    /// Too little capacity would remain, however long the order waits.
    TooLittleCapacity {
        /// The fraction of the capacity that would remain.
        remaining: f64,
        /// The fraction of the capacity that must remain.
        keep: f64,
    },
    /// The server has no open order, so there is nothing to cancel or to return from.
    NoOrder,
    /// The server's order is in a stage before `Drained`, so the server cannot return; the order can be cancelled.
    NotOffline,
    /// The server's order is in stage `Drained` or a later one, so it can no longer be cancelled.
    AlreadyOffline,
    /// The server is a host that drains and so leaves the fleet. Its order can no longer be cancelled.
    HostIsDraining,
    /// The order book has no room for more open orders.
    TooManyOrders,
    /// The configuration has no settings of maintenance.
    NoMaintenance,
    /// This host has too many commands without an answer.
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
