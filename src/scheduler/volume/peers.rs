//! The other hosts that use a volume: the last demand report of each, and the order in which they are asked for
//! tokens.

use crate::scheduler::intervals::DEMAND_WINDOW;
use gullsail_scheduler_api::{HostId, Instant, Span};
use std::collections::BTreeMap;

/// Interval between requests for tokens, and the longest time that lent tokens may be in transit: a few round
/// trips between hosts. With a longer interval, waiting requests starve; with a shorter one, loans arrive too
/// late to be used.
pub(crate) const TOKEN_REQUEST_INTERVAL: Span = Span::from_micros(100_000);

/// Number of peers that are asked for tokens at a time. The number is small to send few messages, and above one
/// so that a lost message or a peer without spare tokens has little effect.
const PEERS_PER_REQUEST: usize = 3;

/// A peer's newest demand report.
#[derive(Clone, Copy, Default)]
pub(crate) struct PeerDemand {
    reported_at: Instant,
    /// The peer's own demand, in units a second.
    pub(crate) demand: f64,
}

impl PeerDemand {
    pub(crate) fn is_recent(&self, now: Instant) -> bool {
        now - self.reported_at < DEMAND_WINDOW
    }
}

/// The other hosts of a volume.
#[derive(Default)]
pub(crate) struct Peers {
    reports: BTreeMap<HostId, PeerDemand>,
    /// Position in `reports` of the peer that is asked first at the next request for tokens, modulo the number
    /// of peers.
    next_position: usize,
    /// The time from which tokens may be requested again.
    next_request_at: Instant,
}

impl Peers {
    /// Adds another host that uses the volume. Its demand is zero until its first report.
    pub(crate) fn add(&mut self, host: HostId) {
        self.reports.entry(host).or_default();
    }

    /// Stores a peer's report. Returns false, and ignores the report, if it is not newer than the stored one:
    /// reports may arrive late or twice.
    pub(crate) fn record(&mut self, from: HostId, made_at: Instant, demand: f64) -> bool {
        let newest = self.reports.entry(from).or_default();
        if made_at <= newest.reported_at {
            return false;
        }
        *newest = PeerDemand {
            reported_at: made_at,
            demand,
        };
        true
    }

    /// The newest report of each peer.
    pub(crate) fn demands(&self) -> impl Iterator<Item = &PeerDemand> {
        self.reports.values()
    }

    pub(crate) fn count(&self) -> usize {
        self.reports.len()
    }

    /// Whether the interval since the last request for tokens is over.
    pub(crate) fn may_ask(&self, now: Instant) -> bool {
        now >= self.next_request_at
    }

    /// The next peers to ask for tokens, in turn. Starts a new interval. There must be at least one peer.
    pub(crate) fn next_lenders(&mut self, now: Instant) -> Vec<HostId> {
        let asked = self.reports.len().min(PEERS_PER_REQUEST);
        let first = self.next_position % self.reports.len();
        self.next_position = first + asked;
        self.next_request_at = now + TOKEN_REQUEST_INTERVAL;
        let in_turn = self.reports.keys().cycle().skip(first);
        in_turn.take(asked).copied().collect()
    }
}
