//! The table of connections: each with the role of its other side, the bytes that wait for it, and the time
//! by which a response is due. The other files of this module open, use and close connections through the
//! methods here; nothing here reads a frame's content.

use super::Core;
use super::input_output::{LinkId, Output};
use super::peers::IncomingPeer;
use super::reconnect::ConnectionState;
use super::timers::TimerKind;
use gullsail_protocol::{Frame, Hello, Role};
use gullsail_scheduler_api::{HostId, Instant, NodeId};
use tracing::{debug, info};

/// How many connect timeouts the other side's first frame, or the endpoint list's reply, may take.
pub(super) const FIRST_FRAME_CONNECT_TIMES: f64 = 4.0;

/// One connection, whoever opened it.
pub(super) struct Link {
    pub(super) peer_kind: PeerKind,
    /// Bytes that were sent and are not written yet.
    pub(super) unsent: usize,
    /// Since when nothing of what waits was written.
    pub(super) no_progress_since: Instant,
    pub(super) reading: bool,
    pub(super) last_frame_at: Instant,
    /// By when it must be established, identify itself, or reply.
    pub(super) response_deadline: Option<Instant>,
}

/// Whose connection it is.
pub(super) enum PeerKind {
    /// It has not sent its first frame.
    Unidentified {
        /// Bytes that were sent to it.
        sent: usize,
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
}

impl Core {
    /// Enters a new connection.
    pub(super) fn open_link(&mut self, peer_kind: PeerKind) -> LinkId {
        self.last_link += 1;
        let link = Link {
            peer_kind,
            unsent: 0,
            no_progress_since: self.now,
            reading: true,
            last_frame_at: self.now,
            response_deadline: None,
        };
        self.links.insert(LinkId(self.last_link), link);
        LinkId(self.last_link)
    }

    /// Requests a connection. Nodes' addresses come from the endpoint list, all others from the
    /// configuration.
    pub(super) fn connect(&mut self, peer_kind: PeerKind, address: String) -> LinkId {
        let link = self.open_link(peer_kind);
        self.expect_response(link, 1.0);
        self.outputs.push(Output::Connect { link, address });
        link
    }

    /// A connection that this host requested is established: both sides introduce themselves.
    pub(super) fn connected(&mut self, id: LinkId) {
        let hello = self.hello();
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let connection = match link.peer_kind {
            PeerKind::Node(node) => self.nodes.get(node).map(|n| &mut n.connection),
            PeerKind::OutgoingPeer(host) => self.peers.get_mut(&host).map(|p| &mut p.connection),
            PeerKind::EndpointList => Some(&mut self.endpoint_list),
            _ => None,
        };
        if let Some(connection) = connection {
            connection.state = ConnectionState::Greeting(id);
            self.send(id, hello);
            self.expect_response(id, FIRST_FRAME_CONNECT_TIMES);
        }
    }

    /// From now on the other side has so many connect timeouts to respond.
    pub(super) fn expect_response(&mut self, id: LinkId, times: f64) {
        let by = self.now + self.deployment.bounds.connect.times(times);
        if let Some(link) = self.links.get_mut(&id) {
            link.response_deadline = Some(by);
            self.at(by, TimerKind::ResponseDeadline(id));
        }
    }

    /// The response came in time.
    pub(super) fn response_received(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.response_deadline = None;
        }
    }

    pub(super) fn on_response_deadline(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        if link.response_deadline.is_none_or(|by| by > self.now) {
            return;
        }
        let why = match link.peer_kind {
            PeerKind::Unidentified { .. } => "no first frame in time",
            PeerKind::EndpointList if self.poll_endpoints => "no reply in time",
            _ => "no connection or no first frame in time",
        };
        self.close_link(id, why);
    }

    /// This host's own first frame on each connection.
    pub(super) fn hello(&self) -> Frame {
        let name = self.deployment.hosts[self.me.0 as usize].name.clone();
        let age_us = (self.now - self.started_at).micros();
        let role = Role::Host as i32;
        Frame::from(Hello {
            role,
            name,
            incarnation: self.incarnation,
            age_us,
            shard_plus_one: 0,
        })
    }

    pub(super) fn send(&mut self, to: LinkId, frame: Frame) {
        self.send_by(to, frame, None);
    }

    /// Sends a frame that is of no use after `until`.
    pub(super) fn send_by(&mut self, to: LinkId, frame: Frame, until: Option<Instant>) {
        self.count_frame(to, &frame, true);
        let Some(link) = self.links.get_mut(&to) else {
            return;
        };
        if link.unsent == 0 {
            link.no_progress_since = self.now;
        }
        link.unsent += frame.len();
        self.unsent += frame.len();
        self.outputs.push(Output::Send {
            link: to,
            frame,
            until,
        });
    }

    pub(super) fn written(&mut self, id: LinkId, bytes: usize) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(link.unsent);
        link.unsent -= bytes;
        link.no_progress_since = self.now;
        self.unsent -= bytes;
        self.update_reading(id);
    }

    /// Closes a connection from here; what it was for is handled as after any other end.
    pub(super) fn close_link(&mut self, link: LinkId, why: &str) {
        if self.links.contains_key(&link) {
            self.outputs.push(Output::Close { link });
            self.link_ended(link, why);
        }
    }

    /// A connection ended, whoever closed it.
    pub(super) fn link_ended(&mut self, id: LinkId, why: &str) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        self.counts.links_broken += 1;
        self.unsent -= link.unsent;
        self.incoming_links -= usize::from(link.peer_kind.is_incoming());
        match link.peer_kind {
            PeerKind::Unidentified { .. } => {
                info!(
                    link = id.0,
                    why, "connection ended before it said whose it is"
                )
            }
            PeerKind::Client => self.client_link_ended(id, why),
            PeerKind::IncomingPeer(peer) => debug!(peer = peer.host.0, why, "peer gone"),
            PeerKind::OutgoingPeer(host) => self.outgoing_peer_ended(host, why),
            PeerKind::Node(node) => self.node_connection_lost(node, why),
            PeerKind::EndpointList => {
                self.endpoint_list.state = ConnectionState::Idle;
                self.poll_endpoints = false;
                self.endpoint_list_lost(why);
            }
        }
    }

    fn client_link_ended(&mut self, id: LinkId, why: &str) {
        let open = self.requests.of_link(id);
        info!(link = id.0, why, open = open.len(), "client gone");
        for request in open {
            self.client_left(request);
        }
    }

    fn outgoing_peer_ended(&mut self, host: HostId, why: &str) {
        debug!(peer = host.0, why, "no connection to peer");
        let redial = self.deployment.bounds.redial;
        if let Some(peer) = self.peers.get_mut(&host) {
            // What waits is stale by the next try, and a try is made only when there is something to send.
            peer.waiting.clear();
            let at = peer.connection.lost(self.now, redial, &mut self.rng);
            self.at(at, TimerKind::ReconnectPeer(host));
        }
    }
}
