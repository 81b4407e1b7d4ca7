//! Entries of the endpoint list, one for each storage node, and the kinds of its updates.

use crate::{Instant, NodeId, PoolId, ShardId, ZoneId};

/// State of a node. A node goes through the states in their order; only a newer start leads back to ready.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    /// The node takes requests.
    #[default]
    Ready,
    /// The node finishes the requests it has and takes no new ones.
    Draining,
    /// The node no longer exists.
    Gone,
}

/// A storage node, as the endpoint list has it.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The shard of the data that the node holds.
    pub shard: ShardId,
    /// The zone of the node.
    pub zone: ZoneId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When the node last started, if that is known.
    pub started: Option<Instant>,
    /// The pools of the node, beside the pool of all nodes.
    pub pools: Vec<PoolId>,
}

/// How the entries of an update of the endpoint list are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The entries that changed.
    Delta,
    /// The complete list; nodes that are not in it are gone.
    Snapshot,
    /// The complete list as it was last seen, perhaps long ago.
    StaleSnapshot,
    /// Entries that the nodes reported themselves: their start times replace any that were assumed.
    SelfReported,
}
