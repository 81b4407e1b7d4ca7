//! The servers as hosts observe them, and the history of orders in the hosts' order books.

use crate::harness::{FIRST_NODE, Node, World};
use gullsail_fleet::Event;
use gullsail_fleet::maintenance::{
    OrderBook, ServerId, ServerObservation, ServerRole, Servers, Stage,
};
use gullsail_scheduler_api::{Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

/// The longest time that an attempt to a node takes, in microseconds.
const ATTEMPT: i64 = 30_000;

impl World {
    /// Passes the servers and the set of released ones to a host, and records its answers to commands and its order
    /// book.
    pub fn observe_servers(&mut self, number: u32, now: Instant) {
        let at = self.now;
        let servers = self.servers();
        let host = &mut self.hosts[number as usize];
        let Some(fleet) = &mut host.fleet else { return };
        let mut released = BTreeSet::new();
        for (used_at, index) in host.used_at.iter_mut().zip(0..) {
            let server = ServerId(FIRST_NODE + index);
            if fleet.may_use(server, now) {
                *used_at = at;
            } else if at - *used_at > ATTEMPT {
                released.insert(server);
            }
        }
        fleet.handle(now, Event::ServersObserved { servers, released });
        self.answers.extend(fleet.answers());
        if let Some(order_book) = fleet.order_book() {
            self.orders.follow(order_book);
        }
    }

    fn servers(&self) -> Servers {
        let node = |(index, node): (usize, &Node)| {
            let seen = ServerObservation {
                role: ServerRole::Node {
                    shard: index as i64 / 2,
                    pool: 0,
                    can: 100.0,
                },
                zone: index as u32 % 2,
                in_service: node.well,
                incarnation: node.incarnation,
                uptime: self.up,
            };
            (ServerId(FIRST_NODE + index as u64), seen)
        };
        let host = |number: u32| {
            let seen = ServerObservation {
                role: ServerRole::Host(number),
                zone: number % 2,
                in_service: true,
                incarnation: 0,
                uptime: Span::ZERO,
            };
            (ServerId(u64::from(number) + 1), seen)
        };
        self.nodes
            .iter()
            .enumerate()
            .map(node)
            .chain((0..self.config.hosts).map(host))
            .collect()
    }
}

/// The history of orders in the order books of all hosts.
#[derive(Default)]
pub struct OrderHistory {
    /// By server and order number, the latest stage in any order book.
    pub stages: BTreeMap<(ServerId, u64), Stage>,
    /// The rounds of coordinators that started an order book without a quorum.
    pub anew: BTreeSet<u64>,
    /// The last round in `anew`; 0: there is none.
    lineage: u64,
}

impl OrderHistory {
    fn follow(&mut self, order_book: &OrderBook) {
        // An order book that was started without a quorum replaces the earlier ones. Hosts that still have an earlier
        // one are ignored.
        if order_book.anew != 0 && self.anew.insert(order_book.anew) {
            self.stages.clear();
            self.lineage = order_book.anew;
        }
        if order_book.anew != self.lineage {
            return;
        }
        for order in &order_book.orders {
            let stage = self
                .stages
                .entry((order.server, order.number))
                .or_insert(order.stage);
            *stage = order.stage.max(*stage);
            // A newer order is accepted only once the one before it is done or cancelled.
            let before = self
                .stages
                .range_mut((order.server, 0)..(order.server, order.number));
            for (_, stage) in before.filter(|(_, stage)| stage.is_open()) {
                *stage = Stage::Done;
            }
        }
    }
}
