//! The order book: all orders in one version, with its encoding in messages. Only the coordinator changes it; other
//! hosts replace their copy by a newer version.

use super::order::{Order, Stage};
use super::server::ServerId;
use crate::ballot::Ballot;
use gullsail_protocol::{FleetOrder, FleetOrderBook};
use gullsail_scheduler_api::{Instant, Span};

/// The most open orders, so that a message with all of them fits into a frame.
pub const MAX_ORDERS: usize = 1024;
/// The most characters in a text for operators.
const MAX_TEXT: usize = 200;
/// Times in messages are limited to this many milliseconds (35 years), so that sums of them do not overflow.
const MAX_MILLIS: u64 = 1 << 40;

/// The version of an order book. Later versions compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderBookVersion {
    /// The ballot of the coordinator that made the change.
    pub ballot: Ballot,
    /// The number of changes; it continues from the order book that a coordinator adopts.
    pub count: u64,
}

/// All orders in one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderBook {
    /// The version of this order book.
    pub version: OrderBookVersion,
    /// The orders, in the sequence in which they were requested.
    pub orders: Vec<Order>,
    /// The round of the coordinator that started this order book without reports of earlier order books from enough
    /// hosts, so that earlier orders may be lost; 0: there was no such start.
    pub anew: u64,
}

impl OrderBook {
    /// Returns the newest order for a server.
    pub fn order(&self, server: ServerId) -> Option<&Order> {
        self.orders
            .iter()
            .rev()
            .find(|order| order.server == server)
    }

    /// Returns the newest order for a server, for changes.
    pub(super) fn order_mut(&mut self, server: ServerId) -> Option<&mut Order> {
        self.orders
            .iter_mut()
            .rev()
            .find(|order| order.server == server)
    }

    /// Returns the orders that are neither done nor cancelled.
    pub fn open(&self) -> impl Iterator<Item = &Order> {
        self.orders.iter().filter(|order| order.stage.is_open())
    }

    /// Encodes the order book for a message.
    pub fn to_message(&self, now: Instant) -> FleetOrderBook {
        FleetOrderBook {
            round: self.version.ballot.round,
            by: self.version.ballot.by,
            count: self.version.count,
            anew: self.anew,
            orders: self
                .orders
                .iter()
                .map(|order| order_to_message(order, now))
                .collect(),
        }
    }

    /// Decodes an order book; `None`: it is invalid.
    pub fn from_message(message: &FleetOrderBook, now: Instant) -> Option<OrderBook> {
        if message.count == 0 || message.orders.len() > 2 * MAX_ORDERS {
            return None;
        }
        let orders = message
            .orders
            .iter()
            .map(|order| order_from_message(order, now));
        let orders = orders.collect::<Option<Vec<Order>>>()?;
        let ballot = Ballot {
            round: message.round,
            by: message.by,
        };
        let version = OrderBookVersion {
            ballot,
            count: message.count,
        };
        Some(OrderBook {
            version,
            orders,
            anew: message.anew,
        })
    }
}

fn order_to_message(order: &Order, now: Instant) -> FleetOrder {
    FleetOrder {
        server: order.server.0,
        number: order.number,
        stage: order.stage as u32,
        version: order.version,
        age_ms: to_millis(order.time_in_stage(now)),
        longest_ms: to_millis(order.max_offline),
        shard_away: order.shard_away,
        returns: order.returns_on_restart,
        reason: order.reason.clone(),
        waiting_for: order.waiting_for.clone(),
        hosts: order.hosts.clone(),
        passed: order.times_overtaken,
        incarnation: order.incarnation,
    }
}

fn order_from_message(order: &FleetOrder, now: Instant) -> Option<Order> {
    Some(Order {
        server: ServerId(order.server),
        number: order.number,
        stage: Stage::from_number(order.stage)?,
        version: order.version,
        age: from_millis(order.age_ms),
        as_of: now,
        max_offline: from_millis(order.longest_ms),
        shard_away: order.shard_away,
        returns_on_restart: order.returns,
        reason: truncate(&order.reason),
        waiting_for: truncate(&order.waiting_for),
        hosts: order.hosts.clone(),
        times_overtaken: order.passed,
        incarnation: order.incarnation,
    })
}

/// Cuts a text for operators to [`MAX_TEXT`] characters.
pub(super) fn truncate(text: &str) -> String {
    text.chars().take(MAX_TEXT).collect()
}

fn to_millis(span: Span) -> u64 {
    span.millis().max(0.0) as u64
}

fn from_millis(ms: u64) -> Span {
    Span::from_millis(ms.min(MAX_MILLIS) as f64)
}
