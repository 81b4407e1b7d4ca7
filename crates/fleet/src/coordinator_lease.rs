//! The coordinator lease, which makes one host the coordinator. A majority of voters grants it by ballots,
//! without a disk, as PaxosLease does (Trencseni, Gazso, Reinhardt, 2012). [`Acceptor`] is the voter's side;
//! [`LeaseCandidate`] is the side of a host that seeks or renews the lease. `Fleet` carries the messages
//! between the two; neither sends any itself. Leases of members are in [`crate::member_lease`].
//!
//! **Why two processes never hold it at once.**
//! 1. A holder counts its lease from before it proposed, an acceptor from after it accepted. So an acceptor's
//!    entry expires later than the holder's lease.
//! 2. To be elected, another candidate needs promises of a majority. At least one acceptor in it accepted the
//!    first proposal. Either that one reports the live lease with its promise, or its entry has expired, and
//!    so has the holder's lease.
//! 3. A promise also rules out lower ballots, so a majority cannot accept an older proposal afterwards.
//!
//! **An acceptor that has just started** does not know what its earlier incarnation promised. It is
//! recovering, and answers nothing, for two leases. For that long a ballot prepared before its restart may
//! still be proposed and relied upon: a candidate drops a prepared ballot after one lease, and relies on a
//! proposal for one.

mod acceptor;
mod candidate;

pub use acceptor::{AcceptedCoordinatorLease, Acceptor, AcceptorReply};
pub use candidate::{
    CandidateRequest, HeldCoordinatorLease, LeaseCandidate, Proposal, renewal_check_interval,
};
