//! The task that reads one connection: bytes to frames, as long as its owner lets it read and there is room.

use crate::{LinkEvent, ReadLimits, Sink};
use bytes::BytesMut;
use gullsail_protocol::{AHEAD, announced, decode};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::sleep;

const READ_BUFFER: usize = 32 << 10;
/// The owner dropped its end.
const CLOSED_HERE: &str = "closed here";

/// The reading end of one connection.
pub(crate) struct Reader<'a, K> {
    pub(crate) from: OwnedReadHalf,
    pub(crate) key: K,
    pub(crate) limits: ReadLimits,
    pub(crate) sink: &'a Sink<K>,
    /// Whether the owner wants it read; its sender is gone when the link was dropped.
    pub(crate) may_read: watch::Receiver<bool>,
    /// Held while a part of a large frame has come.
    pub(crate) partial: Option<OwnedSemaphorePermit>,
}

impl<K: Copy> Reader<'_, K> {
    /// Reads until the connection ends; returns why it did.
    pub(crate) async fn run(mut self) -> String {
        let mut buf = BytesMut::with_capacity(READ_BUFFER);
        loop {
            if let Err(why) = self.deliver(&mut buf).await {
                return why;
            }
            match self.take_partial_room(&buf).await {
                Ok(true) => {}
                Ok(false) => continue,
                Err(why) => return why,
            }
            if buf.capacity() - buf.len() < READ_BUFFER / 4 {
                buf.reserve(READ_BUFFER);
            }
            if let Err(why) = self.read(&mut buf).await {
                return why;
            }
        }
    }

    /// Hands over all frames that are complete. `Err`: why the connection ends.
    async fn deliver(&mut self, buf: &mut BytesMut) -> Result<(), String> {
        loop {
            // The end of the owner's link ends this task too.
            if self.may_read.wait_for(|on| *on).await.is_err() {
                return Err(CLOSED_HERE.into());
            }
            let Some(frame) =
                decode(buf, self.limits.bounds).map_err(|broken| broken.to_string())?
            else {
                return Ok(());
            };
            if let Some(room) = &self.limits.room {
                room.take(frame.len()).await;
            }
            self.partial = None;
            if self
                .sink
                .send((self.key, LinkEvent::Frame(frame)))
                .await
                .is_err()
            {
                return Err("nobody listens".into());
            }
        }
    }

    /// Takes room for a large frame of which a part has come. `Ok(false)`: the owner changed whether this is
    /// read, so begin again.
    async fn take_partial_room(&mut self, buf: &BytesMut) -> Result<bool, String> {
        let Some(room) = self
            .limits
            .room
            .as_ref()
            .filter(|room| room.bounds_partial_frames())
        else {
            return Ok(true);
        };
        let Some(whole) = announced(buf).filter(|whole| *whole > AHEAD && self.partial.is_none())
        else {
            return Ok(true);
        };
        tokio::select! {
            permit = room.take_partial(whole) => {
                self.partial = permit;
                Ok(true)
            }
            changed = self.may_read.changed() => match changed {
                Ok(()) => Ok(false),
                Err(_) => Err(CLOSED_HERE.into()),
            },
        }
    }

    /// Reads what has come, or waits until the owner changes whether this is read.
    async fn read(&mut self, buf: &mut BytesMut) -> Result<(), String> {
        let stall_limit = self
            .limits
            .room
            .as_ref()
            .and_then(|room| room.stall_limit());
        let stall_limit = stall_limit.unwrap_or(Duration::MAX);
        tokio::select! {
            read = self.from.read_buf(buf) => match read {
                Ok(0) if buf.is_empty() => Err("closed by the other side".into()),
                Ok(0) => Err(format!("closed by the other side within a frame, after {} bytes", buf.len())),
                Ok(_) => Ok(()),
                Err(e) => Err(format!("read: {e}")),
            },
            changed = self.may_read.changed() => changed.map_err(|_| CLOSED_HERE.into()),
            () = sleep(stall_limit), if self.partial.is_some() => {
                Err(format!("half a frame, {} bytes, and nothing more for {stall_limit:?}", buf.len()))
            }
        }
    }
}
