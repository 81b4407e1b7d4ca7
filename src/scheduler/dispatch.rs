//! Dispatch: the queues in which requests wait for a node, the choice of node for new objects, and the choice
//! of the request that goes to a node with room. Called by `request_scheduler`; what came of an attempt is
//! for `attempts`.

use super::endpoint::index::Destination;
use super::intervals::QUEUE_REVIEW_INTERVAL;
use super::{
    AttemptKey, CrossZoneBytes, EndpointCapacity, EndpointMessage, OpenRequest, Outgoing,
    PossibleRun, QueueKey, RECENT, RETURN_FACTOR, RequestScheduler,
};
use gullsail_scheduler_api::{
    Action, Idempotency, IdempotencyScope, Instant, OverrunCause, PoolId, RequestId, Span,
    demand_report,
};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

const USUAL_LATENCY: f64 = 0.7; // of a node's mean time most answers take: times are skewed
const CANDIDATES: usize = 4; // looked at in each group: the first may be too large for now, or wait its turn
const REMOTE_ODDS: f64 = 0.1; // of the odds of a node at home that one elsewhere has
const SAMPLE: usize = 8; // nodes looked at for a new object: enough that some have room

/// The best request of a queue for a node, with the value that it still brings per unit.
#[derive(Clone, Copy)]
struct Candidate {
    value: f64,
    id: RequestId,
}

impl RequestScheduler {
    pub(super) fn enqueue(&mut self, id: RequestId, rng: &mut ChaCha8Rng) {
        let Some(open) = self.requests.open.get_mut(&id) else {
            return;
        };
        let request = &open.request;
        let by_shard = matches!(
            self.config.request_classes[request.request_class.0].idempotency,
            Idempotency::WithKey {
                scope: IdempotencyScope::Shard,
                ..
            }
        );
        let bound_to = open.possible_run.filter(|_| by_shard).map(|run| run.shard);
        let shard = request.shard.or(bound_to);
        let destination = shard.map_or(Destination::Pool(request.pool), Destination::Shard);
        let key = QueueKey {
            retries: open.attempts_sent > 0,
            destination,
        };
        open.queue = Some(key);
        self.queues.insert(key, open.group(), open.waiting());
        let volume = self.volumes.get_mut(open.request.volume);
        if let (0, Some(volume)) = (open.attempts_sent, volume) {
            volume.bucket_mut().add_waiting(open.request.units);
        }
        if self.would_starve(id) {
            self.shed(id);
        } else {
            self.review_queue(key, self.now, rng);
        }
    }

    pub(super) fn review_queue_on_timer(&mut self, key: QueueKey, rng: &mut ChaCha8Rng) {
        let soonest = self
            .endpoints
            .least_latency(key.destination)
            .times(USUAL_LATENCY);
        self.review_queue(key, self.now + soonest.max(QUEUE_REVIEW_INTERVAL), rng);
    }

    /// Sheds what can no longer be in time, asks for tokens and for the capacity of nodes.
    fn review_queue(&mut self, key: QueueKey, too_late: Instant, rng: &mut ChaCha8Rng) {
        let Some(queue) = self.queues.by_key.get(&key) else {
            return;
        };
        let unreachable = self.endpoints.is_unreachable(key.destination, self.now);
        let mut hopeless = queue.due_by(if unreachable {
            Instant::from_micros(i64::MAX)
        } else {
            too_late
        });
        let mut wanted = Vec::new();
        if let (Destination::Pool(pool), true) = (key.destination, self.config.zone.is_some()) {
            hopeless.extend(self.without_destination(key, pool));
            wanted = self.budgets_wanted(key, pool);
        }
        for id in hopeless {
            self.shed(id);
        }
        if let Some(id) = self.queues.new_timer(key) {
            self.actions.push(Action::SetTimer {
                id,
                at: self.now + QUEUE_REVIEW_INTERVAL,
            });
        }
        let Some(queue) = self.queues.by_key.get(&key) else {
            return;
        };
        wanted.extend(queue.groups.keys().map(|group| group.volume));
        for volume in wanted {
            self.request_tokens(volume);
        }
        match key.destination {
            Destination::Shard(shard) => {
                let nodes = self.endpoints.nodes_of_shard(shard);
                self.outbox.extend(nodes.map(Outgoing::capacity_wanted));
            }
            Destination::Pool(pool) => self.draw_endpoint(pool, rng),
        }
    }

    /// The value still due per unit of a request.
    fn value_per_unit(&self, open: &OpenRequest) -> f64 {
        let config = &self.config;
        let volume = self.volumes.known(open.request.volume);
        let class = &config.request_classes[open.request.request_class.0];
        let full = class.priority_weight * config.plans[volume.plan().0].price;
        // The weighted share: who was sent less than the others, by weight, is inside it.
        let inside_share = volume
            .reserve()
            .within_fair_share(self.volumes.mean_excess());
        let beyond_reserve = config.beyond_share_value
            + (config.within_share_value - config.beyond_share_value) * inside_share;
        full * if volume.reserve().covers(open.request.units) {
            1.0
        } else {
            beyond_reserve
        }
    }

    /// May this request have an attempt at that node now, by the rules and the volume's tokens?
    fn may_send(&self, id: RequestId, open: &OpenRequest, capacity: &EndpointCapacity) -> bool {
        let request = &open.request;
        let class = &self.config.request_classes[request.request_class.0];
        // What would be late is not sent: with many hosts each one's single attempt still adds up to a jam.
        let expected_end = self.now + capacity.latency.times(USUAL_LATENCY);
        if capacity.units < request.units || expected_end > open.objective_deadline {
            return false;
        }
        if request.shard.is_none() && !self.may_cross(open, capacity.entry.zone, Span::ZERO) {
            return false;
        }
        if !open.may_repeat_at(self.now, &capacity.entry, class.idempotency) {
            return false;
        }
        if open.attempts_sent > 0 {
            return self.attempts.may_retry(&self.config);
        }
        let order = request
            .object
            .and_then(|object| self.requests.object_orders.get(&object));
        if let (true, Some(order)) = (class.in_order, order)
            && (order.requests.front() != Some(&id) || self.now < order.settled_at)
        {
            return false;
        }
        let volume = self.volumes.known(request.volume);
        volume.allows(request.units, &self.config)
    }

    fn best_candidate(&mut self, key: QueueKey, capacity: &EndpointCapacity) -> Option<Candidate> {
        let queue = self.queues.by_key.get(&key)?;
        let budgets = self
            .config
            .cross_zone_budgets
            .iter()
            .map(|budget| demand_report::carried(budget.id));
        for id in queue.groups.keys().map(|group| group.volume).chain(budgets) {
            if let Some(volume) = self.volumes.get_mut(id) {
                volume.refill(self.now, &self.config);
            }
        }
        let first = queue
            .groups
            .values()
            .flat_map(|group| group.iter().take(CANDIDATES));
        let open = first.map(|waiting| (waiting, &self.requests.open[&waiting.id]));
        let sendable = open.filter(|(waiting, open)| self.may_send(waiting.id, open, capacity));
        let valued = sendable.map(|(waiting, open)| (self.value_per_unit(open), waiting));
        // Of equal value, the one with the least time left.
        let best = valued.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
        best.map(|(value, waiting)| Candidate {
            value,
            id: waiting.id,
        })
    }

    /// Sends a node that has room one request, if any may go to it.
    pub(super) fn fill_endpoint(&mut self, capacity: &EndpointCapacity, rng: &mut ChaCha8Rng) {
        let drawn_for = self.endpoints.take_choices(capacity.entry.node);
        // Where most of what hosts send fails, together they keep full nodes full, and crowded nodes serve
        // next to nothing: each sends no more than some times what came back in time.
        let earned = RETURN_FACTOR * self.attempts.succeeded.read(self.now, RECENT) + 1.0;
        let window_full = self.attempts.sparse_windows.is_full_for(capacity);
        if capacity.available_slots == 0
            || window_full
            || self.attempts.sent.read(self.now, RECENT) > earned
        {
            return;
        }
        for retries in [false, true] {
            let destination = Destination::Shard(capacity.entry.shard);
            let own = self.best_candidate(
                QueueKey {
                    retries,
                    destination,
                },
                capacity,
            );
            // A new object can wait for a node that nobody's data waits for, until half its time
            // is gone: where data lies unevenly, it would else crowd out what has one node only.
            let for_pool = |pool: &PoolId| {
                let key = QueueKey {
                    retries,
                    destination: Destination::Pool(*pool),
                };
                Some((self.best_candidate(key, capacity)?, *pool))
            };
            let new = drawn_for
                .iter()
                .filter_map(for_pool)
                .max_by(|a, b| a.0.value.total_cmp(&b.0.value));
            let half_gone = |id: RequestId| self.now >= self.requests.open[&id].half_time;
            let new =
                new.filter(|(new, _)| own.is_none_or(|o| new.value > o.value && half_gone(new.id)));
            if let Some(chosen) = new.map(|(candidate, _)| candidate).or(own) {
                self.send(chosen.id, capacity);
                if let Some((_, pool)) = new {
                    self.draw_endpoint(pool, rng);
                }
                return;
            }
        }
    }

    /// Draws the node for the next new object: among a few, with odds in step with the room they have. Those
    /// without are asked anew. One that warms up beyond the even part only where most are warm: never as a
    /// refuge.
    pub(super) fn draw_endpoint(&mut self, pool: PoolId, rng: &mut ChaCha8Rng) {
        let destination = Destination::Pool(pool);
        let waits = |retries| {
            self.queues.by_key.contains_key(&QueueKey {
                retries,
                destination,
            })
        };
        if !waits(false) && !waits(true) {
            return;
        }
        let ready = self.endpoints.nodes_of_pool(pool);
        let nodes = ready.choose_multiple(rng, SAMPLE);
        let sample: Vec<_> = nodes
            .filter_map(|node| self.endpoints.capacity(*node))
            .collect();
        let warm = sample
            .iter()
            .filter(|c| c.available_slots > 0 && c.units.is_infinite())
            .count();
        let beyond_even = 2 * warm > sample.len() || sample.iter().all(|c| c.units.is_finite());
        let fits = |c: &EndpointCapacity| beyond_even || c.even_units >= self.config.max_units;
        let takers: Vec<_> = sample
            .iter()
            .filter(|c| c.available_slots > 0 && fits(c))
            .collect();
        let remote_odds = if self.no_local_node(pool).is_some() {
            1.0
        } else {
            REMOTE_ODDS
        };
        let odds = |c: &&&EndpointCapacity| {
            let remote = self
                .config
                .zone
                .is_some_and(|own_zone| own_zone != c.entry.zone);
            let by_zone = if remote { remote_odds } else { 1.0 };
            c.available_slots as f64 / c.latency.secs().max(1e-3) * by_zone
        };
        let chosen = takers.choose_weighted(rng, odds).ok();
        let chosen = chosen.map(|capacity| capacity.entry.node);
        let without_slots = sample.iter().filter(|c| c.available_slots == 0);
        let full: Vec<_> = without_slots
            .map(|c| Outgoing::capacity_wanted(c.entry.node))
            .collect();
        if let Some(node) = chosen {
            self.endpoints.choose(node, pool);
            self.outbox.push_back(Outgoing::capacity_wanted(node));
        }
        self.outbox.extend(full);
    }

    fn send(&mut self, id: RequestId, capacity: &EndpointCapacity) {
        self.leave_queue(id);
        let Some(open) = self.requests.open.get_mut(&id) else {
            return;
        };
        let (request, attempt) = (open.request.clone(), open.attempts_sent);
        if attempt == 0 {
            let volume = self.volumes.get_mut(request.volume);
            let volume = volume.expect("an open request's volume is known");
            volume.spend(self.now, &self.config, request.units);
        }
        let class = &self.config.request_classes[request.request_class.0];
        let latency_objective = class
            .latency_objective
            .min(self.admission.tightest_objective);
        let key = AttemptKey {
            request: id,
            attempt,
        };
        self.attempts
            .record_sent(self.now, &self.config, key, capacity, latency_objective);
        open.attempts_sent += 1;
        open.in_flight += 1;
        let (node, shard, zone) = (
            capacity.entry.node,
            capacity.entry.shard,
            capacity.entry.zone,
        );
        open.possible_run.get_or_insert(PossibleRun {
            attempt,
            shard,
            zone,
            since: self.now,
        });
        let time_out = Some(open.objective_deadline - self.now);
        let message = EndpointMessage::AttemptSent {
            key,
            units: request.units,
            latency_objective,
        };
        self.outbox.push_back(Outgoing { to: node, message });
        self.actions
            .push(Action::StartAttempt { id, node, time_out });
        let Some(own_zone) = self.config.zone else {
            return;
        };
        let forced = self
            .no_local_node(request.pool)
            .filter(|_| request.shard.is_none());
        let usual = if attempt == 0 {
            OverrunCause::DataPlacement
        } else {
            OverrunCause::Retry
        };
        let cause = forced.unwrap_or(usual);
        let (plan, bytes) = (request.plan, request.bytes);
        self.charge_budgets(&CrossZoneBytes {
            id,
            plan,
            from: own_zone,
            to: zone,
            bytes,
            cause,
        });
    }
}
