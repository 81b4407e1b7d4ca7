//! Peer hosts: the connection to each, frames that wait for it, and what is known of its clock. Demand
//! reports of a peer are handed to the scheduler only once its clock is known.

use super::Core;
use super::clock::{Learned, PeerClock};
use super::connection_table::PeerKind;
use super::input_output::LinkId;
use super::reconnect::{ConnectionState, OutboundConnection};
use gullsail_protocol::{ClockQuery, ClockReply, DemandReport, Frame, Hello, Role};
use gullsail_scheduler_api::{Event, HostId, Instant, demand_report};
use std::collections::VecDeque;
use tracing::{info, warn};

/// Frames that wait for a connection, or demand reports that wait for a clock: they count for a tenth of a
/// second only.
const MAX_WAITING_FRAMES: usize = 8;

/// A peer that opened a connection to this host, and what is known of its clock.
pub(super) struct IncomingPeer {
    pub(super) host: HostId,
    pub(super) clock: PeerClock,
    /// Demand reports that wait until something is known of the clock.
    pub(super) waiting: VecDeque<Vec<u8>>,
    /// Its clock is too far from ours.
    pub(super) too_far: bool,
}

impl IncomingPeer {
    fn log_clock(&self, learned: &Learned, was_too_far: bool, now: Instant) {
        let bounds = self.clock.bounds(now).unwrap_or_default();
        let (peer, least, most) = (self.host.0, bounds.least.millis(), bounds.most.millis());
        match learned {
            Learned::First => info!(
                peer,
                ahead_ms_least = least,
                ahead_ms_most = most,
                "clock of peer"
            ),
            Learned::Stepped => {
                warn!(
                    peer,
                    ahead_ms_least = least,
                    ahead_ms_most = most,
                    "clock of peer was set"
                )
            }
            Learned::Narrowed | Learned::Nothing => {}
        }
        if self.too_far && !was_too_far {
            warn!(
                peer,
                ahead_ms_least = least,
                ahead_ms_most = most,
                "clock of peer too far off: labels dropped"
            );
        }
    }
}

/// The connection that this host keeps to a peer.
#[derive(Default)]
pub(super) struct OutgoingPeer {
    pub(super) connection: OutboundConnection,
    /// Frames that wait for the connection.
    pub(super) waiting: VecDeque<Frame>,
}

impl Core {
    pub(super) fn send_demand_report(&mut self, to: HostId, bytes: Vec<u8>) {
        self.counts.demand_reports_sent += 1;
        self.send_to_peer(to, Frame::from(DemandReport { bytes }));
    }

    pub(super) fn send_to_peer(&mut self, to: HostId, frame: Frame) {
        let Some(place) = self.deployment.hosts.get(to.0 as usize) else {
            return;
        };
        let peer = self.peers.entry(to).or_default();
        if let Some(link) = peer.connection.up() {
            return self.send(link, frame);
        }
        // The newest count: what waits longer than the next try takes is stale.
        if peer.waiting.len() >= MAX_WAITING_FRAMES {
            peer.waiting.pop_front();
        }
        peer.waiting.push_back(frame);
        if peer.connection.state == ConnectionState::Idle {
            let address = place.address.clone();
            let link = self.connect(PeerKind::OutgoingPeer(to), address);
            self.peers.entry(to).or_default().connection.state = ConnectionState::Connecting(link);
        }
    }

    pub(super) fn query_clock(&mut self, link: LinkId) {
        self.send(
            link,
            Frame::from(ClockQuery {
                asked_us: self.now.micros(),
            }),
        );
    }

    pub(super) fn peer_hello(&mut self, id: LinkId, host: HostId, hello: Hello) {
        let expected = self
            .deployment
            .hosts
            .get(host.0 as usize)
            .is_some_and(|h| h.name == hello.name);
        if hello.role != Role::Host as i32 || !expected {
            return self.close_link(id, "another process answers at the peer's address");
        }
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        peer.connection.is_up(id);
        let waiting = std::mem::take(&mut peer.waiting);
        self.response_received(id);
        for frame in waiting {
            self.send(id, frame);
        }
    }

    /// A peer's reading of its clock.
    pub(super) fn clock_reply(&mut self, id: LinkId, reply: ClockReply) {
        let max_apart = self.deployment.bounds.clock_apart;
        let now = self.now;
        let Some(peer) = self.incoming_peer(id) else {
            return;
        };
        let learned = peer.clock.learn(
            Instant::from_micros(reply.asked_us),
            Instant::from_micros(reply.clock_us),
            now,
        );
        let was_too_far = peer.too_far;
        peer.too_far = peer.clock.too_far(now, max_apart);
        peer.log_clock(&learned, was_too_far, now);
        let waiting = std::mem::take(&mut peer.waiting);
        if learned != Learned::Nothing {
            for bytes in waiting {
                self.demand_report(id, bytes);
            }
        }
    }

    /// A demand report is read by our clock. One whose sender's clock is not known waits for it; one whose
    /// sender's clock is too far off is dropped: something is wrong there, and a lost demand report costs no
    /// limit.
    pub(super) fn demand_report(&mut self, id: LinkId, bytes: Vec<u8>) {
        let now = self.now;
        let Some(peer) = self.incoming_peer(id) else {
            return;
        };
        let offset = if peer.too_far {
            None
        } else {
            peer.clock.earliest(now)
        };
        let from = peer.host;
        if let Some(offset) = offset {
            self.counts.demand_reports_received += 1;
            self.events.push(Event::PeerMessage {
                from,
                bytes: demand_report::moved(&bytes, offset),
            });
        } else if peer.too_far || peer.waiting.len() >= MAX_WAITING_FRAMES {
            self.counts.demand_reports_dropped += 1;
        } else {
            peer.waiting.push_back(bytes);
        }
    }

    fn incoming_peer(&mut self, id: LinkId) -> Option<&mut IncomingPeer> {
        match self.links.get_mut(&id).map(|l| &mut l.peer_kind) {
            Some(PeerKind::IncomingPeer(peer)) => Some(peer),
            _ => None,
        }
    }
}
