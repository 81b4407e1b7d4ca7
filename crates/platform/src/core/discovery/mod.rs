//! Discovery: the whole endpoint list, then its changes, by long polls; after a silence or an end the whole
//! list anew. A connection that is silent is left open beside the next one for a while: whichever answers
//! first counts.
//!
//! This file makes connections and polls; `endpoint_list` reads the pages that come. What cannot be parsed
//! changes nothing.

mod endpoint_list;

use super::io::{ConnectionId, Output};
use super::timer_event::TimerEvent;
use super::{BOUNDS, Core};
use crate::settings_document::{Page, SettingsDocument};
use endpoint_list::PageError;
use gullsail_http::{Bounds, Decoder, Encoder, Message, Start};
use gullsail_scheduler_api::{Event, Instant, Span};
use tracing::{info, warn};

/// How long a poll waits for changes: short, so that silence is noticed soon.
const POLL_WAIT_MS: u64 = 2_000;
/// An answer that is so much later than its wait is suspect: the next connection is made beside it. With the
/// wait that is 3.5 s, and what a silent watch misses counts as reported 6 s after it fell silent: if the
/// next connection is silent too, there is time for a third.
const ANSWER_TIMEOUT: Span = Span::from_micros(1_500_000);
/// Between tries after a connection that ended or was refused, doubled from the first to the last.
const MIN_RETRY_DELAY: Span = Span::from_micros(50_000);
const MAX_RETRY_DELAY: Span = Span::from_micros(800_000);
/// Where lists are pushed, an agent on this server holds them, answers at once or is silent, and what it
/// holds counts as reported from that moment. A host that waits long for it, or long between tries, sends to
/// a draining node for as long: the answer timeout alone, or two retry delays after a refusal, lie well
/// within a drain's grace, of which a quarter of a second is the shortest seen.
const AGENT_ANSWER_TIMEOUT: Span = Span::from_micros(150_000);
const AGENT_MAX_RETRY_DELAY: Span = Span::from_micros(100_000);
/// A suspect connection is given up for a newer one after this: a slow service is read in the end, and a dead
/// one is not waited for. Longer than a whole list was ever seen to take from a service that many poll at
/// once.
const SUSPECT_TIMEOUT: Span = Span::from_micros(5_000_000);
/// A list that is older than one before it counts only if nothing newer comes for as long as discovery may
/// take to report.
const OLDER_LIST_TIMEOUT: Span = Span::from_micros(6_000_000);
/// Lists may be indented: some thousand nodes, whatever other bodies may hold.
const LIST_BOUNDS: Bounds = Bounds {
    head: BOUNDS.head,
    body: 1 << 20,
};

/// A connection to discovery and the one poll that is open on it.
#[derive(Debug)]
struct DiscoveryConnection {
    conn: ConnectionId,
    decoder: Decoder,
    /// Bytes received and handled.
    bytes_received: u64,
    /// The version of the last page on this connection.
    version: Option<u64>,
    /// The number of the open poll, so that a timer knows its own.
    poll: u64,
    since: Instant,
}

#[derive(Debug)]
pub(super) struct Discovery {
    address: String,
    /// The connection that is followed.
    current: Option<DiscoveryConnection>,
    /// One before it that is silent.
    suspect: Option<DiscoveryConnection>,
    last_poll: u64,
    failures_in_row: u32,
    last_answer: Option<Instant>,
    /// The newest version from this address.
    newest_version: Option<u64>,
    /// Since when only older versions come.
    older_since: Option<Instant>,
}

/// How long a service may take, by its kind.
struct Patience {
    /// For an answer that needs no wait.
    answer_timeout: Span,
    max_retry_delay: Span,
}

impl Discovery {
    pub(super) fn new(address: String) -> Discovery {
        Discovery {
            address,
            current: None,
            suspect: None,
            last_poll: 0,
            failures_in_row: 0,
            last_answer: None,
            newest_version: None,
            older_since: None,
        }
    }

    pub(super) fn owns(&self, conn: ConnectionId) -> bool {
        self.current
            .iter()
            .chain(&self.suspect)
            .any(|c| c.conn == conn)
    }

    fn connection(&mut self, conn: ConnectionId) -> Option<&mut DiscoveryConnection> {
        self.current
            .iter_mut()
            .chain(&mut self.suspect)
            .find(|c| c.conn == conn)
    }

    /// The time since its last answer.
    pub(super) fn age(&self, now: Instant) -> Option<Span> {
        self.last_answer.map(|at| now - at)
    }

    /// Both connections, which are over with this.
    fn take_connections(&mut self) -> impl Iterator<Item = DiscoveryConnection> {
        self.current.take().into_iter().chain(self.suspect.take())
    }
}

impl Core {
    fn discovery_patience(&self) -> Patience {
        if self.config.poll_endpoints {
            Patience {
                answer_timeout: ANSWER_TIMEOUT,
                max_retry_delay: MAX_RETRY_DELAY,
            }
        } else {
            Patience {
                answer_timeout: AGENT_ANSWER_TIMEOUT,
                max_retry_delay: AGENT_MAX_RETRY_DELAY,
            }
        }
    }

    pub(super) fn connect_discovery(&mut self) {
        if self.discovery.current.is_some() {
            return;
        }
        let conn = self.next_connection_id();
        self.discovery.current = Some(DiscoveryConnection {
            conn,
            decoder: Decoder::responses(LIST_BOUNDS),
            bytes_received: 0,
            version: None,
            poll: 0,
            since: self.now,
        });
        let address = self.discovery.address.clone();
        self.outputs.push(Output::Connect { conn, address });
        self.expect_answer(conn, self.discovery_patience().answer_timeout);
    }

    fn expect_answer(&mut self, conn: ConnectionId, within: Span) {
        self.discovery.last_poll += 1;
        let poll = self.discovery.last_poll;
        if let Some(connection) = self.discovery.connection(conn) {
            connection.poll = poll;
            self.timers
                .set(self.now + within, TimerEvent::DiscoveryTimeout(poll));
        }
    }

    /// The connection is established, or its last poll was answered.
    pub(super) fn poll_discovery(&mut self, conn: ConnectionId) {
        let host = self.discovery.address.clone();
        let list_timeout = self.discovery_patience().answer_timeout;
        let Some(connection) = self.discovery.connection(conn) else {
            return;
        };
        let (target, within) = match connection.version {
            None => ("/catalog/members".to_string(), list_timeout),
            Some(version) => {
                let target = format!("/catalog/members?after={version}&wait_ms={POLL_WAIT_MS}");
                (
                    target,
                    Span::from_millis(POLL_WAIT_MS as f64) + ANSWER_TIMEOUT,
                )
            }
        };
        let bytes = Encoder::request(b"GET", target.as_bytes())
            .field("Host", host.as_bytes())
            .without_body();
        let seen = connection.bytes_received;
        self.outputs.push(Output::Send { conn, bytes, seen });
        self.expect_answer(conn, within);
    }

    /// The poll is not answered in time: the next connection is made beside this one.
    pub(super) fn discovery_timed_out(&mut self, poll: u64) {
        let Some(silent) = self.discovery.current.take_if(|c| c.poll == poll) else {
            return;
        };
        self.report_discovery_lost("it says nothing");
        let now = self.now;
        let expired = self
            .discovery
            .suspect
            .take_if(|c| now - c.since >= SUSPECT_TIMEOUT);
        let closed = match &self.discovery.suspect {
            Some(_) => Some(silent),
            None => {
                self.discovery.suspect = Some(DiscoveryConnection {
                    since: now,
                    ..silent
                });
                expired
            }
        };
        if let Some(closed) = closed {
            self.outputs.push(Output::Close { conn: closed.conn });
        }
        self.connect_discovery();
    }

    fn report_discovery_lost(&mut self, why: &str) {
        self.metrics.discovery_lost += 1;
        if self.discovery.failures_in_row == 0 {
            warn!(why, address = self.discovery.address, "discovery is lost");
        }
        self.discovery.failures_in_row += 1;
        self.events.push(Event::EndpointListLost);
    }

    /// The connection is of no further use: another one is made after a delay. Known endpoints stay.
    pub(super) fn discovery_connection_lost(&mut self, conn: ConnectionId, why: &str) {
        self.outputs.push(Output::Close { conn });
        let was_suspect = self.discovery.suspect.take_if(|c| c.conn == conn).is_some();
        if was_suspect || self.discovery.current.is_none() {
            return;
        }
        self.discovery.current = None;
        let doublings = f64::from(1u32 << self.discovery.failures_in_row.min(10));
        let delay = MIN_RETRY_DELAY
            .times(doublings)
            .min(self.discovery_patience().max_retry_delay);
        self.report_discovery_lost(why);
        self.timers
            .set(self.now + delay, TimerEvent::DiscoveryRetry);
    }

    pub(super) fn discovery_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.discovery.connection(conn) else {
            return;
        };
        connection.bytes_received += bytes.len() as u64;
        connection.decoder.feed(bytes);
        let answer = connection.decoder.take();
        let keep_alive = connection.decoder.is_empty();
        match answer {
            Ok(None) => {}
            Ok(Some(message)) => match self.handle_answer(conn, &message) {
                Ok(()) if message.keep_alive && keep_alive => self.poll_discovery(conn),
                Ok(()) => self.discovery_connection_lost(conn, "it ends the connection"),
                Err(why) => self.discovery_connection_lost(conn, &why.to_string()),
            },
            Err(fault) => self.discovery_connection_lost(conn, &fault.to_string()),
        }
    }

    fn handle_answer(&mut self, conn: ConnectionId, message: &Message) -> Result<(), PageError> {
        if message.start != (Start::Response { status: 200 }) {
            return Err(PageError::Status);
        }
        let page: Page = serde_json::from_slice(&message.body)?;
        self.handle_page(conn, &page)
    }

    /// A new settings document: discovery has moved, or is asked anew where it is.
    pub(super) fn reload(&mut self, document: SettingsDocument) {
        self.metrics.reloads += 1;
        let same_config = format!("{:?}", document.config) == format!("{:?}", self.config);
        if !same_config || document.peers != self.peers || document.names != self.names {
            warn!(
                "settings and peers change only with a start: of the new document, discovery counts"
            );
        }
        info!(
            from = self.discovery.address,
            to = document.discovery,
            "another document"
        );
        let moved = self.discovery.address != document.discovery;
        for old in self.discovery.take_connections() {
            self.outputs.push(Output::Close { conn: old.conn });
        }
        self.discovery.address = document.discovery;
        self.discovery.failures_in_row = 0;
        if moved {
            self.discovery.newest_version = None;
            self.discovery.older_since = None;
        }
        self.connect_discovery();
    }
}
