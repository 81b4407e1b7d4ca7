//! The table of connections. Each entry has the role of its other side, the bytes that wait for it, and the
//! time by which a response is due. The other files of this module open, use and close connections through
//! the methods here. Nothing here reads a frame's content.

use super::Core;
use super::identity::Identity;
use super::ids::LinkId;
use super::input_output::Output;
use super::peer_state::IncomingPeer;
use super::reconnect::{ConnectionState, OutboundConnection};
use super::timer_kind::TimerKind;
use gullsail_protocol::{Frame, Hello, Role};
use gullsail_scheduler_api::{HostId, Instant, NodeId};
use std::collections::BTreeMap;
use tracing::{debug, info};

/// How many connect timeouts the other side's first frame, or the endpoint list's reply, may take. These wait for a
/// program to act, not only for the network.
pub(super) const HANDSHAKE_TIMEOUT_FACTOR: f64 = 4.0;

/// The most connections that others may open, where the caller sets no lower number. It bounds the memory
/// that connections without a request hold; above it, an idle client is evicted or the connection is refused.
pub(super) const MAX_INCOMING_CONNECTIONS: usize = 20_000;

/// One connection, whoever opened it.
pub(super) struct Connection {
    pub(super) peer_kind: PeerKind,
    /// Bytes that were sent and are not written yet.
    pub(super) unsent_bytes: usize,
    /// When bytes were last written, or when the first unsent bytes were queued.
    pub(super) no_progress_since: Instant,
    pub(super) reading: bool,
    pub(super) last_frame_at: Instant,
    /// The time by which it must be established, identify itself, or reply.
    pub(super) response_deadline: Option<Instant>,
}

/// Whose connection it is.
pub(super) enum PeerKind {
    /// It has not sent its first frame.
    Unidentified {
        /// Bytes that were sent to it.
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

impl PeerKind {
    /// Whether the other side opened the connection.
    fn is_incoming(&self) -> bool {
        matches!(
            self,
            PeerKind::Unidentified { .. } | PeerKind::Client | PeerKind::IncomingPeer(_)
        )
    }

    /// The role of the other side, for the log.
    pub(super) fn role(&self) -> &'static str {
        match self {
            PeerKind::Unidentified { .. } => "unidentified",
            PeerKind::Client => "client",
            PeerKind::IncomingPeer(_) | PeerKind::OutgoingPeer(_) => "peer",
            PeerKind::Node(_) => "node",
            PeerKind::EndpointList => "endpoint list",
        }
    }
}

/// All connections of this host.
pub(super) struct ConnectionTable {
    pub(super) open: BTreeMap<LinkId, Connection>,
    last_id: u64,
    /// Bytes that wait to be written, over all connections.
    pub(super) unsent_bytes: usize,
    /// How many connections others opened.
    pub(super) incoming: usize,
    /// How many connections others may open.
    pub(super) max_incoming: usize,
    /// When an idle client may be searched for again.
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

    /// Adds a connection.
    pub(super) fn insert(&mut self, peer_kind: PeerKind, now: Instant) -> LinkId {
        self.last_id += 1;
        let id = LinkId(self.last_id);
        let connection = Connection {
            peer_kind,
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
    fn remove(&mut self, id: LinkId) -> Option<Connection> {
        let connection = self.open.remove(&id)?;
        self.unsent_bytes -= connection.unsent_bytes;
        self.incoming -= usize::from(connection.peer_kind.is_incoming());
        Some(connection)
    }

    /// Counts bytes that are to be written. Returns whether the connection is open.
    fn queued(&mut self, id: LinkId, bytes: usize, now: Instant) -> bool {
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

    /// Counts bytes that were written. Returns whether the connection is open.
    fn written(&mut self, id: LinkId, bytes: usize, now: Instant) -> bool {
        let Some(connection) = self.open.get_mut(&id) else {
            return false;
        };
        let bytes = bytes.min(connection.unsent_bytes);
        connection.unsent_bytes -= bytes;
        connection.no_progress_since = now;
        self.unsent_bytes -= bytes;
        true
    }

    /// The response that was due arrived in time.
    pub(super) fn response_received(&mut self, id: LinkId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.response_deadline = None;
        }
    }

    /// Clients' connections, in the order of their ids.
    pub(super) fn clients(&self) -> Vec<LinkId> {
        self.ids_where(|connection| matches!(connection.peer_kind, PeerKind::Client))
    }

    /// The connections that fulfil the condition, in the order of their ids.
    pub(super) fn ids_where(&self, condition: impl Fn(&Connection) -> bool) -> Vec<LinkId> {
        let matching = self
            .open
            .iter()
            .filter(|(_, connection)| condition(connection));
        matching.map(|(id, _)| *id).collect()
    }
}

impl Core {
    /// Requests a connection. Nodes' addresses come from the endpoint list, all others from the
    /// configuration.
    pub(super) fn connect(&mut self, peer_kind: PeerKind, address: String) -> LinkId {
        let link = self.connections.insert(peer_kind, self.now);
        self.expect_response(link, 1.0);
        self.outputs.push(Output::Connect { link, address });
        link
    }

    /// A connection that this host requested is established: both sides introduce themselves.
    pub(super) fn connected(&mut self, id: LinkId) {
        let hello = self.hello();
        if let Some(outbound) = self.outbound_connection(id) {
            outbound.state = ConnectionState::Greeting(id);
            self.send(id, hello);
            self.expect_response(id, HANDSHAKE_TIMEOUT_FACTOR);
        }
    }

    /// The record of a connection that this host requested.
    fn outbound_connection(&mut self, id: LinkId) -> Option<&mut OutboundConnection> {
        match self.connections.open.get(&id)?.peer_kind {
            PeerKind::Node(node) => Some(&mut self.nodes.get(node)?.connection),
            PeerKind::OutgoingPeer(host) => Some(&mut self.peers.get_mut(&host)?.connection),
            PeerKind::EndpointList => Some(&mut self.endpoint_list.connection),
            PeerKind::Unidentified { .. } | PeerKind::Client | PeerKind::IncomingPeer(_) => None,
        }
    }

    /// From now on the other side has this many connect timeouts to respond.
    pub(super) fn expect_response(&mut self, id: LinkId, connect_timeouts: f64) {
        let deadline = self.now + self.deployment.bounds.connect.times(connect_timeouts);
        if let Some(connection) = self.connections.open.get_mut(&id) {
            connection.response_deadline = Some(deadline);
            self.set_timer(deadline, TimerKind::ResponseDeadline(id));
        }
    }

    pub(super) fn on_response_deadline(&mut self, id: LinkId) {
        let Some(connection) = self.connections.open.get(&id) else {
            return;
        };
        let deadline = connection.response_deadline;
        if deadline.is_none_or(|deadline| deadline > self.now) {
            return;
        }
        let reason = match connection.peer_kind {
            PeerKind::Unidentified { .. } => "no first frame before the timeout",
            PeerKind::EndpointList if self.endpoint_list.query_outstanding => {
                "no reply before the timeout"
            }
            _ => "no connection or no first frame before the timeout",
        };
        self.close_connection(id, reason);
    }

    /// This host's own first frame on each connection.
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

    pub(super) fn send(&mut self, to: LinkId, frame: Frame) {
        self.send_by(to, frame, None);
    }

    /// Sends a frame that is of no use after `until`.
    pub(super) fn send_by(&mut self, to: LinkId, frame: Frame, until: Option<Instant>) {
        self.count_frame(to, &frame, true);
        if self.connections.queued(to, frame.len(), self.now) {
            self.outputs.push(Output::Send {
                link: to,
                frame,
                until,
            });
        }
    }

    /// Bytes of what was sent are written, so the client may be read from again.
    pub(super) fn written(&mut self, id: LinkId, bytes: usize) {
        if self.connections.written(id, bytes, self.now) {
            self.update_reading(id);
        }
    }

    /// Closes a connection. What it was for is handled as after any other end.
    pub(super) fn close_connection(&mut self, link: LinkId, reason: &str) {
        if self.connections.open.contains_key(&link) {
            self.outputs.push(Output::Close { link });
            self.connection_ended(link, reason);
        }
    }

    /// A connection ended, whoever closed it.
    pub(super) fn connection_ended(&mut self, id: LinkId, reason: &str) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.counts.connections_closed += 1;
        match connection.peer_kind {
            PeerKind::Unidentified { .. } => info!(
                connection = id.0,
                reason, "connection closed before identification"
            ),
            PeerKind::Client => self.client_connection_ended(id, reason),
            PeerKind::IncomingPeer(peer) => {
                debug!(peer = peer.host.0, reason, "peer connection closed");
            }
            PeerKind::OutgoingPeer(host) => self.outgoing_peer_ended(host, reason),
            PeerKind::Node(node) => self.node_connection_lost(node, reason),
            PeerKind::EndpointList => {
                self.endpoint_list.connection.state = ConnectionState::Idle;
                self.endpoint_list.query_outstanding = false;
                self.endpoint_list_lost(reason);
            }
        }
    }

    fn client_connection_ended(&mut self, id: LinkId, reason: &str) {
        let open = self.requests.of_link(id);
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
            // These frames are stale by the next attempt to connect, which is made only when there is
            // something to send.
            peer.waiting.clear();
            let at = peer.connection.lost(self.now, backoff, &mut self.rng);
            self.set_timer(at, TimerKind::ReconnectPeer(host));
        }
    }
}
