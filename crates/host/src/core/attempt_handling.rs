//! Attempts. Each is sent to its node as a frame, and its end is reported to the scheduler once.
//!
//! An attempt whose node has no connection waits for it, for one connect timeout at most. The methods here
//! are called for the scheduler's actions, for timers, and for events on a node's connection. The scheduler alone
//! decides on retries.

use super::Core;
use super::ids::AttemptId;
use super::ids::ConnectionId;
use super::request_handling::FinalAnswer;
use super::requests::{OpenRequest, StartedAttempt};
use super::timer_kind::TimerKind;
use super::zone_traffic::AnsweredAttempt;
use gullsail_protocol::{Attempt, AttemptAnswer, AttemptResult, Cancel, Frame, Outcome};
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, EndpointState, Event, Instant, MAX_SEND_DELAY, NodeId, RequestId,
    Span, ZoneId,
};
use tracing::debug;

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptReport {
    outcome: AttemptOutcome,
    /// Usage of the volume by all hosts in a finished period, as a fraction of its nominal rate; `None`: the node did
    /// not report it.
    used_fraction: Option<f64>,
    /// Bytes of the node's answer; 0 without an answer.
    answer_bytes: usize,
}

impl From<AttemptOutcome> for AttemptReport {
    fn from(outcome: AttemptOutcome) -> AttemptReport {
        AttemptReport {
            outcome,
            used_fraction: None,
            answer_bytes: 0,
        }
    }
}

impl AttemptReport {
    fn from_answer(answer: &AttemptAnswer, answer_bytes: usize) -> AttemptReport {
        let outcome = match AttemptResult::try_from(answer.result) {
            Ok(AttemptResult::Succeeded) => AttemptOutcome::Succeeded,
            Ok(AttemptResult::Rejected) => AttemptOutcome::Rejected,
            // A result that only a newer version defines may mean that the attempt ran.
            Ok(AttemptResult::Failed | AttemptResult::Unknown) | Err(_) => AttemptOutcome::Failed,
        };
        let used_percent = answer.usage_percent_plus_one.checked_sub(1);
        AttemptReport {
            outcome,
            used_fraction: used_percent.map(|percent| f64::from(percent) / 100.0),
            answer_bytes,
        }
    }
}

impl Core {
    /// Starts an attempt that the scheduler decided on.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        node: NodeId,
        time_out: Option<Span>,
        send_before: Option<Instant>,
    ) {
        let now = self.now;
        let number = self.requests.get(id).map_or(0, |open| open.attempts);
        if self.nodes.get(node).is_none() {
            return self.attempt_not_started(id, number, node);
        }
        let Some(started) = self
            .requests
            .start_attempt(id, node, now, time_out, send_before)
        else {
            return self.attempt_not_started(id, number, node);
        };
        self.counts.attempts += 1;
        let StartedAttempt {
            id: attempt,
            timeout,
        } = started;
        let record = self.nodes.get(node);
        let Some(record) = record.filter(|record| record.connection.up().is_none()) else {
            return self.send_attempt(attempt);
        };
        // The attempt waits for the connection for one connect timeout at most. Until it is sent, it cannot run.
        record.pending.insert(attempt);
        let wait = self.deployment.bounds.connect.min(timeout);
        self.set_timer(now + wait, TimerKind::Attempt(attempt));
        self.connect_nodes();
    }

    /// Reports an attempt as not sent, because its node's record was removed or its request has ended. The
    /// scheduler handles all events of a step before it starts attempts, so it usually knows of a request's end.
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

    /// Sends an attempt over its node's connection. If the connection is not up, the node may not be sent to,
    /// the request has ended, or the attempt's time or the time to send it is over, the attempt ends as not sent.
    pub(super) fn send_attempt(&mut self, attempt: AttemptId) {
        let now = self.now;
        let Some(in_flight) = self.requests.attempt(attempt) else {
            return;
        };
        let request = in_flight.request;
        let node = in_flight.node;
        let number = in_flight.number;
        let left = in_flight.timeout_at - now;
        let send_before = in_flight.send_before;
        // The node may have started to drain while the attempt waited for the connection.
        let link = self.ready_connection(node);
        let open = self.requests.get(request);
        let in_time = left > Span::ZERO && send_before.is_none_or(|end| now < end);
        let Some((link, open)) = link.zip(open).filter(|_| in_time) else {
            return self.attempt_ended(attempt, AttemptOutcome::NotSent);
        };
        let frame = attempt_frame(attempt, open, number, left);
        let timeout_at = now + left;
        if let Some(in_flight) = self.requests.attempt(attempt) {
            in_flight.sent_at = Some(now);
        }
        let zone = self.node_zone(node);
        self.count_attempt(zone, request, number, frame.len());
        let write_by = send_before.map_or(timeout_at, |end| timeout_at.min(end + MAX_SEND_DELAY));
        self.send_by(link, frame, Some(write_by));
        self.set_timer(timeout_at, TimerKind::Attempt(attempt));
    }

    /// Returns the connection to a node; `None`: it is not up, or no attempt may be sent to the node.
    fn ready_connection(&mut self, node: NodeId) -> Option<ConnectionId> {
        let record = self.nodes.get(node)?;
        let ready = record.state == EndpointState::Ready && !record.offline_or_unknown;
        record.connection.up().filter(|_| ready)
    }

    /// Removes an attempt and reports to the scheduler how it ended. Does nothing if it has ended before.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, report: impl Into<AttemptReport>) {
        let report: AttemptReport = report.into();
        let Some(ended) = self.requests.attempt_ended(attempt) else {
            return;
        };
        if let Some(node) = self.nodes.get(ended.node) {
            node.pending.remove(&attempt);
        }
        let succeeded = report.outcome == AttemptOutcome::Succeeded;
        let finished = succeeded || self.requests.get(ended.request).is_none();
        let zone = self.node_zone(ended.node);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id: ended.request,
            attempt: ended.number,
            node: ended.node,
            outcome: report.outcome,
            latency: self.now - ended.sent_at.unwrap_or(ended.started_at),
            finished,
            used: report.used_fraction,
            zone,
            bytes: report.answer_bytes as f64,
        }));
    }

    /// Handles the timer of an attempt, which limits its wait for the connection or for the node's answer.
    pub(super) fn on_attempt_deadline(&mut self, attempt: AttemptId) {
        let Some(in_flight) = self.requests.attempt(attempt) else {
            return;
        };
        match in_flight.sent_at {
            None => self.attempt_ended(attempt, AttemptOutcome::Unreachable),
            Some(_) if in_flight.timeout_at <= self.now => {
                let node = in_flight.node;
                self.attempt_ended(attempt, AttemptOutcome::TimedOut);
                if let Some(link) = self.node_connection(node) {
                    self.send(link, Frame::from(Cancel { attempt: attempt.0 }));
                }
            }
            // The timer limited the wait for the connection, but the attempt was sent before it fired.
            Some(_) => {}
        }
    }

    /// Handles a node's answer to an attempt. `bytes`: length of the answer's frame, body included.
    pub(super) fn attempt_answer(
        &mut self,
        node: NodeId,
        answer: AttemptAnswer,
        body: bytes::Bytes,
        bytes: usize,
    ) {
        let attempt = AttemptId(answer.attempt);
        self.count_attempt_answer(node, &answer, bytes);
        // An answer is discarded if the attempt has ended or was sent to another node.
        let in_flight = self.requests.attempt(attempt);
        let answered = in_flight.filter(|out| out.node == node && out.sent_at.is_some());
        let Some(answered) = answered else {
            self.counts.late_node_answers += 1;
            debug!(
                attempt = answer.attempt,
                node = node.0,
                "node answer discarded: attempt already ended"
            );
            return;
        };
        let request = answered.request;
        let report = AttemptReport::from_answer(&answer, bytes);
        if report.outcome == AttemptOutcome::Succeeded {
            self.request_succeeded(request, &answer, body);
        } else if !answer.reason.is_empty() {
            debug!(
                request = request.0,
                attempt = answer.attempt,
                node = node.0,
                reason = answer.reason,
                "attempt failed"
            );
        }
        self.attempt_ended(attempt, report);
    }

    fn count_attempt_answer(&mut self, node: NodeId, answer: &AttemptAnswer, bytes: usize) {
        let zone = self.node_zone(node);
        let in_flight = self.requests.attempt(AttemptId(answer.attempt));
        let answered = in_flight.filter(|in_flight| in_flight.node == node);
        let attempt = answered.map(|answered| AnsweredAttempt {
            request: answered.request,
            number: answered.number,
        });
        let awaited = attempt.is_some_and(|attempt| self.requests.get(attempt.request).is_some());
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
        let handle = answer.handle.or(open.and_then(|open| open.submit.handle));
        let units = open.map_or(0.0, |open| open.submit.units);
        self.record_served(units);
        let answer = FinalAnswer {
            handle,
            body,
            ..FinalAnswer::from(Outcome::Succeeded)
        };
        self.answer(request, answer);
    }

    fn node_zone(&mut self, node: NodeId) -> ZoneId {
        self.nodes
            .get(node)
            .map_or(ZoneId::default(), |node| node.zone)
    }

    fn node_connection(&mut self, node: NodeId) -> Option<ConnectionId> {
        self.nodes.get(node)?.connection.up()
    }
}

/// The frame that carries an attempt to its node.
fn attempt_frame(attempt: AttemptId, open: &OpenRequest, number: u32, timeout: Span) -> Frame {
    let submit = &open.submit;
    let message = Attempt {
        attempt: attempt.0,
        request_class: submit.request_class.clone(),
        volume: submit.volume.clone(),
        units: submit.units,
        write: open.write,
        handle: submit.handle,
        idempotency_key: submit.idempotency_key.clone(),
        repeat: submit.repeat,
        number,
        time_out_us: timeout.micros(),
    };
    Frame::from(message).with_body(open.body.clone())
}
