//! Budgets of bytes that cross between zones: [`budget`] says what may cross, [`ledger`] charges what does.

pub(super) mod budget;
pub(super) mod ledger;
