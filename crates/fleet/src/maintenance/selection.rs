//! Selects the server that drains next. It is a pure function of the order book, the servers and the settings, so that
//! every host can compute the same result. Called by the coordinator.

use super::blockers::blocker;
use super::config::MaintenanceConfig;
use super::order::{Order, Stage};
use super::order_book::OrderBook;
use super::refusal::CommandRefusal;
use super::server::{ServerId, ServerObservation, ServerRole, Servers};
use super::snapshot::{CAPACITY_TOLERANCE, FleetSnapshot};

/// The number of times that an order may be overtaken. An order that was overtaken this often and waits for others is
/// protected: no order that shares its limits may start before it.
const MAX_OVERTAKEN: u32 = 4;

/// The reason why an approved order does not start to drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitReason {
    /// The server whose order waits.
    pub server: ServerId,
    /// The reason, for operators.
    pub reason: String,
}

/// The result of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// The server that starts to drain; `None`: none can now.
    pub next: Option<ServerId>,
    /// The reason of each approved order that does not start to drain.
    pub waiting: Vec<WaitReason>,
}

/// Selects the approved order that starts to drain next.
///
/// An order that cannot start does not delay others, unless it was overtaken too often. Failed servers come first,
/// since they count as away already.
pub fn select_next(
    order_book: &OrderBook,
    config: &MaintenanceConfig,
    snapshot: &FleetSnapshot,
) -> Selection {
    let mut waiting = Vec::new();
    let mut next = None;
    // The first order that waits for others and was overtaken too often. Orders that share its limits yield to it.
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
                if order.times_overtaken >= MAX_OVERTAKEN
                    && blocker.by_others
                    && protected.is_none()
                {
                    protected = Some(server);
                }
                blocker.reason
            }
        };
        waiting.push(WaitReason { server, reason });
    }
    Selection { next, waiting }
}

/// Returns the approved orders in the sequence of selection: orders that were overtaken too often, then those for
/// failed servers, then the others; each group by number.
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
    approved.sort_by_key(|order| {
        (
            order.times_overtaken < MAX_OVERTAKEN,
            is_well(order),
            order.number,
        )
    });
    approved
}

/// Returns why a server can never be taken offline, however long its order waits; `None`: it may become possible.
pub fn permanent_blocker(
    config: &MaintenanceConfig,
    servers: &Servers,
    server: ServerId,
) -> Option<CommandRefusal> {
    let ServerRole::Node { can, .. } = servers.get(&server)?.role else {
        return None;
    };
    let capacity = |seen: &ServerObservation| match seen.role {
        ServerRole::Node { can, .. } => Some(can),
        ServerRole::Host(_) => None,
    };
    let all: f64 = servers.values().filter_map(capacity).sum();
    let remaining = all - can;
    let too_little = remaining < config.keep * all - CAPACITY_TOLERANCE;
    too_little.then(|| CommandRefusal::TooLittleCapacity {
        remaining: remaining / all,
        keep: config.keep,
    })
}
