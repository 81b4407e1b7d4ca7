//! Peer hosts: the connection to each, frames that wait for it, and the offset of its clock. Demand reports are
//! the messages that the schedulers of the hosts send to each other. A report is handed to the scheduler only once the
//! clock offset of its sender is known, since it contains times by the sender's clock.

use super::Core;
use super::clock::ClockUpdate;
use super::connection_table::RemoteKind;
use super::ids::ConnectionId;
use super::peer_state::IncomingPeer;
use super::reconnect::ConnectionState;
use gullsail_protocol::{ClockQuery, ClockReply, DemandReport, Frame, Hello, Role};
use gullsail_scheduler_api::{Event, HostId, Instant, demand_report};

/// The most frames that wait for a connection to a peer, and the most demand reports that wait for the clock offset of
/// a peer. A demand report is of use for a tenth of a second only, so keeping more would waste memory.
const MAX_WAITING_FRAMES: usize = 8;

impl Core {
    /// Sends a demand report of the scheduler to a peer.
    pub(super) fn send_demand_report(&mut self, to: HostId, bytes: Vec<u8>) {
        self.counts.demand_reports_sent += 1;
        self.send_to_peer(to, Frame::from(DemandReport { bytes }));
    }

    /// Sends a frame to a peer, or keeps it until the connection is up. Opens a connection if there is none. While
    /// the reconnect backoff runs, the frame is only kept; the first frame to send after the backoff opens the
    /// connection.
    pub(super) fn send_to_peer(&mut self, to: HostId, frame: Frame) {
        let Some(place) = self.deployment.hosts.get(to.0 as usize) else {
            return;
        };
        let peer = self.peers.entry(to).or_default();
        if let Some(link) = peer.connection.up() {
            return self.send(link, frame);
        }
        // The oldest frame is dropped: it is stale by the time the connection is up.
        if peer.waiting.len() >= MAX_WAITING_FRAMES {
            peer.waiting.pop_front();
        }
        peer.waiting.push_back(frame);
        if peer.connection.state == ConnectionState::Idle {
            let address = place.address.clone();
            let link = self.connect(RemoteKind::OutgoingPeer(to), address);
            self.peers.entry(to).or_default().connection.state = ConnectionState::Connecting(link);
        }
    }

    pub(super) fn query_clock(&mut self, link: ConnectionId) {
        self.send(
            link,
            Frame::from(ClockQuery {
                asked_us: self.now.micros(),
            }),
        );
    }

    pub(super) fn peer_hello(&mut self, id: ConnectionId, host: HostId, hello: &Hello) {
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
        peer.connection.mark_up(id);
        let waiting = std::mem::take(&mut peer.waiting);
        self.connections.response_received(id);
        for frame in waiting {
            self.send(id, frame);
        }
    }

    /// Handles a peer's reply to a clock query. Demand reports that waited for it are handed to the scheduler.
    pub(super) fn clock_reply(&mut self, id: ConnectionId, reply: ClockReply) {
        let max_offset = self.deployment.bounds.clock_apart;
        let now = self.now;
        let Some(peer) = self.incoming_peer(id) else {
            return;
        };
        let update = peer.clock.record_reply(
            Instant::from_micros(reply.asked_us),
            Instant::from_micros(reply.clock_us),
            now,
        );
        let was_too_large = peer.clock_offset_too_large;
        peer.clock_offset_too_large = peer.clock.offset_exceeds(now, max_offset);
        peer.log_clock(&update, was_too_large, now);
        let waiting = std::mem::take(&mut peer.waiting);
        if update == ClockUpdate::Ignored {
            // The reply took longer than a second. The reports waited as long, and are of use for a tenth of a second.
            self.counts.demand_reports_dropped += waiting.len() as u64;
            return;
        }
        for bytes in waiting {
            self.demand_report(id, bytes);
        }
    }

    /// Hands a peer's demand report to the scheduler, with its times converted to this host's clock. A report
    /// waits while the peer's clock offset is not known. It is dropped if the offset is too large, which is a fault
    /// of one of the clocks: a lost report never causes a limit to be exceeded.
    pub(super) fn demand_report(&mut self, id: ConnectionId, bytes: Vec<u8>) {
        let now = self.now;
        let Some(peer) = self.incoming_peer(id) else {
            return;
        };
        let offset = if peer.clock_offset_too_large {
            None
        } else {
            peer.clock.to_earliest_local(now)
        };
        let from = peer.host;
        if let Some(offset) = offset {
            self.counts.demand_reports_received += 1;
            self.events.push(Event::PeerMessage {
                from,
                bytes: demand_report::with_shifted_time(&bytes, offset),
            });
        } else if peer.clock_offset_too_large || peer.waiting.len() >= MAX_WAITING_FRAMES {
            self.counts.demand_reports_dropped += 1;
        } else {
            peer.waiting.push_back(bytes);
        }
    }

    fn incoming_peer(&mut self, id: ConnectionId) -> Option<&mut IncomingPeer> {
        match self
            .connections
            .open
            .get_mut(&id)
            .map(|connection| &mut connection.remote_kind)
        {
            Some(RemoteKind::IncomingPeer(peer)) => Some(peer),
            _ => None,
        }
    }
}
