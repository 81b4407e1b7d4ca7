//! The transition from one revision of the configuration to the next. Each host runs its own copy.
//!
//! **The rule.** A host keeps a chain of revisions: the one that it follows, and earlier ones back to the oldest that
//! some host may still follow. Its limit for a volume is the lowest of its limits by the revisions of the chain.
//!
//! **Why the limit holds.** Let m be the oldest revision that any serving host follows now.
//! 1. The host that follows m has not reported a later revision, so no host has recorded that all follow a later one.
//! 2. So m is still in the chain of every host. It is not later than the revision that the host follows, since m is
//!    the oldest.
//! 3. So each host sends at most its limit by m, and these limits sum to the limit that revision m states.
//!
//! This holds at every moment, in whatever order hosts change. Notices may be lost, late or repeated: a lost notice
//! only delays the removal of revisions from a chain. A host that is down sends nothing; the others keep its revision
//! in their chains until it reports a later one.
//!
//! **Assumptions.** A host that starts is given a revision no older than the one that it last followed, and a
//! chain that reaches back to the oldest revision that any host follows. Operators have to ensure both; a host
//! that goes back to an earlier revision is reported ([`crate::NoticeEffect::WentBack`]).

mod notices;

use crate::error::TransitionError;
use crate::revision_limits::{Revision, RevisionLimits, lower};
use gullsail_scheduler_api::{HostId, Instant, Limit, PlanId, Span, VolumeAllocation, VolumeId};
use notices::{FINAL_ROUNDS, FIRST_BACKOFF};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A host that may still use a volume by an earlier revision than this host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggingHost {
    /// The host that may lag behind.
    pub host: HostId,
    /// The number of hosts that share the volume by the earlier revision.
    pub sharing: usize,
}

/// Decides what this host may send for each volume, also while hosts follow different revisions.
pub struct ConfigTransition {
    me: HostId,
    /// The revisions that limit this host, oldest first; never empty. This host follows the last one.
    chain: VecDeque<RevisionLimits>,
    /// By host number, the latest revision that the host is known to follow. It may follow a later one.
    reached: Vec<Revision>,
    /// The allocations that the scheduler has, as they were last returned.
    reported: BTreeMap<VolumeId, VolumeAllocation>,
    /// When the next round of notices is due.
    next_round: Instant,
    /// The backoff after the next round.
    backoff: Span,
    /// The number of rounds left to send while all hosts are known to follow this host's revision.
    final_rounds: u32,
    /// By volume, the share that the fleet granted to this host, from 0 to 1; `None`: even shares apply.
    shares: Option<BTreeMap<VolumeId, f64>>,
    /// Hosts whose member lease has expired. They use at most their floor shares.
    expired_members: BTreeSet<HostId>,
    /// Revisions that were dropped from the chain but that hosts with an expired lease may still follow.
    retained: Vec<RevisionLimits>,
}

impl ConfigTransition {
    /// Creates the state of host `me` of `hosts` hosts. `chain` has the revision to follow and earlier ones; no host
    /// may follow a revision older than the oldest of them. An empty chain has no limits.
    pub fn new(
        me: HostId,
        hosts: u32,
        mut chain: Vec<RevisionLimits>,
        now: Instant,
    ) -> ConfigTransition {
        chain.sort_by_key(|limits| limits.revision);
        let oldest = chain.first().map_or(Revision(0), |limits| limits.revision);
        if chain.is_empty() {
            chain.push(RevisionLimits::default());
        }
        let mut transition = ConfigTransition {
            me,
            chain: chain.into(),
            reached: vec![oldest; hosts as usize],
            reported: BTreeMap::new(),
            next_round: now,
            backoff: FIRST_BACKOFF,
            final_rounds: FINAL_ROUNDS,
            shares: None,
            expired_members: BTreeSet::new(),
            retained: Vec::new(),
        };
        transition.activate_latest();
        // The scheduler starts with even shares, so these are not returned as changes.
        let volumes = transition.current().volumes.keys();
        transition.reported = volumes
            .map(|id| (*id, transition.even_allocation(*id)))
            .collect();
        transition
    }

    /// Returns the number of revisions in the chain and the number of allocations in memory, for metrics.
    pub fn size_metrics(&self) -> (usize, usize) {
        (self.chain.len(), self.reported.len())
    }

    fn current(&self) -> &RevisionLimits {
        self.chain.back().expect("the chain is never empty")
    }

    /// Returns the revision that this host follows.
    pub fn revision(&self) -> Revision {
        self.current().revision
    }

    /// Records that this host follows the last revision of the chain from now on.
    fn activate_latest(&mut self) {
        let revision = self.revision();
        self.reach(self.me, revision);
        self.drop_outdated();
    }

    /// Drops revisions from the chain that all hosts have left behind. A host whose lease has expired does not keep a
    /// revision in the chain, since it uses only its floor share by the revision that it follows. Such a revision is
    /// moved to `retained`, so that [`ConfigTransition::lagging_hosts`] still returns the host.
    fn drop_outdated(&mut self) {
        let reached = || {
            self.reached
                .iter()
                .zip(0..)
                .map(|(revision, number)| (HostId(number), *revision))
        };
        let active = reached().filter(|(host, _)| !self.expired_members.contains(host));
        let oldest_active = active
            .map(|(_, revision)| revision)
            .min()
            .unwrap_or_default();
        let oldest = reached()
            .map(|(_, revision)| revision)
            .min()
            .unwrap_or_default();
        while self.chain.len() > 1
            && self
                .chain
                .front()
                .is_some_and(|limits| limits.revision < oldest_active)
        {
            self.retained.extend(self.chain.pop_front());
        }
        self.retained.retain(|limits| limits.revision >= oldest);
    }

    /// Extends the number of hosts to `hosts`; it never shrinks. The new hosts must not have followed an older revision
    /// than the current one.
    pub fn extend_hosts(&mut self, hosts: u32) {
        let revision = self.revision();
        let count = (hosts as usize).max(self.reached.len());
        self.reached.resize(count, revision);
    }

    /// Sets this host's granted share of each volume and the hosts whose member lease has expired. The shares apply to
    /// the limits by all revisions of the chain.
    pub fn set_shares(
        &mut self,
        shares: BTreeMap<VolumeId, f64>,
        expired_members: BTreeSet<HostId>,
    ) {
        self.shares = Some(shares);
        self.expired_members = expired_members;
        self.drop_outdated();
    }

    /// Returns the hosts that may still use a volume by an earlier revision than this host follows.
    pub fn lagging_hosts(&self, volume: VolumeId) -> impl Iterator<Item = LaggingHost> {
        let current = self.revision();
        let counted = self.retained.iter().chain(&self.chain);
        counted
            .filter(move |limits| limits.revision < current)
            .flat_map(move |limits| {
                let shared = limits
                    .volumes
                    .get(&volume)
                    .filter(|shared| shared.limit.is_some());
                let lags = move |host: &&HostId| {
                    let reached = self.reached.get(host.0 as usize);
                    reached.is_none_or(|reached| *reached <= limits.revision)
                };
                shared.into_iter().flat_map(move |shared| {
                    let lagging = shared.hosts.iter().filter(lags);
                    lagging.map(|host| LaggingHost {
                        host: *host,
                        sharing: shared.hosts.len(),
                    })
                })
            })
    }

    /// Returns this host's granted share of a volume, from 0 to 1; 0 if the fleet granted shares but none of this
    /// volume. `None`: the fleet has granted no shares yet, so even shares apply.
    fn share(&self, volume: VolumeId) -> Option<f64> {
        self.shares
            .as_ref()
            .map(|shares| shares.get(&volume).copied().unwrap_or_default())
    }

    /// Changes to the next revision: the last of `chain`, which has earlier ones before it, oldest first. A revision
    /// with the current number must have the same limits; positions of plans may differ.
    ///
    /// # Errors
    /// The chain does not continue from the current revision, or does not reach back to every revision that other hosts
    /// may still follow. The state is unchanged.
    pub fn change_revision(
        &mut self,
        chain: Vec<RevisionLimits>,
        now: Instant,
    ) -> Result<(), TransitionError> {
        let current = self.revision();
        let next = self.check_next(&chain)?;
        self.chain.pop_back();
        self.chain.extend(
            chain
                .into_iter()
                .filter(|limits| limits.revision >= current),
        );
        if next > current {
            self.activate_latest();
            self.next_round = now;
            self.backoff = FIRST_BACKOFF;
            self.final_rounds = FINAL_ROUNDS;
        }
        Ok(())
    }

    /// Returns the number of the chain's last revision, if the chain continues from the current one.
    fn check_next(&self, chain: &[RevisionLimits]) -> Result<Revision, TransitionError> {
        let current = self.revision();
        let (Some(first), Some(last)) = (chain.first(), chain.last()) else {
            return Err(TransitionError::NotLater {
                held: current,
                next: Revision(0),
            });
        };
        let next = last.revision;
        if next < current {
            return Err(TransitionError::NotLater {
                held: current,
                next,
            });
        }
        match chain.iter().find(|limits| limits.revision == current) {
            Some(same) if same.same_limits_as(self.current()) => {}
            Some(_) if next == current => return Err(TransitionError::SameRevision(current)),
            Some(_) => return Err(TransitionError::Other(current)),
            None => {
                let after = chain
                    .iter()
                    .rev()
                    .nth(1)
                    .map_or(next, |limits| limits.revision);
                return Err(TransitionError::NotNext {
                    held: current,
                    after,
                    next,
                });
            }
        }
        // A host that starts with the new chain must have every revision that is in this host's chain.
        let oldest = self.chain.front().map(|limits| limits.revision);
        match oldest.filter(|oldest| first.revision > *oldest) {
            Some(oldest) => Err(TransitionError::ChainTooShort(oldest)),
            None => Ok(next),
        }
    }

    /// Whether every host without an expired lease is known to follow this host's revision or a later one.
    pub fn all_hosts_follow(&self) -> bool {
        self.missing().next().is_none()
    }

    /// Returns the hosts that are not known to follow this host's revision or a later one. Hosts whose member lease has
    /// expired are left out.
    pub fn missing(&self) -> impl Iterator<Item = HostId> {
        let revision = self.revision();
        let reached = self.reached.iter().zip(0..);
        let behind = reached.filter(move |(reached, _)| **reached < revision);
        behind
            .map(|(_, number)| HostId(number))
            .filter(|host| !self.expired_members.contains(host))
    }

    /// Returns this host's limit for a volume: the lowest by any revision of the chain; `None`: no limit applies.
    pub fn limit_for(&self, volume: VolumeId) -> Option<Limit> {
        let share = self.share(volume);
        let limits = self
            .chain
            .iter()
            .map(|limits| limits.limit_for(volume, self.me, share));
        limits.fold(None, lower)
    }

    /// Returns the allocation of a volume by the current revision alone, with an even share. If this host does not
    /// serve the volume, the host count and the limit are 0.
    fn even_allocation(&self, id: VolumeId) -> VolumeAllocation {
        match self
            .current()
            .volumes
            .get(&id)
            .filter(|shared| shared.is_served_by(self.me))
        {
            Some(shared) => {
                let hosts = shared.hosts.len() as u32;
                VolumeAllocation {
                    volume: id,
                    plan: shared.plan,
                    host_count: hosts,
                    host_limit: None,
                }
            }
            None => {
                let zero_limit = Some(Limit {
                    rate: 0.0,
                    burst: 0.0,
                });
                VolumeAllocation {
                    volume: id,
                    plan: PlanId::default(),
                    host_count: 0,
                    host_limit: zero_limit,
                }
            }
        }
    }

    /// Returns the allocation of a volume by all revisions of the chain and the granted share.
    fn allocation(&self, id: VolumeId) -> VolumeAllocation {
        let even = self.even_allocation(id);
        if even.host_count == 0 {
            return even;
        }
        let limit = self.limit_for(id);
        let even_limit = self.current().limit_for(id, self.me, None);
        // An even share is returned without a host limit, so that rounding does not produce two values for the same
        // limit.
        VolumeAllocation {
            host_limit: limit.filter(|_| limit != even_limit),
            ..even
        }
    }

    /// Returns the allocations that have changed since the last call, of all volumes in the chain and of volumes that
    /// were served before.
    pub fn changed(&mut self) -> Vec<VolumeAllocation> {
        let mut ids: BTreeSet<VolumeId> = self.reported.keys().copied().collect();
        ids.extend(
            self.chain
                .iter()
                .flat_map(|limits| limits.volumes.keys().copied()),
        );
        let allocations = ids.into_iter().map(|id| self.allocation(id));
        let is_new = |new: &VolumeAllocation| self.reported.get(&new.volume) != Some(new);
        let changed: Vec<VolumeAllocation> = allocations.filter(is_new).collect();
        for allocation in &changed {
            self.reported.insert(allocation.volume, allocation.clone());
        }
        // A volume that this host does not serve and that is in no revision of the chain is not kept.
        let chain = &self.chain;
        let is_named = |id: &VolumeId| chain.iter().any(|limits| limits.volumes.contains_key(id));
        self.reported
            .retain(|id, allocation| allocation.host_count > 0 || is_named(id));
        changed
    }
}
