//! Open requests, from their arrival until the last of their attempts has ended, and the order of requests on
//! one object. Bookkeeping only: what becomes of a request is decided in `admission`, `dispatch` and `attempts`.

use super::attempts::idempotency::UnprovenExecution;
use super::dispatch::queue::{QueueGroup, QueueKey, WaitingRequest};
use gullsail_scheduler_api::{AttemptEnd, Instant, ObjectId, Request, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// A request that is not over.
pub(super) struct OpenRequest {
    request: Request,
    objective_deadline: Instant,
    /// When half of the time until the objective deadline is over.
    half_time: Instant,
    /// The queue in which it waits.
    queue: Option<QueueKey>,
    attempts_sent: u32,
    in_flight: u32,
    unproven_execution: Option<UnprovenExecution>,
    /// It has its final answer, or the client receives a streamed one.
    answered: bool,
}

impl OpenRequest {
    pub(super) fn new(request: Request, now: Instant, objective_deadline: Instant) -> Self {
        OpenRequest {
            request,
            objective_deadline,
            half_time: now + (objective_deadline - now).times(0.5),
            queue: None,
            attempts_sent: 0,
            in_flight: 0,
            unproven_execution: None,
            answered: false,
        }
    }

    pub(super) fn request(&self) -> &Request {
        &self.request
    }

    pub(super) fn objective_deadline(&self) -> Instant {
        self.objective_deadline
    }

    /// Whether half of the time until the objective deadline is over.
    pub(super) fn half_time_passed(&self, now: Instant) -> bool {
        now >= self.half_time
    }

    pub(super) fn attempts_sent(&self) -> u32 {
        self.attempts_sent
    }

    /// Whether its next attempt is its first.
    pub(super) fn is_first_attempt(&self) -> bool {
        self.attempts_sent == 0
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.queue.is_some()
    }

    /// The client is owed no further answer.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// The first attempt that may have run.
    pub(super) fn unproven_execution(&self) -> Option<UnprovenExecution> {
        self.unproven_execution
    }

    /// It is certain that no endpoint worked on it.
    pub(super) fn never_ran(&self) -> bool {
        self.unproven_execution.is_none() && self.in_flight == 0
    }

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

/// The requests on one object whose class keeps their order.
#[derive(Default)]
struct ObjectOrder {
    /// In order of arrival.
    requests: VecDeque<RequestId>,
    /// An earlier attempt may still run until then, so the next request waits.
    blocked_until: Instant,
}

/// All open requests of this host.
#[derive(Default)]
pub(super) struct RequestTable {
    open: BTreeMap<RequestId, OpenRequest>,
    object_orders: BTreeMap<ObjectId, ObjectOrder>,
}

impl RequestTable {
    /// Adds a request; one that keeps its object's order goes behind the others of its object.
    pub(super) fn insert(&mut self, id: RequestId, open: OpenRequest, keeps_order: bool) {
        if let (true, Some(object)) = (keeps_order, open.request.object) {
            let order = self.object_orders.entry(object).or_default();
            order.requests.push_back(id);
        }
        self.open.insert(id, open);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// A request that is known to be open, since it waits in a queue.
    pub(super) fn known(&self, id: RequestId) -> &OpenRequest {
        &self.open[&id]
    }

    /// All open requests, by their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = &OpenRequest> {
        self.open.values()
    }

    /// Notes the queue of a request.
    pub(super) fn set_queue(&mut self, id: RequestId, key: QueueKey) -> Option<&OpenRequest> {
        let open = self.open.get_mut(&id)?;
        open.queue = Some(key);
        Some(open)
    }

    /// The queue in which a request waited; it no longer does after this call.
    pub(super) fn take_queue(&mut self, id: RequestId) -> Option<QueueKey> {
        self.open.get_mut(&id)?.queue.take()
    }

    /// Notes an attempt. The first that may have run is kept.
    pub(super) fn record_sent(&mut self, id: RequestId, execution: UnprovenExecution) {
        if let Some(open) = self.open.get_mut(&id) {
            open.attempts_sent += 1;
            open.in_flight += 1;
            open.unproven_execution.get_or_insert(execution);
        }
    }

    /// Notes the end of an attempt. If it may still run, its object is blocked until `blocked_until`.
    pub(super) fn record_ended(&mut self, end: &AttemptEnd, blocked_until: Instant) {
        let Some(open) = self.open.get_mut(&end.id) else {
            return;
        };
        open.in_flight = open.in_flight.saturating_sub(1);
        if end.outcome.never_ran() {
            let execution = open.unproven_execution;
            open.unproven_execution = execution.filter(|run| run.attempt != end.attempt);
        }
        let order = open.request.object;
        let order = order.and_then(|object| self.object_orders.get_mut(&object));
        if let (true, Some(order)) = (end.outcome.may_still_run(), order) {
            order.blocked_until = order.blocked_until.max(blocked_until);
        }
    }

    /// The client is owed no further answer.
    pub(super) fn set_answered(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.answered = true;
        }
    }

    /// The client is owed no further answer; the request is removed if no attempt is in flight.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.answered = true;
        if open.in_flight > 0 {
            return;
        }
        let object = open.request.object;
        if let Some(order) = object.and_then(|object| self.object_orders.get_mut(&object)) {
            order.requests.retain(|other| *other != id);
        }
        self.open.remove(&id);
    }

    /// Whether the order of requests on an object lets this one go.
    pub(super) fn is_next_of_object(
        &self,
        id: RequestId,
        object: Option<ObjectId>,
        now: Instant,
    ) -> bool {
        let order = object.and_then(|object| self.object_orders.get(&object));
        order.is_none_or(|order| order.requests.front() == Some(&id) && now >= order.blocked_until)
    }

    /// Forgets the objects that have no requests and are not blocked.
    pub(super) fn forget_settled(&mut self, now: Instant) {
        self.object_orders
            .retain(|_, order| !order.requests.is_empty() || order.blocked_until > now);
    }

    /// Number of open requests.
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Number of objects whose order is kept.
    pub(super) fn object_count(&self) -> usize {
        self.object_orders.len()
    }
}
