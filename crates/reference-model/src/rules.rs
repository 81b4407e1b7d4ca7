//! Rules 1 to 6 as they apply to attempts, one function each. Rule 7 is in `volume_limit`; answers are checked in
//! `answers`.

use crate::history::{AttemptEnding, Observation, RequestHistory};
use crate::{Breach, Model};
use gullsail_scheduler_api::{
    Action, AttemptOutcome, Event, HostId, Idempotency, IdempotencyScope, Instant, NodeId, Request,
    RequestId, SchedulerConfig, Span,
};

pub(crate) type Verdict = Result<(), Breach>;

/// An attempt that a host is about to send, with the history of its request and the host's configuration.
pub(crate) struct Sending {
    pub(crate) now: Instant,
    pub(crate) host: HostId,
    pub(crate) node: NodeId,
    pub(crate) history: RequestHistory,
    pub(crate) config: SchedulerConfig,
}

impl Model {
    pub(crate) fn breach_by(&self, rule: u8, sending: &Sending, what: impl Into<String>) -> Breach {
        self.breach(
            rule,
            sending.now,
            sending.host,
            sending.history.request.id,
            what,
        )
    }

    /// Checks an attempt against all rules. The rules are checked in a fixed order, and only the first breach is returned.
    pub(crate) fn may_send(
        &mut self,
        now: Instant,
        host: HostId,
        id: RequestId,
        node: NodeId,
    ) -> Verdict {
        let Some(history) = self.request_history(host, id) else {
            return Err(self.breach(
                1,
                now,
                host,
                id,
                "an attempt of a request that never arrived",
            ));
        };
        let Some(config) = self.config(host).cloned() else {
            return Err(self.breach(1, now, host, id, "a host that is down sends an attempt"));
        };
        let sending = Sending {
            now,
            host,
            node,
            history,
            config,
        };
        self.not_after_request_end(&sending)?;
        self.not_run_twice(&sending)?;
        self.not_to_a_draining_node(&sending)?;
        self.within_slow_start(&sending)?;
        if sending.history.attempts.is_empty() {
            self.in_object_order(&sending)?;
            self.within_the_volume_limit(&sending)
        } else {
            self.within_the_retry_budget(&sending)
        }
    }

    /// Rule 1: no attempt is sent for a request that has ended or whose deadline is over. An end that the host sees in the
    /// step in which it sends the attempt does not count, since the two may cross.
    fn not_after_request_end(&mut self, sending: &Sending) -> Verdict {
        let history = &sending.history;
        if history
            .ended
            .is_some_and(|ended| ended.by_host || ended.step < self.steps)
        {
            return Err(self.breach_by(1, sending, "an attempt after its final answer"));
        }
        if sending.now > history.deadline() {
            return Err(self.breach_by(1, sending, "an attempt after its deadline"));
        }
        self.tested[0] += u64::from(!history.attempts.is_empty());
        Ok(())
    }

    /// Rule 2: a request that may have run is sent again only as its idempotency allows, and it never has two attempts in
    /// flight.
    fn not_run_twice(&mut self, sending: &Sending) -> Verdict {
        let Sending {
            now,
            host,
            node,
            history,
            config,
        } = sending;
        if history
            .attempts
            .iter()
            .any(|attempt| attempt.ended.is_none())
        {
            return Err(self.breach_by(2, sending, "two attempts at once"));
        }
        let Some(first) = history.may_have_run() else {
            return Ok(());
        };
        let wrong = match config.request_classes[history.request.request_class.0].idempotency {
            Idempotency::Idempotent => return Ok(()),
            Idempotency::NonIdempotent => {
                Some("a non-idempotent request that may have run is sent again")
            }
            Idempotency::WithKey { scope, window } => {
                let same = self.same_scope(*host, scope, first.node, *node);
                if !same {
                    Some(
                        "a request with a key that may have run is sent outside the scope of its key",
                    )
                } else if *now - first.at > window {
                    Some("a request with a key is sent again after the window of its key")
                } else {
                    None
                }
            }
        };
        self.tested[1] += 1;
        wrong.map_or(Ok(()), |what| Err(self.breach_by(2, sending, what)))
    }

    /// Whether two nodes share their idempotency keys, by the lists that this host saw last.
    fn same_scope(
        &self,
        host: HostId,
        scope: IdempotencyScope,
        first: NodeId,
        second: NodeId,
    ) -> bool {
        let first = self.listings(host, first).last();
        let second = self.listings(host, second).last();
        match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => {
                first.map(|entry| entry.zone) == second.map(|entry| entry.zone)
            }
            IdempotencyScope::Shard => {
                first.map(|entry| entry.shard) == second.map(|entry| entry.shard)
            }
        }
    }

    /// Rule 3: after the grace period, a host sends no attempt to a node that its lists report as draining or gone.
    fn not_to_a_draining_node(&mut self, sending: &Sending) -> Verdict {
        let Sending {
            now, host, node, ..
        } = sending;
        if self.listings(*host, *node).next().is_none() {
            return Err(self.breach_by(3, sending, format!("node {} was in no list", node.0)));
        }
        let since = self.drained_since(*host, *node);
        let Some(since) = since.filter(|at| *now - *at > self.parameters.drain_grace) else {
            return Ok(());
        };
        let what = format!(
            "an attempt to node {}, draining or gone since {} ms",
            node.0,
            since.millis()
        );
        let mut breach = self.breach_by(3, sending, what);
        breach
            .evidence
            .extend(self.history_lines(*host, |what| match what {
                Observation::Saw(Event::EndpointList { entries, .. }) => {
                    entries.iter().any(|entry| entry.node == *node)
                }
                _ => false,
            }));
        Err(breach)
    }

    /// The node's latest start, by the lists that this host saw; `None`: no list has one.
    fn started(&self, host: HostId, node: NodeId) -> Option<Instant> {
        self.listings(host, node)
            .filter_map(|entry| entry.started)
            .max()
    }

    /// The units of each attempt to a node at or after its start and later than `after`, from running hosts whose lists
    /// report this start.
    fn units_since_start(&self, node: NodeId, started: Instant, after: Instant) -> Vec<f64> {
        let mut sent = Vec::new();
        for host in self.hosts_up() {
            if self.started(host, node).is_none_or(|at| at < started) {
                continue; // its lists do not report this start
            }
            let entries = self.incarnation(host);
            for entry in entries.filter(|entry| entry.at > after && entry.at >= started) {
                if let Observation::Did(Action::StartAttempt { id, node: to, .. }) = &entry.what
                    && *to == node
                {
                    let mut accepted = self.accepted(host);
                    let request = accepted.find(|accepted| accepted.request.id == *id);
                    sent.push(request.map_or(0.0, |accepted| accepted.request.units));
                }
            }
        }
        sent
    }

    /// Rule 4: within any slow-start window, all hosts whose lists report a node's start send it no more units than its
    /// budget. The budget is the configured minimum or a multiple of the node's current capacity, which grows with the ramp,
    /// whichever is greater.
    fn within_slow_start(&mut self, sending: &Sending) -> Verdict {
        let Sending {
            now,
            host,
            node,
            history,
            config,
        } = sending;
        let rule = &config.slow_start;
        let Some(started) = self
            .started(*host, *node)
            .filter(|at| *now - *at < rule.ramp)
        else {
            return Ok(());
        };
        let age = (*now - started).secs().max(0.0);
        let fraction =
            rule.initial_fraction + (1.0 - rule.initial_fraction) * age / rule.ramp.secs();
        let by_now = self.parameters.multiple * self.parameters.can * fraction * rule.window.secs();
        let bound = rule.units.max(by_now);
        let before = self.units_since_start(*node, started, *now - rule.window);
        let sent = before
            .iter()
            .fold(history.request.units, |sum, units| sum + units);
        self.tested[3] += u64::from(sent > rule.units / 2.0);
        if sent > bound {
            let what = format!(
                "{sent} units within the window to node {} in slow start; its budget is {bound}",
                node.0
            );
            return Err(self.breach_by(4, sending, what));
        }
        Ok(())
    }

    /// Rule 5: in an ordered request class, the first attempt of a request waits until all earlier requests for its object
    /// have ended and none has an attempt in flight. If one of their attempts timed out, lost its connection or was
    /// cancelled, the settling time after that must be over too.
    fn in_object_order(&mut self, sending: &Sending) -> Verdict {
        let Sending {
            now,
            host,
            history,
            config,
            ..
        } = sending;
        let ordered = |request: &Request| config.request_classes[request.request_class.0].in_order;
        let object = history.request.object.filter(|_| ordered(&history.request));
        let Some(object) = object else { return Ok(()) };
        let before = self.accepted(*host).map(|accepted| accepted.request);
        let before = before.take_while(|request| request.id != history.request.id);
        let before = before.filter(|request| request.object == Some(object) && ordered(request));
        let before: Vec<RequestHistory> = before
            .filter_map(|request| self.request_history(*host, request.id))
            .collect();
        self.tested[4] += before.len() as u64;
        for earlier in before {
            if let Some(what) = blocks_object(&earlier, config.order_settle, *now) {
                return Err(self.breach_by(5, sending, what));
            }
        }
        Ok(())
    }

    /// Rule 6: the retries within a window are no more than the fixed number and the configured fraction of the requests
    /// accepted in it.
    fn within_the_retry_budget(&mut self, sending: &Sending) -> Verdict {
        let Some(budget) = sending.config.retry_budget else {
            return Ok(());
        };
        let mut seen = Vec::new();
        let mut retries = 1.0;
        let mut accepted = 0.0;
        for entry in self.incarnation(sending.host) {
            let inside = sending.now - entry.at < budget.window;
            match &entry.what {
                Observation::Saw(Event::RequestArrived(_)) if inside => accepted += 1.0,
                Observation::Did(Action::StartAttempt { id, .. }) => {
                    if seen.contains(id) && inside {
                        retries += 1.0;
                    }
                    seen.push(*id);
                }
                _ => {}
            }
        }
        let allowed = budget.fixed_retries + budget.retries_per_request * accepted;
        self.tested[5] += u64::from(retries > allowed / 2.0);
        if retries > allowed {
            let what = format!("{retries} retries in the window; {allowed} allowed");
            return Err(self.breach_by(6, sending, what));
        }
        Ok(())
    }

    /// Counts the requests that test rule 3.
    pub(crate) fn count_seen(&mut self, now: Instant, host: HostId, event: &Event) {
        let Event::RequestArrived(request) = event else {
            return;
        };
        // A request tests rule 3 if a node of its shard has been draining or gone for longer than the grace period.
        let Some(shard) = request.shard else { return };
        let entries = self.lists(host).flat_map(|list| list.entries);
        let mut nodes: Vec<NodeId> = entries
            .filter(|entry| entry.shard == shard)
            .map(|entry| entry.node)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        let grace = self.parameters.drain_grace;
        let left = |node: &NodeId| {
            self.drained_since(host, *node)
                .is_some_and(|at| now - at > grace)
        };
        self.tested[2] += u64::from(nodes.iter().any(left));
    }
}

/// Why `earlier` does not yet allow a later request for the same object; `None`: it does.
fn blocks_object(earlier: &RequestHistory, settle: Span, now: Instant) -> Option<String> {
    let id = earlier.request.id.0;
    if earlier.ended.is_none() {
        return Some(format!("request {id} arrived before it and has not ended"));
    }
    let mut attempts = earlier.attempts.iter();
    if attempts.any(|attempt| attempt.ended.is_none()) {
        return Some(format!(
            "request {id} arrived before it and has an attempt in flight"
        ));
    }
    let ends = earlier.attempts.iter().filter_map(|attempt| attempt.ended);
    let unknown = ends.filter(may_still_run);
    let settled_at = unknown.map(|end| end.at + settle).max()?;
    (now < settled_at).then(|| {
        format!(
            "after request {id} its object settles until {} ms",
            settled_at.millis()
        )
    })
}

fn may_still_run(end: &AttemptEnding) -> bool {
    matches!(
        end.outcome,
        AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
    )
}
