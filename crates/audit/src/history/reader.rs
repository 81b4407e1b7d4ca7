//! Reads a recording into a [`History`], entry by entry in order of time.

use super::lists::List;
use super::requests::{ForwardedFrame, RequestIndex, close_link};
use super::{
    AttemptSeen, BallotSeen, ConnectionSeen, FrameSeen, GrantSeen, History, ProcessEventSeen,
    RevisionSeen, SharesSeen, StageSeen, WaitSeen,
};
use crate::error::RecordingError;
use gullsail_configuration::Deployment;
use gullsail_protocol::record::{Delivery, Entry, What};
use gullsail_protocol::{EndpointListUpdate, FleetMessage, FleetMessageKind, Frame, Message};
use std::collections::BTreeMap;

impl History {
    /// Reads a complete recording. `deployment` is the configuration at the start of the run.
    ///
    /// # Errors
    /// A line is not a valid entry, or a configuration cannot be parsed.
    pub fn read(deployment: &Deployment, recording: &str) -> Result<History, RecordingError> {
        let mut entries = Vec::new();
        for (line, text) in recording.lines().enumerate() {
            let entry: Entry =
                serde_json::from_str(text).map_err(|error| error_at(line, &error))?;
            entries.push(Numbered { line, entry });
        }
        // Several proxies write the recording, so its lines are not sorted. Frames are read in the order in which
        // they were sent on to their receivers.
        entries.sort_by_key(|numbered| (numbered.entry.sent_at, numbered.line));
        let mut reader = Reader::new(deployment);
        for Numbered { line, entry } in entries {
            reader.entry(line, entry)?;
        }
        let mut history = reader.history;
        history.assign_attempts();
        history.grants.sort_by_key(|grant| (grant.at, grant.line));
        Ok(history)
    }

    /// Assigns each attempt to the last request at its host with the same idempotency key and number of repeat.
    /// Requests without an idempotency key cannot be told apart.
    fn assign_attempts(&mut self) {
        let mut by_key: BTreeMap<(&str, &str, u32), usize> = BTreeMap::new();
        for (place, request) in self.requests.iter().enumerate() {
            by_key.insert(
                (
                    &request.host,
                    &request.submit.idempotency_key,
                    request.submit.repeat,
                ),
                place,
            );
        }
        let request_of = |seen: &AttemptSeen| {
            let attempt = &seen.attempt;
            by_key
                .get(&(
                    seen.host.as_str(),
                    attempt.idempotency_key.as_str(),
                    attempt.repeat,
                ))
                .copied()
        };
        let requests: Vec<Option<usize>> = self.attempts.iter().map(request_of).collect();
        for (attempt, request) in requests.into_iter().enumerate() {
            if let Some(request) = request {
                self.requests[request].attempts.push(attempt);
            }
        }
    }
}

fn error_at(line: usize, error: &impl ToString) -> RecordingError {
    RecordingError {
        line: line + 1,
        why: error.to_string(),
    }
}

struct Numbered {
    line: usize,
    entry: Entry,
}

struct Reader {
    history: History,
    index: RequestIndex,
    /// The endpoint lists, by the number of their connection.
    lists: BTreeMap<u64, List>,
}

impl Reader {
    fn new(deployment: &Deployment) -> Reader {
        let hosts: Vec<String> = deployment
            .hosts
            .iter()
            .map(|host| host.name.clone())
            .collect();
        Reader {
            history: History {
                first_hosts: hosts.len(),
                hosts,
                ..History::default()
            },
            index: RequestIndex::default(),
            lists: BTreeMap::new(),
        }
    }

    fn entry(&mut self, line: usize, entry: Entry) -> Result<(), RecordingError> {
        self.history.end = self.history.end.max(entry.sent_at);
        match entry.what {
            What::Frame {
                message,
                delivery,
                body,
            } if delivery != Delivery::Dropped => {
                let passed = ForwardedFrame {
                    line,
                    at: entry.at,
                    forwarded_at: entry.sent_at,
                    link: entry.link,
                    from: entry.from,
                    to: entry.to,
                    delivery,
                    stream_end: entry.stream_end,
                    received: entry.received,
                };
                self.frame(passed, message, body);
            }
            What::Closed { .. } => close_link(&mut self.history, entry.link, entry.sent_at),
            What::Unread { received } => {
                self.history.unread.insert(entry.link, entry.at, received);
            }
            What::Document {
                revision,
                text,
                serves,
            } => {
                if let Some(text) = text {
                    self.configuration(line, revision, &text)?;
                }
                self.revision(entry.to, entry.at, revision, serves);
            }
            what => self.report(line, entry.at, entry.to, what),
        }
        Ok(())
    }

    /// Adds an entry that is no frame: what a host logged or reported, or an event of a process.
    fn report(&mut self, line: usize, at: i64, to: String, what: What) {
        let history = &mut self.history;
        match what {
            What::BudgetOverrun { budget, bytes, .. } => {
                *history.reported_overruns.entry(budget).or_default() += bytes;
            }
            What::Parts {
                lease_us, shares, ..
            } => {
                let seen = SharesSeen {
                    at,
                    line,
                    lasts_us: lease_us,
                    shares,
                };
                history.shares.entry(to).or_default().push(seen);
            }
            What::Stage {
                server,
                number,
                stage,
            } => history.stages.push(StageSeen {
                at,
                server,
                number,
                stage,
                line,
            }),
            What::Waited { since, waited_us } => {
                let waits = history.waits.entry(to).or_default();
                let waited = waited_us;
                waits.push(WaitSeen { since, at, waited });
            }
            What::Came => history.connections.push(ConnectionSeen { at, to }),
            What::Process { event } => {
                let events = history.process_events.entry(to);
                events.or_default().push(ProcessEventSeen { at, event });
            }
            _ => {}
        }
    }

    fn revision(&mut self, host: String, at: i64, revision: u64, serves: bool) {
        let seen = RevisionSeen {
            at,
            revision,
            serves,
        };
        let revisions = self.history.revisions.entry(host);
        revisions.or_default().push(seen);
    }

    fn configuration(
        &mut self,
        line: usize,
        revision: u64,
        text: &str,
    ) -> Result<(), RecordingError> {
        let parsed = gullsail_configuration::parse("a document of the recording", text);
        let deployment = parsed.map_err(|error| error_at(line, &error))?;
        // A new configuration keeps the order of the hosts and adds new ones at the end.
        let hosts = &mut self.history.hosts;
        let new = deployment
            .hosts
            .iter()
            .skip(hosts.len())
            .map(|host| host.name.clone());
        let new: Vec<String> = new.collect();
        hosts.extend(new);
        self.history.configurations.insert(revision, deployment);
        Ok(())
    }

    fn frame(&mut self, passed: ForwardedFrame, message: Message, body: usize) {
        if matches!(message, Message::Attempt(_) | Message::AttemptAnswer(_)) {
            let frame = Frame {
                message: message.clone(),
                body: Default::default(),
            };
            let bytes = frame.len() + body;
            let ForwardedFrame { at, from, to, .. } = &passed;
            self.history.frames.push(FrameSeen {
                at: *at,
                from: from.clone(),
                to: to.clone(),
                bytes,
            });
        }
        let history = &mut self.history;
        let index = &mut self.index;
        match message {
            Message::Submit(submit) => index.submit(history, passed, submit),
            Message::Answer(answer) => index.answer(history, &passed, answer),
            Message::NotTaken(not_taken) => {
                if let Some(request) = index.request(history, passed.link, not_taken.id) {
                    request.not_taken_at.get_or_insert(passed.at);
                }
            }
            Message::Withdraw(withdraw) => {
                if let Some(request) = index.request(history, passed.link, withdraw.id) {
                    request.withdrawn_at.get_or_insert(passed.forwarded_at);
                }
            }
            Message::Attempt(attempt) => index.attempt(history, passed, attempt),
            Message::AttemptAnswer(answer) => index.attempt_answer(history, &passed, &answer),
            Message::FleetMessage(message) => self.fleet_message(passed, &message),
            Message::EndpointListUpdate(update) => self.list_update(passed, &update),
            _ => {}
        }
    }

    /// Adds a grant that came from its coordinator. A grant that a third host forwarded does not show when its
    /// coordinator sent it.
    fn fleet_message(&mut self, passed: ForwardedFrame, message: &FleetMessage) {
        let ForwardedFrame { line, at, from, .. } = passed;
        let sender = self.history.hosts.get(message.from as usize);
        if message.kind() == FleetMessageKind::Grant && sender == Some(&from) {
            let ballot = BallotSeen {
                round: message.round,
                by: message.by,
            };
            self.history.grants.push(GrantSeen {
                at,
                line,
                by: from,
                ballot,
            });
        }
    }

    /// Adds the reports of an endpoint list's update for the host that receives it.
    fn list_update(&mut self, passed: ForwardedFrame, update: &EndpointListUpdate) {
        let ForwardedFrame {
            line,
            forwarded_at,
            link,
            to,
            ..
        } = passed;
        let list = self.lists.entry(link).or_insert_with(|| List::new(to));
        for report in list.update(update, forwarded_at, line) {
            self.history
                .endpoint_reports
                .entry(report.listed)
                .or_default()
                .push(report.report);
        }
    }
}
