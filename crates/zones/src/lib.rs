//! What crosses between zones: an account by who and why, and what went past budgets with its cause, both in time
//! buckets with bounded memory. No I/O and no clock of its own.

mod account;
mod breaches;

pub use account::{Account, Flow, Reason, Total};
pub use breaches::{Breach, Breaches, Known};
