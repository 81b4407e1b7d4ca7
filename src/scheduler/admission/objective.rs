//! How long a request is useful, and which latency counts as congestion at an endpoint.

use gullsail_scheduler_api::{Request, RequestClass, RequestClassId, SchedulerConfig, Span};
use std::collections::BTreeMap;

/// Factor on the tightest latency objective above which a latency counts as congestion whatever the class. It
/// allows for expensive requests, which are slow on an idle endpoint too. Larger, and patient classes fill the
/// endpoints' queues until the tightest class misses its objective.
const OBJECTIVE_TOLERANCE: f64 = 2.0;

/// What this host knows of the timeouts and objectives of request classes.
pub(crate) struct LatencyObjectives {
    /// The longest timeout seen of each class.
    longest_timeouts: BTreeMap<RequestClassId, Span>,
    /// The most that a class's objective counts for at an endpoint. All classes share the endpoint's queue.
    most_at_node: Span,
}

impl LatencyObjectives {
    pub(crate) fn new(config: &SchedulerConfig) -> Self {
        let classes = config.request_classes.iter();
        let tightest = classes.map(|class| class.latency_objective).min();
        LatencyObjectives {
            longest_timeouts: BTreeMap::new(),
            most_at_node: tightest.unwrap_or_default().times(OBJECTIVE_TOLERANCE),
        }
    }

    /// The latency objective by which an endpoint's answers to this class are judged.
    pub(crate) fn at_node(&self, class: &RequestClass) -> Span {
        class.latency_objective.min(self.most_at_node)
    }

    /// The time left until a request's objective deadline. A retry by the client carries a shorter timeout than
    /// its first try; the difference to the longest timeout seen is taken as time already spent. A timeout
    /// below the objective means an impatient first try instead, which is useful until its deadline: `None`.
    pub(crate) fn time_left(&mut self, request: &Request, class: &RequestClass) -> Option<Span> {
        let longest = self
            .longest_timeouts
            .entry(request.request_class)
            .or_insert(request.timeout);
        *longest = request.timeout.max(*longest);
        let spent = *longest - request.timeout;
        let is_impatient = request.timeout < class.latency_objective;
        (!is_impatient).then(|| class.latency_objective - spent)
    }

    /// Number of classes seen.
    pub(crate) fn class_count(&self) -> usize {
        self.longest_timeouts.len()
    }
}
