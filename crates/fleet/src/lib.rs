//! Coordinates the hosts of one fleet: tracks membership, elects the coordinator, and divides every budget into
//! shares of the hosts. The hosts agree by exchanging messages; nothing is written to disk.
//!
//! [`Fleet`] is the state machine that a host runs: it takes events and the time, and yields messages to
//! send. It does no I/O, reads no clock and draws random numbers only from its own seeded generator.
//!
//! The main modules:
//! - [`config`]: the settings that all hosts share;
//! - [`coordinator_lease`]: how a majority of voters elects one coordinator at a time;
//! - [`allocation`]: why the shares in use never sum to more than the whole budget;
//! - [`coordinator`] and [`member_lease`]: the granter's and the holder's side of a member lease;
//! - [`fleet`]: the state machine that connects these modules by messages;
//! - [`maintenance`]: how servers are taken offline.
//!
//! There are two kinds of leases. The **coordinator lease** makes one host the coordinator; a majority of
//! voters grants it. A **member lease** lets a host use its shares; the coordinator grants it.
//!
//! Five counters order events:
//! - a *round* counts attempts to be elected; with the candidate's host it is a *ballot*;
//! - an *epoch* counts changes of membership;
//! - a *serial* counts one coordinator's grants, in the order in which they were made;
//! - a *number* matches a reply to its request: a renewal, a proposal, an operator's command;
//! - a *count* numbers the versions of the order book; with a ballot it identifies a version.
//!
//! docs/fleet.md has the full safety argument and the alternatives that were considered.

pub mod allocation;
pub mod ballot;
pub mod config;
pub mod coordinator;
pub mod coordinator_lease;
pub mod delayed_increase;
mod demand;
pub mod fleet;
pub mod maintenance;
pub mod member_lease;
pub mod process_id;
pub mod rate_pacer;
pub mod status;

pub use config::{Budget, FleetConfig, WHOLE};
pub use coordinator::MemberState;
pub use fleet::{Event, Fleet, Output};
pub use status::Status;
