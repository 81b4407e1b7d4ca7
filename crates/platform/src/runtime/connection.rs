//! The task of one connection. It reports received bytes and carries out one order at a time. Its owner may abort the
//! task to close the connection at once; any other end is reported as the last event, [`SocketEvent::Closed`].

use crate::core::ConnectionId;
use bytes::Bytes;
use gullsail_http::EncodedMessage;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// Most bytes read at once and reported in one event.
const READ_BYTES: usize = 8 << 10;
/// A connection is closed if a response cannot be written within this time, since the client does not read it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes discarded after the last response. Input is discarded because closing a socket with unread bytes resets
/// the connection, and the client loses the part of the response that it has not received. The bound disconnects a
/// client that sends without end.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Longest time for which input is discarded after the last response.
const DISCARD_TIME: Duration = Duration::from_millis(700);

/// An event that a connection's task reports.
#[derive(Debug)]
pub enum SocketEvent {
    /// The connection is established.
    Connected,
    /// Bytes were read from the connection.
    Received(Bytes),
    /// The operating system has accepted all bytes of the message.
    Written,
    /// No byte of the message of an [`Order::Send`] was written, since the other side had closed the connection or sent
    /// input that the owner had not handled, or since it was too late. The connection closes.
    NotWritten,
    /// The host's direction of the connection is closed.
    WriteClosed,
    /// The connection has ended. This is the last event.
    Closed,
}

/// An event of one of several connections that report to the same owner.
#[derive(Debug)]
pub struct ConnectionEvent {
    /// The connection that reports the event.
    pub conn: ConnectionId,
    /// The reported event.
    pub event: SocketEvent,
}

/// An order to a connection's task.
#[derive(Debug)]
pub enum Order {
    /// Write a message. If the other side has closed the connection, there is input that the owner has not handled, or
    /// it is too late, report [`SocketEvent::NotWritten`] and close the connection instead.
    Send {
        /// The complete message.
        bytes: EncodedMessage,
        /// How many bytes received on this connection the owner has handled.
        bytes_handled: u64,
        /// The latest time at which writing may begin; `None`: at any time. The task may be held up for longer than the
        /// message is of use.
        write_by: Option<Instant>,
    },
    /// Write a response.
    Respond(EncodedMessage),
    /// Write the last response and close the connection as with [`Order::FinishAndClose`]. If there is input that the
    /// owner has not handled, write `if_more` instead and keep the connection open.
    RespondLast {
        /// The response with `Connection: close`.
        bytes: EncodedMessage,
        /// The response without `Connection: close`.
        if_more: EncodedMessage,
        /// How many bytes received on this connection the owner has handled.
        bytes_handled: u64,
    },
    /// Discard all further input. Close the connection if it exceeds a bound.
    DiscardInput,
    /// Close the host's direction of the connection, discard input for a bounded time and then close the connection.
    FinishAndClose,
    /// Close an idle connection as with [`Order::FinishAndClose`]. Do nothing if there is input that the owner has not
    /// handled.
    CloseIdle {
        /// How many bytes received on this connection the owner has handled.
        bytes_handled: u64,
    },
}

/// The queue into which connection tasks put their events.
pub type EventSender = mpsc::Sender<ConnectionEvent>;

/// Connects to an address and then serves the connection. An address that is not an IP address with a port counts as a
/// connection that could not be established.
pub async fn connect(
    conn: ConnectionId,
    address: String,
    orders: mpsc::Receiver<Order>,
    events: EventSender,
) {
    // Host names are not resolved: the platform has no name service.
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
    // Sending fails only if the owner no longer receives events; then nothing has to be reported.
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
    // Without TCP_NODELAY a small message may be delayed until the other side acknowledges earlier data. If the socket
    // rejects the option, it has failed, and the next read reports that.
    let _ = stream.set_nodelay(true);
    let mut connection = Connection {
        conn,
        stream,
        events,
        bytes_reported: 0,
        discard_left: None,
    };
    // The error means that the owner is gone; then nothing has to be reported.
    let _ = connection.run(&mut orders).await;
    let Connection { stream, events, .. } = connection;
    drop(stream);
    report_closed(conn, &events).await;
}

/// The owner no longer receives events.
struct OwnerGone;

/// Whether the connection stays open after an order or a read.
#[derive(PartialEq)]
enum Next {
    Continue,
    Close,
}

struct Connection {
    conn: ConnectionId,
    stream: TcpStream,
    events: EventSender,
    /// Number of received bytes that were reported to the owner; input that is discarded does not count.
    bytes_reported: u64,
    /// How many more bytes may be discarded before the connection is closed. `None` while input is reported.
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
                write_by,
            } => {
                let too_late = write_by.is_some_and(|end| Instant::now() > end);
                if too_late || !self.no_unhandled_input(bytes_handled) {
                    self.report(SocketEvent::NotWritten).await?;
                    return Ok(Next::Close);
                }
                if self.write(bytes).await.is_err() {
                    return Ok(Next::Close);
                }
                self.report(SocketEvent::Written).await?;
            }
            Order::Respond(bytes) => return self.respond(bytes).await,
            Order::RespondLast {
                if_more,
                bytes_handled,
                ..
            } if !self.no_unhandled_input(bytes_handled) => return self.respond(if_more).await,
            Order::RespondLast { bytes, .. } => {
                if self.write_response(bytes).await {
                    self.linger().await?;
                }
                return Ok(Next::Close);
            }
            Order::CloseIdle { bytes_handled } if !self.no_unhandled_input(bytes_handled) => {}
            Order::CloseIdle { .. } | Order::FinishAndClose => {
                self.linger().await?;
                return Ok(Next::Close);
            }
        }
        Ok(Next::Continue)
    }

    async fn write(&mut self, bytes: EncodedMessage) -> io::Result<()> {
        for part in bytes.into_parts() {
            self.stream.write_all(&part).await?;
        }
        Ok(())
    }

    /// Writes a response and reports [`SocketEvent::Written`].
    async fn respond(&mut self, bytes: EncodedMessage) -> Result<Next, OwnerGone> {
        if !self.write_response(bytes).await {
            return Ok(Next::Close);
        }
        self.report(SocketEvent::Written).await?;
        Ok(Next::Continue)
    }

    /// Writes a response. Returns whether all of it was written in time.
    async fn write_response(&mut self, bytes: EncodedMessage) -> bool {
        let written = timeout(WRITE_TIMEOUT, self.write(bytes)).await;
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

    /// Whether the connection is open and the owner has handled all input. Checks both input that was reported but not
    /// handled and input that is unread. To find unread input, it peeks at the socket, since the readiness state of the
    /// async runtime may be out of date.
    fn no_unhandled_input(&self, bytes_handled: u64) -> bool {
        let mut one_byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut one_byte);
        self.bytes_reported == bytes_handled
            && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the host's direction and discards further input up to a bounded time and size. After an immediate close,
    /// the operating system would answer such input with a reset, and the other side would lose data that it has not
    /// read yet.
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

/// Reads available bytes. Returns `None` if there are none, and empty bytes if the other side has closed its direction.
fn read_available(stream: &TcpStream) -> io::Result<Option<Bytes>> {
    let mut buffer = [0; READ_BYTES];
    match stream.try_read(&mut buffer) {
        Ok(length) => Ok(Some(Bytes::copy_from_slice(&buffer[..length]))),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}
