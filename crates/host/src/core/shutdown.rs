//! Shutdown: the host accepts nothing new, answers what is open, reports the result of operator commands,
//! leaves the fleet, and then asks its caller to end.

use super::Core;
use super::input_output::Output;
use tracing::info;

/// How far this host's shutdown has come.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    /// Nothing new is accepted.
    pub(super) requested: bool,
    /// Everything is answered, and the caller knows that it may end this host.
    pub(super) complete: bool,
}

impl Core {
    /// Starts the shutdown; does nothing if it has started.
    pub(super) fn stop(&mut self) {
        if !self.shutdown.requested {
            info!(open_requests = self.requests.open(), "shutdown started");
            self.shutdown.requested = true;
        }
    }

    /// Completes the shutdown once everything is answered. The host waits a little longer for the results of
    /// operator commands: a host that a command takes offline must not exit before the operator has the
    /// result.
    pub(super) fn finish_if_answered(&mut self) {
        let commands_finished = self
            .maintenance
            .pending_commands
            .values()
            .all(|until| *until <= self.now);
        if !self.shutdown.requested
            || !commands_finished
            || self.requests.open() != 0
            || self.shutdown.complete
        {
            return;
        }
        if self.leave_fleet() {
            self.shutdown.complete = true;
            info!("shutdown complete");
            self.outputs.push(Output::Finished);
        }
    }
}
