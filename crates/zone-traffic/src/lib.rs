//! Traffic between zones: a ledger by who and why, and overruns of budgets with their reasons, both with
//! bounded memory. A host counts into them as it sends and receives, and shows them to its operators; nothing
//! is decided by them. No I/O and no clock of its own.

mod ledger;
mod overruns;

pub use ledger::{Flow, FlowOf, Ledger, Reason, Total};
pub use overruns::{Overrun, OverrunReason, Overruns};
