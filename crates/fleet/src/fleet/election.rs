//! Seeks and renews the coordinator lease: exchanges messages between this host's `LeaseCandidate` and the voters'
//! acceptors, and between this host's `Acceptor` and other candidates.

use super::coordination::CoordinatorRole;
use super::{Fleet, messages};
use crate::ballot::Ballot;
use crate::config::FleetConfig;
use crate::coordinator_lease::{
    Acceptor, AcceptorReply, CandidateRequest, LeaseCandidate, Proposal,
};
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetMessage, FleetMessageKind};
use gullsail_scheduler_api::{HostId, Instant};
use rand::Rng;
use std::ops::Range;
use tracing::info;

/// The wait of a host between the recovery of its acceptor and its first attempt to obtain the coordinator lease, in
/// coordinator leases. It is random, so that hosts that start together do not all make an attempt at once: candidates
/// that start at the same time make each other fail. A wider range delays the first election.
const FIRST_ATTEMPT_COORDINATOR_LEASES: Range<f64> = 0.0..0.5;

/// This host's state in elections, as a voter and as a candidate.
#[derive(Clone, Debug)]
pub(super) struct Election {
    pub(super) acceptor: Acceptor,
    pub(super) candidate: LeaseCandidate,
}

impl Election {
    pub(super) fn new(
        config: &FleetConfig,
        me: HostId,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Election {
        let acceptor = Acceptor::new(config, now);
        let wait = config
            .coordinator_lease()
            .times(rng.random_range(FIRST_ATTEMPT_COORDINATOR_LEASES));
        // Rounds start at the clock's milliseconds, which is higher than the rounds of earlier incarnations unless
        // clocks are far apart. Safety does not depend on this: an acceptor accepts a ballot from one incarnation
        // only.
        let round = (now.micros() / 1000).max(0) as u64;
        let candidate = LeaseCandidate::new(me, round, acceptor.recovering_until() + wait);
        Election {
            acceptor,
            candidate,
        }
    }

    /// Seeks or renews the coordinator lease if that is due. Returns the request to send to the voters.
    fn advance(
        &mut self,
        config: &FleetConfig,
        process: ProcessId,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<CandidateRequest> {
        let accepted = self.acceptor.unexpired(now);
        let held_by_other = accepted.filter(|lease| lease.holder != process);
        let held_by_other_until = held_by_other.map(|lease| lease.expires_at);
        self.candidate
            .advance(config, held_by_other_until, now, rng)
    }
}

impl Fleet {
    pub(super) fn advance_candidate(&mut self) {
        // A host that drains for maintenance has resigned and does not seek the lease again.
        let recovering = self.now < self.election.acceptor.recovering_until();
        if !self.config.is_voter(self.process.host) || recovering || self.going_offline() {
            return;
        }
        let request = self
            .election
            .advance(&self.config, self.process, self.now, &mut self.rng);
        if let Some(request) = request {
            self.ask_voters(request);
        }
    }

    pub(super) fn ask_voters(&mut self, request: CandidateRequest) {
        let (kind, ballot, number) = match request {
            CandidateRequest::Prepare(ballot) => (FleetMessageKind::Prepare, ballot, 0),
            CandidateRequest::Propose(proposal) => {
                (FleetMessageKind::Propose, proposal.ballot, proposal.number)
            }
        };
        for voter in self.config.voters().collect::<Vec<_>>() {
            let message = self.new_message(kind, voter, 0);
            let message = FleetMessage {
                number,
                round: ballot.round,
                by: ballot.by,
                ..message
            };
            self.send(message, None);
        }
    }

    /// Handles a candidate's prepare or propose request with this host's acceptor, and replies.
    pub(super) fn answer_candidate(&mut self, request: &FleetMessage, link: HostId) {
        let ballot = messages::ballot(request);
        let process = messages::sender(request);
        self.election.candidate.observe(ballot);
        let reply = if request.kind() == FleetMessageKind::Prepare {
            self.election.acceptor.prepare(ballot, process, self.now)
        } else {
            self.election
                .acceptor
                .propose(&self.config, ballot, process, self.now)
        };
        let (kind, ballot, number) = match reply {
            AcceptorReply::Recovering => return,
            AcceptorReply::Refused(later) => (FleetMessageKind::Refuse, later, 0),
            AcceptorReply::Promised { held_by_other } => {
                (FleetMessageKind::Promise, ballot, u64::from(held_by_other))
            }
            AcceptorReply::Accepted => (FleetMessageKind::Accept, ballot, request.number),
        };
        let message = self.new_message(kind, process.host, process.incarnation);
        let message = FleetMessage {
            round: ballot.round,
            by: ballot.by,
            number,
            ..message
        };
        self.send(message, Some(link));
    }

    pub(super) fn promise_received(&mut self, promise: &FleetMessage) {
        self.membership.epoch = self.membership.epoch.max(promise.epoch);
        let from = HostId(promise.from);
        let ballot = messages::ballot(promise);
        let held_by_other = promise.number > 0;
        let request =
            self.election
                .candidate
                .promised(&self.config, from, ballot, held_by_other, self.now);
        if let Some(request) = request {
            self.ask_voters(request);
        }
    }

    pub(super) fn acceptance_received(&mut self, acceptance: &FleetMessage) {
        let ballot = messages::ballot(acceptance);
        let proposal = Proposal {
            ballot,
            number: acceptance.number,
        };
        if !self.election.candidate.accepted(
            &self.config,
            HostId(acceptance.from),
            proposal,
            self.now,
        ) {
            return;
        }
        match &mut self.coordinator_role {
            Some(role) => role.shares.ballot = ballot,
            None => self.become_coordinator(ballot),
        }
    }

    fn become_coordinator(&mut self, ballot: Ballot) {
        self.statistics.counts.elected += 1;
        // The epoch must be higher than every earlier one. If all voters have restarted and lost it, the ballot's
        // round still is higher, since rounds start at the clock's milliseconds.
        self.membership.epoch = (self.membership.epoch + 1).max(ballot.round);
        info!(
            member = self.process.host.0,
            epoch = self.membership.epoch,
            round = ballot.round,
            "elected coordinator"
        );
        let order_book = self.maintenance.order_book.clone();
        let epoch = self.membership.epoch;
        let role = CoordinatorRole::new(&self.config, ballot, epoch, order_book, self.now);
        self.coordinator_role = Some(role);
        self.advance_coordinator();
    }

    /// Releases the coordinator lease if this host holds it; returns whether it did. Member leases that it granted
    /// remain valid, and the next coordinator polls their holders.
    pub(super) fn resign(&mut self) -> bool {
        let Some(lease) = self.election.candidate.held(self.now) else {
            return false;
        };
        self.election.candidate.resign();
        self.coordinator_role = None;
        let me = self.process.host;
        for voter in self
            .config
            .voters()
            .filter(|voter| *voter != me)
            .collect::<Vec<_>>()
        {
            let message = self.new_message(FleetMessageKind::Release, voter, 0);
            let message = FleetMessage {
                round: lease.ballot.round,
                by: lease.ballot.by,
                ..message
            };
            self.send(message, None);
        }
        let process = self.process;
        self.election.acceptor.release(process);
        true
    }
}
