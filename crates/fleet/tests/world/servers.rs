//! What hosts observe of servers, and what they know of orders.

use crate::harness::{FIRST_NODE, Node, World};
use gullsail_fleet::Event;
use gullsail_fleet::maintenance::{
    OrderBook, ServerId, ServerObservation, ServerRole, Servers, Stage,
};
use gullsail_scheduler_api::{Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Attempts to a node have ended this long after the last one began, in microseconds.
const ATTEMPT: i64 = 30_000;

impl World {
    /// Tells a host what it observes of servers and which of them it has released, and takes what it knows of
    /// orders.
    pub fn observe_servers(&mut self, number: u32, now: Instant) {
        let at = self.now;
        let servers = self.servers();
        let host = &mut self.hosts[number as usize];
        let Some(fleet) = &mut host.fleet else { return };
        let mut released = BTreeSet::new();
        for (used_at, place) in host.used_at.iter_mut().zip(0..) {
            let server = ServerId(FIRST_NODE + place);
            if fleet.may_use(server, now) {
                *used_at = at;
            } else if at - *used_at > ATTEMPT {
                released.insert(server);
            }
        }
        fleet.handle(now, Event::ServersObserved { servers, released });
        self.answers.extend(fleet.answers());
        if let Some(order_book) = fleet.line() {
            self.orders.follow(order_book);
        }
    }

    fn servers(&self) -> Servers {
        let node = |(place, node): (usize, &Node)| {
            let seen = ServerObservation {
                what: ServerRole::Node {
                    shard: place as i64 / 2,
                    pool: 0,
                    can: 100.0,
                },
                zone: place as u32 % 2,
                well: node.well,
                incarnation: node.incarnation,
                up: self.up,
            };
            (ServerId(FIRST_NODE + place as u64), seen)
        };
        let host = |number: u32| {
            let seen = ServerObservation {
                what: ServerRole::Host(number),
                zone: number % 2,
                well: true,
                incarnation: 0,
                up: Span::ZERO,
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

/// What hosts know of orders, all taken together.
#[derive(Default)]
pub struct OrderHistory {
    /// By server and number, the furthest stage.
    pub stages: BTreeMap<(ServerId, u64), Stage>,
    /// Rounds at which order books were begun anew.
    pub anew: BTreeSet<u64>,
    /// The last of them.
    lineage: u64,
}

impl OrderHistory {
    fn follow(&mut self, order_book: &OrderBook) {
        // What most hosts forgot is lost, as the order book says that begins then; a host that still knows it
        // counts no more.
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
            // A newer order is taken only once the one before it is over.
            let before = self
                .stages
                .range_mut((order.server, 0)..(order.server, order.number));
            for (_, stage) in before.filter(|(_, stage)| stage.open()) {
                *stage = Stage::Done;
            }
        }
    }
}
