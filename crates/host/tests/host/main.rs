//! The host without a socket, in given time.

mod clocks;
mod core;
mod rig;
