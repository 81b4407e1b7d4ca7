//! Which server goes next: a function of the order book, the servers and the settings alone, so that every
//! host can repeat it. Called by the coordinator; it changes nothing.

use super::blockers::blocker;
use super::config::MaintenanceConfig;
use super::order::{Order, Stage};
use super::order_book::OrderBook;
use super::refusal::CommandRefusal;
use super::server::{ServerId, ServerObservation, ServerRole, Servers};
use super::snapshot::{CAPACITY_TOLERANCE, FleetSnapshot};

/// An order that later ones have overtaken this often is protected: no later order that shares its limits may start
/// before it.
const MAX_OVERTAKEN: u32 = 4;

/// What an approved order waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitReason {
    /// The server whose order waits.
    pub server: ServerId,
    /// For operators.
    pub reason: String,
}

/// The server that goes next, and what the other approved orders wait for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// `None`: none can go now.
    pub next: Option<ServerId>,
    /// Of each approved order that does not go.
    pub waiting: Vec<WaitReason>,
}

/// Selects the next of the approved orders.
///
/// An order that cannot go does not hold up others, unless it was overtaken too often. Failed servers go
/// first, since they count as away already.
pub fn select_next(
    order_book: &OrderBook,
    config: &MaintenanceConfig,
    snapshot: &FleetSnapshot,
) -> Selection {
    let mut waiting = Vec::new();
    let mut next = None;
    // The first order that was overtaken too often: the capacity it waits for is kept for it.
    let mut protected: Option<ServerId> = None;
    for order in approved_in_sequence(order_book, snapshot) {
        let server = order.server;
        let reason = match blocker(order_book, config, snapshot, order) {
            None => {
                let yields = protected.is_some_and(|other| snapshot.share_limits(other, server));
                if !yields && next.is_none() {
                    next = Some(server);
                    continue;
                }
                "another server goes first".to_string()
            }
            Some(blocker) => {
                if order.passed >= MAX_OVERTAKEN && blocker.by_others && protected.is_none() {
                    protected = Some(server);
                }
                blocker.reason
            }
        };
        waiting.push(WaitReason { server, reason });
    }
    Selection { next, waiting }
}

/// Orders that were overtaken too often first, then failed servers, then by age.
fn approved_in_sequence<'a>(order_book: &'a OrderBook, snapshot: &FleetSnapshot) -> Vec<&'a Order> {
    let approved = order_book
        .orders
        .iter()
        .filter(|order| order.stage == Stage::Approved);
    let mut approved: Vec<&Order> = approved.collect();
    let is_well = |order: &Order| {
        snapshot
            .servers
            .get(&order.server)
            .is_none_or(|seen| snapshot.is_well(seen))
    };
    approved.sort_by_key(|order| (order.passed < MAX_OVERTAKEN, is_well(order), order.number));
    approved
}

/// Why a server can never go, however long it waits; `None`: it can at some time.
pub fn permanent_blocker(
    config: &MaintenanceConfig,
    servers: &Servers,
    server: ServerId,
) -> Option<CommandRefusal> {
    let ServerRole::Node { can, .. } = servers.get(&server)?.what else {
        return None;
    };
    let capacity = |seen: &ServerObservation| match seen.what {
        ServerRole::Node { can, .. } => Some(can),
        ServerRole::Host(_) => None,
    };
    let all: f64 = servers.values().filter_map(capacity).sum();
    let rest = all - can;
    let too_little = rest < config.keep * all - CAPACITY_TOLERANCE;
    too_little.then(|| CommandRefusal::TooLittleCapacity {
        remaining: rest / all,
        keep: config.keep,
    })
}
