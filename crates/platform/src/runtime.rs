//! The part of the platform's host that does I/O: sockets, one timer, signals, the clock. It passes every event to
//! [`Core`] and carries out the outputs; it decides nothing.
//!
//! [`run`] is the event loop. Each connection is a task of its own ([`connection`]), which `sockets` owns and
//! ends; `reload` reads the settings document while the loop goes on.

pub mod connection;
mod reload;
mod sockets;

use crate::core::{Core, Input, Metrics};
use crate::settings_document::{DocumentError, SettingsDocument};
use gullsail_scheduler_api::Span;
use gullsail_timers::HostClock;
use miette::{Context, IntoDiagnostic, Report, Result, miette};
use nix::sys::resource::{Resource, getrlimit};
use reload::Reload;
use sockets::Sockets;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Most events of all connections that wait to be handled; when the queue is full, sockets are not read. Larger:
/// more memory under load. Smaller: connections wait for the event loop more often.
const EVENT_QUEUE: usize = 64;
/// Most events handled before the scheduler runs and outputs are carried out. Larger: the first event of a batch
/// waits longer. Smaller: the scheduler runs more often.
const EVENT_BATCH: usize = 64;
/// Pause after a failure to accept, mostly for want of descriptors. Without it the loop would spin until one is
/// free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes read of a datagram: one more than the longest peer message, so that a longer one is recognised.
const DATAGRAM_BYTES: usize = 257;
/// Largest settings document that is read, in bytes: bounds the memory that a wrong file can take.
const MAX_DOCUMENT_BYTES: u64 = 4 << 20;

/// The signals of the process. They are registered before anything else: by default SIGHUP ends the process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Registers handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// The operating system refuses, or no tokio runtime is running.
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
/// The file cannot be read, or its content is invalid: the error names the place and what was expected.
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

/// Serves until a signal ends it and all open requests are answered.
///
/// # Errors
/// An address of the document cannot be listened on.
pub async fn run(
    file: PathBuf,
    document: SettingsDocument,
    mut signals: Signals,
) -> Result<Metrics> {
    let listener = listen_for_clients(document.listen).await?;
    let peers = listen_for_peers(document.peer_listen).await?;
    let descriptors =
        getrlimit(Resource::RLIMIT_NOFILE).map_or(usize::MAX, |(soft, _)| soft as usize);
    let clock = HostClock::start(Span::ZERO);
    let (event_sender, mut events) = mpsc::channel(EVENT_QUEUE);
    let core = Core::new(document, descriptors, clock.now());
    let address = listener.local_addr().into_diagnostic()?;
    info!(%address, "listening for clients");
    let mut sockets = Sockets::new(core, clock, event_sender, listener, peers);
    let mut batch = Vec::with_capacity(EVENT_BATCH);
    let mut accept_from = tokio::time::Instant::now();
    let mut reload = Reload::new(file);
    loop {
        sockets.core.advance(clock.now());
        if sockets.carry_out_orders() {
            return Ok(sockets.close().await);
        }
        let next_timer = sockets.core.next_timer().map(|at| clock.at(at));
        let mut datagram = [0; DATAGRAM_BYTES];
        tokio::select! {
            _ = signals.terminate.recv() => sockets.shut_down(),
            _ = signals.interrupt.recv() => sockets.shut_down(),
            _ = signals.hang_up.recv() => reload.request(),
            read = reload.finished() => match read {
                Ok(document) => sockets.core.handle(clock.now(), Input::Reload(Box::new(document))),
                Err(error) => warn!("reload rejected, keeping the previous configuration: {error:?}"),
            },
            accepted = accept(sockets.listener.as_ref(), accept_from), if sockets.core.can_accept() => {
                match accepted {
                    Ok(stream) => sockets.add_client(stream),
                    Err(error) => {
                        warn!(
                            %error,
                            retry_ms = ACCEPT_RETRY_DELAY.as_millis(),
                            "accepting a connection failed, clients wait in the backlog"
                        );
                        accept_from = tokio::time::Instant::now() + ACCEPT_RETRY_DELAY;
                    }
                }
            }
            _ = events.recv_many(&mut batch, EVENT_BATCH) => sockets.handle_events(&mut batch),
            received = receive_datagram(sockets.peers.as_ref(), &mut datagram) => {
                if let Ok((length, from)) = received {
                    let bytes = bytes::Bytes::copy_from_slice(&datagram[..length]);
                    sockets.core.handle(clock.now(), Input::Datagram(from, bytes));
                }
            }
            () = sleep_until(next_timer) => {}
            _ = sockets.tasks.join_next(), if !sockets.tasks.is_empty() => {}
        }
    }
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

async fn receive_datagram(
    peers: Option<&UdpSocket>,
    datagram: &mut [u8],
) -> std::io::Result<(usize, SocketAddr)> {
    match peers {
        Some(peers) => peers.recv_from(datagram).await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(time: Option<tokio::time::Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}
