//! Shutdown: the host stops listening and tells its clients to go away. It accepts nothing new, answers what is open,
//! reports the result of operator commands, leaves the fleet, and then asks its caller to end. Up to the end of a
//! connection every request on it is answered.

use super::Core;
use super::connection_table::PeerKind;
use super::ids::LinkId;
use super::input_output::Output;
use super::timer_kind::TimerKind;
use gullsail_protocol::{Frame, GoAway};
use gullsail_scheduler_api::{Instant, Span};
use tracing::info;

/// How long a shutdown waits for the results of operator commands. While a majority of voters can be reached, a command
/// has its result sooner.
const COMMAND_GRACE: Span = Span::from_micros(2_000_000);

/// How far this host's shutdown has come.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    /// Nothing new is accepted.
    pub(super) requested: bool,
    /// Until then the shutdown waits for the results of operator commands.
    commands_until: Option<Instant>,
    /// Everything is answered, and the caller knows that it may end this host.
    pub(super) complete: bool,
}

impl Core {
    /// Starts the shutdown; does nothing if it has started.
    pub(super) fn stop(&mut self) {
        if !self.shutdown.requested {
            info!(open_requests = self.requests.open(), "shutdown started");
            self.begin_shutdown();
        }
    }

    /// Stops listening and tells every client to go away.
    pub(super) fn begin_shutdown(&mut self) {
        self.shutdown.requested = true;
        let commands_until = self.now + COMMAND_GRACE;
        self.shutdown.commands_until = Some(commands_until);
        self.set_timer(commands_until, TimerKind::Fleet);
        self.outputs.push(Output::StopListening);
        for client in self.connections.clients() {
            self.tell_to_go_away(client);
        }
    }

    /// Without this, a client would learn of the shutdown by the end of its connection, which may cross a request
    /// that it sends.
    pub(super) fn tell_to_go_away(&mut self, client: LinkId) {
        self.send(client, Frame::from(GoAway {}));
    }

    /// The connections that clients opened, and those whose other side has not introduced itself.
    pub fn client_links(&self) -> Vec<LinkId> {
        self.connections.ids_where(|connection| {
            matches!(
                connection.peer_kind,
                PeerKind::Client | PeerKind::Unidentified { .. }
            )
        })
    }

    /// Completes the shutdown once everything is answered. The host waits a little longer for the results of
    /// operator commands, however many come meanwhile: leaving the fleet answers those that are left.
    pub(super) fn finish_if_answered(&mut self) {
        let grace_over = |until: Instant| until <= self.now;
        let commands_finished = self.maintenance.pending_commands.is_empty()
            || self.shutdown.commands_until.is_some_and(grace_over);
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
