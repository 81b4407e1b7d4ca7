//! Each rule by itself, in the order of the brief.

use super::*;

type Kept = Result<(), Breach>;

impl Model {
    /// Everything that an attempt may break. The rules are looked at in their order, so one breach has one name.
    pub(super) fn may_send(&mut self, now: Instant, host: HostId, id: RequestId, node: NodeId) -> Kept {
        let Some(story) = self.story(host, id) else {
            return Err(self.breach(1, now, host, id, "a leg of a transfer that never came".into()));
        };
        let Some(config) = self.config(host).cloned() else {
            return Err(self.breach(1, now, host, id, "a host that is down sends a leg".into()));
        };
        self.not_over(now, host, &story)?;
        self.no_effect_twice(now, host, &story, &config, node)?;
        self.not_drained(now, host, id, node)?;
        self.not_pushed_over(now, host, &story, &config, node)?;
        if story.attempts.is_empty() {
            self.in_its_turn(now, host, &story, &config)?;
            self.within_the_limit(now, host, &story)
        } else {
            self.within_the_budget(now, host, id, &config)
        }
    }

    /// Rules 1 and 2 on an answer: the one, in time, and a rejection only where a repeat does no harm.
    pub(super) fn may_answer(&mut self, now: Instant, host: HostId, id: RequestId, rejected: bool) -> Kept {
        let Some(story) = self.story(host, id) else {
            return Err(self.breach(1, now, host, id, "an answer to a transfer that never came".into()));
        };
        self.tested[0] += 1;
        if let Some((at, ..)) = story.ended {
            return Err(self.breach(
                1,
                now,
                host,
                id,
                format!("a second answer; it ended at {} ms", at.millis()),
            ));
        }
        if now > story.deadline() + self.stated.answer_slack {
            return Err(self.breach(1, now, host, id, "the answer comes after the expiry".into()));
        }
        let idempotency = self
            .config(host)
            .and_then(|f| f.request_classes.get(story.t.request_class.0))
            .map(|s| s.idempotency);
        let safe = match idempotency {
            Some(Idempotency::Idempotent | Idempotency::WithKey { group: IdempotencyScope::All, .. }) => true,
            _ => story.may_have_run().is_none(),
        };
        self.tested[1] += u64::from(!safe);
        if rejected && !safe {
            return Err(self.breach(2, now, host, id, "deferred, though it may have run".into()));
        }
        Ok(())
    }

    /// Rule 1, on what must have happened: each request has its answer once its time is up.
    ///
    /// # Errors
    /// One that has none; each is reported once.
    pub fn passed(&mut self, now: Instant) -> Kept {
        for host in self.up() {
            let due: Vec<RequestId> = self
                .accepted(host)
                .filter(|(at, t)| *at + t.timeout + self.stated.answer_slack < now)
                .filter(|(at, t)| !self.late.contains(&(host, t.id, *at)))
                .map(|(_, t)| t.id)
                .collect();
            for id in due {
                let Some(story) = self.story(host, id) else { continue };
                self.late.push((host, id, story.arrived));
                if story.ended.is_none() {
                    return Err(self.breach(1, now, host, id, "its time is up and it has no answer".into()));
                }
            }
        }
        Ok(())
    }

    /// Rule 1: nothing is sent for a request that is over. What is told in the same step may cross.
    fn not_over(&mut self, now: Instant, host: HostId, story: &Story) -> Kept {
        let own = |(_, step, own): (Instant, u64, bool)| own || step < self.steps;
        if story.ended.is_some_and(own) {
            return Err(self.breach(1, now, host, story.t.id, "a leg after its final answer".into()));
        }
        if now > story.deadline() {
            return Err(self.breach(1, now, host, story.t.id, "a leg after its expiry".into()));
        }
        self.tested[0] += u64::from(!story.attempts.is_empty());
        Ok(())
    }

    /// Rule 2: what may have run goes again only as its effect allows, and never two attempts at once.
    fn no_effect_twice(
        &mut self,
        now: Instant,
        host: HostId,
        story: &Story,
        config: &SchedulerConfig,
        node: NodeId,
    ) -> Kept {
        let id = story.t.id;
        if story.attempts.iter().any(|l| l.ended.is_none()) {
            return Err(self.breach(2, now, host, id, "two legs at once".into()));
        }
        let Some(first) = story.may_have_run() else { return Ok(()) };
        let wrong = match config.request_classes[story.t.request_class.0].idempotency {
            Idempotency::Idempotent => return Ok(()),
            Idempotency::NonIdempotent => Some("an unrepeatable transfer that may have run goes again"),
            Idempotency::WithKey { group, window } => {
                let (there, here) = (self.place(host, first.node), self.place(host, node));
                let same = match group {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => there.map(|p| p.1) == here.map(|p| p.1),
                    IdempotencyScope::Shard => there.map(|p| p.0) == here.map(|p| p.0),
                };
                if !same {
                    Some("a keyed transfer that may have run leaves its group")
                } else if now - first.at > window {
                    Some("a keyed transfer goes again after its mark is forgotten")
                } else {
                    None
                }
            }
        };
        self.tested[1] += 1;
        wrong.map_or(Ok(()), |what| Err(self.breach(2, now, host, id, what.into())))
    }

    /// Since when a host knows that a node drains or is gone; only a newer start, told as ready, takes it back.
    fn drained(&self, host: HostId, node: NodeId) -> Option<Instant> {
        let (mut since, mut newest): (Option<Instant>, Option<Instant>) = (None, None);
        for e in self.incarnation(host) {
            let What::Saw(Event::EndpointList { update_kind, entries }) = &e.what else { continue };
            let told = entries.iter().filter(|n| n.node == node);
            let whole = matches!(update_kind, UpdateKind::Snapshot | UpdateKind::StaleSnapshot);
            if whole && told.clone().next().is_none() {
                since.get_or_insert(e.at);
            }
            for n in told {
                if n.state != EndpointState::Ready {
                    since.get_or_insert(e.at);
                } else if n.started > newest {
                    since = None;
                }
                newest = newest.max(n.started);
            }
        }
        since
    }

    /// Rule 3: nothing new goes to a node that this host knows to drain or to be gone, after the grace.
    fn not_drained(&mut self, now: Instant, host: HostId, id: RequestId, node: NodeId) -> Kept {
        if self.place(host, node).is_none() {
            return Err(self.breach(3, now, host, id, format!("node {} was in no list", node.0)));
        }
        let Some(since) = self.drained(host, node).filter(|at| now - *at > self.stated.drain_grace) else {
            return Ok(());
        };
        let mut breach = self.breach(
            3,
            now,
            host,
            id,
            format!("a leg to node {}, known to leave since {} ms", node.0, since.millis()),
        );
        breach.rests_on.extend(self.lines(host, |w| match w {
            What::Saw(Event::EndpointList { entries, .. }) => entries.iter().any(|n| n.node == node),
            _ => false,
        }));
        Err(breach)
    }

    /// When a node started, as this host was last told.
    fn started(&self, host: HostId, node: NodeId) -> Option<Instant> {
        let told = self.incarnation(host).filter_map(|e| match &e.what {
            What::Saw(Event::EndpointList { entries, .. }) => entries.iter().rfind(|n| n.node == node),
            _ => None,
        });
        told.filter_map(|n| n.started).max()
    }

    /// Rule 4: what all hosts that know of a start send within any window of the rule's length stays under what the
    /// node bears: what is borne in any case, or the multiple of what it can do by now, which grows with the ramp.
    fn not_pushed_over(
        &mut self,
        now: Instant,
        host: HostId,
        story: &Story,
        config: &SchedulerConfig,
        node: NodeId,
    ) -> Kept {
        let cold = &config.slow_start;
        let Some(started) = self.started(host, node).filter(|s| now - *s < cold.ramp) else { return Ok(()) };
        let age = (now - started).secs().max(0.0);
        let part = cold.initial_fraction + (1.0 - cold.initial_fraction) * age / cold.ramp.secs();
        let bears = cold.units.max(self.stated.multiple * self.stated.can * part * cold.window.secs());
        let mut sent = story.t.units;
        for other in self.up() {
            if self.started(other, node).is_none_or(|s| s < started) {
                continue; // it was not told
            }
            for e in self.incarnation(other).filter(|e| now - e.at < cold.window && e.at >= started) {
                if let What::Did(Action::StartAttempt { id, node: to, .. }) = &e.what
                    && *to == node
                {
                    sent += self.accepted(other).find(|(_, t)| t.id == *id).map_or(0.0, |(_, t)| t.units);
                }
            }
        }
        self.tested[3] += u64::from(sent > cold.units / 2.0);
        if sent > bears {
            let what = format!("{sent} units within the window to cold node {}, which bears {bears}", node.0);
            return Err(self.breach(4, now, host, story.t.id, what));
        }
        Ok(())
    }

    /// Rule 5: where a request class keeps order, a first attempt waits until all earlier ones of its object are over, with no
    /// attempt whose outcome is not known, and rests after a time-out, a break or a cancel.
    fn in_its_turn(&mut self, now: Instant, host: HostId, story: &Story, config: &SchedulerConfig) -> Kept {
        let ordered = |t: &Request| config.request_classes[t.request_class.0].in_order;
        let Some(object) = story.t.object.filter(|_| ordered(&story.t)) else { return Ok(()) };
        let before = self.accepted(host).map(|(_, t)| t).take_while(|t| t.id != story.t.id);
        let before: Vec<_> =
            before.filter(|t| t.object == Some(object) && ordered(t)).map(|t| t.id).collect();
        let before: Vec<Story> = before.into_iter().filter_map(|id| self.story(host, id)).collect();
        self.tested[4] += before.len() as u64;
        for other in before {
            let id = other.t.id.0;
            let wrong = if other.ended.is_none() {
                Some(format!("transfer {id} came before it and is not over"))
            } else if other.attempts.iter().any(|l| l.ended.is_none()) {
                Some(format!("transfer {id} came before it and has a leg out"))
            } else {
                let unknown = |outcome| {
                    matches!(
                        outcome,
                        AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
                    )
                };
                let ends = other.attempts.iter().filter_map(|l| l.ended).filter(|l| unknown(l.1));
                let rest = ends.map(|l| l.0 + config.order_settle).max().filter(|until| now < *until);
                rest.map(|until| format!("after transfer {id} its object rests until {} ms", until.millis()))
            };
            if let Some(what) = wrong {
                return Err(self.breach(5, now, host, story.t.id, what));
            }
        }
        Ok(())
    }

    /// Rule 6: further attempts of any window stay within the free few and the share of what was accepted in it.
    fn within_the_budget(
        &mut self,
        now: Instant,
        host: HostId,
        id: RequestId,
        config: &SchedulerConfig,
    ) -> Kept {
        let Some(b) = config.retry_budget else { return Ok(()) };
        let (mut seen, mut further, mut accepted) = (Vec::new(), 1.0, 0.0);
        for e in self.incarnation(host) {
            let inside = now - e.at < b.window;
            match &e.what {
                What::Saw(Event::RequestArrived(_)) if inside => accepted += 1.0,
                What::Did(Action::StartAttempt { id, .. }) => {
                    if seen.contains(id) && inside {
                        further += 1.0;
                    }
                    seen.push(*id);
                }
                _ => {}
            }
        }
        let may = b.free + b.share * accepted;
        self.tested[5] += u64::from(further > may / 2.0);
        if further > may {
            let what = format!("{further} further legs in the window; {may} may be sent");
            return Err(self.breach(6, now, host, id, what));
        }
        Ok(())
    }

    /// Rule 7: a volume's store for all hosts is full at first, fills at the limit's rate up to its burst, and the first
    /// attempt of each request takes its units; it goes below empty by no more than the slack. While documents change, the
    /// highest limit binds that a host still holds to; none does where one knows of no limit.
    fn within_the_limit(&mut self, now: Instant, host: HostId, story: &Story) -> Kept {
        let (volume, plan) = (story.t.volume, story.t.plan);
        let mut holds: Vec<(HostId, Option<Limit>)> = Vec::new();
        let mut first: Vec<(HostId, RequestId)> = Vec::new();
        let (mut limit, mut level, mut at): (Option<Limit>, f64, Instant) = (None, 0.0, now);
        for (place, e) in self.history.iter().enumerate() {
            let mut takes = 0.0;
            match &e.what {
                What::Born(config) => {
                    // A host's ids begin anew with each incarnation.
                    first.retain(|f| f.0 != e.host);
                    holds.retain(|h| h.0 != e.host);
                    holds.push((e.host, config.plans.get(plan.0).and_then(|p| p.limit)));
                }
                What::Killed => holds.retain(|h| h.0 != e.host),
                What::Saw(Event::ConfigChanged { plans, allocations, .. }) => {
                    let Some(t) = allocations.iter().find(|t| t.volume == volume) else { continue };
                    let held = holds.iter_mut().filter(|h| h.0 == e.host);
                    held.for_each(|h| h.1 = plans.get(t.plan.0).and_then(|p| p.limit));
                }
                What::Did(Action::StartAttempt { id, .. }) if !first.contains(&(e.host, *id)) => {
                    first.push((e.host, *id));
                    let of = self.history[..place].iter().rev().find_map(|b| match &b.what {
                        What::Saw(Event::RequestArrived(t)) if b.host == e.host && t.id == *id => Some(t),
                        _ => None,
                    });
                    takes = of.filter(|t| t.volume == volume).map_or(0.0, |t| t.units);
                }
                _ => continue,
            }
            if let Some(l) = limit {
                level = (level + l.rate * (e.at - at).secs()).min(l.burst);
            }
            at = e.at;
            let highest =
                |a: Limit, b: Limit| Limit { rate: a.rate.max(b.rate), burst: a.burst.max(b.burst) };
            let all: Option<Vec<Limit>> = holds.iter().map(|h| h.1).collect();
            let binds = all.and_then(|all| all.into_iter().reduce(highest));
            if let Some(l) = binds {
                level = if limit.is_none() { l.burst } else { level.min(l.burst) };
            }
            (limit, level) = (binds, level - takes);
        }
        let Some(l) = limit else { return Ok(()) };
        level = (level + l.rate * (now - at).secs()).min(l.burst) - story.t.units;
        // Hosts that start empty leave most of the store alone: what is asked past the rate is what tries the rule.
        let lately = self.history.iter().filter(|e| now - e.at < Span::from_micros(1_000_000));
        let asked = lately.filter_map(|e| match &e.what {
            What::Saw(Event::RequestArrived(t)) if t.volume == volume => Some(t.units),
            _ => None,
        });
        self.tested[6] += u64::from(asked.sum::<f64>() > l.rate);
        if level < -self.stated.slack - 1e-6 {
            let slack = self.stated.slack;
            let what = format!("volume {} goes to {level:.3} units, with a slack of {slack}", volume.0);
            return Err(self.breach(7, now, host, story.t.id, what));
        }
        Ok(())
    }

    /// How often what comes puts a rule to the test.
    pub(super) fn count_seen(&mut self, now: Instant, host: HostId, event: &Event) {
        let Event::RequestArrived(t) = event else { return };
        // Rule 3: its data lies at a node that leaves, past the grace.
        let Some(shard) = t.shard else { return };
        let mut nodes: Vec<NodeId> = Vec::new();
        for e in self.incarnation(host) {
            if let What::Saw(Event::EndpointList { entries, .. }) = &e.what {
                nodes.extend(entries.iter().filter(|n| n.shard == shard).map(|n| n.node));
            }
        }
        nodes.sort_unstable();
        nodes.dedup();
        let left = |n: &NodeId| self.drained(host, *n).is_some_and(|at| now - at > self.stated.drain_grace);
        self.tested[2] += u64::from(nodes.iter().any(left));
    }
}
