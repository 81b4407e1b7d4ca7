//! The sockets of a host: the tasks of its connections, the listener, and the UDP socket for datagrams of peers.

use super::connection::{self, ConnectionEvent, EventSender, Order, SocketEvent};
use crate::core::{ConnectionId, Core, Input, Metrics, Output};
use crate::settings_document::SettingsDocument;
use bytes::Bytes;
use gullsail_http::EncodedMessage;
use gullsail_timers::HostClock;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use tracing::{info, warn};

/// Capacity of the queue of orders of one connection. A connection carries one message at a time, so few orders are
/// queued. A task whose queue is full no longer makes progress and is aborted.
const ORDER_QUEUE: usize = 8;

/// Delay after accepting a connection failed, mostly because no descriptor is free. Without it the event loop would
/// retry without pause until a descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The queue and the task of one connection.
struct ConnectionHandle {
    orders: mpsc::Sender<Order>,
    task: AbortHandle,
}

pub(super) struct Sockets {
    pub(super) core: Core,
    clock: HostClock,
    connections: BTreeMap<ConnectionId, ConnectionHandle>,
    pub(super) tasks: JoinSet<()>,
    event_sender: EventSender,
    pub(super) listener: Option<TcpListener>,
    /// The listener during the shutdown, while connections in its backlog are still accepted. It is closed when the
    /// backlog is empty.
    closing_listener: Option<std::net::TcpListener>,
    pub(super) peers: Option<UdpSocket>,
    /// No connection is accepted before this time.
    pub(super) accept_from: Instant,
    shutting_down: bool,
}

impl Sockets {
    pub(super) fn new(
        core: Core,
        clock: HostClock,
        event_sender: EventSender,
        listener: TcpListener,
        peers: Option<UdpSocket>,
    ) -> Sockets {
        Sockets {
            core,
            clock,
            connections: BTreeMap::new(),
            tasks: JoinSet::new(),
            event_sender,
            listener: Some(listener),
            closing_listener: None,
            peers,
            accept_from: Instant::now(),
            shutting_down: false,
        }
    }

    /// Handles SIGTERM or SIGINT. After the first signal open requests are finished, after the second they fail.
    pub(super) fn shut_down(&mut self) {
        let input = if self.shutting_down {
            Input::ShutdownNow
        } else {
            Input::Shutdown
        };
        self.shutting_down = true;
        self.core.handle(self.clock.now(), input);
    }

    /// Aborts the tasks of all connections and returns the final counters.
    pub(super) async fn close(mut self) -> Metrics {
        self.tasks.shutdown().await;
        self.core.metrics().clone()
    }

    /// Adds a client connection to the core and starts its task.
    fn add_client(&mut self, stream: TcpStream) {
        let conn = self.core.accept(self.clock.now());
        let (orders, queue) = mpsc::channel(ORDER_QUEUE);
        let task = self.tasks.spawn(connection::serve(
            conn,
            stream,
            queue,
            self.event_sender.clone(),
        ));
        self.connections
            .insert(conn, ConnectionHandle { orders, task });
    }

    fn connect(&mut self, conn: ConnectionId, address: String) {
        let (orders, queue) = mpsc::channel(ORDER_QUEUE);
        let task = self.tasks.spawn(connection::connect(
            conn,
            address,
            queue,
            self.event_sender.clone(),
        ));
        self.connections
            .insert(conn, ConnectionHandle { orders, task });
    }

    /// Passes a settings document that was read again to the core, or logs why it is rejected.
    pub(super) fn handle_document(&mut self, read: miette::Result<SettingsDocument>) {
        match read {
            Ok(document) => {
                let input = Input::Reload(Box::new(document));
                self.core.handle(self.clock.now(), input);
            }
            Err(error) => warn!("reload rejected, keeping the previous configuration: {error:?}"),
        }
    }

    /// Adds an accepted connection. After a failure, accepting is paused for [`ACCEPT_RETRY_DELAY`].
    pub(super) fn handle_accepted(&mut self, accepted: io::Result<TcpStream>) {
        match accepted {
            Ok(stream) => self.add_client(stream),
            Err(error) => {
                warn!(
                    %error,
                    retry_ms = ACCEPT_RETRY_DELAY.as_millis(),
                    "accepting a connection failed, clients wait in the backlog"
                );
                self.accept_from = Instant::now() + ACCEPT_RETRY_DELAY;
            }
        }
    }

    pub(super) fn handle_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let input = Input::Datagram(from, Bytes::copy_from_slice(bytes));
        self.core.handle(self.clock.now(), input);
    }

    /// Passes the events of connections to the core.
    pub(super) fn handle_events(&mut self, batch: &mut Vec<ConnectionEvent>) {
        let now = self.clock.now();
        for ConnectionEvent { conn, event } in batch.drain(..) {
            let input = match event {
                SocketEvent::Connected => Input::Connected(conn),
                SocketEvent::Received(bytes) => Input::Received(conn, bytes),
                SocketEvent::Written => Input::Written(conn),
                SocketEvent::NotWritten => Input::NotWritten(conn),
                SocketEvent::WriteClosed => Input::WriteClosed(conn),
                SocketEvent::Closed => {
                    self.connections.remove(&conn);
                    Input::Closed(conn)
                }
            };
            self.core.handle(now, input);
        }
    }

    /// Carries out the core's outputs. Returns whether the process has to exit.
    pub(super) fn carry_out_orders(&mut self) -> bool {
        let mut exiting = false;
        loop {
            let outputs = self.core.outputs();
            if outputs.is_empty() {
                return exiting;
            }
            let mut full_queues = Vec::new();
            for output in outputs {
                exiting |= output == Output::Exit;
                full_queues.extend(self.carry_out(output));
            }
            // The tasks of these connections no longer make progress, so they are aborted.
            for conn in full_queues {
                if let Some(handle) = self.connections.remove(&conn) {
                    handle.task.abort();
                    self.core.handle(self.clock.now(), Input::Closed(conn));
                }
            }
        }
    }

    /// Carries out one output. Returns the connection if its queue of orders is full.
    fn carry_out(&mut self, output: Output) -> Option<ConnectionId> {
        match output {
            Output::Send {
                conn,
                bytes,
                bytes_handled,
                write_by,
            } => return self.send(conn, bytes, bytes_handled, write_by),
            Output::Respond { conn, bytes } => return self.give_order(conn, Order::Respond(bytes)),
            Output::RespondLast {
                conn,
                bytes,
                if_more,
                bytes_handled,
            } => {
                let order = Order::RespondLast {
                    bytes,
                    if_more,
                    bytes_handled,
                };
                return self.give_order(conn, order);
            }
            Output::DiscardInput { conn } => return self.give_order(conn, Order::DiscardInput),
            Output::FinishAndClose { conn } => return self.give_order(conn, Order::FinishAndClose),
            Output::CloseIdle {
                conn,
                bytes_handled,
            } => return self.give_order(conn, Order::CloseIdle { bytes_handled }),
            Output::Connect { conn, address } => self.connect(conn, address),
            Output::Close { conn } => self.abort(conn),
            Output::Datagram { to, bytes } => self.send_datagram(to, &bytes),
            Output::StopAccepting => self.stop_accepting(),
            Output::Exit => {}
        }
        None
    }

    /// Orders a message to be written until `write_by`, a reading of the host's clock. Returns the connection if its
    /// queue of orders is full.
    fn send(
        &self,
        conn: ConnectionId,
        bytes: EncodedMessage,
        bytes_handled: u64,
        write_by: Option<gullsail_scheduler_api::Instant>,
    ) -> Option<ConnectionId> {
        let order = Order::Send {
            bytes,
            bytes_handled,
            write_by: write_by.map(|at| self.clock.to_runtime(at)),
        };
        self.give_order(conn, order)
    }

    /// Queues an order for the task of a connection. Returns the connection if its queue is full.
    fn give_order(&self, conn: ConnectionId, order: Order) -> Option<ConnectionId> {
        let handle = self.connections.get(&conn)?;
        match handle.orders.try_send(order) {
            Err(TrySendError::Full(_)) => Some(conn),
            // A task that has ended has reported `SocketEvent::Closed`.
            Ok(()) | Err(TrySendError::Closed(_)) => None,
        }
    }

    /// Aborts the task of a connection, which closes the connection.
    fn abort(&mut self, conn: ConnectionId) {
        if let Some(handle) = self.connections.remove(&conn) {
            handle.task.abort();
        }
    }

    /// Sends a datagram without waiting for the socket.
    fn send_datagram(&self, to: SocketAddr, bytes: &Bytes) {
        if let Some(peers) = &self.peers {
            // If the socket does not accept a datagram, it is lost as if the network had lost it. The next report
            // replaces it.
            let _ = SockRef::from(peers).send_to(bytes, &to.into());
        }
    }

    /// Closes the listener after the connections in its backlog have been accepted. To their clients these connections
    /// are established, and they may have sent a request.
    fn stop_accepting(&mut self) {
        let Some(Ok(listener)) = self.listener.take().map(TcpListener::into_std) else {
            return;
        };
        self.closing_listener = Some(listener);
        self.accept_backlog();
        if let Some(listener) = &self.closing_listener {
            // From now on the operating system establishes no more connections than the host accepts, so the backlog
            // becomes empty. Otherwise clients that keep connecting would keep the listener open. Later clients are
            // refused once it is closed.
            let _ = SockRef::from(listener).listen(0);
            self.core.handle(self.clock.now(), Input::BacklogWaits);
        }
    }

    /// Accepts connections from the backlog of the closing listener while there are slots and descriptors. Closes the
    /// listener when the backlog is empty.
    pub(super) fn accept_backlog(&mut self) {
        let Some(listener) = self.closing_listener.take() else {
            return;
        };
        while self.core.can_accept() {
            match listener.accept() {
                Ok((stream, _)) => self.add_backlog_client(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    drop(listener);
                    self.core.handle(self.clock.now(), Input::BacklogEmpty);
                    info!("listener closed");
                    return;
                }
                // Mostly because no descriptor is free. Descriptors become free as other connections end.
                Err(_) => break,
            }
        }
        self.closing_listener = Some(listener);
    }

    fn add_backlog_client(&mut self, stream: std::net::TcpStream) {
        let ready = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = ready {
            self.add_client(stream);
        }
    }

    /// When to accept from the backlog again. `None` if there is no closing listener.
    pub(super) fn backlog_retry(&self) -> Option<Instant> {
        let is_closing = self.closing_listener.is_some();
        is_closing.then(|| Instant::now() + ACCEPT_RETRY_DELAY)
    }
}
