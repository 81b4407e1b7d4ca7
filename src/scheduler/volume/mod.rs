//! Volumes and cross-zone budgets: everything that has a limit over all hosts. Each has a [`token_bucket`]
//! filled by this host's [`share`] of the limit; what is missing is borrowed from other hosts ([`loans`]), of
//! which [`peers`] holds the last reports and which [`search`] looks for. The [`reserve`] decides what a volume's
//! next unit is worth against other volumes. [`state`] has the state of one volume, [`table`] all of them.

pub(super) mod loans;
pub(super) mod peers;
pub(super) mod reserve;
pub(super) mod search;
pub(super) mod share;
pub(super) mod state;
pub(super) mod table;
pub(super) mod token_bucket;
