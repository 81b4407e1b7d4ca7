//! The state of peer hosts: of a connection that a peer opened, and of the connection that this host opens to it.

use super::clock::{Learned, PeerClock};
use super::reconnect::OutboundConnection;
use gullsail_protocol::Frame;
use gullsail_scheduler_api::{HostId, Instant};
use std::collections::VecDeque;
use tracing::{info, warn};

/// A peer that opened a connection to this host.
pub(super) struct IncomingPeer {
    pub(super) host: HostId,
    pub(super) clock: PeerClock,
    /// Demand reports that wait until the offset of the peer's clock is known.
    pub(super) waiting: VecDeque<Vec<u8>>,
    /// The peer's clock certainly differs from this host's clock by more than `clock-apart`.
    pub(super) clock_too_far: bool,
}

impl IncomingPeer {
    pub(super) fn log_clock(&self, learned: &Learned, was_too_far: bool, now: Instant) {
        let bounds = self.clock.bounds(now).unwrap_or_default();
        let peer = self.host.0;
        let min_ahead_ms = bounds.least.millis();
        let max_ahead_ms = bounds.most.millis();
        match learned {
            Learned::First => info!(
                peer,
                min_ahead_ms, max_ahead_ms, "peer clock offset measured"
            ),
            Learned::Stepped => warn!(
                peer,
                min_ahead_ms, max_ahead_ms, "peer clock stepped: its offset is measured anew"
            ),
            Learned::Narrowed | Learned::Nothing => {}
        }
        if self.clock_too_far && !was_too_far {
            warn!(
                peer,
                min_ahead_ms, max_ahead_ms, "peer clock offset too large: demand reports dropped"
            );
        }
    }
}

/// The connection that this host opens to a peer.
#[derive(Default)]
pub(super) struct OutgoingPeer {
    pub(super) connection: OutboundConnection,
    /// Frames that wait for the connection.
    pub(super) waiting: VecDeque<Frame>,
}
