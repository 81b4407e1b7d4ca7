//! What is known of a peer's clock. A question leaves at `asked` and its answer arrives at `heard`, both by
//! our clock; in between the peer read its own. So its clock is ahead of ours by something between
//! `said - heard` and `said - asked`: a bound, not a guess (the interval form of Marzullo's algorithm). Each
//! answer narrows the interval; drift widens what was learned before.

use gullsail_scheduler_api::{Instant, Span};

/// How much faster or slower than ours a sound clock may run: quartz is ten times better, and a clock being
/// slewed by its machine may reach it.
const DRIFT: f64 = 500e-6;
const CUT: Span = Span::from_micros(2);
/// Answers that took longer narrow nothing worth having.
const SLOW: Span = Span::from_micros(1_000_000);

/// How far a peer's clock is ahead of ours, at least and at most.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerClock {
    known: Option<(Span, Span, Instant)>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Learned {
    Nothing,
    First,
    Narrowed,
    /// It contradicts what was known: the peer's clock was set.
    Stepped,
}

impl PeerClock {
    pub fn learn(&mut self, asked: Instant, said: Instant, heard: Instant) -> Learned {
        if heard < asked || heard - asked > SLOW {
            return Learned::Nothing;
        }
        // By the time of the answer's arrival it may have drifted since the reading; readings are cut to whole
        // microseconds, on both sides.
        let since = (heard - asked).times(DRIFT) + CUT;
        let (least, most) = (said - heard - since, said - asked + since);
        let Some((low, high)) = self.bounds(heard) else {
            self.known = Some((least, most, heard));
            return Learned::First;
        };
        let (low, high) = (low.max(least), high.min(most));
        let stepped = low > high;
        self.known = Some(if stepped { (least, most, heard) } else { (low, high, heard) });
        if stepped { Learned::Stepped } else { Learned::Narrowed }
    }

    pub fn bounds(&self, now: Instant) -> Option<(Span, Span)> {
        let (low, high, at) = self.known?;
        let drift = (now - at).max(Span::ZERO).times(DRIFT);
        Some((low - drift, high + drift))
    }

    /// What must be added to a point of the peer's clock to have the earliest that it can be by ours. A demand report
    /// then never looks fresher than it is, so that nothing lent counts for longer than its lender reckons.
    pub fn earliest(&self, now: Instant) -> Option<Span> {
        self.bounds(now).map(|(_, most)| Span::ZERO - most)
    }

    /// Is it surely further from ours than that?
    pub fn too_far(&self, now: Instant, apart: Span) -> bool {
        self.bounds(now).is_some_and(|(least, most)| least > apart || most < Span::ZERO - apart)
    }
}
