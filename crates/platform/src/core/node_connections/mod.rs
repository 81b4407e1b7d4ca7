//! Connections to nodes. Each carries one message at a time. Idle connections are kept for later attempts. The one used
//! most recently is reused first, so that the others reach their maximum idle age and are closed. Connections are
//! opened only for waiting attempts and after a lost connection.
//!
//! `connection` and `node` hold the state of one connection and one node, `pool` all connections and nodes.
//! `assignment` assigns connections to waiting attempts, `responses` handles bytes that nodes send, `liveness` collects
//! evidence that a node's process was not restarted. The scheduler chooses the nodes.

mod assignment;
mod connection;
mod liveness;
pub(super) mod node;
pub(super) mod pool;
mod responses;
