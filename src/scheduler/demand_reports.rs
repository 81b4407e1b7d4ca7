//! Epochs, and what hosts report to each other: searches for a volume's other hosts, demand reports, requests
//! for tokens and the answers to them. Called by `request_scheduler`, and for tokens by `dispatch` and
//! `cross_zone`.

use super::{ASK_EVERY, DEMAND_WINDOW, EPOCH, EPOCH_TIMER, PeerDemand, RequestScheduler, Volume};
use gullsail_scheduler_api::demand_report::{self, VolumeDemand};
use gullsail_scheduler_api::{Action, HostId, Instant, SchedulerConfig, VolumeId};

const ASKED_PEERS: usize = 3; // at a time: few messages, and one that is lost or has nothing costs little
// So often the wait between searches for a volume's other hosts doubles, to 16 s
const SEARCH_DOUBLINGS: u32 = 6;
const MIN_EXCESS: f64 = 0.1; // units beyond the reserve, by weight, with which a volume counts in the mean

impl Volume {
    /// The host to search for further hosts of this volume, when that is due.
    fn next_search(
        &mut self,
        id: VolumeId,
        now: Instant,
        config: &SchedulerConfig,
    ) -> Option<HostId> {
        let shared =
            self.limit(config).is_some() && self.hosts > 1.0 && config.peer_messages_enabled;
        if !shared || now < self.peers.search_at {
            return None;
        }
        // Two hosts keep a volume's map, in turn: one may be down, or have lost it.
        let searches = self.peers.searches;
        let keeper = (id.0 + u64::from(searches % 2)) % u64::from(config.hosts.max(1));
        self.peers.search_at = now + EPOCH.times(f64::from(1 << searches.min(SEARCH_DOUBLINGS)));
        self.peers.searches = searches.wrapping_add(1);
        Some(HostId(keeper as u32))
    }
}

impl RequestScheduler {
    pub(super) fn start_epoch(&mut self) {
        let now = self.now;
        let next = (now.micros().div_euclid(EPOCH.micros()) + 1) * EPOCH.micros();
        self.actions.push(Action::SetTimer {
            id: EPOCH_TIMER,
            at: Instant::from_micros(next),
        });
        self.requests.forget_settled(now);
        self.endpoints.forget_old(now);
        self.forget_users_and_volumes(EPOCH.times(f64::from(4 << SEARCH_DOUBLINGS)));
        for (to, volume) in self.review_volumes() {
            if to == self.config.me {
                self.register_user(to, volume);
            } else {
                self.actions.push(Action::SendToPeer {
                    to,
                    bytes: demand_report::pack_search(volume),
                });
            }
        }
    }

    /// Refills all volumes, renews the estimates, and returns the searches that are due.
    fn review_volumes(&mut self) -> Vec<(HostId, VolumeId)> {
        let (now, config) = (self.now, &self.config);
        let mut searches = Vec::new();
        let mut excess_sum = 0.0;
        let mut with_excess = 0.0;
        let mut demand = 0.0;
        for (id, volume) in self.volumes.by_id.iter_mut() {
            volume.refill(now, config);
            let excess = volume.excess.read(now, DEMAND_WINDOW);
            excess_sum += excess;
            with_excess += f64::from(excess > MIN_EXCESS);
            demand += volume.demand.last();
            searches.extend(volume.next_search(*id, now, config).map(|to| (to, *id)));
        }
        self.volumes.mean_excess = excess_sum / f64::max(with_excess, 1.0);
        self.fleet_demand
            .update(demand, self.endpoints.shard_count(), config);
        searches
    }

    /// Asks some peers in turn for tokens, where what waits here needs more than there are.
    pub(super) fn ask_for_tokens(&mut self, id: VolumeId) {
        let (now, config) = (self.now, &self.config);
        let Some(volume) = self.volumes.by_id.get_mut(&id) else {
            return;
        };
        let Some(limit) = volume.limit(config).filter(|_| now >= volume.peers.ask_at) else {
            return;
        };
        volume.refill(now, config);
        let bucket = &volume.bucket;
        let needed = bucket.waiting > bucket.tokens;
        if !needed || !config.peer_messages_enabled || volume.peers.reports.is_empty() {
            return;
        }
        let demand = volume.demand.last();
        let cap = volume.host_share(now, &limit).burst;
        let bucket = &volume.bucket;
        let missing = (bucket.waiting + demand * DEMAND_WINDOW.secs()).min(cap) - bucket.tokens;
        let peers = &mut volume.peers;
        let asked = peers.reports.len().min(ASKED_PEERS);
        let first = peers.next_asked % peers.reports.len();
        let wanted = missing / asked as f64;
        peers.next_asked = first + asked;
        peers.ask_at = now + ASK_EVERY;
        let report = VolumeDemand {
            volume: id,
            demand,
            wanted,
            lent: 0.0,
        };
        let bytes = demand_report::pack_report(now, &[report]);
        let asked = peers.reports.keys().cycle().skip(first).take(asked);
        self.actions.extend(asked.map(|to| Action::SendToPeer {
            to: *to,
            bytes: bytes.clone(),
        }));
    }

    pub(super) fn handle_report(&mut self, from: HostId, made_at: Instant, report: VolumeDemand) {
        let (now, config) = (self.now, &self.config);
        // The hosts' clock is one: what comes from the future, or from long ago, is foreign or overtaken.
        if made_at > now || now - made_at >= DEMAND_WINDOW {
            return;
        }
        let Some(volume) = self.volumes.by_id.get_mut(&report.volume) else {
            return;
        };
        volume.refill(now, config);
        let peer = volume.peers.reports.entry(from).or_default();
        // Late and repeated demand reports: the newest counts, and nothing lent to an earlier incarnation.
        if made_at <= peer.reported_at {
            return;
        }
        *peer = PeerDemand {
            reported_at: made_at,
            demand: report.demand,
        };
        if let Some(limit) = volume
            .limit(config)
            .filter(|_| made_at > self.volumes.started_at)
        {
            let lent = if now - made_at < ASK_EVERY {
                report.lent
            } else {
                0.0
            };
            let cap = volume.host_share(now, &limit).burst;
            volume.bucket.tokens = (volume.bucket.tokens + lent).min(cap);
        }
        let lent = if report.wanted > 0.0 {
            volume.lend(now, config, report.wanted)
        } else {
            0.0
        };
        if lent > 0.0 {
            let reply = VolumeDemand {
                demand: volume.demand.last(),
                wanted: 0.0,
                lent,
                ..report
            };
            let bytes = demand_report::pack_report(now, &[reply]);
            self.actions.push(Action::SendToPeer { to: from, bytes });
        }
    }
}
