//! Shutdown in stages: at first everything goes on, since clients use the connections they have for as long
//! as these are open and nobody else serves them; then nothing new is accepted and open requests are
//! finished; the process is gone before the platform kills it. A response that is given is not yet written:
//! the host leaves when each connection has ended in order, or when the platform would kill it the next
//! moment.

use super::io::Output;
use super::timer_event::TimerEvent;
use super::{Core, IDLE_CHECK_INTERVAL};
use gullsail_scheduler_api::{Instant, Span};
use tracing::info;

/// After the first signal the platform waits for the longest deadline, which it counts as no more than this,
const MAX_GRACE_DEADLINE: Span = Span::from_micros(3_000_000);
/// and for this; then it kills the process.
const EXTRA_GRACE: Span = Span::from_micros(700_000);
/// New connections are accepted for this long at least.
const MIN_ACCEPTING: Span = Span::from_micros(500_000);
/// Kept for delays, and for the writing at the end.
const RESERVE: Span = Span::from_micros(500_000);
/// The process leaves this long before the platform kills it, whatever is unwritten then.
const EXIT_MARGIN: Span = Span::from_micros(50_000);
/// A request that is open this long before the exit gets its final response: unanswered it would be lost, and
/// the response has to be written and the connection closed too, by a process that shares its core.
const WRITING_TIME: Span = Span::from_micros(300_000);
/// After a second signal everything is answered at once; this long is left to clients that read slowly.
const IMMEDIATE_EXIT: Span = Span::from_micros(1_000_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    Serving,
    /// The process has to be gone at the time given.
    Accepting(Instant),
    Finishing(Instant),
    /// All open requests have their final response; new ones are refused.
    Flushing,
    Done,
}

impl Shutdown {
    pub(super) fn accepts_requests(self) -> bool {
        matches!(self, Shutdown::Serving | Shutdown::Accepting(_))
    }
}

impl Core {
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown != Shutdown::Serving {
            return;
        }
        let (deadline, latency_objective) = self.reach.longest;
        let grace = deadline.min(MAX_GRACE_DEADLINE) + EXTRA_GRACE;
        // A request accepted at the last moment still has its latency objective: the scheduler answers by
        // then.
        let accepting = (grace - latency_objective - RESERVE).max(MIN_ACCEPTING);
        info!(
            open = self.requests.waiting(),
            takes_ms = accepting.millis(),
            "leaving"
        );
        self.shutdown = Shutdown::Accepting(self.now + grace - EXIT_MARGIN);
        self.timers
            .set(self.now + accepting, TimerEvent::ShutdownStage);
    }

    /// A second signal: every open request is answered now.
    pub(super) fn shut_down_now(&mut self) {
        if matches!(self.shutdown, Shutdown::Flushing | Shutdown::Done) {
            return;
        }
        if self.shutdown.accepts_requests() {
            self.outputs.push(Output::StopAccepting);
        }
        let exit_at = match self.shutdown {
            Shutdown::Accepting(exit_at) | Shutdown::Finishing(exit_at) => {
                exit_at.min(self.now + IMMEDIATE_EXIT)
            }
            _ => self.now + IMMEDIATE_EXIT,
        };
        self.answer_all(exit_at);
    }

    /// A timer for a stage that is over already has no effect.
    pub(super) fn advance_shutdown(&mut self) {
        match self.shutdown {
            Shutdown::Accepting(exit_at) => {
                self.shutdown = Shutdown::Finishing(exit_at);
                // The listener goes first: a client that finds its connection closed and connects again is
                // refused at once.
                self.outputs.push(Output::StopAccepting);
                self.close_idle_clients(IDLE_CHECK_INTERVAL);
                self.timers
                    .set(exit_at - WRITING_TIME, TimerEvent::ShutdownStage);
            }
            Shutdown::Finishing(exit_at) if self.now >= exit_at - WRITING_TIME => {
                self.answer_all(exit_at)
            }
            Shutdown::Serving | Shutdown::Finishing(_) | Shutdown::Flushing | Shutdown::Done => {}
        }
    }

    fn answer_all(&mut self, exit_at: Instant) {
        self.shutdown = Shutdown::Flushing;
        for id in self.requests.all_waiting() {
            self.fail(id);
        }
        self.end_clients();
        self.timers.set(exit_at, TimerEvent::Exit);
    }

    pub(super) fn exit_if_done(&mut self) {
        let finishing = matches!(self.shutdown, Shutdown::Finishing(_) | Shutdown::Flushing);
        if finishing && self.requests.waiting() == 0 && self.clients.len() == 0 {
            self.exit();
        }
    }

    pub(super) fn exit(&mut self) {
        if self.shutdown != Shutdown::Done {
            self.shutdown = Shutdown::Done;
            self.log_metrics("left");
            self.outputs.push(Output::Exit);
        }
    }
}
