//! Attempts: from the module's word until their ending is told to it. A attempt takes an idle connection to its node or waits
//! for one, and whoever waited is asked again whether it still may go.

use super::*;

/// From the order to write a message until the node has its first byte, at the longest on a link that works.
const FLIGHT: Span = Span::from_micros(10_000);

/// Which request, and which of its attempts.
pub(super) type AttemptKey = (RequestId, u32);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum At {
    /// For a connection.
    Waiting,
    /// It is being written.
    Going(ConnId),
    /// Its last byte is with the operating system since then.
    Gone(ConnId, Instant),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) made: Instant,
    pub(super) ends: Instant,
    pub(super) at: At,
    /// The node's start as it was when the attempt was decided.
    started: Option<Instant>,
}

impl Core {
    pub(super) fn start_attempt(&mut self, id: RequestId, node: NodeId, time_out: Option<Span>) {
        let now = self.now;
        let Some(open) = self.requests.get(id) else {
            // Its client left in the batch that it was decided in: the module waits for the attempt's ending all the same.
            return self.unsent(id, node);
        };
        let left = open.deadline - now;
        let (number, lasts) = (open.attempts, time_out.map_or(left, |t| t.min(left)));
        (open.attempts, open.out) = (open.attempts + 1, open.out + 1);
        let key = (id, number);
        let started = self.links.started(node);
        let attempt = Attempt { node, made: now, ends: now + lasts, at: At::Waiting, started };
        self.attempts.insert(key, attempt);
        // What came in the batch that it was decided in may speak against it.
        if !self.may_still_go(key) {
            return self.attempt_over(key, AttemptOutcome::NotSent, None);
        }
        self.due.set(now + lasts, Due::AttemptEnds(key));
        if let Some(conn) = self.idle_link(node) {
            self.dispatch(key, conn);
        } else {
            self.wait_for_link(key, node);
        }
    }

    /// May it go out now? What was decided may be some time ago: its node drains or has started anew since, the
    /// request has its answer, or its time is over.
    pub(super) fn may_still_go(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get(&key).copied() else { return false };
        let now = self.now;
        let open = self.requests.get(key.0).is_some_and(|o| {
            // Guards against a repeat that begins, after the wait for its connection, when nobody knows any more that the
            // first may have run. It harms where the window is about as short as that wait.
            let repeats = |idempotency| match (idempotency, o.ran) {
                (_, None) | (Idempotency::Idempotent, _) => true,
                (Idempotency::WithKey { window, .. }, Some((_, since))) => now + FLIGHT - since < window,
                (Idempotency::NonIdempotent, Some(_)) => false,
            };
            o.client.is_some() && repeats(self.config.request_classes[o.request_class.0].idempotency)
        });
        open && now < attempt.ends
            && self.links.is_ready(attempt.node)
            && self.links.started(attempt.node) == attempt.started
    }

    /// Writes it to a connection that is up and free.
    pub(super) fn dispatch(&mut self, key: AttemptKey, conn: ConnId) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.at = At::Going(conn);
        let left = attempt.ends - now;
        let made = attempt.made;
        let Some(open) = self.requests.get(key.0) else { return };
        open.ran.get_or_insert((key.1, made));
        let bytes = open.parts.message(left, &open.body);
        let seen = self.links.busy(conn, key);
        self.outputs.push(Output::Send { conn, bytes, seen });
    }

    pub(super) fn attempt_ends(&mut self, key: AttemptKey) {
        match self.attempts.get(&key).map(|l| l.at) {
            Some(At::Waiting) => self.attempt_waited(key),
            // The connection goes first: no second attempt may be out beside this one. What was handed to its task may have
            // run until the task says otherwise: the word that all is written may be under way.
            Some(At::Going(conn) | At::Gone(conn, _)) => {
                self.close_link(conn);
                self.attempt_over(key, AttemptOutcome::TimedOut, None);
            }
            None => {}
        }
    }

    /// It waited for a connection as long as it may.
    pub(super) fn attempt_waited(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key).copied().filter(|l| l.at == At::Waiting) else { return };
        let dialled = self.links.stop_waiting(attempt.node, key);
        self.attempt_over(
            key,
            if dialled { AttemptOutcome::Unreachable } else { AttemptOutcome::NotSent },
            None,
        );
    }

    /// A attempt of a request that is no more: its first, since those of one with an attempt out are kept.
    fn unsent(&mut self, id: RequestId, node: NodeId) {
        self.counts.outcome(AttemptOutcome::NotSent);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            node,
            outcome: AttemptOutcome::NotSent,
            latency: Span::ZERO,
            finished: true,
            used: None,
            zone: self.links.zone(node),
            bytes: 0.0,
        }));
    }

    /// Tells the module.
    pub(super) fn attempt_over(&mut self, key: AttemptKey, outcome: AttemptOutcome, used: Option<f64>) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        self.counts.outcome(outcome);
        let finished = self.requests.attempt_over(key.0, key.1, outcome);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id: key.0,
            attempt: key.1,
            node: attempt.node,
            outcome,
            latency: self.now - attempt.made,
            finished,
            used,
            zone: self.links.zone(attempt.node),
            bytes: 0.0,
        }));
    }
}
