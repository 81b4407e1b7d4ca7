//! Takes servers offline for maintenance: selects which server drains next, and decides when it may be switched off.
//!
//! - [`order_book`]: the list of orders that the coordinator changes and all hosts copy, with a version;
//! - [`selection`] and [`blockers`]: which server may drain next;
//! - [`coordinator`]: the coordinator's side;
//! - [`may_use`]: which servers a host may send to.
//!
//! docs/maintenance.md has the full safety argument.
//!
//! **Why nothing is sent to a server that is offline.**
//! 1. A host sends to a server only while it has a copy of the order book. If it holds a lease that confirmed the copy,
//!    the copy must have no order by which the server is draining or offline. If that lease expired less than the
//!    isolation grace ago, the copy must have no open order for the server at all.
//! 2. The order for a node becomes `Drained` only when no host of the configuration can send to the node any more: the
//!    host's present process has reported that it released the node, or it has left, or its last lease has expired.
//!    After an expired lease the coordinator also waits for the isolation grace, unless the host had reported an order
//!    book with the order. The coordinator waits for the leases of earlier processes of the host as well.
//! 3. An order becomes `Offline` only when a majority of all hosts has reported an order book in which it is
//!    `Drained`. A later coordinator adopts the newest order book of enough hosts to include one of that majority.

pub mod access;
pub mod blockers;
pub mod config;
pub mod coordinator;
pub mod order;
pub mod order_book;
pub mod refusal;
pub mod selection;
pub mod server;
pub mod snapshot;

pub use access::may_use;
pub use config::MaintenanceConfig;
pub use order::{Order, Stage};
pub use order_book::{MAX_ORDERS, OrderBook, OrderBookVersion};
pub use refusal::CommandRefusal;
pub use server::{SERVED, ServerId, ServerObservation, ServerRole, Servers};
pub use snapshot::FleetSnapshot;
