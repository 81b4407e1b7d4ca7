//! From one revision of the configuration to the next, host by host. Owned and called by the host.
//!
//! **The rule.** A host counts a chain of revisions: the one that it follows, and those before it back to the
//! oldest that some host may still follow. For each volume it may send the lowest of its limits by all of
//! them.
//!
//! **Why the limit holds.** Let m be the oldest revision that any serving host follows now. The host that
//! follows it is not beyond m, so no host has learned that all are beyond m, and m is still in the chain of
//! each (it is not after the host's own, for m is the oldest). So each host sends at most its limit by m, and
//! these sum to the limit that revision m states. This is so at every moment, in whatever order hosts change,
//! whatever notices are lost, late or repeated: a lost notice only keeps a chain long. A host that is down
//! sends nothing, and the others keep its revision in their chains until it reports that it has gone on.
//!
//! **What it relies on.** A host that starts is given a revision no older than the one that it last followed,
//! and the chain given with it reaches back to a revision that no host is older than. Both are the operators'
//! to keep; a host that is seen to go back is reported ([`crate::NoticeEffect::WentBack`]).

mod notices;

use crate::error::TransitionError;
use crate::revision_limits::{Revision, RevisionLimits, lower};
use gullsail_scheduler_api::{HostId, Instant, Limit, PlanId, Span, VolumeAllocation, VolumeId};
use notices::{FINAL_ROUNDS, FIRST_WAIT};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A host that may still use a volume by an earlier revision than the one that this host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggingHost {
    /// The host.
    pub host: HostId,
    /// How many hosts share the volume by that revision.
    pub sharing: usize,
}

/// Decides what this host may send for each volume until all hosts follow the same revision.
pub struct ConfigTransition {
    me: HostId,
    /// Oldest first; never empty. The last is followed.
    chain: VecDeque<RevisionLimits>,
    /// By host: it follows this revision, or a later one.
    reached: Vec<Revision>,
    /// The allocations as they were last returned.
    reported: BTreeMap<VolumeId, VolumeAllocation>,
    next_round: Instant,
    wait: Span,
    /// Rounds that are still sent once all hosts follow the same revision.
    final_rounds: u32,
    /// By volume, the share of it that the fleet settled for this host; `None`: even shares by the
    /// configuration.
    shares: Option<BTreeMap<VolumeId, f64>>,
    /// Hosts that the fleet has put out: they use nothing but their floors.
    out: BTreeSet<HostId>,
    /// Revisions that all other hosts are beyond, and a host that is out may still follow.
    retained: Vec<RevisionLimits>,
}

impl ConfigTransition {
    /// `chain` is the revision to follow and those named before it; none of `hosts` hosts is older than the
    /// oldest of them. An empty chain states no limit.
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
            out: BTreeSet::new(),
            retained: Vec::new(),
        };
        transition.arrive();
        // A host that starts takes its even shares by itself.
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

    /// This host follows the last revision of the chain from now on.
    fn arrive(&mut self) {
        let revision = self.revision();
        self.reach(self.me, revision);
        self.drop_outdated();
    }

    /// Revisions that all hosts are beyond are dropped. A host that is out holds up nobody: it uses its floor
    /// by the revision that it follows, which is retained as long as it may.
    fn drop_outdated(&mut self) {
        let reached = || {
            self.reached
                .iter()
                .zip(0..)
                .map(|(revision, number)| (HostId(number), *revision))
        };
        let active = reached().filter(|(host, _)| !self.out.contains(host));
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
                .is_some_and(|p| p.revision < oldest_active)
        {
            self.retained.extend(self.chain.pop_front());
        }
        self.retained.retain(|limits| limits.revision >= oldest);
    }

    /// Hosts were added at the end of the configuration: they never followed an older revision.
    pub fn joined(&mut self, hosts: u32) {
        let revision = self.revision();
        let count = (hosts as usize).max(self.reached.len());
        self.reached.resize(count, revision);
    }

    /// What the fleet settled: this host's share of each volume, and which hosts are out. The limits by all
    /// revisions of the chain change with it.
    pub fn settle(&mut self, shares: BTreeMap<VolumeId, f64>, out: BTreeSet<HostId>) {
        self.shares = Some(shares);
        self.out = out;
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

    /// Follows the next revision, given with those before it, oldest first. One of the same number must state
    /// the same limits; places of plans may differ.
    ///
    /// # Errors
    /// The chain does not go on from the revision in force, or does not reach back to all that other hosts
    /// may still follow: nothing is changed then.
    pub fn go_on(
        &mut self,
        chain: Vec<RevisionLimits>,
        now: Instant,
    ) -> Result<(), TransitionError> {
        let held = self.revision();
        let next = self.check_next(&chain)?;
        self.chain.pop_back();
        self.chain
            .extend(chain.into_iter().filter(|limits| limits.revision >= held));
        if next > held {
            self.arrive();
            self.next_round = now;
            self.wait = FIRST_WAIT;
            self.final_rounds = FINAL_ROUNDS;
        }
        Ok(())
    }

    /// Returns the number of the chain's last revision, if the chain goes on from the revision in force.
    fn check_next(&self, chain: &[RevisionLimits]) -> Result<Revision, TransitionError> {
        let held = self.revision();
        let (Some(first), Some(last)) = (chain.first(), chain.last()) else {
            return Err(TransitionError::NotLater {
                held,
                next: Revision(0),
            });
        };
        let next = last.revision;
        if next < held {
            return Err(TransitionError::NotLater { held, next });
        }
        match chain.iter().find(|limits| limits.revision == held) {
            Some(same) if same.same_limits_as(self.current()) => {}
            Some(_) if next == held => return Err(TransitionError::SameRevision(held)),
            Some(_) => return Err(TransitionError::Other(held)),
            None => {
                let after = chain
                    .iter()
                    .rev()
                    .nth(1)
                    .map_or(next, |limits| limits.revision);
                return Err(TransitionError::NotNext { held, after, next });
            }
        }
        // A host that starts with the new chain must count all that this one counts.
        let oldest = self.chain.front().map(|limits| limits.revision);
        match oldest.filter(|oldest| first.revision > *oldest) {
            Some(oldest) => Err(TransitionError::TooShort(oldest)),
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
            .filter(|host| !self.out.contains(host))
    }

    /// What this host may send for a volume; `None`: no limit is to be kept.
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
                    hosts,
                    part: None,
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
                    hosts: 0,
                    part,
                }
            }
        }
    }

    fn allocation(&self, id: VolumeId) -> VolumeAllocation {
        let even = self.even_allocation(id);
        if even.hosts == 0 {
            return even;
        }
        let limit = self.limit_of(id);
        let even_limit = self.current().limit_for(id, self.me, None);
        // An even share is left to whoever holds it: rounding must not make two different limits of one.
        VolumeAllocation {
            part: limit.filter(|_| limit != even_limit),
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
        // Reported as gone, and named by no revision of the chain: nothing is left to compare with.
        let chain = &self.chain;
        let is_named = |id: &VolumeId| chain.iter().any(|limits| limits.volumes.contains_key(id));
        self.reported
            .retain(|id, allocation| allocation.hosts > 0 || is_named(id));
        changed
    }
}
