//! Shutdown: for a while everything goes on, since clients use the connections they have for as long as these are open and
//! nobody else serves them; then nothing new is taken, what is open is finished, and the host is gone before the platform
//! ends it. An answer that is given is not yet written: the host leaves when each connection has ended, in order, or when
//! the platform would end it the next moment.

use super::*;

/// After the first word the platform waits for the longest deadline, which it counts as no more than this,
const DEADLINE: Span = Span::from_micros(3_000_000);
/// and for this; then it ends the host.
const BEYOND: Span = Span::from_micros(700_000);
/// New connections come for this long at the most.
const STILL_COMING: Span = Span::from_micros(500_000);
/// Kept for what takes longer than it should, and for the writing at the end.
const SPARE: Span = Span::from_micros(500_000);
/// So long before the platform ends it the host is gone, whatever is unwritten then.
const LAST: Span = Span::from_micros(50_000);
/// What is open so long before that gets its final answer: unanswered it would be lost, and the answer has to be written
/// and the connection ended too, by a process that shares its core.
const WRITING: Span = Span::from_micros(300_000);
/// After a second word all is answered at once, and so long is left for writing it to who reads slowly.
const AT_ONCE: Span = Span::from_micros(1_000_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    Serving,
    /// Until the point given the host has to be gone.
    Accepting(Instant),
    Finishing(Instant),
    /// All that was open has its final answer; what comes now is refused.
    Flushing,
    Done,
}

impl Shutdown {
    pub(super) fn takes(self) -> bool {
        matches!(self, Shutdown::Serving | Shutdown::Accepting(_))
    }
}

impl Core {
    pub(super) fn stop(&mut self) {
        if self.shutdown != Shutdown::Serving {
            return;
        }
        let (deadline, latency_objective) = self.reach.longest;
        let lasts = deadline.min(DEADLINE) + BEYOND;
        // What is taken at the last moment has its latency objective still: the module answers by then.
        let takes = (lasts - latency_objective - SPARE).max(STILL_COMING);
        info!(open = self.requests.open(), takes_ms = takes.millis(), "leaving");
        self.shutdown = Shutdown::Accepting(self.now + lasts - LAST);
        self.due.set(self.now + takes, Due::ShutDown);
    }

    /// A second word: whatever is open is answered now.
    pub(super) fn stop_now(&mut self) {
        if matches!(self.shutdown, Shutdown::Flushing | Shutdown::Done) {
            return;
        }
        if self.shutdown.takes() {
            self.outputs.push(Output::StopAccepting);
        }
        let gone = match self.shutdown {
            Shutdown::Accepting(gone) | Shutdown::Finishing(gone) => gone.min(self.now + AT_ONCE),
            _ => self.now + AT_ONCE,
        };
        self.answer_all(gone);
    }

    /// A timer for an earlier stage than this one's finds nothing to do.
    pub(super) fn shut_down_further(&mut self) {
        match self.shutdown {
            Shutdown::Accepting(gone) => {
                self.shutdown = Shutdown::Finishing(gone);
                // The listener goes first: who finds its connection closed and comes again is told so at once.
                self.outputs.push(Output::StopAccepting);
                self.close_idle_clients(LOOK);
                self.due.set(gone - WRITING, Due::ShutDown);
            }
            Shutdown::Finishing(gone) if self.now >= gone - WRITING => self.answer_all(gone),
            Shutdown::Serving | Shutdown::Finishing(_) | Shutdown::Flushing | Shutdown::Done => {}
        }
    }

    fn answer_all(&mut self, gone: Instant) {
        self.shutdown = Shutdown::Flushing;
        self.requests.all_open().into_iter().for_each(|id| self.fail(id));
        self.end_clients();
        self.due.set(gone, Due::Exit);
    }

    pub(super) fn exit_if_done(&mut self) {
        let finishing = matches!(self.shutdown, Shutdown::Finishing(_) | Shutdown::Flushing);
        if finishing && self.requests.open() == 0 && self.clients.len() == 0 {
            self.left();
        }
    }

    pub(super) fn left(&mut self) {
        if self.shutdown != Shutdown::Done {
            self.shutdown = Shutdown::Done;
            self.say("left");
            self.outputs.push(Output::Exit);
        }
    }
}
