//! Bounds of the offset of a peer's clock. A query is sent at `queried_at` and its reply arrives at `answered_at`,
//! both by this host's clock. In between the peer reads its own clock as `reading`. So the peer's clock is ahead
//! by at least `reading - answered_at` and at most `reading - queried_at`: a bound, not an estimate (the interval
//! form of Marzullo's algorithm). Each reply narrows the interval, and drift widens it with time.

use gullsail_scheduler_api::{Instant, Span};

/// How much faster or slower than this host's clock a peer's correct clock may run: 500 ppm. Quartz is ten times
/// better, but a clock that is slewed may reach this. If it is too small, the true offset may lie outside the
/// bounds; if it is too large, the bounds widen needlessly between two queries.
const MAX_DRIFT: f64 = 500e-6;
/// Readings of both clocks are rounded down to whole microseconds, so a difference of two may be off by this much.
const ROUNDING: Span = Span::from_micros(2);
/// Replies that took longer than 1 s are not used: they would hardly narrow the bounds.
const MAX_ROUND_TRIP: Span = Span::from_micros(1_000_000);

/// Bounds of how far a peer's clock is ahead of this host's clock. Negative: it is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OffsetBounds {
    /// Lower bound of the offset.
    pub lower: Span,
    /// Upper bound of the offset.
    pub upper: Span,
}

#[derive(Clone, Copy, Debug)]
struct Measurement {
    /// Bounds of the offset at the time `at`.
    offset: OffsetBounds,
    /// When the last reply that was used arrived, by this host's clock.
    at: Instant,
}

/// The offset of one peer's clock, as far as it is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerClock {
    /// The newest bounds; `None`: no reply was used yet.
    measurement: Option<Measurement>,
}

/// How a reply to a clock query changed the bounds of the offset.
#[derive(Debug, PartialEq, Eq)]
pub enum ClockUpdate {
    /// The reply took too long and was not used.
    Ignored,
    /// The reply gave the first bounds.
    First,
    /// The reply agrees with the earlier bounds, which it may have narrowed.
    Narrowed,
    /// The reply contradicts the earlier bounds and replaced them: the peer's clock was set.
    Stepped,
}

impl PeerClock {
    /// Updates the bounds with the reply to one query. `reading`: the peer's clock when it replied. The other times
    /// are by this host's clock.
    pub fn record_reply(
        &mut self,
        queried_at: Instant,
        reading: Instant,
        answered_at: Instant,
    ) -> ClockUpdate {
        if answered_at < queried_at || answered_at - queried_at > MAX_ROUND_TRIP {
            return ClockUpdate::Ignored;
        }
        // The peer's clock may have drifted between its reading and the arrival of the reply.
        let uncertainty = (answered_at - queried_at).times(MAX_DRIFT) + ROUNDING;
        let measured = OffsetBounds {
            lower: reading - answered_at - uncertainty,
            upper: reading - queried_at + uncertainty,
        };
        let Some(before) = self.bounds(answered_at) else {
            self.measurement = Some(Measurement {
                offset: measured,
                at: answered_at,
            });
            return ClockUpdate::First;
        };
        let both = OffsetBounds {
            lower: before.lower.max(measured.lower),
            upper: before.upper.min(measured.upper),
        };
        let stepped = both.lower > both.upper;
        let offset = if stepped { measured } else { both };
        self.measurement = Some(Measurement {
            offset,
            at: answered_at,
        });
        if stepped {
            ClockUpdate::Stepped
        } else {
            ClockUpdate::Narrowed
        }
    }

    /// Returns the bounds at `now`, widened by the possible drift since the last reply; `None`: no reply was used
    /// yet.
    pub fn bounds(&self, now: Instant) -> Option<OffsetBounds> {
        let Measurement { offset, at } = self.measurement?;
        let drift = (now - at).max(Span::ZERO).times(MAX_DRIFT);
        Some(OffsetBounds {
            lower: offset.lower - drift,
            upper: offset.upper + drift,
        })
    }

    /// Returns the span that converts a time of the peer's clock to the earliest possible time of this host's clock;
    /// `None`: the offset is not known. With the earliest time, a demand report never looks fresher than it is, so
    /// this host does not count a loan for longer than the lender does.
    pub fn to_earliest_local(&self, now: Instant) -> Option<Span> {
        self.bounds(now).map(|offset| Span::ZERO - offset.upper)
    }

    /// Whether the peer's clock certainly differs from this host's clock by more than `max_offset`.
    pub fn offset_exceeds(&self, now: Instant, max_offset: Span) -> bool {
        self.bounds(now).is_some_and(|offset| {
            offset.lower > max_offset || offset.upper < Span::ZERO - max_offset
        })
    }
}
