//! The entries of a document after reading: one struct for each kind of entry.

use fnv::FnvHasher;
use gullsail_config_transition::Revision;
use gullsail_protocol::Bounds;
use gullsail_scheduler_api::{
    BudgetScope, HostId, Limit, NodeId, Plan, PlanId, RequestClass, ShardId, Span, VolumeId, ZoneId,
};
use std::hash::Hasher;
use std::sync::Arc;

/// Hashes a name. The result is the same at every host and in every process.
pub fn number(name: &str) -> u64 {
    let mut h = FnvHasher::default();
    h.write(name.as_bytes());
    h.finish()
}

/// A request class with its name, and what hosts need besides the scheduler's configuration of the class.
#[derive(Clone, Debug)]
pub struct NamedRequestClass {
    /// The name in the document (`stream-type`).
    pub name: String,
    /// Whether requests of this class write.
    pub write: bool,
    /// The time from the arrival of a request to its deadline, unless the client states another.
    pub deadline: Span,
    /// The scheduler's configuration of the class.
    pub decisions: RequestClass,
}

/// A plan with its name, and what hosts need besides the scheduler's configuration of the plan.
#[derive(Clone, Debug)]
pub struct NamedPlan {
    /// The name in the document.
    pub name: String,
    /// The number of units by which all hosts together may exceed the limit's tokens (rule 7).
    pub slack: f64,
    /// The scheduler's configuration of the plan.
    pub decisions: Plan,
}

/// A volume, its plan and its hosts.
#[derive(Clone, Debug)]
pub struct NamedVolume {
    /// The name in the document.
    pub name: String,
    /// The hash of the name, cut to the six bytes that fit into a demand report.
    pub id: VolumeId,
    /// The plan that sets the volume's reservation, limit and weight.
    pub plan: PlanId,
    /// The hosts that serve the volume, in order of their numbers.
    pub hosts: Arc<[HostId]>,
}

impl NamedVolume {
    /// Whether this host serves the volume.
    pub fn is_served_by(&self, host: HostId) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }
}

/// A budget for traffic between zones (a `crossing` entry).
#[derive(Clone, Debug, PartialEq)]
pub struct NamedCrossZoneBudget {
    /// The name made from the scope, such as `east to west` or `plan base`.
    pub name: String,
    /// The hash of `crossing/` and the name, cut to six bytes like the id of a volume.
    pub id: VolumeId,
    /// The traffic that counts against the budget.
    pub scope: BudgetScope,
    /// The rate in bytes a second, and the burst in bytes.
    pub limit: Limit,
    /// Whether requests that have a choice of zone may never exceed the budget.
    pub hard: bool,
    /// The hosts that share the budget: those in either zone of a pair, all hosts for a plan's budget.
    pub hosts: Arc<[HostId]>,
}

/// The name, zone and addresses of a host, a node or the list service.
#[derive(Clone, Debug)]
pub struct Place {
    /// The name in the document.
    pub name: String,
    /// The zone that the process runs in.
    pub zone: ZoneId,
    /// The address at which other processes connect.
    pub address: String,
    /// The address that the process binds.
    pub listen: String,
}

/// A storage node.
#[derive(Clone, Debug)]
pub struct NodePlace {
    /// The node's name, zone and addresses.
    pub place: Place,
    /// The shard that the node holds.
    pub shard: ShardId,
    /// The kind, by which pools select nodes; empty if none is stated.
    pub kind: String,
    /// The index of the node's server in `Deployment::servers`. Only simulated nodes use it.
    pub server: usize,
    /// Whether the node is a successor that does not run at first. Hosts learn of it from the endpoint list.
    pub spare: bool,
}

/// The server that a simulated node runs on. Hosts do not read it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The name in the document (`machine`).
    pub name: String,
    /// The number of requests that run at the same time.
    pub cores: u32,
    /// The time that one core takes for one unit of work.
    pub unit: Span,
    /// The maximum number of requests that wait while all cores are busy.
    pub queue: u32,
    /// The length of a pause during which the server does no work.
    pub pause: Span,
    /// The mean time between pauses.
    pub pause_every: Span,
    /// The fraction of a write's work that is deferred until the next flush.
    pub put_off: f64,
    /// The interval between flushes, which do the deferred work.
    pub flush_every: Span,
    /// While the server warms up, it exits if within the slow-start window it is sent more than this multiple of its
    /// capacity.
    pub falls_over: f64,
}

impl Server {
    /// The units a second that all cores do together.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) / self.unit.secs().max(1e-9)
    }
}

/// The fraction of the servers' capacity that reservations may use. The remainder covers pauses and restarts.
pub const RESERVABLE_FRACTION: f64 = 0.9;

/// The limits on a host's memory and on the waits at its sockets. The `Debug` form stands in a diff.
#[derive(Clone, Debug)]
pub struct HostBounds {
    /// The maximum number of open requests. At the limit, the host stops reading from clients.
    pub most_open: u32,
    /// The maximum number of body bytes of open requests. At the limit, the host stops reading from clients.
    pub most_held: usize,
    /// The maximum lengths of the parts of a frame. A longer frame is rejected.
    pub frame: Bounds,
    /// The maximum number of bytes queued for one client. At the limit, the host stops reading from that client.
    pub most_unsent: usize,
    /// A client that reads none of its queued bytes for this time is disconnected.
    pub client_stall: Span,
    /// The timeout of a connection attempt.
    pub connect: Span,
    /// The first and the largest backoff between connection attempts.
    pub redial: (Span, Span),
    /// The interval at which a peer's clock is queried.
    pub clock_every: Span,
    /// The maximum offset of a peer's clock that is accepted.
    pub clock_apart: Span,
}

/// The `fleet` entry. The `Debug` form stands in a diff.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedFleet {
    /// The name in the document. Hosts drop messages of a fleet with another name.
    pub name: String,
    /// The length of a member lease by the clock of the coordinator, which grants it.
    pub lease: Span,
    /// The maximum relative error of the rate of a host's clock.
    pub drift: f64,
    /// The number of hosts, counted from the first in the document, that elect the coordinator.
    pub voters: u32,
    /// The fraction of an even share that a host may use without a lease.
    pub floor: f64,
    /// The limit on new connections a second to one node, from all hosts together; `None`: no limit.
    pub connects: Option<f64>,
    /// The limit on attempts a second to a node that does not respond, from all hosts together; `None`: no limit.
    pub probes: Option<f64>,
}

/// The `revision` entry: the position of a document in the sequence of revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RevisionPlace {
    /// The document's revision; 0 if the document states none.
    pub revision: Revision,
    /// The file of the revision before; `None` if this is the first.
    pub after: Option<String>,
}

/// The id of the node with this name. It is the same at every host.
pub fn node_id(name: &str) -> NodeId {
    NodeId(number(name))
}
