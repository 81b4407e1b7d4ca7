//! The sockets of a running host. Connections are accepted, established and closed here, within the process's limit of
//! file descriptors.

use super::Runtime;
use crate::control::MAX_REQUESTERS;
use crate::core::{ConnectionId, Input};
use gullsail_configuration::Deployment;
use gullsail_connections::{Link, ReadBudget, ReadLimits, Sink};
use nix::sys::resource::{Resource, getrlimit};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use tracing::{info, warn};

/// The most frames that wait to be written to one connection. If there are more, the connection is closed.
const OUTBOX_FRAMES: usize = 16_384;
/// File descriptors reserved for the process itself: standard streams, listener, control socket, the files of a
/// configuration that is being read, and those of the async runtime.
const OWN_DESCRIPTORS: usize = 23;
const RESERVED_DESCRIPTORS: usize = OWN_DESCRIPTORS + MAX_REQUESTERS;
/// Time until the next attempt to accept a connection after one failed: 50 ms.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Shortest time between two log lines that report failures to accept: 5 s, so that a lack of file descriptors does
/// not fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Received frames that wait to be handled may hold at most the bound `held-bytes` divided by this: a quarter of it, or
/// one frame of the largest size if that is more.
const READ_BUDGET_DIVISOR: usize = 4;

/// Returns the most connections that others may have open. Two file descriptors are reserved for each node and peer
/// and for the endpoint list, since a connection may be replaced while the old one closes. A quarter of all
/// descriptors is left to incoming connections in any case.
pub(super) fn max_incoming_connections(deployment: &Deployment) -> usize {
    let descriptors =
        getrlimit(Resource::RLIMIT_NOFILE).map_or(usize::MAX, |(soft, _)| soft as usize);
    let outgoing = deployment.nodes.len() + deployment.hosts.len() + 1;
    let reserved = RESERVED_DESCRIPTORS + 2 * outgoing;
    let left = descriptors.saturating_sub(reserved);
    if left < descriptors / 4 {
        warn!(
            descriptors,
            reserved, "few file descriptors for this configuration: raise the limit"
        );
    }
    left.max(descriptors / 4)
}

/// Delays the next attempt to accept a connection after one failed, and limits the log lines about failures. Most of
/// them are caused by a lack of file descriptors.
pub(super) struct AcceptErrors {
    accept_from: Instant,
    /// The earliest time of the next log line.
    log_from: Instant,
    /// Failures since the last log line.
    unlogged: u64,
}

impl AcceptErrors {
    pub(super) fn new(now: Instant) -> AcceptErrors {
        AcceptErrors {
            accept_from: now,
            log_from: now,
            unlogged: 0,
        }
    }

    /// Returns the earliest time of the next attempt to accept a connection.
    pub(super) fn accept_from(&self) -> Instant {
        self.accept_from
    }

    fn record(&mut self, error: &io::Error, now: Instant) {
        self.unlogged += 1;
        if now >= self.log_from {
            warn!(error = %error, failures = self.unlogged, "cannot accept a connection: next attempt soon");
            self.log_from = now + LOG_INTERVAL;
            self.unlogged = 0;
        }
        self.accept_from = now + ACCEPT_RETRY;
    }
}

/// Accepts the next connection, not before `from`. Never completes without a listener.
pub(super) async fn accept(listener: Option<&TcpListener>, from: Instant) -> io::Result<TcpStream> {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    if from > Instant::now() {
        tokio::time::sleep_until(from).await;
    }
    let (stream, _) = listener.accept().await?;
    Ok(stream)
}

/// The result of an attempt to connect.
pub(super) struct ConnectResult {
    link: ConnectionId,
    stream: io::Result<TcpStream>,
}

/// The host's sockets, and the tasks that read, write and open them.
pub(super) struct Sockets {
    /// Open connections.
    pub(super) links: BTreeMap<ConnectionId, Link>,
    /// Tasks of open connections and of the control socket.
    pub(super) tasks: JoinSet<()>,
    /// Tasks that establish connections.
    pub(super) connecting: JoinSet<ConnectResult>,
    /// Handles that abort the tasks in `connecting`.
    connect_tasks: BTreeMap<ConnectionId, AbortHandle>,
    /// The listener for connections of clients and peers; `None`: the host shuts down.
    pub(super) listener: Option<TcpListener>,
    pub(super) accept_errors: AcceptErrors,
    /// Bytes that frames may hold while they wait to be handled.
    pub(super) read_budget: ReadBudget,
    /// Limits of connections that this host opens.
    limits: ReadLimits,
    /// Limits of connections that others open.
    incoming_limits: ReadLimits,
    /// The queue of all connections' events.
    sink: Sink<ConnectionId>,
}

impl Sockets {
    pub(super) fn new(
        deployment: &Deployment,
        listener: TcpListener,
        sink: Sink<ConnectionId>,
        now: Instant,
    ) -> Sockets {
        let bounds = deployment.bounds.frame;
        // At least one frame of the largest size must fit.
        let largest_frame = bounds.message + bounds.body;
        let budget_bytes = deployment.bounds.most_held / READ_BUDGET_DIVISOR;
        let read_budget = ReadBudget::new(budget_bytes.max(largest_frame));
        let stall_limit_us = deployment.bounds.client_stall.micros().max(0) as u64;
        let incoming_budget = read_budget.for_incoming(Duration::from_micros(stall_limit_us));
        let limits = |budget: &ReadBudget| ReadLimits {
            bounds,
            budget: Some(budget.clone()),
        };
        Sockets {
            links: BTreeMap::new(),
            tasks: JoinSet::new(),
            connecting: JoinSet::new(),
            connect_tasks: BTreeMap::new(),
            listener: Some(listener),
            accept_errors: AcceptErrors::new(now),
            limits: limits(&read_budget),
            incoming_limits: limits(&incoming_budget),
            read_budget,
            sink,
        }
    }

    /// Starts to establish a connection.
    pub(super) fn connect(&mut self, link: ConnectionId, address: String) {
        let connect = async move {
            ConnectResult {
                link,
                stream: TcpStream::connect(&address).await,
            }
        };
        let task = self.connecting.spawn(connect);
        self.connect_tasks.insert(link, task);
    }

    /// Closes a connection, even if it is still being established.
    pub(super) fn close(&mut self, link: ConnectionId) {
        self.links.remove(&link);
        if let Some(task) = self.connect_tasks.remove(&link) {
            task.abort();
        }
    }

    fn open(&mut self, id: ConnectionId, stream: TcpStream, limits: ReadLimits) {
        let tasks = &mut self.tasks;
        let link = Link::open_within(stream, id, limits, OUTBOX_FRAMES, &self.sink, tasks);
        self.links.insert(id, link);
    }

    /// Lets each connection write its queued frames for a bounded time, then ends the remaining tasks.
    pub(super) async fn finish(self) {
        let Sockets {
            links, mut tasks, ..
        } = self;
        info!(connections = links.len(), "connections closing");
        drop(links);
        let all = async { while tasks.join_next().await.is_some() {} };
        // A reader that waits for room in the inbox, and a writer whose other side reads nothing, do not end by
        // themselves. They are aborted after the timeout.
        let _ = tokio::time::timeout(gullsail_connections::LINGER * 2, all).await;
        tasks.shutdown().await;
    }
}

impl Runtime {
    /// Handles a connection that was accepted, or a failure to accept one.
    pub(super) fn accepted(&mut self, accepted: io::Result<TcpStream>) {
        let stream = match accepted {
            Ok(stream) => stream,
            // File descriptors may be free at the next attempt.
            Err(error) => return self.sockets.accept_errors.record(&error, self.woken_at),
        };
        // The core's outputs contain its first frame on the connection, so the link must be open before they are
        // carried out.
        if let Some(id) = self.core.accept(self.clock.now()) {
            let limits = self.sockets.incoming_limits.clone();
            self.sockets.open(id, stream, limits);
        }
    }

    /// Accepts the connections that wait in the backlog, then closes the listener. For their clients they are
    /// established, so a request may have been sent on them.
    pub(super) fn stop_listening(&mut self) {
        let Some(Ok(listener)) = self.sockets.listener.take().map(TcpListener::into_std) else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let ready = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = ready
                && let Some(id) = self.core.accept_from_backlog(self.clock.now())
            {
                let limits = self.sockets.incoming_limits.clone();
                self.sockets.open(id, stream, limits);
            }
        }
    }

    /// Handles the end of an attempt to connect.
    pub(super) fn connected(&mut self, connected: Option<ConnectResult>) {
        let Some(ConnectResult { link: id, stream }) = connected else {
            return;
        };
        // Without an entry, the connection was closed while it was being established.
        if self.sockets.connect_tasks.remove(&id).is_none() {
            return;
        }
        let input = match stream {
            Ok(stream) => {
                let limits = self.sockets.limits.clone();
                self.sockets.open(id, stream, limits);
                Input::Connected(id)
            }
            Err(error) => Input::ConnectFailed(id, error.to_string()),
        };
        self.core.handle(self.clock.now(), input);
    }
}
