//! What must hold in a world after each event, of all hosts that run and do not stand still.

use crate::harness::{FIRST_NODE, World};
use gullsail_fleet::maintenance::{ServerId, Stage};
use gullsail_fleet::{Fleet, WHOLE};
use gullsail_scheduler_api::VolumeId;

impl World {
    pub fn check(&mut self) {
        let all: Vec<u32> = (0..self.hosts.len() as u32).collect();
        let is_running = |host: &&u32| {
            let host = &self.hosts[**host as usize];
            host.fleet.is_some() && host.still_until <= self.now
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

    /// No more than the whole of any budget is in use.
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

    /// Nothing is sent to a server that is offline, and no more servers are away than may be, by the orders
    /// that any host knew at any time.
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
        // The host may have restarted, and not know its order yet: then it does not leave.
        let fleet = self.fleet(server.0 as u32 - 1);
        let old_process_runs =
            fleet.is_some_and(|fleet| fleet.share(VolumeId(1)) > 0 && fleet.going_offline());
        assert!(
            !old_process_runs,
            "seed {}, at {}: host {server:?} is offline and uses what it held",
            self.seed, self.now
        );
    }

    /// At most one host is the coordinator.
    fn check_coordinators(&mut self, running: &[u32]) {
        let decides = |host: &&u32| {
            let clock = self.clock(**host, self.now);
            self.fleet(**host)
                .is_some_and(|fleet| fleet.is_coordinator(clock))
        };
        let deciding: Vec<u32> = running.iter().filter(decides).copied().collect();
        assert!(
            deciding.len() <= 1,
            "seed {}, at {}: {deciding:?} decide",
            self.seed,
            self.now
        );
        for host in deciding {
            *self.coordinators.entry(host).or_default() += 1;
        }
    }

    /// An epoch only grows within an incarnation.
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
