//! What all hosts of a fleet hold to, from the operator's document; and how long a lease lasts on either side of it.

use crate::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::{HostId, Span, VolumeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// All of a budget, in the parts that shares are counted in.
pub const WHOLE: u32 = 1_000_000;

/// Anything limited over all hosts, as the fleet divides it.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Through whom it is used, in order of their numbers.
    pub through: Arc<[HostId]>,
    /// What each of these may use without a lease. All floors together are at most the whole.
    pub floor: u32,
    /// Hosts that may still use a larger floor, or one at all, by a document from before.
    pub stragglers: BTreeMap<HostId, u32>,
    /// The share that holds one largest request.
    pub least: u32,
}

impl Budget {
    /// What a host may use of it without a lease, at most.
    pub fn floor(&self, host: HostId) -> u32 {
        let own = if self.through.binary_search(&host).is_ok() { self.floor } else { 0 };
        self.stragglers.get(&host).map_or(own, |s| own.max(*s))
    }

    /// The floors of all.
    pub fn floors(&self) -> u64 {
        let stragglers = self.stragglers.iter().map(|(h, s)| {
            let own = if self.through.binary_search(h).is_ok() { self.floor } else { 0 };
            u64::from(s.saturating_sub(own))
        });
        self.through.len() as u64 * u64::from(self.floor) + stragglers.sum::<u64>()
    }
}

/// What all hosts hold to alike.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The fleet's name, as a number: messages of another one are dropped.
    pub fleet: u64,
    pub hosts: u32,
    /// What a granter waits, by its own clock, until a lease is surely over.
    pub lease: Span,
    /// A second by any host's clock takes no less than 1 - drift and no more than 1 + drift seconds.
    pub drift: f64,
    /// The first so many hosts elect the coordinator.
    pub voters: u32,
    pub budgets: BTreeMap<VolumeId, Budget>,
    /// Of machines out for work; `None`: there are no such orders.
    pub maintenance: Option<MaintenanceConfig>,
}

impl FleetConfig {
    /// What a holder counts on, by its own clock, from before it asked.
    ///
    /// The holder's span takes at most `held / (1 - drift)` of true time, the granter's at least
    /// `lease / (1 + drift)`. The holder's begins earlier; it ends earlier too since both are the same here.
    pub fn held(&self) -> Span {
        self.lease.times((1.0 - self.drift) / (1.0 + self.drift))
    }

    /// As long as the lease on deciding lasts, for a voter and for its holder. Half of a member's: whoever follows is chosen
    /// before the members' leases are over, and finds them with what they held.
    pub fn office(&self) -> Span {
        self.lease.times(0.5)
    }

    pub fn office_held(&self) -> Span {
        self.held().times(0.5)
    }

    pub fn is_voter(&self, host: HostId) -> bool {
        host.0 < self.voters.min(self.hosts)
    }

    pub fn majority(&self) -> usize {
        self.voters.min(self.hosts) as usize / 2 + 1
    }

    pub fn voters(&self) -> impl Iterator<Item = HostId> {
        (0..self.voters.min(self.hosts)).map(HostId)
    }

    pub fn everyone(&self) -> impl Iterator<Item = HostId> {
        (0..self.hosts).map(HostId)
    }
}

/// The share of a budget that an even part of so many hosts is, of which a floor is this part: rounded down, so that all
/// together are never more than the whole.
pub fn floor(part: f64, hosts: usize) -> u32 {
    (f64::from(WHOLE) * part.clamp(0.0, 1.0) / hosts.max(1) as f64) as u32
}

/// The share that holds `largest` of what may be stored, rounded up; the whole where the store is smaller.
pub fn least(largest: f64, store: f64) -> u32 {
    if largest < store { (f64::from(WHOLE) * largest / store).ceil() as u32 } else { WHOLE }
}
