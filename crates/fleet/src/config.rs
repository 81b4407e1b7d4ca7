//! The settings that all hosts of a fleet share, from the operators' configuration, and the lengths of leases on the
//! granter's and the holder's side.

use crate::maintenance::config::MaintenanceConfig;
use gullsail_scheduler_api::{HostId, Span, VolumeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The share that is the whole of a budget. Shares are counted in millionths of it.
pub const WHOLE: u32 = 1_000_000;

/// A limit that applies to all hosts together and that the fleet divides into shares.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The hosts that may use the budget, sorted by number.
    pub hosts: Arc<[HostId]>,
    /// The share, in millionths, that each of these hosts may use without a lease. All floors together are at most the
    /// whole.
    pub floor: u32,
    /// Hosts that may still apply an earlier revision of the configuration, with their floor by that revision. Such
    /// a host may be missing from `hosts`, or its floor may be larger than `floor`.
    pub lagging_hosts: BTreeMap<HostId, u32>,
    /// The smallest useful share, in millionths: it holds one request of the largest size; 0: any share is useful.
    pub min_share: u32,
}

impl Budget {
    /// The share, in millionths, that a host may use without a lease: the larger of its floors by the current and the
    /// earlier revision.
    pub fn floor(&self, host: HostId) -> u32 {
        let current = self.current_floor(host);
        self.lagging_hosts
            .get(&host)
            .map_or(current, |lagging| current.max(*lagging))
    }

    /// The floor by the current revision alone.
    fn current_floor(&self, host: HostId) -> u32 {
        if self.hosts.binary_search(&host).is_ok() {
            self.floor
        } else {
            0
        }
    }

    /// The sum of all hosts' floors, in millionths.
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
    /// The number of hosts in the configuration. Hosts are numbered from 0.
    pub hosts: u32,
    /// The length of a member lease at the coordinator that grants it, by its clock.
    pub lease: Span,
    /// The largest clock drift, as a fraction: a second by any host's clock lasts 1 - drift to 1 + drift seconds of
    /// true time.
    pub drift: f64,
    /// The number of voters: the hosts with the lowest numbers, which elect the coordinator.
    pub voters: u32,
    /// The budgets that are divided, by number.
    pub budgets: BTreeMap<VolumeId, Budget>,
    /// The settings of maintenance; `None`: operators cannot take servers offline.
    pub maintenance: Option<MaintenanceConfig>,
}

impl FleetConfig {
    /// The length of a member lease at its holder, by its clock, from when it sent the renewal. It is shorter than
    /// `lease` to allow for clock drift, so that the lease expires at the member before it does at the coordinator.
    ///
    /// In true time it lasts at most `held_lease * (1 + drift)` at the member and at least `lease * (1 - drift)` at
    /// the coordinator. These are equal, and the member starts to count earlier.
    pub fn held_lease(&self) -> Span {
        self.lease.times((1.0 - self.drift) / (1.0 + self.drift))
    }

    /// The length of the coordinator lease at a voter: half of a member lease. So the next coordinator is elected
    /// before the members' leases expire, while the members still hold their shares.
    pub fn coordinator_lease(&self) -> Span {
        self.lease.times(0.5)
    }

    /// The length of the coordinator lease at its holder, from when it sent the proposal.
    pub fn held_coordinator_lease(&self) -> Span {
        self.held_lease().times(0.5)
    }

    /// Whether a host takes part in elections.
    pub fn is_voter(&self, host: HostId) -> bool {
        host.0 < self.voters.min(self.hosts)
    }

    /// The number of voters that are a majority of all voters.
    pub fn majority(&self) -> usize {
        self.voters.min(self.hosts) as usize / 2 + 1
    }

    /// The number of hosts that are a majority of all hosts, voters or not.
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

/// Returns a host's floor in millionths: the fraction `part` of an even share over `hosts` hosts. It is rounded down,
/// so that all floors together are never more than the whole.
pub fn floor(part: f64, hosts: usize) -> u32 {
    (f64::from(WHOLE) * part.clamp(0.0, 1.0) / hosts.max(1) as f64) as u32
}

/// Returns the smallest share, in millionths, of a token bucket of size `capacity` that holds a request of size
/// `largest_request`. It is rounded up. If the whole bucket is not larger than the request, it is [`WHOLE`].
pub fn min_share(largest_request: f64, capacity: f64) -> u32 {
    if largest_request < capacity {
        (f64::from(WHOLE) * largest_request / capacity).ceil() as u32
    } else {
        WHOLE
    }
}
