//! Leaving: for a while everything goes on, with the end of each connection announced; then nothing new is accepted,
//! what is open is finished, and the host is gone.

use super::*;

/// Clients keep coming for 0.2 to 0.4 s after the first word.
const STILL_COMING: Span = Span::from_micros(500_000);
/// What is open after this is given up: no platform waits longer than its longest expiry and 0.7 s.
const AT_MOST: Span = Span::from_micros(6_000_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leaving {
    No,
    StillAccepting,
    Finishing,
    Left,
}

impl Core {
    pub(super) fn stop(&mut self) {
        if self.leaving != Leaving::No {
            return;
        }
        info!(open = self.transfers.open(), "leaving");
        self.leaving = Leaving::StillAccepting;
        self.due.set(self.now + STILL_COMING, Due::Leave);
    }

    pub(super) fn leave_further(&mut self) {
        match self.leaving {
            Leaving::StillAccepting => {
                self.leaving = Leaving::Finishing;
                self.outputs.push(Output::StopAccepting);
                self.close_idle_clients();
                self.due.set(self.now + AT_MOST, Due::Leave);
            }
            Leaving::Finishing => self.left(),
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
