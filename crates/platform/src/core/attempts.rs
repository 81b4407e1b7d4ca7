//! Attempts, from the scheduler's action until their outcome is reported to it. An attempt takes an idle
//! connection to its node or waits for one. After a wait the host checks again whether the attempt may still be
//! sent.
//!
//! Called by the scheduler's actions, by timers and by `node_connections`. Nothing here chooses a node.

use super::Core;
use super::attempt_key::AttemptKey;
use super::io::{ConnectionId, Output};
use super::requests::{OpenRequest, UnprovenExecution};
use super::timer_event::TimerEvent;
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, Event, Idempotency, Instant, NodeId, RequestId, Span,
};

/// Upper bound on the delay between the order to send a message and its first byte at the node, on a connection that
/// works. A retry must reach the node before it forgets the idempotency key.
const MAX_SEND_DELAY: Span = Span::from_micros(10_000);

/// How far an attempt has come; its end removes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptProgress {
    WaitingForConnection,
    /// Its message is being written.
    Writing(ConnectionId),
    /// The last byte was passed to the operating system at this time.
    Written {
        conn: ConnectionId,
        at: Instant,
    },
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) node: NodeId,
    /// When the scheduler decided on it.
    pub(super) decided_at: Instant,
    /// When it times out.
    pub(super) deadline: Instant,
    pub(super) progress: AttemptProgress,
    /// The node's start time when the attempt was decided.
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
            // The client disconnected in the batch in which the attempt was decided. The scheduler still expects
            // an outcome.
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
        // Later events of the batch in which the attempt was decided may forbid it.
        if !self.may_still_send(key) {
            return self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
        self.context
            .set_timer(timeout, TimerEvent::AttemptTimeout(key));
        self.send_or_wait(key, node);
    }

    /// Sends the attempt on an idle connection, or queues it for one.
    pub(super) fn send_or_wait(&mut self, key: AttemptKey, node: NodeId) {
        if let Some(conn) = self.nodes.take_idle(node, &mut self.context) {
            self.send_attempt(key, conn);
        } else if !self.nodes.queue_attempt(node, key, &mut self.context) {
            self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
    }

    /// Whether the attempt may be sent now. Since it was decided its node may have begun to drain or been
    /// restarted, the request may have been answered, or its time may be over.
    pub(super) fn may_still_send(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get(&key).copied() else {
            return false;
        };
        let now = self.context.now;
        let Some(open) = self.requests.get(key.request) else {
            return false;
        };
        let idempotency = self.settings.idempotency(open.request_class);
        let wanted = open.client.is_some() && may_repeat(open, idempotency, now);
        wanted
            && now < attempt.deadline
            && self.nodes.is_ready(attempt.node)
            && self.nodes.started(attempt.node) == attempt.node_started
    }

    /// Sends the attempt on a connection that is established and free.
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
            // The connection is closed first: no second attempt may be in flight beside this one. A message that
            // the connection's task was ordered to send may have run until the task reports that it did not;
            // that report may be on its way.
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

    /// For a request that is no longer in the table. The number is always 0: a request with an attempt in flight
    /// stays in the table.
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

    /// Reports the outcome to the scheduler. The latency counts from the decision, so it includes the wait for a
    /// connection.
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

/// Prevents a retry after the idempotency window has expired during the wait for a connection: the node would no
/// longer recognise the key. That matters only where the window is about as short as that wait.
fn may_repeat(open: &OpenRequest, idempotency: Idempotency, now: Instant) -> bool {
    match (idempotency, open.unproven_execution) {
        (_, None) | (Idempotency::Idempotent, _) => true,
        (Idempotency::WithKey { window, .. }, Some(first)) => {
            now + MAX_SEND_DELAY - first.decided_at < window
        }
        (Idempotency::NonIdempotent, Some(_)) => false,
    }
}
