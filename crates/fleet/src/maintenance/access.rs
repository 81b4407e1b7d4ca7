//! Whether a host may send to a server, by the order book that it knows and its lease. Called by
//! `Fleet::may_use`.

use super::config::MaintenanceConfig;
use super::order_book::OrderBook;
use super::server::ServerId;
use gullsail_scheduler_api::Instant;

/// Whether a host may send to a server. `lease_lost`: since when it holds no lease; `None`: it holds one.
pub fn may_use(
    order_book: Option<&OrderBook>,
    config: &MaintenanceConfig,
    drift: f64,
    lease_lost: Option<Instant>,
    server: ServerId,
    now: Instant,
) -> bool {
    // A host that has just started knows no orders. It may harm when all hosts start at once: none sends to
    // any server until a coordinator has sent an order book.
    let Some(order_book) = order_book else {
        return false;
    };
    let stage = order_book
        .order(server)
        .map(|order| order.stage)
        .filter(|stage| stage.open());
    match lease_lost {
        None => stage.is_none_or(|stage| !stage.barred()),
        // There may be orders that this host does not know, so after the isolation grace a host without a lease
        // sends to no server. It may harm when the fleet has no coordinator for so long: no host serves.
        Some(since) => stage.is_none() && now - since < config.isolation_grace_held(drift),
    }
}
