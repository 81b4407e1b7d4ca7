//! The transition from one revision of the configuration to the next, host by host. The host owns and calls
//! it.
//!
//! **The rule.** A host keeps a chain of revisions: the one that it follows, and earlier ones back to the oldest
//! that some host may still follow. For each volume it may send the lowest of its limits in the chain.
//!
//! **Why the limit holds.** Let m be the oldest revision that any serving host follows now.
//! 1. The host that follows m has not reported a later one, so no host knows that all have passed m.
//! 2. So m is still in the chain of every host; it is not later than the host's own, since m is the oldest.
//! 3. So each host sends at most its limit by m, and these limits sum to the limit that revision m states.
//!
//! This holds at every moment, in whatever order hosts change. Notices may be lost, late or repeated: a lost
//! notice only keeps a chain long. A host that is down sends nothing; the others keep its revision in their
//! chains until it reports a later one.
//!
//! **Assumptions.** A host that starts is given a revision no older than the one that it last followed, and a
//! chain that reaches back to the oldest revision that any host follows. Operators have to ensure both; a host
//! that goes back to an earlier revision is reported ([`crate::NoticeEffect::WentBack`]).

mod notices;

use crate::error::TransitionError;
use crate::revision_limits::{Revision, RevisionLimits, lower};
use gullsail_scheduler_api::{HostId, Instant, Limit, PlanId, Span, VolumeAllocation, VolumeId};
use notices::{FINAL_ROUNDS, FIRST_WAIT};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A host that may still use a volume by an earlier revision than this host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggingHost {
    /// The host.
    pub host: HostId,
    /// How many hosts share the volume by that revision.
    pub sharing: usize,
}

/// Decides what this host may send for each volume, also while hosts follow different revisions.
pub struct ConfigTransition {
    me: HostId,
    /// Oldest first; never empty. The last is followed.
    chain: VecDeque<RevisionLimits>,
    /// By host: the latest revision that it is known to follow; it may follow a later one.
    reached: Vec<Revision>,
    /// The allocations as they were last returned.
    reported: BTreeMap<VolumeId, VolumeAllocation>,
    next_round: Instant,
    wait: Span,
    /// Rounds that are still sent once all hosts follow the same revision.
    final_rounds: u32,
    /// By volume, the share that the fleet granted to this host; `None`: even shares by the configuration.
    shares: Option<BTreeMap<VolumeId, f64>>,
    /// Hosts whose member lease has expired: they use at most their floor share.
    expired_members: BTreeSet<HostId>,
    /// Revisions that only hosts with an expired lease may still follow.
    retained: Vec<RevisionLimits>,
}

impl ConfigTransition {
    /// `chain` holds the revision to follow and the earlier ones; none of the `hosts` hosts follows one older
    /// than the oldest of them. An empty chain states no limit.
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
            wait: FIRST_WAIT,
            final_rounds: FINAL_ROUNDS,
            shares: None,
            expired_members: BTreeSet::new(),
            retained: Vec::new(),
        };
        transition.activate_latest();
        // The scheduler starts with even shares, so these count as reported.
        let volumes = transition.current().volumes.keys();
        transition.reported = volumes
            .map(|id| (*id, transition.even_allocation(*id)))
            .collect();
        transition
    }

    /// How many revisions are in the chain, and how many volumes' allocations are remembered.
    pub fn size_metrics(&self) -> (usize, usize) {
        (self.chain.len(), self.reported.len())
    }

    fn current(&self) -> &RevisionLimits {
        self.chain.back().expect("the chain is never empty")
    }

    /// The revision that this host follows.
    pub fn revision(&self) -> Revision {
        self.current().revision
    }

    /// Follows the last revision of the chain from now on.
    fn activate_latest(&mut self) {
        let revision = self.revision();
        self.reach(self.me, revision);
        self.drop_outdated();
    }

    /// Drops revisions that all hosts have passed. A host whose lease has expired does not hold up the others:
    /// it uses its floor share by the revision that it follows, which is retained apart.
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

    /// Adds hosts at the end of the configuration. They never followed an older revision.
    pub fn joined(&mut self, hosts: u32) {
        let revision = self.revision();
        let count = (hosts as usize).max(self.reached.len());
        self.reached.resize(count, revision);
    }

    /// Sets what the fleet granted: this host's share of each volume, and the hosts whose lease has expired. The
    /// limits by all revisions of the chain change with it.
    pub fn settle(&mut self, shares: BTreeMap<VolumeId, f64>, expired_members: BTreeSet<HostId>) {
        self.shares = Some(shares);
        self.expired_members = expired_members;
        self.drop_outdated();
    }

    /// Hosts that may still use a volume by an earlier revision.
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

    fn share(&self, volume: VolumeId) -> Option<f64> {
        self.shares
            .as_ref()
            .map(|shares| shares.get(&volume).copied().unwrap_or_default())
    }

    /// Applies the next revision, given with earlier ones, oldest first. A revision with the current number must
    /// state the same limits; places of plans may differ.
    ///
    /// # Errors
    /// The chain does not continue from the current revision, or does not reach back to every revision that
    /// other hosts may still follow. Nothing changes then.
    pub fn go_on(
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
            self.wait = FIRST_WAIT;
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
        // A host that starts with the new chain must keep every revision that this one keeps.
        let oldest = self.chain.front().map(|limits| limits.revision);
        match oldest.filter(|oldest| first.revision > *oldest) {
            Some(oldest) => Err(TransitionError::ChainTooShort(oldest)),
            None => Ok(next),
        }
    }

    /// Whether every host is known to follow this host's revision.
    pub fn settled(&self) -> bool {
        self.missing().next().is_none()
    }

    /// Hosts that are not known to follow this host's revision yet.
    pub fn missing(&self) -> impl Iterator<Item = HostId> {
        let revision = self.revision();
        let reached = self.reached.iter().zip(0..);
        let behind = reached.filter(move |(reached, _)| **reached < revision);
        behind
            .map(|(_, number)| HostId(number))
            .filter(|host| !self.expired_members.contains(host))
    }

    /// What this host may send for a volume; `None`: no limit applies.
    pub fn limit_of(&self, volume: VolumeId) -> Option<Limit> {
        let share = self.share(volume);
        let limits = self
            .chain
            .iter()
            .map(|limits| limits.limit_for(volume, self.me, share));
        limits.fold(None, lower)
    }

    /// The allocation by the current revision alone, with an even share.
    fn even_allocation(&self, id: VolumeId) -> VolumeAllocation {
        match self
            .current()
            .volumes
            .get(&id)
            .filter(|shared| shared.through(self.me))
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
                let part = Some(Limit {
                    rate: 0.0,
                    burst: 0.0,
                });
                VolumeAllocation {
                    volume: id,
                    plan: PlanId::default(),
                    host_count: 0,
                    host_limit: part,
                }
            }
        }
    }

    fn allocation(&self, id: VolumeId) -> VolumeAllocation {
        let even = self.even_allocation(id);
        if even.host_count == 0 {
            return even;
        }
        let limit = self.limit_of(id);
        let even_limit = self.current().limit_for(id, self.me, None);
        // An even share is reported as such, so that rounding does not turn one limit into two.
        VolumeAllocation {
            host_limit: limit.filter(|_| limit != even_limit),
            ..even
        }
    }

    /// The allocations that changed since this was last called, of all volumes of the chain and those served
    /// before.
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
        // A volume that was reported as gone and is in no revision of the chain need not be remembered.
        let chain = &self.chain;
        let is_named = |id: &VolumeId| chain.iter().any(|limits| limits.volumes.contains_key(id));
        self.reported
            .retain(|id, allocation| allocation.host_count > 0 || is_named(id));
        changed
    }
}
