//! The messages, by who speaks to whom. Each is a protobuf message by `prost`: a field that a newer version
//! adds is skipped by an older one. Spans travel in microseconds, and only spans: two processes never have to
//! agree on a point in time, but for a demand report's, whose receiver corrects it by what it knows of the
//! clocks.

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
