//! Detects that this process was stalled: stopped by a signal or by its server, or held up by one long step of its
//! own. A loop cannot see a stall in what it reads: a frame that arrived meanwhile looks as if it had just
//! arrived. So the loop turns at least once each [`MAX_TURN_INTERVAL`]. If a turn is much later than that,
//! everything that is read next may have waited since the turn before, until whatever waited in sockets and
//! queues has certainly been read.
//!
//! Owned by the runtime's loop; it reads no clock itself.

use std::time::Duration;
use tokio::time::Instant;

/// The loop turns at least this often: 20 ms. That is short beside two ticks of any configuration, the time by
/// which answers precede their deadline. Fifty turns a second cost a thousandth of a core; a longer interval
/// hides stalls of that length.
pub const MAX_TURN_INTERVAL: Duration = Duration::from_millis(20);
/// An interval of this length between two turns counts as a stall: 60 ms. The delays of a busy server are mostly
/// shorter. If it is too small, requests lose that much of their time for nothing; if it is too large, stalls
/// of that length stay unnoticed.
const MIN_STALL: Duration = Duration::from_millis(60);
/// For this long after a stall, whatever waited in sockets is read and nothing is decided: 10 ms. The runtime polls
/// the sockets many times in that.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// For this long after a stall, and until the queue is empty, whatever is read may have arrived during it: 100 ms. If
/// it is too short, a request may be answered after its deadline; if it is too long, requests that did not wait
/// lose time.
const SUSPECT_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Stall {
    /// The last turn before it.
    since: Instant,
    /// The first turn after it.
    ended: Instant,
}

/// When the loop turned last, and whether the process was stalled recently.
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

    /// Records a turn of the loop. Returns how long the process was stalled before it, if it was.
    /// `queue_empty`: nothing waits to be handled.
    pub fn turn(&mut self, now: Instant, queue_empty: bool) -> Option<Duration> {
        self.stall
            .take_if(|stall| queue_empty && now.duration_since(stall.ended) > SUSPECT_TIME);
        let before = std::mem::replace(&mut self.last_turn, now);
        let interval = now.duration_since(before);
        if interval < MIN_STALL {
            return None;
        }
        // After two stalls in a row, whatever waits may have arrived during the first of them.
        let since = self.stall.map_or(before, |stall| stall.since);
        self.stall = Some(Stall { since, ended: now });
        Some(interval)
    }

    /// How long a frame that is read now may have waited, if the process was stalled recently.
    pub fn waited(&self, now: Instant) -> Option<Duration> {
        self.stall.map(|stall| now.duration_since(stall.since))
    }

    /// Whether only input is handled for now, and nothing is decided.
    pub fn settling(&self) -> bool {
        self.stall
            .is_some_and(|stall| self.last_turn < stall.ended + SETTLE_TIME)
    }

    /// The latest time of the loop's next turn, if the core requested one at `requested`.
    pub fn next_turn(&self, requested: Option<Instant>) -> Instant {
        let latest = self.last_turn + MAX_TURN_INTERVAL;
        match self.stall {
            Some(stall) if self.settling() => stall.ended + SETTLE_TIME,
            _ => requested.map_or(latest, |at| at.min(latest)),
        }
    }
}
