//! Volumes as this host holds them: allocation, token bucket, loans, what peers reported; and the map of
//! which hosts use a volume, for the volumes whose map falls to this host. Bookkeeping only: tokens are
//! counted and lent in `volume`, peers are asked in `demand_reports`.

use crate::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{HostId, Instant, Limit, PlanId, VolumeId};
use std::collections::{BTreeMap, VecDeque};

/// Tokens that may still be under way to another host: the cap is lower by them until then.
pub(super) struct Loan {
    pub(super) until: Instant,
    pub(super) units: f64,
}

#[derive(Default)]
pub(super) struct TokenBucket {
    pub(super) tokens: f64,
    /// The units of first attempts that wait at this host.
    pub(super) waiting: f64,
    pub(super) refilled_at: Instant,
    pub(super) loans: VecDeque<Loan>,
}

/// A peer's newest demand report: when it was made, and the demand in units a second.
#[derive(Clone, Copy, Default)]
pub(super) struct PeerDemand {
    pub(super) reported_at: Instant,
    pub(super) demand: f64,
}

/// The other hosts of a volume.
#[derive(Default)]
pub(super) struct Peers {
    pub(super) reports: BTreeMap<HostId, PeerDemand>,
    /// Whose turn it is to be asked for tokens, and when.
    pub(super) next_asked: usize,
    pub(super) ask_at: Instant,
    /// Searches for further hosts so far, and when the next one is.
    pub(super) searches: u32,
    pub(super) search_at: Instant,
}

/// Whatever has a limit over all hosts: a volume, in units, or a budget between zones, in bytes.
#[derive(Default)]
pub(super) struct Volume {
    /// The place of the budget in the configuration, where it is one.
    pub(super) cross_zone_budget: Option<usize>,
    pub(super) plan: PlanId,
    pub(super) hosts: f64,
    /// This host's share of the limit, where it is not an even one.
    pub(super) share: Option<Limit>,
    /// Its requests no longer come through this host.
    pub(super) withdrawn: bool,
    pub(super) demand: DecayingSum,
    pub(super) bucket: TokenBucket,
    pub(super) reserve: f64,
    /// Units a second through all hosts, as answers report it, some seconds late.
    pub(super) fleet_usage: Option<f64>,
    /// Units sent beyond the reserve, by weight.
    pub(super) excess: DecayingSum,
    pub(super) peers: Peers,
}

impl Volume {
    pub(super) fn new(now: Instant) -> Self {
        let bucket = TokenBucket {
            refilled_at: now,
            ..TokenBucket::default()
        };
        Volume {
            bucket,
            ..Volume::default()
        }
    }
}

#[derive(Default)]
pub(super) struct VolumeTable {
    pub(super) by_id: BTreeMap<VolumeId, Volume>,
    /// The hosts that use a volume, with when each last searched for the others.
    pub(super) users: BTreeMap<VolumeId, BTreeMap<HostId, Instant>>,
    /// What volumes beyond their reserves were sent of late, by weight, in the mean.
    pub(super) mean_excess: f64,
    /// When this incarnation of the host started.
    pub(super) started_at: Instant,
}
