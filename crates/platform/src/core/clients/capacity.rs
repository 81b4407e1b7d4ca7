//! How many connections of clients there are: accepting, and closing those that are idle, slow or evicted in favour
//! of new ones.

use super::super::Core;
use super::super::context::IDLE_CHECK_INTERVAL;
use super::super::io::ConnectionId;
use super::super::request_error::RequestError;
use super::client::{ClientState, IDLE_TIMEOUT};
use gullsail_scheduler_api::{Instant, Span};

/// A message has to be complete this long after its first byte, the first one after connecting. The platform
/// demands an error or a close within 3 s; the difference is for the interval of the check and for delays. The text
/// of the 408 response names two seconds, which a client that keeps to it is never refused for.
const MESSAGE_TIMEOUT: Span = Span::from_micros(2_200_000);

impl Core {
    /// Whether a client that connects gets a slot. Otherwise it waits in the listener's backlog, which loses
    /// nothing.
    pub fn can_accept(&self) -> bool {
        self.clients.has_slot()
    }

    /// A client has connected.
    pub fn accept(&mut self, now: Instant) -> ConnectionId {
        self.context.advance_clock(now);
        self.context.metrics.connections_accepted += 1;
        self.evict_clients(1);
        let conn = self.context.next_connection_id();
        self.clients.insert(conn, self.context.now);
        self.context.schedule_idle_check();
        conn
    }

    /// Closes connections in favour of so many new ones. Nothing that was read or answered on them is lost.
    fn evict_clients(&mut self, new_connections: usize) {
        while self.clients.exceeds_soft_limit(new_connections)
            && let Some(ended) = self.clients.oldest_write_closed()
        {
            self.context.metrics.clients_evicted += 1;
            self.clients.drop_connection(ended, &mut self.context);
        }
        while self.clients.must_evict(new_connections) {
            let Some(evicted) = self.clients.next_to_evict(self.context.now) else {
                self.context.metrics.connection_limit_reached += new_connections as u64;
                return;
            };
            self.context.metrics.clients_evicted += 1;
            let has_input = self
                .clients
                .get(evicted)
                .is_some_and(|client| !client.decoder.is_empty());
            if has_input {
                self.respond_invalid(evicted, RequestError::TooSlow, false);
            } else {
                self.clients.close_idle(evicted, &mut self.context);
            }
        }
    }

    pub(in super::super) fn check_client_ages(&mut self) {
        let now = self.context.now;
        let mut slow = Vec::new();
        let mut idle = Vec::new();
        for (conn, client) in self.clients.iter() {
            if client.state != ClientState::Reading {
                continue;
            }
            let between_messages = client.is_between_messages();
            if !between_messages && now - client.since >= MESSAGE_TIMEOUT {
                slow.push(conn);
            } else if between_messages && now - client.since >= IDLE_TIMEOUT {
                idle.push(conn);
            }
        }
        for conn in slow {
            self.respond_invalid(conn, RequestError::TooSlow, false);
        }
        for conn in idle {
            self.clients.close_idle(conn, &mut self.context);
        }
        if !self.shutdown.accepts_requests() {
            self.clients
                .close_idle_older_than(IDLE_CHECK_INTERVAL, &mut self.context);
        }
        self.evict_clients(0);
    }

    /// Nothing more is accepted: idle connections are closed, and incomplete messages get a response.
    pub(in super::super) fn end_clients(&mut self) {
        self.clients
            .close_idle_older_than(Span::ZERO, &mut self.context);
        let receiving: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| client.state == ClientState::Reading && !client.closing)
            .map(|(conn, _)| conn)
            .collect();
        for conn in receiving {
            self.respond_invalid(conn, RequestError::ShuttingDown, false);
        }
    }
}
