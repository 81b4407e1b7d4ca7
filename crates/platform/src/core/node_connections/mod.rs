//! Connections to nodes. Each carries one message at a time. Idle connections are kept for later attempts. The one used
//! most recently is reused first, so that the others reach their maximum idle age and are closed. After a response a
//! connection is not reused for a moment, in which a second copy of the response may be received. Connections are
//! opened only for waiting attempts and after a lost connection.
//!
//! `connection` and `node` hold the state of one connection and one node, `pool` all connections and nodes.
//! `descriptors` divides the bounded number of connections between waiting attempts.
//! `assignment` assigns connections to waiting attempts, `responses` handles bytes that nodes send, `liveness` collects
//! evidence that a node's process was not restarted. The scheduler chooses the nodes.

mod assignment;
mod connection;
mod descriptors;
mod liveness;
pub(super) mod node;
pub(super) mod pool;
mod responses;
