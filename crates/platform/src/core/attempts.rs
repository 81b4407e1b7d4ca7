//! Attempts, from the scheduler's action until their outcome is reported to it. An attempt takes an idle
//! connection to its node or waits for one; after a wait it is checked again whether the attempt may still be
//! sent.
//!
//! Called by the scheduler's actions, by timers and by `node_connections`. It never chooses a node.

use super::Core;
use super::attempt_key::AttemptKey;
use super::io::{ConnectionId, Output};
use super::requests::{FirstExecution, OpenRequest};
use super::timer_event::TimerEvent;
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, Event, Idempotency, Instant, NodeId, RequestId, Span,
};

/// From the order to write a message until the node has its first byte, at most, on a connection that works.
const MAX_SEND_DELAY: Span = Span::from_micros(10_000);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptProgress {
    WaitingForConnection,
    /// Its message is being written.
    Writing(ConnectionId),
    /// The last byte was handed to the operating system at this time.
    Written {
        conn: ConnectionId,
        at: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) decided_at: Instant,
    pub(super) deadline: Instant,
    pub(super) progress: AttemptProgress,
    /// The node's start time when the attempt was decided.
    node_started: Option<Instant>,
}

impl Core {
    pub(super) fn start_attempt(&mut self, id: RequestId, node: NodeId, time_out: Option<Span>) {
        let now = self.now;
        let Some(open) = self.requests.get(id) else {
            // Its client disconnected in the batch in which it was decided; the scheduler waits for an
            // outcome all the same.
            return self.report_not_sent(id, node);
        };
        let time_left = open.deadline - now;
        let timeout = time_out.map_or(time_left, |t| t.min(time_left));
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
        // Other events of the batch in which it was decided may speak against it.
        if !self.may_still_send(key) {
            return self.end_attempt(key, AttemptOutcome::NotSent, None);
        }
        self.timers
            .set(now + timeout, TimerEvent::AttemptTimeout(key));
        if let Some(conn) = self.take_idle_connection(node) {
            self.send_attempt(key, conn);
        } else {
            self.wait_for_connection(key, node);
        }
    }

    /// May the attempt be sent now? Since it was decided its node may have begun to drain or been restarted,
    /// the request may have been answered, or its time may be over.
    pub(super) fn may_still_send(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get(&key).copied() else {
            return false;
        };
        let now = self.now;
        let Some(open) = self.requests.get(key.request) else {
            return false;
        };
        let idempotency = self.config.request_classes[open.request_class.0].idempotency;
        let wanted = open.client.is_some() && may_repeat(open, idempotency, now);
        wanted
            && now < attempt.deadline
            && self.nodes.is_ready(attempt.node)
            && self.nodes.started(attempt.node) == attempt.node_started
    }

    /// Writes it to a connection that is established and free.
    pub(super) fn send_attempt(&mut self, key: AttemptKey, conn: ConnectionId) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.progress = AttemptProgress::Writing(conn);
        let time_left = attempt.deadline - now;
        let decided_at = attempt.decided_at;
        let Some(open) = self.requests.get(key.request) else {
            return;
        };
        open.first_execution.get_or_insert(FirstExecution {
            attempt: key.number,
            decided_at,
        });
        let bytes = open.head.message(time_left, &open.body);
        let seen = self.nodes.mark_busy(conn, key);
        self.outputs.push(Output::Send { conn, bytes, seen });
    }

    pub(super) fn attempt_timed_out(&mut self, key: AttemptKey) {
        match self.attempts.get(&key).map(|attempt| attempt.progress) {
            Some(AttemptProgress::WaitingForConnection) => self.connection_wait_timed_out(key),
            // The connection is closed first: no second attempt may be in flight beside this one. What was
            // handed to the connection's task may have run until the task says otherwise, since its report
            // may be on the way.
            Some(AttemptProgress::Writing(conn) | AttemptProgress::Written { conn, .. }) => {
                self.close_node_connection(conn);
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

    /// For a request that is no longer in the table. It was the first attempt: a request with one in flight
    /// is kept.
    fn report_not_sent(&mut self, id: RequestId, node: NodeId) {
        self.metrics.count_outcome(AttemptOutcome::NotSent);
        self.events.push(Event::AttemptEnded(AttemptEnd {
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

    /// Reports the outcome to the scheduler.
    pub(super) fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: AttemptOutcome,
        used: Option<f64>,
    ) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        self.metrics.count_outcome(outcome);
        let finished = self.requests.attempt_ended(key, outcome);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id: key.request,
            attempt: key.number,
            node: attempt.node,
            outcome,
            latency: self.now - attempt.decided_at,
            finished,
            used,
            zone: self.nodes.zone(attempt.node),
            bytes: 0.0,
        }));
    }
}

/// Guards against a repetition that begins, after its wait for a connection, when nobody remembers any more
/// that the first attempt may have run. That matters only where the idempotency window is about as short as
/// that wait.
fn may_repeat(open: &OpenRequest, idempotency: Idempotency, now: Instant) -> bool {
    match (idempotency, open.first_execution) {
        (_, None) | (Idempotency::Idempotent, _) => true,
        (Idempotency::WithKey { window, .. }, Some(first)) => {
            now + MAX_SEND_DELAY - first.decided_at < window
        }
        (Idempotency::NonIdempotent, Some(_)) => false,
    }
}
