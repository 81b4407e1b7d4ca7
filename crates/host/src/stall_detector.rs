//! Detects that this process was stalled: stopped by a signal, suspended with its machine, or delayed by one long step
//! of the event loop. Received frames do not show a stall, since a frame that arrived during it looks as if it had just
//! arrived. So the loop turns at least once each [`MAX_TURN_INTERVAL`]. If a turn is much later than that, every frame
//! that is read next may have waited since the turn before, until all that waited in sockets and queues has
//! certainly been read.
//!
//! The detector is owned by the runtime's loop, which passes in the time.

use std::time::Duration;
use tokio::time::Instant;

/// The longest time between two turns of the event loop: 20 ms. It is short compared with two ticks of any
/// configuration, the time by which answers precede their deadline. Fifty turns per second cost a thousandth of a
/// core; a longer interval would hide stalls of that length.
pub const MAX_TURN_INTERVAL: Duration = Duration::from_millis(20);
/// The shortest interval between two turns that counts as a stall: 60 ms. The delays on a busy machine are mostly
/// shorter. If it is too small, the timeouts of requests are shortened needlessly; if it is too large, stalls of that
/// length are not detected.
const MIN_STALL: Duration = Duration::from_millis(60);
/// How long after a stall input is read and nothing is decided: 10 ms. The runtime polls the sockets many times
/// during it.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// How long after a stall frames that are read may have arrived during it: 100 ms, and longer until the queue is empty.
/// If it is too short, a request may be answered after its deadline; if it is too long, the timeouts of requests
/// that did not wait are shortened.
const SUSPECT_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Stall {
    /// Time of the last turn before the stall.
    since: Instant,
    /// Time of the first turn after the stall.
    ended: Instant,
}

/// The time of the event loop's last turn, and the last stall of the process.
#[derive(Debug)]
pub struct StallDetector {
    last_turn: Instant,
    /// The last stall; `None`: frames that are read cannot have waited during one.
    stall: Option<Stall>,
}

impl StallDetector {
    /// Creates the detector for a loop that starts at `now`.
    pub fn new(now: Instant) -> StallDetector {
        StallDetector {
            last_turn: now,
            stall: None,
        }
    }

    /// Records a turn of the loop. Returns the length of the stall before it; `None`: there was none.
    /// `queue_empty`: no event of a connection waits to be handled.
    pub fn record_turn(&mut self, now: Instant, queue_empty: bool) -> Option<Duration> {
        self.stall
            .take_if(|stall| queue_empty && now.duration_since(stall.ended) > SUSPECT_TIME);
        let before = std::mem::replace(&mut self.last_turn, now);
        let interval = now.duration_since(before);
        if interval < MIN_STALL {
            return None;
        }
        // After two stalls in a row, a waiting frame may have arrived during the first of them.
        let since = self.stall.map_or(before, |stall| stall.since);
        self.stall = Some(Stall { since, ended: now });
        Some(interval)
    }

    /// Returns how long a frame that is read now may have waited; `None`: the process was not stalled recently.
    pub fn max_wait(&self, now: Instant) -> Option<Duration> {
        self.stall.map(|stall| now.duration_since(stall.since))
    }

    /// Whether a stall ended so recently that input is read and nothing is decided.
    pub fn settling(&self) -> bool {
        self.stall
            .is_some_and(|stall| self.last_turn < stall.ended + SETTLE_TIME)
    }

    /// Returns the latest time of the loop's next turn. `requested`: when the core's next timer is due; `None`: no
    /// timer is set.
    pub fn next_turn(&self, requested: Option<Instant>) -> Instant {
        let latest = self.last_turn + MAX_TURN_INTERVAL;
        match self.stall {
            Some(stall) if self.settling() => stall.ended + SETTLE_TIME,
            _ => requested.map_or(latest, |at| at.min(latest)),
        }
    }
}
