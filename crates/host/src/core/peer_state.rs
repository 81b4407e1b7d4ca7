//! The state of peer hosts: of a connection that a peer opened, and of the connection that this host opens to it.

use super::clock::{ClockUpdate, PeerClock};
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
    pub(super) clock_offset_too_large: bool,
}

impl IncomingPeer {
    pub(super) fn log_clock(&self, update: &ClockUpdate, was_too_large: bool, now: Instant) {
        let bounds = self.clock.bounds(now).unwrap_or_default();
        let peer = self.host.0;
        let min_ahead_ms = bounds.lower.millis();
        let max_ahead_ms = bounds.upper.millis();
        match update {
            ClockUpdate::First => info!(
                peer,
                min_ahead_ms, max_ahead_ms, "peer clock offset measured"
            ),
            ClockUpdate::Stepped => warn!(
                peer,
                min_ahead_ms, max_ahead_ms, "peer clock stepped: its offset is measured anew"
            ),
            ClockUpdate::Narrowed | ClockUpdate::Ignored => {}
        }
        if self.clock_offset_too_large && !was_too_large {
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
