//! Peer hosts: the connection to each, frames that wait for it, and what is known of its clock. A demand
//! report is handed to the scheduler only once the clock of the peer that sent it is known.

use super::Core;
use super::clock::Learned;
use super::connection_table::PeerKind;
use super::ids::LinkId;
use super::peer_state::IncomingPeer;
use super::reconnect::ConnectionState;
use gullsail_protocol::{ClockQuery, ClockReply, DemandReport, Frame, Hello, Role};
use gullsail_scheduler_api::{Event, HostId, Instant, demand_report};

/// The most frames that wait for one connection, and the most demand reports that wait for one clock. A demand report
/// is of use for a tenth of a second only, so more of them would hold memory for nothing.
const MAX_WAITING_FRAMES: usize = 8;

impl Core {
    /// Sends a demand report of the scheduler to a peer.
    pub(super) fn send_demand_report(&mut self, to: HostId, bytes: Vec<u8>) {
        self.counts.demand_reports_sent += 1;
        self.send_to_peer(to, Frame::from(DemandReport { bytes }));
    }

    /// Sends a frame to a peer, or keeps it until the connection is up. Opens the connection if there is none.
    pub(super) fn send_to_peer(&mut self, to: HostId, frame: Frame) {
        let Some(place) = self.deployment.hosts.get(to.0 as usize) else {
            return;
        };
        let peer = self.peers.entry(to).or_default();
        if let Some(link) = peer.connection.up() {
            return self.send(link, frame);
        }
        // The newest frames matter most: the older ones are stale by the time the connection is up.
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

    pub(super) fn peer_hello(&mut self, id: LinkId, host: HostId, hello: &Hello) {
        let expected = self
            .deployment
            .hosts
            .get(host.0 as usize)
            .is_some_and(|configured| configured.name == hello.name);
        if hello.role != Role::Host as i32 || !expected {
            return self.close_connection(id, "peer identity mismatch");
        }
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        peer.connection.is_up(id);
        let waiting = std::mem::take(&mut peer.waiting);
        self.connections.response_received(id);
        for frame in waiting {
            self.send(id, frame);
        }
    }

    /// A peer reports what its clock shows. Demand reports that waited for this are handed on.
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
        let was_too_far = peer.clock_too_far;
        peer.clock_too_far = peer.clock.too_far(now, max_apart);
        peer.log_clock(&learned, was_too_far, now);
        let waiting = std::mem::take(&mut peer.waiting);
        if learned == Learned::Nothing {
            // The reply took too long. So did the reports, which are of use for a tenth of a second.
            self.counts.demand_reports_dropped += waiting.len() as u64;
            return;
        }
        for bytes in waiting {
            self.demand_report(id, bytes);
        }
    }

    /// Hands a peer's demand report to the scheduler, with its times moved to this host's clock. A report
    /// waits while the peer's clock is not known. It is dropped when that clock is too far off: something is
    /// wrong there, and no limit is exceeded because of a lost report.
    pub(super) fn demand_report(&mut self, id: LinkId, bytes: Vec<u8>) {
        let now = self.now;
        let Some(peer) = self.incoming_peer(id) else {
            return;
        };
        let offset = if peer.clock_too_far {
            None
        } else {
            peer.clock.earliest(now)
        };
        let from = peer.host;
        if let Some(offset) = offset {
            self.counts.demand_reports_received += 1;
            self.events.push(Event::PeerMessage {
                from,
                bytes: demand_report::with_shifted_time(&bytes, offset),
            });
        } else if peer.clock_too_far || peer.waiting.len() >= MAX_WAITING_FRAMES {
            self.counts.demand_reports_dropped += 1;
        } else {
            peer.waiting.push_back(bytes);
        }
    }

    fn incoming_peer(&mut self, id: LinkId) -> Option<&mut IncomingPeer> {
        match self
            .connections
            .open
            .get_mut(&id)
            .map(|connection| &mut connection.peer_kind)
        {
            Some(PeerKind::IncomingPeer(peer)) => Some(peer),
            _ => None,
        }
    }
}
