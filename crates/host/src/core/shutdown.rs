//! Shutdown. The host stops listening and asks its clients to disconnect. It refuses new requests, answers the open
//! ones, reports the results of operator commands, leaves the fleet, and then lets its caller end the process. It
//! answers or refuses every request on a connection until that connection ends.

use super::Core;
use super::connection_table::RemoteKind;
use super::ids::ConnectionId;
use super::input_output::Output;
use super::timer_kind::TimerKind;
use gullsail_protocol::{Frame, GoAway};
use gullsail_scheduler_api::{Instant, Span};
use tracing::info;

/// How long a shutdown waits for the results of operator commands: 2 s. A command has its result sooner if a majority
/// of the voters can be reached.
const COMMAND_GRACE: Span = Span::from_micros(2_000_000);

/// How far this host's shutdown has come.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    /// The shutdown has started: new connections and requests are refused.
    pub(super) requested: bool,
    /// When the shutdown stops waiting for the results of operator commands; `None`: it has not started.
    command_deadline: Option<Instant>,
    /// Every request is answered, this host has left the fleet, and [`Output::Finished`] was added to the outputs.
    pub(super) complete: bool,
}

impl Core {
    /// Starts the shutdown. Does nothing if it has started before.
    pub(super) fn stop(&mut self) {
        if !self.shutdown.requested {
            info!(open_requests = self.requests.open(), "shutdown started");
            self.begin_shutdown();
        }
    }

    /// Stops listening and asks every client to disconnect.
    pub(super) fn begin_shutdown(&mut self) {
        self.shutdown.requested = true;
        let command_deadline = self.now + COMMAND_GRACE;
        self.shutdown.command_deadline = Some(command_deadline);
        self.set_timer(command_deadline, TimerKind::Fleet);
        self.outputs.push(Output::StopListening);
        for client in self.connections.clients() {
            self.send_go_away(client);
        }
    }

    /// Asks a client to disconnect and to send no more requests here. Otherwise the client would learn of the
    /// shutdown from the end of its connection, which could cross a request that it sends.
    pub(super) fn send_go_away(&mut self, client: ConnectionId) {
        self.send(client, Frame::from(GoAway {}));
    }

    /// Returns the connections of clients, and those whose other side has not identified itself.
    pub fn client_connections(&self) -> Vec<ConnectionId> {
        self.connections.ids_where(|connection| {
            matches!(
                connection.remote_kind,
                RemoteKind::Client | RemoteKind::Unidentified { .. }
            )
        })
    }

    /// Completes the shutdown once every request is answered and every operator command has its result. Commands
    /// that have none after [`COMMAND_GRACE`] do not delay the shutdown, however many arrive meanwhile: leaving the
    /// fleet ends them with an unknown result.
    pub(super) fn finish_if_answered(&mut self) {
        let grace_over = |until: Instant| until <= self.now;
        let commands_finished = self.maintenance.pending_commands.is_empty()
            || self.shutdown.command_deadline.is_some_and(grace_over);
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
