//! The inputs and outputs of the host's core.

use super::ids::{ConnectionId, RequesterId};
use super::operator_command::{CommandOutcome, OperatorCommand};
use super::proposal::{Proposal, ProposalOutcome};
use gullsail_protocol::Frame;
use gullsail_scheduler_api::{Instant, Span};

/// An event outside of the core, reported by its caller.
#[derive(Debug)]
pub enum Input {
    /// A connection that was requested is established.
    Connected(ConnectionId),
    /// A connection that was requested could not be established, with the reason.
    ConnectFailed(ConnectionId, String),
    /// A frame was read from the connection.
    Frame(ConnectionId, Frame),
    /// A frame was read from the connection after a stall of the process. It may have waited for up to this long.
    DelayedFrame(ConnectionId, Frame, Span),
    /// This many bytes of sent frames were written to the connection's socket.
    Written(ConnectionId, usize),
    /// The connection ended, with the reason. This is the last input of this connection.
    Closed(ConnectionId, String),
    /// A configuration was proposed, compared with the current one.
    Propose(Box<Proposal>),
    /// An operator gave a command on servers.
    OperatorCommand(RequesterId, OperatorCommand),
    /// The host must shut down: accept nothing new, answer the open requests, then finish.
    Stop,
}

/// An action that the caller must carry out.
#[derive(Debug)]
pub enum Output {
    /// Open a connection to an address.
    Connect {
        /// The id that the connection has in all later inputs and outputs.
        link: ConnectionId,
        /// Address of the other side, as a host name or IP address and a port.
        address: String,
    },
    /// Write a frame to a connection.
    Send {
        /// The connection to write to.
        link: ConnectionId,
        /// The frame to write.
        frame: Frame,
        /// The frame may be dropped after this time, since it is of no use then; `None`: it is always of use.
        until: Option<Instant>,
    },
    /// Write the frames that were sent, then close the connection, even if it is still being established.
    Close {
        /// The connection to close.
        link: ConnectionId,
    },
    /// Read from the connection, or stop reading from it.
    Reading {
        /// The connection to read from or not.
        link: ConnectionId,
        /// Whether to read from the connection.
        on: bool,
    },
    /// Report the outcome of a proposal.
    ProposalDecided {
        /// The requester that proposed the configuration.
        requester: RequesterId,
        /// Whether the configuration is applied.
        outcome: ProposalOutcome,
    },
    /// Report the result of an operator command.
    CommandOutcome {
        /// The requester that gave the command.
        requester: RequesterId,
        /// Whether the command is accepted.
        outcome: CommandOutcome,
    },
    /// Accept the connections that wait in the listener's backlog with [`super::Core::accept_from_backlog`], then
    /// close the listener.
    StopListening,
    /// End the process: every request is answered and this host has left the fleet. The caller serves clients that
    /// are still connected until they disconnect, or for a bounded time.
    Finished,
}
