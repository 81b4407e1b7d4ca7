//! Shared by the hosts: what is due when ([`Timers`]), and a clock that never runs back ([`HostClock`]).

mod clock;
mod timer_queue;

pub use clock::HostClock;
pub use timer_queue::Timers;
