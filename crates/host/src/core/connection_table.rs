//! The table of connections. Each entry has the role of the other side, the number of unsent bytes, and the
//! time by which a response is due. The other files of this module open, use and close connections through
//! the methods here. Nothing here reads a frame's content.

use super::Core;
use super::identity::Identity;
use super::ids::ConnectionId;
use super::input_output::Output;
use super::peer_state::IncomingPeer;
use super::reconnect::{ConnectionState, OutboundConnection};
use super::timer_kind::TimerKind;
use gullsail_protocol::{Frame, Hello, Role};
use gullsail_scheduler_api::{HostId, Instant, NodeId};
use std::collections::BTreeMap;
use tracing::{debug, info};

/// Timeout of the other side's first frame and of the endpoint list's reply, in connect timeouts. It is longer than
/// the connect timeout, since the other program must act and not only the network.
pub(super) const HANDSHAKE_TIMEOUT_FACTOR: f64 = 4.0;

/// The most connections that others may have open to this host, if the caller sets no lower number. It bounds the
/// memory of connections without a request. Above it, an idle client is evicted or the connection is refused.
pub(super) const MAX_INCOMING_CONNECTIONS: usize = 20_000;

/// One connection, whoever opened it.
pub(super) struct Connection {
    pub(super) remote_kind: RemoteKind,
    /// Bytes that were queued for the connection and are not written to its socket yet.
    pub(super) unsent_bytes: usize,
    /// When bytes were last written, or when the first unsent bytes were queued.
    pub(super) no_progress_since: Instant,
    /// Whether the caller reads from the connection.
    pub(super) reading: bool,
    /// When the last frame was received, or when the connection was added if there was none.
    pub(super) last_frame_at: Instant,
    /// The time by which the connection must be established, or the other side must identify itself or reply;
    /// `None`: no response is due.
    pub(super) response_deadline: Option<Instant>,
}

/// Who is on the other side of a connection.
pub(super) enum RemoteKind {
    /// The other side opened the connection and has not sent its first frame.
    Unidentified {
        /// Length of this host's first frame. It is counted as traffic once the zone of the other side is known.
        sent_bytes: usize,
    },
    Client,
    /// A peer host that opened the connection.
    IncomingPeer(IncomingPeer),
    /// A peer host that this host connected to.
    OutgoingPeer(HostId),
    Node(NodeId),
    EndpointList,
}

impl RemoteKind {
    /// Whether the other side opened the connection.
    fn is_incoming(&self) -> bool {
        matches!(
            self,
            RemoteKind::Unidentified { .. } | RemoteKind::Client | RemoteKind::IncomingPeer(_)
        )
    }

    /// Returns the role of the other side, for the log.
    pub(super) fn role(&self) -> &'static str {
        match self {
            RemoteKind::Unidentified { .. } => "unidentified",
            RemoteKind::Client => "client",
            RemoteKind::IncomingPeer(_) | RemoteKind::OutgoingPeer(_) => "peer",
            RemoteKind::Node(_) => "node",
            RemoteKind::EndpointList => "endpoint list",
        }
    }
}

/// All connections of this host.
pub(super) struct ConnectionTable {
    pub(super) open: BTreeMap<ConnectionId, Connection>,
    last_id: u64,
    /// Sum of [`Connection::unsent_bytes`] over all connections.
    pub(super) unsent_bytes: usize,
    /// Number of open connections that others opened.
    pub(super) incoming: usize,
    /// The most connections that others may have open.
    pub(super) max_incoming: usize,
    /// The earliest time of the next search for an idle client to evict.
    pub(super) next_idle_search: Instant,
}

impl ConnectionTable {
    pub(super) fn new(now: Instant) -> ConnectionTable {
        ConnectionTable {
            open: BTreeMap::new(),
            last_id: 0,
            unsent_bytes: 0,
            incoming: 0,
            max_incoming: MAX_INCOMING_CONNECTIONS,
            next_idle_search: now,
        }
    }

    /// Adds a connection and gives it an id.
    pub(super) fn insert(&mut self, remote_kind: RemoteKind, now: Instant) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection {
            remote_kind,
            unsent_bytes: 0,
            no_progress_since: now,
            reading: true,
            last_frame_at: now,
            response_deadline: None,
        };
        self.open.insert(id, connection);
        id
    }

    /// Removes a connection that ended.
    fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.open.remove(&id)?;
        self.unsent_bytes -= connection.unsent_bytes;
        self.incoming -= usize::from(connection.remote_kind.is_incoming());
        Some(connection)
    }

    /// Adds bytes that were queued to the unsent bytes. Returns whether the connection is open.
    fn queued(&mut self, id: ConnectionId, bytes: usize, now: Instant) -> bool {
        let Some(connection) = self.open.get_mut(&id) else {
            return false;
        };
        if connection.unsent_bytes == 0 {
            connection.no_progress_since = now;
        }
        connection.unsent_bytes += bytes;
        self.unsent_bytes += bytes;
        true
    }

    /// Subtracts bytes that were written from the unsent bytes. Returns whether the connection is open.
    fn written(&mut self, id: ConnectionId, bytes: usize, now: Instant) -> bool {
        let Some(connection) = self.open.get_mut(&id) else {
            return false;
        };
        let bytes = bytes.min(connection.unsent_bytes);
        connection.unsent_bytes -= bytes;
        connection.no_progress_since = now;
        self.unsent_bytes -= bytes;
        true
    }

    /// Clears the response deadline of a connection whose other side has responded.
    pub(super) fn response_received(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.response_deadline = None;
        }
    }

    /// Returns the connections of clients, in the order of their ids.
    pub(super) fn clients(&self) -> Vec<ConnectionId> {
        self.ids_where(|connection| matches!(connection.remote_kind, RemoteKind::Client))
    }

    /// Returns the connections that fulfil the condition, in the order of their ids.
    pub(super) fn ids_where(&self, condition: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let matching = self
            .open
            .iter()
            .filter(|(_, connection)| condition(connection));
        matching.map(|(id, _)| *id).collect()
    }
}

impl Core {
    /// Requests that the caller opens a connection. The address of a node comes from its record, all others from the
    /// configuration.
    pub(super) fn connect(&mut self, remote_kind: RemoteKind, address: String) -> ConnectionId {
        let link = self.connections.insert(remote_kind, self.now);
        self.expect_response(link, 1.0);
        self.outputs.push(Output::Connect { link, address });
        link
    }

    /// Handles a connection that this host requested and that is now established: sends this host's first frame and
    /// expects the other side's.
    pub(super) fn connected(&mut self, id: ConnectionId) {
        let hello = self.hello();
        if let Some(outbound) = self.outbound_connection(id) {
            outbound.state = ConnectionState::Identifying(id);
            self.send(id, hello);
            self.expect_response(id, HANDSHAKE_TIMEOUT_FACTOR);
        }
    }

    /// Returns the state of a connection that this host requested; `None`: the other side opened it, or the peer or
    /// node is not known any more.
    fn outbound_connection(&mut self, id: ConnectionId) -> Option<&mut OutboundConnection> {
        match self.connections.open.get(&id)?.remote_kind {
            RemoteKind::Node(node) => Some(&mut self.nodes.get(node)?.connection),
            RemoteKind::OutgoingPeer(host) => Some(&mut self.peers.get_mut(&host)?.connection),
            RemoteKind::EndpointList => Some(&mut self.endpoint_list.connection),
            RemoteKind::Unidentified { .. } | RemoteKind::Client | RemoteKind::IncomingPeer(_) => {
                None
            }
        }
    }

    /// Sets the response deadline of a connection to this many connect timeouts from now.
    pub(super) fn expect_response(&mut self, id: ConnectionId, connect_timeouts: f64) {
        let deadline = self.now + self.deployment.bounds.connect.times(connect_timeouts);
        if let Some(connection) = self.connections.open.get_mut(&id) {
            connection.response_deadline = Some(deadline);
            self.set_timer(deadline, TimerKind::ResponseDeadline(id));
        }
    }

    pub(super) fn on_response_deadline(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.open.get(&id) else {
            return;
        };
        let deadline = connection.response_deadline;
        if deadline.is_none_or(|deadline| deadline > self.now) {
            return;
        }
        let reason = match connection.remote_kind {
            RemoteKind::Unidentified { .. } => "no first frame before the timeout",
            RemoteKind::EndpointList if self.endpoint_list.query_outstanding => {
                "no reply before the timeout"
            }
            _ => "no connection or no first frame before the timeout",
        };
        self.close_connection(id, reason);
    }

    /// Returns the frame with which this host identifies itself on each connection.
    pub(super) fn hello(&self) -> Frame {
        let Identity {
            host,
            incarnation,
            started_at,
        } = self.identity;
        Frame::from(Hello {
            role: Role::Host as i32,
            name: self.deployment.hosts[host.0 as usize].name.clone(),
            incarnation,
            age_us: (self.now - started_at).micros(),
            shard_plus_one: 0,
        })
    }

    pub(super) fn send(&mut self, to: ConnectionId, frame: Frame) {
        self.send_by(to, frame, None);
    }

    /// Sends a frame that the caller may drop after `until`, since it is of no use then; `None`: it is always of use.
    pub(super) fn send_by(&mut self, to: ConnectionId, frame: Frame, until: Option<Instant>) {
        self.count_frame(to, &frame, true);
        if self.connections.queued(to, frame.len(), self.now) {
            self.outputs.push(Output::Send {
                link: to,
                frame,
                until,
            });
        }
    }

    /// Handles bytes that were written to a connection. A client may be read from again after that.
    pub(super) fn written(&mut self, id: ConnectionId, bytes: usize) {
        if self.connections.written(id, bytes, self.now) {
            self.update_reading(id);
        }
    }

    /// Closes a connection, and handles its end as if the other side had closed it.
    pub(super) fn close_connection(&mut self, link: ConnectionId, reason: &str) {
        if self.connections.open.contains_key(&link) {
            self.outputs.push(Output::Close { link });
            self.connection_ended(link, reason);
        }
    }

    /// Removes a connection that ended, whoever closed it, and handles the end by the kind of the other side.
    pub(super) fn connection_ended(&mut self, id: ConnectionId, reason: &str) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.counts.connections_closed += 1;
        match connection.remote_kind {
            RemoteKind::Unidentified { .. } => info!(
                connection = id.0,
                reason, "connection closed before identification"
            ),
            RemoteKind::Client => self.client_connection_ended(id, reason),
            RemoteKind::IncomingPeer(peer) => {
                debug!(peer = peer.host.0, reason, "peer connection closed");
            }
            RemoteKind::OutgoingPeer(host) => self.outgoing_peer_ended(host, reason),
            RemoteKind::Node(node) => self.node_connection_lost(node, reason),
            RemoteKind::EndpointList => {
                self.endpoint_list.connection.state = ConnectionState::Idle;
                self.endpoint_list.query_outstanding = false;
                self.endpoint_list_lost(reason);
            }
        }
    }

    fn client_connection_ended(&mut self, id: ConnectionId, reason: &str) {
        let open = self.requests.of_client(id);
        info!(
            connection = id.0,
            reason,
            open_requests = open.len(),
            "client connection closed"
        );
        for request in open {
            self.client_left(request);
        }
    }

    fn outgoing_peer_ended(&mut self, host: HostId, reason: &str) {
        debug!(peer = host.0, reason, "peer connection lost");
        let backoff = self.deployment.bounds.redial;
        if let Some(peer) = self.peers.get_mut(&host) {
            // These frames would be stale at the next attempt to connect, which is made only when there is another
            // frame to send.
            peer.waiting.clear();
            let at = peer.connection.lost(self.now, backoff, &mut self.rng);
            self.set_timer(at, TimerKind::ReconnectPeer(host));
        }
    }
}
