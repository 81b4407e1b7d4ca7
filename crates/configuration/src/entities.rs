//! What the entries of a document become, one struct for each kind, with the names that the document gives
//! them.

use fnv::FnvHasher;
use gullsail_config_transition::Revision;
use gullsail_protocol::Bounds;
use gullsail_scheduler_api::*;
use std::hash::Hasher;
use std::sync::Arc;

/// The same number for a name at every host and in every process.
pub fn number(name: &str) -> u64 {
    let mut h = FnvHasher::default();
    h.write(name.as_bytes());
    h.finish()
}

/// A request class as the document names it; what decides is in `decisions`.
#[derive(Clone, Debug)]
pub struct NamedRequestClass {
    pub name: String,
    pub write: bool,
    pub deadline: Span,
    pub decisions: RequestClass,
}

/// A plan as the document names it.
#[derive(Clone, Debug)]
pub struct NamedPlan {
    pub name: String,
    /// How far all hosts together may pass the limit's store, in units (rule 7).
    pub slack: f64,
    pub decisions: Plan,
}

/// A volume, its plan and its hosts.
#[derive(Clone, Debug)]
pub struct NamedVolume {
    pub name: String,
    pub id: VolumeId,
    pub plan: PlanId,
    /// Through which hosts its requests come, in order of their numbers.
    pub hosts: Arc<[HostId]>,
}

impl NamedVolume {
    /// Whether the volume's requests come through this host.
    pub fn through(&self, host: HostId) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }
}

/// A budget of bytes between zones, as the document has it.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedCrossZoneBudget {
    /// Such as `east to west`, or `plan base`.
    pub name: String,
    pub id: VolumeId,
    pub of: BudgetScope,
    /// In bytes.
    pub limit: Limit,
    pub hard: bool,
    /// Who shares it: hosts in either zone, or all.
    pub hosts: Arc<[HostId]>,
}

/// Where a process runs. `listen` is where it binds, `address` where others reach it.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub zone: ZoneId,
    pub address: String,
    pub listen: String,
}

/// A storage node: where it runs and which shard it holds.
#[derive(Clone, Debug)]
pub struct NodePlace {
    pub place: Place,
    pub shard: ShardId,
    /// What sort of node it is, for pools; a word of the document's own.
    pub kind: String,
    /// Of the stand-ins' machines.
    pub server: usize,
    /// It does not run yet: a successor that hosts hear of from the list.
    pub spare: bool,
}

/// What a stand-in node is like. Nothing here is told to a host.
#[derive(Clone, Debug)]
pub struct Server {
    pub name: String,
    pub cores: u32,
    /// The work of one unit on one core.
    pub unit: Span,
    /// Requests that wait at most, beside those that run.
    pub queue: u32,
    pub pause: Span,
    pub pause_every: Span,
    /// The part of a write's work that is put off, and when it is done.
    pub put_off: f64,
    pub flush_every: Span,
    /// Once cold, it falls over when sent more than so many times what it can do, for the rule's window.
    pub falls_over: f64,
}

impl Server {
    /// Units a second that all its cores do.
    pub fn can(&self) -> f64 {
        f64::from(self.cores) / self.unit.secs().max(1e-9)
    }
}

/// The part of what machines can do that may be promised: the rest is for pauses and restarts.
pub const PROMISABLE: f64 = 0.9;

/// What bounds a host's memory and patience on its sockets.
#[derive(Clone, Debug)]
pub struct HostBounds {
    /// Open requests, and the body bytes that they hold; beyond, clients are not read from.
    pub most_open: u32,
    pub most_held: usize,
    pub frame: Bounds,
    /// Bytes that wait for one client; beyond, it is not read from. A client that takes none of them for
    /// `client_stall` is let go.
    pub most_unsent: usize,
    pub client_stall: Span,
    pub connect: Span,
    /// Between tries to connect: from, up to.
    pub redial: (Span, Span),
    /// How often a peer's clock is asked, and how far off it may be.
    pub clock_every: Span,
    pub clock_apart: Span,
}

/// The `fleet` entry.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedFleet {
    /// Hosts of another name are not listened to.
    pub name: String,
    pub lease: Span,
    /// By how much, at most, a second by a host's clock differs from a true one.
    pub drift: f64,
    /// The first so many hosts of the document elect the coordinator.
    pub voters: u32,
    /// The part of its even part that a host may use without a lease.
    pub floor: f64,
    /// New connections to one node, and attempts to one of which nothing comes, a second from all hosts
    /// together; `None`: each host opens and asks as it sees fit.
    pub connects: Option<f64>,
    pub probes: Option<f64>,
}

/// What a document says of its own place among others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RevisionPlace {
    pub revision: Revision,
    /// The file of the one before, as it is named.
    pub after: Option<String>,
}

/// The number of a node, the same at every host.
pub fn node_id(name: &str) -> NodeId {
    NodeId(number(name))
}
