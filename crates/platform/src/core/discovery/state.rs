//! Connections to discovery, with their polls, timeouts and retries.

use super::super::bounds::BOUNDS;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::super::timer_event::TimerEvent;
use gullsail_http::{Bounds, Decoder, Encoder, Fault, Message};
use gullsail_scheduler_api::{Event, Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tracing::warn;

/// For how long discovery may hold a poll open until there are changes, in milliseconds.
const POLL_WAIT_MS: u64 = 2_000;
/// Shortest time after which discovery may respond to a poll that waits without reporting anything newer. Well below the
/// wait, since clocks differ, and well above the delay of a second copy of an earlier response.
const MIN_UNCHANGED_WAIT: Span = Span::from_micros(1_000_000);
/// Longest time for a response beyond the time for which the poll waits for changes. After both, 3.5 s, the host opens
/// the next connection beside this one. A change that an unresponsive connection does not deliver counts as reported
/// 6 s after the connection stopped responding, so the host has to receive it by then.
const RESPONSE_TIMEOUT: Span = Span::from_micros(1_500_000);
/// First backoff after a connection that ended or was refused. It doubles with each consecutive failure.
const MIN_RETRY_DELAY: Span = Span::from_micros(50_000);
/// Longest backoff. Several retries have to fit into the 6 s after which a change counts as reported.
const MAX_RETRY_DELAY: Span = Span::from_micros(800_000);
/// The fraction of a backoff that is random, so that hosts that were refused together do not retry together.
const RETRY_JITTER: f64 = 0.5;
/// Response timeout if lists are pushed. Discovery is then an agent on the same server: it responds at once or not at
/// all, and its list counts as reported as soon as it has it. While the host waits for a response, it may send to a
/// draining node. The shortest grace of a drain is taken to be 250 ms.
const AGENT_RESPONSE_TIMEOUT: Span = Span::from_micros(150_000);
/// Longest backoff towards an agent. Two retries have to fit into the shortest grace of a drain.
const AGENT_MAX_RETRY_DELAY: Span = Span::from_micros(100_000);
/// Shortest time for which an unresponsive connection stays open beside newer ones. A service that many hosts poll at
/// once may take long to send a complete list; if this time were shorter, each connection would be closed before it
/// receives the list.
const SUSPECT_TIMEOUT: Span = Span::from_micros(5_000_000);
/// Bound on the number of doublings of the backoff. [`MAX_RETRY_DELAY`] is reached with fewer.
const MAX_DOUBLINGS: u32 = 10;
/// Largest head and body of a response of discovery. Lists may be indented and hold some thousand nodes, so they may be
/// larger than other bodies.
const LIST_BOUNDS: Bounds = Bounds {
    head: BOUNDS.head,
    body: 1 << 20,
};

/// A connection to discovery, on which at most one poll is open.
#[derive(Debug)]
pub(super) struct DiscoveryConnection {
    pub(super) conn: ConnectionId,
    decoder: Decoder,
    /// Number of bytes that the core has received on this connection and fed to the decoder. Each poll passes it
    /// on as `bytes_handled`.
    bytes_received: u64,
    /// The next poll asks for the changes since this version. `None`: it asks for the complete list.
    pub(super) version: Option<u64>,
    /// The number of the connection attempt or poll that waits for a response. The timer of an earlier one has no
    /// effect.
    poll: u64,
    /// When the poll was sent that waits for changes. `None` if the last poll does not wait.
    waiting_since: Option<Instant>,
    /// When the connection was opened, or when it became the suspect one.
    since: Instant,
}

impl DiscoveryConnection {
    fn new(conn: ConnectionId, now: Instant) -> DiscoveryConnection {
        DiscoveryConnection {
            conn,
            decoder: Decoder::responses(LIST_BOUNDS),
            bytes_received: 0,
            version: None,
            poll: 0,
            waiting_since: None,
            since: now,
        }
    }

    /// Whether a page of this version cannot be the response to the poll: it reports nothing newer than the version
    /// asked for, long before the end of the wait. Discovery has sent an earlier response a second time.
    pub(super) fn is_repeated(&self, version: u64, now: Instant) -> bool {
        self.version == Some(version)
            && self
                .waiting_since
                .is_some_and(|sent| now - sent < MIN_UNCHANGED_WAIT)
    }
}

/// Timeouts and retries of polls, which depend on the kind of discovery.
#[derive(Debug)]
struct PollPolicy {
    /// Timeout for connecting, and for the response to a poll that does not wait for changes.
    response_timeout: Span,
    max_retry_delay: Span,
    /// A new connection asks for the changes since the known version instead of the complete list. A remote service
    /// that is overloaded by many hosts refuses requests for complete lists first.
    resumes: bool,
    /// The fraction of a backoff that is random.
    jitter: f64,
}

impl PollPolicy {
    /// `poll_endpoints`: discovery is a remote service that hosts poll. Otherwise it is an agent on this server to
    /// which lists are pushed.
    fn new(poll_endpoints: bool) -> PollPolicy {
        if poll_endpoints {
            PollPolicy {
                response_timeout: RESPONSE_TIMEOUT,
                max_retry_delay: MAX_RETRY_DELAY,
                resumes: true,
                jitter: RETRY_JITTER,
            }
        } else {
            PollPolicy {
                response_timeout: AGENT_RESPONSE_TIMEOUT,
                max_retry_delay: AGENT_MAX_RETRY_DELAY,
                resumes: false,
                jitter: 0.0,
            }
        }
    }
}

/// A complete response of discovery.
pub(super) struct DiscoveryResponse {
    pub(super) message: Message,
    /// Whether the connection can carry the next poll.
    pub(super) reusable: bool,
}

#[derive(Debug)]
pub(in super::super) struct Discovery {
    address: String,
    policy: PollPolicy,
    rng: ChaCha8Rng,
    /// The connection that is polled. `None` until the backoff after a failure is over.
    pub(super) current: Option<DiscoveryConnection>,
    /// An earlier connection whose poll timed out. It stays open since its response may still arrive.
    pub(super) suspect: Option<DiscoveryConnection>,
    /// The number of the last connection attempt or poll. 0 if there was none.
    last_poll: u64,
    pub(super) failures_in_row: u32,
    /// When the last page was applied. `None` if none was.
    pub(super) last_response: Option<Instant>,
    /// The version of the last page applied from this address.
    pub(super) newest_version: Option<u64>,
    /// The version of the list that the host has, if a new connection may ask for the changes since that version.
    pub(super) resume_from: Option<u64>,
    /// When the first of the pages was received that are older than `newest_version`. `None` if the last page was
    /// applied.
    pub(super) older_since: Option<Instant>,
}

impl Discovery {
    pub(in super::super) fn new(address: String, poll_endpoints: bool, seed: u64) -> Discovery {
        Discovery {
            address,
            policy: PollPolicy::new(poll_endpoints),
            rng: ChaCha8Rng::seed_from_u64(seed),
            current: None,
            suspect: None,
            last_poll: 0,
            failures_in_row: 0,
            last_response: None,
            newest_version: None,
            resume_from: None,
            older_since: None,
        }
    }

    pub(super) fn address(&self) -> &str {
        &self.address
    }

    pub(in super::super) fn owns(&self, conn: ConnectionId) -> bool {
        self.current
            .iter()
            .chain(&self.suspect)
            .any(|connection| connection.conn == conn)
    }

    pub(super) fn connection(&mut self, conn: ConnectionId) -> Option<&mut DiscoveryConnection> {
        self.current
            .iter_mut()
            .chain(&mut self.suspect)
            .find(|connection| connection.conn == conn)
    }

    /// The time since the last page was applied. `None` if none was.
    pub(in super::super) fn age(&self, now: Instant) -> Option<Span> {
        self.last_response.map(|at| now - at)
    }

    /// Opens a connection, unless there is a current one.
    pub(in super::super) fn connect(&mut self, context: &mut Context) {
        if self.current.is_some() {
            return;
        }
        let conn = context.next_connection_id();
        self.current = Some(DiscoveryConnection::new(conn, context.now));
        let address = self.address.clone();
        context.outputs.push(Output::Connect { conn, address });
        self.expect_response(conn, self.policy.response_timeout, context);
    }

    /// Numbers the connection attempt or poll on this connection and sets the timer for its response.
    fn expect_response(&mut self, conn: ConnectionId, timeout: Span, context: &mut Context) {
        self.last_poll += 1;
        let poll = self.last_poll;
        if let Some(connection) = self.connection(conn) {
            connection.poll = poll;
            context.set_timer(timeout, TimerEvent::DiscoveryTimeout(poll));
        }
    }

    /// Records that the host has the list of this version from an earlier run.
    pub(super) fn restore(&mut self, version: u64) {
        if self.policy.resumes {
            self.resume_from = Some(version);
        }
    }

    /// Records that the page of this version was applied.
    pub(super) fn version_applied(&mut self, version: u64) {
        self.newest_version = Some(version);
        self.older_since = None;
        if self.policy.resumes {
            self.resume_from = Some(version);
        }
    }

    /// Sends a poll on a connection that has just been established or whose last poll was answered.
    pub(in super::super) fn poll(&mut self, conn: ConnectionId, context: &mut Context) {
        let host = self.address.clone();
        let list_timeout = self.policy.response_timeout;
        let resume_from = self.resume_from;
        let Some(connection) = self.connection(conn) else {
            return;
        };
        let target;
        let timeout;
        connection.waiting_since = connection.version.map(|_| context.now);
        match (connection.version, resume_from) {
            (None, None) => {
                target = "/catalog/members".to_string();
                timeout = list_timeout;
            }
            (None, Some(version)) => {
                connection.version = Some(version);
                target = format!("/catalog/members?after={version}&wait_ms=0");
                timeout = list_timeout;
            }
            (Some(version), _) => {
                target = format!("/catalog/members?after={version}&wait_ms={POLL_WAIT_MS}");
                timeout = Span::from_millis(POLL_WAIT_MS as f64) + RESPONSE_TIMEOUT;
            }
        }
        let bytes = Encoder::request(b"GET", target.as_bytes())
            .field("Host", host.as_bytes())
            .without_body();
        context.outputs.push(Output::Send {
            conn,
            bytes,
            bytes_handled: connection.bytes_received,
            write_by: None,
        });
        self.expect_response(conn, timeout, context);
    }

    /// Decodes received bytes. Returns `None` while the response is incomplete.
    pub(super) fn receive(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
    ) -> Result<Option<DiscoveryResponse>, Fault> {
        let Some(connection) = self.connection(conn) else {
            return Ok(None);
        };
        connection.bytes_received += bytes.len() as u64;
        connection.decoder.feed(bytes);
        let Some(message) = connection.decoder.take()? else {
            return Ok(None);
        };
        let reusable = message.keep_alive && connection.decoder.is_empty();
        Ok(Some(DiscoveryResponse { message, reusable }))
    }

    /// Opens another connection because the poll with this number was not answered in time. The unresponsive connection
    /// becomes the suspect one, unless there is one that is younger than [`SUSPECT_TIMEOUT`].
    pub(in super::super) fn timed_out(&mut self, poll: u64, context: &mut Context) {
        let Some(unresponsive) = self.current.take_if(|connection| connection.poll == poll) else {
            return;
        };
        self.report_lost("poll timed out", context);
        let now = context.now;
        let expired = self
            .suspect
            .take_if(|suspect| now - suspect.since >= SUSPECT_TIMEOUT);
        let closed = if self.suspect.is_some() {
            Some(unresponsive)
        } else {
            self.suspect = Some(DiscoveryConnection {
                since: now,
                ..unresponsive
            });
            expired
        };
        if let Some(closed) = closed {
            context.outputs.push(Output::Close { conn: closed.conn });
        }
        self.connect(context);
    }

    /// Closes a connection that has ended or cannot be used any more. If it was the current one, the host connects
    /// again after a backoff and keeps its endpoints.
    pub(in super::super) fn connection_lost(
        &mut self,
        conn: ConnectionId,
        reason: &str,
        context: &mut Context,
    ) {
        context.outputs.push(Output::Close { conn });
        let was_suspect = self
            .suspect
            .take_if(|suspect| suspect.conn == conn)
            .is_some();
        if was_suspect || self.current.is_none() {
            return;
        }
        self.current = None;
        let delay = self.retry_delay();
        self.report_lost(reason, context);
        context.set_timer(delay, TimerEvent::DiscoveryRetry);
    }

    /// The backoff before the next connection attempt.
    fn retry_delay(&mut self) -> Span {
        let factor = f64::from(1u32 << self.failures_in_row.min(MAX_DOUBLINGS));
        let longest = MIN_RETRY_DELAY
            .times(factor)
            .min(self.policy.max_retry_delay);
        longest.times(1.0 - self.policy.jitter * self.rng.random::<f64>())
    }

    /// Counts the failure and reports to the scheduler that the list may be outdated. Only the first of several
    /// failures in a row is logged.
    fn report_lost(&mut self, reason: &str, context: &mut Context) {
        context.metrics.discovery_lost += 1;
        if self.failures_in_row == 0 {
            warn!(
                address = self.address,
                reason, "discovery unavailable, serving with the known endpoints"
            );
        }
        self.failures_in_row += 1;
        context.scheduler_events.push(Event::EndpointListLost);
    }

    /// Closes all connections and connects again. If the address has changed, versions from the old one do not count.
    pub(super) fn restart(&mut self, address: String, context: &mut Context) {
        let connections = self.current.take().into_iter().chain(self.suspect.take());
        for connection in connections {
            context.outputs.push(Output::Close {
                conn: connection.conn,
            });
        }
        let address_changed = self.address != address;
        self.address = address;
        self.failures_in_row = 0;
        if address_changed {
            self.newest_version = None;
            self.resume_from = None;
            self.older_since = None;
        }
        self.connect(context);
    }
}
