//! The other hosts that use a volume: what each last reported, and whose turn it is to be asked for tokens.

use crate::scheduler::intervals::DEMAND_WINDOW;
use gullsail_scheduler_api::{HostId, Instant, Span};
use std::collections::BTreeMap;

/// Interval between requests for tokens, and the time for which lent tokens may be under way: a few round
/// trips between hosts. Longer, and waiting requests starve; shorter, and answers arrive too late to count.
pub(crate) const TOKEN_REQUEST_INTERVAL: Span = Span::from_micros(100_000);

/// How many peers are asked for tokens at a time. It keeps messages few, while one that is lost, or a peer
/// that has nothing to lend, costs little.
const PEERS_PER_REQUEST: usize = 3;

/// A peer's newest demand report.
#[derive(Clone, Copy, Default)]
pub(crate) struct PeerDemand {
    reported_at: Instant,
    /// In units a second.
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
    /// Position of the peer that is asked first at the next request for tokens.
    next_asked: usize,
    /// When tokens may be asked for again.
    ask_at: Instant,
}

impl Peers {
    /// Another host uses the volume. It has no demand until it reports some.
    pub(crate) fn add(&mut self, host: HostId) {
        self.reports.entry(host).or_default();
    }

    /// Takes in a report. False if a newer one of this host is known: reports may arrive late or twice.
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
        now >= self.ask_at
    }

    /// The peers whose turn it is to be asked for tokens. There must be at least one peer.
    pub(crate) fn next_lenders(&mut self, now: Instant) -> Vec<HostId> {
        let asked = self.reports.len().min(PEERS_PER_REQUEST);
        let first = self.next_asked % self.reports.len();
        self.next_asked = first + asked;
        self.ask_at = now + TOKEN_REQUEST_INTERVAL;
        let in_turn = self.reports.keys().cycle().skip(first);
        in_turn.take(asked).copied().collect()
    }
}
