//! The task that writes one connection.

use crate::{LINGER, LinkEvent, QueuedFrame, Sink};
use bytes::{Bytes, BytesMut};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// Frames that are ready together are gathered into one write of about this size. A body longer than a quarter
/// of it is written on its own, without a copy. A larger value copies more, a smaller one costs system calls.
const GATHER_BYTES: usize = 16 << 10;

/// Writes queued frames until the queue ends. Frames that are ready together leave in one write.
pub(crate) async fn write<K: Copy>(
    mut to: OwnedWriteHalf,
    key: K,
    mut queued: mpsc::Receiver<QueuedFrame>,
    mut gone: watch::Receiver<bool>,
    sink: &Sink<K>,
) -> io::Result<()> {
    let mut gathered = BytesMut::with_capacity(GATHER_BYTES);
    while let Some(first) = queued.recv().await {
        let mut next = Some(first);
        let mut bytes = 0;
        while let Some(QueuedFrame { frame, until }) = next {
            bytes += frame.len();
            if until.is_some_and(|until| Instant::now() > until) {
                next = queued.try_recv().ok();
                continue;
            }
            frame.encode_head(&mut gathered);
            if frame.body.len() <= GATHER_BYTES / 4 {
                gathered.extend_from_slice(&frame.body);
            } else {
                write_all(&mut to, &gathered.split().freeze(), &mut gone).await?;
                write_all(&mut to, &frame.body, &mut gone).await?;
            }
            if gathered.len() >= GATHER_BYTES {
                write_all(&mut to, &gathered.split().freeze(), &mut gone).await?;
            }
            next = queued.try_recv().ok();
        }
        write_all(&mut to, &gathered.split().freeze(), &mut gone).await?;
        // The owner may have dropped its end: what is queued is still written.
        let _ = sink.send((key, LinkEvent::Written(bytes))).await;
    }
    to.shutdown().await
}

/// Writes all bytes, however long the other side takes. Once the link was dropped, for [`LINGER`] at most.
async fn write_all(
    to: &mut OwnedWriteHalf,
    bytes: &Bytes,
    gone: &mut watch::Receiver<bool>,
) -> io::Result<()> {
    let dropped = async {
        while gone.changed().await.is_ok() {}
        sleep(LINGER).await;
    };
    tokio::select! {
        biased;
        written = to.write_all(bytes) => written,
        () = dropped => Err(io::ErrorKind::TimedOut.into()),
    }
}
