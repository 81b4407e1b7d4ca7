//! Dispatches received frames by the role of their sender. A frame that its sender may not send closes the
//! sender's connection and affects nothing else. A frame of a kind that only a newer version defines is skipped.

use super::Core;
use super::clock::PeerClock;
use super::connection_table::RemoteKind;
use super::ids::ConnectionId;
use super::peer_state::IncomingPeer;
use bytes::Bytes;
use gullsail_protocol::{ClockReply, Frame, Hello, Message, Role};
use gullsail_scheduler_api::{HostId, NodeId, Span};
use std::collections::VecDeque;
use tracing::{debug, warn};

/// The sender of a frame: [`RemoteKind`] without the state of the connection.
#[derive(Clone, Copy)]
enum Sender {
    Unidentified,
    Client,
    IncomingPeer(HostId),
    OutgoingPeer(HostId),
    Node(NodeId),
    EndpointList,
}

impl From<&RemoteKind> for Sender {
    fn from(remote_kind: &RemoteKind) -> Sender {
        match remote_kind {
            RemoteKind::Unidentified { .. } => Sender::Unidentified,
            RemoteKind::Client => Sender::Client,
            RemoteKind::IncomingPeer(peer) => Sender::IncomingPeer(peer.host),
            RemoteKind::OutgoingPeer(host) => Sender::OutgoingPeer(*host),
            RemoteKind::Node(node) => Sender::Node(*node),
            RemoteKind::EndpointList => Sender::EndpointList,
        }
    }
}

/// A received frame without its message.
struct FrameContext {
    /// The connection on which the frame was received.
    id: ConnectionId,
    body: Bytes,
    /// Length of the frame, body included.
    frame_bytes: usize,
    /// The frame may have waited while the process was stalled. If it is a request, its timeout was shortened.
    timeout_shortened: bool,
}

impl Core {
    /// Handles a frame that may have waited for up to `waited` while the process was stalled. The client's timer ran
    /// during that wait, so the timeout of a request is shortened by it.
    pub(super) fn handle_delayed_frame(
        &mut self,
        id: ConnectionId,
        mut frame: Frame,
        waited: Span,
    ) {
        if let Message::Submit(submit) = &mut frame.message {
            submit.timeout_us = (Span::from_micros(submit.timeout_us) - waited).micros();
            self.counts.timeouts_shortened += 1;
        }
        self.handle_frame(id, frame, true);
    }

    /// Handles a frame. `timeout_shortened`: the frame may have waited while the process was stalled, and the
    /// caller has shortened the timeout if it is a request.
    pub(super) fn handle_frame(&mut self, id: ConnectionId, frame: Frame, timeout_shortened: bool) {
        let frame_bytes = frame.len();
        self.count_frame(id, &frame, false);
        let Some(connection) = self.connections.open.get_mut(&id) else {
            return;
        };
        connection.last_frame_at = self.now;
        if let Message::Newer { kind } = frame.message {
            debug!(
                connection = id.0,
                kind, "frame skipped: kind of a newer version"
            );
            return;
        }
        let sender = Sender::from(&connection.remote_kind);
        let context = FrameContext {
            id,
            body: frame.body,
            frame_bytes,
            timeout_shortened,
        };
        match sender {
            Sender::Unidentified => self.unidentified_frame(&context, frame.message),
            Sender::Client => self.client_frame(context, frame.message),
            Sender::IncomingPeer(host) => self.incoming_peer_frame(&context, host, frame.message),
            Sender::OutgoingPeer(host) => self.outgoing_peer_frame(&context, host, frame.message),
            Sender::Node(node) => self.node_frame(context, node, frame.message),
            Sender::EndpointList => self.endpoint_list_frame(&context, frame.message),
        }
    }

    fn unidentified_frame(&mut self, context: &FrameContext, message: Message) {
        match message {
            Message::Hello(hello) => self.identify_connection(context.id, &hello),
            other => self.unexpected_frame(context.id, &other),
        }
    }

    fn client_frame(&mut self, context: FrameContext, message: Message) {
        let id = context.id;
        match message {
            Message::Submit(submit) => {
                self.submit(id, submit, context.body, context.timeout_shortened);
            }
            Message::Withdraw(withdraw) => self.withdraw(id, withdraw.id),
            other => self.unexpected_frame(id, &other),
        }
    }

    fn incoming_peer_frame(&mut self, context: &FrameContext, host: HostId, message: Message) {
        let id = context.id;
        match message {
            Message::DemandReport(report) => self.demand_report(id, report.bytes),
            Message::ClockReply(reply) => self.clock_reply(id, reply),
            Message::Reached(reached) => self.peer_revision(host, reached),
            Message::FleetMessage(message) => self.fleet_message(host, message),
            other => self.unexpected_frame(id, &other),
        }
    }

    fn outgoing_peer_frame(&mut self, context: &FrameContext, host: HostId, message: Message) {
        let id = context.id;
        match message {
            Message::ClockQuery(query) => {
                let reply = ClockReply {
                    asked_us: query.asked_us,
                    clock_us: self.now.micros(),
                };
                self.send(id, Frame::from(reply));
            }
            Message::Hello(hello) => self.peer_hello(id, host, &hello),
            other => self.unexpected_frame(id, &other),
        }
    }

    fn node_frame(&mut self, context: FrameContext, node: NodeId, message: Message) {
        let id = context.id;
        match message {
            Message::Hello(hello) => self.node_hello(id, node, &hello),
            Message::AttemptAnswer(answer) => {
                self.attempt_answer(node, answer, context.body, context.frame_bytes);
            }
            Message::ProbeAnswer(_) => {}
            other => self.unexpected_frame(id, &other),
        }
    }

    fn endpoint_list_frame(&mut self, context: &FrameContext, message: Message) {
        let id = context.id;
        match message {
            Message::Hello(hello) => self.endpoint_list_hello(id, &hello),
            Message::EndpointListUpdate(update) => {
                self.connections.response_received(id);
                self.endpoint_list_update(update);
            }
            Message::EndpointListRefused(refused) => {
                self.connections.response_received(id);
                self.endpoint_list.query_outstanding = false;
                self.endpoint_list_lost(&refused.reason);
            }
            other => self.unexpected_frame(id, &other),
        }
    }

    /// Closes a connection on which the other side sent a frame that its role may not send.
    fn unexpected_frame(&mut self, id: ConnectionId, message: &Message) {
        let connection = self.connections.open.get(&id);
        let role = connection.map_or("", |connection| connection.remote_kind.role());
        warn!(
            connection = id.0,
            role,
            frame = message.name(),
            "connection closed: unexpected frame for role"
        );
        self.close_connection(id, "unexpected frame for role");
    }

    /// Handles the first frame on a connection that a client or a peer opened to this host.
    fn identify_connection(&mut self, id: ConnectionId, hello: &Hello) {
        match Role::try_from(hello.role) {
            Ok(Role::Client) => {
                self.set_remote_kind(id, RemoteKind::Client);
                self.update_reading(id);
                if self.shutdown.requested {
                    self.send_go_away(id);
                }
            }
            Ok(Role::Host) => self.identify_peer(id, hello),
            _ => self.close_connection(
                id,
                "unexpected role: only clients and hosts connect to a host",
            ),
        }
    }

    fn identify_peer(&mut self, id: ConnectionId, hello: &Hello) {
        let named = self.deployment.host(&hello.name);
        let Some(host) = named.filter(|host| *host != self.identity.host) else {
            return self.close_connection(id, "host name is not another host of the configuration");
        };
        let peer = IncomingPeer {
            host,
            clock: PeerClock::default(),
            waiting: VecDeque::new(),
            clock_offset_too_large: false,
        };
        let sent_bytes = self.set_remote_kind(id, RemoteKind::IncomingPeer(peer));
        self.count_peer_frame(host, sent_bytes);
        self.query_clock(id);
    }

    /// Records who is on the other side of a connection. Returns the bytes that were sent to it before it identified
    /// itself.
    fn set_remote_kind(&mut self, id: ConnectionId, remote_kind: RemoteKind) -> usize {
        let Some(connection) = self.connections.open.get_mut(&id) else {
            return 0;
        };
        connection.response_deadline = None;
        match std::mem::replace(&mut connection.remote_kind, remote_kind) {
            RemoteKind::Unidentified { sent_bytes } => sent_bytes,
            _ => 0,
        }
    }
}
