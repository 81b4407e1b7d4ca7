//! The running host. [`core`] is a state machine without I/O: what happens on sockets and the time go in,
//! frames and connections to open or close come out. It owns the scheduler (`gullsail::Scheduler`) and feeds
//! it. [`runtime`] is the thin layer around it that has the sockets, the timer and the clock; [`control`] is
//! the operators' socket, and [`stall_detector`] notices when the process stood still.

pub mod control;
pub mod core;
pub mod runtime;
pub mod stall_detector;
