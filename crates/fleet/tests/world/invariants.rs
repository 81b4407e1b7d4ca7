//! The invariants that running hosts must keep after each event. Hosts that are down or paused are not checked.

use crate::harness::{FIRST_NODE, World};
use gullsail_fleet::maintenance::{ServerId, Stage};
use gullsail_fleet::{Fleet, WHOLE};
use gullsail_scheduler_api::VolumeId;

impl World {
    pub fn check(&mut self) {
        let all: Vec<u32> = (0..self.hosts.len() as u32).collect();
        let is_running = |host: &&u32| {
            let host = &self.hosts[**host as usize];
            host.fleet.is_some() && host.paused_until <= self.now
        };
        let running: Vec<u32> = all.iter().filter(is_running).copied().collect();
        self.check_shares(&running);
        self.check_maintenance(&running);
        self.check_coordinators(&running);
        self.check_epochs();
    }

    fn fleet(&self, host: u32) -> Option<&Fleet> {
        self.hosts[host as usize].fleet.as_ref()
    }

    /// Checks that the shares in use of each budget sum to at most the whole.
    fn check_shares(&mut self, running: &[u32]) {
        for budget in self.config.budgets.keys() {
            let shares: Vec<(u32, u32)> = running
                .iter()
                .map(|host| (*host, self.share(*host, budget.0)))
                .collect();
            let sum: u64 = shares.iter().map(|(_, share)| u64::from(*share)).sum();
            self.largest_sum = self.largest_sum.max(sum);
            assert!(
                sum <= u64::from(WHOLE),
                "seed {}, at {}: {budget:?} {sum} in use: {shares:?}",
                self.seed,
                self.now
            );
        }
    }

    /// Checks that no host sends to an offline server and that the limit of servers away holds, by the latest stage of
    /// each order in any host's order book.
    fn check_maintenance(&self, running: &[u32]) {
        let Some(maintenance) = &self.config.maintenance else {
            return;
        };
        let is_away =
            |stage: &&Stage| matches!(stage, Stage::Offline | Stage::Overdue | Stage::Returning);
        let away = self.orders.stages.values().filter(is_away).count();
        assert!(
            away <= maintenance.at_once as usize,
            "seed {}, at {}: {away} away: {:?}",
            self.seed,
            self.now,
            self.orders.stages
        );
        for ((server, _), stage) in &self.orders.stages {
            if matches!(stage, Stage::Offline | Stage::Overdue) {
                self.check_offline(*server, running);
            }
        }
    }

    fn check_offline(&self, server: ServerId, running: &[u32]) {
        if server.0 >= FIRST_NODE {
            let uses = |host: &&u32| {
                let clock = self.clock(**host, self.now);
                self.fleet(**host)
                    .is_some_and(|fleet| fleet.may_use(server, clock))
            };
            let using: Vec<_> = running.iter().filter(uses).collect();
            assert!(
                using.is_empty(),
                "seed {}, at {}: {using:?} send to {server:?}",
                self.seed,
                self.now
            );
            return;
        }
        // If the host has restarted and does not have its order yet, it does not leave and is not checked.
        let fleet = self.fleet(server.0 as u32 - 1);
        let old_process_runs =
            fleet.is_some_and(|fleet| fleet.share(VolumeId(1)) > 0 && fleet.going_offline());
        assert!(
            !old_process_runs,
            "seed {}, at {}: host {server:?} is offline and uses its share",
            self.seed, self.now
        );
    }

    /// Checks that at most one host is the coordinator.
    fn check_coordinators(&mut self, running: &[u32]) {
        let decides = |host: &&u32| {
            let clock = self.clock(**host, self.now);
            self.fleet(**host)
                .is_some_and(|fleet| fleet.is_coordinator(clock))
        };
        let deciding: Vec<u32> = running.iter().filter(decides).copied().collect();
        assert!(
            deciding.len() <= 1,
            "seed {}, at {}: coordinators {deciding:?}",
            self.seed,
            self.now
        );
        for host in deciding {
            *self.coordinators.entry(host).or_default() += 1;
        }
    }

    /// Checks that the epoch of a process never decreases.
    fn check_epochs(&mut self) {
        for host in &mut self.hosts {
            let Some(fleet) = &host.fleet else { continue };
            let before = std::mem::replace(&mut host.epoch, (host.incarnations, fleet.epoch()));
            assert!(
                before <= host.epoch,
                "seed {}: incarnation and epoch {:?} after {before:?}",
                self.seed,
                host.epoch
            );
        }
    }
}
