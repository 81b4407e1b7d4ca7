//! Seeks and renews the coordinator lease: carries messages between this host's `LeaseCandidate` and the
//! voters' acceptors.

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

/// How long a host waits after its acceptor has recovered before it first seeks the coordinator lease, in
/// coordinator leases. Random, so that hosts that start together do not all compete at once: two candidates
/// at the same moment refuse each other. A wider range delays the first election.
const FIRST_ATTEMPT_COORDINATOR_LEASES: Range<f64> = 0.0..0.5;

/// This host in elections: as a voter, and as a candidate.
#[derive(Clone, Debug)]
pub(super) struct Election {
    pub(super) acceptor: Acceptor,
    pub(super) candidate: LeaseCandidate,
}

impl Election {
    pub(super) fn new(
        config: &FleetConfig,
        own: HostId,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Election {
        let acceptor = Acceptor::new(config, now);
        let wait = config
            .coordinator_lease()
            .times(rng.random_range(FIRST_ATTEMPT_COORDINATOR_LEASES));
        // Rounds begin at the clock's milliseconds: above those of earlier incarnations, unless clocks are
        // far apart. Safety does not depend on it: an acceptor accepts a ballot from one incarnation only.
        let round = (now.micros() / 1000).max(0) as u64;
        let candidate = LeaseCandidate::new(own, round, acceptor.recovering_until() + wait);
        Election {
            acceptor,
            candidate,
        }
    }

    /// Seeks or renews the coordinator lease, if that is due. Returns what to ask the voters.
    fn advance(
        &mut self,
        config: &FleetConfig,
        own: ProcessId,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<CandidateRequest> {
        let accepted = self.acceptor.live(now);
        let held_by_other = accepted.filter(|lease| lease.holder != own);
        let taken_until = held_by_other.map(|lease| lease.expires_at);
        self.candidate.advance(config, taken_until, now, rng)
    }
}

impl Fleet {
    pub(super) fn advance_candidate(&mut self) {
        // A host that goes into maintenance resigns first and does not seek the lease again.
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
        let (what, ballot, number) = match request {
            CandidateRequest::Prepare(ballot) => (FleetMessageKind::Prepare, ballot, 0),
            CandidateRequest::Propose(proposal) => {
                (FleetMessageKind::Propose, proposal.ballot, proposal.number)
            }
        };
        for voter in self.config.voters().collect::<Vec<_>>() {
            let message = self.new_message(what, voter, 0);
            let message = FleetMessage {
                number,
                round: ballot.round,
                by: ballot.by,
                ..message
            };
            self.send(message, None);
        }
    }

    /// A candidate asks this host's acceptor.
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
        let (what, ballot, number) = match reply {
            AcceptorReply::Recovering => return,
            AcceptorReply::Refused(later) => (FleetMessageKind::Refuse, later, 0),
            AcceptorReply::Promised { taken } => {
                (FleetMessageKind::Promise, ballot, u64::from(taken))
            }
            AcceptorReply::Accepted => (FleetMessageKind::Accept, ballot, request.number),
        };
        let message = self.new_message(what, process.host, process.incarnation);
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
        let taken = promise.number > 0;
        let request = self
            .election
            .candidate
            .promised(&self.config, from, ballot, taken, self.now);
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
        // Above every epoch that this host or its voters know. Where all have forgotten it, the round still is:
        // rounds begin at the clock's milliseconds.
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

    /// Releases the coordinator lease, if this host holds it; returns whether it did. Member leases that it
    /// granted stay valid, and the next coordinator polls their holders.
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
        let own = self.process;
        self.election.acceptor.release(own);
        true
    }
}
