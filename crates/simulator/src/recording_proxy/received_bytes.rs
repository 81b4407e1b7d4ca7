//! Counts the bytes that a process has sent on a connection and that the kernel at the relay's end has received: those
//! that the relay has read and those that are still in the socket.

use socket2::Socket;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The byte counts of one connection's receiving end. A link reads the same connection.
pub(super) struct ReceivedBytes {
    /// Bytes that the link has read.
    pub(super) read: Arc<AtomicU64>,
    /// Bytes of the frames that the relay has processed.
    pub(super) processed: Arc<AtomicU64>,
    /// A duplicate of the link's socket.
    pub(super) socket: Socket,
}

impl ReceivedBytes {
    /// Returns the number of bytes received so far. If the link reads at the same time, the result may be too low, but
    /// never too high.
    pub(super) fn count(&self) -> u64 {
        let read = self.read.load(Ordering::Relaxed);
        // A socket that has failed has nothing more to read.
        read + rustix::io::ioctl_fionread(&self.socket).unwrap_or(0)
    }

    /// Returns the number of bytes received so far if the relay has not processed all of them.
    pub(super) fn unread(&self) -> Option<u64> {
        let processed = self.processed.load(Ordering::Relaxed);
        let received = self.count();
        (received > processed).then_some(received)
    }
}
