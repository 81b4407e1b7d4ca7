//! Detects that this process stood still: stopped by a signal, by its machine, or by one step of its own that
//! took very long. A loop that stood still does not see it by what it reads: what came in meanwhile looks as
//! if it had come just now. So the loop turns at least each [`MAX_TURN_INTERVAL`]; where a turn comes much
//! later than that, all that is read next may have waited since the turn before it, until what waited in
//! sockets and queues has certainly been read.
//!
//! Owned by the runtime's loop; it reads no clock itself.

use std::time::Duration;
use tokio::time::Instant;

/// The loop turns at least so often. Short beside two ticks of any configuration, by which answers are given
/// before their deadline; fifty turns a second cost a thousandth of a core.
pub const MAX_TURN_INTERVAL: Duration = Duration::from_millis(20);
/// After an interval of this length the process counts as having stood still: a busy machine's delays are
/// mostly shorter. Too small, requests lose that much of their time for nothing; too large, stalls of that
/// length stay unnoticed.
const STALL: Duration = Duration::from_millis(60);
/// For so long after it, what was in sockets is read first and nothing is decided; the runtime asks the
/// system for what is ready many times in that.
const SETTLE: Duration = Duration::from_millis(10);
/// Until then, and until nothing waits in the queue, what is read may have come while the process stood
/// still.
const DOUBT: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Stall {
    /// The last turn before it.
    since: Instant,
    /// The first turn after it.
    ended: Instant,
}

/// When the loop turned, and whether the process stood still lately.
#[derive(Debug)]
pub struct StallDetector {
    last_turn: Instant,
    stall: Option<Stall>,
}

impl StallDetector {
    /// A loop that begins now.
    pub fn new(now: Instant) -> StallDetector {
        StallDetector {
            last_turn: now,
            stall: None,
        }
    }

    /// Records a turn of the loop; returns how long the process stood still before it, if it did.
    /// `queue_empty`: nothing waits to be handled.
    pub fn turn(&mut self, now: Instant, queue_empty: bool) -> Option<Duration> {
        self.stall
            .take_if(|stall| queue_empty && now.duration_since(stall.ended) > DOUBT);
        let before = std::mem::replace(&mut self.last_turn, now);
        let interval = now.duration_since(before);
        if interval < STALL {
            return None;
        }
        // Where it stood still twice in a row, what waits may have come in the first of them.
        let since = self.stall.map_or(before, |stall| stall.since);
        self.stall = Some(Stall { since, ended: now });
        Some(interval)
    }

    /// How long a frame that was read now may have waited, if the process stood still lately.
    pub fn waited(&self, now: Instant) -> Option<Duration> {
        self.stall.map(|stall| now.duration_since(stall.since))
    }

    /// Whether only what came in is to be handled for now, and nothing is to be decided.
    pub fn settling(&self) -> bool {
        self.stall
            .is_some_and(|stall| self.last_turn < stall.ended + SETTLE)
    }

    /// When the loop has to turn at the latest, if it is otherwise wanted at `requested`.
    pub fn next_turn(&self, requested: Option<Instant>) -> Instant {
        let latest = self.last_turn + MAX_TURN_INTERVAL;
        match self.stall {
            Some(stall) if self.settling() => stall.ended + SETTLE,
            _ => requested.map_or(latest, |at| at.min(latest)),
        }
    }
}
