//! gullsail: the scheduler of a storage gateway. The module [`scheduler`] decides when and where requests are
//! sent and which of them are shed. Its events, actions and configuration are defined in
//! `gullsail-scheduler-api`. This crate reads no clock and uses no sockets or files.

pub mod decaying_sum;
pub mod scheduler;

pub use gullsail_scheduler_api as api;
pub use scheduler::{Scheduler, may_accept_again};
