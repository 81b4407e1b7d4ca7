//! What the entries of a document become, one struct for each kind, with the names that the document gives
//! them.

use fnv::FnvHasher;
use gullsail_config_transition::Revision;
use gullsail_protocol::Bounds;
use gullsail_scheduler_api::{
    BudgetScope, HostId, Limit, NodeId, Plan, PlanId, RequestClass, ShardId, Span, VolumeId, ZoneId,
};
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
    /// Its name.
    pub name: String,
    /// Whether its requests write.
    pub write: bool,
    /// How long a client waits, unless it says otherwise.
    pub deadline: Span,
    /// What the scheduler needs of it.
    pub decisions: RequestClass,
}

/// A plan as the document names it.
#[derive(Clone, Debug)]
pub struct NamedPlan {
    /// Its name.
    pub name: String,
    /// By how many units all hosts together may exceed the limit's tokens (rule 7).
    pub slack: f64,
    /// What the scheduler needs of it.
    pub decisions: Plan,
}

/// A volume, its plan and its hosts.
#[derive(Clone, Debug)]
pub struct NamedVolume {
    /// Its name.
    pub name: String,
    /// The hash of its name.
    pub id: VolumeId,
    /// Its plan.
    pub plan: PlanId,
    /// The hosts that serve it, in order of their numbers.
    pub hosts: Arc<[HostId]>,
}

impl NamedVolume {
    /// Whether the volume's requests come through this host.
    pub fn is_served_by(&self, host: HostId) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }
}

/// A budget of bytes between zones, as the document has it.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedCrossZoneBudget {
    /// Such as `east to west`, or `plan base`.
    pub name: String,
    /// The hash of its name.
    pub id: VolumeId,
    /// What counts against it.
    pub scope: BudgetScope,
    /// In bytes.
    pub limit: Limit,
    /// It is never overrun by requests with a choice of zone.
    pub hard: bool,
    /// The hosts that share it: those in either zone, or all.
    pub hosts: Arc<[HostId]>,
}

/// Where a process runs. `listen` is where it binds, `address` where others reach it.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneId,
    /// Where others reach it.
    pub address: String,
    /// The address that it binds.
    pub listen: String,
}

/// A storage node: where it runs and which shard it holds.
#[derive(Clone, Debug)]
pub struct NodePlace {
    /// Where it runs.
    pub place: Place,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Its kind, by which pools select nodes.
    pub kind: String,
    /// The place of its server among those of simulated nodes.
    pub server: usize,
    /// It does not run at first: a successor that hosts learn of from the endpoint list.
    pub spare: bool,
}

/// What a stand-in node is like. Nothing here is told to a host.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// How many requests run at once.
    pub cores: u32,
    /// The work of one unit on one core.
    pub unit: Span,
    /// The most requests that wait beside those that run.
    pub queue: u32,
    /// How long a pause lasts.
    pub pause: Span,
    /// The mean time between pauses.
    pub pause_every: Span,
    /// The fraction of a write's work that is deferred.
    pub put_off: f64,
    /// When deferred work is done.
    pub flush_every: Span,
    /// While it warms up, it exits when sent more than so many times its capacity within the slow-start window.
    pub falls_over: f64,
}

impl Server {
    /// Units a second that all its cores do.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) / self.unit.secs().max(1e-9)
    }
}

/// The part of what machines can do that may be promised: the rest is for pauses and restarts.
pub const PROMISABLE: f64 = 0.9;

/// What bounds a host's memory and patience on its sockets.
#[derive(Clone, Debug)]
pub struct HostBounds {
    /// The most open requests; at the bound, clients are not read from.
    pub most_open: u32,
    /// The most body bytes of open requests; at the bound, clients are not read from.
    pub most_held: usize,
    /// The largest frames that are accepted.
    pub frame: Bounds,
    /// The most bytes queued for one client; at the bound, it is not read from.
    pub most_unsent: usize,
    /// A client that reads none of its queued bytes for so long is disconnected.
    pub client_stall: Span,
    /// How long a connection attempt may take.
    pub connect: Span,
    /// The first and the largest backoff between attempts to connect.
    pub redial: (Span, Span),
    /// How often a peer's clock is queried.
    pub clock_every: Span,
    /// The largest offset of a peer's clock that is accepted.
    pub clock_apart: Span,
}

/// The `fleet` entry.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedFleet {
    /// Its name; messages of another fleet are dropped.
    pub name: String,
    /// The member lease, as the granter counts it.
    pub lease: Span,
    /// By how much, at most, the rate of a host clock differs from true time.
    pub drift: f64,
    /// The first so many hosts of the document elect the coordinator.
    pub voters: u32,
    /// The fraction of its even share that a host may use without a lease.
    pub floor: f64,
    /// New connections to one node a second, from all hosts together; `None`: not limited.
    pub connects: Option<f64>,
    /// Attempts a second at a node that does not answer, from all hosts together; `None`: not limited.
    pub probes: Option<f64>,
}

/// What a document says of its own place among others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RevisionPlace {
    /// Its revision.
    pub revision: Revision,
    /// The file of the revision before.
    pub after: Option<String>,
}

/// The number of a node, the same at every host.
pub fn node_id(name: &str) -> NodeId {
    NodeId(number(name))
}
