//! The entries of the endpoint list, one for each storage node, and the kinds of updates of the list.

use crate::{Instant, NodeId, PoolId, ShardId, ZoneId};

/// State of a node. A node goes through the states in this order; only a restart makes it ready again.
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
    /// The node's id.
    pub node: NodeId,
    /// The shard of the data that the node holds.
    pub shard: ShardId,
    /// The zone of the node.
    pub zone: ZoneId,
    /// Whether the node takes requests.
    pub state: EndpointState,
    /// When the node last started; `None`: not known.
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
    /// The complete list as it was last received, perhaps long ago.
    StaleSnapshot,
    /// Entries that the nodes reported themselves: their start times replace assumed ones.
    SelfReported,
}
