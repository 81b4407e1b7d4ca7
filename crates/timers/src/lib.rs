//! A queue of timers ([`Timers`]) and a monotonic clock ([`HostClock`]), shared by the host and the platform.
//! Neither of them sleeps or wakes a task: the caller does.

mod clock;
mod timer_queue;

pub use clock::HostClock;
pub use timer_queue::Timers;
