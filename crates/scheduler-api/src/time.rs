//! Points in time and durations, in whole microseconds. The scheduler reads no clock: the caller passes the
//! time in.

use std::ops::{Add, Sub};

/// A point in time, in microseconds of the hosts' common clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(i64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

impl Instant {
    /// The point in time that is `us` microseconds after the clock's zero.
    pub const fn from_micros(us: i64) -> Self {
        Instant(us)
    }
    /// The point in time that is `ms` milliseconds after the clock's zero, rounded to a microsecond.
    pub fn from_millis(ms: f64) -> Self {
        Instant((ms * 1e3).round() as i64)
    }
    /// Microseconds since the clock's zero.
    pub const fn micros(self) -> i64 {
        self.0
    }
    /// Milliseconds since the clock's zero.
    pub fn millis(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl Span {
    /// The zero duration.
    pub const ZERO: Span = Span(0);

    /// A duration of `us` microseconds.
    pub const fn from_micros(us: i64) -> Self {
        Span(us)
    }
    /// A duration of `ms` milliseconds, rounded to a microsecond.
    pub fn from_millis(ms: f64) -> Self {
        Span((ms * 1e3).round() as i64)
    }
    /// The duration in microseconds.
    pub const fn micros(self) -> i64 {
        self.0
    }
    /// The duration in milliseconds.
    pub fn millis(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// The duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The duration times a factor, rounded to a microsecond.
    pub fn times(self, by: f64) -> Self {
        Span((self.0 as f64 * by).round() as i64)
    }
}

impl Add<Span> for Instant {
    type Output = Instant;
    fn add(self, by: Span) -> Instant {
        Instant(self.0.saturating_add(by.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;
    fn sub(self, by: Span) -> Instant {
        Instant(self.0.saturating_sub(by.0))
    }
}

impl Sub for Instant {
    type Output = Span;
    fn sub(self, from: Instant) -> Span {
        Span(self.0.saturating_sub(from.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, by: Span) -> Span {
        Span(self.0.saturating_add(by.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, by: Span) -> Span {
        Span(self.0.saturating_sub(by.0))
    }
}
