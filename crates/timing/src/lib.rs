//! Shared by the hosts: what is due when ([`Timers`]), and a clock that never runs back ([`HostClock`]).

mod clock;
mod due;

pub use clock::HostClock;
pub use due::Timers;
