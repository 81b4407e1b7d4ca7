//! Requests, attempts and answers: what the decisions ask for becomes frames, what comes of attempts becomes events.

use super::requests::{AttemptId, Open, object};
use super::*;
use gullsail_protocol::{Answer, Attempt, AttemptAnswer, AttemptResult, Cancel, Handle, Outcome, Submit};

/// The most that an attempt's frame holds beside names and body.
const ATTEMPT_HEAD: usize = 96;

impl Core {
    /// A client hands a request over. What can't be taken is told so at once, with the reason.
    pub(super) fn submit(&mut self, link: LinkId, submit: Submit, body: bytes::Bytes, aged: bool) {
        let d = &self.deployment;
        if self.requests.find(link, submit.id).is_some() {
            return self.hang_up(link, "one id for two open transfers");
        }
        let id = submit.id;
        if self.stopping {
            return self.not_taken(link, id, "this host is leaving".into(), true);
        }
        let Some(place) = d.request_classes.iter().position(|s| s.name == submit.request_class) else {
            let reason = format!("no stream type is called \"{}\"", submit.request_class);
            return self.not_taken(link, id, reason, false);
        };
        let Some(at) = d.volume_at(&submit.volume) else {
            return self.not_taken(link, id, format!("no volume is called \"{}\"", submit.volume), false);
        };
        let (volume, request_class) = (&d.volumes[at], &d.request_classes[place]);
        let most = d.figures().max_units;
        let wrong = if !volume.through(self.me) {
            Some(format!("volume \"{}\" does not come through this host", volume.name))
        } else if !(submit.units > 0.0 && submit.units <= most) {
            Some(format!("{} units; more than 0 and at most {most} can be taken", submit.units))
        } else if submit.timeout_us <= d.figures().tick.times(2.0).micros() {
            // The decisions end what is open two ticks ahead of its deadline: of this they could only say that it is too
            // late, and a loop that is held up for those two ticks would say it late.
            Some("its time is up, or less than two ticks are left".into())
        } else if !request_class.write && submit.handle.is_none() {
            Some("a read needs the handle of what it reads".into())
        } else if !request_class.write && !body.is_empty() {
            Some("a read has no body".into())
        } else {
            None
        };
        if let Some(reason) = wrong {
            return self.not_taken(link, id, reason, false);
        }
        let request = Request {
            id: RequestId::default(),
            request_class: RequestClassId(place),
            plan: volume.plan,
            volume: volume.id,
            units: submit.units,
            shard: submit.handle.map(|h| ShardId(h.shard)),
            object: object(&submit),
            timeout: Span::from_micros(submit.timeout_us).min(request_class.deadline),
            volume_hosts: volume.hosts.len() as u32,
            pool: d.routes.pool(at, RequestClassId(place)),
            bytes: 0.0,
        };
        // No less than its attempts' frames will have: names, figures, and the body.
        let names = submit.request_class.len() + submit.volume.len() + submit.mark.len();
        let request = Request { bytes: (ATTEMPT_HEAD + names + body.len()) as f64, ..request };
        let (write, deadline) = (request_class.write, self.now + request.timeout);
        let id = self.requests.take(Open { link, submit, write, body, deadline, aged, attempts: 0 });
        self.counts.taken += 1;
        self.fleet_latency(request.volume, request.units);
        self.events.push(Event::RequestArrived(Request { id, ..request }));
    }

    pub(super) fn withdraw(&mut self, link: LinkId, name: u64) {
        if let Some(id) = self.requests.find(link, name) {
            self.client_left(id);
        }
    }

    pub(super) fn client_left(&mut self, id: RequestId) {
        if self.requests.end(id).is_some() {
            self.counts.clients_left += 1;
            self.events.push(Event::ClientDisconnected(id));
        }
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, node, time_out } => self.attempt(id, node, time_out),
            Action::Reject { id, retry_after } => {
                let retry_after_us = retry_after.map_or(0, Span::micros);
                self.answer(id, Outcome::Rejected, None, retry_after_us, bytes::Bytes::new());
            }
            Action::Fail { id } => self.answer(id, Outcome::Failed, None, 0, bytes::Bytes::new()),
            Action::BudgetOverrun { cross_zone_budget, bytes, cause, .. } => {
                self.past(cross_zone_budget, bytes, cause)
            }
            Action::WatchEndpoints => self.dial_list(),
            Action::SetTimer { id, at } => self.at(at, Due::Scheduler(id)),
            Action::SendToPeer { to, bytes } => self.tell(to, bytes),
        }
    }

    /// The one final answer. A request that has it is no longer open, so there is no second.
    fn answer(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        handle: Option<Handle>,
        retry_after_us: i64,
        body: bytes::Bytes,
    ) {
        let Some(open) = self.requests.end(id) else { return };
        // Guards rule 1 after the process stood still: its client has given up, and may have tried elsewhere. Where
        // a request's answer is due exactly at its deadline it harms; answers are due two ticks before.
        if self.now > open.deadline {
            self.counts.answers_withheld += 1;
            if open.aged && open.attempts == 0 {
                // Perhaps somebody does wait: nothing of it ran.
                self.not_taken(open.link, open.submit.id, "its time may be up".into(), false);
            }
            return;
        }
        match outcome {
            Outcome::Succeeded => self.counts.done += 1,
            Outcome::Rejected => self.counts.rejected += 1,
            _ => self.counts.failed += 1,
        }
        let answer = Answer { id: open.submit.id, outcome: outcome as i32, handle, retry_after_us };
        self.send_by(open.link, Frame::from(answer).with_body(body), Some(open.deadline));
        self.pressure(open.link);
    }

    fn attempt(&mut self, id: RequestId, node: NodeId, time_out: Option<Span>) {
        let now = self.now;
        let number = self.requests.get(id).map_or(0, |o| o.attempts);
        let known = self.nodes.get(node).is_some();
        let Some((attempt, lasts)) = known.then(|| self.requests.attempt(id, node, now, time_out)).flatten()
        else {
            // Its node is forgotten: the attempt does not go out. Of an end the decisions know before they ask for a
            // attempt, since they hear all events of a batch first.
            let (outcome, finished) = (AttemptOutcome::NotSent, self.requests.get(id).is_none());
            let end = AttemptEnd {
                id,
                attempt: number,
                node,
                outcome,
                latency: Span::ZERO,
                finished,
                used: None,
                zone: ZoneId::default(),
                bytes: 0.0,
            };
            return self.events.push(Event::AttemptEnded(end));
        };
        self.counts.attempts += 1;
        let Some(n) = self.nodes.get(node).filter(|n| n.dial.up().is_none()) else {
            return self.send_attempt(attempt);
        };
        // It waits for the connection, no longer than one takes to be made: until then it certainly never ran.
        n.pending.insert(attempt);
        self.at(now + self.deployment.bounds.connect.min(lasts), Due::Attempt(attempt));
        self.dial_nodes();
    }

    fn send_attempt(&mut self, attempt: AttemptId) {
        let now = self.now;
        let Some(out) = self.requests.out(attempt) else { return };
        let (request, node, number, left) = (out.request, out.node, out.number, out.ends - now);
        // It may have waited for the connection, and its node was told to leave meanwhile.
        let ready = self.nodes.get(node).filter(|n| n.state == EndpointState::Ready && !n.barred);
        let link = ready.and_then(|n| n.dial.up());
        let Some((link, open)) = link.zip(self.requests.get(request)).filter(|_| left > Span::ZERO) else {
            return self.attempt_over(attempt, AttemptOutcome::NotSent, None);
        };
        let s = &open.submit;
        let frame = Attempt {
            attempt: attempt.0,
            request_class: s.request_class.clone(),
            volume: s.volume.clone(),
            units: s.units,
            write: open.write,
            handle: s.handle,
            mark: s.mark.clone(),
            repeat: s.repeat,
            number,
            time_out_us: left.micros(),
        };
        let frame = Frame::from(frame).with_body(open.body.clone());
        let ends = now + left;
        if let Some(out) = self.requests.out(attempt) {
            out.sent = Some(now);
        }
        let zone = self.nodes.get(node).map_or(ZoneId::default(), |n| n.zone);
        self.attempt_crosses(zone, request, number, frame.len());
        self.send_by(link, frame, Some(ends));
        self.at(ends, Due::Attempt(attempt));
    }

    /// How an attempt ended, to the decisions; once for each attempt.
    pub(super) fn attempt_over(&mut self, attempt: AttemptId, outcome: AttemptOutcome, used: Option<f64>) {
        self.attempt_over_with(attempt, outcome, used, 0);
    }

    /// `bytes`: of the node's answer.
    fn attempt_over_with(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        used: Option<f64>,
        bytes: usize,
    ) {
        let Some(out) = self.requests.attempt_ended(attempt) else { return };
        if let Some(n) = self.nodes.get(out.node) {
            n.pending.remove(&attempt);
        }
        let finished = outcome == AttemptOutcome::Succeeded || self.requests.get(out.request).is_none();
        let latency = self.now - out.sent.unwrap_or(out.made);
        let (id, attempt, node) = (out.request, out.number, out.node);
        let zone = self.nodes.get(node).map_or(ZoneId::default(), |n| n.zone);
        let bytes = bytes as f64;
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            node,
            outcome,
            latency,
            finished,
            used,
            zone,
            bytes,
        }));
    }

    pub(super) fn attempt_is_late(&mut self, attempt: AttemptId) {
        let Some(out) = self.requests.out(attempt) else { return };
        match out.sent {
            None => self.attempt_over(attempt, AttemptOutcome::Unreachable, None),
            Some(_) if out.ends <= self.now => {
                let node = out.node;
                self.attempt_over(attempt, AttemptOutcome::TimedOut, None);
                if let Some(link) = self.nodes.get(node).and_then(|n| n.dial.up()) {
                    self.send(link, Frame::from(Cancel { attempt: attempt.0 }));
                }
            }
            // The timer of its wait for the connection, which came in time.
            Some(_) => {}
        }
    }

    /// `bytes`: of the whole frame.
    pub(super) fn attempt_answer(
        &mut self,
        node: NodeId,
        answer: AttemptAnswer,
        body: bytes::Bytes,
        bytes: usize,
    ) {
        let attempt = AttemptId(answer.attempt);
        let zone = self.nodes.get(node).map_or(ZoneId::default(), |n| n.zone);
        let of = self.requests.out(attempt).filter(|o| o.node == node).map(|o| (o.request, o.number));
        let awaited = of.is_some_and(|(request, _)| self.requests.get(request).is_some());
        self.answer_crosses(zone, of, bytes, awaited && answer.result == AttemptResult::Succeeded as i32);
        // Late, or another node's: nothing waits for it here.
        let Some(out) = self.requests.out(attempt).filter(|o| o.node == node && o.sent.is_some()) else {
            self.counts.late_node_answers += 1;
            debug!(attempt = answer.attempt, node = node.0, "late answer of a node: discarded");
            return;
        };
        let request = out.request;
        let used = answer.used_plus_one.checked_sub(1).map(|percent| f64::from(percent) / 100.0);
        let outcome = match AttemptResult::try_from(answer.result) {
            Ok(AttemptResult::Succeeded) => AttemptOutcome::Succeeded,
            Ok(AttemptResult::Rejected) => AttemptOutcome::Rejected,
            // A result of a newer version: it may have run.
            Ok(AttemptResult::Failed | AttemptResult::Unknown) | Err(_) => AttemptOutcome::Failed,
        };
        if outcome == AttemptOutcome::Succeeded {
            let handle = answer.handle.or(self.requests.get(request).and_then(|o| o.submit.handle));
            let units = self.requests.get(request).map_or(0.0, |o| o.submit.units);
            self.fleet_served(units);
            self.answer(request, Outcome::Succeeded, handle, 0, body);
        } else if !answer.reason.is_empty() {
            debug!(attempt = answer.attempt, node = node.0, reason = answer.reason, "leg not done");
        }
        self.attempt_over_with(attempt, outcome, used, bytes);
    }

    /// A node said who it is: its start is told to the decisions before anything is sent to it.
    pub(super) fn node_up(&mut self, node: NodeId, link: LinkId, incarnation: u64, age: Span) {
        let met = self.nodes.get(node).is_some_and(|n| n.incarnation == Some(incarnation));
        let Some((entry, another)) = self.nodes.greeted(node, incarnation, age, self.now) else { return };
        let Some(n) = self.nodes.get(node) else { return };
        n.dial.is_up(link);
        self.links.entry(link).and_modify(|l| l.due_by = None);
        let pending = std::mem::take(&mut n.pending);
        let name = &n.name;
        if another {
            self.counts.nodes_restarted += 1;
            info!(node = name, "node restarted");
        } else {
            self.counts.nodes_met_again += 1;
            debug!(node = name, "node is up, the same process as before");
        }
        self.events.push(Event::EndpointList { update_kind: UpdateKind::SelfReported, entries: vec![entry] });
        // What waited was decided for the process before, or for one of whose start nobody knew: to a cold one it does not
        // go all together, but is decided anew. None of it ran.
        let cold = !met && age < self.deployment.figures().slow_start.ramp;
        for attempt in pending {
            if cold {
                self.attempt_over(attempt, AttemptOutcome::NotSent, None);
            } else {
                self.send_attempt(attempt);
            }
        }
    }

    /// Its connection is over, or did not come about. Attempts that were sent may have run; others wait for the
    /// next try as long as they may.
    pub(super) fn node_lost(&mut self, node: NodeId, why: &str) {
        let redial = self.deployment.bounds.redial;
        let attempts = self.requests.at_node(node);
        let Some(n) = self.nodes.get(node) else { return };
        let was_up = n.dial.up().is_some();
        if was_up {
            warn!(node = n.name, why, attempts = attempts.len(), "connection to node broke");
        } else {
            debug!(node = n.name, why, "no connection to node");
        }
        let gone = n.state == EndpointState::Gone;
        let at = n.dial.lost(self.now, redial, &mut self.rng);
        if gone {
            n.dial.state = super::State::Idle;
        } else {
            self.at(at, Due::RedialNode(node));
        }
        for attempt in attempts {
            if self.requests.out(attempt).is_some_and(|l| l.sent.is_some()) {
                self.attempt_over(attempt, AttemptOutcome::ConnectionLost, None);
            } else if gone {
                self.attempt_over(attempt, AttemptOutcome::Unreachable, None);
            }
        }
    }
}
