//! The running host. [`core`] is a state machine without I/O: whatever happens on sockets and the time go in,
//! frames and connections to open or close come out. It owns the scheduler (`gullsail::Scheduler`). [`runtime`]
//! is the thin layer around it that has the sockets, the timer and the clock. [`control`] is the operators'
//! socket, and [`stall_detector`] detects that the process was stalled.

pub mod control;
pub mod core;
pub mod runtime;
pub mod stall_detector;
