//! Connections of clients. One message at a time on each; what is received meanwhile waits, unparsed, in a
//! small buffer.
//!
//! This file holds the table of connections; `input` what is received on them, `responses` what they are
//! answered, `capacity` which of them are closed when places run out or when they are idle. The table decides
//! nothing on requests.

mod capacity;
mod input;
mod responses;

use super::io::ConnectionId;
use gullsail_http::Decoder;
use gullsail_scheduler_api::{Instant, RequestId, Span};
use std::collections::BTreeMap;

/// A connection may be idle for this long between messages: the least that the platform names. A client that
/// sends one request and stays holds one of the few places; to connect anew costs little.
const IDLE_TIMEOUT: Span = Span::from_micros(2_000_000);
/// The first message of a new connection may take this long before the connection is closed in favour of
/// others.
const MIN_FIRST_MESSAGE_TIME: Span = Span::from_micros(300_000);
/// The most places that only new connections get, each closing an older one; at most an eighth of all places.
const MAX_RESERVED_PLACES: usize = 8;

#[derive(Debug, PartialEq)]
enum ClientState {
    /// Between messages, or receiving one.
    Reading,
    /// Its request is open.
    Busy {
        request: RequestId,
        keep_alive: bool,
    },
    /// Its response is being written; what waits behind it is parsed then.
    Responding,
    /// It has its last response, which is being written.
    Finishing,
    /// All is written and this side's direction is closed; only the client's own end is awaited.
    WriteClosed,
}

#[derive(Debug)]
struct Client {
    decoder: Decoder,
    state: ClientState,
    /// When it connected, when its last message was answered, or when the first byte of this one was
    /// received.
    since: Instant,
    messages_answered: u64,
    /// Bytes received and handled: an order to close holds only while the connection's task has read no more.
    bytes_received: u64,
    /// More was received behind an open request than is buffered.
    input_overflow: bool,
    /// It is idle, and is to be closed unless something was received meanwhile.
    closing: bool,
}

impl Client {
    fn new(decoder: Decoder, now: Instant) -> Client {
        Client {
            decoder,
            state: ClientState::Reading,
            since: now,
            messages_answered: 0,
            bytes_received: 0,
            input_overflow: false,
            closing: false,
        }
    }

    /// Its place is free in a moment.
    fn is_ending(&self) -> bool {
        self.closing
            || matches!(
                self.state,
                ClientState::Finishing | ClientState::WriteClosed
            )
    }

    /// Whether, and before which others, it may be closed in favour of a new connection.
    fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        if self.closing || self.state != ClientState::Reading {
            return None;
        }
        let age = now - self.since;
        match (self.messages_answered > 0, self.decoder.is_empty()) {
            (false, true) => Some(EvictionRank::NeverSent),
            (true, true) if age >= IDLE_TIMEOUT => Some(EvictionRank::Idle),
            (false, false) if age >= MIN_FIRST_MESSAGE_TIME => Some(EvictionRank::SlowFirstMessage),
            _ => None,
        }
    }
}

/// In the order in which connections are closed in favour of new ones:
/// 1. those that never sent anything, however young: usual clients send at once, and many silent connections
///    arrive faster than any minimum age would let them go;
/// 2. idle ones, though never before the 2 s that the platform's page grants them;
/// 3. those whose first message does not come to its end.
///
/// Many clients that send one request each and stay can so hold all places for 2 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    NeverSent,
    Idle,
    SlowFirstMessage,
}

#[derive(Debug)]
pub(super) struct ClientTable {
    entries: BTreeMap<ConnectionId, Client>,
    max_connections: usize,
    /// Above this number an older connection is closed for each new one.
    soft_limit: usize,
    /// Bytes of messages that are not complete.
    buffered_bytes: usize,
    max_buffered_bytes: usize,
}

impl ClientTable {
    pub(super) fn new(max_connections: usize, max_buffered_bytes: usize) -> ClientTable {
        let reserved = (max_connections / 8).clamp(1, MAX_RESERVED_PLACES);
        ClientTable {
            entries: BTreeMap::new(),
            max_connections,
            soft_limit: max_connections - reserved,
            buffered_bytes: 0,
            max_buffered_bytes,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn contains(&self, conn: ConnectionId) -> bool {
        self.entries.contains_key(&conn)
    }

    /// Bytes of messages that are not complete.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// How many there are without those that are ending.
    fn staying(&self) -> usize {
        self.entries
            .values()
            .filter(|client| !client.is_ending())
            .count()
    }

    /// The first by rank among those that have one, then the oldest.
    fn first_ranked<R: Ord>(&self, rank: impl Fn(&Client) -> Option<R>) -> Option<ConnectionId> {
        let ranked = self
            .entries
            .iter()
            .filter_map(|(id, client)| Some((rank(client)?, client.since, *id)));
        ranked.min().map(|(_, _, id)| id)
    }

    /// Which connection is closed in favour of a new one.
    fn next_to_evict(&self, now: Instant) -> Option<ConnectionId> {
        self.first_ranked(|client| client.eviction_rank(now))
    }

    /// The oldest one that is over but for the client's own end.
    fn oldest_write_closed(&self) -> Option<ConnectionId> {
        self.first_ranked(|client| (client.state == ClientState::WriteClosed).then_some(()))
    }

    /// The one whose incomplete message has taken longest.
    fn slowest_message(&self) -> Option<ConnectionId> {
        let incomplete =
            |client: &Client| client.state == ClientState::Reading && !client.decoder.is_empty();
        let receiving = self.entries.iter().filter(|(_, client)| incomplete(client));
        receiving
            .min_by_key(|(_, client)| client.since)
            .map(|(id, _)| *id)
    }

    /// Takes it out of the table, with what was buffered for it.
    fn remove(&mut self, conn: ConnectionId) -> Option<Client> {
        let client = self.entries.remove(&conn)?;
        self.buffered_bytes -= client.decoder.buffered_bytes();
        Some(client)
    }
}
