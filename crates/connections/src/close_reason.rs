//! The reasons for which a connection ends.

use gullsail_protocol::FrameError;
use std::fmt;
use std::io;
use std::time::Duration;

/// Why a connection ended. Owners of links receive it as a text, for the log.
#[derive(Debug)]
pub(crate) enum CloseReason {
    /// The owner dropped the link.
    ClosedHere,
    /// The owner no longer receives events.
    ReceiverDropped,
    /// The other side closed the connection between two frames.
    ClosedByPeer,
    /// The other side closed the connection after a part of a frame.
    ClosedWithinFrame {
        /// Bytes of the frame that were received.
        received: usize,
    },
    /// A part of a large frame was received, and nothing more.
    StalledWithinFrame {
        /// Bytes of the frame that were received.
        received: usize,
        /// The time for which nothing was received.
        stall_limit: Duration,
    },
    /// The bytes received violate the frame format, or the frame is too large.
    InvalidFrame(FrameError),
    /// Reading failed.
    Read(io::Error),
    /// Writing failed.
    Write(io::Error),
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::ClosedHere => formatter.write_str("closed here"),
            CloseReason::ReceiverDropped => formatter.write_str("receiver dropped"),
            CloseReason::ClosedByPeer => formatter.write_str("closed by the other side"),
            CloseReason::ClosedWithinFrame { received } => write!(
                formatter,
                "closed by the other side within a frame, after {received} bytes"
            ),
            CloseReason::StalledWithinFrame {
                received,
                stall_limit,
            } => write!(
                formatter,
                "incomplete frame: {received} bytes, and nothing more for {stall_limit:?}"
            ),
            CloseReason::InvalidFrame(error) => error.fmt(formatter),
            CloseReason::Read(error) => write!(formatter, "read: {error}"),
            CloseReason::Write(error) => write!(formatter, "write: {error}"),
        }
    }
}
