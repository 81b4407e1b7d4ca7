//! The host without a socket, in given time.

mod bounds;
mod changes;
mod clocks;
mod core;
mod model;
mod rig;
