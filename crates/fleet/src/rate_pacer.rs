//! Spaces out what all hosts do to one node at a limited rate, such as opening connections: each host does it
//! at its share of the rate. Over any span one host begins at most one more than its share allows, so all
//! together begin at most what the rate allows, and one more for each host. Each host begins at a random
//! point, so hosts that lose the same node in the same instant return to it one after the other. Used by the
//! host for each node.

use gullsail_scheduler_api::{Instant, Span};
use rand::Rng;

/// After as long as two operations take without a call, the node counts as idle: a caller that waits for its
/// turn asks again after one at the latest.
const IDLE_INTERVALS: f64 = 2.0;
/// Instants have microseconds: a credit that is this close to one operation counts as one.
const ROUNDING: f64 = 1e-3;
/// A caller is not asked to come again earlier than this.
const MIN_WAIT: Span = Span::from_micros(1000);

/// The credit towards the next operation.
#[derive(Clone, Copy, Debug)]
struct Credit {
    /// Part of one operation; negative after one that was begun early.
    amount: f64,
    as_of: Instant,
    /// The interval between two operations at that time.
    interval: Span,
}

impl Credit {
    /// What has been gained since. A share that grew counts from now on: until just now another host may have
    /// had it.
    fn gained(&self, interval: Span, now: Instant) -> f64 {
        (now - self.as_of).secs().max(0.0) / interval.max(self.interval).secs()
    }
}

/// Spaces out what one host does to one node.
#[derive(Clone, Debug, Default)]
pub struct RatePacer {
    /// `None`: there was no operation yet.
    credit: Option<Credit>,
}

impl RatePacer {
    /// Asks to begin an operation now. `interval`: the time between two by this host's share. `Err`: when to
    /// ask again.
    ///
    /// Credit that is not used for long is at most one operation and is drawn at random then: otherwise all
    /// hosts would have one to spend in the same instant. The cost: a host that is alone in wanting it waits
    /// for half an interval on average.
    ///
    /// # Errors
    /// It is not this host's turn; holds when to ask again.
    pub fn take(
        &mut self,
        interval: Span,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(), Instant> {
        if interval <= Span::ZERO {
            return Ok(());
        }
        let recent = self
            .credit
            .filter(|credit| credit.gained(interval, now) < IDLE_INTERVALS);
        let amount = match recent {
            Some(credit) => credit.amount + credit.gained(interval, now),
            None => rng.random_range(0.0..1.0),
        };
        if amount < 1.0 - ROUNDING {
            self.credit = Some(Credit {
                amount,
                as_of: now,
                interval,
            });
            return Err(now + interval.times(1.0 - amount).max(MIN_WAIT));
        }
        self.credit = Some(Credit {
            amount: amount.min(1.0) - 1.0,
            as_of: now,
            interval,
        });
        Ok(())
    }
}
