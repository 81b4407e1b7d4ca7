//! Paces operations on a node, such as opening connections, that all hosts together may start only at a limited rate.
//! Each host paces its operations at its share of the rate. Over any time span one host starts at most one operation
//! more than its share allows, so all hosts together exceed the rate by at most one operation for each host. Each
//! host starts at a random point, so that hosts that lose a node at the same time do not reconnect to it all at once.
//! A host has one pacer for each node and kind of operation.

use gullsail_scheduler_api::{Instant, Span};
use rand::Rng;

/// The number of intervals without a call after which the pacer counts as idle and draws its credit at random. A
/// caller that has to wait asks again after one interval at the latest, so its pacer does not become idle.
const IDLE_INTERVALS: f64 = 2.0;
/// A credit that is less than one operation by at most this much counts as one, since instants are rounded to
/// microseconds.
const ROUNDING: f64 = 1e-3;
/// The shortest wait that is returned to a caller, so that it does not ask again at once.
const MIN_WAIT: Span = Span::from_micros(1000);

/// The credit towards the next operation.
#[derive(Clone, Copy, Debug)]
struct Credit {
    /// The credit in operations. It is slightly negative after an operation that rounding let start early.
    amount: f64,
    as_of: Instant,
    /// The interval between two operations as of `as_of`.
    interval: Span,
}

impl Credit {
    /// Returns the credit gained since `as_of`. It is computed with the longer of the two intervals: if this host's
    /// share has grown, another host may have used the difference until now.
    fn gained(&self, interval: Span, now: Instant) -> f64 {
        (now - self.as_of).secs().max(0.0) / interval.max(self.interval).secs()
    }
}

/// Paces the operations of one host on one node.
#[derive(Clone, Debug, Default)]
pub struct RatePacer {
    /// The credit as of the last call; `None`: there was no call yet.
    credit: Option<Credit>,
}

impl RatePacer {
    /// Asks to start an operation now. `interval` is the time between two operations at this host's share of the
    /// rate; 0: the rate is not limited.
    ///
    /// After an idle time the credit is drawn at random, below one operation. Otherwise all hosts could start an
    /// operation at the same instant. The cost: a host that alone needs the node waits for half an interval on
    /// average.
    ///
    /// # Errors
    /// The host has no credit for an operation yet. The error is the time at which to ask again.
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
