//! Handles the frames of hosts: counts answers, checks the bytes of reads and retries rejected requests.

use super::attempts::NOT_TAKEN_PAUSE;
use super::state::{Attempt, AttemptKey, Clients, WrittenObject};
use crate::{BASE_OBJECTS, base_content, content};
use bytes::Bytes;
use gullsail_configuration::{Deployment, number};
use gullsail_protocol::{Answer, Frame, Handle, Message, NotTaken, Outcome};
use std::time::Duration;
use tokio::time::Instant;

/// The shortest pause before a rejected request is sent again, even if the host's answer gives a shorter one.
const MIN_REJECTED_PAUSE_MICROS: i64 = 20_000;
/// For how many written objects of a volume the clients keep the seed of the bytes.
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

    /// Sends no new requests on this link; `close_finished_links` closes the link when no request is open on it.
    fn handle_go_away(&mut self, link: u64, host: usize) {
        self.links.by_host[host] = None;
        if let Some(leaving) = self.links.by_id.get_mut(&link) {
            leaving.going_away = true;
        }
    }

    /// Closes the links that hosts are leaving and on which no request is open.
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
                let micros = answer.retry_after_us.max(MIN_REJECTED_PAUSE_MICROS);
                self.retry(attempt, Duration::from_micros(micros as u64), true);
            }
            _ => self.tally(&attempt).failed += 1,
        }
    }

    /// Counts an answer without an open attempt as a second answer, unless the attempt had timed out.
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
        let mut content_matches = true;
        if write {
            if !in_order {
                self.remember_written(attempt, answer.handle.unwrap_or_default());
            }
        } else if let Some(handle) = attempt.submit.handle {
            content_matches = self.content_matches(attempt, handle, body);
        }
        let tally = self.tally(attempt);
        tally.wrong_bytes += u64::from(!content_matches);
        if now <= attempt.objective_deadline {
            tally.in_latency_objective += 1;
            tally.units_in_latency_objective += attempt.submit.units;
        } else {
            tally.late += 1;
        }
    }

    /// Keeps the seed of a written object's bytes, for checks of later reads.
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

    /// Returns whether a read returned the bytes that the object holds.
    fn content_matches(&self, attempt: &Attempt, handle: Handle, body: &Bytes) -> bool {
        let volume = volume_number(&self.deployment, &attempt.submit.volume);
        let written = self.written.get(&volume);
        let object =
            written.and_then(|objects| objects.iter().find(|object| object.handle == handle));
        match object {
            Some(object) => *body == content(object.seed, self.load.object_bytes),
            None if handle.object < BASE_OBJECTS => *body == base_content(handle),
            // The seed of an object written earlier is no longer kept: only the length can be checked.
            None => body.len() == self.load.object_bytes,
        }
    }
}

fn volume_number(deployment: &Deployment, volume: &str) -> u64 {
    deployment.volume(volume).map_or(0, |volume| volume.id.0)
}
