//! Shutdown in three stages.
//!
//! 1. Accepting: everything goes on, new connections included. Clients use the connections they have while these
//!    are open, and nobody else serves them.
//! 2. Finishing: no new connections; open requests are finished and idle connections closed.
//! 3. Flushing: every open request has its response; the responses are being written.
//!
//! A response that was decided is not yet written. So the process exits when every client connection has ended, or
//! [`EXIT_MARGIN`] before the platform kills it.

use super::Core;
use super::context::IDLE_CHECK_INTERVAL;
use super::io::Output;
use super::timer_event::TimerEvent;
use gullsail_scheduler_api::{Instant, Span};
use tracing::info;

/// After SIGTERM the platform waits for the longest deadline of the settings, counted as at most this, and for
/// [`PLATFORM_EXTRA_GRACE`]; then it kills the process. The platform states both.
const MAX_GRACE_DEADLINE: Span = Span::from_micros(3_000_000);
/// What the platform adds to the longest deadline.
const PLATFORM_EXTRA_GRACE: Span = Span::from_micros(700_000);
/// Shortest time for which new connections are accepted after SIGTERM, however long the latency objective is.
const MIN_ACCEPTING: Span = Span::from_micros(500_000);
/// Kept between the latency objective of the request accepted last and the end of the grace, for delays of the
/// process and the writing of responses.
const SCHEDULING_MARGIN: Span = Span::from_micros(500_000);
/// The process exits this long before the platform kills it, whatever is unwritten then.
const EXIT_MARGIN: Span = Span::from_micros(50_000);
/// A request that is still open this long before the exit fails: without a response it would be lost. The response
/// has to be written and the connection closed within this time, by a process that shares its core.
const WRITING_TIME: Span = Span::from_micros(300_000);
/// After a second signal all requests are answered at once; clients that read slowly have this long to read.
const IMMEDIATE_EXIT: Span = Span::from_micros(1_000_000);

/// The stage of the shutdown. The time is when the process has to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    Serving,
    Accepting(Instant),
    Finishing(Instant),
    /// Every open request has its final response; new ones are refused.
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
        let (deadline, latency_objective) = self.settings.reach.longest;
        let grace = deadline.min(MAX_GRACE_DEADLINE) + PLATFORM_EXTRA_GRACE;
        // A request accepted at the last moment still has its latency objective: the scheduler answers by
        // then.
        let accepting = (grace - latency_objective - SCHEDULING_MARGIN).max(MIN_ACCEPTING);
        info!(
            open_requests = self.requests.awaiting_response(),
            accepting_ms = accepting.millis(),
            "shutdown started"
        );
        self.shutdown = Shutdown::Accepting(self.context.now + grace - EXIT_MARGIN);
        self.context.set_timer(accepting, TimerEvent::ShutdownStage);
    }

    /// A second signal: every open request is answered now.
    pub(super) fn shut_down_now(&mut self) {
        if matches!(self.shutdown, Shutdown::Flushing | Shutdown::Done) {
            return;
        }
        if self.shutdown.accepts_requests() {
            self.context.outputs.push(Output::StopAccepting);
        }
        let immediate_exit = self.context.now + IMMEDIATE_EXIT;
        let exit_at = match self.shutdown {
            Shutdown::Accepting(exit_at) | Shutdown::Finishing(exit_at) => {
                exit_at.min(immediate_exit)
            }
            Shutdown::Serving | Shutdown::Flushing | Shutdown::Done => immediate_exit,
        };
        self.answer_all(exit_at);
    }

    /// The timer of a stage that is over already has no effect.
    pub(super) fn advance_shutdown(&mut self) {
        match self.shutdown {
            Shutdown::Accepting(exit_at) => {
                self.shutdown = Shutdown::Finishing(exit_at);
                // The listener is closed first: a client that finds its connection closed and connects again is
                // refused at once.
                self.context.outputs.push(Output::StopAccepting);
                self.clients
                    .close_idle_older_than(IDLE_CHECK_INTERVAL, &mut self.context);
                self.context
                    .timers
                    .set(exit_at - WRITING_TIME, TimerEvent::ShutdownStage);
            }
            Shutdown::Finishing(exit_at) if self.context.now >= exit_at - WRITING_TIME => {
                self.answer_all(exit_at)
            }
            Shutdown::Serving | Shutdown::Finishing(_) | Shutdown::Flushing | Shutdown::Done => {}
        }
    }

    fn answer_all(&mut self, exit_at: Instant) {
        self.shutdown = Shutdown::Flushing;
        for id in self.requests.all_awaiting_response() {
            self.fail(id);
        }
        self.end_clients();
        self.context.timers.set(exit_at, TimerEvent::Exit);
    }

    pub(super) fn exit_if_done(&mut self) {
        let finishing = matches!(self.shutdown, Shutdown::Finishing(_) | Shutdown::Flushing);
        let all_answered = self.requests.awaiting_response() == 0 && self.clients.len() == 0;
        if finishing && all_answered && !self.backlog_waits {
            self.exit();
        }
    }

    pub(super) fn exit(&mut self) {
        if self.shutdown != Shutdown::Done {
            self.shutdown = Shutdown::Done;
            self.log_metrics("shutdown complete");
            self.context.outputs.push(Output::Exit);
        }
    }
}
