//! Attempts: each is sent to its node as a frame, and its end is reported to the scheduler once.
//!
//! An attempt whose node has no connection waits for it, no longer than one takes to be made. Called by the
//! scheduler's actions, by timers, and by what happens on the nodes' connections; nothing here decides
//! whether there is another.

use super::Core;
use super::request_handling::FinalAnswer;
use super::requests::{AttemptId, StartedAttempt};
use super::timers::TimerKind;
use super::zone_traffic::AnsweredAttempt;
use gullsail_protocol::{Attempt, AttemptAnswer, AttemptResult, Cancel, Frame, Outcome};
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, EndpointState, Event, NodeId, RequestId, Span, ZoneId,
};
use tracing::debug;

/// How an attempt ended, as far as its node reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptReport {
    outcome: AttemptOutcome,
    /// The part of the node's capacity that is in use, where it is reported.
    used: Option<f64>,
    /// Of the node's answer; 0: there was none.
    answer_bytes: usize,
}

impl From<AttemptOutcome> for AttemptReport {
    fn from(outcome: AttemptOutcome) -> AttemptReport {
        AttemptReport {
            outcome,
            used: None,
            answer_bytes: 0,
        }
    }
}

impl Core {
    /// Starts an attempt that the scheduler decided on.
    pub(super) fn start_attempt(&mut self, id: RequestId, node: NodeId, time_out: Option<Span>) {
        let now = self.now;
        let number = self.requests.get(id).map_or(0, |o| o.attempts);
        if self.nodes.get(node).is_none() {
            return self.attempt_not_started(id, number, node);
        }
        let Some(started) = self.requests.start_attempt(id, node, now, time_out) else {
            return self.attempt_not_started(id, number, node);
        };
        self.counts.attempts += 1;
        let StartedAttempt { id: attempt, lasts } = started;
        let Some(n) = self.nodes.get(node).filter(|n| n.connection.up().is_none()) else {
            return self.send_attempt(attempt);
        };
        // It waits for the connection, no longer than one takes to be made: until then it certainly never
        // ran.
        n.pending.insert(attempt);
        self.at(
            now + self.deployment.bounds.connect.min(lasts),
            TimerKind::Attempt(attempt),
        );
        self.connect_nodes();
    }

    /// Its node is forgotten, or its request has ended: the attempt is not sent. The scheduler knows of the
    /// request's end before it starts an attempt, since it takes all events of a batch first.
    fn attempt_not_started(&mut self, id: RequestId, attempt: u32, node: NodeId) {
        let finished = self.requests.get(id).is_none();
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            node,
            outcome: AttemptOutcome::NotSent,
            latency: Span::ZERO,
            finished,
            used: None,
            zone: ZoneId::default(),
            bytes: 0.0,
        }));
    }

    /// Sends an attempt over its node's connection.
    pub(super) fn send_attempt(&mut self, attempt: AttemptId) {
        let now = self.now;
        let Some(out) = self.requests.attempt(attempt) else {
            return;
        };
        let (request, node, number, left) = (out.request, out.node, out.number, out.ends - now);
        // It may have waited for the connection, and its node began to drain meanwhile.
        let ready = self
            .nodes
            .get(node)
            .filter(|n| n.state == EndpointState::Ready && !n.barred);
        let link = ready.and_then(|n| n.connection.up());
        let Some((link, open)) = link
            .zip(self.requests.get(request))
            .filter(|_| left > Span::ZERO)
        else {
            return self.attempt_ended(attempt, AttemptOutcome::NotSent);
        };
        let submit = &open.submit;
        let frame = Attempt {
            attempt: attempt.0,
            request_class: submit.request_class.clone(),
            volume: submit.volume.clone(),
            units: submit.units,
            write: open.write,
            handle: submit.handle,
            mark: submit.mark.clone(),
            repeat: submit.repeat,
            number,
            time_out_us: left.micros(),
        };
        let frame = Frame::from(frame).with_body(open.body.clone());
        let ends = now + left;
        if let Some(out) = self.requests.attempt(attempt) {
            out.sent = Some(now);
        }
        let zone = self.node_zone(node);
        self.count_attempt(zone, request, number, frame.len());
        self.send_by(link, frame, Some(ends));
        self.at(ends, TimerKind::Attempt(attempt));
    }

    /// Reports to the scheduler how an attempt ended; once for each attempt.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, report: impl Into<AttemptReport>) {
        let report: AttemptReport = report.into();
        let Some(out) = self.requests.attempt_ended(attempt) else {
            return;
        };
        if let Some(n) = self.nodes.get(out.node) {
            n.pending.remove(&attempt);
        }
        let succeeded = report.outcome == AttemptOutcome::Succeeded;
        let finished = succeeded || self.requests.get(out.request).is_none();
        let zone = self.node_zone(out.node);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id: out.request,
            attempt: out.number,
            node: out.node,
            outcome: report.outcome,
            latency: self.now - out.sent.unwrap_or(out.made),
            finished,
            used: report.used,
            zone,
            bytes: report.answer_bytes as f64,
        }));
    }

    /// The timer of an attempt: for its connection, or for its answer.
    pub(super) fn on_attempt_deadline(&mut self, attempt: AttemptId) {
        let Some(out) = self.requests.attempt(attempt) else {
            return;
        };
        match out.sent {
            None => self.attempt_ended(attempt, AttemptOutcome::Unreachable),
            Some(_) if out.ends <= self.now => {
                let node = out.node;
                self.attempt_ended(attempt, AttemptOutcome::TimedOut);
                if let Some(link) = self.nodes.get(node).and_then(|n| n.connection.up()) {
                    self.send(link, Frame::from(Cancel { attempt: attempt.0 }));
                }
            }
            // The timer of its wait for the connection, which came in time.
            Some(_) => {}
        }
    }

    /// A node's answer to an attempt. `bytes`: of the whole frame.
    pub(super) fn attempt_answer(
        &mut self,
        node: NodeId,
        answer: AttemptAnswer,
        body: bytes::Bytes,
        bytes: usize,
    ) {
        let attempt = AttemptId(answer.attempt);
        self.count_attempt_answer(node, &answer, bytes);
        // Late, or another node's: nothing waits for it here.
        let Some(out) = self
            .requests
            .attempt(attempt)
            .filter(|o| o.node == node && o.sent.is_some())
        else {
            self.counts.late_node_answers += 1;
            debug!(
                attempt = answer.attempt,
                node = node.0,
                "late answer of a node: discarded"
            );
            return;
        };
        let request = out.request;
        let used = answer
            .used_plus_one
            .checked_sub(1)
            .map(|percent| f64::from(percent) / 100.0);
        let outcome = match AttemptResult::try_from(answer.result) {
            Ok(AttemptResult::Succeeded) => AttemptOutcome::Succeeded,
            Ok(AttemptResult::Rejected) => AttemptOutcome::Rejected,
            // A result of a newer version: it may have run.
            Ok(AttemptResult::Failed | AttemptResult::Unknown) | Err(_) => AttemptOutcome::Failed,
        };
        if outcome == AttemptOutcome::Succeeded {
            self.request_succeeded(request, &answer, body);
        } else if !answer.reason.is_empty() {
            debug!(
                attempt = answer.attempt,
                node = node.0,
                reason = answer.reason,
                "leg not done"
            );
        }
        self.attempt_ended(
            attempt,
            AttemptReport {
                outcome,
                used,
                answer_bytes: bytes,
            },
        );
    }

    fn count_attempt_answer(&mut self, node: NodeId, answer: &AttemptAnswer, bytes: usize) {
        let zone = self.node_zone(node);
        let out = self
            .requests
            .attempt(AttemptId(answer.attempt))
            .filter(|o| o.node == node);
        let attempt = out.map(|o| AnsweredAttempt {
            request: o.request,
            number: o.number,
        });
        let awaited = attempt.is_some_and(|a| self.requests.get(a.request).is_some());
        let used = awaited && answer.result == AttemptResult::Succeeded as i32;
        self.count_answer(zone, attempt, bytes, used);
    }

    fn request_succeeded(
        &mut self,
        request: RequestId,
        answer: &AttemptAnswer,
        body: bytes::Bytes,
    ) {
        let open = self.requests.get(request);
        let handle = answer.handle.or(open.and_then(|o| o.submit.handle));
        let units = open.map_or(0.0, |o| o.submit.units);
        self.record_served(units);
        let answer = FinalAnswer {
            handle,
            body,
            ..FinalAnswer::from(Outcome::Succeeded)
        };
        self.answer(request, answer);
    }

    fn node_zone(&mut self, node: NodeId) -> ZoneId {
        self.nodes.get(node).map_or(ZoneId::default(), |n| n.zone)
    }
}
