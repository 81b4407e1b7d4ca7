//! The running host. [`core`] is a state machine without I/O that owns the scheduler (`gullsail::Scheduler`). It
//! receives socket events and the time, and returns frames to send and connections to open or close. [`runtime`]
//! is the thin layer around it that has the sockets, the timer and the clock. [`control`] is the operators'
//! socket, and [`stall_detector`] detects that the process was stalled.

pub mod control;
pub mod core;
pub mod runtime;
pub mod stall_detector;
