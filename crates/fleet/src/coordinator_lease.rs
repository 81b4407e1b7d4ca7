//! The coordinator lease, which makes one host the coordinator. A majority of voters grants it by ballots,
//! without a disk, as PaxosLease does (Trencseni, Gazso, Reinhardt, 2012). [`Acceptor`] is a voter's side, [`LeaseCandidate`] the side of
//! whoever seeks or renews the lease. `Fleet` carries the messages between the two; neither side sends any by
//! itself.
//!
//! **Why two processes never hold it at once.** A holder counts its lease from before it proposed, an
//! acceptor from after it accepted, so an acceptor's entry outlasts the holder's belief. To be elected,
//! another candidate needs promises of a majority, and at least one acceptor in it accepted the first
//! proposal: either it reports the live lease with its promise, or its entry is over and so is the holder's
//! belief. A promise also rules out lower ballots, so an older proposal cannot be accepted by a majority
//! afterwards.
//!
//! **An acceptor that has just started** does not know what its earlier incarnation promised. It is
//! recovering, and answers nothing, for two leases: for that long a ballot prepared before its restart can
//! still be proposed and relied upon, and no longer, since a candidate gives up a prepared ballot after one
//! lease, and a proposal is relied upon for one.

mod acceptor;
mod candidate;

pub use acceptor::{AcceptedCoordinatorLease, Acceptor, AcceptorReply};
pub use candidate::{
    CandidateRequest, HeldCoordinatorLease, LeaseCandidate, Proposal, renewal_check_interval,
};
