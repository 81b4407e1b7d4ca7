//! One connection as a task: it reads, and carries out one order at a time. Its owner ends it by aborting the task;
//! any other end is reported as the last event.

use crate::core::ConnectionId;
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

/// Most bytes read at once, and so in one event.
const READ_BYTES: usize = 8 << 10;
/// A connection is closed if its client has not read its response within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes discarded after the last response. A close with unread bytes resets the connection, which destroys the
/// response on its way; the bound keeps a client from sending for ever.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// How long input is discarded after the last response, for the same reason.
const DISCARD_TIME: Duration = Duration::from_millis(700);

/// An event of a connection.
#[derive(Debug)]
pub enum SocketEvent {
    /// The connection is established.
    Connected,
    /// Bytes were read.
    Received(Bytes),
    /// The operating system has taken the whole message.
    Written,
    /// The connection was found closed before a byte of the message was written.
    NotWritten,
    /// This side's direction is closed.
    WriteClosed,
    /// The connection has ended; this is its last event.
    Closed,
}

/// An event, with the connection that it belongs to.
#[derive(Debug)]
pub struct ConnectionEvent {
    /// The connection.
    pub conn: ConnectionId,
    /// What happened.
    pub event: SocketEvent,
}

/// An order to a connection's task.
#[derive(Debug)]
pub enum Order {
    /// Write a message, unless more was reported than the owner has handled, or there is unread input.
    Send {
        /// The whole message.
        bytes: Bytes,
        /// How many received bytes the owner has handled.
        bytes_handled: u64,
    },
    /// Write a response.
    Respond(Bytes),
    /// Write the last response, close this side's direction, discard input for a while, then close; or, if more was
    /// reported than the owner has handled or there is unread input, write `if_more` and go on.
    RespondLast {
        /// The response, which announces the close.
        bytes: Bytes,
        /// The response without the announcement.
        if_more: Bytes,
        /// How many received bytes the owner has handled.
        bytes_handled: u64,
    },
    /// Discard all further input.
    DiscardInput,
    /// Close this side's direction, discard input for a while, then close.
    FinishAndClose,
    /// The same, under the condition of [`Order::Send`].
    CloseIdle {
        /// How many received bytes the owner has handled.
        bytes_handled: u64,
    },
}

/// Where a connection's task reports its events.
pub type EventSender = mpsc::Sender<ConnectionEvent>;

/// Connects to an address, then serves the connection.
pub async fn connect(
    conn: ConnectionId,
    address: String,
    orders: mpsc::Receiver<Order>,
    events: EventSender,
) {
    // Names are not resolved: the platform has no name service.
    if let Ok(address) = address.parse::<SocketAddr>()
        && let Ok(stream) = TcpStream::connect(address).await
        && events
            .send(ConnectionEvent {
                conn,
                event: SocketEvent::Connected,
            })
            .await
            .is_ok()
    {
        return serve(conn, stream, orders, events).await;
    }
    report_closed(conn, &events).await;
}

/// Reports the last event of a connection.
async fn report_closed(conn: ConnectionId, events: &EventSender) {
    // An owner that is gone needs no report.
    let _ = events
        .send(ConnectionEvent {
            conn,
            event: SocketEvent::Closed,
        })
        .await;
}

/// Serves a connection until it has ended.
pub async fn serve(
    conn: ConnectionId,
    stream: TcpStream,
    mut orders: mpsc::Receiver<Order>,
    events: EventSender,
) {
    // Without TCP_NODELAY a small message may wait for an acknowledgement. A socket that refuses the option has
    // failed, which the next read reports.
    let _ = stream.set_nodelay(true);
    let mut connection = Connection {
        conn,
        stream,
        events,
        bytes_reported: 0,
        discard_left: None,
    };
    // An owner that is gone needs no result.
    let _ = connection.run(&mut orders).await;
    let Connection { stream, events, .. } = connection;
    drop(stream);
    report_closed(conn, &events).await;
}

/// The owner does not read events any more.
struct OwnerGone;

/// Whether a connection goes on after an order or a read.
#[derive(PartialEq)]
enum Next {
    Continue,
    Close,
}

struct Connection {
    conn: ConnectionId,
    stream: TcpStream,
    events: EventSender,
    bytes_reported: u64,
    /// How many more bytes are discarded; `None` while input is reported.
    discard_left: Option<usize>,
}

impl Connection {
    async fn report(&self, event: SocketEvent) -> Result<(), OwnerGone> {
        self.events
            .send(ConnectionEvent {
                conn: self.conn,
                event,
            })
            .await
            .map_err(|_| OwnerGone)
    }

    /// Runs until the connection has ended.
    async fn run(&mut self, orders: &mut mpsc::Receiver<Order>) -> Result<(), OwnerGone> {
        loop {
            let next = tokio::select! {
                order = orders.recv() => self.carry_out(order.ok_or(OwnerGone)?).await?,
                ready = self.stream.readable() => {
                    let read = ready.and_then(|()| read_available(&self.stream));
                    self.handle_read(read).await?
                }
            };
            if next == Next::Close {
                return Ok(());
            }
        }
    }

    async fn carry_out(&mut self, order: Order) -> Result<Next, OwnerGone> {
        match order {
            Order::DiscardInput => self.discard_left = Some(MAX_DISCARDED_BYTES),
            Order::Send {
                bytes,
                bytes_handled,
            } => {
                if !self.no_unseen_input(bytes_handled) {
                    self.report(SocketEvent::NotWritten).await?;
                    return Ok(Next::Close);
                }
                if self.stream.write_all(&bytes).await.is_err() {
                    return Ok(Next::Close);
                }
                self.report(SocketEvent::Written).await?;
            }
            Order::Respond(bytes) => return self.respond(&bytes).await,
            Order::RespondLast {
                if_more,
                bytes_handled,
                ..
            } if !self.no_unseen_input(bytes_handled) => return self.respond(&if_more).await,
            Order::RespondLast { bytes, .. } => {
                if self.write_response(&bytes).await {
                    self.linger().await?;
                }
                return Ok(Next::Close);
            }
            Order::CloseIdle { bytes_handled } if !self.no_unseen_input(bytes_handled) => {}
            Order::CloseIdle { .. } | Order::FinishAndClose => {
                self.linger().await?;
                return Ok(Next::Close);
            }
        }
        Ok(Next::Continue)
    }

    /// Writes a response and reports so.
    async fn respond(&mut self, bytes: &Bytes) -> Result<Next, OwnerGone> {
        if !self.write_response(bytes).await {
            return Ok(Next::Close);
        }
        self.report(SocketEvent::Written).await?;
        Ok(Next::Continue)
    }

    /// Whether the client has taken the whole response in time.
    async fn write_response(&mut self, bytes: &Bytes) -> bool {
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await;
        matches!(written, Ok(Ok(())))
    }

    async fn handle_read(&mut self, read: io::Result<Option<Bytes>>) -> Result<Next, OwnerGone> {
        let bytes = match read {
            Ok(None) => return Ok(Next::Continue),
            Ok(Some(bytes)) if !bytes.is_empty() => bytes,
            Ok(Some(_)) | Err(_) => return Ok(Next::Close),
        };
        match &mut self.discard_left {
            Some(left) if bytes.len() > *left => return Ok(Next::Close),
            Some(left) => *left -= bytes.len(),
            None => {
                self.bytes_reported += bytes.len() as u64;
                self.report(SocketEvent::Received(bytes)).await?;
            }
        }
        Ok(Next::Continue)
    }

    /// Whether the owner has handled all input. Input that was reported but not handled counts, and so does input
    /// that is still unread: the socket itself is peeked for that, since the runtime's readiness may be out of date.
    fn no_unseen_input(&self, bytes_handled: u64) -> bool {
        let mut one_byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut one_byte);
        self.bytes_reported == bytes_handled
            && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes this side's direction and discards further input, for a bounded time and size. An immediate close would
    /// answer such input with a reset, which destroys what the other side has not read yet.
    async fn linger(&mut self) -> Result<(), OwnerGone> {
        if self.stream.shutdown().await.is_err() {
            return Ok(());
        }
        self.report(SocketEvent::WriteClosed).await?;
        let until = Instant::now() + DISCARD_TIME;
        let mut left = MAX_DISCARDED_BYTES;
        while left > 0 && matches!(timeout_at(until, self.stream.readable()).await, Ok(Ok(()))) {
            match read_available(&self.stream) {
                Ok(None) => {}
                Ok(Some(bytes)) if !bytes.is_empty() => left = left.saturating_sub(bytes.len()),
                _ => break,
            }
        }
        Ok(())
    }
}

/// Reads what is there: `None` if nothing is, empty if the other side has closed its direction.
fn read_available(stream: &TcpStream) -> io::Result<Option<Bytes>> {
    let mut buffer = [0; READ_BYTES];
    match stream.try_read(&mut buffer) {
        Ok(length) => Ok(Some(Bytes::copy_from_slice(&buffer[..length]))),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}
