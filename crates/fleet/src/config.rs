//! The settings that all hosts of a fleet share, from the operators' configuration, and the lengths of leases
//! on the granter's and the holder's side. Every other module reads them; none changes them.

use crate::maintenance::config::MaintenanceConfig;
use gullsail_scheduler_api::{HostId, Span, VolumeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The whole of a budget, in the units in which shares are counted.
pub const WHOLE: u32 = 1_000_000;

/// A limit that holds over all hosts together, as the fleet divides it.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The hosts through which it is used, in order of their numbers.
    pub hosts: Arc<[HostId]>,
    /// What each of these hosts may use without a lease. All floors together are at most the whole.
    pub floor: u32,
    /// Lagging hosts: those that may still use a larger floor, or one at all, by an earlier revision of the
    /// configuration.
    pub lagging_hosts: BTreeMap<HostId, u32>,
    /// The smallest useful share: it holds one largest request.
    pub min_share: u32,
}

impl Budget {
    /// The share that a host may use without a lease.
    pub fn floor(&self, host: HostId) -> u32 {
        let own = self.current_floor(host);
        self.lagging_hosts
            .get(&host)
            .map_or(own, |lagging| own.max(*lagging))
    }

    /// The floor by the current revision alone.
    fn current_floor(&self, host: HostId) -> u32 {
        if self.hosts.binary_search(&host).is_ok() {
            self.floor
        } else {
            0
        }
    }

    /// The sum of all hosts' floors.
    pub fn floors(&self) -> u64 {
        let current = self.hosts.len() as u64 * u64::from(self.floor);
        let lagging = self.lagging_hosts.iter().map(|(host, lagging)| {
            let excess = lagging.saturating_sub(self.current_floor(*host));
            u64::from(excess)
        });
        current + lagging.sum::<u64>()
    }
}

/// The settings that all hosts of a fleet share.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The fleet's name, as a number: messages of another fleet are dropped.
    pub fleet: u64,
    /// How many hosts there are; they are numbered from 0.
    pub hosts: u32,
    /// A member lease as the coordinator that grants it counts it, by its own clock.
    pub lease: Span,
    /// A second by any host's clock takes no less than 1 - drift and no more than 1 + drift seconds.
    pub drift: f64,
    /// The first so many hosts elect the coordinator.
    pub voters: u32,
    /// The budgets that are divided, by number.
    pub budgets: BTreeMap<VolumeId, Budget>,
    /// How servers are taken offline; `None`: there are no such orders.
    pub maintenance: Option<MaintenanceConfig>,
}

impl FleetConfig {
    /// A member lease as its holder counts it, by its own clock, from when it sent the renewal: shorter than
    /// `lease` by the clock drift.
    ///
    /// It lasts at most `held_lease / (1 - drift)` of true time at the member, and `lease` at least
    /// `lease / (1 + drift)` at the coordinator. These are equal, and the member starts counting earlier, so
    /// the lease ends at the member first.
    pub fn held_lease(&self) -> Span {
        self.lease.times((1.0 - self.drift) / (1.0 + self.drift))
    }

    /// How long the coordinator lease lasts for a voter. Half of a member's lease: the next coordinator is
    /// elected before the members' leases are over, and finds them with the shares they held.
    pub fn coordinator_lease(&self) -> Span {
        self.lease.times(0.5)
    }

    /// How long the coordinator relies on its own lease.
    pub fn held_coordinator_lease(&self) -> Span {
        self.held_lease().times(0.5)
    }

    /// Whether a host takes part in elections.
    pub fn is_voter(&self, host: HostId) -> bool {
        host.0 < self.voters.min(self.hosts)
    }

    /// How many voters a candidate needs.
    pub fn majority(&self) -> usize {
        self.voters.min(self.hosts) as usize / 2 + 1
    }

    /// How many hosts are a majority of all, voters or not.
    pub fn majority_of_hosts(&self) -> usize {
        self.hosts as usize / 2 + 1
    }

    /// The hosts that take part in elections.
    pub fn voters(&self) -> impl Iterator<Item = HostId> {
        (0..self.voters.min(self.hosts)).map(HostId)
    }

    /// All hosts of the configuration, whether they run or not.
    pub fn all_hosts(&self) -> impl Iterator<Item = HostId> {
        (0..self.hosts).map(HostId)
    }
}

/// A host's floor: `part` of an even share over so many hosts. Rounded down, so that all floors together are
/// never more than the whole.
pub fn floor(part: f64, hosts: usize) -> u32 {
    (f64::from(WHOLE) * part.clamp(0.0, 1.0) / hosts.max(1) as f64) as u32
}

/// The share that holds a request of `largest_request` tokens, for a token bucket of `capacity` tokens, rounded
/// up; the whole budget if the bucket is smaller than the request.
pub fn min_share(largest_request: f64, capacity: f64) -> u32 {
    if largest_request < capacity {
        (f64::from(WHOLE) * largest_request / capacity).ceil() as u32
    } else {
        WHOLE
    }
}
