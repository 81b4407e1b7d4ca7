//! The coordinator's decisions on operators' commands.

use super::MaintenanceCoordinator;
use crate::config::FleetConfig;
use crate::maintenance::config::MaintenanceConfig;
use crate::maintenance::order::COUNT_BITS;
use crate::maintenance::order::{Order, Stage};
use crate::maintenance::order_book::{MAX_ORDERS, OrderBook, truncate};
use crate::maintenance::refusal::CommandRefusal;
use crate::maintenance::selection::permanent_blocker;
use crate::maintenance::server::{ServerId, ServerRole, Servers};
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::{Instant, Span};

/// The coordinator's decision on an operator's command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandDecision {
    /// The command is applied and a majority of hosts has the change, so it stays in effect under any later
    /// coordinator.
    Accepted,
    /// The command is not applied to any server.
    Refused {
        /// The server that is the cause of the refusal; if there are too many orders, the first server of the command.
        server: ServerId,
        /// The reason of the refusal.
        refusal: CommandRefusal,
    },
    /// The command is not decided yet, or a majority of hosts does not have the change yet. The sender repeats it.
    Pending,
}

/// The kind of an operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Takes the servers offline.
    TakeOffline = 1,
    /// Returns the servers to service.
    Return = 2,
    /// Cancels the servers' orders.
    Cancel = 3,
}

impl CommandKind {
    /// Returns the kind with this number in a message; `None`: there is none.
    pub fn from_number(number: u32) -> Option<CommandKind> {
        [
            CommandKind::TakeOffline,
            CommandKind::Return,
            CommandKind::Cancel,
        ]
        .into_iter()
        .find(|kind| *kind as u32 == number)
    }
}

impl MaintenanceCoordinator {
    /// Applies or refuses a command. A command is atomic: it applies to all its servers or none. It is idempotent, also
    /// if it arrives through several hosts.
    pub fn command(
        &mut self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
        command: &FleetCommand,
        servers: &Servers,
        now: Instant,
    ) -> CommandDecision {
        let kind = CommandKind::from_number(command.kind);
        let (Some(kind), Some(order_book)) = (kind, &self.order_book) else {
            return CommandDecision::Pending;
        };
        let named: Vec<ServerId> = command
            .servers
            .iter()
            .map(|server| ServerId(*server))
            .collect();
        for server in &named {
            if let Some(refusal) = refusal(order_book, maintenance, servers, kind, *server) {
                return CommandDecision::Refused {
                    server: *server,
                    refusal,
                };
            }
        }
        let added = named
            .iter()
            .filter(|server| open_order(order_book, **server).is_none())
            .count();
        if kind == CommandKind::TakeOffline && order_book.open().count() + added > MAX_ORDERS {
            let server = named.first().copied().unwrap_or_default();
            return CommandDecision::Refused {
                server,
                refusal: CommandRefusal::TooManyOrders,
            };
        }
        let mut latest = 0;
        for server in named {
            self.apply(maintenance, command, kind, server, now);
            latest = latest.max(self.version_to_commit(kind, server));
        }
        if self.is_committed(config, latest) {
            CommandDecision::Accepted
        } else {
            CommandDecision::Pending
        }
    }

    /// Applies a command to one server, unless that is done already.
    fn apply(
        &mut self,
        maintenance: &MaintenanceConfig,
        command: &FleetCommand,
        kind: CommandKind,
        server: ServerId,
        now: Instant,
    ) {
        let open = self
            .order_book
            .as_ref()
            .and_then(|order_book| open_order(order_book, server));
        match (kind, open.map(|order| order.stage)) {
            (CommandKind::TakeOffline, None) => self.request(maintenance, server, command, now),
            (CommandKind::Return, Some(Stage::Drained | Stage::Offline | Stage::Overdue)) => {
                self.set_stage(server, Stage::Returning, now);
            }
            (CommandKind::Cancel, Some(Stage::Requested | Stage::Approved | Stage::Draining)) => {
                self.set_stage(server, Stage::Cancelled, now);
            }
            _ => {}
        }
    }

    /// Returns the count of the order book that a majority must have before a command on this server is accepted; 0:
    /// any version of this coordinator suffices. An order after `Requested` is in the order book of a majority already.
    fn version_to_commit(&self, kind: CommandKind, server: ServerId) -> u64 {
        let order = self
            .order_book
            .as_ref()
            .and_then(|order_book| order_book.order(server));
        let relevant =
            |order: &&Order| kind != CommandKind::TakeOffline || order.stage == Stage::Requested;
        order.filter(relevant).map_or(0, |order| order.version)
    }

    /// Adds an order for a server to the order book.
    fn request(
        &mut self,
        maintenance: &MaintenanceConfig,
        server: ServerId,
        command: &FleetCommand,
        now: Instant,
    ) {
        let Some(version) = self.count_change() else {
            return;
        };
        let Some(order_book) = &mut self.order_book else {
            return;
        };
        // The new order replaces a done or cancelled one of the same server.
        order_book.orders.retain(|order| order.server != server);
        let max_offline = if command.longest_ms == 0 {
            maintenance.longest
        } else {
            Span::from_millis(command.longest_ms as f64)
        };
        order_book.orders.push(Order {
            server,
            // The number includes the round, since a later coordinator that does not have this one's last changes may
            // reach the same count.
            number: self.ballot.round << COUNT_BITS | version,
            stage: Stage::Requested,
            version,
            age: Span::ZERO,
            as_of: now,
            max_offline,
            shard_away: command.shard_away,
            returns_on_restart: command.returns,
            reason: truncate(&command.reason),
            waiting_for: String::new(),
            hosts: Vec::new(),
            times_overtaken: 0,
            incarnation: 0,
        });
    }
}

fn open_order(order_book: &OrderBook, server: ServerId) -> Option<&Order> {
    order_book
        .order(server)
        .filter(|order| order.stage.is_open())
}

/// Returns why a command is refused for one server; `None`: it is not refused.
fn refusal(
    order_book: &OrderBook,
    maintenance: &MaintenanceConfig,
    servers: &Servers,
    kind: CommandKind,
    server: ServerId,
) -> Option<CommandRefusal> {
    let Some(seen) = servers.get(&server) else {
        return Some(CommandRefusal::UnknownServer);
    };
    let open = open_order(order_book, server).map(|order| order.stage);
    match (kind, open) {
        (CommandKind::TakeOffline, None) => permanent_blocker(maintenance, servers, server),
        (CommandKind::TakeOffline, Some(_)) => None,
        (CommandKind::Return, None) => refusal_unless_last(order_book, server, Stage::Done),
        (CommandKind::Return, Some(stage)) if stage < Stage::Drained => {
            Some(CommandRefusal::NotOffline)
        }
        (CommandKind::Return, Some(_)) => None,
        (CommandKind::Cancel, None) => refusal_unless_last(order_book, server, Stage::Cancelled),
        (CommandKind::Cancel, Some(stage)) if stage >= Stage::Drained => {
            Some(CommandRefusal::AlreadyOffline)
        }
        (CommandKind::Cancel, Some(Stage::Draining))
            if matches!(seen.role, ServerRole::Host(_)) =>
        {
            Some(CommandRefusal::HostIsDraining)
        }
        (CommandKind::Cancel, Some(_)) => None,
    }
}

/// Returns the refusal of a command on a server without an open order. If the last order ended in `stage`, the command
/// has no more effect and is not refused, so that it can be repeated.
fn refusal_unless_last(
    order_book: &OrderBook,
    server: ServerId,
    stage: Stage,
) -> Option<CommandRefusal> {
    let last = order_book.order(server).map(|order| order.stage);
    if last == Some(stage) {
        None
    } else {
        Some(CommandRefusal::NoOrder)
    }
}
