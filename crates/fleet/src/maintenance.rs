//! How servers are taken offline for maintenance: which goes next, when, and when it may be switched off.
//!
//! - [`order_book`]: the orders that all hosts know alike, with a version that one coordinator at a time
//!   counts on;
//! - [`selection`] and [`blockers`]: which server may go next;
//! - [`coordinator`]: the coordinator's side;
//! - [`may_use`]: which servers a host may send to.
//!
//! The whole argument is in docs/maintenance.md.
//!
//! **Why nothing is sent to a server that is offline.**
//! 1. A host sends to a server only while it knows an order book, and either holds a lease and knows no order
//!    by which the server is draining or offline, or lost its lease less than the isolation grace (`blind`) ago
//!    and knows no order for it at all.
//! 2. `Offline` is decided only when every host of the configuration has reported, in its present
//!    incarnation, that it released the server; or has left; or its last lease has expired, plus `blind` unless
//!    it had reported that it knows the order.
//! 3. A majority of all hosts must have reported that they know that the server is drained. A later
//!    coordinator adopts the newest order book that a majority remembers, so it knows too.

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
