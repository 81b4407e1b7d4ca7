//! What the two sides of the scheduler send each other: the
//! [`RequestScheduler`](super::request_scheduler::RequestScheduler) and one
//! [`EndpointTracker`](super::endpoint::tracker::EndpointTracker) for each endpoint. Also the numbers of the
//! scheduler's own timers. Nothing is decided here.

use gullsail_scheduler_api::{AttemptOutcome, Endpoint, Event, NodeId, RequestId, Span, TimerId};

/// Timers with smaller numbers are deadlines of requests and have the request's number. A host would have to
/// number 2^40 requests before the ranges meet.
pub(super) const EPOCH_TIMER: TimerId = TimerId(1 << 40);

/// The timer for the next poll of the endpoint list.
pub(super) const POLL_TIMER: TimerId = TimerId(EPOCH_TIMER.0 + 1);

/// Timers of wait queues have this number or larger ones.
pub(super) const FIRST_QUEUE_TIMER: u64 = EPOCH_TIMER.0 + 2;

/// What a timer is for, by its number.
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

/// One attempt of one request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
}

/// To the tracker of one endpoint. Each message is answered by the endpoint's capacity.
pub(super) enum EndpointMessage {
    /// The endpoint list has an entry for this endpoint.
    EndpointUpdated {
        entry: Endpoint,
        /// The node reported the entry itself.
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
    CapacityWanted,
}

/// A message on its way to one endpoint's tracker.
pub(super) struct Outgoing {
    pub(super) to: NodeId,
    pub(super) message: EndpointMessage,
}

impl Outgoing {
    pub(super) fn capacity_wanted(to: NodeId) -> Self {
        Outgoing {
            to,
            message: EndpointMessage::CapacityWanted,
        }
    }
}

/// To the side that holds requests and queues.
pub(super) enum RequestMessage {
    Event(Event),
    Capacity(EndpointCapacity),
}

/// What an endpoint can take at this moment, as its tracker sees it.
#[derive(Clone)]
pub(super) struct EndpointCapacity {
    pub(super) entry: Endpoint,
    /// How many more attempts it may be sent.
    pub(super) available_slots: usize,
    /// How many units it may be sent now; infinite once it has warmed up.
    pub(super) units: f64,
    /// The same within this host's even share, whatever other hosts send.
    pub(super) even_units: f64,
    /// Expected latency of an attempt.
    pub(super) latency: Span,
    /// Attempts are in flight for far longer than usual, and nothing was heard since.
    pub(super) silent: bool,
    /// Warming up, or its window was decreased within the last minute.
    pub(super) recently_degraded: bool,
    /// It answers too rarely for a window of its own to react in time.
    pub(super) sparse_traffic: bool,
}
