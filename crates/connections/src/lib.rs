//! One TCP connection that carries frames: a task that reads and one that writes, each with a bounded queue.
//! Nothing is decided here; whoever opens a link is told what happened on it and owns it. Dropping a [`Link`]
//! writes out what is queued, for at most [`LINGER`], and ends both tasks.

use bytes::{Bytes, BytesMut};
use gullsail_protocol::{AHEAD, Bounds, Frame, announced, decode};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// How long a link that was dropped may go on writing what it holds.
pub const LINGER: Duration = Duration::from_millis(500);
/// Heads of frames that are ready together leave in one write; bodies beyond this are written on their own.
const GATHER: usize = 16 << 10;
const READ: usize = 32 << 10;
/// Without a byte for so long, the system asks whether the other side is still there.
const QUIET: Duration = Duration::from_secs(60);

/// What came of a link.
#[derive(Debug)]
pub enum Happened {
    Frame(Frame),
    /// So many bytes of what was queued are with the operating system.
    Written(usize),
    /// It is over; nothing else comes of it.
    Closed(String),
}

/// Who is told, with the name that the opener gave the link.
pub type Sink<K> = mpsc::Sender<(K, Happened)>;

/// Room in bytes for frames that were read and wait to be handled, shared by links: a queue that counts frames alone
/// would hold as many of the largest bodies. Whoever handles a frame gives its room back.
#[derive(Clone, Debug)]
pub struct Room {
    free: Arc<Semaphore>,
    all: usize,
    /// For large frames that are still coming, and how long one may stand still.
    coming: Option<(Arc<Semaphore>, Duration)>,
}

impl Room {
    /// In bytes. A frame larger than all of it takes all of it.
    pub fn new(all: usize) -> Room {
        let all = all.clamp(1, u32::MAX as usize);
        Room { free: Arc::new(Semaphore::new(all)), all, coming: None }
    }

    /// For links of strangers: as much room again for frames beyond [`AHEAD`] that are still coming, each of which takes its
    /// whole length before more of it is read; a link that stands still within one for so long is ended.
    pub fn of_strangers(&self, still: Duration) -> Room {
        Room { coming: Some((Arc::new(Semaphore::new(self.all)), still)), ..self.clone() }
    }

    fn share(&self, bytes: usize) -> u32 {
        bytes.min(self.all) as u32
    }

    async fn take(&self, bytes: usize) {
        // It is never closed.
        if let Ok(taken) = self.free.acquire_many(self.share(bytes)).await {
            taken.forget();
        }
    }

    /// A frame of so many bytes is handled.
    pub fn give_back(&self, bytes: usize) {
        self.free.add_permits(self.share(bytes) as usize);
    }

    /// What is free now, in bytes.
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }
}

#[derive(Debug)]
pub struct Link {
    /// `None`: nothing more is written, while reading goes on.
    frames: Option<mpsc::Sender<(Frame, Option<Instant>)>>,
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
        Link::open_within(stream, key, (bounds, None), queue, sink, tasks)
    }

    /// The same, and frames that come in take their room first, where there is one to take it from.
    pub fn open_within<K: Copy + Send + 'static>(
        stream: TcpStream,
        key: K,
        (bounds, room): (Bounds, Option<Room>),
        queue: usize,
        sink: &Sink<K>,
        tasks: &mut JoinSet<()>,
    ) -> Link {
        // Small frames must not wait for each other; a socket that refuses this is about to break anyway.
        let _ = stream.set_nodelay(true);
        // A machine that went away says nothing more: without this its connection would stand for ever.
        let alive = TcpKeepalive::new().with_time(QUIET).with_interval(QUIET / 4);
        let _ = SockRef::from(&stream).set_tcp_keepalive(&alive);
        let (from, to) = stream.into_split();
        let (frames, queued) = mpsc::channel(queue);
        let (reading, may_read) = watch::channel(true);
        let told = sink.clone();
        tasks.spawn(async move {
            let why = read(from, key, (bounds, room), &told, may_read).await;
            // Whoever is told may be gone already.
            let _ = told.send((key, Happened::Closed(why))).await;
        });
        let (told, gone) = (sink.clone(), reading.subscribe());
        tasks.spawn(async move {
            if let Err(e) = write(to, key, queued, gone, &told).await {
                let _ = told.send((key, Happened::Closed(format!("write: {e}")))).await;
            }
        });
        Link { frames: Some(frames), reading }
    }

    /// Queues a frame.
    ///
    /// # Errors
    /// [`Full`]: the frame is not queued.
    pub fn send(&self, frame: Frame) -> Result<(), Full> {
        self.send_by(frame, None)
    }

    /// Queues a frame that is of no use to anybody after `until`: it is not written then, as when this process or the
    /// other side stood still.
    ///
    /// # Errors
    /// [`Full`]: the frame is not queued.
    pub fn send_by(&self, frame: Frame, until: Option<Instant>) -> Result<(), Full> {
        self.frames.as_ref().ok_or(Full)?.try_send((frame, until)).map_err(|_| Full)
    }

    /// Writes what is queued and then ends this direction alone; reading goes on.
    pub fn finish(&mut self) {
        self.frames = None;
    }

    /// Stops or goes on reading: back-pressure for the other side.
    pub fn reading(&self, on: bool) {
        self.reading.send_if_modified(|was| std::mem::replace(was, on) != on);
    }
}

async fn read<K: Copy>(
    mut from: OwnedReadHalf,
    key: K,
    (bounds, room): (Bounds, Option<Room>),
    sink: &Sink<K>,
    mut may_read: watch::Receiver<bool>,
) -> String {
    let mut buf = BytesMut::with_capacity(READ);
    let mut coming: Option<OwnedSemaphorePermit> = None;
    let strangers = room.as_ref().and_then(|r| r.coming.clone().map(|c| (r.clone(), c)));
    loop {
        loop {
            // The owner's word ends this task too: its sender is gone when the link was dropped.
            if may_read.wait_for(|on| *on).await.is_err() {
                return "closed here".into();
            }
            match decode(&mut buf, bounds) {
                Ok(Some(frame)) => {
                    if let Some(room) = &room {
                        room.take(frame.len()).await;
                    }
                    coming = None;
                    if sink.send((key, Happened::Frame(frame))).await.is_err() {
                        return "nobody listens".into();
                    }
                }
                Ok(None) => break,
                Err(broken) => return broken.to_string(),
            }
        }
        if let (None, Some((room, (free, _))), Some(whole)) = (&coming, &strangers, announced(&buf))
            && whole > AHEAD
        {
            tokio::select! {
                // It is never closed.
                taken = free.clone().acquire_many_owned(room.share(whole)) => coming = taken.ok(),
                changed = may_read.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return "closed here".into(),
                },
            }
        }
        let still = strangers.as_ref().map_or(Duration::MAX, |s| s.1.1);
        if buf.capacity() - buf.len() < READ / 4 {
            buf.reserve(READ);
        }
        tokio::select! {
            got = from.read_buf(&mut buf) => match got {
                Ok(0) if buf.is_empty() => return "closed by the other side".into(),
                Ok(0) => return format!("closed by the other side within a frame, after {} bytes", buf.len()),
                Ok(_) => {}
                Err(e) => return format!("read: {e}"),
            },
            changed = may_read.changed() => if changed.is_err() {
                return "closed here".into();
            },
            () = sleep(still), if coming.is_some() => {
                return format!("half a frame, {} bytes, and nothing more for {still:?}", buf.len());
            }
        }
    }
}

async fn write<K: Copy>(
    mut to: OwnedWriteHalf,
    key: K,
    mut queued: mpsc::Receiver<(Frame, Option<Instant>)>,
    mut gone: watch::Receiver<bool>,
    sink: &Sink<K>,
) -> io::Result<()> {
    let mut gathered = BytesMut::with_capacity(GATHER);
    while let Some(first) = queued.recv().await {
        let (mut next, mut bytes) = (Some(first), 0);
        while let Some((frame, until)) = next {
            bytes += frame.len();
            if until.is_some_and(|until| Instant::now() > until) {
                next = queued.try_recv().ok();
                continue;
            }
            frame.head(&mut gathered);
            if frame.body.len() <= GATHER / 4 {
                gathered.extend_from_slice(&frame.body);
            } else {
                put(&mut to, &gathered.split().freeze(), &mut gone).await?;
                put(&mut to, &frame.body, &mut gone).await?;
            }
            if gathered.len() >= GATHER {
                put(&mut to, &gathered.split().freeze(), &mut gone).await?;
            }
            next = queued.try_recv().ok();
        }
        put(&mut to, &gathered.split().freeze(), &mut gone).await?;
        // Who is no longer told has let go of the link: what is queued is still written.
        let _ = sink.send((key, Happened::Written(bytes))).await;
    }
    to.shutdown().await
}

/// Writes all, however long the other side takes; once the link was dropped, for [`LINGER`] at most.
async fn put(to: &mut OwnedWriteHalf, bytes: &Bytes, gone: &mut watch::Receiver<bool>) -> io::Result<()> {
    let dropped = async {
        while gone.changed().await.is_ok() {}
        sleep(LINGER).await;
    };
    tokio::select! {
        biased;
        put = to.write_all(bytes) => put,
        () = dropped => Err(io::ErrorKind::TimedOut.into()),
    }
}
