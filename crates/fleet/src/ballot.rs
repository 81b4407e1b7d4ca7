//! The ballot by which a coordinator is elected. Comparing two ballots shows which coordinator was elected
//! later.

/// A candidate's attempt to be elected. Ballots are ordered by round, then by host; no two hosts use the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    /// A counter that grows with every attempt to be elected.
    pub round: u64,
    /// The number of the candidate's host.
    pub by: u32,
}
