//! Sockets of a running host: connections that are accepted, made and ended, within the process's file
//! descriptors.

use super::Runtime;
use crate::core::{Input, LinkId};
use gullsail_configuration::Deployment;
use gullsail_connections::Link;
use nix::sys::resource::{Resource, getrlimit};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tracing::{info, warn};

/// Frames that wait to be written to one connection; a connection on which more pile up is closed.
const OUTBOX_FRAMES: usize = 16_384;
/// Descriptors reserved for the process itself: standard streams, listener, control socket and its requester,
/// a configuration that is read, the runtime's own.
const RESERVED_DESCRIPTORS: usize = 24;
/// Between tries to accept while that fails.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Between lines in the log that report such failures.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// How many connections others may open: nodes, peers and the endpoint list come first, with two descriptors
/// each since they may be replaced and connect anew; a quarter is left to others in any case.
pub(super) fn max_incoming_links(d: &Deployment) -> usize {
    let descriptors =
        getrlimit(Resource::RLIMIT_NOFILE).map_or(usize::MAX, |(soft, _)| soft as usize);
    let kept = RESERVED_DESCRIPTORS + 2 * (d.nodes.len() + d.hosts.len() + 1);
    let left = descriptors.saturating_sub(kept);
    if left < descriptors / 4 {
        warn!(
            descriptors,
            kept, "few file descriptors for this document: raise the limit"
        );
    }
    left.max(descriptors / 4)
}

/// Failures to accept, mostly for want of file descriptors.
pub(super) struct AcceptErrors {
    accept_from: Instant,
    log_from: Instant,
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

    /// When the next connection is accepted at the earliest.
    pub(super) fn accept_from(&self) -> Instant {
        self.accept_from
    }

    fn record(&mut self, error: &io::Error, now: Instant) {
        self.unlogged += 1;
        if now >= self.log_from {
            warn!(error = %error, times = self.unlogged, "cannot accept a connection");
            self.log_from = now + LOG_INTERVAL;
            self.unlogged = 0;
        }
        self.accept_from = now + ACCEPT_RETRY;
    }
}

/// The next connection that somebody opens, not before `from`; never ready without a listener.
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

/// Lets each connection write what it still holds, for a bounded time, then ends all that is left.
pub(super) async fn finish(links: BTreeMap<LinkId, Link>, tasks: &mut JoinSet<()>) {
    info!(links = links.len(), "leaving");
    drop(links);
    let all = async { while tasks.join_next().await.is_some() {} };
    // Both a reader that waits for its queue and a writer whose other side takes nothing end with the set.
    let _ = tokio::time::timeout(gullsail_connections::LINGER * 2, all).await;
    tasks.shutdown().await;
}

impl Runtime {
    /// Begins to make a connection.
    pub(super) fn connect(&mut self, link: LinkId, address: String) {
        let connect = async move { (link, TcpStream::connect(&address).await) };
        let task = self.connecting.spawn(connect);
        self.connect_tasks.insert(link, task);
    }

    /// Ends a connection, also one that is still being made.
    pub(super) fn close(&mut self, link: LinkId) {
        self.links.remove(&link);
        if let Some(task) = self.connect_tasks.remove(&link) {
            task.abort();
        }
    }

    /// Somebody opened a connection, or accepting one failed.
    pub(super) fn accepted(&mut self, accepted: io::Result<TcpStream>) {
        let stream = match accepted {
            Ok(stream) => stream,
            // A moment later there may be free descriptors.
            Err(e) => return self.accept_errors.record(&e, self.woken_at),
        };
        // The core's first frame to it is among its outputs, so the link must stand before those.
        if let Some(id) = self.core.accept(self.clock.now()) {
            let limits = self.incoming_limits.clone();
            let link = Link::open_within(
                stream,
                id,
                limits,
                OUTBOX_FRAMES,
                &self.sink,
                &mut self.tasks,
            );
            self.links.insert(id, link);
        }
    }

    /// A connection attempt ended, well or not.
    pub(super) fn connected(&mut self, connected: Option<(LinkId, io::Result<TcpStream>)>) {
        let Some((id, connected)) = connected else {
            return;
        };
        // Else it was closed meanwhile.
        if self.connect_tasks.remove(&id).is_none() {
            return;
        }
        let input = match connected {
            Ok(stream) => {
                let limits = self.limits.clone();
                let link = Link::open_within(
                    stream,
                    id,
                    limits,
                    OUTBOX_FRAMES,
                    &self.sink,
                    &mut self.tasks,
                );
                self.links.insert(id, link);
                Input::Connected(id)
            }
            Err(e) => Input::ConnectFailed(id, e.to_string()),
        };
        self.core.handle(self.clock.now(), input);
    }
}
