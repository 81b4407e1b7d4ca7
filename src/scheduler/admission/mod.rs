//! Admission of requests. [`arrival`] handles a new request, [`objective`] computes its objective deadline,
//! [`starvation`] detects requests that would get no tokens in time, and [`config_change`] applies
//! configuration changes while requests are served.

pub(super) mod arrival;
pub(super) mod config_change;
pub(super) mod objective;
pub(super) mod starvation;
