//! The table of client connections. It decides nothing on requests.

use super::super::bounds::BOUNDS;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::client::{Client, ClientState, InputOverflow};
use gullsail_http::{Decoder, Fault, Message};
use gullsail_scheduler_api::{Instant, RequestId, Span};
use std::collections::BTreeMap;

/// Most slots that only new connections get, each closing an older one; at most an eighth of all slots.
const MAX_RESERVED_SLOTS: usize = 8;
/// Most bytes buffered behind an open request. Clients send few messages at a time. Beyond this messages are decoded
/// and counted, so that the client's close behind them is seen, and each is refused after the response of the open
/// request.
const MAX_READ_AHEAD_BYTES: usize = 8 << 10;
/// Most bytes decoded beyond [`MAX_READ_AHEAD_BYTES`]; what follows is discarded.
const MAX_REFUSED_AHEAD_BYTES: usize = 256 << 10;

/// A complete message.
pub(super) struct ReceivedMessage {
    pub(super) message: Message,
    /// When its last byte was received.
    pub(super) received_at: Option<Instant>,
}

#[derive(Debug)]
pub(in super::super) struct ClientTable {
    entries: BTreeMap<ConnectionId, Client>,
    max_connections: usize,
    /// Above this number an older connection is closed for each new one.
    soft_limit: usize,
    /// Bytes of incomplete messages.
    buffered_bytes: usize,
    max_buffered_bytes: usize,
}

impl ClientTable {
    pub(in super::super) fn new(max_connections: usize, max_buffered_bytes: usize) -> ClientTable {
        let reserved = (max_connections / 8).clamp(1, MAX_RESERVED_SLOTS);
        ClientTable {
            entries: BTreeMap::new(),
            max_connections,
            soft_limit: max_connections - reserved,
            buffered_bytes: 0,
            max_buffered_bytes,
        }
    }

    pub(in super::super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(in super::super) fn contains(&self, conn: ConnectionId) -> bool {
        self.entries.contains_key(&conn)
    }

    /// Bytes of incomplete messages.
    pub(in super::super) fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    pub(super) fn get(&self, conn: ConnectionId) -> Option<&Client> {
        self.entries.get(&conn)
    }

    pub(super) fn get_mut(&mut self, conn: ConnectionId) -> Option<&mut Client> {
        self.entries.get_mut(&conn)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Client)> {
        self.entries.iter().map(|(conn, client)| (*conn, client))
    }

    pub(super) fn insert(&mut self, conn: ConnectionId, now: Instant) {
        self.entries.insert(conn, Client::new(now));
    }

    /// Removes a connection, with what was buffered for it.
    pub(super) fn remove(&mut self, conn: ConnectionId) -> Option<Client> {
        let client = self.entries.remove(&conn)?;
        self.buffered_bytes -= client.decoder.buffered_bytes();
        Some(client)
    }

    /// Whether a new connection gets a slot, if need be that of a connection which only the client still has to
    /// close.
    pub(super) fn has_slot(&self) -> bool {
        self.len() < self.max_connections || self.oldest_write_closed().is_some()
    }

    /// Whether with so many new connections there are more than the soft limit, ending ones included.
    pub(super) fn exceeds_soft_limit(&self, new_connections: usize) -> bool {
        self.len() + new_connections > self.soft_limit
    }

    /// Whether with so many new connections there are more than the soft limit that are not ending.
    pub(super) fn must_evict(&self, new_connections: usize) -> bool {
        self.staying() + new_connections > self.soft_limit
    }

    pub(super) fn exceeds_buffer_limit(&self) -> bool {
        self.buffered_bytes > self.max_buffered_bytes
    }

    /// How many there are without those that are ending.
    fn staying(&self) -> usize {
        self.entries
            .values()
            .filter(|client| !client.is_ending())
            .count()
    }

    /// The connection with the lowest rank, the oldest of several.
    fn lowest_ranked<R: Ord>(&self, rank: impl Fn(&Client) -> Option<R>) -> Option<ConnectionId> {
        self.entries
            .iter()
            .filter_map(|(conn, client)| Some((rank(client)?, client.since, *conn)))
            .min()
            .map(|(_, _, conn)| conn)
    }

    /// The connection that is closed in favour of a new one.
    pub(super) fn next_to_evict(&self, now: Instant) -> Option<ConnectionId> {
        self.lowest_ranked(|client| client.eviction_rank(now))
    }

    /// The oldest connection that only the client still has to close.
    pub(super) fn oldest_write_closed(&self) -> Option<ConnectionId> {
        self.lowest_ranked(|client| (client.state == ClientState::WriteClosed).then_some(()))
    }

    /// The connection whose incomplete message has taken longest.
    pub(super) fn slowest_message(&self) -> Option<ConnectionId> {
        self.lowest_ranked(|client| client.has_incomplete_message().then_some(()))
    }

    /// Buffers what was received. Returns whether there may be a message to read.
    pub(super) fn buffer(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        context: &mut Context,
    ) -> bool {
        let Some(client) = self.entries.get_mut(&conn) else {
            return false;
        };
        client.bytes_received += bytes.len() as u64;
        let buffered_before = client.decoder.buffered_bytes();
        match client.state {
            ClientState::Finishing | ClientState::WriteClosed => return false,
            ClientState::Reading if client.is_between_messages() => client.since = context.now,
            ClientState::Reading
            | ClientState::Busy { .. }
            | ClientState::Responding
            | ClientState::Ending => {}
        }
        let too_far_ahead =
            client.is_responding() && buffered_before + bytes.len() > MAX_READ_AHEAD_BYTES;
        if too_far_ahead && client.overflow.is_none() {
            context.metrics.input_overflows += 1;
            client.overflow = Some(InputOverflow::default());
        }
        client.closing = false;
        if client.overflow.is_some() {
            self.count_refused(conn, bytes, context);
            return false;
        }
        client.decoder.feed(bytes);
        client.arrivals.received(client.bytes_received, context.now);
        self.buffered_bytes += client.decoder.buffered_bytes() - buffered_before;
        true
    }

    /// Decodes what was received too far ahead and counts the complete messages. At most one incomplete message is held.
    fn count_refused(&mut self, conn: ConnectionId, bytes: &[u8], context: &mut Context) {
        let Some(client) = self.entries.get_mut(&conn) else {
            return;
        };
        let Some(overflow) = &mut client.overflow else {
            return;
        };
        if overflow.discarding {
            return;
        }
        let buffered_before = client.decoder.buffered_bytes();
        client.decoder.feed(bytes);
        overflow.bytes += bytes.len();
        let decodes = loop {
            match client.decoder.take() {
                Ok(Some(_)) => overflow.refused += 1,
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        client.arrivals.clear();
        client.arrivals.received(client.bytes_received, context.now);
        self.buffered_bytes -= buffered_before;
        self.buffered_bytes += client.decoder.buffered_bytes();
        let too_much = overflow.bytes > MAX_REFUSED_AHEAD_BYTES
            || self.buffered_bytes > self.max_buffered_bytes;
        if too_much || !decodes {
            overflow.discarding = true;
            self.buffered_bytes -= client.decoder.buffered_bytes();
            client.decoder = Decoder::requests(BOUNDS);
            context.outputs.push(Output::DiscardInput { conn });
        }
    }

    /// Takes the number of messages that were received too far ahead and wait for a refusal. Afterwards what is received
    /// is read as ever.
    pub(super) fn take_refused(&mut self, conn: ConnectionId) -> usize {
        let Some(client) = self.entries.get_mut(&conn) else {
            return 0;
        };
        if client.state != ClientState::Reading {
            return 0;
        }
        match &mut client.overflow {
            Some(overflow) if overflow.discarding => std::mem::take(&mut overflow.refused),
            overflow => overflow.take().map_or(0, |overflow| overflow.refused),
        }
    }

    /// The next complete message, unless another one is being served on the connection.
    pub(super) fn next_message(
        &mut self,
        conn: ConnectionId,
    ) -> Result<Option<ReceivedMessage>, Fault> {
        let Some(client) = self.entries.get_mut(&conn) else {
            return Ok(None);
        };
        if client.state != ClientState::Reading {
            return Ok(None);
        }
        let buffered_before = client.decoder.buffered_bytes();
        let message = client.decoder.take();
        let buffered_after = client.decoder.buffered_bytes();
        self.buffered_bytes -= buffered_before.saturating_sub(buffered_after);
        let Some(message) = message? else {
            return Ok(None);
        };
        let end = client.bytes_received - buffered_after as u64;
        let received_at = client.arrivals.read(end);
        if buffered_after == 0 {
            client.arrivals.clear();
        }
        Ok(Some(ReceivedMessage {
            message,
            received_at,
        }))
    }

    /// The connection's request was handed to the scheduler.
    pub(super) fn request_opened(
        &mut self,
        conn: ConnectionId,
        request: RequestId,
        keep_alive: bool,
    ) {
        if let Some(client) = self.entries.get_mut(&conn) {
            client.state = ClientState::Busy {
                request,
                keep_alive,
            };
        }
    }

    /// The response is written: what was received behind its request may be read. Returns whether the connection
    /// stays open.
    pub(super) fn response_written(&mut self, conn: ConnectionId, now: Instant) -> bool {
        let Some(client) = self.entries.get_mut(&conn) else {
            return false;
        };
        if !matches!(client.state, ClientState::Responding | ClientState::Ending) {
            return false;
        }
        client.state = ClientState::Reading;
        client.since = now;
        true
    }

    /// A last response was queued, which keeps the connection open if more was received before it is written.
    pub(super) fn end_unless_more(&mut self, conn: ConnectionId) {
        if let Some(client) = self.entries.get_mut(&conn) {
            client.state = ClientState::Ending;
        }
    }

    /// The last response was queued: nothing more is read on the connection.
    pub(super) fn finish(&mut self, conn: ConnectionId, context: &mut Context) {
        if self.stop_reading(conn, ClientState::Finishing) {
            context.outputs.push(Output::FinishAndClose { conn });
        }
    }

    /// The last response is written and this side's direction is closed.
    pub(in super::super) fn write_closed(&mut self, conn: ConnectionId) {
        if self.stop_reading(conn, ClientState::WriteClosed)
            && let Some(client) = self.entries.get_mut(&conn)
        {
            client.closing = false;
        }
    }

    /// Drops what is buffered for a connection. Returns whether it exists.
    fn stop_reading(&mut self, conn: ConnectionId, state: ClientState) -> bool {
        let Some(client) = self.entries.get_mut(&conn) else {
            return false;
        };
        self.buffered_bytes -= client.decoder.buffered_bytes();
        client.state = state;
        client.decoder = Decoder::requests(BOUNDS);
        true
    }

    /// Closes a connection unless something was received on it meanwhile.
    pub(super) fn close_idle(&mut self, conn: ConnectionId, context: &mut Context) {
        let Some(client) = self.entries.get_mut(&conn) else {
            return;
        };
        if !client.closing {
            client.closing = true;
            context.outputs.push(Output::CloseIdle {
                conn,
                bytes_handled: client.bytes_received,
            });
        }
    }

    /// Closes every connection between messages, and those of `min_age` on which nothing was answered yet.
    pub(in super::super) fn close_idle_older_than(&mut self, min_age: Span, context: &mut Context) {
        let now = context.now;
        let idle: Vec<_> = self
            .iter()
            .filter(|(_, client)| client.is_idle(min_age, now))
            .map(|(conn, _)| conn)
            .collect();
        for conn in idle {
            self.close_idle(conn, context);
        }
    }

    /// Closes a connection at once: all of its responses are written.
    pub(super) fn drop_connection(&mut self, conn: ConnectionId, context: &mut Context) {
        if self.remove(conn).is_some() {
            context.outputs.push(Output::Close { conn });
        }
    }
}
