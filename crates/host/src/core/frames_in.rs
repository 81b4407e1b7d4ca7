//! Frames that come in, dispatched by the role of their sender. A frame that its sender may not send ends
//! that connection and nothing else; a frame of a newer version is skipped.

use super::Core;
use super::clock::PeerClock;
use super::connection_table::PeerKind;
use super::input_output::LinkId;
use super::peers::IncomingPeer;
use gullsail_protocol::{ClockReply, Frame, Hello, Message, Role};
use gullsail_scheduler_api::Span;
use std::collections::VecDeque;
use tracing::{debug, warn};

impl Core {
    /// A frame that may have waited while the process stood still. The client's timeout has run on since it
    /// sent this; what has too little left is refused.
    pub(super) fn handle_delayed_frame(&mut self, id: LinkId, mut frame: Frame, waited: Span) {
        if let Message::Submit(submit) = &mut frame.message {
            submit.timeout_us = (Span::from_micros(submit.timeout_us) - waited).micros();
            self.counts.aged += 1;
        }
        self.handle_frame(id, frame, true);
    }

    /// `aged`: it may have waited while the process stood still.
    pub(super) fn handle_frame(&mut self, id: LinkId, frame: Frame, aged: bool) {
        let (name, bytes) = (frame.message.name(), frame.len());
        self.count_frame(id, &frame, false);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.last_frame_at = self.now;
        match (&link.peer_kind, frame.message) {
            (_, Message::Newer { kind }) => {
                debug!(link = id.0, kind, "kind of a newer version: skipped")
            }
            (PeerKind::Unidentified { .. }, Message::Hello(hello)) => self.identify_link(id, hello),
            (PeerKind::Client, Message::Submit(s)) => self.submit(id, s, frame.body, aged),
            (PeerKind::Client, Message::Withdraw(w)) => self.withdraw(id, w.id),
            (PeerKind::IncomingPeer(_), Message::DemandReport(l)) => {
                self.demand_report(id, l.bytes)
            }
            (PeerKind::IncomingPeer(_), Message::ClockReply(t)) => self.clock_reply(id, t),
            (PeerKind::IncomingPeer(peer), Message::Reached(r)) => {
                let host = peer.host;
                self.peer_revision(host, r);
            }
            (PeerKind::IncomingPeer(peer), Message::FleetMessage(message)) => {
                let host = peer.host;
                self.fleet_message(host, message);
            }
            (PeerKind::OutgoingPeer(_), Message::ClockQuery(a)) => {
                let clock_us = self.now.micros();
                self.send(
                    id,
                    Frame::from(ClockReply {
                        asked_us: a.asked_us,
                        clock_us,
                    }),
                );
            }
            (PeerKind::OutgoingPeer(host), Message::Hello(hello)) => {
                let host = *host;
                self.peer_hello(id, host, hello);
            }
            (PeerKind::Node(node), Message::Hello(hello)) => {
                let node = *node;
                self.node_hello(id, node, hello);
            }
            (PeerKind::Node(node), Message::AttemptAnswer(a)) => {
                let node = *node;
                self.attempt_answer(node, a, frame.body, bytes);
            }
            (PeerKind::Node(_), Message::ProbeAnswer(_)) => {}
            (PeerKind::EndpointList, Message::Hello(hello)) => self.endpoint_list_hello(id, &hello),
            (PeerKind::EndpointList, Message::EndpointListUpdate(update)) => {
                self.response_received(id);
                self.endpoint_list_update(update);
            }
            (PeerKind::EndpointList, Message::EndpointListRefused(r)) => {
                self.response_received(id);
                self.poll_endpoints = false;
                self.endpoint_list_lost(&r.reason);
            }
            _ => {
                warn!(
                    link = id.0,
                    frame = name,
                    "a frame that this side may not send: link ended"
                );
                self.close_link(id, "a frame that this side may not send");
            }
        }
    }

    /// The first frame of a connection that somebody opened to this host.
    fn identify_link(&mut self, id: LinkId, hello: Hello) {
        let peer_kind = match Role::try_from(hello.role) {
            Ok(Role::Client) => PeerKind::Client,
            Ok(Role::Host) => match self.deployment.host(&hello.name).filter(|h| *h != self.me) {
                Some(host) => {
                    let clock = PeerClock::default();
                    PeerKind::IncomingPeer(IncomingPeer {
                        host,
                        clock,
                        waiting: VecDeque::new(),
                        too_far: false,
                    })
                }
                None => {
                    return self
                        .close_link(id, "calls itself a host that the document does not know");
                }
            },
            _ => return self.close_link(id, "only clients and hosts connect to a host"),
        };
        let peer = if let PeerKind::IncomingPeer(peer) = &peer_kind {
            Some(peer.host)
        } else {
            None
        };
        let mut sent = 0;
        if let Some(link) = self.links.get_mut(&id) {
            if let PeerKind::Unidentified { sent: bytes } = link.peer_kind {
                sent = bytes;
            }
            link.peer_kind = peer_kind;
            link.response_deadline = None;
        }
        if let Some(host) = peer {
            self.count_peer_frame(host, sent);
            self.query_clock(id);
        } else {
            self.update_reading(id);
        }
    }
}
