//! The ballot by which a coordinator is elected. Every module that has to tell a later coordinator from an
//! earlier one compares ballots; this file depends on none of them.

/// Ordered by round, then by host: no two hosts ever use the same ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    /// Grows with every attempt to be elected.
    pub round: u64,
    /// The number of the candidate's host.
    pub by: u32,
}
