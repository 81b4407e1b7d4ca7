//! What crosses between zones: an account by who and why, and what went past budgets with its cause, both in time
//! buckets with bounded memory. No I/O and no clock of its own.

mod ledger;
mod overruns;

pub use ledger::{Account, Flow, Reason, Total};
pub use overruns::{Breach, Breaches, Known};
