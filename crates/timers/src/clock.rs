//! The clock of a running host.

use gullsail_scheduler_api::{Instant, Span};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A clock that starts from the wall clock and never runs back. Setting the server's clock while the host runs
/// does not move it.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    base: tokio::time::Instant,
    wall: Instant,
    /// How fast it runs, relative to the server's clock.
    rate: f64,
}

impl HostClock {
    /// Starts a clock. `ahead` of the wall clock is for tests of hosts whose clocks differ.
    pub fn start(ahead: Span) -> HostClock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall = Instant::from_micros(wall.as_micros() as i64) + ahead;
        HostClock {
            base: tokio::time::Instant::now(),
            wall,
            rate: 1.0,
        }
    }

    /// The same clock, running faster by this fraction, or slower if it is negative. This is for tests of hosts
    /// whose clocks drift.
    pub fn running(self, faster: f64) -> HostClock {
        HostClock {
            rate: 1.0 + faster.clamp(-0.5, 0.5),
            ..self
        }
    }

    /// The time now.
    pub fn now(&self) -> Instant {
        let elapsed_us = self.base.elapsed().as_micros() as f64 * self.rate;
        self.wall + Span::from_micros(elapsed_us as i64)
    }

    /// The same point in time for tokio's timers.
    pub fn at(&self, at: Instant) -> tokio::time::Instant {
        let ahead_us = (at - self.wall).micros().max(0) as f64 / self.rate;
        self.base + Duration::from_micros(ahead_us as u64)
    }
}
