//! The candidate's side of the coordinator lease: seeks and renews it. `Fleet` passes it the time and the acceptors'
//! replies; it returns the requests to send to the voters and sends nothing itself.

use crate::ballot::Ballot;
use crate::config::FleetConfig;
use gullsail_scheduler_api::{HostId, Instant, Span};
use rand::Rng;
use std::collections::BTreeSet;
use std::ops::Range;

/// The interval between renewals, in coordinator leases: short enough that the messages of two renewals may be lost.
const RENEWAL_INTERVAL_COORDINATOR_LEASES: f64 = 0.25;
/// The wait of a candidate between attempts, in coordinator leases: long compared with a round trip, short compared
/// with the lease that a takeover may have to wait for. It is random, so that two candidates do not make each other
/// fail again and again.
const RETRY_COORDINATOR_LEASES: Range<f64> = 0.1..0.5;

/// Returns the interval at which the holder must check its lease while no event occurs: half of the renewal interval.
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
        /// Voters at which another process holds an unexpired lease.
        held_by_other_at: BTreeSet<HostId>,
    },
    Proposing {
        proposal: Proposal,
        sent_at: Instant,
        accepted_by: BTreeSet<HostId>,
    },
}

/// A proposal with a number, so that an acceptance counts only for the proposal that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The prepared ballot under which the lease is proposed.
    pub ballot: Ballot,
    /// The proposal's number; it counts the proposals of one process.
    pub number: u64,
}

/// A request that the candidate makes to all voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateRequest {
    /// A request to promise this ballot.
    Prepare(Ballot),
    /// A request to accept this proposal.
    Propose(Proposal),
}

/// The coordinator lease at its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldCoordinatorLease {
    /// The ballot by which the lease was last granted or renewed.
    pub ballot: Ballot,
    /// When the lease expires, by the holder's clock.
    pub expires_at: Instant,
}

/// Seeks the coordinator lease and renews it.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    me: HostId,
    phase: Phase,
    held: Option<HeldCoordinatorLease>,
    /// The highest round that this host has seen in any ballot.
    highest_round: u64,
    /// When the next attempt or renewal is due.
    next_attempt_at: Instant,
    /// The number of proposals made so far.
    proposals: u64,
}

impl LeaseCandidate {
    /// Creates a candidate that first seeks the lease at `first_attempt_at`. Its first ballot has the round after
    /// `highest_round`, which should be at least as high as the rounds of earlier incarnations.
    pub fn new(me: HostId, highest_round: u64, first_attempt_at: Instant) -> LeaseCandidate {
        LeaseCandidate {
            me,
            phase: Phase::Idle,
            held: None,
            highest_round,
            next_attempt_at: first_attempt_at,
            proposals: 0,
        }
    }

    /// Returns the lease if this host holds it at `now`.
    pub fn held(&self, now: Instant) -> Option<HeldCoordinatorLease> {
        self.held.filter(|lease| now < lease.expires_at)
    }

    /// Returns when to call [`LeaseCandidate::advance`] at the latest.
    pub fn next(&self) -> Instant {
        self.held.map_or(self.next_attempt_at, |lease| {
            lease.expires_at.min(self.next_attempt_at)
        })
    }

    /// Drops the lease and ends any attempt to obtain it.
    pub fn resign(&mut self) {
        self.held = None;
        self.phase = Phase::Idle;
    }

    /// Drops the lease if it has expired, and makes the next attempt or renewal if it is due. Returns the request to
    /// send to all voters. `held_by_other_until` is when the lease of another process expires, as far as this host
    /// knows; `None`: no other process is known to hold it.
    pub fn advance(
        &mut self,
        config: &FleetConfig,
        held_by_other_until: Option<Instant>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<CandidateRequest> {
        self.held.take_if(|lease| now >= lease.expires_at);
        if now < self.next_attempt_at {
            return None;
        }
        if let Some(lease) = self.held {
            self.next_attempt_at = now
                + config
                    .coordinator_lease()
                    .times(RENEWAL_INTERVAL_COORDINATOR_LEASES);
            // After a refusal the holder can renew only by a higher ballot, which it has to prepare first.
            if let Phase::Preparing { .. } = self.phase {
                return Some(self.prepare(now));
            }
            return Some(self.propose(lease.ballot, now));
        }
        // The wait is random, since two candidates that start at the same time make each other fail.
        let wait = config
            .coordinator_lease()
            .times(rng.random_range(RETRY_COORDINATOR_LEASES));
        if let Some(until) = held_by_other_until.filter(|until| *until > now) {
            self.phase = Phase::Idle;
            self.next_attempt_at = until + wait;
            return None;
        }
        self.next_attempt_at = now + wait;
        Some(self.prepare(now))
    }

    fn prepare(&mut self, now: Instant) -> CandidateRequest {
        self.highest_round += 1;
        let ballot = Ballot {
            round: self.highest_round,
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
            held_by_other_at: BTreeSet::new(),
        };
    }

    /// Handles a voter's reply to a prepare request. `held_by_other`: another process holds an unexpired lease at
    /// that voter, so the reply is no promise. Once a majority has promised, returns the proposal to send.
    pub fn promised(
        &mut self,
        config: &FleetConfig,
        from: HostId,
        promised: Ballot,
        held_by_other: bool,
        now: Instant,
    ) -> Option<CandidateRequest> {
        let Phase::Preparing {
            ballot,
            sent_at,
            promised_by,
            held_by_other_at,
        } = &mut self.phase
        else {
            return None;
        };
        // A ballot must be proposed within one lease of its preparation. A voter that has restarted since may have
        // lost its promise of a later ballot, and recovers only for as long as this bound requires. The cost: if
        // round trips take as long as a lease, no host is elected.
        if promised != *ballot || now - *sent_at >= config.held_coordinator_lease() {
            return None;
        }
        let voters = if held_by_other {
            held_by_other_at
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

    /// Handles a voter's acceptance; returns whether it completes a majority and so grants or renews the lease.
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
        // Renewals propose under the same ballot, so the proposal's number has to match too. An acceptance of an
        // earlier proposal would extend the lease at the holder beyond its end at the voters, and two hosts could be
        // the coordinator at once.
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
            self.next_attempt_at = now
                + config
                    .coordinator_lease()
                    .times(RENEWAL_INTERVAL_COORDINATOR_LEASES);
        }
        self.held = Some(granted);
        self.phase = Phase::Idle;
        true
    }

    /// Handles a refusal by a voter that has promised the ballot `later`, or by a member that follows it.
    pub fn refused(&mut self, later: Ballot, now: Instant) {
        self.observe(later);
        let current = match (&self.phase, &self.held) {
            (Phase::Preparing { ballot, .. }, _) => *ballot,
            (Phase::Proposing { proposal, .. }, _) => proposal.ballot,
            (Phase::Idle, Some(lease)) => lease.ballot,
            (Phase::Idle, None) => return,
        };
        if later <= current {
            return;
        }
        // The holder retries at once: in phase `Preparing`, `advance` prepares a higher ballot instead of proposing the
        // refused one again. Other candidates wait for their next attempt.
        if self.held.is_some() {
            self.next_attempt_at = now;
            self.start_preparing(current, now);
        } else {
            self.phase = Phase::Idle;
        }
    }

    /// Records a ballot of any host, so that this host's next ballot is higher.
    pub fn observe(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }
}
