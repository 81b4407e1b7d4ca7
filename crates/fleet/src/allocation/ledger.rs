//! The coordinator's account of the share of every budget that each host may still be using. It does not decide
//! the size of shares.

use super::share::Shares;
use crate::config::{Budget, FleetConfig, WHOLE};
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use std::collections::BTreeMap;

/// The most grants kept for one host: more than the renewals of one lease. Beyond this number the two oldest are
/// merged into one grant that covers both, so that the count is never too low.
const MAX_GRANTS: usize = 16;

#[derive(Clone, Debug)]
struct Grant {
    serial: u64,
    expires_at: Instant,
    shares: Shares,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    grants: Vec<Grant>,
    /// By budget, the largest share of any of these grants. Where the floor is larger, the floor counts instead.
    largest: Shares,
}

/// The shares that each host may still be using.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Hosts with grants that may be in use. All other hosts use at most their floors.
    hosts: BTreeMap<HostId, Entry>,
    /// By budget, the largest total that all hosts together may be using.
    sums: BTreeMap<VolumeId, u64>,
}

impl Ledger {
    /// Creates a ledger without grants: every host is counted with its floors.
    pub fn new(config: &FleetConfig) -> Ledger {
        let mut ledger = Ledger::default();
        ledger.config_changed(config);
        ledger
    }

    /// Recomputes the sums for a new configuration, whose budgets or floors may differ.
    pub fn config_changed(&mut self, config: &FleetConfig) {
        self.sums = config
            .budgets
            .iter()
            .map(|(id, budget)| (*id, budget.floors()))
            .collect();
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        // The sums now hold floors alone. Clearing `largest` first makes `recount` add each host's grants to them.
        for host in hosts {
            if let Some(entry) = self.hosts.get_mut(&host) {
                entry.largest = Shares::new();
            }
            self.recount(config, host);
        }
    }

    /// The largest total that all hosts together may be using of a budget, in millionths; 0: the budget is unknown.
    pub fn committed_total(&self, id: VolumeId) -> u64 {
        self.sums.get(&id).copied().unwrap_or_default()
    }

    /// The largest share of a budget that one host may be using, in millionths; at least its floor.
    pub fn committed_share(&self, id: VolumeId, budget: &Budget, host: HostId) -> u32 {
        let largest = self
            .hosts
            .get(&host)
            .and_then(|entry| entry.largest.get(&id))
            .copied();
        largest.unwrap_or_default().max(budget.floor(host))
    }

    /// Returns when a host's last grant expires, until when it may use more than its floors; `None`: it has no grant.
    pub fn until(&self, host: HostId) -> Option<Instant> {
        self.hosts
            .get(&host)?
            .grants
            .iter()
            .map(|grant| grant.expires_at)
            .max()
    }

    /// Updates the sums after the grants of one host have changed.
    fn recount(&mut self, config: &FleetConfig, host: HostId) {
        let Some(entry) = self.hosts.get_mut(&host) else {
            return;
        };
        let mut largest = Shares::new();
        for grant in &entry.grants {
            raise_to_max(&mut largest, &grant.shares);
        }
        for (id, budget) in &config.budgets {
            let floor = budget.floor(host);
            let old = entry
                .largest
                .get(id)
                .copied()
                .unwrap_or_default()
                .max(floor);
            let new = largest.get(id).copied().unwrap_or_default().max(floor);
            if let Some(sum) = self.sums.get_mut(id) {
                *sum = sum.saturating_sub(u64::from(old)) + u64::from(new);
            }
        }
        entry.largest = largest;
        if entry.grants.is_empty() {
            self.hosts.remove(&host);
        }
    }

    /// Counts a grant until it is released or its lease has expired.
    pub fn grant(
        &mut self,
        config: &FleetConfig,
        host: HostId,
        serial: u64,
        expires_at: Instant,
        shares: Shares,
    ) {
        let entry = self.hosts.entry(host).or_default();
        if entry.grants.len() >= MAX_GRANTS {
            // Merges the two oldest into one grant that covers both.
            let oldest = entry.grants.remove(0);
            let next = &mut entry.grants[0];
            next.expires_at = next.expires_at.max(oldest.expires_at);
            raise_to_max(&mut next.shares, &oldest.shares);
        }
        entry.grants.push(Grant {
            serial,
            expires_at,
            shares,
        });
        self.recount(config, host);
    }

    /// Drops a host's grants before `serial`, the serial of the grant that the host reports to hold. The host accepts
    /// no older grant.
    pub fn drop_grants_before(&mut self, config: &FleetConfig, host: HostId, serial: u64) {
        if let Some(entry) = self.hosts.get_mut(&host) {
            entry.grants.retain(|grant| grant.serial >= serial);
            self.recount(config, host);
        }
    }

    /// Drops all grants of a host that has released them and accepts no more.
    pub fn drop_all_grants(&mut self, config: &FleetConfig, host: HostId) {
        self.drop_grants_before(config, host, u64::MAX);
    }

    /// Drops the grants whose leases have expired.
    pub fn drop_expired_grants(&mut self, config: &FleetConfig, now: Instant) {
        let has_expired = |entry: &Entry| entry.grants.iter().any(|grant| grant.expires_at <= now);
        let expired = self.hosts.iter().filter(|(_, entry)| has_expired(entry));
        let hosts: Vec<HostId> = expired.map(|(host, _)| *host).collect();
        for host in hosts {
            if let Some(entry) = self.hosts.get_mut(&host) {
                entry.grants.retain(|grant| grant.expires_at > now);
            }
            self.recount(config, host);
        }
    }

    /// Returns the largest share of a budget that can be granted to a host: the whole less what all other hosts may
    /// be using.
    pub fn available(&self, id: VolumeId, budget: &Budget, host: HostId) -> u32 {
        let others = self
            .committed_total(id)
            .saturating_sub(u64::from(self.committed_share(id, budget, host)));
        u64::from(WHOLE).saturating_sub(others) as u32
    }
}

/// Raises each of `shares` to the share in `others` where that is larger.
fn raise_to_max(shares: &mut Shares, others: &Shares) {
    for (id, other) in others {
        let share = shares.entry(*id).or_default();
        *share = (*share).max(*other);
    }
}
