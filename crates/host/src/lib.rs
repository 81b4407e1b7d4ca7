//! The running host. [`core`] is a state machine without I/O: what happens on sockets and the time go in,
//! frames and connections to open or close come out. It owns the decisions (`gullsail::Brain`) and feeds
//! them. [`drive`] is the thin part around it that has the sockets, the timer and the clock.

pub mod control;
pub mod core;
pub mod drive;
mod still;
