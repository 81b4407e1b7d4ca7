//! Volumes and cross-zone budgets, which have a limit over all hosts. Each has a [`token_bucket`] that is
//! filled by this host's [`share`] of the limit. Missing tokens are borrowed from other hosts ([`loans`]);
//! [`search`] finds these hosts, and [`peers`] holds their last reports. The [`reserve`] determines the value
//! of a volume's next unit relative to other volumes. [`state`] holds the state of one volume, [`table`] that
//! of all volumes.

pub(super) mod loans;
pub(super) mod peers;
pub(super) mod reserve;
pub(super) mod search;
pub(super) mod share;
pub(super) mod state;
pub(super) mod table;
pub(super) mod token_bucket;
