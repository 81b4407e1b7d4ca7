//! Who belongs to the fleet, who decides, and what each host may use of every budget; settled among the hosts, without a
//! disk. No I/O, no clock: [`Fleet`] takes what happened and the time, and says whom to tell what. Read [`terms`] for what
//! all hold to, [`lease`] for the one lease on deciding, [`parts`] for why parts never sum past the whole, [`chair`] and
//! [`holder`] for the two sides of a grant, [`fleet`] for how messages lead from one to the other. The whole argument, with
//! what was weighed, is in docs/fleet.md.

pub mod allocation;
pub mod config;
pub mod coordinator;
pub mod delayed_increase;
mod demand;
pub mod fleet;
pub mod lease;
pub mod lease_holder;
pub mod maintenance;
pub mod rate_pacer;
pub mod status;

pub use config::{Budget, FleetConfig, WHOLE};
pub use coordinator::MemberState;
pub use fleet::{Event, Fleet, Output};
pub use status::Status;
