//! Budgets for the bytes sent between zones. [`budget`] decides which requests may be sent to another zone;
//! [`ledger`] charges the bytes sent.

pub(super) mod budget;
pub(super) mod ledger;
