//! Whether this process stood still: stopped by a signal, by its machine, or by one step of its own that took very long.
//! A loop that was away does not see it by what it reads: what came in meanwhile looks as if it had come just now. So
//! the loop turns at least each [`EVERY`]; where a turn comes much later than that, all that is read next may have waited
//! since the turn before it, until what waited in sockets and queues has surely been read.

use std::time::Duration;
use tokio::time::Instant;

/// The loop turns at least so often. Short beside two ticks of any document, by which answers are given before their
/// deadline; fifty turns a second cost a thousandth of a core.
const EVERY: Duration = Duration::from_millis(20);
/// A turn that comes so late tells that the process stood still: a busy machine's delays are mostly below. Taken too
/// small, requests lose that much of their time for nothing; too large, as much is given that nobody has.
const LATE: Duration = Duration::from_millis(60);
/// For so long after it, what was in sockets is read first and nothing is decided; the runtime asks the system for what
/// is ready many times in that.
const SETTLE: Duration = Duration::from_millis(10);
/// Until then, and until nothing waits in the queue, what is read may have come while it stood still.
const DOUBT: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub struct Still {
    turned: Instant,
    /// The last turn before it stood still, and the first one after.
    was: Option<(Instant, Instant)>,
}

impl Still {
    pub fn new(now: Instant) -> Still {
        Still { turned: now, was: None }
    }

    /// A turn of the loop; how long the process stood still before it, if it did. `empty`: nothing waits to be handled.
    pub fn look(&mut self, now: Instant, empty: bool) -> Option<Duration> {
        self.was.take_if(|(_, after)| empty && now.duration_since(*after) > DOUBT);
        let before = std::mem::replace(&mut self.turned, now);
        let span = now.duration_since(before);
        if span < LATE {
            return None;
        }
        // Where it stood still twice in a row, what waits may have come in the first of them.
        let since = self.was.map_or(before, |(since, _)| since);
        self.was = Some((since, now));
        Some(span)
    }

    /// How long a frame that was read now may have waited, if the process stood still of late.
    pub fn waited(&self, now: Instant) -> Option<Duration> {
        self.was.map(|(since, _)| now.duration_since(since))
    }

    /// Only what came in is heard for now.
    pub fn settling(&self) -> bool {
        self.was.is_some_and(|(_, after)| self.turned < after + SETTLE)
    }

    /// When the loop turns at the latest, of what it is asked for.
    pub fn wake(&self, asked: Option<Instant>) -> Instant {
        let latest = self.turned + EVERY;
        let asked = asked.map_or(latest, |at| at.min(latest));
        match self.was {
            Some((_, after)) if self.settling() => after + SETTLE,
            _ => asked,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Turns at these milliseconds, whether the queue is empty then; what the last of them tells, and what a frame read at
    /// it may have waited.
    #[test]
    fn late_turns_tell_that_the_process_stood_still() {
        type Case = (&'static [(u64, bool)], Option<u64>, Option<u64>);
        let cases: [Case; 6] = [
            (&[(20, true), (40, true), (60, true)], None, None),
            (&[(20, true), (79, true)], None, None),
            (&[(20, true), (3020, false)], Some(3000), Some(3000)),
            // Twice in a row: what waits may have come in the first.
            (&[(20, true), (820, false), (1620, false)], Some(800), Some(1600)),
            // In doubt until the queue was empty, some time after.
            (&[(20, true), (820, false), (840, true), (980, false)], Some(140), Some(960)),
            (&[(20, true), (820, false), (870, false), (925, true)], None, None),
        ];
        let began = Instant::now();
        for (turns, last, waited) in cases {
            let mut still = Still::new(began);
            let ms = |ms| Duration::from_millis(ms);
            let told = turns.iter().map(|(at, empty)| still.look(began + ms(*at), *empty)).last().flatten();
            let now = began + ms(turns[turns.len() - 1].0);
            assert_eq!((told, still.waited(now)), (last.map(ms), waited.map(ms)), "{turns:?}");
            assert_eq!(still.settling(), last.is_some(), "{turns:?}");
            assert!(still.wake(None) <= now + EVERY, "{turns:?}");
        }
    }
}
