//! The clock of a running host.

use gullsail_scheduler_api::{Instant, Span};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts from the wall clock. Setting the server's clock while the host runs does not
/// affect it.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    /// When the clock was started, by the runtime's clock.
    base: tokio::time::Instant,
    /// The reading of this clock at its start.
    wall: Instant,
    /// The clock's rate relative to the server's clock.
    rate: f64,
}

impl HostClock {
    /// Starts a clock that is `ahead` of the wall clock, for tests of hosts whose clocks differ.
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

    /// The clock with a rate that is higher by the fraction `faster`, or lower if it is negative, for tests of
    /// hosts whose clocks drift.
    pub fn with_rate_offset(self, faster: f64) -> HostClock {
        HostClock {
            rate: 1.0 + faster.clamp(-0.5, 0.5),
            ..self
        }
    }

    /// The clock's present reading.
    pub fn now(&self) -> Instant {
        let elapsed_us = self.base.elapsed().as_micros() as f64 * self.rate;
        self.wall + Span::from_micros(elapsed_us as i64)
    }

    /// Converts a reading of this clock to the runtime's clock, for tokio's timers.
    pub fn to_runtime(&self, at: Instant) -> tokio::time::Instant {
        let ahead_us = (at - self.wall).micros().max(0) as f64 / self.rate;
        self.base + Duration::from_micros(ahead_us as u64)
    }
}
