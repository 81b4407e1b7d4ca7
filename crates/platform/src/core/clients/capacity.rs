//! How many connections of clients there are: accepting, and closing those that are idle, slow or in the way
//! of new ones.

use super::super::io::{ConnectionId, Output};
use super::super::request_error::RequestError;
use super::super::{BOUNDS, Core, IDLE_CHECK_INTERVAL};
use super::{Client, ClientState, IDLE_TIMEOUT};
use gullsail_http::Decoder;
use gullsail_scheduler_api::{Instant, Span};

/// A message is complete within this time from its first byte, the first one from connecting: the platform
/// demands an error or a close within 3 s.
const MESSAGE_TIMEOUT: Span = Span::from_micros(2_200_000);

impl Core {
    /// Is there a place for a client that connects? Else it waits in the backlog, which loses nothing. A
    /// connection that is over but for the client's own end is dropped for it.
    pub fn has_place(&self) -> bool {
        let clients = &self.clients;
        clients.len() < clients.max_connections || clients.oldest_write_closed().is_some()
    }

    /// A client has connected.
    pub fn accept(&mut self, now: Instant) -> ConnectionId {
        self.now = self.now.max(now);
        self.metrics.connections_accepted += 1;
        self.make_room_for_clients(1);
        let conn = self.next_connection_id();
        self.clients
            .entries
            .insert(conn, Client::new(Decoder::requests(BOUNDS), self.now));
        self.schedule_idle_check();
        conn
    }

    /// Closes connections in favour of so many new ones, each without losing anything that was read or
    /// answered.
    fn make_room_for_clients(&mut self, new_connections: usize) {
        let soft_limit = self.clients.soft_limit;
        while self.clients.len() + new_connections > soft_limit
            && let Some(ended) = self.clients.oldest_write_closed()
        {
            self.metrics.clients_evicted += 1;
            self.drop_client(ended);
        }
        while self.clients.staying() + new_connections > soft_limit {
            let Some(evicted) = self.clients.next_to_evict(self.now) else {
                self.metrics.eviction_failures += new_connections as u64;
                return;
            };
            self.metrics.clients_evicted += 1;
            if self.clients.entries[&evicted].decoder.is_empty() {
                self.close_idle_client(evicted);
            } else {
                self.refuse(evicted, RequestError::TooSlow, false);
            }
        }
    }

    pub(in super::super) fn check_client_ages(&mut self) {
        let now = self.now;
        let mut slow = Vec::new();
        let mut idle = Vec::new();
        for (id, client) in &self.clients.entries {
            if client.state != ClientState::Reading {
                continue;
            }
            let between_messages = client.decoder.is_empty() && client.messages_answered > 0;
            if !between_messages && now - client.since >= MESSAGE_TIMEOUT {
                slow.push(*id);
            } else if between_messages && now - client.since >= IDLE_TIMEOUT {
                idle.push(*id);
            }
        }
        for conn in slow {
            self.refuse(conn, RequestError::TooSlow, false);
        }
        for conn in idle {
            self.close_idle_client(conn);
        }
        if !self.shutdown.accepts_requests() {
            self.close_idle_clients(IDLE_CHECK_INTERVAL);
        }
        self.make_room_for_clients(0);
    }

    /// The host leaves: connections between messages are closed unless something was received on them. On a
    /// connection younger than `min_age` the first message is still on its way.
    pub(in super::super) fn close_idle_clients(&mut self, min_age: Span) {
        let now = self.now;
        let is_idle = |client: &Client| {
            client.state == ClientState::Reading
                && client.decoder.is_empty()
                && (client.messages_answered > 0 || now - client.since >= min_age)
        };
        let idle: Vec<_> = self
            .clients
            .entries
            .iter()
            .filter(|(_, client)| is_idle(client))
            .map(|(id, _)| *id)
            .collect();
        for conn in idle {
            self.close_idle_client(conn);
        }
    }

    /// Nothing more is accepted: idle connections are closed, and incomplete messages get a response.
    pub(in super::super) fn end_clients(&mut self) {
        self.close_idle_clients(Span::ZERO);
        let receiving = |client: &Client| client.state == ClientState::Reading && !client.closing;
        let receiving: Vec<_> = self
            .clients
            .entries
            .iter()
            .filter(|(_, client)| receiving(client))
            .map(|(id, _)| *id)
            .collect();
        for conn in receiving {
            self.refuse(conn, RequestError::ShuttingDown, false);
        }
    }

    fn close_idle_client(&mut self, conn: ConnectionId) {
        if let Some(client) = self
            .clients
            .entries
            .get_mut(&conn)
            .filter(|client| !client.closing)
        {
            client.closing = true;
            let seen = client.bytes_received;
            self.outputs.push(Output::CloseIdle { conn, seen });
        }
    }

    /// Its place is free at once: all of its responses are written.
    fn drop_client(&mut self, conn: ConnectionId) {
        if self.clients.remove(conn).is_some() {
            self.outputs.push(Output::Close { conn });
        }
    }
}
