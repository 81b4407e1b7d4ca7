//! Shutdown in three stages.
//!
//! 1. Accepting: the host serves as before and accepts new connections. Clients keep using their open connections, and
//!    no other host serves requests on these.
//! 2. Finishing: the host accepts no new connections, finishes open requests and closes idle connections.
//! 3. Flushing: all requests are answered, and the host waits until the responses are written.
//!
//! The core learns that a response is written when its connection ends. So the process exits when all client
//! connections have ended, or [`EXIT_MARGIN`] before the platform kills it.

use super::Core;
use super::context::IDLE_CHECK_INTERVAL;
use super::io::Output;
use super::timer_event::TimerEvent;
use gullsail_scheduler_api::{Instant, Span};
use tracing::info;

/// The platform kills the process some time after SIGTERM: the longest deadline of the settings, but at most this, plus
/// [`PLATFORM_EXTRA_GRACE`]. The platform's documentation states both values.
const MAX_GRACE_DEADLINE: Span = Span::from_micros(3_000_000);
/// Time that the platform adds to the longest deadline before it kills the process.
const PLATFORM_EXTRA_GRACE: Span = Span::from_micros(700_000);
/// Shortest time for which new connections are accepted after SIGTERM, however long the latency objective is.
const MIN_ACCEPTING: Span = Span::from_micros(500_000);
/// Time between the latest answer to a request accepted in the first stage, by its latency objective, and the kill.
/// Covers delays of the process and the writing of responses.
const SCHEDULING_MARGIN: Span = Span::from_micros(500_000);
/// The process exits this long before the platform kills it, even if responses are not written.
const EXIT_MARGIN: Span = Span::from_micros(50_000);
/// Requests that are still open this long before the exit are answered with 500, since they would get no response
/// otherwise. Within this time the response has to be written and the connection closed, by a process that shares its
/// CPU core with others.
const WRITING_TIME: Span = Span::from_micros(300_000);
/// Longest time from the second signal, which answers all requests at once, to the exit. Clients that read slowly have
/// this long to read their responses.
const IMMEDIATE_EXIT: Span = Span::from_micros(1_000_000);

/// The stage of the shutdown. The time in a variant is the time at which the process has to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    /// No shutdown was requested.
    Serving,
    Accepting(Instant),
    Finishing(Instant),
    /// All open requests have been answered, and new ones are refused.
    Flushing,
    /// The runtime was ordered to exit.
    Exiting,
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
        let (deadline, latency_objective) = self.settings.connection_settings.longest;
        let grace = deadline.min(MAX_GRACE_DEADLINE) + PLATFORM_EXTRA_GRACE;
        // The scheduler answers a request by its latency objective, so a request accepted at the end of this stage is
        // answered before the kill.
        let accepting = (grace - latency_objective - SCHEDULING_MARGIN).max(MIN_ACCEPTING);
        info!(
            open_requests = self.requests.awaiting_response(),
            accepting_ms = accepting.millis(),
            "shutdown started"
        );
        self.shutdown = Shutdown::Accepting(self.context.now + grace - EXIT_MARGIN);
        self.context.set_timer(accepting, TimerEvent::ShutdownStage);
    }

    /// Handles the second signal: answers all open requests now.
    pub(super) fn shut_down_now(&mut self) {
        if matches!(self.shutdown, Shutdown::Flushing | Shutdown::Exiting) {
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
            Shutdown::Serving | Shutdown::Flushing | Shutdown::Exiting => immediate_exit,
        };
        self.answer_all(exit_at);
    }

    /// Starts the next stage when the timer of the present one fires. The timer of an earlier stage has no effect.
    pub(super) fn advance_shutdown(&mut self) {
        match self.shutdown {
            Shutdown::Accepting(exit_at) => {
                self.shutdown = Shutdown::Finishing(exit_at);
                // The listener is closed before the idle connections, so that a client whose connection was closed is
                // refused at once when it connects again.
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
            Shutdown::Serving | Shutdown::Finishing(_) | Shutdown::Flushing | Shutdown::Exiting => {
            }
        }
    }

    /// Fails all open requests, refuses incomplete messages and closes idle connections.
    fn answer_all(&mut self, exit_at: Instant) {
        self.shutdown = Shutdown::Flushing;
        for id in self.requests.all_awaiting_response() {
            self.fail(id);
        }
        self.end_clients();
        self.context.timers.set(exit_at, TimerEvent::Exit);
    }

    /// Exits if all requests are answered, all client connections have ended and the backlog is empty.
    pub(super) fn exit_if_finished(&mut self) {
        let finishing = matches!(self.shutdown, Shutdown::Finishing(_) | Shutdown::Flushing);
        let all_flushed = self.requests.awaiting_response() == 0 && self.clients.len() == 0;
        if finishing && all_flushed && !self.backlog_waits {
            self.exit();
        }
    }

    pub(super) fn exit(&mut self) {
        if self.shutdown != Shutdown::Exiting {
            self.shutdown = Shutdown::Exiting;
            self.log_metrics("shutdown complete");
            self.context.outputs.push(Output::Exit);
        }
    }
}
