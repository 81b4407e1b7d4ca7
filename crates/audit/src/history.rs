//! A recording put in order: requests with their answers and attempts, lists with what they told, processes.

use gullsail_configuration::Deployment;
use gullsail_protocol::record::{Delivery, Entry, ProcessEvent, What};
use gullsail_protocol::{
    Answer, Attempt, AttemptResult, FleetWhat, Frame, ListedEndpoint, ListedState, Message, Submit,
};
use std::collections::BTreeMap;

#[derive(Debug, thiserror::Error)]
#[error("line {line} of the recording is no entry: {why}")]
pub struct Fault {
    pub line: usize,
    pub why: String,
}

/// One try of a client at one host, as it was seen on their connection.
#[derive(Clone, Debug)]
pub struct Taken {
    pub line: usize,
    /// When the host was given it.
    pub at: i64,
    pub host: String,
    pub link: u64,
    pub submit: Submit,
    pub answers: Vec<(usize, i64, Answer)>,
    pub not_taken: Option<i64>,
    pub withdrawn: Option<i64>,
    /// The connection's end, or the host's.
    pub link_closed: Option<i64>,
    /// Attempts, in the order they were sent.
    pub attempts: Vec<usize>,
}

#[derive(Clone, Debug)]
pub struct AttemptSeen {
    pub line: usize,
    /// When the host sent it, and when the node was given it.
    pub at: i64,
    pub out: i64,
    pub host: String,
    pub node: String,
    pub link: u64,
    pub attempt: Attempt,
    /// When the host was given an answer, and which; `ran` is the node's own word.
    pub answer: Option<(usize, i64, AttemptResult, bool)>,
    /// When its connection was over without an answer.
    pub broke: Option<i64>,
}

impl AttemptSeen {
    /// Known at its host, by then, not to have run.
    pub fn never_ran(&self, by: i64) -> bool {
        self.answer.is_some_and(|a| a.2 == AttemptResult::Rejected && a.1 <= by)
    }
}

/// What a list told a host of a node.
#[derive(Clone, Debug)]
pub struct Told {
    pub at: i64,
    pub line: usize,
    pub state: ListedState,
    pub incarnation: u64,
}

#[derive(Debug, Default)]
pub struct History {
    /// The document's, by their numbers; and how many of these the day began with.
    hosts: Vec<String>,
    pub began_with: usize,
    pub taken: Vec<Taken>,
    pub attempts: Vec<AttemptSeen>,
    /// By host and node, in order of time.
    pub told: BTreeMap<(String, String), Vec<Told>>,
    /// When each process started or ended.
    pub process_events: BTreeMap<String, Vec<(i64, ProcessEvent)>>,
    /// Documents that hosts were asked to serve by, by revision.
    pub documents: BTreeMap<u64, Deployment>,
    /// When each host was asked to serve by which, or said that it does.
    pub follows: BTreeMap<String, Vec<Follows>>,
    /// Frames of attempts and their answers: when they were given on, from, to, and their bytes.
    pub moved: Vec<(i64, String, String, usize)>,
    /// When somebody connected to a process, and to which, in order of time.
    pub came: Vec<(i64, String)>,
    /// Bytes past budgets, by budget, as hosts said at the end.
    pub past: BTreeMap<String, u64>,
    /// What hosts wrote down of what they may use, by host, in order of time.
    pub parts: BTreeMap<String, Vec<Parts>>,
    /// What hosts wrote down of machines' orders, in order of time: when, machine, number, stage, line.
    pub stages: Vec<(i64, String, u64, String, usize)>,
    /// Grants of coordinators, as they left their hosts, in order of time.
    pub grants: Vec<Grant>,
    pub end: i64,
}

/// What a host may use of budgets from then on, in millionths; its lease lasts so long, or it has none.
#[derive(Clone, Debug)]
pub struct Parts {
    pub at: i64,
    pub line: usize,
    pub lasts_us: i64,
    pub parts: BTreeMap<String, u32>,
}

#[derive(Clone, Debug)]
pub struct Grant {
    pub at: i64,
    pub line: usize,
    pub by: String,
    pub ballot: (u64, u32),
}

/// A host is asked to serve by a document, or does now.
#[derive(Clone, Copy, Debug)]
pub struct Follows {
    pub at: i64,
    pub revision: u64,
    pub serves: bool,
}

impl History {
    /// # Errors
    /// The first line that can't be read.
    pub fn read(d: &Deployment, recording: &str) -> Result<History, Fault> {
        let mut entries = Vec::new();
        for (line, text) in recording.lines().enumerate() {
            let entry: Entry =
                serde_json::from_str(text).map_err(|e| Fault { line: line + 1, why: e.to_string() })?;
            entries.push((line, entry));
        }
        // Links write as they pass on; what a host was given first comes first.
        entries.sort_by_key(|(line, e)| (e.out, *line));
        let hosts = d.hosts.iter().map(|p| p.name.clone()).collect();
        let mut h = History { hosts, began_with: d.hosts.len(), ..History::default() };
        let mut tries: BTreeMap<(u64, u64), usize> = BTreeMap::new();
        let mut attempts: BTreeMap<(u64, u64), usize> = BTreeMap::new();
        let mut lists: BTreeMap<u64, (String, Vec<ListedEndpoint>)> = BTreeMap::new();
        for (line, e) in entries {
            h.end = h.end.max(e.out);
            match e.what {
                What::BudgetOverrun { budget, bytes, .. } => *h.past.entry(budget).or_default() += bytes,
                What::Frame { message, delivery, body } if delivery != Delivery::Dropped => {
                    if matches!(message, Message::Attempt(_) | Message::AttemptAnswer(_)) {
                        let bytes = Frame { message: message.clone(), body: Default::default() }.len() + body;
                        h.moved.push((e.at, e.from.clone(), e.to.clone(), bytes));
                    }
                    h.frame(
                        line,
                        e.at,
                        e.out,
                        e.link,
                        e.from,
                        e.to,
                        message,
                        delivery,
                        &mut tries,
                        &mut attempts,
                        &mut lists,
                    );
                }
                What::Closed { .. } => h.closed(e.link, e.out),
                What::Document { revision, text, serves } => {
                    if let Some(text) = text {
                        let read = gullsail_configuration::parse("a document of the recording", &text);
                        let d = read.map_err(|e| Fault { line: line + 1, why: e.to_string() })?;
                        // New hosts stand at a document's end.
                        let new = d.hosts.iter().skip(h.hosts.len()).map(|p| p.name.clone());
                        h.hosts.extend(new.collect::<Vec<_>>());
                        h.documents.insert(revision, d);
                    }
                    let follows = Follows { at: e.at, revision, serves };
                    h.follows.entry(e.to).or_default().push(follows);
                }
                What::Parts { lasts_us, parts, .. } => {
                    let parts = Parts { at: e.at, line, lasts_us, parts };
                    h.parts.entry(e.to).or_default().push(parts);
                }
                What::Stage { server, number, stage } => h.stages.push((e.at, server, number, stage, line)),
                What::Came => h.came.push((e.at, e.to)),
                What::Process { event } => h.process_events.entry(e.to).or_default().push((e.at, event)),
                _ => {}
            }
        }
        h.join();
        h.grants.sort_by_key(|g| (g.at, g.line));
        Ok(h)
    }

    #[allow(clippy::too_many_arguments)]
    fn frame(
        &mut self,
        line: usize,
        at: i64,
        out: i64,
        link: u64,
        from: String,
        to: String,
        message: Message,
        delivery: Delivery,
        tries: &mut BTreeMap<(u64, u64), usize>,
        attempts: &mut BTreeMap<(u64, u64), usize>,
        lists: &mut BTreeMap<u64, (String, Vec<ListedEndpoint>)>,
    ) {
        match message {
            Message::Submit(submit) => {
                tries.insert((link, submit.id), self.taken.len());
                self.taken.push(Taken {
                    line,
                    at: out,
                    host: to,
                    link,
                    submit,
                    answers: Vec::new(),
                    not_taken: None,
                    withdrawn: None,
                    link_closed: None,
                    attempts: Vec::new(),
                });
            }
            Message::Answer(a) => {
                if let Some(t) = tries.get(&(link, a.id)) {
                    self.taken[*t].answers.push((line, at, a));
                }
            }
            Message::NotTaken(n) => {
                if let Some(t) = tries.get(&(link, n.id)) {
                    self.taken[*t].not_taken.get_or_insert(at);
                }
            }
            Message::Withdraw(w) => {
                if let Some(t) = tries.get(&(link, w.id)) {
                    self.taken[*t].withdrawn.get_or_insert(out);
                }
            }
            Message::Attempt(attempt) => {
                attempts.insert((link, attempt.attempt), self.attempts.len());
                let (host, node) = (from, to);
                self.attempts.push(AttemptSeen {
                    line,
                    at,
                    out,
                    host,
                    node,
                    link,
                    attempt,
                    answer: None,
                    broke: None,
                });
            }
            Message::AttemptAnswer(a) => {
                let Some(seen) = attempts.get(&(link, a.attempt)).and_then(|l| self.attempts.get_mut(*l))
                else {
                    return;
                };
                let result = AttemptResult::try_from(a.result).unwrap_or(AttemptResult::Unknown);
                match (&mut seen.answer, delivery) {
                    // The original of an answer that was turned into an error tells what the node did.
                    (answer @ None, Delivery::Altered) => *answer = Some((line, i64::MAX, result, a.ran)),
                    (Some(answer), _) if answer.1 == i64::MAX => (answer.1, answer.2) = (out, result),
                    (answer @ None, _) => *answer = Some((line, out, result, a.ran)),
                    _ => {}
                }
            }
            // Passed on by a third host it says nothing of when it left its own.
            Message::FleetMessage(n)
                if n.what() == FleetWhat::Grant && self.hosts.get(n.from as usize) == Some(&from) =>
            {
                let ballot = (n.round, n.by);
                self.grants.push(Grant { at, line, by: from, ballot });
            }
            Message::EndpointListUpdate(news) => {
                // The list speaks to the host that asked.
                let (host, known) = lists.entry(link).or_insert_with(|| (to, Vec::new()));
                if news.whole {
                    let gone = |k: &&ListedEndpoint| !news.entries.iter().any(|e| e.name == k.name);
                    let missing: Vec<_> = known.iter().filter(gone).cloned().collect();
                    let gone = ListedState::Gone as i32;
                    let missing = missing.into_iter().map(|e| ListedEndpoint { state: gone, ..e });
                    for e in missing.collect::<Vec<_>>() {
                        tell(&mut self.told, host, &e, out, line);
                    }
                }
                for e in &news.entries {
                    tell(&mut self.told, host, e, out, line);
                    known.retain(|k| k.name != e.name);
                    known.push(e.clone());
                }
            }
            _ => {}
        }
    }

    fn closed(&mut self, link: u64, at: i64) {
        for t in self.taken.iter_mut().filter(|t| t.link == link) {
            t.link_closed.get_or_insert(at);
        }
        for l in self.attempts.iter_mut().filter(|l| l.link == link && l.answer.is_none()) {
            l.broke.get_or_insert(at);
        }
    }

    /// Attempts belong to the try with their mark and number of repeat at their host; what a client does not mark
    /// can't be told apart.
    fn join(&mut self) {
        let mut by_mark: BTreeMap<(&str, &str, u32), usize> = BTreeMap::new();
        for (place, t) in self.taken.iter().enumerate() {
            by_mark.insert((&t.host, &t.submit.mark, t.submit.repeat), place);
        }
        let of = |l: &AttemptSeen| {
            by_mark.get(&(l.host.as_str(), l.attempt.mark.as_str(), l.attempt.repeat)).copied()
        };
        let found: Vec<_> = self.attempts.iter().map(of).collect();
        for (attempt, place) in found.into_iter().enumerate() {
            if let Some(place) = place {
                self.taken[place].attempts.push(attempt);
            }
        }
    }

    /// When the host's incarnation that held this point began and ended.
    pub fn incarnation(&self, name: &str, at: i64) -> (i64, i64) {
        let process_events = self.process_events.get(name).map(Vec::as_slice).unwrap_or_default();
        let began = process_events
            .iter()
            .filter(|l| matches!(l.1, ProcessEvent::Started { .. }) && l.0 <= at)
            .map(|l| l.0)
            .max();
        let ended = process_events.iter().filter(|l| l.1.is_end() && l.0 > at).map(|l| l.0).min();
        (began.unwrap_or(i64::MIN), ended.unwrap_or(i64::MAX))
    }

    /// From when to when a process stood still, as the script has it.
    pub fn pauses(&self, name: &str) -> Vec<(i64, i64)> {
        let process_events = self.process_events.get(name).map(Vec::as_slice).unwrap_or_default();
        let begun = process_events.iter().enumerate().filter(|(_, l)| l.1 == ProcessEvent::Paused);
        begun.map(|(place, l)| (l.0, process_events.get(place + 1).map_or(i64::MAX, |next| next.0))).collect()
    }

    /// All hosts that any of the documents names.
    pub fn hosts(&self) -> &[String] {
        &self.hosts
    }

    pub fn host_killed(&self, name: &str, after: i64, by: i64) -> bool {
        self.incarnation(name, after).1 <= by
    }
}

fn tell(
    told: &mut BTreeMap<(String, String), Vec<Told>>,
    host: &str,
    e: &ListedEndpoint,
    at: i64,
    line: usize,
) {
    let state = ListedState::try_from(e.state).unwrap_or(ListedState::Draining);
    let told = told.entry((host.to_string(), e.name.clone())).or_default();
    told.push(Told { at, line, state, incarnation: e.incarnation });
}
