//! What happens to a host: requests, ends of attempts, changes of the list and of the configuration.

use crate::{
    CrossZoneBudget, Endpoint, FleetMembership, HostId, NodeId, ObjectId, Plan, PlanId, PoolId,
    RequestClassId, RequestId, ShardId, Span, TimerId, UpdateKind, VolumeAllocation, VolumeId,
    ZoneId,
};

/// A request, as it arrived at this host.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Unique within one incarnation of the host.
    pub id: RequestId,
    /// What it has in common with others.
    pub request_class: RequestClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// What its units count against.
    pub volume: VolumeId,
    /// The work that it is.
    pub units: f64,
    /// What an attempt of it sends.
    pub bytes: f64,
    /// Where the data lies; `None`: a new object.
    pub shard: Option<ShardId>,
    /// The piece of data, for classes that keep order.
    pub object: Option<ObjectId>,
    /// Of a new object: where it may lie.
    pub pool: PoolId,
    /// How long until the client drops this try.
    pub timeout: Span,
    /// Through how many hosts the volume's requests come.
    pub volume_hosts: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node answered.
    Succeeded,
    /// The node answered with an error.
    Failed,
    /// Turned away unseen: it never ran.
    Rejected,
    /// No connection: it never ran.
    Unreachable,
    /// Never went out.
    NotSent,
    /// No answer in time.
    TimedOut,
    /// The connection broke.
    ConnectionLost,
    /// This host broke it off.
    Cancelled,
}

impl AttemptOutcome {
    /// The node may still work on it.
    pub fn may_still_run(self) -> bool {
        use AttemptOutcome::{Cancelled, ConnectionLost, TimedOut};
        matches!(self, TimedOut | ConnectionLost | Cancelled)
    }

    /// It is certain that the node did nothing for it.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        )
    }
}

/// What came of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// Where it went.
    pub node: NodeId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// From when it was sent.
    pub latency: Span,
    /// The client has its final answer.
    pub finished: bool,
    /// What the volume was served through all hosts in some finished period, as a part of its usual rate.
    pub used: Option<f64>,
    /// Where the node is.
    pub zone: ZoneId,
    /// What it sent back.
    pub bytes: f64,
}

/// What happened since the last step.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or changes of it.
    EndpointList {
        /// How the entries are to be read.
        update_kind: UpdateKind,
        /// In the order in which they were received.
        entries: Vec<Endpoint>,
    },
    /// A call for the list failed, or the watch broke.
    EndpointListLost,
    /// A client's request. It gets at most one final answer.
    RequestArrived(Request),
    /// All plans as they are from now on, and of every volume whose allocations this changes the new ones.
    /// Places of plans may be other than before, so a volume that was served must be among these then.
    ConfigChanged {
        /// All of them, by [`PlanId`](crate::PlanId).
        plans: Vec<Plan>,
        /// Of the volumes that change.
        allocations: Vec<VolumeAllocation>,
        /// All of them.
        cross_zone_budgets: Vec<CrossZoneBudget>,
        /// `None`: as before.
        fleet_membership: Option<FleetMembership>,
    },
    /// A timer is due.
    Timer(TimerId),
    /// The client is gone: it needs no answer any more.
    ClientDisconnected(RequestId),
    /// Another host sent a message.
    PeerMessage {
        /// The sender.
        from: HostId,
        /// See [`demand_report`](crate::demand_report).
        bytes: Vec<u8>,
    },
    /// An attempt is over.
    AttemptEnded(AttemptEnd),
    /// The client gets the beginning of a streamed answer: it is owed no other.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The node that answers.
        node: NodeId,
        /// From when the attempt was sent.
        latency: Span,
    },
}
