//! The messages, by sender and receiver. Each is a protobuf message encoded by `prost`: an older version skips the
//! fields that a newer one adds. Messages hold durations in microseconds and no points in time, so processes need
//! not agree on the time. The exception is the time of a demand report, which the receiver converts to its own
//! clock.

mod attempt;
mod client;
mod common;
mod endpoint_list;
mod fleet;
mod peer;
mod simulation;

pub use attempt::*;
pub use client::*;
pub use common::*;
pub use endpoint_list::*;
pub use fleet::*;
pub use peer::*;
pub use simulation::*;
