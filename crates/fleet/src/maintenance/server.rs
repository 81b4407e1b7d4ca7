//! What a host observes of each server. The host fills it in; the coordinator selects the next server by it.

use gullsail_scheduler_api::{Span, VolumeId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number under which units served are counted among the demands.
pub const SERVED: VolumeId = VolumeId(u64::MAX - 3);

/// A storage node or a host, by its name's number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerId(pub u64);

/// What one host observes of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerObservation {
    /// Node or host.
    pub what: ServerRole,
    /// Its zone's number.
    pub zone: u32,
    /// Whether it serves: the endpoint list names it ready, and this host is connected to it. For a host the
    /// coordinator fills this in.
    pub well: bool,
    /// The process that runs there; 0: not known.
    pub incarnation: u64,
    /// Of a node: how long that process has run.
    pub up: Span,
}

/// What a server does.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerRole {
    /// A storage node.
    Node {
        /// The shard that it holds.
        shard: i64,
        /// The pool (its kind) that it is in.
        pool: u64,
        /// Its capacity, in units a second.
        can: f64,
    },
    /// A host of the fleet, by its number.
    Host(u32),
}

/// All servers that a host observes.
pub type Servers = BTreeMap<ServerId, ServerObservation>;
