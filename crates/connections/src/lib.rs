//! One TCP connection that carries frames: a task that reads and one that writes, each with a bounded queue.
//! Nothing is decided here; whoever opens a [`Link`] owns it and receives its events. Dropping a link writes
//! what is queued, for at most [`LINGER`], and ends both tasks. The hosts' runtime, the simulator and the
//! scenario runner open links.

mod reader;
mod room;
mod writer;

pub use room::Room;

use gullsail_protocol::{Bounds, Frame};
use reader::Reader;
use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long a link that was dropped may go on writing what it holds.
pub const LINGER: Duration = Duration::from_millis(500);
/// After so long without a byte, the system checks whether the other side is still there.
const KEEPALIVE: Duration = Duration::from_secs(60);

/// What happened on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame came.
    Frame(Frame),
    /// So many bytes of what was queued are with the operating system.
    Written(usize),
    /// The connection ended, with the reason; nothing else comes of it.
    Closed(String),
}

/// Where events go, with the name that the opener gave the link.
pub type Sink<K> = mpsc::Sender<(K, LinkEvent)>;

/// What may be read from a connection.
#[derive(Clone, Debug)]
pub struct ReadLimits {
    /// For each frame.
    pub bounds: Bounds,
    /// For frames that wait to be handled; `None`: bounded by the queue alone.
    pub room: Option<Room>,
}

/// A frame that waits to be written.
#[derive(Debug)]
struct QueuedFrame {
    frame: Frame,
    /// Nobody has use of it after this.
    until: Option<Instant>,
}

/// One connection. Dropping it writes what is queued, for at most [`LINGER`], and ends it.
#[derive(Debug)]
pub struct Link {
    /// `None`: nothing more is written, while reading goes on.
    frames: Option<mpsc::Sender<QueuedFrame>>,
    reading: watch::Sender<bool>,
}

/// The queue to the other side is full, or the link is over.
#[derive(Debug, PartialEq, Eq)]
pub struct Full;

impl Link {
    /// Opens a link over a stream; both its tasks are put into `tasks`. `queue` bounds the frames that wait
    /// to be written.
    pub fn open<K: Copy + Send + 'static>(
        stream: TcpStream,
        key: K,
        bounds: Bounds,
        queue: usize,
        sink: &Sink<K>,
        tasks: &mut JoinSet<()>,
    ) -> Link {
        Link::open_within(
            stream,
            key,
            ReadLimits { bounds, room: None },
            queue,
            sink,
            tasks,
        )
    }

    /// The same with limits on what is read: frames that come in take their room first, where there is one.
    pub fn open_within<K: Copy + Send + 'static>(
        stream: TcpStream,
        key: K,
        limits: ReadLimits,
        queue: usize,
        sink: &Sink<K>,
        tasks: &mut JoinSet<()>,
    ) -> Link {
        // Small frames must not wait for each other; a socket that refuses this is about to break anyway.
        let _ = stream.set_nodelay(true);
        // A machine that went away sends nothing more: without this its connection would stay open for ever.
        let alive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE / 4);
        let _ = SockRef::from(&stream).set_tcp_keepalive(&alive);
        let (from, to) = stream.into_split();
        let (frames, queued) = mpsc::channel(queue);
        let (reading, may_read) = watch::channel(true);
        let events = sink.clone();
        tasks.spawn(async move {
            let reader = Reader {
                from,
                key,
                limits,
                sink: &events,
                may_read,
                partial: None,
            };
            let why = reader.run().await;
            // The owner may be gone already.
            let _ = events.send((key, LinkEvent::Closed(why))).await;
        });
        let events = sink.clone();
        let gone = reading.subscribe();
        tasks.spawn(async move {
            if let Err(e) = writer::write(to, key, queued, gone, &events).await {
                let _ = events
                    .send((key, LinkEvent::Closed(format!("write: {e}"))))
                    .await;
            }
        });
        Link {
            frames: Some(frames),
            reading,
        }
    }

    /// Queues a frame.
    ///
    /// # Errors
    /// [`Full`]: the frame is not queued.
    pub fn send(&self, frame: Frame) -> Result<(), Full> {
        self.send_by(frame, None)
    }

    /// Queues a frame that is of no use to anybody after `until`: it is not written then, as when this
    /// process or the other side stood still.
    ///
    /// # Errors
    /// [`Full`]: the frame is not queued.
    pub fn send_by(&self, frame: Frame, until: Option<Instant>) -> Result<(), Full> {
        self.frames
            .as_ref()
            .ok_or(Full)?
            .try_send(QueuedFrame { frame, until })
            .map_err(|_| Full)
    }

    /// Writes what is queued and then ends this direction alone; reading goes on.
    pub fn finish(&mut self) {
        self.frames = None;
    }

    /// Stops or goes on reading: back-pressure for the other side.
    pub fn reading(&self, on: bool) {
        self.reading
            .send_if_modified(|was| std::mem::replace(was, on) != on);
    }
}
