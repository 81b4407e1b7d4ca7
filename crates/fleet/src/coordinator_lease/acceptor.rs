//! The voter's side of the coordinator lease: what it has promised and accepted. Called by `Fleet` for each
//! prepare, propose and release message; it sends nothing itself.

use crate::ballot::Ballot;
use crate::config::FleetConfig;
use crate::process_id::ProcessId;
use gullsail_scheduler_api::Instant;

/// How long an acceptor that has just started answers nothing, in coordinator leases. A ballot that its earlier
/// incarnation promised is proposed for at most one lease and relied upon for one more; sooner, two hosts could be the
/// coordinator at once.
const RECOVERY_COORDINATOR_LEASES: f64 = 2.0;

/// A voter's memory of ballots.
#[derive(Clone, Debug)]
pub struct Acceptor {
    promised: Promise,
    accepted: Option<Acceptance>,
    recovering_until: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Promise {
    ballot: Ballot,
    incarnation: u64,
}

#[derive(Clone, Copy, Debug)]
struct Acceptance {
    holder: ProcessId,
    expires_at: Instant,
}

/// A coordinator lease that has not expired yet, as an acceptor knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedCoordinatorLease {
    /// The process that holds it.
    pub holder: ProcessId,
    /// When it expires, by the acceptor's clock.
    pub expires_at: Instant,
}

/// How an acceptor replies to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptorReply {
    /// It has just started and does not know what its earlier incarnation promised: it sends no answer.
    Recovering,
    /// It has promised this later ballot.
    Refused(Ballot),
    /// Promised.
    Promised {
        /// Another process holds a live lease here, so this does not count as a promise.
        taken: bool,
    },
    /// The proposal is accepted, and the lease counts from now.
    Accepted,
}

impl Acceptor {
    /// An acceptor that starts now, with nothing remembered.
    pub fn new(config: &FleetConfig, now: Instant) -> Acceptor {
        Acceptor {
            promised: Promise::default(),
            accepted: None,
            recovering_until: now
                + config
                    .coordinator_lease()
                    .times(RECOVERY_COORDINATOR_LEASES),
        }
    }

    /// The acceptor answers no candidate before this time.
    pub fn recovering_until(&self) -> Instant {
        self.recovering_until
    }

    /// The lease that is live here, if there is one.
    pub fn live(&self, now: Instant) -> Option<AcceptedCoordinatorLease> {
        let accepted = self.accepted.filter(|accepted| now < accepted.expires_at)?;
        Some(AcceptedCoordinatorLease {
            holder: accepted.holder,
            expires_at: accepted.expires_at,
        })
    }

    /// Whether a later ballot is promised, or the same one to another incarnation.
    fn is_superseded(&self, ballot: Ballot, incarnation: u64) -> bool {
        let same_ballot = ballot == self.promised.ballot;
        ballot < self.promised.ballot || (same_ballot && incarnation != self.promised.incarnation)
    }

    /// A candidate asks for a promise.
    pub fn prepare(&mut self, ballot: Ballot, process: ProcessId, now: Instant) -> AcceptorReply {
        // A promise of the earlier incarnation is forgotten: without this, a proposal that it had ruled out
        // could be accepted. It may harm where most voters start at once: no host is elected for two leases.
        if now < self.recovering_until {
            return AcceptorReply::Recovering;
        }
        if self.is_superseded(ballot, process.incarnation) {
            return AcceptorReply::Refused(self.promised.ballot);
        }
        // The candidate does not count this as a promise, so it need not be one: otherwise a host that
        // receives no messages could take the holder's ballot away again and again.
        if self.live(now).is_some_and(|lease| lease.holder != process) {
            return AcceptorReply::Promised { taken: true };
        }
        self.promised = Promise {
            ballot,
            incarnation: process.incarnation,
        };
        AcceptorReply::Promised { taken: false }
    }

    /// A candidate proposes itself as the holder of the lease.
    pub fn propose(
        &mut self,
        config: &FleetConfig,
        ballot: Ballot,
        process: ProcessId,
        now: Instant,
    ) -> AcceptorReply {
        if now < self.recovering_until {
            return AcceptorReply::Recovering;
        }
        if self.is_superseded(ballot, process.incarnation) {
            return AcceptorReply::Refused(self.promised.ballot);
        }
        self.promised = Promise {
            ballot,
            incarnation: process.incarnation,
        };
        self.accepted = Some(Acceptance {
            holder: process,
            expires_at: now + config.coordinator_lease(),
        });
        AcceptorReply::Accepted
    }

    /// The holder releases the lease. Nothing changes if another process holds it.
    pub fn release(&mut self, process: ProcessId) {
        self.accepted.take_if(|accepted| accepted.holder == process);
    }
}
