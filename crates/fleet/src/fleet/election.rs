//! Seeks and renews the coordinator lease: carries messages between this host's `LeaseCandidate` and the
//! voters' acceptors.

use super::{Fleet, messages};
use crate::coordinator::Coordinator;
use crate::coordinator_lease::{AcceptorReply, Ballot, CandidateRequest, Proposal};
use crate::maintenance::coordinator::MaintenanceCoordinator;
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetMessage, FleetWhat};
use gullsail_scheduler_api::HostId;
use tracing::info;

impl Fleet {
    fn process(&self) -> ProcessId {
        ProcessId {
            host: self.me,
            incarnation: self.incarnation,
        }
    }

    pub(super) fn advance_candidate(&mut self) {
        // A host that goes into maintenance resigns first and does not seek the lease again.
        let recovering = self.now < self.acceptor.recovering_until();
        if !self.config.is_voter(self.me) || recovering || self.going_offline() {
            return;
        }
        let own = self.process();
        let taken = self
            .acceptor
            .live(self.now)
            .filter(|lease| lease.holder != own);
        let taken_until = taken.map(|lease| lease.until);
        let request = self
            .candidate
            .advance(&self.config, taken_until, self.now, &mut self.rng);
        if let Some(request) = request {
            self.ask_voters(request);
        }
    }

    pub(super) fn ask_voters(&mut self, request: CandidateRequest) {
        let (what, ballot, number) = match request {
            CandidateRequest::Prepare(ballot) => (FleetWhat::Prepare, ballot, 0),
            CandidateRequest::Propose(proposal) => {
                (FleetWhat::Propose, proposal.ballot, proposal.number)
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
        self.candidate.observe(ballot);
        let reply = if request.what() == FleetWhat::Prepare {
            self.acceptor.prepare(ballot, process, self.now)
        } else {
            self.acceptor
                .propose(&self.config, ballot, process, self.now)
        };
        let (what, ballot, number) = match reply {
            AcceptorReply::Recovering => return,
            AcceptorReply::Refused(later) => (FleetWhat::Refuse, later, 0),
            AcceptorReply::Promised { taken } => (FleetWhat::Promise, ballot, u64::from(taken)),
            AcceptorReply::Accepted => (FleetWhat::Accept, ballot, request.number),
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
        self.epoch = self.epoch.max(promise.epoch);
        let from = HostId(promise.from);
        let ballot = messages::ballot(promise);
        let taken = promise.number > 0;
        let request = self
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
        if !self
            .candidate
            .accepted(&self.config, HostId(acceptance.from), proposal, self.now)
        {
            return;
        }
        match &mut self.coordinator {
            Some(coordinator) => coordinator.ballot = ballot,
            None => self.become_coordinator(ballot),
        }
    }

    fn become_coordinator(&mut self, ballot: Ballot) {
        self.counts.elected += 1;
        // Above every epoch that this host or its voters know. Where all have forgotten it, the round still is:
        // rounds begin at the clock's milliseconds.
        self.epoch = (self.epoch + 1).max(ballot.round);
        info!(
            member = self.me.0,
            epoch = self.epoch,
            round = ballot.round,
            "elected coordinator"
        );
        self.coordinator = Some(Coordinator::new(&self.config, ballot, self.epoch, self.now));
        let order_book = self.maintenance.order_book.clone();
        self.maintenance_coordinator =
            Some(MaintenanceCoordinator::new(ballot, order_book, self.now));
        self.next_poll = self.now;
        self.advance_coordinator();
    }

    /// Releases the coordinator lease, if this host holds it; returns whether it did. Member leases that it
    /// granted stay valid, and the next coordinator polls their holders.
    pub(super) fn resign(&mut self) -> bool {
        let Some(lease) = self.candidate.held(self.now) else {
            return false;
        };
        self.candidate.resign();
        self.coordinator = None;
        self.maintenance_coordinator = None;
        let me = self.me;
        for voter in self
            .config
            .voters()
            .filter(|voter| *voter != me)
            .collect::<Vec<_>>()
        {
            let message = self.new_message(FleetWhat::Release, voter, 0);
            let message = FleetMessage {
                round: lease.ballot.round,
                by: lease.ballot.by,
                ..message
            };
            self.send(message, None);
        }
        let own = self.process();
        self.acceptor.release(own);
        true
    }
}
