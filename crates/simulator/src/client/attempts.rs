//! Sends attempts, retries them as the idempotency of their request class allows, and expires them at their deadline.

use super::state::{Attempt, AttemptKey, Clients, DelayedAttempt};
use gullsail_protocol::Frame;
use gullsail_scheduler_api::{Idempotency, IdempotencyScope};
use rand::seq::SliceRandom;
use std::time::Duration;
use tokio::time::Instant;

/// The pause before a retry of an attempt that was not sent, or that the host refused.
pub(super) const NOT_TAKEN_PAUSE: Duration = Duration::from_millis(100);
/// The pause before a retry at another host, after the connection to the first one closed.
const HOST_GONE_PAUSE: Duration = Duration::from_millis(20);
/// How many expired attempts are remembered. An answer to an older one counts as a second answer.
const EXPIRED_REMEMBERED: usize = 100_000;

impl Clients {
    pub(super) fn send(&mut self, mut attempt: Attempt, now: Instant) {
        let link = self.links.by_host[attempt.host].and_then(|id| self.links.by_id.get(&id));
        attempt.submit.timeout_us = attempt.deadline.duration_since(now).as_micros() as i64;
        let frame = Frame::from(attempt.submit.clone()).with_body(attempt.body.clone());
        if link.is_some_and(|to| to.link.send(frame).is_ok()) {
            self.attempts.open.insert(attempt.key(), attempt);
        } else {
            // The attempt was not sent, so it cannot have run.
            self.retry(attempt, NOT_TAKEN_PAUSE, true);
        }
    }

    /// Schedules another attempt after `pause`, if attempts and time are left. `safe`: the last attempt did not run.
    /// Otherwise the idempotency of the request class decides, and the next attempt goes to another host.
    pub(super) fn retry(&mut self, mut attempt: Attempt, pause: Duration, safe: bool) {
        let at = Instant::now() + pause;
        let allowed = safe || self.may_run_again(&attempt, pause);
        let attempts_left = attempt.submit.repeat + 1 < self.load.max_attempts;
        if !allowed || !attempts_left || at >= attempt.deadline {
            self.tally(&attempt).unanswered += u64::from(!safe);
            return;
        }
        attempt.submit.repeat += 1;
        self.attempts.last_id += 1;
        attempt.submit.id = self.attempts.last_id;
        if !safe {
            // The connection to the host is lost.
            attempt.host = self.choose_other_host(&attempt);
        }
        self.tally(&attempt).repeats += 1;
        self.attempts.delayed.push(DelayedAttempt { at, attempt });
    }

    /// Returns whether a request that may have run may be sent to another host after the pause.
    fn may_run_again(&self, attempt: &Attempt, pause: Duration) -> bool {
        let request_class = &self.deployment.request_classes[attempt.request_class];
        match request_class.decisions.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, window } => {
                let window = Duration::from_micros(window.micros() as u64);
                attempt.began.elapsed() + pause < window
                    && self.all_nodes_recognise_repeat(scope, attempt)
            }
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns whether every node that could get the request recognises the repeat. A new object can go to any node.
    fn all_nodes_recognise_repeat(&self, scope: IdempotencyScope, attempt: &Attempt) -> bool {
        let Some(handle) = attempt.submit.handle else {
            return scope == IdempotencyScope::All;
        };
        let nodes = self.deployment.nodes.iter();
        let mut zones = nodes
            .filter(|node| node.shard.0 == handle.shard)
            .map(|node| node.place.zone);
        let first = zones.next();
        scope != IdempotencyScope::Zone || zones.all(|zone| Some(zone) == first)
    }

    /// Draws another host of the volume; returns the same one if the volume has no other.
    fn choose_other_host(&mut self, attempt: &Attempt) -> usize {
        let volume = self.deployment.volume(&attempt.submit.volume);
        let mut hosts = volume
            .map(|volume| volume.hosts.to_vec())
            .unwrap_or_default();
        hosts.shuffle(&mut self.rng);
        hosts
            .iter()
            .map(|host| host.0 as usize)
            .find(|host| *host != attempt.host)
            .unwrap_or(attempt.host)
    }

    /// Sends the retries that are due, and expires the attempts whose deadline has passed.
    pub(super) fn expire(&mut self, now: Instant) {
        let mut waiting = Vec::new();
        for delayed in std::mem::take(&mut self.attempts.delayed) {
            if delayed.at <= now {
                self.send(delayed.attempt, now);
            } else {
                waiting.push(delayed);
            }
        }
        self.attempts.delayed.append(&mut waiting);
        let open = self.attempts.open.values();
        let overdue: Vec<AttemptKey> = open
            .filter(|attempt| attempt.deadline <= now)
            .map(Attempt::key)
            .collect();
        for key in overdue {
            if let Some(attempt) = self.attempts.open.remove(&key) {
                self.tally(&attempt).unanswered += 1;
                self.attempts.expired.push_back(key);
            }
        }
        while self.attempts.expired.len() > EXPIRED_REMEMBERED {
            self.attempts.expired.pop_front();
        }
    }

    /// Removes a closed link and retries the attempts that were open on it. Returns the host of the link.
    pub(super) fn disconnected(&mut self, link: u64) -> Option<usize> {
        let host = self.links.by_id.remove(&link)?.host;
        self.links.by_host[host] = None;
        let first = AttemptKey { host, id: 0 };
        let last = AttemptKey { host, id: u64::MAX };
        let at_host = self.attempts.open.range(first..=last);
        let lost: Vec<AttemptKey> = at_host.map(|(key, _)| *key).collect();
        for key in lost {
            if let Some(attempt) = self.attempts.open.remove(&key) {
                self.retry(attempt, HOST_GONE_PAUSE, false);
            }
        }
        Some(host)
    }
}
