//! The scheduler's input: requests, ends of attempts, updates of the endpoint list and of the configuration.

use crate::{
    CrossZoneBudget, Endpoint, FleetMembership, HostId, NodeId, ObjectId, Plan, PlanId, PoolId,
    RequestClassId, RequestId, ShardId, Span, TimerId, UpdateKind, VolumeAllocation, VolumeId,
    ZoneId,
};

/// A request, as it arrived at this host.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The request's id, unique within one incarnation of the host.
    pub id: RequestId,
    /// The request class, which decides on repeats, order and value.
    pub request_class: RequestClassId,
    /// The plan of the request's volume.
    pub plan: PlanId,
    /// The volume against whose limit the request's units count.
    pub volume: VolumeId,
    /// The work that the request causes, in units.
    pub units: f64,
    /// Bytes that an attempt sends.
    pub bytes: f64,
    /// The shard of the request's data; `None`: a new object, which any shard may store.
    pub shard: Option<ShardId>,
    /// The request's object, for classes that keep the order of requests on one object; `None`: the request is
    /// sent without regard to order.
    pub object: Option<ObjectId>,
    /// For a new object, the pool of nodes that may hold it.
    pub pool: PoolId,
    /// How long the client still waits for the answer, counted from the arrival at this host.
    pub timeout: Span,
    /// Number of hosts that serve the volume; 0: unknown.
    pub volume_hosts: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node answered.
    Succeeded,
    /// The node answered with an error.
    Failed,
    /// The node rejected the attempt: it never ran.
    Rejected,
    /// There was no connection: the attempt never ran.
    Unreachable,
    /// The host did not send the attempt: it never ran.
    NotSent,
    /// No answer came in time.
    TimedOut,
    /// The connection broke.
    ConnectionLost,
    /// The host cancelled the attempt.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the node may still work on the attempt.
    pub fn may_still_run(self) -> bool {
        use AttemptOutcome::{Cancelled, ConnectionLost, TimedOut};
        matches!(self, TimedOut | ConnectionLost | Cancelled)
    }

    /// Whether it is certain that the node did no work for the attempt.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        )
    }
}

/// The end of an attempt, with its outcome and what the node reported.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The number of the attempt within the request, from 0.
    pub attempt: u32,
    /// The node that the attempt was sent to.
    pub node: NodeId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The latency. A host with sockets counts it from when the attempt was sent. The platform counts it from the
    /// scheduler's decision, so it includes the wait for the connection.
    pub latency: Span,
    /// Whether the client has its final answer.
    pub finished: bool,
    /// Usage of the volume over all hosts in a finished period, as a fraction of its nominal rate; `None`: the
    /// node did not report it.
    pub used: Option<f64>,
    /// The zone of the node.
    pub zone: ZoneId,
    /// Bytes that the node sent back.
    pub bytes: f64,
}

/// Something that happened since the scheduler's last step.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// Whether the entries are changes or a complete list.
        update_kind: UpdateKind,
        /// The entries, in the order in which they were received.
        entries: Vec<Endpoint>,
    },
    /// The endpoint list could not be fetched, or the watch for its changes was lost.
    EndpointListLost,
    /// A client sent a request. It gets at most one final answer.
    RequestArrived(Request),
    /// The configuration changed. If the positions of plans change, every volume that was served must have an
    /// allocation in the event.
    ConfigChanged {
        /// All plans from now on, by [`PlanId`].
        plans: Vec<Plan>,
        /// The allocations of the volumes that change.
        allocations: Vec<VolumeAllocation>,
        /// All cross-zone budgets from now on.
        cross_zone_budgets: Vec<CrossZoneBudget>,
        /// The fleet membership from now on; `None`: unchanged.
        fleet_membership: Option<FleetMembership>,
    },
    /// A timer is due.
    Timer(TimerId),
    /// The client disconnected and needs no answer any more.
    ClientDisconnected(RequestId),
    /// Another host sent a message.
    PeerMessage {
        /// The host that sent the message.
        from: HostId,
        /// The message, encoded as in [`demand_report`](crate::demand_report).
        bytes: Vec<u8>,
    },
    /// An attempt ended, with or without an answer of the node.
    AttemptEnded(AttemptEnd),
    /// The client has received the beginning of a streamed answer and must get no other answer.
    ResponseStarted {
        /// The request that is answered.
        id: RequestId,
        /// The node that answers.
        node: NodeId,
        /// The latency, counted as in [`AttemptEnd`].
        latency: Span,
    },
}
