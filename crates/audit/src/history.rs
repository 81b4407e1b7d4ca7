//! The content of a recording, sorted by kind: requests with their answers and attempts, endpoint lists, events of
//! processes, and what hosts logged about the fleet. Times are microseconds since the recording began; lines are
//! counted from 0. The rules are judged elsewhere, in `rules`.

mod lists;
mod observations;
mod reader;
mod requests;
mod run_time;
mod unread;

pub use observations::{
    AnswerSeen, AttemptAnswerSeen, AttemptSeen, BallotSeen, ConnectionSeen, EndpointReport,
    FrameSeen, GrantSeen, ListedNode, ProcessEventSeen, RequestSeen, RevisionSeen, SharesSeen,
    Span, StageSeen, WaitSeen,
};
pub(crate) use unread::UnreadBytes;

use gullsail_configuration::Deployment;
use gullsail_protocol::record::ProcessEvent;
use std::collections::BTreeMap;

/// All observations that the rules are judged by. Each field is one kind of observation, and only the reader fills
/// it. The struct has more than twelve fields because most rules read several kinds.
#[derive(Debug, Default)]
pub struct History {
    /// The names of the hosts of all configurations; the index is the host's number.
    hosts: Vec<String>,
    /// The number of hosts in the first configuration.
    pub first_hosts: usize,
    /// Requests, in the order in which they reached their hosts.
    pub requests: Vec<RequestSeen>,
    /// Attempts, in the order in which they reached their nodes.
    pub attempts: Vec<AttemptSeen>,
    /// The reports on each node that each host received, in order of time.
    pub endpoint_reports: BTreeMap<ListedNode, Vec<EndpointReport>>,
    /// Starts, ends and pauses of each process by its name, in order of time.
    pub process_events: BTreeMap<String, Vec<ProcessEventSeen>>,
    /// Configurations that hosts were asked to load, by revision.
    pub configurations: BTreeMap<u64, Deployment>,
    /// For each host, the revisions that it was asked to load and those that it reported to be in use.
    pub revisions: BTreeMap<String, Vec<RevisionSeen>>,
    /// Attempts and their answers on the wire, in the order in which they reached their receivers.
    pub frames: Vec<FrameSeen>,
    /// Connections to processes, in the order in which they were established.
    pub connections: Vec<ConnectionSeen>,
    /// For each cross-zone budget, the bytes beyond it that all hosts reported when they ended.
    pub reported_overruns: BTreeMap<String, u64>,
    /// For each host, the budget shares that it logged, in order of time.
    pub shares: BTreeMap<String, Vec<SharesSeen>>,
    /// Stages of maintenance orders that hosts logged, in order of time.
    pub stages: Vec<StageSeen>,
    /// Coordinators' grants, in the order in which they were sent.
    pub grants: Vec<GrantSeen>,
    /// For each process, how long it waited for a processor, in order of time.
    pub waits: BTreeMap<String, Vec<WaitSeen>>,
    /// Byte counts of client connections, sampled while a proxy had not read all that the kernel had received.
    pub(crate) unread: UnreadBytes,
    /// The latest time at which an entry happened or its frame was sent on.
    pub end: i64,
}

impl History {
    /// The starts, ends and pauses of a process, in order of time; empty if there were none.
    pub fn events_of(&self, process: &str) -> &[ProcessEventSeen] {
        self.process_events
            .get(process)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// The span from the last start of a process at or before `at` to its first end after `at`.
    pub fn incarnation(&self, process: &str, at: i64) -> Span {
        let events = self.events_of(process).iter();
        let is_start =
            |seen: &&ProcessEventSeen| matches!(seen.event, ProcessEvent::Started { .. });
        let started = events
            .clone()
            .filter(is_start)
            .filter(|seen| seen.at <= at)
            .map(|seen| seen.at)
            .max();
        let ended = events
            .filter(|seen| seen.event.is_end() && seen.at > at)
            .map(|seen| seen.at)
            .min();
        Span {
            from: started.unwrap_or(i64::MIN),
            to: ended.unwrap_or(i64::MAX),
        }
    }

    /// The spans in which the script had paused a process.
    pub fn pauses(&self, process: &str) -> Vec<Span> {
        let events = self.events_of(process);
        let paused = events
            .iter()
            .enumerate()
            .filter(|(_, seen)| seen.event == ProcessEvent::Paused);
        let until = |place: usize| events.get(place + 1).map_or(i64::MAX, |next| next.at);
        paused
            .map(|(place, seen)| Span {
                from: seen.at,
                to: until(place),
            })
            .collect()
    }

    /// The names of the hosts of all configurations; the index is the host's number.
    pub fn hosts(&self) -> &[String] {
        &self.hosts
    }

    /// The attempts of a request, in the order in which they reached their nodes.
    pub fn attempts_of<'a>(
        &'a self,
        request: &'a RequestSeen,
    ) -> impl Iterator<Item = &'a AttemptSeen> {
        request.attempts.iter().map(|place| &self.attempts[*place])
    }

    /// The lines of a request, its attempts and all answers, in ascending order.
    pub fn lines_of(&self, request: &RequestSeen) -> Vec<usize> {
        let mut lines = vec![request.line];
        lines.extend(self.attempts_of(request).flat_map(AttemptSeen::lines));
        lines.extend(request.answers.iter().map(|answer| answer.line));
        lines.sort_unstable();
        lines
    }
}
