//! The other hosts that use a volume: what each last reported, whose turn it is to be asked for tokens, and
//! when to search for further hosts.

use super::{DEMAND_WINDOW, Volume};
use crate::scheduler::intervals::EPOCH;
use gullsail_scheduler_api::{HostId, Instant, SchedulerConfig, Span, VolumeId};
use std::collections::BTreeMap;

/// Interval between requests for tokens, and the time for which lent tokens may be under way: a few round
/// trips between hosts. Longer, and waiting requests starve; shorter, and answers arrive too late to count.
pub(crate) const TOKEN_REQUEST_INTERVAL: Span = Span::from_micros(100_000);

/// How many peers are asked for tokens at a time. It keeps messages few, while one that is lost, or a peer
/// that has nothing to lend, costs little.
const PEERS_PER_REQUEST: usize = 3;

/// How often the interval between searches doubles: from one epoch (0.25 s) to 16 s.
const MAX_SEARCH_DOUBLINGS: u32 = 6;

/// How many hosts keep the directory of a volume's hosts. One of them may be down, or have lost it.
const DIRECTORY_HOSTS: u32 = 2;

/// How long a directory remembers a host that does not search again: four times the longest interval between
/// its searches, so that lost messages do not remove it.
pub(crate) fn directory_retention() -> Span {
    EPOCH.times(f64::from(4 << MAX_SEARCH_DOUBLINGS))
}

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
    /// Searches for further hosts so far.
    searches: u32,
    search_at: Instant,
}

impl Peers {
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

    pub(crate) fn demands(&self) -> impl Iterator<Item = &PeerDemand> {
        self.reports.values()
    }

    pub(crate) fn count(&self) -> usize {
        self.reports.len()
    }

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

    /// More hosts use the volume than were known: the search begins anew.
    pub(crate) fn restart_search(&mut self, now: Instant) {
        self.searches = 0;
        self.search_at = now;
    }
}

impl Volume {
    /// The host to ask for further hosts of this volume, when that is due. The hosts of the directory are
    /// asked in turn.
    pub(crate) fn next_search(
        &mut self,
        id: VolumeId,
        now: Instant,
        config: &SchedulerConfig,
    ) -> Option<HostId> {
        let is_shared =
            self.limit(config).is_some() && self.hosts > 1.0 && config.peer_messages_enabled;
        let peers = &mut self.peers;
        if !is_shared || now < peers.search_at {
            return None;
        }
        let doublings = peers.searches.min(MAX_SEARCH_DOUBLINGS);
        let turn = u64::from(peers.searches % DIRECTORY_HOSTS);
        let directory_host = (id.0 + turn) % u64::from(config.hosts.max(1));
        peers.search_at = now + EPOCH.times(f64::from(1 << doublings));
        peers.searches = peers.searches.wrapping_add(1);
        Some(HostId(directory_host as u32))
    }
}
