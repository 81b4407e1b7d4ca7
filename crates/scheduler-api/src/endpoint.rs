//! Storage nodes as the endpoint list has them, and the updates of that list.

use crate::{Instant, NodeId, PoolId, ShardId, ZoneId};

/// In the order in which a node goes through them: only a newer start leads back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    #[default]
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer there.
    Gone,
}

/// A storage node, as the endpoint list has it.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The data that it holds.
    pub shard: ShardId,
    /// Where it is.
    pub zone: ZoneId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When it last started, if that is known.
    pub started: Option<Instant>,
    /// Those it is in beside that of all nodes.
    pub pools: Vec<PoolId>,
}

/// What an update of the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Entries that changed.
    Delta,
    /// The whole list; who is not in it is gone.
    Snapshot,
    /// The whole list as it was last seen, perhaps long ago.
    StaleSnapshot,
    /// What these nodes reported of themselves: their starts are certain, whatever was supposed.
    SelfReported,
}
