//! Attempts, from the scheduler's action that starts one until its outcome is reported to the scheduler. An attempt
//! uses an idle connection to its node or waits for one. After the wait the host checks again whether the attempt may
//! still be sent.
//!
//! The scheduler's actions, timers and `node_connections` call this module. The scheduler chooses the nodes.

use super::Core;
use super::attempt_key::AttemptKey;
use super::io::{ConnectionId, Output};
use super::requests::{OpenRequest, UnprovenExecution};
use super::timer_event::TimerEvent;
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, Event, Idempotency, Instant, NodeId, RequestId, Span,
};

/// Upper bound on the time from [`Output::Send`] until the node receives the first byte, on a working connection. A
/// retry must reach the node before the node discards the idempotency key.
const MAX_SEND_DELAY: Span = Span::from_micros(10_000);

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
    pub(super) progress: AttemptProgress,
    /// The start time of the node's process, as known when the scheduler decided on the attempt. `None` if unknown.
    node_started: Option<Instant>,
}

impl Core {
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        node: NodeId,
        attempt_timeout: Option<Span>,
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
    /// restarted, the request may have been answered, or the attempt may have timed out.
    pub(super) fn may_still_send(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get(&key).copied() else {
            return false;
        };
        let now = self.context.now;
        let Some(open) = self.requests.get(key.request) else {
            return false;
        };
        let idempotency = self.settings.idempotency(open.request_class);
        let request_allows = open.client.is_some() && may_repeat(open, idempotency, now);
        request_allows
            && now < attempt.deadline
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
        let decided_at = attempt.decided_at;
        let Some(open) = self.requests.get(key.request) else {
            return;
        };
        open.unproven_execution.get_or_insert(UnprovenExecution {
            attempt: key.number,
            decided_at,
        });
        let bytes = open.head.message(time_left, &open.body);
        let bytes_handled = self.nodes.mark_busy(conn, key);
        self.context.outputs.push(Output::Send {
            conn,
            bytes,
            bytes_handled,
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

/// Whether the request may be sent to a node although an earlier attempt may have run. Prevents a retry if the
/// idempotency window has expired during the wait for a connection: the node would no longer recognise the key. This
/// can happen only if the window is about as short as that wait.
fn may_repeat(open: &OpenRequest, idempotency: Idempotency, now: Instant) -> bool {
    match (idempotency, open.unproven_execution) {
        (_, None) | (Idempotency::Idempotent, _) => true,
        (Idempotency::WithKey { window, .. }, Some(first)) => {
            now + MAX_SEND_DELAY - first.decided_at < window
        }
        (Idempotency::NonIdempotent, Some(_)) => false,
    }
}
