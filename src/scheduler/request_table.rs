//! Open requests, from their arrival until they have an answer and no attempt is in flight, and the order of
//! requests on one object. Decisions about a request are made in `admission`, `dispatch` and `attempts`.

use super::attempts::idempotency::UnprovenExecution;
use super::dispatch::queue::{QueueGroup, QueueKey, WaitingRequest};
use gullsail_scheduler_api::{AttemptEnd, Instant, ObjectId, Request, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// A request that lacks its final answer or has an attempt in flight.
pub(super) struct OpenRequest {
    request: Request,
    /// The time by which an answer meets the latency objective; if the request has no such time before its
    /// timeout, the time of its final answer.
    objective_deadline: Instant,
    /// The middle of the time from arrival to the objective deadline.
    half_time: Instant,
    /// The queue in which the request waits; `None` if it waits in none.
    queue: Option<QueueKey>,
    attempts_sent: u32,
    in_flight: u32,
    unproven_execution: Option<UnprovenExecution>,
    /// The request has its final answer, the client has disconnected, or a streamed response has started.
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

    /// Whether half of the time from arrival to the objective deadline has elapsed.
    pub(super) fn half_time_passed(&self, now: Instant) -> bool {
        now >= self.half_time
    }

    pub(super) fn attempts_sent(&self) -> u32 {
        self.attempts_sent
    }

    /// Whether the next attempt of this request is its first.
    pub(super) fn is_first_attempt(&self) -> bool {
        self.attempts_sent == 0
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.queue.is_some()
    }

    /// Whether the client needs no further answer.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// The first attempt that an endpoint may have executed; `None` if no attempt can have run.
    pub(super) fn unproven_execution(&self) -> Option<UnprovenExecution> {
        self.unproven_execution
    }

    /// Whether it is certain that no endpoint executed the request.
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
    /// Open requests in order of arrival.
    requests: VecDeque<RequestId>,
    /// Until this time an attempt with an unknown outcome may still run, so the next request waits.
    blocked_until: Instant,
}

/// All open requests of this host.
#[derive(Default)]
pub(super) struct RequestTable {
    open: BTreeMap<RequestId, OpenRequest>,
    object_orders: BTreeMap<ObjectId, ObjectOrder>,
}

impl RequestTable {
    /// Adds a request. With `keeps_order`, the request is placed after the earlier requests on its object.
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

    /// An open request, such as one that waits in a queue. Panics if the request is not open.
    pub(super) fn expect_open(&self, id: RequestId) -> &OpenRequest {
        &self.open[&id]
    }

    /// All open requests, in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = &OpenRequest> {
        self.open.values()
    }

    /// Records the queue in which a request waits. `None` if the request is not open.
    pub(super) fn set_queue(&mut self, id: RequestId, key: QueueKey) -> Option<&OpenRequest> {
        let open = self.open.get_mut(&id)?;
        open.queue = Some(key);
        Some(open)
    }

    /// Clears and returns the queue in which a request waits. `None` if it waits in none.
    pub(super) fn take_queue(&mut self, id: RequestId) -> Option<QueueKey> {
        self.open.get_mut(&id)?.queue.take()
    }

    /// Records an attempt that was sent. `execution` is stored only if no earlier attempt may have run.
    pub(super) fn record_sent(&mut self, id: RequestId, execution: UnprovenExecution) {
        if let Some(open) = self.open.get_mut(&id) {
            open.attempts_sent += 1;
            open.in_flight += 1;
            open.unproven_execution.get_or_insert(execution);
        }
    }

    /// Records the end of an attempt. If the attempt never ran, it no longer counts as an unproven execution. If
    /// it may still run at the endpoint, the request's object is blocked until `blocked_until`.
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

    /// Marks a request as answered, since a streamed response has started.
    pub(super) fn set_answered(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.answered = true;
        }
    }

    /// Marks a request as answered and removes it if no attempt is in flight.
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

    /// Whether the order of requests on an object allows this request to be sent now.
    pub(super) fn is_next_of_object(
        &self,
        id: RequestId,
        object: Option<ObjectId>,
        now: Instant,
    ) -> bool {
        let order = object.and_then(|object| self.object_orders.get(&object));
        order.is_none_or(|order| order.requests.front() == Some(&id) && now >= order.blocked_until)
    }

    /// Removes the order of objects that have no open requests and are not blocked.
    pub(super) fn remove_idle_objects(&mut self, now: Instant) {
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
