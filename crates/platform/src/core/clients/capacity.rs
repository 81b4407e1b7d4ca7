//! The number of client connections: accepts new ones, and closes those that are idle, slow or evicted for new ones.

use super::super::Core;
use super::super::context::IDLE_CHECK_INTERVAL;
use super::super::io::ConnectionId;
use super::super::request_error::RequestError;
use super::client::{ClientState, IDLE_TIMEOUT};
use gullsail_scheduler_api::{Instant, Span};

/// Longest time for receiving a message, from its first byte; for the first message of a connection, from the time of
/// connecting. The platform requires an error or a close within 3 s; the difference covers the interval of the check
/// and delays. The text of the 408 response states two seconds, so a client that keeps to it is never refused.
const MESSAGE_TIMEOUT: Span = Span::from_micros(2_200_000);

impl Core {
    /// Whether there is a slot for a new client. Without one, new clients wait in the listener's backlog.
    pub fn can_accept(&self) -> bool {
        self.clients.has_slot()
    }

    /// Adds the connection of a client that has connected, and evicts another one if the soft limit is exceeded.
    pub fn accept(&mut self, now: Instant) -> ConnectionId {
        self.context.advance_clock(now);
        self.context.metrics.connections_accepted += 1;
        self.evict_clients(1);
        let conn = self.context.next_connection_id();
        self.clients.insert(conn, self.context.now);
        self.context.schedule_idle_check();
        conn
    }

    /// Closes connections until the soft limit leaves room for `new_connections`. Only connections without an open
    /// request or an unwritten response are closed.
    fn evict_clients(&mut self, new_connections: usize) {
        while self.clients.exceeds_soft_limit(new_connections)
            && let Some(write_closed) = self.clients.oldest_write_closed()
        {
            self.context.metrics.clients_evicted += 1;
            self.clients
                .drop_connection(write_closed, &mut self.context);
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

    /// Refuses messages that were not complete in time, and closes connections that have been idle for too long.
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

    /// Ends client connections for the shutdown: closes idle ones, and refuses messages that are incomplete.
    pub(in super::super) fn end_clients(&mut self) {
        self.clients
            .close_idle_older_than(Span::ZERO, &mut self.context);
        let receiving: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| {
                client.state == ClientState::Reading && !client.idle_close_ordered
            })
            .map(|(conn, _)| conn)
            .collect();
        for conn in receiving {
            self.respond_invalid(conn, RequestError::ShuttingDown, false);
        }
    }
}
