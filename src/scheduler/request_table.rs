//! Open requests, from their arrival until the last of their attempts has ended, and the order of the
//! requests of one object. Bookkeeping only: what becomes of a request is decided in `admission`, `dispatch`
//! and `attempts`.

use super::queue::{QueueGroup, QueueKey, WaitingRequest};
use gullsail_scheduler_api::{Instant, ObjectId, Request, RequestId, ShardId, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// An attempt that may have run: it has not proved the contrary.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    pub(super) attempt: u32,
    pub(super) shard: ShardId,
    pub(super) zone: ZoneId,
    pub(super) since: Instant,
}

#[derive(Default)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    pub(super) objective_deadline: Instant,
    /// When half of the time until the objective deadline is gone.
    pub(super) half_time: Instant,
    /// Where it waits.
    pub(super) queue: Option<QueueKey>,
    pub(super) attempts_sent: u32,
    pub(super) in_flight: u32,
    pub(super) possible_run: Option<PossibleRun>,
    /// It has its final answer, or a stream has begun that is now the client's.
    pub(super) closed: bool,
}

impl OpenRequest {
    pub(super) fn group(&self) -> QueueGroup {
        QueueGroup {
            volume: self.request.volume,
            request_class: self.request.request_class,
        }
    }

    pub(super) fn waiting(&self) -> WaitingRequest {
        WaitingRequest {
            objective_deadline: self.objective_deadline,
            id: self.request.id,
        }
    }
}

/// The requests of one object whose request class keeps their order.
#[derive(Default)]
pub(super) struct ObjectOrder {
    /// In order of arrival.
    pub(super) requests: VecDeque<RequestId>,
    /// Until then an earlier attempt may still run.
    pub(super) settled_at: Instant,
}

#[derive(Default)]
pub(super) struct RequestTable {
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) object_orders: BTreeMap<ObjectId, ObjectOrder>,
}

impl RequestTable {
    pub(super) fn object_order(&mut self, object: Option<ObjectId>) -> Option<&mut ObjectOrder> {
        self.object_orders.get_mut(&object?)
    }

    pub(super) fn forget_settled(&mut self, now: Instant) {
        self.object_orders
            .retain(|_, order| !order.requests.is_empty() || order.settled_at > now);
    }
}
