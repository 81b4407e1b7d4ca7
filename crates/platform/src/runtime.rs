//! Does all I/O of the platform's host: sockets, a timer, signals and the clock. It passes events to [`Core`] and
//! carries out the core's outputs.
//!
//! [`run`] is the event loop. Each connection has a task ([`connection`]), which `sockets` starts and ends. `reload`
//! reads the settings document in the background.

pub mod connection;
mod reload;
mod sockets;

use crate::core::{Core, Metrics};
use crate::settings_document::{DocumentError, SettingsDocument};
use connection::EventSender;
use gullsail_scheduler_api::Span;
use gullsail_timers::HostClock;
use miette::{Context, IntoDiagnostic, Report, Result, miette};
use nix::sys::resource::{Resource, getrlimit};
use reload::Reload;
use sockets::Sockets;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tracing::info;

/// Capacity of the queue of events of all connections. While it is full, connections are not read.
const EVENT_QUEUE: usize = 64;
/// Most events handled before the core advances and its outputs are carried out.
const EVENT_BATCH: usize = 64;
/// Most bytes read of a datagram: one more than the longest peer message, so that the core recognises a longer one.
const DATAGRAM_BYTES: usize = 257;
/// Largest settings document that is read, in bytes. It bounds the memory that a wrong file can occupy.
const MAX_DOCUMENT_BYTES: u64 = 4 << 20;

/// Receives the signals of the process. It has to be registered first, since by default SIGHUP ends the process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Registers handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// The operating system refuses a handler, or no tokio runtime is running.
    pub fn register() -> Result<Signals> {
        let register = |kind| {
            signal(kind)
                .into_diagnostic()
                .wrap_err("cannot register signal handlers")
        };
        Ok(Signals {
            terminate: register(SignalKind::terminate())?,
            interrupt: register(SignalKind::interrupt())?,
            hang_up: register(SignalKind::hangup())?,
        })
    }
}

/// Reads a settings document from a file.
///
/// # Errors
/// The file cannot be read, or its content is invalid. The error states the place and what was expected.
pub fn read_settings(file: &Path) -> Result<SettingsDocument> {
    let name = file.display().to_string();
    let size = std::fs::metadata(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read settings document {name}"))?;
    if !size.is_file() || size.len() > MAX_DOCUMENT_BYTES {
        return Err(miette!(
            help = "expected a regular file of at most 4 MiB",
            "cannot read settings document {name}"
        ));
    }
    let text = std::fs::read_to_string(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read settings document {name}"))?;
    SettingsDocument::parse(&name, &text).map_err(|error: Box<DocumentError>| Report::new(*error))
}

/// Runs the host until a signal has ended it and all open requests are answered. Reads `file` again at each SIGHUP.
/// Returns the final counters.
///
/// # Errors
/// The host cannot listen on an address of the document.
pub async fn run(
    file: PathBuf,
    document: SettingsDocument,
    mut signals: Signals,
) -> Result<Metrics> {
    let clock = HostClock::start(Span::ZERO);
    let (event_sender, mut events) = mpsc::channel(EVENT_QUEUE);
    let mut sockets = open_sockets(document, clock, event_sender).await?;
    let mut batch = Vec::with_capacity(EVENT_BATCH);
    let mut reload = Reload::new(file);
    loop {
        sockets.core.advance(clock.now());
        if sockets.carry_out_orders() {
            return Ok(sockets.close().await);
        }
        let next_timer = sockets.core.next_timer().map(|at| clock.to_runtime(at));
        let next_timer = next_timer.into_iter().chain(sockets.backlog_retry()).min();
        let mut datagram = [0; DATAGRAM_BYTES];
        tokio::select! {
            _ = signals.terminate.recv() => sockets.shut_down(),
            _ = signals.interrupt.recv() => sockets.shut_down(),
            _ = signals.hang_up.recv() => reload.request(),
            read = reload.finished() => sockets.handle_document(read),
            accepted = accept(sockets.listener.as_ref(), sockets.accept_from),
                if sockets.core.can_accept() => sockets.handle_accepted(accepted),
            _ = events.recv_many(&mut batch, EVENT_BATCH) => sockets.handle_events(&mut batch),
            received = receive_datagram(sockets.peers.as_ref(), &mut datagram) => {
                // A failed read affects one datagram, which is treated as lost.
                if let Ok(Datagram { length, from }) = received {
                    sockets.handle_datagram(from, &datagram[..length]);
                }
            }
            () = sleep_until(next_timer) => {}
            _ = sockets.tasks.join_next(), if !sockets.tasks.is_empty() => {}
        }
        sockets.accept_backlog();
    }
}

/// Opens the sockets for clients and peers, and creates the core, which starts to connect to discovery.
async fn open_sockets(
    document: SettingsDocument,
    clock: HostClock,
    event_sender: EventSender,
) -> Result<Sockets> {
    let listener = listen_for_clients(document.listen).await?;
    let peers = listen_for_peers(document.peer_listen).await?;
    let descriptors =
        getrlimit(Resource::RLIMIT_NOFILE).map_or(usize::MAX, |(soft, _)| soft as usize);
    let core = Core::new(document, descriptors, clock.now());
    let address = listener.local_addr().into_diagnostic()?;
    info!(%address, "listening for clients");
    Ok(Sockets::new(core, clock, event_sender, listener, peers))
}

async fn listen_for_clients(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await.into_diagnostic();
    bound.wrap_err_with(|| format!("cannot listen for clients at {address}"))
}

async fn listen_for_peers(address: Option<SocketAddr>) -> Result<Option<UdpSocket>> {
    let Some(address) = address else {
        return Ok(None);
    };
    let bound = UdpSocket::bind(address).await.into_diagnostic();
    bound
        .wrap_err_with(|| format!("cannot listen for peers at {address}"))
        .map(Some)
}

/// Accepts one connection, but not before `from`. Never completes if `listener` is `None`, that is, closed.
async fn accept(
    listener: Option<&TcpListener>,
    from: tokio::time::Instant,
) -> std::io::Result<TcpStream> {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    if from > tokio::time::Instant::now() {
        tokio::time::sleep_until(from).await;
    }
    listener.accept().await.map(|(stream, _)| stream)
}

/// The length and the sender of a datagram that was read into a buffer.
struct Datagram {
    length: usize,
    from: SocketAddr,
}

/// Reads one datagram; never completes if the host has no peers.
async fn receive_datagram(
    peers: Option<&UdpSocket>,
    buffer: &mut [u8],
) -> std::io::Result<Datagram> {
    let Some(peers) = peers else {
        return std::future::pending().await;
    };
    let (length, from) = peers.recv_from(buffer).await?;
    Ok(Datagram { length, from })
}

/// Sleeps until `time`. Never completes if it is `None`.
async fn sleep_until(time: Option<tokio::time::Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}
