//! Connections to nodes. One message is in flight at a time on each. Idle connections are kept for later attempts;
//! the one used last is taken first, so that the others reach their maximum age. None is opened ahead of an attempt.
//!
//! `connection` and `node` hold the state of one connection and one node, `pool` all of them; `assignment` matches
//! connections and waiting attempts, `responses` handles what nodes send, `liveness` the evidence that a node's
//! process was not restarted. Nothing here chooses a node.

mod assignment;
mod connection;
mod liveness;
pub(super) mod node;
pub(super) mod pool;
mod responses;
