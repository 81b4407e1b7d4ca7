//! Epochs: the regular review of all volumes, at multiples of [`EPOCH`] on the hosts' common clock. It refills
//! the volumes, brings estimates up to date, forgets what is no longer needed and searches for other hosts.

use super::super::intervals::EPOCH;
use super::super::messages::EPOCH_TIMER;
use super::super::request_scheduler::RequestScheduler;
use super::super::volume::peers::directory_retention;
use super::super::volume::table::VolumeSearch;
use gullsail_scheduler_api::{Action, Instant, demand_report};

impl RequestScheduler {
    pub(crate) fn start_epoch(&mut self) {
        let now = self.now;
        let next_epoch = now.micros().div_euclid(EPOCH.micros()) + 1;
        self.actions.push(Action::SetTimer {
            id: EPOCH_TIMER,
            at: Instant::from_micros(next_epoch * EPOCH.micros()),
        });
        self.requests.forget_settled(now);
        self.endpoints.forget_old(now);
        self.directory.forget_old(now, directory_retention());
        let open = &self.requests.open;
        self.volumes.forget_unused(now, |volume| {
            open.values().any(|open| open.request.volume == volume)
        });
        let review = self.volumes.review(now, &self.config);
        self.fleet_demand
            .update(review.demand, self.endpoints.shard_count(), &self.config);
        for search in review.searches {
            self.search_peers(&search);
        }
    }

    /// Asks a directory host for the other hosts of a volume.
    fn search_peers(&mut self, search: &VolumeSearch) {
        let to = search.directory_host;
        if to == self.config.me {
            self.register_user(to, search.volume);
            return;
        }
        self.actions.push(Action::SendToPeer {
            to,
            bytes: demand_report::pack_search(search.volume),
        });
    }
}
