//! The coordinator lease, which makes one host the coordinator. A majority of voters grants it by ballots and
//! stores nothing on disk, as in PaxosLease (Trencseni, Gazso, Reinhardt, 2012). [`Acceptor`] is the voter's side.
//! [`LeaseCandidate`] is the side of a host that seeks or renews the lease. `Fleet` carries the messages between
//! them; neither sends messages itself. Member leases are in [`crate::member_lease`].
//!
//! **Why two processes never hold the lease at once.**
//! 1. The holder counts its lease from when it sent the proposal, an acceptor from when it accepted, which is later.
//!    The holder's lease is also shorter, to allow for clock drift. So the lease expires at the holder before it does
//!    at the acceptor.
//! 2. To be elected, another candidate needs the promises of a majority. At least one acceptor of that majority
//!    accepted the holder's proposal. Either it replies that another process holds an unexpired lease, which does
//!    not count as a promise, or the lease has expired there, and so also at the holder.
//! 3. An acceptor that has made a promise refuses lower ballots, so a majority cannot accept an older proposal
//!    afterwards.
//!
//! **After a restart** an acceptor does not know what its earlier incarnation promised. It is recovering, and sends no
//! replies, for two coordinator leases. A ballot that was prepared before the restart may be proposed for up to one
//! lease, and the lease that this proposal obtains lasts for up to one more.

mod acceptor;
mod candidate;

pub use acceptor::{AcceptedCoordinatorLease, Acceptor, AcceptorReply};
pub use candidate::{
    CandidateRequest, HeldCoordinatorLease, LeaseCandidate, Proposal, renewal_check_interval,
};
