//! The table of client connections, with their buffered input. `input` handles the messages that it decodes.

use super::super::bounds::BOUNDS;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::client::{Client, ClientState, InputOverflow};
use gullsail_http::{Decoder, Fault, Message};
use gullsail_scheduler_api::{Instant, RequestId, Span};
use std::collections::BTreeMap;

/// Most slots above the soft limit. Each new connection that takes one evicts an older connection. They are at most an
/// eighth of all slots.
const MAX_RESERVED_SLOTS: usize = 8;
/// Most bytes buffered behind an open request. Usual clients pipeline few messages. Further input is still read and its
/// messages are counted, so that the host detects when the client closes the connection. Each of these messages is
/// refused after the response to the open request.
const MAX_READ_AHEAD_BYTES: usize = 8 << 10;
/// Most bytes decoded beyond [`MAX_READ_AHEAD_BYTES`]. Further input is discarded.
const MAX_REFUSED_AHEAD_BYTES: usize = 256 << 10;

/// A complete message of a client.
pub(super) struct ReceivedMessage {
    pub(super) message: Message,
    /// When the last byte of the message was received. `None` if unknown.
    pub(super) received_at: Option<Instant>,
}

#[derive(Debug)]
pub(in super::super) struct ClientTable {
    entries: BTreeMap<ConnectionId, Client>,
    max_connections: usize,
    /// Above this number of connections an older one is evicted for each new one.
    soft_limit: usize,
    /// Bytes buffered in the decoders of all connections.
    buffered_bytes: usize,
    /// Bound on `buffered_bytes`.
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

    /// Bytes that are buffered and not handled as complete messages yet, on all connections.
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

    /// Removes a connection and its buffered input. Returns `None` if it does not exist.
    pub(super) fn remove(&mut self, conn: ConnectionId) -> Option<Client> {
        let client = self.entries.remove(&conn)?;
        self.buffered_bytes -= client.decoder.buffered_bytes();
        Some(client)
    }

    /// Whether there is a slot for a new connection. A connection in [`ClientState::WriteClosed`] counts as free, since
    /// it can be dropped.
    pub(super) fn has_slot(&self) -> bool {
        self.len() < self.max_connections || self.oldest_write_closed().is_some()
    }

    /// Whether all connections and `new_connections` more exceed the soft limit.
    pub(super) fn exceeds_soft_limit(&self, new_connections: usize) -> bool {
        self.len() + new_connections > self.soft_limit
    }

    /// Whether the connections that are not ending and `new_connections` more exceed the soft limit.
    pub(super) fn must_evict(&self, new_connections: usize) -> bool {
        self.not_ending() + new_connections > self.soft_limit
    }

    pub(super) fn exceeds_buffer_limit(&self) -> bool {
        self.buffered_bytes > self.max_buffered_bytes
    }

    /// The number of connections that are not ending.
    fn not_ending(&self) -> usize {
        self.entries
            .values()
            .filter(|client| !client.is_ending())
            .count()
    }

    /// The connection with the lowest rank; of several, the one with the earliest `since`. Connections without a rank
    /// are left out.
    fn lowest_ranked<R: Ord>(&self, rank: impl Fn(&Client) -> Option<R>) -> Option<ConnectionId> {
        self.entries
            .iter()
            .filter_map(|(conn, client)| Some((rank(client)?, client.since, *conn)))
            .min()
            .map(|(_, _, conn)| conn)
    }

    /// The connection to evict for a new one. `None` if none may be evicted.
    pub(super) fn next_to_evict(&self, now: Instant) -> Option<ConnectionId> {
        self.lowest_ranked(|client| client.eviction_rank(now))
    }

    /// The oldest connection in [`ClientState::WriteClosed`]: all responses are written, so dropping it loses nothing.
    pub(super) fn oldest_write_closed(&self) -> Option<ConnectionId> {
        self.lowest_ranked(|client| (client.state == ClientState::WriteClosed).then_some(()))
    }

    /// The connection whose message has been incomplete for the longest time.
    pub(super) fn slowest_message(&self) -> Option<ConnectionId> {
        self.lowest_ranked(|client| client.has_incomplete_message().then_some(()))
    }

    /// Buffers received bytes. Returns whether there may be a complete message to handle.
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
            | ClientState::RespondingLast => {}
        }
        let too_far_ahead =
            client.is_responding() && buffered_before + bytes.len() > MAX_READ_AHEAD_BYTES;
        if too_far_ahead && client.overflow.is_none() {
            context.metrics.input_overflows += 1;
            client.overflow = Some(InputOverflow::default());
        }
        client.idle_close_ordered = false;
        if client.overflow.is_some() {
            self.count_refused(conn, bytes, context);
            return false;
        }
        client.decoder.feed(bytes);
        client.arrivals.record(client.bytes_received, context.now);
        self.buffered_bytes += client.decoder.buffered_bytes() - buffered_before;
        true
    }

    /// Decodes input that was received too far ahead, counts its complete messages and drops them. Only the last,
    /// incomplete message stays buffered.
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
        client.arrivals.record(client.bytes_received, context.now);
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

    /// Takes the number of messages that have to be refused because they were received too far ahead. This ends the
    /// overflow: further messages are served, unless the input is being discarded.
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

    /// Takes the next complete message. Returns `Ok(None)` if there is none or another message is being served on the
    /// connection.
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
        let end_offset = client.bytes_received - buffered_after as u64;
        let received_at = client.arrivals.take_time_of(end_offset);
        if buffered_after == 0 {
            client.arrivals.clear();
        }
        Ok(Some(ReceivedMessage {
            message,
            received_at,
        }))
    }

    /// Records that a request of the connection was passed to the scheduler.
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

    /// Records that the response is written, so that the next message may be handled. Returns whether the connection
    /// exists and waited for that.
    pub(super) fn response_written(&mut self, conn: ConnectionId, now: Instant) -> bool {
        let Some(client) = self.entries.get_mut(&conn) else {
            return false;
        };
        if !matches!(
            client.state,
            ClientState::Responding | ClientState::RespondingLast
        ) {
            return false;
        }
        client.state = ClientState::Reading;
        client.since = now;
        true
    }

    /// Records that the runtime was ordered to write the last response, unless the client has sent more.
    pub(super) fn mark_responding_last(&mut self, conn: ConnectionId) {
        if let Some(client) = self.entries.get_mut(&conn) {
            client.state = ClientState::RespondingLast;
        }
    }

    /// Closes the connection after its last response, which was ordered before. Further input is ignored.
    pub(super) fn finish(&mut self, conn: ConnectionId, context: &mut Context) {
        if self.stop_reading(conn, ClientState::Finishing) {
            context.outputs.push(Output::FinishAndClose { conn });
        }
    }

    /// Records that the last response is written and the host's direction is closed.
    pub(in super::super) fn write_closed(&mut self, conn: ConnectionId) {
        if self.stop_reading(conn, ClientState::WriteClosed)
            && let Some(client) = self.entries.get_mut(&conn)
        {
            client.idle_close_ordered = false;
        }
    }

    /// Sets the state of a connection and drops its buffered input. Returns whether the connection exists.
    fn stop_reading(&mut self, conn: ConnectionId, state: ClientState) -> bool {
        let Some(client) = self.entries.get_mut(&conn) else {
            return false;
        };
        self.buffered_bytes -= client.decoder.buffered_bytes();
        client.state = state;
        client.decoder = Decoder::requests(BOUNDS);
        true
    }

    /// Orders the runtime to close an idle connection, unless the client has sent more. Has no effect if that is
    /// ordered already.
    pub(super) fn close_idle(&mut self, conn: ConnectionId, context: &mut Context) {
        let Some(client) = self.entries.get_mut(&conn) else {
            return;
        };
        if !client.idle_close_ordered {
            client.idle_close_ordered = true;
            context.outputs.push(Output::CloseIdle {
                conn,
                bytes_handled: client.bytes_received,
            });
        }
    }

    /// Closes idle connections: those between messages, and those of at least `min_age` on which no message was
    /// answered yet.
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

    /// Closes a connection at once. All of its responses are written.
    pub(super) fn drop_connection(&mut self, conn: ConnectionId, context: &mut Context) {
        if self.remove(conn).is_some() {
            context.outputs.push(Output::Close { conn });
        }
    }
}
