//! The interface of [`super::Core`] to the runtime: inputs from sockets and signals, and outputs that the runtime
//! carries out.

use crate::settings_document::SettingsDocument;
use bytes::Bytes;
use gullsail_http::EncodedMessage;
use gullsail_scheduler_api::Instant;
use std::net::SocketAddr;

/// Identifies a connection to a client, a node or discovery. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// An event of a socket, or a request of the operator. After [`Input::Closed`] a connection has no further events.
#[derive(Debug)]
pub enum Input {
    /// An outgoing connection is established.
    Connected(ConnectionId),
    /// Bytes were read from the connection.
    Received(ConnectionId, Bytes),
    /// The operating system has accepted all bytes of the message of an [`Output::Send`], an [`Output::Respond`], or
    /// the `if_more` of an [`Output::RespondLast`].
    Written(ConnectionId),
    /// No byte of the message of an [`Output::Send`] was written, since the other side had closed the connection or
    /// sent input that the core had not handled, or since it was too late. The connection closes.
    NotWritten(ConnectionId),
    /// All responses are written, and the host has closed its direction of the connection.
    WriteClosed(ConnectionId),
    /// The connection has ended, or could not be established.
    Closed(ConnectionId),
    /// After [`Output::StopAccepting`]: the backlog may still hold connections, as slots or descriptors are missing.
    /// The runtime accepts them as these become free.
    BacklogWaits,
    /// After [`Input::BacklogWaits`]: the backlog is empty, and the listener is closed.
    BacklogEmpty,
    /// A datagram from another host.
    Datagram(SocketAddr, Bytes),
    /// A new settings document. Only its discovery address takes effect while the host runs.
    Reload(Box<SettingsDocument>),
    /// The first signal to terminate: open requests are finished, then the process exits.
    Shutdown,
    /// The second signal to terminate: all open requests are answered at once.
    ShutdownNow,
}

/// An operation that the runtime carries out for the core.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Open a connection.
    Connect {
        /// The id that the new connection has in all later inputs and outputs.
        conn: ConnectionId,
        /// IP address and port, such as `10.2.0.1:8500`. Host names are not resolved.
        address: String,
    },
    /// Write a message to a node or to discovery. It is not written if input is unread, or if more than
    /// `bytes_handled` bytes were read so far: no response is open on the connection, so any input makes it unusable.
    /// Nor is it written after `write_by`.
    Send {
        /// The connection to the node or to discovery.
        conn: ConnectionId,
        /// The complete message.
        bytes: EncodedMessage,
        /// How many bytes received on this connection the core has handled.
        bytes_handled: u64,
        /// The latest time at which writing may begin; `None`: at any time.
        write_by: Option<Instant>,
    },
    /// Write a response to a client.
    Respond {
        /// The client's connection.
        conn: ConnectionId,
        /// One or more complete responses.
        bytes: EncodedMessage,
    },
    /// Write the last response to a client, which announces the close, and then close as with
    /// [`Output::FinishAndClose`]. If input is unread, or more than `bytes_handled` bytes were read so far, the client
    /// has sent another request: `if_more` is written instead and the connection stays open.
    RespondLast {
        /// The client's connection.
        conn: ConnectionId,
        /// The complete response with `Connection: close`.
        bytes: EncodedMessage,
        /// The same response without `Connection: close`.
        if_more: EncodedMessage,
        /// How many bytes received on this connection the core has handled.
        bytes_handled: u64,
    },
    /// Discard all further input of a connection. Only its end is still reported.
    DiscardInput {
        /// The client's connection.
        conn: ConnectionId,
    },
    /// Write the queued responses, close the host's direction of the connection, discard input for a bounded time and
    /// then close the connection.
    FinishAndClose {
        /// The client's connection.
        conn: ConnectionId,
    },
    /// Close an idle connection as with [`Output::FinishAndClose`]. Nothing happens if input is unread, or if more than
    /// `bytes_handled` bytes were read so far: the client has sent another request.
    CloseIdle {
        /// The client's connection.
        conn: ConnectionId,
        /// How many bytes received on this connection the core has handled.
        bytes_handled: u64,
    },
    /// Close a connection at once. The runtime reports no further events of it.
    Close {
        /// The connection to a client, a node or discovery.
        conn: ConnectionId,
    },
    /// Send a datagram to another host.
    Datagram {
        /// The address of the other host.
        to: SocketAddr,
        /// The payload.
        bytes: Bytes,
    },
    /// Accept the connections that wait in the backlog, then close the listener.
    StopAccepting,
    /// Exit the process: all responses are written and all client connections have ended, or the time for that has
    /// run out.
    Exit,
}
