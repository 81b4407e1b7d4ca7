//! Admission: which arriving requests are taken in, what a configuration change means for those that wait,
//! and what is shed, with the advice that its answer gives. Called by `request_scheduler`; sends nothing to
//! nodes.

use super::endpoint::index::Destination;
use super::intervals::EPOCH;
use super::{OpenRequest, POLL_TIMER, RequestScheduler};
use gullsail_scheduler_api::{
    Action, Idempotency, IdempotencyScope, Request, RequestClass, RequestClassId, RequestId,
    SchedulerConfig, Span, TimerId, VolumeAllocation, demand_report,
};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

// What its own work may take a request past the tightest objective, with no jam to blame
const OBJECTIVE_TOLERANCE: f64 = 2.0;
// Before the list is asked for again: a few round trips; it doubles
pub(super) const FIRST_POLL_WAIT: Span = Span::from_micros(500_000);
const LONGEST_POLL_WAIT: Span = Span::from_micros(7_500_000); // a minute's eighth

pub(super) struct Admission {
    pub(super) longest_timeouts: BTreeMap<RequestClassId, Span>,
    pub(super) poll_wait: Span,
    /// All classes queue together in a node: a patient one must not grow what jams the tightest.
    pub(super) tightest_objective: Span,
}

impl Admission {
    pub(super) fn new(config: &SchedulerConfig) -> Self {
        let tightest = config
            .request_classes
            .iter()
            .map(|class| class.latency_objective)
            .min();
        let tightest_objective = tightest.unwrap_or_default().times(OBJECTIVE_TOLERANCE);
        Admission {
            longest_timeouts: BTreeMap::new(),
            poll_wait: FIRST_POLL_WAIT,
            tightest_objective,
        }
    }

    /// A client's next try has less time than its first had: the latency objective has run all the while.
    /// With less than the latency objective (`None`), it is hardly that, but an impatient first one: useful
    /// until its deadline.
    fn time_to_objective(&mut self, request: &Request, class: &RequestClass) -> Option<Span> {
        let longest = self
            .longest_timeouts
            .entry(request.request_class)
            .or_insert(request.timeout);
        *longest = request.timeout.max(*longest);
        let used_up = *longest - request.timeout;
        (request.timeout >= class.latency_objective).then_some(class.latency_objective - used_up)
    }
}

impl RequestScheduler {
    pub(super) fn admit(&mut self, mut request: Request, rng: &mut ChaCha8Rng) {
        request.volume = demand_report::carried(request.volume);
        let (now, id, config) = (self.now, request.id, &self.config);
        let class = config.request_classes.get(request.request_class.0);
        let Some(class) = class.filter(|_| request.plan.0 < config.plans.len()) else {
            // No configuration knows it any more. It never ran, and would else never be answered.
            self.actions.push(Action::Reject {
                id,
                retry_after: config.max_retry_after,
            });
            return;
        };
        self.attempts.record_accepted(now, config);
        let deadline = now + request.timeout - config.tick - config.tick;
        let time_to_objective = self.admission.time_to_objective(&request, class);
        let objective_deadline = time_to_objective.map_or(deadline, |time| now + time);
        let half_time = now + (objective_deadline - now).times(0.5);
        if let (true, Some(object)) = (class.in_order, request.object) {
            self.requests
                .object_orders
                .entry(object)
                .or_default()
                .requests
                .push_back(id);
        }
        self.volumes.record_arrival(&request, now, config);
        self.actions.push(Action::SetTimer {
            id: TimerId(id.0),
            at: deadline,
        });
        let open = OpenRequest {
            request,
            objective_deadline,
            half_time,
            ..OpenRequest::default()
        };
        self.requests.open.insert(id, open);
        self.enqueue(id, rng);
    }

    /// What volumes may be sent from now on. What waits for a volume that this host no longer serves is shed.
    pub(super) fn apply_allocations(&mut self, allocations: &[VolumeAllocation]) {
        let now = self.now;
        for allocation in allocations {
            let id = demand_report::carried(allocation.volume);
            let withdrawn = self.volumes.apply_allocation(allocation, now, &self.config);
            let waits = |open: &OpenRequest| open.request.volume == id && open.attempts_sent == 0;
            let waiting = self
                .requests
                .open
                .iter()
                .filter(|(_, open)| withdrawn && waits(open));
            for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.shed(id);
            }
        }
    }

    /// Will all tokens that can come in its time go to what waits here for its volume and goes before it, as
    /// it is no larger? It would wait only to keep its client away. Harms where those before it are shed.
    pub(super) fn would_starve(&mut self, id: RequestId) -> bool {
        let Some(open) = self
            .requests
            .open
            .get(&id)
            .filter(|open| open.attempts_sent == 0)
        else {
            return false;
        };
        let (now, own, config) = (self.now, &open.request, &self.config);
        let Some(volume) = self.volumes.get_mut(own.volume) else {
            return false;
        };
        let expected = volume.tokens_expected_by(now, open.objective_deadline, config);
        let rank = |other: &OpenRequest| {
            let class = &config.request_classes[other.request.request_class.0];
            (class.priority_weight, now - other.objective_deadline)
        };
        let waits = |other: &OpenRequest| other.attempts_sent == 0 && other.queue.is_some();
        let competes =
            |o: &OpenRequest| o.request.volume == own.volume && o.request.units <= own.units;
        let goes_before = |o: &&OpenRequest| waits(o) && competes(o) && rank(o) >= rank(open);
        let before = self
            .requests
            .open
            .values()
            .filter(goes_before)
            .map(|other| other.request.units);
        volume.bucket().waiting_units() > expected && before.sum::<f64>() > expected
    }

    /// The final answer of a request that gets no more attempts, at once.
    pub(super) fn shed(&mut self, id: RequestId) {
        let Some(open) = self.requests.open.get(&id).filter(|open| !open.closed) else {
            return;
        };
        let request = &open.request;
        let may_repeat = matches!(
            self.config.request_classes[request.request_class.0].idempotency,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: IdempotencyScope::All,
                    ..
                }
        );
        let never_ran = open.possible_run.is_none() && open.in_flight == 0;
        let volume = self.volumes.get(request.volume);
        let refilled = volume.map_or(EPOCH, |volume| {
            volume.time_until_tokens(request.units, &self.config)
        });
        let latency = request.shard.map_or(EPOCH, |shard| {
            self.endpoints.least_latency(Destination::Shard(shard))
        });
        let advice = latency.max(refilled);
        let retry_after = self.config.max_retry_after.map(|most| advice.min(most));
        let may_reject = may_repeat || never_ran;
        self.actions.push(if may_reject {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.close(id);
    }

    /// All hosts call again when the list was down: each by its number a little apart.
    pub(super) fn retry_endpoint_list(&mut self) {
        let config = &self.config;
        let part = 0.5 + 0.5 * f64::from(config.me.0) / f64::from(config.hosts.max(1));
        let most = config.poll_within.unwrap_or(LONGEST_POLL_WAIT);
        let wait = self.admission.poll_wait.min(most).times(part);
        self.admission.poll_wait = self.admission.poll_wait.times(2.0).min(LONGEST_POLL_WAIT);
        self.actions.push(Action::SetTimer {
            id: POLL_TIMER,
            at: self.now + wait,
        });
    }
}
