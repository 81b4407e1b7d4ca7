//! Open requests, from their arrival until the last of their attempts has ended, and the order of the
//! requests of one object. Bookkeeping only: what becomes of a request is decided in `admission`, `dispatch`
//! and `attempts`.

use super::queue::{QueueGroup, QueueKey, WaitingRequest};
use super::request_scheduler::RequestScheduler;
use gullsail_scheduler_api::{AttemptEnd, Instant, ObjectId, Request, RequestId, ShardId, ZoneId};
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
        QueueGroup { volume: self.request.volume, request_class: self.request.request_class }
    }

    pub(super) fn waiting(&self) -> WaitingRequest {
        WaitingRequest { objective_deadline: self.objective_deadline, id: self.request.id }
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
        self.object_orders.retain(|_, order| !order.requests.is_empty() || order.settled_at > now);
    }
}

impl RequestScheduler {
    pub(super) fn leave_queue(&mut self, id: RequestId) {
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        let Some(key) = open.queue.take() else { return };
        if !self.queues.remove(key, open.group(), open.waiting()) || open.attempts_sent > 0 {
            return;
        }
        if let Some(volume) = self.volumes.by_id.get_mut(&open.request.volume) {
            volume.bucket.waiting -= open.request.units;
        }
    }

    /// The client has its answer or is gone; the entry stays until no attempt is in flight.
    pub(super) fn close(&mut self, id: RequestId) {
        self.leave_queue(id);
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        open.closed = true;
        if open.in_flight > 0 {
            return;
        }
        let object = open.request.object;
        if let Some(order) = self.requests.object_order(object) {
            order.requests.retain(|other| *other != id);
        }
        self.requests.open.remove(&id);
    }

    /// Notes what came of an attempt at its request, its volume and its object.
    pub(super) fn record_outcome(&mut self, end: &AttemptEnd) {
        let Some(open) = self.requests.open.get_mut(&end.id) else { return };
        if let (Some(used), Some(volume)) = (end.used, self.volumes.by_id.get_mut(&open.request.volume)) {
            let plan = self.config.plans.get(volume.plan.0);
            volume.fleet_usage = plan.map(|plan| used * plan.nominal_rate);
        }
        open.in_flight = open.in_flight.saturating_sub(1);
        if end.outcome.never_ran() {
            open.possible_run = open.possible_run.filter(|run| run.attempt != end.attempt);
        }
        let object = open.request.object;
        if let (true, Some(order)) = (end.outcome.may_still_run(), self.requests.object_order(object)) {
            order.settled_at = order.settled_at.max(self.now + self.config.order_settle);
        }
    }
}
