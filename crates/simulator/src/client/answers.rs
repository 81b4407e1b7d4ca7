//! Answers of the hosts: counted, checked byte by byte, and retried where a host rejected a request.

use super::attempts::NOT_TAKEN_PAUSE;
use super::state::{Attempt, AttemptKey, Clients, WrittenObject};
use crate::{BASE_OBJECTS, base_content, content};
use bytes::Bytes;
use gullsail_configuration::{Deployment, number};
use gullsail_protocol::{Answer, Frame, Handle, Message, NotTaken, Outcome};
use std::time::Duration;
use tokio::time::Instant;

/// The least pause before a rejected request is sent again, whatever the host says.
const LEAST_REJECTED_PAUSE_MICROS: i64 = 20_000;
/// How many written objects a volume remembers with the seed of their bytes.
const WRITTEN_REMEMBERED: usize = 16;

impl Clients {
    pub(super) fn handle_frame(&mut self, link: u64, frame: Frame) {
        let Some(host) = self.links.by_id.get(&link).map(|link| link.host) else {
            return;
        };
        match frame.message {
            Message::Answer(answer) => self.handle_answer(host, answer, frame.body),
            Message::NotTaken(not_taken) => self.handle_not_taken(host, &not_taken),
            Message::GoAway(_) => self.handle_go_away(link, host),
            _ => {}
        }
    }

    /// Nothing more is sent on this link; it is closed once nothing is open on it.
    fn handle_go_away(&mut self, link: u64, host: usize) {
        self.links.by_host[host] = None;
        if let Some(leaving) = self.links.by_id.get_mut(&link) {
            leaving.going_away = true;
        }
    }

    /// Closes links to hosts that go away, where nothing is open any more.
    pub(super) fn close_finished_links(&mut self) {
        for link in self.links.by_id.values_mut() {
            if link.going_away && !self.attempts.any_at(link.host) {
                link.link.finish();
            }
        }
    }

    fn handle_answer(&mut self, host: usize, answer: Answer, body: Bytes) {
        let now = Instant::now();
        let key = AttemptKey {
            host,
            id: answer.id,
        };
        let Some(attempt) = self.attempts.open.remove(&key) else {
            self.handle_unexpected_answer(key);
            return;
        };
        match Outcome::try_from(answer.outcome) {
            Ok(Outcome::Succeeded) => self.succeeded(&attempt, &answer, &body, now),
            Ok(Outcome::Rejected) => {
                self.tally(&attempt).rejected += 1;
                let micros = answer.retry_after_us.max(LEAST_REJECTED_PAUSE_MICROS);
                self.retry(attempt, Duration::from_micros(micros as u64), true);
            }
            _ => self.tally(&attempt).failed += 1,
        }
    }

    /// An answer to what is not open: a second one, unless the client had given up.
    fn handle_unexpected_answer(&mut self, key: AttemptKey) {
        if !self.attempts.expired.contains(&key)
            && let Some(tally) = self.tallies.values_mut().next()
        {
            tally.second_answers += 1;
        }
    }

    fn handle_not_taken(&mut self, host: usize, not_taken: &NotTaken) {
        let key = AttemptKey {
            host,
            id: not_taken.id,
        };
        if let Some(attempt) = self.attempts.open.remove(&key) {
            self.tally(&attempt).not_taken += 1;
            self.retry(attempt, NOT_TAKEN_PAUSE, true);
        }
    }

    fn succeeded(&mut self, attempt: &Attempt, answer: &Answer, body: &Bytes, now: Instant) {
        let request_class = &self.deployment.request_classes[attempt.request_class];
        let write = request_class.write;
        let in_order = request_class.decisions.in_order;
        let mut right = true;
        if write {
            if !in_order {
                self.remember_written(attempt, answer.handle.unwrap_or_default());
            }
        } else if let Some(handle) = attempt.submit.handle {
            right = self.is_content_right(attempt, handle, body);
        }
        let tally = self.tally(attempt);
        tally.wrong_bytes += u64::from(!right);
        if now <= attempt.objective_deadline {
            tally.in_latency_objective += 1;
            tally.units_in_latency_objective += attempt.submit.units;
        } else {
            tally.late += 1;
        }
    }

    fn remember_written(&mut self, attempt: &Attempt, handle: Handle) {
        let volume = volume_number(&self.deployment, &attempt.submit.volume);
        let written = self.written.entry(volume).or_default();
        written.push_back(WrittenObject {
            handle,
            seed: number(&attempt.submit.idempotency_key),
        });
        if written.len() > WRITTEN_REMEMBERED {
            written.pop_front();
        }
    }

    /// Whether a read returned the bytes that the object holds.
    fn is_content_right(&self, attempt: &Attempt, handle: Handle, body: &Bytes) -> bool {
        let volume = volume_number(&self.deployment, &attempt.submit.volume);
        let written = self.written.get(&volume);
        let object =
            written.and_then(|objects| objects.iter().find(|object| object.handle == handle));
        match object {
            Some(object) => *body == content(object.seed, self.load.bytes),
            None if handle.object < BASE_OBJECTS => *body == base_content(handle),
            // Written long ago: its seed is forgotten, its length is not.
            None => body.len() == self.load.bytes,
        }
    }
}

fn volume_number(deployment: &Deployment, volume: &str) -> u64 {
    deployment.volume(volume).map_or(0, |volume| volume.id.0)
}
