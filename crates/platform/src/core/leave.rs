//! Leaving: for a while everything goes on, since clients use the connections they have for as long as these are open and
//! nobody else serves them; then nothing new is taken, what is open is finished, and the host is gone before the platform
//! ends it.

use super::*;

/// After the first word the platform waits for the longest expiry, which it counts as no more than this,
const EXPIRY: Span = Span::from_micros(3_000_000);
/// and for this; then it ends the host.
const BEYOND: Span = Span::from_micros(700_000);
/// New connections come for this long at the most.
const STILL_COMING: Span = Span::from_micros(500_000);
/// Kept for what takes longer than it should.
const SPARE: Span = Span::from_micros(250_000);
/// What is open so long before the end gets its final answer then: unanswered it would be lost.
const LAST: Span = Span::from_micros(100_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leaving {
    No,
    /// Until the second point all has to be answered.
    StillTaking(Instant),
    Finishing,
    Left,
}

impl Leaving {
    pub(super) fn takes(self) -> bool {
        matches!(self, Leaving::No | Leaving::StillTaking(_))
    }
}

impl Core {
    pub(super) fn stop(&mut self) {
        if self.leaving != Leaving::No {
            return;
        }
        let (expiry, slo_time) = self.reach.longest;
        let lasts = expiry.min(EXPIRY) + BEYOND;
        // What is taken at the last moment has its SLO time still: the module answers by then.
        let takes = (lasts - slo_time - SPARE).max(STILL_COMING);
        info!(open = self.transfers.open(), takes_ms = takes.millis(), "leaving");
        self.leaving = Leaving::StillTaking(self.now + lasts - LAST);
        self.due.set(self.now + takes, Due::Leave);
    }

    pub(super) fn leave_further(&mut self) {
        match self.leaving {
            Leaving::StillTaking(until) => {
                self.leaving = Leaving::Finishing;
                self.outputs.push(Output::StopAccepting);
                self.close_idle_clients();
                self.due.set(until, Due::Leave);
            }
            Leaving::Finishing => {
                self.transfers.all_open().into_iter().for_each(|id| self.abandon(id));
                self.left();
            }
            Leaving::No | Leaving::Left => {}
        }
    }

    pub(super) fn leave_if_done(&mut self) {
        if self.leaving == Leaving::Finishing && self.transfers.open() == 0 && self.clients.len() == 0 {
            self.left();
        }
    }

    pub(super) fn left(&mut self) {
        if self.leaving != Leaving::Left {
            self.leaving = Leaving::Left;
            self.say("left");
            self.outputs.push(Output::Left);
        }
    }
}
