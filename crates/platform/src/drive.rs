//! The thin part of the platform's host: sockets, one timer, signals, the clock. Whatever happens is handed to [`Core`],
//! whatever it asks for is done; nothing is decided here. Each connection is a task of its own (`conn`), which this loop
//! owns and ends.

pub mod conn;

use crate::core::{ConnId, Core, Counts, Input, Output};
use crate::document::{Document, Unsound};
use conn::{Order, SocketEvent};
use gullsail_scheduler_api::Span;
use gullsail_timers::HostClock;
use miette::{Context, IntoDiagnostic, Report, Result, miette};
use nix::sys::resource::{Resource, getrlimit};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tracing::{info, warn};

/// Pieces that were read and wait to be handled, over all connections; then sockets are not read.
const INBOX: usize = 64;
/// Orders that wait at one connection: an answer, its end, and what belongs to them.
const ORDERS: usize = 8;
/// Handled together before anything is sent.
const BATCH: usize = 64;
/// After a failure to accept.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Of a datagram: longer ones are foreign, and one byte more shows that.
const DATAGRAM: usize = 257;
/// The largest document that is read.
const DOCUMENT: u64 = 4 << 20;

/// Taken hold of before anything else: the system's answer to SIGHUP is the process's end.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// # Errors
    /// The system refuses; or there is no runtime around it.
    pub fn take() -> Result<Signals> {
        let take = |kind| signal(kind).into_diagnostic().wrap_err("can't take signals");
        Ok(Signals {
            terminate: take(SignalKind::terminate())?,
            interrupt: take(SignalKind::interrupt())?,
            hang_up: take(SignalKind::hangup())?,
        })
    }
}

/// # Errors
/// The file can't be read, or what it says is not sound: with the place and what was meant.
pub fn read(file: &Path) -> Result<Document> {
    let name = file.display().to_string();
    let size = std::fs::metadata(file).into_diagnostic().wrap_err_with(|| format!("can't read {name}"))?;
    if !size.is_file() || size.len() > DOCUMENT {
        return Err(miette!(help = "a file of at most 4 MiB was meant", "{name} is no document"));
    }
    let text =
        std::fs::read_to_string(file).into_diagnostic().wrap_err_with(|| format!("can't read {name}"))?;
    Document::read(&name, &text).map_err(|e: Box<Unsound>| Report::new(*e))
}

/// One connection, as this loop knows it.
struct Held {
    orders: mpsc::Sender<Order>,
    task: AbortHandle,
}

struct Sockets {
    core: Core,
    clock: HostClock,
    held: BTreeMap<ConnId, Held>,
    tasks: JoinSet<()>,
    sink: mpsc::Sender<(ConnId, SocketEvent)>,
    listener: Option<TcpListener>,
    peers: Option<UdpSocket>,
}

/// Serves until it is told to stop and all that was taken is answered.
///
/// # Errors
/// It can't listen where the document says.
pub async fn run(file: PathBuf, d: Document, mut signals: Signals) -> Result<Counts> {
    let listen = TcpListener::bind(d.listen).await.into_diagnostic();
    let listener = listen.wrap_err_with(|| format!("can't listen for clients at {}", d.listen))?;
    let peers = match d.peer_listen {
        None => None,
        Some(at) => {
            let bound = UdpSocket::bind(at).await.into_diagnostic();
            Some(bound.wrap_err_with(|| format!("can't listen for peers at {at}"))?)
        }
    };
    let descriptors = getrlimit(Resource::RLIMIT_NOFILE).map_or(usize::MAX, |(soft, _)| soft as usize);
    let clock = HostClock::start(Span::ZERO);
    let (sink, mut inbox) = mpsc::channel(INBOX);
    let core = Core::new(d, descriptors, clock.now());
    let at = listener.local_addr().into_diagnostic()?;
    info!("serves clients at={at}");
    let (held, tasks) = (BTreeMap::new(), JoinSet::new());
    let mut s = Sockets { core, clock, held, tasks, sink, listener: Some(listener), peers };
    let mut batch = Vec::with_capacity(BATCH);
    let mut accept_from = tokio::time::Instant::now();
    let (mut stopping, mut reload) = (false, None::<tokio::task::JoinHandle<Result<Document>>>);
    let mut again = false;
    loop {
        s.core.advance(s.clock.now());
        if s.carry_out() {
            s.tasks.shutdown().await;
            return Ok(s.core.counts().clone());
        }
        let now = s.clock;
        let wake = s.core.next_timer().map(|at| now.at(at));
        let mut datagram = [0; DATAGRAM];
        tokio::select! {
            _ = signals.terminate.recv() => s.stop(&mut stopping),
            _ = signals.interrupt.recv() => s.stop(&mut stopping),
            _ = signals.hang_up.recv() => match reload {
                // What came while the file was being read may have come after it changed again.
                Some(_) => again = true,
                None => reload = Some(read_aside(&file)),
            },
            came = done(&mut reload) => {
                reload = std::mem::take(&mut again).then(|| read_aside(&file));
                match came {
                    Ok(d) => s.core.handle(s.clock.now(), Input::Reload(Box::new(d))),
                    Err(why) => warn!("the new document is not taken, the old one stays: {why:?}"),
                }
            }
            came = accept(s.listener.as_ref(), accept_from), if s.core.has_place() => match came {
                Ok(stream) => s.client(stream),
                Err(e) => {
                    // Out of descriptors, mostly: a moment later there may be some.
                    warn!(error = %e, "cannot accept a connection");
                    accept_from = tokio::time::Instant::now() + ACCEPT_AGAIN;
                }
            },
            _ = inbox.recv_many(&mut batch, BATCH) => {
                let now = s.clock.now();
                for (conn, happened) in batch.drain(..) {
                    s.happened(now, conn, happened);
                }
            }
            came = hear(s.peers.as_ref(), &mut datagram) => {
                if let Ok((length, from)) = came {
                    let bytes = bytes::Bytes::copy_from_slice(&datagram[..length]);
                    s.core.handle(s.clock.now(), Input::Datagram(from, bytes));
                }
            }
            () = sleep_until(wake) => {}
            _ = s.tasks.join_next(), if !s.tasks.is_empty() => {}
        }
    }
}

impl Sockets {
    fn stop(&mut self, stopping: &mut bool) {
        let input = if std::mem::replace(stopping, true) { Input::StopNow } else { Input::Stop };
        self.core.handle(self.clock.now(), input);
    }

    fn client(&mut self, stream: TcpStream) {
        let conn = self.core.accept(self.clock.now());
        let (orders, queue) = mpsc::channel(ORDERS);
        let task = self.tasks.spawn(conn::serve(conn, stream, queue, self.sink.clone()));
        self.held.insert(conn, Held { orders, task });
    }

    fn happened(&mut self, now: gullsail_scheduler_api::Instant, conn: ConnId, happened: SocketEvent) {
        let input = match happened {
            SocketEvent::Up => Input::Up(conn),
            SocketEvent::Came(bytes) => Input::Came(conn, bytes),
            SocketEvent::Written => Input::Written(conn),
            SocketEvent::Unwritten => Input::Unwritten(conn),
            SocketEvent::Shut => Input::Shut(conn),
            SocketEvent::Ended => {
                self.held.remove(&conn);
                Input::Ended(conn)
            }
        };
        self.core.handle(now, input);
    }

    /// `true`: the host has left.
    fn carry_out(&mut self) -> bool {
        let mut left = false;
        loop {
            let mut stuck = Vec::new();
            let outputs = self.core.outputs();
            if outputs.is_empty() {
                return left;
            }
            for output in outputs {
                match output {
                    Output::Dial { conn, address } => {
                        let (orders, queue) = mpsc::channel(ORDERS);
                        let task = self.tasks.spawn(conn::dial(conn, address, queue, self.sink.clone()));
                        self.held.insert(conn, Held { orders, task });
                    }
                    Output::Send { conn, bytes, seen } => {
                        self.order(conn, Order::Send { bytes, seen }, &mut stuck);
                    }
                    Output::Answer { conn, bytes } => self.order(conn, Order::Answer(bytes), &mut stuck),
                    Output::Ignore { conn } => self.order(conn, Order::Ignore, &mut stuck),
                    Output::Finish { conn } => self.order(conn, Order::Finish, &mut stuck),
                    Output::CloseIdle { conn, seen } => {
                        self.order(conn, Order::CloseIdle { seen }, &mut stuck);
                    }
                    Output::Close { conn } => {
                        if let Some(held) = self.held.remove(&conn) {
                            held.task.abort();
                        }
                    }
                    Output::Datagram { to, bytes } => {
                        // A full socket loses it; nothing waits.
                        if let Some(peers) = &self.peers {
                            let _ = SockRef::from(peers).send_to(&bytes, &to.into());
                        }
                    }
                    Output::StopAccepting => self.stop_accepting(),
                    Output::Exit => left = true,
                }
            }
            // Their tasks do not follow: they are ended.
            for conn in stuck {
                if let Some(held) = self.held.remove(&conn) {
                    held.task.abort();
                    self.core.handle(self.clock.now(), Input::Ended(conn));
                }
            }
        }
    }

    fn order(&mut self, conn: ConnId, order: Order, stuck: &mut Vec<ConnId>) {
        if let Some(held) = self.held.get(&conn)
            && let Err(mpsc::error::TrySendError::Full(_)) = held.orders.try_send(order)
        {
            stuck.push(conn);
        }
    }

    /// Those that wait in the backlog believe that they are connected, and may have said something.
    fn stop_accepting(&mut self) {
        let Some(Ok(listener)) = self.listener.take().map(TcpListener::into_std) else { return };
        while let Ok((stream, _)) = listener.accept() {
            let ready = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = ready {
                self.client(stream);
            }
        }
        info!("accepts no more");
    }
}

fn read_aside(file: &Path) -> tokio::task::JoinHandle<Result<Document>> {
    let file = file.to_path_buf();
    tokio::task::spawn_blocking(move || read(&file))
}

async fn done(reload: &mut Option<tokio::task::JoinHandle<Result<Document>>>) -> Result<Document> {
    match reload {
        Some(task) => task.await.into_diagnostic()?,
        None => std::future::pending().await,
    }
}

async fn accept(listener: Option<&TcpListener>, from: tokio::time::Instant) -> std::io::Result<TcpStream> {
    let Some(listener) = listener else { return std::future::pending().await };
    if from > tokio::time::Instant::now() {
        tokio::time::sleep_until(from).await;
    }
    listener.accept().await.map(|(stream, _)| stream)
}

async fn hear(
    peers: Option<&UdpSocket>,
    datagram: &mut [u8],
) -> std::io::Result<(usize, std::net::SocketAddr)> {
    match peers {
        Some(peers) => peers.recv_from(datagram).await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(wake: Option<tokio::time::Instant>) {
    match wake {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
