//! Connections to discovery, the polls on them, their timeouts and retries.

use super::super::bounds::BOUNDS;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::super::timer_event::TimerEvent;
use gullsail_http::{Bounds, Decoder, Encoder, Fault, Message};
use gullsail_scheduler_api::{Event, Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tracing::warn;

/// How long a poll waits for changes, in milliseconds.
const POLL_WAIT_MS: u64 = 2_000;
/// A response that is later than its wait by this much is overdue, and the next connection is opened beside this one.
/// With the wait that is 3.5 s. What a silent connection misses counts as reported 6 s after it fell silent.
const RESPONSE_TIMEOUT: Span = Span::from_micros(1_500_000);
/// First backoff after a connection that ended or was refused. Doubles with each failure in a row.
const MIN_RETRY_DELAY: Span = Span::from_micros(50_000);
/// Longest backoff: several of them lie within the 6 s after which a change counts as reported.
const MAX_RETRY_DELAY: Span = Span::from_micros(800_000);
/// The part of a backoff that is drawn: hosts that were refused together do not come back together.
const RETRY_JITTER: f64 = 0.5;
/// Where lists are pushed, discovery is an agent on this server: it responds at once or is silent, and what it holds
/// counts as reported from that moment. A host that waits longer for it keeps sending to a draining node for as
/// long; a quarter of a second is the shortest grace of a drain that was seen.
const AGENT_RESPONSE_TIMEOUT: Span = Span::from_micros(150_000);
/// Longest backoff towards an agent, for the same reason: two of them lie within the shortest grace.
const AGENT_MAX_RETRY_DELAY: Span = Span::from_micros(100_000);
/// A silent connection is closed in favour of a newer silent one after this time. Smaller than the time in which a
/// service that many hosts poll at once sends a complete list: no connection would live to receive it.
const SUSPECT_TIMEOUT: Span = Span::from_micros(5_000_000);
/// Doublings of the backoff are counted up to this number; [`MAX_RETRY_DELAY`] is reached long before.
const MAX_DOUBLINGS: u32 = 10;
/// How large a response of discovery may be. Lists may be indented and hold some thousand nodes, more than other
/// bodies.
const LIST_BOUNDS: Bounds = Bounds {
    head: BOUNDS.head,
    body: 1 << 20,
};

/// A connection to discovery and the one poll that is open on it.
#[derive(Debug)]
pub(super) struct DiscoveryConnection {
    pub(super) conn: ConnectionId,
    decoder: Decoder,
    /// Bytes received and handled.
    bytes_received: u64,
    /// The version of the last page received on this connection.
    pub(super) version: Option<u64>,
    /// The number of the open poll; the timer of an earlier one has no effect.
    poll: u64,
    /// When it was opened, or became suspect.
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
            since: now,
        }
    }
}

/// How discovery is polled, by its kind.
#[derive(Debug)]
struct PollPolicy {
    /// How long a response to a poll that waits for nothing may take.
    response: Span,
    max_retry_delay: Span,
    /// A new connection asks for the changes since the version that is known. A remote service refuses complete lists
    /// first when many hosts ask for them.
    resumes: bool,
    /// The part of a backoff that is drawn.
    jitter: f64,
}

impl PollPolicy {
    /// `poll_endpoints`: the host polls a remote service; else an agent on this server has the list.
    fn new(poll_endpoints: bool) -> PollPolicy {
        if poll_endpoints {
            PollPolicy {
                response: RESPONSE_TIMEOUT,
                max_retry_delay: MAX_RETRY_DELAY,
                resumes: true,
                jitter: RETRY_JITTER,
            }
        } else {
            PollPolicy {
                response: AGENT_RESPONSE_TIMEOUT,
                max_retry_delay: AGENT_MAX_RETRY_DELAY,
                resumes: false,
                jitter: 0.0,
            }
        }
    }
}

/// A complete response of discovery, and whether the connection can carry the next poll.
pub(super) struct DiscoveryResponse {
    pub(super) message: Message,
    pub(super) reusable: bool,
}

#[derive(Debug)]
pub(in super::super) struct Discovery {
    address: String,
    policy: PollPolicy,
    rng: ChaCha8Rng,
    /// The connection that is followed.
    pub(super) current: Option<DiscoveryConnection>,
    /// The one before it, which is silent.
    pub(super) suspect: Option<DiscoveryConnection>,
    last_poll: u64,
    pub(super) failures_in_row: u32,
    pub(super) last_response: Option<Instant>,
    /// The newest version from this address.
    pub(super) newest_version: Option<u64>,
    /// The version of the list that is known, if a new connection may ask for the changes since then.
    pub(super) resume_from: Option<u64>,
    /// Since when only older versions are received.
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

    /// The time since its last response.
    pub(in super::super) fn age(&self, now: Instant) -> Option<Span> {
        self.last_response.map(|at| now - at)
    }

    /// Connects, unless a connection is followed already.
    pub(in super::super) fn connect(&mut self, context: &mut Context) {
        if self.current.is_some() {
            return;
        }
        let conn = context.next_connection_id();
        self.current = Some(DiscoveryConnection::new(conn, context.now));
        let address = self.address.clone();
        context.outputs.push(Output::Connect { conn, address });
        self.expect_response(conn, self.policy.response, context);
    }

    fn expect_response(&mut self, conn: ConnectionId, timeout: Span, context: &mut Context) {
        self.last_poll += 1;
        let poll = self.last_poll;
        if let Some(connection) = self.connection(conn) {
            connection.poll = poll;
            context.set_timer(timeout, TimerEvent::DiscoveryTimeout(poll));
        }
    }

    /// The list of this version is known from an earlier run of this host.
    pub(super) fn restore(&mut self, version: u64) {
        if self.policy.resumes {
            self.resume_from = Some(version);
        }
    }

    /// The list of this version is known.
    pub(super) fn version_known(&mut self, version: u64) {
        self.newest_version = Some(version);
        self.older_since = None;
        if self.policy.resumes {
            self.resume_from = Some(version);
        }
    }

    /// Polls on a connection that is established, or whose last poll was answered.
    pub(in super::super) fn poll(&mut self, conn: ConnectionId, context: &mut Context) {
        let host = self.address.clone();
        let list_timeout = self.policy.response;
        let resume_from = self.resume_from;
        let Some(connection) = self.connection(conn) else {
            return;
        };
        let target;
        let timeout;
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
        });
        self.expect_response(conn, timeout, context);
    }

    /// Decodes what was received. Returns `None` until a response is complete.
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

    /// A poll was not answered in time: the next connection is opened beside this one.
    pub(in super::super) fn timed_out(&mut self, poll: u64, context: &mut Context) {
        let Some(silent) = self.current.take_if(|connection| connection.poll == poll) else {
            return;
        };
        self.report_lost("poll timed out", context);
        let now = context.now;
        let expired = self
            .suspect
            .take_if(|suspect| now - suspect.since >= SUSPECT_TIMEOUT);
        let closed = if self.suspect.is_some() {
            Some(silent)
        } else {
            self.suspect = Some(DiscoveryConnection {
                since: now,
                ..silent
            });
            expired
        };
        if let Some(closed) = closed {
            context.outputs.push(Output::Close { conn: closed.conn });
        }
        self.connect(context);
    }

    /// A connection is of no further use: another one is opened after a backoff. Known endpoints stay.
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

    fn retry_delay(&mut self) -> Span {
        let doublings = f64::from(1u32 << self.failures_in_row.min(MAX_DOUBLINGS));
        let longest = MIN_RETRY_DELAY
            .times(doublings)
            .min(self.policy.max_retry_delay);
        longest.times(1.0 - self.policy.jitter * self.rng.random::<f64>())
    }

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

    /// Connects anew, perhaps to another address, for which no version is known.
    pub(super) fn restart(&mut self, address: String, context: &mut Context) {
        let connections = self.current.take().into_iter().chain(self.suspect.take());
        for connection in connections {
            context.outputs.push(Output::Close {
                conn: connection.conn,
            });
        }
        let moved = self.address != address;
        self.address = address;
        self.failures_in_row = 0;
        if moved {
            self.newest_version = None;
            self.resume_from = None;
            self.older_since = None;
        }
        self.connect(context);
    }
}
