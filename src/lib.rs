//! gullsail: the decisions of a storage gateway. Everything that is decided stands in [`scheduler`];
//! what it is told and what it asks for stands in `gullsail-scheduler-api`.

pub mod decaying_sum;
pub mod scheduler;

pub use gullsail_scheduler_api as api;
pub use scheduler::Scheduler;
