//! Decides whether a host may send to a server, by its copy of the order book and its lease. Called by
//! `Fleet::may_use`.

use super::config::MaintenanceConfig;
use super::order_book::OrderBook;
use super::server::ServerId;
use gullsail_scheduler_api::Instant;

/// Whether a host may send to a server. `order_book`: the host's copy; `None`: it has none. `unconfirmed_since`: when
/// the lease that confirmed the copy expired; `None`: it has not expired.
pub fn may_use(
    order_book: Option<&OrderBook>,
    config: &MaintenanceConfig,
    drift: f64,
    unconfirmed_since: Option<Instant>,
    server: ServerId,
    now: Instant,
) -> bool {
    // A host that has just started has no order book, so a server may be offline without its knowledge. The cost: when
    // all hosts start at once, none sends to any server until a coordinator has sent an order book.
    let Some(order_book) = order_book else {
        return false;
    };
    let stage = order_book
        .order(server)
        .map(|order| order.stage)
        .filter(|stage| stage.is_open());
    match unconfirmed_since {
        None => stage.is_none_or(|stage| !stage.blocks_attempts()),
        // There may be newer orders than in the copy, so after the isolation grace this host sends to no server. The
        // cost: when the fleet has no coordinator for that long, no host serves.
        Some(since) => stage.is_none() && now - since < config.isolation_grace_held(drift),
    }
}
