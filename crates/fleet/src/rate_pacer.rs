//! Spaces out operations of all hosts on one node that have a common rate limit, such as opening connections.
//! Each host paces its own at its share of the rate. Over any span one host starts at most one operation more
//! than its share allows, so all together exceed the rate by at most one for each host. Each host starts at a
//! random point, so hosts that lose the same node at once return to it one after the other. The host has one
//! pacer for each node and kind of operation.

use gullsail_scheduler_api::{Instant, Span};
use rand::Rng;

/// After so many intervals without a call the node counts as idle, and the credit is drawn at random. A caller
/// that waits for its turn asks again after one interval at the latest, so it never counts as idle.
const IDLE_INTERVALS: f64 = 2.0;
/// A credit that is this close to one operation counts as one, since instants are rounded to microseconds.
const ROUNDING: f64 = 1e-3;
/// The shortest wait that a caller is told, so that it does not ask again at once.
const MIN_WAIT: Span = Span::from_micros(1000);

/// The credit towards the next operation.
#[derive(Clone, Copy, Debug)]
struct Credit {
    /// In operations; negative after one that started early.
    amount: f64,
    as_of: Instant,
    /// The interval between two operations at that time.
    interval: Span,
}

impl Credit {
    /// The credit gained since then. A share that grew counts from now on: another host may have had it until
    /// now.
    fn gained(&self, interval: Span, now: Instant) -> f64 {
        (now - self.as_of).secs().max(0.0) / interval.max(self.interval).secs()
    }
}

/// Paces the operations of one host on one node.
#[derive(Clone, Debug, Default)]
pub struct RatePacer {
    /// `None`: there was no operation yet.
    credit: Option<Credit>,
}

impl RatePacer {
    /// Asks to start an operation now. `interval`: the time between two operations by this host's share.
    ///
    /// Credit that has been unused for long is drawn at random, below one operation: otherwise all hosts could
    /// start one in the same instant. It may harm a host that is the only one to need the node: it waits for
    /// half an interval on average.
    ///
    /// # Errors
    /// It is not this host's turn. The error is when to ask again.
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
