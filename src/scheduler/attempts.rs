//! Attempts: what came of them, whether a request may have another, and what the retry budget and idempotency
//! allow. Called by `request_scheduler` and `dispatch`.

use super::{
    AttemptAccounts, AttemptKey, CrossZoneBytes, EndpointMessage, OpenRequest, Outgoing,
    RequestScheduler,
};
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, Endpoint, Idempotency, IdempotencyScope, Instant, OverrunCause,
    SchedulerConfig, Span,
};
use rand_chacha::ChaCha8Rng;

// Half of the attempts may fail before a host holds back, as in any rough hour
pub(super) const RETURN_FACTOR: f64 = 2.0;
// Long enough for some attempts of a host with sparse traffic
pub(super) const RECENT: Span = Span::from_micros(3_000_000);

impl AttemptAccounts {
    pub(super) fn expire(&mut self, now: Instant, config: &SchedulerConfig) {
        let Some(budget) = config.retry_budget else {
            return;
        };
        // An attempt may go out later than decided: it counts for longer, and what was accepted less long.
        let (from, wait) = (now - budget.window, config.connect_wait);
        while self
            .accepted
            .pop_front_if(|at| *at <= from + wait)
            .is_some()
        {}
        while self
            .retries_sent
            .pop_front_if(|at| *at < from - wait)
            .is_some()
        {}
    }

    pub(super) fn may_retry(&self, config: &SchedulerConfig) -> bool {
        let (sent, accepted) = (self.retries_sent.len() as f64, self.accepted.len() as f64);
        config
            .retry_budget
            .is_none_or(|budget| sent + 1.0 <= budget.free + budget.share * accepted)
    }
}

impl RequestScheduler {
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd, rng: &mut ChaCha8Rng) {
        let AttemptEnd {
            id,
            attempt,
            node,
            outcome,
            latency,
            ..
        } = end;
        let key = AttemptKey {
            request: id,
            attempt,
        };
        let message = EndpointMessage::AttemptEnded {
            key,
            outcome,
            latency,
        };
        self.outbox.push_back(Outgoing { to: node, message });
        let recently_degraded = self
            .endpoints
            .capacity(node)
            .is_none_or(|capacity| capacity.recently_degraded);
        self.attempts
            .record_ended(self.now, key, &end, recently_degraded);
        let Some(plan) = self.requests.open.get(&id).map(|open| open.request.plan) else {
            return;
        };
        if let Some(to) = self.config.zone {
            let cause = OverrunCause::DataPlacement;
            self.charge_budgets(&CrossZoneBytes {
                id,
                plan,
                from: end.zone,
                to,
                bytes: end.bytes,
                cause,
            });
        }
        self.record_outcome(&end);
        let Some(open) = self.requests.open.get(&id) else {
            return;
        };
        if open.closed || end.finished {
            self.close(id);
        } else if self.may_have_another(open, &end) {
            self.enqueue(id, rng);
        } else {
            self.shed(id);
        }
    }

    fn may_have_another(&self, open: &OpenRequest, end: &AttemptEnd) -> bool {
        let latency = self
            .endpoints
            .capacity(end.node)
            .map_or(Span::ZERO, |c| c.latency);
        // After a time-out another attempt mostly does the same work twice.
        let useful = self.now + latency < open.objective_deadline
            && end.outcome != AttemptOutcome::TimedOut
            && open.attempts_sent < self.config.max_attempts;
        let class = &self.config.request_classes[open.request.request_class.0];
        useful && (class.idempotency != Idempotency::NonIdempotent || open.possible_run.is_none())
    }
}

impl OpenRequest {
    /// Does this node know a repeat of what may have run already?
    pub(super) fn may_repeat_at(
        &self,
        now: Instant,
        node: &Endpoint,
        idempotency: Idempotency,
    ) -> bool {
        let Idempotency::WithKey { scope, window } = idempotency else {
            return true;
        };
        let Some(run) = self.possible_run else {
            return true;
        };
        let in_scope = match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => run.zone == node.zone || run.shard == node.shard,
            IdempotencyScope::Shard => run.shard == node.shard,
        };
        in_scope && now - run.since < window
    }
}
