//! The voter's side of the coordinator lease: the ballot that it has promised and the lease that it has accepted.
//! `Fleet` calls it for each prepare, propose and release message; it sends nothing itself.

use crate::ballot::Ballot;
use crate::config::FleetConfig;
use crate::process_id::ProcessId;
use gullsail_scheduler_api::Instant;

/// How long an acceptor sends no replies after its start, in coordinator leases. A ballot that its earlier incarnation
/// promised may be proposed for up to one lease, and the lease that this obtains lasts for up to one more. With a
/// shorter time two hosts could be the coordinator at once.
const RECOVERY_COORDINATOR_LEASES: f64 = 2.0;

/// A voter's state: the latest promise and the latest accepted lease.
#[derive(Clone, Debug)]
pub struct Acceptor {
    promised: Promise,
    accepted: Option<Acceptance>,
    recovering_until: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Promise {
    ballot: Ballot,
    /// The incarnation of the candidate's process.
    incarnation: u64,
}

#[derive(Clone, Copy, Debug)]
struct Acceptance {
    holder: ProcessId,
    expires_at: Instant,
}

/// A coordinator lease that an acceptor has accepted and that has not expired yet.
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
    /// The acceptor has just started and does not know what its earlier incarnation promised. No reply is sent.
    Recovering,
    /// The acceptor refuses the ballot, since it has promised this later one, or the same one to another incarnation of
    /// the candidate's host.
    Refused(Ballot),
    /// The acceptor promises the ballot, unless `held_by_other` is set.
    Promised {
        /// Another process holds an unexpired lease at this acceptor, so the reply does not count as a promise.
        held_by_other: bool,
    },
    /// The acceptor accepts the proposal and counts the lease from now.
    Accepted,
}

impl Acceptor {
    /// Creates an acceptor that starts now and has no state of an earlier incarnation.
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

    /// Returns the time before which the acceptor replies to no candidate.
    pub fn recovering_until(&self) -> Instant {
        self.recovering_until
    }

    /// Returns the accepted lease if it has not expired.
    pub fn unexpired(&self, now: Instant) -> Option<AcceptedCoordinatorLease> {
        let accepted = self.accepted.filter(|accepted| now < accepted.expires_at)?;
        Some(AcceptedCoordinatorLease {
            holder: accepted.holder,
            expires_at: accepted.expires_at,
        })
    }

    /// Whether a later ballot is promised, or the same ballot to another incarnation of the candidate's host.
    fn is_superseded(&self, ballot: Ballot, incarnation: u64) -> bool {
        let same_ballot = ballot == self.promised.ballot;
        ballot < self.promised.ballot || (same_ballot && incarnation != self.promised.incarnation)
    }

    /// Handles a candidate's request for a promise.
    pub fn prepare(&mut self, ballot: Ballot, process: ProcessId, now: Instant) -> AcceptorReply {
        // The promises of the earlier incarnation are lost. Without this check the acceptor could accept a proposal
        // that such a promise ruled out. The cost: when a majority of voters restarts at once, no host is elected
        // for two leases.
        if now < self.recovering_until {
            return AcceptorReply::Recovering;
        }
        if self.is_superseded(ballot, process.incarnation) {
            return AcceptorReply::Refused(self.promised.ballot);
        }
        // The candidate does not count this reply as a promise, so the ballot is not recorded. If it were, a host
        // that can send but not receive would force the holder to prepare a higher ballot again and again.
        if self
            .unexpired(now)
            .is_some_and(|lease| lease.holder != process)
        {
            return AcceptorReply::Promised {
                held_by_other: true,
            };
        }
        self.promised = Promise {
            ballot,
            incarnation: process.incarnation,
        };
        AcceptorReply::Promised {
            held_by_other: false,
        }
    }

    /// Handles the proposal of a candidate to become the holder of the lease or to renew it.
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

    /// Drops the accepted lease if `process` holds it; does nothing if another process does.
    pub fn release(&mut self, process: ProcessId) {
        self.accepted.take_if(|accepted| accepted.holder == process);
    }
}
