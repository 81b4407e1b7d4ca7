//! Attempts, from the scheduler's action that starts one until its outcome is reported to the scheduler. An attempt
//! uses an idle connection to its node or waits for one. After the wait the host checks again whether the attempt may
//! still be sent.
//!
//! The scheduler's actions, timers and `node_connections` call this module. The scheduler chooses the nodes.

use super::Core;
use super::attempt_key::AttemptKey;
use super::io::{ConnectionId, Output};
use super::requests::OpenRequest;
use super::timer_event::TimerEvent;
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, Event, Idempotency, Instant, MAX_SEND_DELAY, NodeId, RequestId,
    Span,
};

/// The progress of an attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptProgress {
    WaitingForConnection,
    /// The message is being written on this connection.
    Writing(ConnectionId),
    /// The operating system accepted the last byte of the message at this time.
    Written {
        conn: ConnectionId,
        at: Instant,
    },
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) node: NodeId,
    /// When the scheduler decided on the attempt.
    pub(super) decided_at: Instant,
    /// When the attempt times out.
    pub(super) deadline: Instant,
    /// The clock reading from which on the attempt is no longer sent; `None`: `deadline` alone bounds it.
    send_before: Option<Instant>,
    pub(super) progress: AttemptProgress,
    /// The start time of the node's process, as known when the scheduler decided on the attempt. `None` if unknown.
    node_started: Option<Instant>,
}

impl Attempt {
    /// The time after which the message is not written any more, however long ago the host decided to send it.
    fn write_by(&self) -> Instant {
        let end = self.send_before.map(|end| end + MAX_SEND_DELAY);
        end.map_or(self.deadline, |end| end.min(self.deadline))
    }
}

impl Core {
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        node: NodeId,
        attempt_timeout: Option<Span>,
        send_before: Option<Instant>,
    ) {
        let now = self.context.now;
        let Some(open) = self.requests.get(id) else {
            // The client disconnected in the same batch of events. The scheduler still expects an outcome.
            return self.report_not_sent(id, node);
        };
        let time_left = open.deadline - now;
        let timeout = attempt_timeout.map_or(time_left, |limit| limit.min(time_left));
        let key = AttemptKey {
            request: id,
            number: open.attempts_started,
        };
        open.attempts_started += 1;
        open.attempts_in_flight += 1;
        let attempt = Attempt {
            node,
            decided_at: now,
            deadline: now + timeout,
            send_before,
            progress: AttemptProgress::WaitingForConnection,
            node_started: self.nodes.started(node),
        };
        self.attempts.insert(key, attempt);
        // An event in the same batch, such as a drain of the node, may forbid the attempt.
        if !self.may_still_send(key) {
            return self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
        self.context
            .set_timer(timeout, TimerEvent::AttemptTimeout(key));
        self.send_or_wait(key, node);
    }

    /// Sends the attempt on an idle connection to the node that may be reused, or queues it until there is one.
    pub(super) fn send_or_wait(&mut self, key: AttemptKey, node: NodeId) {
        if let Some(conn) = self.nodes.take_reusable(node, &mut self.context) {
            self.send_attempt(key, conn);
        } else if !self.nodes.queue_attempt(node, key, &mut self.context) {
            self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
    }

    /// Whether the attempt may be sent now. Since the scheduler's decision the node may have started to drain or been
    /// restarted, the request may have been answered, the attempt may have timed out, or the time to send it may be over.
    pub(super) fn may_still_send(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get(&key).copied() else {
            return false;
        };
        let now = self.context.now;
        let Some(open) = self.requests.get(key.request) else {
            return false;
        };
        let idempotency = self.settings.idempotency(open.request_class);
        let request_allows = open.client.is_some() && may_repeat(open, idempotency);
        request_allows
            && now < attempt.deadline
            && attempt.send_before.is_none_or(|end| now < end)
            && self.nodes.is_ready(attempt.node)
            && self.nodes.started(attempt.node) == attempt.node_started
    }

    /// Sends the attempt on an established connection that carries no other attempt.
    pub(super) fn send_attempt(&mut self, key: AttemptKey, conn: ConnectionId) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.progress = AttemptProgress::Writing(conn);
        let time_left = attempt.deadline - self.context.now;
        let write_by = attempt.write_by();
        let Some(open) = self.requests.get(key.request) else {
            return;
        };
        open.unproven_execution.get_or_insert(key.number);
        let bytes = open.head.message(time_left, open.body.clone());
        let bytes_handled = self.nodes.mark_busy(conn, key);
        self.context.outputs.push(Output::Send {
            conn,
            bytes,
            bytes_handled,
            write_by: Some(write_by),
        });
    }

    pub(super) fn attempt_timed_out(&mut self, key: AttemptKey) {
        match self.attempts.get(&key).map(|attempt| attempt.progress) {
            Some(AttemptProgress::WaitingForConnection) => self.connection_wait_timed_out(key),
            // Closing the connection first ensures that no second attempt runs while this one is in flight. An attempt
            // in `Writing` may have run too: the task that writes the message may have written it without having
            // reported that yet.
            Some(AttemptProgress::Writing(conn) | AttemptProgress::Written { conn, .. }) => {
                self.nodes.close(conn, &mut self.context);
                self.end_attempt(key, AttemptOutcome::TimedOut, None);
            }
            None => {}
        }
    }

    pub(super) fn connection_wait_timed_out(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key).copied() else {
            return;
        };
        if attempt.progress != AttemptProgress::WaitingForConnection {
            return;
        }
        let was_connecting = self.nodes.stop_waiting(attempt.node, key);
        let outcome = if was_connecting {
            AttemptOutcome::Unreachable
        } else {
            AttemptOutcome::NotSent
        };
        self.end_attempt(key, outcome, None);
    }

    /// Reports to the scheduler that the first attempt of a request was not sent because the request is no longer in
    /// the table. It is always the first attempt: a request with an attempt in flight stays in the table.
    fn report_not_sent(&mut self, id: RequestId, node: NodeId) {
        self.context.metrics.count_outcome(AttemptOutcome::NotSent);
        self.context
            .scheduler_events
            .push(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: 0,
                node,
                outcome: AttemptOutcome::NotSent,
                latency: Span::ZERO,
                finished: true,
                used: None,
                zone: self.nodes.zone(node),
                bytes: 0.0,
            }));
    }

    /// Removes the attempt and reports its outcome to the scheduler. The latency counts from the scheduler's decision,
    /// so it includes the wait for a connection. `used`: how much of the nominal rate of the volume all hosts together
    /// use, as a fraction; `None` if the node did not report it.
    pub(super) fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: AttemptOutcome,
        used: Option<f64>,
    ) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        self.context.metrics.count_outcome(outcome);
        let finished = self.requests.attempt_ended(key, outcome);
        self.context
            .scheduler_events
            .push(Event::AttemptEnded(AttemptEnd {
                id: key.request,
                attempt: key.number,
                node: attempt.node,
                outcome,
                latency: self.context.now - attempt.decided_at,
                finished,
                used,
                zone: self.nodes.zone(attempt.node),
                bytes: 0.0,
            }));
    }
}

/// Whether the request may be sent to a node although an earlier attempt may have run. The scheduler decides until when
/// a request with an idempotency key may be sent again.
fn may_repeat(open: &OpenRequest, idempotency: Idempotency) -> bool {
    idempotency != Idempotency::NonIdempotent || open.unproven_execution.is_none()
}
