//! gullsail: the decisions of a storage gateway. Everything that is decided on requests stands in
//! [`scheduler`]; its events, actions and configuration stand in `gullsail-scheduler-api`. No clock, socket
//! or file is used here.

pub mod decaying_sum;
pub mod scheduler;

pub use gullsail_scheduler_api as api;
pub use scheduler::Scheduler;
