//! Coordination among the hosts of one fleet: who is a member, who is the coordinator, and what share of
//! every budget each host may use. The hosts agree on it by messages among themselves; nothing is written to
//! a disk.
//!
//! [`Fleet`] is the state machine that a host runs: it takes events and the time, and yields messages to
//! send. It does no I/O, reads no clock and draws random numbers only from its own seeded generator.
//!
//! Where to begin reading:
//! - [`config`]: the settings that all hosts share;
//! - [`coordinator_lease`]: how a majority of voters elects one coordinator at a time;
//! - [`allocation`]: why the shares in use never sum to more than the whole budget;
//! - [`coordinator`] and [`member_lease`]: the two sides of a grant;
//! - [`fleet`]: how messages connect them;
//! - [`maintenance`]: how servers are taken offline.
//!
//! The argument as a whole, with the alternatives that were weighed, is in docs/fleet.md.

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
