//! Attempts at endpoints: what their [`outcome`] means for the request, the [`retry_budget`], the
//! [`overload_guard`], and what [`idempotency`] allows. [`limits`] holds the limits over all requests together.

pub(super) mod idempotency;
pub(super) mod limits;
pub(super) mod outcome;
pub(super) mod overload_guard;
pub(super) mod retry_budget;
