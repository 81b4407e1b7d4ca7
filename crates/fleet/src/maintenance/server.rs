//! A host's observation of each server. The host provides it; the coordinator selects the next server by it.

use gullsail_scheduler_api::{Span, VolumeId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The pseudo budget under which `Fleet` records the units that this host serves, along with the demand for budgets.
pub const SERVED: VolumeId = VolumeId(u64::MAX - 3);

/// Identifies a storage node or a host by a number derived from its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerId(pub u64);

/// One host's observation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerObservation {
    /// The role of the server: a node or a host.
    pub role: ServerRole,
    /// The number of the server's zone.
    pub zone: u32,
    /// Whether the server is in service. A node is if the endpoint list has it as ready and this host is connected to
    /// it; if this host must not send to the node and so has no connection, the endpoint list alone decides. For a host
    /// the coordinator sets this to whether it is an active member.
    pub in_service: bool,
    /// The incarnation of the process that runs on the server; 0: not known.
    pub incarnation: u64,
    /// How long the process on a node has run; 0: the server is a host, or the start of the process is not known.
    pub uptime: Span,
}

/// The role of a server.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerRole {
    /// A storage node.
    Node {
        /// The number of the shard that the node holds.
        shard: i64,
        /// The number of the node's pool.
        pool: u64,
        /// The node's capacity, in units a second.
        can: f64,
    },
    /// A host of the fleet, with its number.
    Host(u32),
}

/// A host's observations of all servers.
pub type Servers = BTreeMap<ServerId, ServerObservation>;
