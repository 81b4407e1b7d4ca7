//! Ids that the core and its caller use. This file depends on no other file of the core, since all of them use it.

/// Id of a connection, chosen by the core. Ids are not used again within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Id of the requester that waits for the result of a proposal or of an operator command, chosen by the caller.
pub type RequesterId = u64;

/// Id of an attempt, chosen by the core. The node repeats it in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);
