//! Connections that clients and peers open to this host. Their number is limited; when the limit is reached, an idle
//! client is evicted.

use super::Core;
use super::connection_table::{
    Connection, HANDSHAKE_TIMEOUT_FACTOR, MAX_INCOMING_CONNECTIONS, RemoteKind,
};
use super::ids::ConnectionId;
use gullsail_scheduler_api::{Instant, Span};

/// Shortest time between two searches for an idle client: 100 ms. A search visits all connections, so with a shorter
/// interval a client that connects often could keep the host busy. With a longer one, more connections are refused
/// although an idle client could be evicted.
const IDLE_SEARCH_INTERVAL: Span = Span::from_micros(100_000);

impl Core {
    /// Adds a connection that the caller accepted. `None`: the limit is reached or the host shuts down, and the
    /// caller must drop the connection.
    pub fn accept(&mut self, now: Instant) -> Option<ConnectionId> {
        if self.shutdown.requested {
            self.counts.connections_refused += 1;
            return None;
        }
        self.accept_from_backlog(now)
    }

    /// Adds a connection that was in the listener's backlog when the host stopped listening. Its client may have sent
    /// a request, so it is served during the shutdown too. `None`: the limit is reached, and the caller must drop the
    /// connection.
    pub fn accept_from_backlog(&mut self, now: Instant) -> Option<ConnectionId> {
        self.now = self.now.max(now);
        if !self.has_room_for_incoming() {
            self.counts.connections_refused += 1;
            return None;
        }
        self.connections.incoming += 1;
        let hello = self.hello();
        let unidentified = RemoteKind::Unidentified {
            sent_bytes: hello.len(),
        };
        let link = self.connections.insert(unidentified, self.now);
        self.expect_response(link, HANDSHAKE_TIMEOUT_FACTOR);
        self.send(link, hello);
        Some(link)
    }

    /// Sets the most connections that others may have open, at least 1 and at most 20,000. The limit must
    /// be lower than the process's limit of file descriptors. Otherwise, when clients use all that they may, this host
    /// cannot connect to nodes, peers and the endpoint list, and the operator cannot connect to it.
    pub fn set_max_incoming_connections(&mut self, limit: usize) {
        self.connections.max_incoming = limit.clamp(1, MAX_INCOMING_CONNECTIONS);
    }

    /// Whether one more connection may be accepted. Evicts an idle client if the limit is reached.
    fn has_room_for_incoming(&mut self) -> bool {
        self.connections.incoming < self.connections.max_incoming || self.evict_idle_client()
    }

    /// Closes the connection of the client that has been idle longest, if that is longer than `client-stall`. Returns
    /// whether one was closed.
    fn evict_idle_client(&mut self) -> bool {
        if self.now < self.connections.next_idle_search {
            return false;
        }
        self.connections.next_idle_search = self.now + IDLE_SEARCH_INTERVAL;
        let is_idle = |id: ConnectionId, connection: &Connection| {
            matches!(connection.remote_kind, RemoteKind::Client)
                && connection.unsent_bytes == 0
                && !self.requests.has_open(id)
        };
        let connections = self.connections.open.iter();
        let idle = connections.filter(|(id, connection)| is_idle(**id, connection));
        let Some((&id, longest_idle)) = idle.min_by_key(|(_, connection)| connection.last_frame_at)
        else {
            return false;
        };
        if self.now - longest_idle.last_frame_at <= self.deployment.bounds.client_stall {
            return false;
        }
        self.close_connection(id, "evicted: idle, connection limit reached");
        true
    }
}
