//! Divides budgets among the hosts. [`divide`] computes the share that each member should have. [`Ledger`] counts
//! the share that each host may still be using, which bounds what can be granted without exceeding the budget.
//! Only the coordinator uses this module.
//!
//! **Why the shares in use never sum to more than the whole budget.**
//! 1. For each budget and host, the ledger counts at least the largest share that the host may be using: its
//!    floor, or the largest granted share that it has not released and whose lease may not have expired.
//! 2. A share is granted only if the counts of all hosts, including this share, sum to at most the whole.
//! 3. A host uses a granted share only until its lease expires by its own clock, which is before the ledger drops
//!    the grant. Otherwise it uses its floor, which is always counted.
//!
//! So at any moment no host uses more than the ledger counts for it.

mod division;
mod ledger;
mod share;

pub use division::{HostDemand, divide};
pub use ledger::Ledger;
pub use share::{HostShare, Shares};
