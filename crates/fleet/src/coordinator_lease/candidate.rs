//! The candidate's side of the coordinator lease: seeks and renews it. Called by `Fleet` with the time and the
//! acceptors' replies; it sends nothing itself and returns what to ask the voters.

use crate::ballot::Ballot;
use crate::config::FleetConfig;
use gullsail_scheduler_api::{HostId, Instant, Span};
use rand::Rng;
use std::collections::BTreeSet;
use std::ops::Range;

/// When the holder renews, in coordinator leases: early enough that two rounds may be lost.
const RENEWAL_INTERVAL_COORDINATOR_LEASES: f64 = 0.25;
/// How long a candidate waits between attempts, in coordinator leases: long compared with a round trip, short
/// compared with the lease that a takeover may have to wait for. Random, so that two candidates do not refuse
/// each other again and again.
const RETRY_COORDINATOR_LEASES: Range<f64> = 0.1..0.5;

/// How often the holder must look at its lease while nothing happens.
pub fn renewal_check_interval(config: &FleetConfig) -> Span {
    config
        .coordinator_lease()
        .times(RENEWAL_INTERVAL_COORDINATOR_LEASES / 2.0)
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Preparing {
        ballot: Ballot,
        sent_at: Instant,
        promised_by: BTreeSet<HostId>,
        /// Voters at which another process holds a live lease.
        refused_by_holder_at: BTreeSet<HostId>,
    },
    Proposing {
        proposal: Proposal,
        sent_at: Instant,
        accepted_by: BTreeSet<HostId>,
    },
}

/// A proposal, numbered: an acceptance counts only for the proposal that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The ballot that was prepared for it.
    pub ballot: Ballot,
    /// Counts the proposals of one process.
    pub number: u64,
}

/// What all voters are to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateRequest {
    /// To promise this ballot.
    Prepare(Ballot),
    /// To accept this proposal.
    Propose(Proposal),
}

/// The coordinator lease as its holder relies on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldCoordinatorLease {
    /// The ballot by which it was last granted.
    pub ballot: Ballot,
    /// When it expires, by the holder's clock.
    pub expires_at: Instant,
}

/// Seeks the coordinator lease and renews it.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    me: HostId,
    phase: Phase,
    held: Option<HeldCoordinatorLease>,
    /// The highest round seen so far, of any host.
    round: u64,
    next: Instant,
    proposals: u64,
}

impl LeaseCandidate {
    /// `round`: where to begin, in most cases above the rounds of earlier incarnations. Nothing is sought
    /// before `from`.
    pub fn new(me: HostId, round: u64, from: Instant) -> LeaseCandidate {
        LeaseCandidate {
            me,
            phase: Phase::Idle,
            held: None,
            round,
            next: from,
            proposals: 0,
        }
    }

    /// The lease, while it is held.
    pub fn held(&self, now: Instant) -> Option<HeldCoordinatorLease> {
        self.held.filter(|lease| now < lease.expires_at)
    }

    /// When [`LeaseCandidate::advance`] is due at the latest.
    pub fn next(&self) -> Instant {
        self.held
            .map_or(self.next, |lease| lease.expires_at.min(self.next))
    }

    /// Releases the lease.
    pub fn resign(&mut self) {
        self.held = None;
        self.phase = Phase::Idle;
    }

    /// Does what is due. `taken_until`: when the live lease of another process expires, as far as this host
    /// knows.
    pub fn advance(
        &mut self,
        config: &FleetConfig,
        taken_until: Option<Instant>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<CandidateRequest> {
        self.held.take_if(|lease| now >= lease.expires_at);
        if now < self.next {
            return None;
        }
        if let Some(lease) = self.held {
            self.next = now
                + config
                    .coordinator_lease()
                    .times(RENEWAL_INTERVAL_COORDINATOR_LEASES);
            // After a refusal the renewal needs a higher ballot, which has to be prepared first.
            if let Phase::Preparing { .. } = self.phase {
                return Some(self.prepare(now));
            }
            return Some(self.propose(lease.ballot, now));
        }
        // Spread at random: two candidates at the same moment would refuse each other.
        let wait = config
            .coordinator_lease()
            .times(rng.random_range(RETRY_COORDINATOR_LEASES));
        if let Some(until) = taken_until.filter(|until| *until > now) {
            self.phase = Phase::Idle;
            self.next = until + wait;
            return None;
        }
        self.next = now + wait;
        Some(self.prepare(now))
    }

    fn prepare(&mut self, now: Instant) -> CandidateRequest {
        self.round += 1;
        let ballot = Ballot {
            round: self.round,
            by: self.me.0,
        };
        self.start_preparing(ballot, now);
        CandidateRequest::Prepare(ballot)
    }

    fn start_preparing(&mut self, ballot: Ballot, now: Instant) {
        self.phase = Phase::Preparing {
            ballot,
            sent_at: now,
            promised_by: BTreeSet::new(),
            refused_by_holder_at: BTreeSet::new(),
        };
    }

    /// Counts a voter's promise. `taken`: another process holds a live lease there, so it is no promise.
    pub fn promised(
        &mut self,
        config: &FleetConfig,
        from: HostId,
        promised: Ballot,
        taken: bool,
        now: Instant,
    ) -> Option<CandidateRequest> {
        let Phase::Preparing {
            ballot,
            sent_at,
            promised_by,
            refused_by_holder_at,
        } = &mut self.phase
        else {
            return None;
        };
        // A ballot must not be proposed long after it was prepared: a voter that has restarted since may have
        // forgotten that it promised a later one. It may harm when a round trip takes a
        // lease: then no host is elected.
        if promised != *ballot || now - *sent_at >= config.held_coordinator_lease() {
            return None;
        }
        let voters = if taken {
            refused_by_holder_at
        } else {
            &mut *promised_by
        };
        voters.insert(from);
        if promised_by.len() < config.majority() {
            return None;
        }
        let ballot = *ballot;
        Some(self.propose(ballot, now))
    }

    fn propose(&mut self, ballot: Ballot, now: Instant) -> CandidateRequest {
        self.proposals += 1;
        let proposal = Proposal {
            ballot,
            number: self.proposals,
        };
        self.phase = Phase::Proposing {
            proposal,
            sent_at: now,
            accepted_by: BTreeSet::new(),
        };
        CandidateRequest::Propose(proposal)
    }

    /// Counts a voter's acceptance; returns whether it granted or renewed the lease.
    pub fn accepted(
        &mut self,
        config: &FleetConfig,
        from: HostId,
        accepted: Proposal,
        now: Instant,
    ) -> bool {
        let Phase::Proposing {
            proposal,
            sent_at,
            accepted_by,
        } = &mut self.phase
        else {
            return false;
        };
        let expires_at = *sent_at + config.held_coordinator_lease();
        // Late acceptances do not count: a lease is renewed by the same ballot, and an acceptance of an
        // earlier proposal would extend the holder's belief beyond the voters', so two hosts could be the coordinator.
        if accepted != *proposal || now >= expires_at {
            return false;
        }
        accepted_by.insert(from);
        if accepted_by.len() < config.majority() {
            return false;
        }
        let granted = HeldCoordinatorLease {
            ballot: proposal.ballot,
            expires_at,
        };
        if self.held.is_none() {
            self.next = now
                + config
                    .coordinator_lease()
                    .times(RENEWAL_INTERVAL_COORDINATOR_LEASES);
        }
        self.held = Some(granted);
        self.phase = Phase::Idle;
        true
    }

    /// A voter has promised a later ballot, or a member knows of one.
    pub fn refused(&mut self, later: Ballot, now: Instant) {
        self.observe(later);
        let own = match (&self.phase, &self.held) {
            (Phase::Preparing { ballot, .. }, _) => *ballot,
            (Phase::Proposing { proposal, .. }, _) => proposal.ballot,
            (Phase::Idle, Some(lease)) => lease.ballot,
            (Phase::Idle, None) => return,
        };
        if later <= own {
            return;
        }
        // The holder retries at once with a higher ballot; other candidates wait.
        if self.held.is_some() {
            self.next = now;
            self.start_preparing(own, now);
        } else {
            self.phase = Phase::Idle;
        }
    }

    /// Notes a ballot that exists: this host's next one is above it.
    pub fn observe(&mut self, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
    }
}
