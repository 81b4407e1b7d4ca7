//! The coordinator's count of what each host may still be using of every budget. It never decides the
//! size of a share.

use super::share::Shares;
use crate::config::{Budget, FleetConfig, WHOLE};
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use std::collections::BTreeMap;

/// Grants remembered of one host: more than the renewals of one lease. Beyond it the two oldest are merged
/// into one that covers both, so the count is never too low.
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
    /// The largest share of any grant, by budget; never below the floor.
    most: Shares,
}

/// What each host may still be using.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    hosts: BTreeMap<HostId, Entry>,
    sums: BTreeMap<VolumeId, u64>,
}

impl Ledger {
    /// A ledger in which every host has its floors alone.
    pub fn new(config: &FleetConfig) -> Ledger {
        let mut ledger = Ledger::default();
        ledger.config_changed(config);
        ledger
    }

    /// Applies a new configuration with other floors or budgets.
    pub fn config_changed(&mut self, config: &FleetConfig) {
        self.sums = config
            .budgets
            .iter()
            .map(|(id, budget)| (*id, budget.floors()))
            .collect();
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        // Each entry is recounted, on top of the floor shares that the sums start with.
        for host in hosts {
            if let Some(entry) = self.hosts.get_mut(&host) {
                entry.most = Shares::new();
            }
            self.recount(config, host);
        }
    }

    /// The largest total that all hosts together may be using of a budget.
    pub fn committed_total(&self, id: VolumeId) -> u64 {
        self.sums.get(&id).copied().unwrap_or_default()
    }

    /// The largest share of a budget that one host may be using.
    pub fn committed_share(&self, id: VolumeId, budget: &Budget, host: HostId) -> u32 {
        let most = self
            .hosts
            .get(&host)
            .and_then(|entry| entry.most.get(&id))
            .copied();
        most.unwrap_or_default().max(budget.floor(host))
    }

    /// Until when a host may use more than its floor shares; `None`: it does not.
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
        let mut most = Shares::new();
        for grant in &entry.grants {
            raise(&mut most, &grant.shares);
        }
        for (id, budget) in &config.budgets {
            let floor = budget.floor(host);
            let old = entry.most.get(id).copied().unwrap_or_default().max(floor);
            let new = most.get(id).copied().unwrap_or_default().max(floor);
            if let Some(sum) = self.sums.get_mut(id) {
                *sum = sum.saturating_sub(u64::from(old)) + u64::from(new);
            }
        }
        entry.most = most;
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
            // The two oldest become one grant that covers both.
            let oldest = entry.grants.remove(0);
            let next = &mut entry.grants[0];
            next.expires_at = next.expires_at.max(oldest.expires_at);
            raise(&mut next.shares, &oldest.shares);
        }
        entry.grants.push(Grant {
            serial,
            expires_at,
            shares,
        });
        self.recount(config, host);
    }

    /// The host holds the grant with this serial, and so none before it.
    pub fn drop_grants_before(&mut self, config: &FleetConfig, host: HostId, serial: u64) {
        if let Some(entry) = self.hosts.get_mut(&host) {
            entry.grants.retain(|grant| grant.serial >= serial);
            self.recount(config, host);
        }
    }

    /// The host has reported that it holds nothing and takes no more grants.
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

    /// The largest share of a budget that may be granted to a host, beside what all others may be using.
    pub fn available(&self, id: VolumeId, budget: &Budget, host: HostId) -> u32 {
        let others = self
            .committed_total(id)
            .saturating_sub(u64::from(self.committed_share(id, budget, host)));
        u64::from(WHOLE).saturating_sub(others) as u32
    }
}

/// Raises each share to the other one where that is larger.
fn raise(shares: &mut Shares, others: &Shares) {
    for (id, other) in others {
        let share = shares.entry(*id).or_default();
        *share = (*share).max(*other);
    }
}
