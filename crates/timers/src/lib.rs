//! Shared by the host and the platform: a queue of timers ([`Timers`]), and a clock that never runs back
//! ([`HostClock`]). Neither sleeps or wakes anybody: the caller does.

mod clock;
mod timer_queue;

pub use clock::HostClock;
pub use timer_queue::Timers;
