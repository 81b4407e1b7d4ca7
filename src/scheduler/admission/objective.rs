//! The time left until a request's objective deadline, and the latency that counts as congestion at an
//! endpoint.

use gullsail_scheduler_api::{Request, RequestClass, RequestClassId, SchedulerConfig, Span};
use std::collections::BTreeMap;

/// Factor on the tightest latency objective above which a latency counts as congestion whatever the class. It
/// allows for expensive requests, which are slow on an idle endpoint too. With a larger factor, classes with a
/// long objective fill the endpoints' queues until the tightest class misses its objective.
const OBJECTIVE_TOLERANCE: f64 = 2.0;

/// The timeouts that this host has seen and the objectives of request classes.
pub(crate) struct LatencyObjectives {
    /// The longest timeout seen in each class.
    longest_timeouts: BTreeMap<RequestClassId, Span>,
    /// Upper bound of the latency objective used at an endpoint. It holds for every class, since all classes
    /// share the endpoint's queue.
    max_objective_at_node: Span,
}

impl LatencyObjectives {
    pub(crate) fn new(config: &SchedulerConfig) -> Self {
        let classes = config.request_classes.iter();
        let tightest = classes.map(|class| class.latency_objective).min();
        LatencyObjectives {
            longest_timeouts: BTreeMap::new(),
            max_objective_at_node: tightest.unwrap_or_default().times(OBJECTIVE_TOLERANCE),
        }
    }

    /// The latency above which an attempt of this class counts as late at an endpoint.
    pub(crate) fn objective_at_node(&self, class: &RequestClass) -> Span {
        class.latency_objective.min(self.max_objective_at_node)
    }

    /// The time left until a request's objective deadline; `None` if the request has no such deadline before
    /// its timeout. A client's retry carries a shorter timeout than its first try, so the difference to the
    /// longest timeout seen counts as time already spent. A timeout below the objective is taken as a first try
    /// of a client with a short timeout: `None`.
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
