//! Accounting of traffic between zones: a [`Ledger`] of bytes by plan, volume, request class and reason, and
//! [`Overruns`] of budgets with their reasons, both with bounded memory. A host records its traffic here for its
//! operators; the scheduler does not read it. No I/O; the caller passes the time.

mod ledger;
mod overruns;

pub use ledger::{Flow, FlowOf, Ledger, Reason, Total};
pub use overruns::{Overrun, OverrunReason, Overruns};
