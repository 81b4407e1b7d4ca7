//! How budgets are divided among hosts. [`divide`] computes the share that each member should have;
//! [`Ledger`] counts what each host may still be using, and so what may be granted without exceeding the
//! whole. Used by the coordinator alone.
//!
//! **Why the shares in use never sum to more than the whole.** For each budget the ledger counts for each
//! host at least everything that it may use from now on: its floor, and every share granted that it has not
//! released and whose lease may not be over. A share is granted only if these counts, with it, sum to at most
//! the whole. A host uses a share only within its lease by its own clock, which ends before the ledger
//! strikes the grant out; otherwise it uses its floor, which is always counted. So what is in use is at most
//! what is counted, host by host, at any moment.

mod division;
mod ledger;
mod share;

pub use division::{HostDemand, divide};
pub use ledger::Ledger;
pub use share::{HostShare, Shares};
