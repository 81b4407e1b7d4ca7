//! Attempts at endpoints. [`outcome`] handles an attempt that has ended, and [`idempotency`] decides where a
//! request may be sent again. [`limits`] combines the limits over all requests of this host, among them the
//! [`retry_budget`] and the [`overload_guard`].

pub(super) mod idempotency;
pub(super) mod limits;
pub(super) mod outcome;
pub(super) mod overload_guard;
pub(super) mod retry_budget;
