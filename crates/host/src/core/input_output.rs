//! What goes into the host's core and what comes out of it.

use super::config_change::{Proposal, ProposalOutcome};
use super::maintenance::{CommandOutcome, OperatorCommand};
use gullsail_protocol::Frame;
use gullsail_scheduler_api::{Instant, Span};

/// A connection, named by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Who waits for the result of a proposal or of an operator command; chosen by the caller.
pub type RequesterId = u64;

/// What happened outside.
#[derive(Debug)]
pub enum Input {
    /// A connection that was requested is established.
    Connected(LinkId),
    /// A connection that was requested could not be made; with the reason.
    ConnectFailed(LinkId, String),
    /// A frame was read.
    Frame(LinkId, Frame),
    /// A frame that may have waited that long before it was read, because the process stood still.
    DelayedFrame(LinkId, Frame, Span),
    /// So many bytes of what was sent are written.
    Written(LinkId, usize),
    /// The connection ended, with the reason; nothing more comes of it.
    Closed(LinkId, String),
    /// Another configuration, compared with the current one.
    Propose(Box<Proposal>),
    /// An operator command on servers.
    OperatorCommand(RequesterId, OperatorCommand),
    /// Admit nothing new, answer what is open, then finish.
    Stop,
}

/// What is to be done outside.
#[derive(Debug)]
pub enum Output {
    /// Open a connection to an address.
    Connect {
        /// Its name from now on.
        link: LinkId,
        /// Where to connect.
        address: String,
    },
    /// Write a frame.
    Send {
        /// On this connection.
        link: LinkId,
        /// What to write.
        frame: Frame,
        /// Not later than this: nobody waits for it then.
        until: Option<Instant>,
    },
    /// Write what was sent, then close the connection; also one that is still being made.
    Close {
        /// The connection.
        link: LinkId,
    },
    /// Read from the connection, or let its other side wait.
    Reading {
        /// The connection.
        link: LinkId,
        /// Whether it is read.
        on: bool,
    },
    /// The result of a proposal.
    ProposalDecided {
        /// Who proposed.
        requester: RequesterId,
        /// Applied, or refused with the reasons.
        outcome: ProposalOutcome,
    },
    /// The result of an operator command.
    CommandOutcome {
        /// Who gave the command.
        requester: RequesterId,
        /// Accepted, or why not.
        outcome: CommandOutcome,
    },
    /// The host was stopped and everything is answered.
    Finished,
}
