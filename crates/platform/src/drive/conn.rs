//! One connection, as a task: it reads as long as it may and carries out orders, one at a time. Whoever owns it ends it
//! by ending the task; whatever else ends it is told last.

use crate::core::ConnId;
use bytes::Bytes;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// Read at once.
const PIECE: usize = 8 << 10;
/// A client that takes nothing of its answer for so long is given up.
const TAKES: Duration = Duration::from_secs(5);
/// What is read over behind a last answer: a close with bytes unread would destroy the answer on its way.
const OVER: usize = 256 << 10;
const OVER_FOR: Duration = Duration::from_millis(700);

/// What came of a connection.
#[derive(Debug)]
pub enum SocketEvent {
    Up,
    Came(Bytes),
    Written,
    Unwritten,
    Shut,
    Ended,
}

#[derive(Debug)]
pub enum Order {
    /// Unless more was handed up than its owner has handled, or something is there to be read.
    Send {
        bytes: Bytes,
        seen: u64,
    },
    Answer(Bytes),
    Ignore,
    Finish,
    /// Under the same condition.
    CloseIdle {
        seen: u64,
    },
}

type Sink = mpsc::Sender<(ConnId, SocketEvent)>;

pub async fn dial(conn: ConnId, address: String, orders: mpsc::Receiver<Order>, sink: Sink) {
    // Names are not looked up: the platform has no service for it.
    if let Ok(address) = address.parse::<SocketAddr>()
        && let Ok(stream) = TcpStream::connect(address).await
        && sink.send((conn, SocketEvent::Up)).await.is_ok()
    {
        return serve(conn, stream, orders, sink).await;
    }
    let _ = sink.send((conn, SocketEvent::Ended)).await;
}

pub async fn serve(conn: ConnId, stream: TcpStream, mut orders: mpsc::Receiver<Order>, sink: Sink) {
    // Without it small messages wait for one another; a socket that can't is over anyway.
    let _ = stream.set_nodelay(true);
    let mut c = Conn { conn, stream, sink, handed: 0, ignores: None };
    // What can't be told, nobody wants to know.
    let _ = c.work(&mut orders).await;
    let Conn { stream, sink, .. } = c;
    drop(stream);
    let _ = sink.send((conn, SocketEvent::Ended)).await;
}

/// The owner does not listen any more.
struct Unheard;

struct Conn {
    conn: ConnId,
    stream: TcpStream,
    sink: Sink,
    /// Bytes that were handed up.
    handed: u64,
    /// Bytes that may still be read over, where nothing is handed up any more.
    ignores: Option<usize>,
}

impl Conn {
    async fn tell(&self, happened: SocketEvent) -> Result<(), Unheard> {
        self.sink.send((self.conn, happened)).await.map_err(|_| Unheard)
    }

    /// Until the connection is over.
    async fn work(&mut self, orders: &mut mpsc::Receiver<Order>) -> Result<(), Unheard> {
        loop {
            tokio::select! {
                order = orders.recv() => match order {
                    None => return Err(Unheard),
                    Some(Order::Ignore) => self.ignores = Some(OVER),
                    Some(Order::Send { bytes, seen }) => {
                        if !self.quiet(seen) {
                            return self.tell(SocketEvent::Unwritten).await;
                        }
                        if self.stream.write_all(&bytes).await.is_err() {
                            return Ok(());
                        }
                        self.tell(SocketEvent::Written).await?;
                    }
                    Some(Order::Answer(bytes)) => {
                        if !matches!(timeout(TAKES, self.stream.write_all(&bytes)).await, Ok(Ok(()))) {
                            return Ok(());
                        }
                        self.tell(SocketEvent::Written).await?;
                    }
                    Some(Order::CloseIdle { seen }) if self.quiet(seen) => return self.linger().await,
                    Some(Order::CloseIdle { .. }) => {}
                    Some(Order::Finish) => return self.linger().await,
                },
                ready = self.stream.readable() => match ready.and_then(|()| piece(&self.stream)) {
                    Ok(None) => {}
                    Ok(Some(bytes)) if bytes.is_empty() => return Ok(()),
                    Ok(Some(bytes)) => match &mut self.ignores {
                        Some(left) if bytes.len() > *left => return Ok(()),
                        Some(left) => *left -= bytes.len(),
                        None => {
                            self.handed += bytes.len() as u64;
                            self.tell(SocketEvent::Came(bytes)).await?;
                        }
                    },
                    Err(_) => return Ok(()),
                },
            }
        }
    }

    /// Does its owner know of all that came? What was handed up and is not handled yet counts, and what is still to be read:
    /// for that the socket itself is asked, since what the runtime knows may be a moment old.
    fn quiet(&self, seen: u64) -> bool {
        let mut one = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut one);
        self.handed == seen && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Ends its sending and reads over what still comes, for a bounded time and size. What crossed the end is handed to
    /// nobody; a close at once would answer it with a reset, which takes along what the other side has not read yet.
    async fn linger(&mut self) -> Result<(), Unheard> {
        if self.stream.shutdown().await.is_err() {
            return Ok(());
        }
        self.tell(SocketEvent::Shut).await?;
        let (until, mut left) = (Instant::now() + OVER_FOR, OVER);
        while left > 0 && matches!(timeout_at(until, self.stream.readable()).await, Ok(Ok(()))) {
            match piece(&self.stream) {
                Ok(None) => {}
                Ok(Some(bytes)) if !bytes.is_empty() => left = left.saturating_sub(bytes.len()),
                _ => break,
            }
        }
        Ok(())
    }
}

/// `None`: nothing is there yet; empty: the other side has ended it.
fn piece(stream: &TcpStream) -> io::Result<Option<Bytes>> {
    let mut piece = [0; PIECE];
    match stream.try_read(&mut piece) {
        Ok(length) => Ok(Some(Bytes::copy_from_slice(&piece[..length]))),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}
