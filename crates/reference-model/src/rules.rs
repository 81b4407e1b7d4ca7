//! The rules 1 to 6 on attempts, each by itself, in their order. Rule 7 is in `volume_limit`, and the rules on
//! answers are in `answers`.

use crate::history::{AttemptEnding, Observation, RequestHistory};
use crate::{Breach, Model};
use gullsail_scheduler_api::{
    Action, AttemptOutcome, Event, HostId, Idempotency, IdempotencyScope, Instant, NodeId, Request,
    RequestId, SchedulerConfig, Span,
};

pub(crate) type Verdict = Result<(), Breach>;

/// An attempt that a host is about to send, with what the rules need to know of it.
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

    /// Everything that an attempt may break. The rules are looked at in their order, so one breach has one
    /// name.
    pub(crate) fn may_send(
        &mut self,
        now: Instant,
        host: HostId,
        id: RequestId,
        node: NodeId,
    ) -> Verdict {
        let Some(history) = self.request_history(host, id) else {
            return Err(self.breach(1, now, host, id, "a leg of a transfer that never came"));
        };
        let Some(config) = self.config(host).cloned() else {
            return Err(self.breach(1, now, host, id, "a host that is down sends a leg"));
        };
        let sending = Sending {
            now,
            host,
            node,
            history,
            config,
        };
        self.not_after_its_end(&sending)?;
        self.not_run_twice(&sending)?;
        self.not_to_a_draining_node(&sending)?;
        self.within_slow_start(&sending)?;
        if sending.history.attempts.is_empty() {
            self.in_order_of_its_object(&sending)?;
            self.within_the_volume_limit(&sending)
        } else {
            self.within_the_retry_budget(&sending)
        }
    }

    /// Rule 1: nothing is sent for a request that is over. What is seen in the same step may cross.
    fn not_after_its_end(&mut self, sending: &Sending) -> Verdict {
        let history = &sending.history;
        if history
            .ended
            .is_some_and(|ended| ended.by_host || ended.step < self.steps)
        {
            return Err(self.breach_by(1, sending, "a leg after its final answer"));
        }
        if sending.now > history.deadline() {
            return Err(self.breach_by(1, sending, "a leg after its expiry"));
        }
        self.tested[0] += u64::from(!history.attempts.is_empty());
        Ok(())
    }

    /// Rule 2: what may have run goes again only as its idempotency allows, and never two attempts at once.
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
            return Err(self.breach_by(2, sending, "two legs at once"));
        }
        let Some(first) = history.may_have_run() else {
            return Ok(());
        };
        let wrong = match config.request_classes[history.request.request_class.0].idempotency {
            Idempotency::Idempotent => return Ok(()),
            Idempotency::NonIdempotent => {
                Some("an unrepeatable transfer that may have run goes again")
            }
            Idempotency::WithKey { scope, window } => {
                let same = self.same_scope(*host, scope, first.node, *node);
                if !same {
                    Some("a keyed transfer that may have run leaves its group")
                } else if *now - first.at > window {
                    Some("a keyed transfer goes again after its mark is forgotten")
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

    /// Rule 3: nothing new goes to a node that this host knows to drain or to be gone, after the grace.
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
            "a leg to node {}, known to leave since {} ms",
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

    /// When a node started, by the lists that this host saw.
    fn started(&self, host: HostId, node: NodeId) -> Option<Instant> {
        self.listings(host, node)
            .filter_map(|entry| entry.started)
            .max()
    }

    /// The units of each attempt that hosts which know of a node's start sent there, since it and after a
    /// time.
    fn units_since_start(&self, node: NodeId, started: Instant, after: Instant) -> Vec<f64> {
        let mut sent = Vec::new();
        for host in self.hosts_up() {
            if self.started(host, node).is_none_or(|at| at < started) {
                continue; // it does not know of this start
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

    /// Rule 4: what all hosts that know of a start send within any window of the rule's length stays under
    /// what the node bears: what is borne in any case, or the multiple of what it can do by now, which grows
    /// with the ramp.
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
        let part = rule.initial_fraction + (1.0 - rule.initial_fraction) * age / rule.ramp.secs();
        let by_now = self.parameters.multiple * self.parameters.can * part * rule.window.secs();
        let bound = rule.units.max(by_now);
        let before = self.units_since_start(*node, started, *now - rule.window);
        let sent = before
            .iter()
            .fold(history.request.units, |sum, units| sum + units);
        self.tested[3] += u64::from(sent > rule.units / 2.0);
        if sent > bound {
            let what = format!(
                "{sent} units within the window to cold node {}, which bears {bound}",
                node.0
            );
            return Err(self.breach_by(4, sending, what));
        }
        Ok(())
    }

    /// Rule 5: where a request class keeps order, a first attempt waits until all earlier ones of its object
    /// are over, with no attempt whose outcome is not known, and rests after a time-out, a break or a cancel.
    fn in_order_of_its_object(&mut self, sending: &Sending) -> Verdict {
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
            if let Some(what) = blocks_its_object(&earlier, config.order_settle, *now) {
                return Err(self.breach_by(5, sending, what));
            }
        }
        Ok(())
    }

    /// Rule 6: retries of any window stay within the free few and the share of what was accepted in it.
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
            let what = format!("{retries} further legs in the window; {allowed} may be sent");
            return Err(self.breach_by(6, sending, what));
        }
        Ok(())
    }

    /// How often what comes puts a rule to the test.
    pub(crate) fn count_seen(&mut self, now: Instant, host: HostId, event: &Event) {
        let Event::RequestArrived(request) = event else {
            return;
        };
        // Rule 3: its data lies at a node that leaves, longer than the grace.
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

/// Why a later request of the same object may not be sent yet.
fn blocks_its_object(earlier: &RequestHistory, settle: Span, now: Instant) -> Option<String> {
    let id = earlier.request.id.0;
    if earlier.ended.is_none() {
        return Some(format!("transfer {id} came before it and is not over"));
    }
    let mut attempts = earlier.attempts.iter();
    if attempts.any(|attempt| attempt.ended.is_none()) {
        return Some(format!("transfer {id} came before it and has a leg out"));
    }
    let ends = earlier.attempts.iter().filter_map(|attempt| attempt.ended);
    let unknown = ends.filter(may_still_run);
    let rests_until = unknown.map(|end| end.at + settle).max()?;
    (now < rests_until).then(|| {
        format!(
            "after transfer {id} its object rests until {} ms",
            rests_until.millis()
        )
    })
}

fn may_still_run(end: &AttemptEnding) -> bool {
    matches!(
        end.outcome,
        AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
    )
}
