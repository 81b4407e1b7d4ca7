//! Messages between the two sides of the scheduler: the
//! [`RequestScheduler`](super::request_scheduler::RequestScheduler) and one
//! [`EndpointTracker`](super::endpoint::tracker::EndpointTracker) for each endpoint. Also the ids of
//! the scheduler's timers.

use gullsail_scheduler_api::{AttemptOutcome, Endpoint, Event, NodeId, RequestId, Span, TimerId};

/// The timer for the start of the next epoch. Smaller timer ids are deadlines of requests and equal the request
/// id. The two ranges overlap only after 2^40 requests.
pub(super) const EPOCH_TIMER: TimerId = TimerId(1 << 40);

/// The timer for the next poll of the endpoint list.
pub(super) const POLL_TIMER: TimerId = TimerId(EPOCH_TIMER.0 + 1);

/// The smallest id of a timer for the review of a wait queue; no other timers have larger ids.
pub(super) const FIRST_QUEUE_TIMER: u64 = EPOCH_TIMER.0 + 2;

/// The purpose of a timer, derived from its id.
pub(super) enum SchedulerTimer {
    RequestDeadline(RequestId),
    Epoch,
    EndpointPoll,
    QueueReview(TimerId),
}

impl From<TimerId> for SchedulerTimer {
    fn from(id: TimerId) -> Self {
        match id {
            EPOCH_TIMER => SchedulerTimer::Epoch,
            POLL_TIMER => SchedulerTimer::EndpointPoll,
            TimerId(FIRST_QUEUE_TIMER..) => SchedulerTimer::QueueReview(id),
            TimerId(request) => SchedulerTimer::RequestDeadline(RequestId(request)),
        }
    }
}

/// Identifies one attempt of one request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
}

/// A message to the tracker of one endpoint. After handling its messages, the tracker reports the endpoint's
/// capacity.
pub(super) enum EndpointMessage {
    /// The endpoint list has an entry for this endpoint.
    EndpointUpdated {
        entry: Endpoint,
        /// Whether the node itself reported the entry, rather than the endpoint list service.
        self_reported: bool,
    },
    AttemptSent {
        key: AttemptKey,
        units: f64,
        latency_objective: Span,
    },
    AttemptEnded {
        key: AttemptKey,
        outcome: AttemptOutcome,
        latency: Span,
    },
    CapacityRequested,
}

/// A message on its way to one endpoint's tracker.
pub(super) struct Outgoing {
    pub(super) to: NodeId,
    pub(super) message: EndpointMessage,
}

impl Outgoing {
    pub(super) fn capacity_requested(to: NodeId) -> Self {
        Outgoing {
            to,
            message: EndpointMessage::CapacityRequested,
        }
    }
}

/// A message to the request scheduler.
pub(super) enum RequestMessage {
    Event(Event),
    Capacity(EndpointCapacity),
}

/// What this host may send to an endpoint now, as its tracker reports it.
#[derive(Clone)]
pub(super) struct EndpointCapacity {
    pub(super) entry: Endpoint,
    /// Number of further attempts that this host may send to the endpoint now.
    pub(super) available_slots: usize,
    /// Units that this host may send to the endpoint now; infinite once the endpoint has warmed up.
    pub(super) units: f64,
    /// Units that this host may send now within its even share of the slow-start budget; infinite once the
    /// endpoint has warmed up.
    pub(super) even_units: f64,
    /// Expected latency of an attempt.
    pub(super) latency: Span,
    /// For far longer than the mean latency, an attempt has been in flight and no answer to any attempt has
    /// arrived.
    pub(super) silent: bool,
    /// The endpoint is warming up, or its window was decreased within the last minute and is still small.
    pub(super) recently_degraded: bool,
    /// The endpoint answers this host too rarely for a window of this one endpoint to react in time.
    pub(super) sparse_traffic: bool,
}
