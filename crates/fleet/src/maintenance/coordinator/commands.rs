//! Operators' commands and the coordinator's decisions on them.

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

/// What the coordinator decides on an operator's command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandDecision {
    /// A majority of hosts knows the change, so it stays in effect under any later coordinator.
    Accepted,
    /// Nothing of it is done.
    Refused {
        /// The server that is the cause.
        server: ServerId,
        /// Why.
        refusal: CommandRefusal,
    },
    /// Not decided yet: the sender repeats the command.
    Pending,
}

/// The kind of an operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// To take them offline.
    TakeOffline = 1,
    /// To put them back into service.
    Return = 2,
    /// To withdraw their orders.
    Cancel = 3,
}

impl CommandKind {
    /// The kind with this number in a message.
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
    /// Decides on a command. It is atomic (for all its servers or none) and idempotent, through whichever host
    /// it comes.
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

    /// Does what a command wants of one server, unless it is done already.
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

    /// The count that a majority must know before a command on this server counts; 0: any. An order that has
    /// gone beyond its request is known to a majority already.
    fn version_to_commit(&self, kind: CommandKind, server: ServerId) -> u64 {
        let order = self
            .order_book
            .as_ref()
            .and_then(|order_book| order_book.order(server));
        let relevant =
            |order: &&Order| kind != CommandKind::TakeOffline || order.stage == Stage::Requested;
        order.filter(relevant).map_or(0, |order| order.version)
    }

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
        // A finished order of the server is replaced.
        order_book.orders.retain(|order| order.server != server);
        let longest = if command.longest_ms == 0 {
            maintenance.longest
        } else {
            Span::from_millis(command.longest_ms as f64)
        };
        order_book.orders.push(Order {
            server,
            // The round is part of the number: a later coordinator that does not know this one's last changes may
            // reach the same count.
            number: self.ballot.round << COUNT_BITS | version,
            stage: Stage::Requested,
            version,
            age: Span::ZERO,
            as_of: now,
            longest,
            shard_away: command.shard_away,
            returns: command.returns,
            reason: truncate(&command.reason),
            waiting_for: String::new(),
            hosts: Vec::new(),
            passed: 0,
            incarnation: 0,
        });
    }
}

fn open_order(order_book: &OrderBook, server: ServerId) -> Option<&Order> {
    order_book.order(server).filter(|order| order.stage.open())
}

/// Why a command on one server is refused; `None`: it is not.
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
            if matches!(seen.what, ServerRole::Host(_)) =>
        {
            Some(CommandRefusal::HostIsDraining)
        }
        (CommandKind::Cancel, Some(_)) => None,
    }
}

/// There is no open order. That is as the command wants it where the last one ended in this stage.
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
