//! What is known of a peer's clock. A query leaves at `queried_at` and its answer arrives at `answered_at`,
//! both by our clock; in between the peer read its own as `reading`. So its clock is ahead of ours by
//! something between `reading - answered_at` and `reading - queried_at`: a bound, not an estimate (the
//! interval form of Marzullo's algorithm). Each answer narrows the interval; drift widens what was learned
//! before.

use gullsail_scheduler_api::{Instant, Span};

/// How much faster or slower than ours a correct clock may run: 500 ppm. Quartz is ten times better; a clock that
/// its server slews may reach this. If it is too small, the truth may lie outside the bounds; if it is too
/// large, the bounds widen needlessly between two queries.
const MAX_DRIFT: f64 = 500e-6;
/// Readings are rounded down to whole microseconds, on both sides.
const ROUNDING: Span = Span::from_micros(2);
/// Replies that took longer than 1 s are not used: they would hardly narrow the bounds.
const MAX_ROUND_TRIP: Span = Span::from_micros(1_000_000);

/// How far a peer's clock is ahead of ours.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockOffset {
    /// At least.
    pub least: Span,
    /// At most.
    pub most: Span,
}

#[derive(Clone, Copy, Debug)]
struct Measurement {
    offset: ClockOffset,
    at: Instant,
}

/// What is known of one peer's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerClock {
    known: Option<Measurement>,
}

/// What a reply said of the clock.
#[derive(Debug, PartialEq, Eq)]
pub enum Learned {
    /// It took too long.
    Nothing,
    /// The first bounds.
    First,
    /// Narrower bounds.
    Narrowed,
    /// It contradicts the earlier bounds: the peer's clock was set.
    Stepped,
}

impl PeerClock {
    /// Takes in the reply to one query.
    pub fn learn(
        &mut self,
        queried_at: Instant,
        reading: Instant,
        answered_at: Instant,
    ) -> Learned {
        if answered_at < queried_at || answered_at - queried_at > MAX_ROUND_TRIP {
            return Learned::Nothing;
        }
        // By the time of the answer's arrival the peer's clock may have drifted since the reading.
        let uncertainty = (answered_at - queried_at).times(MAX_DRIFT) + ROUNDING;
        let measured = ClockOffset {
            least: reading - answered_at - uncertainty,
            most: reading - queried_at + uncertainty,
        };
        let Some(before) = self.bounds(answered_at) else {
            self.known = Some(Measurement {
                offset: measured,
                at: answered_at,
            });
            return Learned::First;
        };
        let both = ClockOffset {
            least: before.least.max(measured.least),
            most: before.most.min(measured.most),
        };
        let stepped = both.least > both.most;
        let offset = if stepped { measured } else { both };
        self.known = Some(Measurement {
            offset,
            at: answered_at,
        });
        if stepped {
            Learned::Stepped
        } else {
            Learned::Narrowed
        }
    }

    /// The bounds by now, wider by what both clocks may have drifted; `None`: nothing is known yet.
    pub fn bounds(&self, now: Instant) -> Option<ClockOffset> {
        let Measurement { offset, at } = self.known?;
        let drift = (now - at).max(Span::ZERO).times(MAX_DRIFT);
        Some(ClockOffset {
            least: offset.least - drift,
            most: offset.most + drift,
        })
    }

    /// What must be added to a point of the peer's clock to have the earliest that it can be by ours. A
    /// demand report then never looks fresher than it is, so that no loan counts for longer than its lender
    /// counts it.
    pub fn earliest(&self, now: Instant) -> Option<Span> {
        self.bounds(now).map(|offset| Span::ZERO - offset.most)
    }

    /// Whether it is certainly further from ours than `apart`.
    pub fn too_far(&self, now: Instant, apart: Span) -> bool {
        self.bounds(now)
            .is_some_and(|offset| offset.least > apart || offset.most < Span::ZERO - apart)
    }
}
