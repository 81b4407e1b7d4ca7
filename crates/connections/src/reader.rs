//! The task that reads one connection. It turns bytes into frames while its owner lets it read and the read
//! budget has room.

use crate::close_reason::CloseReason;
use crate::{LinkEvent, ReadLimits, Sink};
use bytes::BytesMut;
use gullsail_protocol::{MAX_RESERVED_BYTES, announced_frame_bytes, decode};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::sleep;

/// Bytes that are read at once at most: 32 KiB. A larger buffer costs memory on each connection, a smaller one
/// more system calls for large bodies.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// The reading end of one connection.
pub(crate) struct Reader<K> {
    pub(crate) from: OwnedReadHalf,
    pub(crate) key: K,
    pub(crate) limits: ReadLimits,
    pub(crate) sink: Sink<K>,
    /// Whether the owner wants it read. Its sender is gone when the link was dropped.
    pub(crate) may_read: watch::Receiver<bool>,
    /// Held while a part of a large frame was received.
    pub(crate) partial: Option<OwnedSemaphorePermit>,
    /// Bytes that were read from the socket.
    pub(crate) read_bytes: Arc<AtomicU64>,
}

/// What follows after the budget for a large frame was asked for.
enum PartialFrame {
    /// More may be read.
    Read,
    /// The owner changed whether this connection is read, so frames are delivered first.
    DeliverAgain,
}

impl<K: Copy> Reader<K> {
    /// Reads until the connection ends. Returns why it did.
    pub(crate) async fn run(mut self) -> CloseReason {
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        loop {
            if let Err(reason) = self.deliver(&mut buffer).await {
                return reason;
            }
            match self.take_partial_budget(&buffer).await {
                Ok(PartialFrame::Read) => {}
                Ok(PartialFrame::DeliverAgain) => continue,
                Err(reason) => return reason,
            }
            if buffer.capacity() - buffer.len() < READ_BUFFER_BYTES / 4 {
                buffer.reserve(READ_BUFFER_BYTES);
            }
            if let Err(reason) = self.read(&mut buffer).await {
                return reason;
            }
        }
    }

    /// Hands over all frames that are complete. `Err`: why the connection ends.
    async fn deliver(&mut self, buffer: &mut BytesMut) -> Result<(), CloseReason> {
        loop {
            // The end of the owner's link ends this task too.
            if self.may_read.wait_for(|on| *on).await.is_err() {
                return Err(CloseReason::ClosedHere);
            }
            let decoded = decode(buffer, self.limits.bounds);
            let Some(frame) = decoded.map_err(CloseReason::InvalidFrame)? else {
                return Ok(());
            };
            if let Some(budget) = &self.limits.budget {
                budget.take(frame.len()).await;
            }
            self.partial = None;
            let event = (self.key, LinkEvent::Frame(frame));
            if self.sink.send(event).await.is_err() {
                return Err(CloseReason::ReceiverDropped);
            }
        }
    }

    /// Takes the budget for a large frame of which a part was received.
    async fn take_partial_budget(
        &mut self,
        buffer: &BytesMut,
    ) -> Result<PartialFrame, CloseReason> {
        let budget = self.limits.budget.as_ref();
        let Some(budget) = budget.filter(|budget| budget.bounds_partial_frames()) else {
            return Ok(PartialFrame::Read);
        };
        let needs_budget = |bytes: &usize| *bytes > MAX_RESERVED_BYTES && self.partial.is_none();
        let Some(frame_bytes) = announced_frame_bytes(buffer).filter(needs_budget) else {
            return Ok(PartialFrame::Read);
        };
        tokio::select! {
            permit = budget.take_partial(frame_bytes) => {
                self.partial = permit;
                Ok(PartialFrame::Read)
            }
            changed = self.may_read.changed() => match changed {
                Ok(()) => Ok(PartialFrame::DeliverAgain),
                Err(_) => Err(CloseReason::ClosedHere),
            },
        }
    }

    /// Reads what was received, or waits until the owner changes whether this connection is read.
    async fn read(&mut self, buffer: &mut BytesMut) -> Result<(), CloseReason> {
        let budget = self.limits.budget.as_ref();
        let stall_limit = budget.and_then(|budget| budget.stall_limit());
        let stall_limit = stall_limit.unwrap_or(Duration::MAX);
        tokio::select! {
            read = self.from.read_buf(buffer) => match read {
                Ok(0) if buffer.is_empty() => Err(CloseReason::ClosedByPeer),
                Ok(0) => Err(CloseReason::ClosedWithinFrame { received: buffer.len() }),
                Ok(length) => {
                    self.read_bytes.fetch_add(length as u64, Ordering::Relaxed);
                    Ok(())
                }
                Err(error) => Err(CloseReason::Read(error)),
            },
            changed = self.may_read.changed() => changed.map_err(|_| CloseReason::ClosedHere),
            () = sleep(stall_limit), if self.partial.is_some() => {
                Err(CloseReason::StalledWithinFrame { received: buffer.len(), stall_limit })
            }
        }
    }
}
