//! A TCP connection that carries frames: one task reads and one writes, each with a bounded queue. The opener of a
//! [`Link`] owns it and receives its events. Dropping a link writes the queued frames, for at most [`LINGER`], and
//! ends both tasks. The hosts' runtime, the simulator and the scenario runner open links.

mod close_reason;
mod read_budget;
mod reader;
mod writer;

pub use read_budget::ReadBudget;

use close_reason::CloseReason;
use gullsail_protocol::{Bounds, Frame};
use reader::Reader;
use socket2::{SockRef, TcpKeepalive};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long a dropped link may continue to write its queued frames: 500 ms. With less, last answers to slow
/// readers are lost; with more, a process with such readers exits later.
pub const LINGER: Duration = Duration::from_millis(500);
/// After this long without a byte, the system checks whether the other side still exists: 60 s. The check
/// costs a packet for each idle connection; until it fails, a server that vanished keeps its connections.
const KEEPALIVE: Duration = Duration::from_secs(60);

/// An event on a link, for its owner.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame was received.
    Frame(Frame),
    /// This many queued bytes were handed to the operating system, or dropped because their time had passed.
    Written(usize),
    /// The connection ended, with the reason. It is the last event of this link.
    Closed(String),
}

/// The receiver of events. Each event comes with the key that the opener gave the link.
pub type Sink<K> = mpsc::Sender<(K, LinkEvent)>;

/// Limits on what is read from a connection.
#[derive(Clone, Debug)]
pub struct ReadLimits {
    /// The largest frame that is accepted.
    pub bounds: Bounds,
    /// The budget for frames that wait to be handled; `None`: only the length of the queue limits them.
    pub budget: Option<ReadBudget>,
}

/// A frame that waits to be written.
#[derive(Debug)]
struct QueuedFrame {
    frame: Frame,
    /// The frame is of no use after this time.
    until: Option<Instant>,
}

/// One connection. Dropping it writes what is queued, for at most [`LINGER`], and ends it.
#[derive(Debug)]
pub struct Link {
    /// `None`: nothing more is written, while reading goes on.
    frames: Option<mpsc::Sender<QueuedFrame>>,
    reading: watch::Sender<bool>,
    read_bytes: Arc<AtomicU64>,
}

/// The queue of frames to write is full, or the link has ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Full;

impl Link {
    /// Opens a link over a stream and puts its two tasks into `tasks`. `queue` bounds the number of frames that
    /// wait to be written.
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
            ReadLimits {
                bounds,
                budget: None,
            },
            queue,
            sink,
            tasks,
        )
    }

    /// Opens a link as [`Link::open`] does, with limits on what is read. If there is a budget, a frame takes its
    /// bytes from it before the owner receives the frame.
    pub fn open_within<K: Copy + Send + 'static>(
        stream: TcpStream,
        key: K,
        limits: ReadLimits,
        queue: usize,
        sink: &Sink<K>,
        tasks: &mut JoinSet<()>,
    ) -> Link {
        set_socket_options(&stream);
        let (from, to) = stream.into_split();
        let (frames, queued) = mpsc::channel(queue);
        let (reading, may_read) = watch::channel(true);
        let gone = reading.subscribe();
        let read_bytes = Arc::new(AtomicU64::new(0));
        let reader = Reader {
            from,
            key,
            limits,
            sink: sink.clone(),
            may_read,
            partial: None,
            read_bytes: read_bytes.clone(),
        };
        tasks.spawn(run_reader(reader));
        tasks.spawn(run_writer(to, key, queued, gone, sink.clone()));
        Link {
            frames: Some(frames),
            reading,
            read_bytes,
        }
    }

    /// The count of bytes read from the socket, whether or not the owner has received their frames.
    pub fn read_bytes(&self) -> Arc<AtomicU64> {
        self.read_bytes.clone()
    }

    /// Queues a frame.
    ///
    /// # Errors
    /// [`Full`]: the frame is not queued.
    pub fn send(&self, frame: Frame) -> Result<(), Full> {
        self.send_by(frame, None)
    }

    /// Queues a frame that is of no use after `until`. It is not written after that time, as may happen when
    /// this process or the other side was stalled.
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

    /// Writes what is queued and then closes this direction. Reading goes on.
    pub fn finish(&mut self) {
        self.frames = None;
    }

    /// Resumes reading (`on`) or stops it, as back pressure on the other side.
    pub fn set_reading(&self, on: bool) {
        self.reading
            .send_if_modified(|was| std::mem::replace(was, on) != on);
    }
}

fn set_socket_options(stream: &TcpStream) {
    // Nagle's algorithm would delay small frames. An error is ignored: a socket that refuses an option is about
    // to fail anyway, and its reader reports that.
    let _ = stream.set_nodelay(true);
    // A server that vanished sends nothing more. Without keepalive, its connection would stay open forever.
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE / 4);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

async fn run_reader<K: Copy>(reader: Reader<K>) {
    let key = reader.key;
    let events = reader.sink.clone();
    let reason = reader.run().await;
    // The owner may have dropped its end already.
    let _ = events
        .send((key, LinkEvent::Closed(reason.to_string())))
        .await;
}

async fn run_writer<K: Copy>(
    to: OwnedWriteHalf,
    key: K,
    queued: mpsc::Receiver<QueuedFrame>,
    gone: watch::Receiver<bool>,
    events: Sink<K>,
) {
    if let Err(error) = writer::write(to, key, queued, gone, &events).await {
        let reason = CloseReason::Write(error);
        // The owner may have dropped its end already.
        let _ = events
            .send((key, LinkEvent::Closed(reason.to_string())))
            .await;
    }
}
