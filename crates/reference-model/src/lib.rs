//! The seven rules as a model: slow, small, and read from whole histories. It shares nothing with the
//! decisions, with `config-transition` or with `audit` but the words of `scheduler-api`, keeps no sums and no
//! caches, and answers each question by reading what happened from the start. A reader checks each function
//! here beside the rule's own wording.
//!
//! One [`Model`] watches all hosts. A driver reports to it, in this order: that a host has started, each step
//! of it ([`Model::step`]), what it saw in that step, then what it did. [`Model::passed`] says what must have
//! happened by now. Events and actions that no rule speaks of, timers above all, need not be reported.

mod answers;
mod history;
mod rules;
mod volume_limit;

use gullsail_scheduler_api::{
    Action, EndpointState, Event, HostId, Instant, NodeId, RequestId, SchedulerConfig, Span,
};
use history::{HistoryEntry, Observation};
use std::fmt;

/// What the rules say beside the configuration that hosts are given.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// How long after it learnt of a drain a host may still send there.
    pub drain_grace: Span,
    /// How far a volume's bucket may go below empty, in units.
    pub slack: f64,
    /// So many times what a node that warms up can do, and it falls over.
    pub multiple: f64,
    /// What a node can do once it is warm, in units a second.
    pub can: f64,
    /// Answers may come so long after the client's time is up.
    pub answer_slack: Span,
}

/// A broken rule, and the lines of the history that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Its number, from 1.
    pub rule: u8,
    /// What happened.
    pub what: String,
    /// Where.
    pub host: HostId,
    /// Of which request.
    pub request: Option<RequestId>,
    /// When.
    pub at: Instant,
    /// The lines of the history.
    pub evidence: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rule = self.rule;
        let host = self.host.0;
        let at = self.at.millis();
        write!(
            formatter,
            "rule {rule}, host {host}, at {at} ms, {:?}: {}",
            self.request, self.what
        )?;
        self.evidence
            .iter()
            .try_for_each(|line| write!(formatter, "\n    {line}"))
    }
}

impl std::error::Error for Breach {}

/// A missing answer that was reported already.
#[derive(Clone, Copy, PartialEq)]
struct ReportedLate {
    host: HostId,
    request: RequestId,
    arrived: Instant,
}

/// Watches all hosts together.
pub struct Model {
    parameters: RuleParameters,
    history: Vec<HistoryEntry>,
    steps: u64,
    /// How often each rule could have been broken, the first rule at place 0.
    pub tested: [u64; 7],
    reported_late: Vec<ReportedLate>,
}

impl Model {
    /// A model that has seen nothing yet.
    pub fn new(parameters: RuleParameters) -> Model {
        Model {
            parameters,
            history: Vec::new(),
            steps: 0,
            tested: [0; 7],
            reported_late: Vec::new(),
        }
    }

    fn add(&mut self, at: Instant, host: HostId, what: Observation) {
        self.history.push(HistoryEntry {
            at,
            host,
            step: self.steps,
            what,
        });
    }

    /// A host begins an incarnation, knowing nothing but its configuration.
    pub fn host_started(&mut self, now: Instant, host: HostId, config: &SchedulerConfig) {
        self.add(now, host, Observation::HostStarted(config.clone()));
    }

    /// A host is killed: what it held is its clients' from now on.
    pub fn killed(&mut self, now: Instant, host: HostId) {
        self.add(now, host, Observation::HostKilled);
    }

    /// A host looks at what came: all that it sees next is known to it before it does anything.
    pub fn step(&mut self) {
        self.steps += 1;
    }

    /// A host sees an event.
    pub fn saw(&mut self, now: Instant, host: HostId, event: &Event) {
        if !matches!(
            event,
            Event::Timer(_) | Event::PeerMessage { .. } | Event::EndpointListLost
        ) {
            self.add(now, host, Observation::Saw(event.clone()));
            self.count_seen(now, host, event);
        }
    }

    /// A host carries out an action.
    ///
    /// # Errors
    /// The rule that this breaks. It counts as done all the same.
    pub fn did(&mut self, now: Instant, host: HostId, action: &Action) -> Result<(), Breach> {
        let found = match action {
            Action::StartAttempt { id, node, .. } => self.may_send(now, host, *id, *node),
            Action::Reject { id, .. } => self.may_answer(now, host, *id, true),
            Action::Fail { id } => self.may_answer(now, host, *id, false),
            _ => return Ok(()),
        };
        self.add(now, host, Observation::Did(action.clone()));
        found
    }

    /// Since when a host knows that a node drains or is gone; only a newer start, listed as ready, takes it
    /// back.
    fn drained_since(&self, host: HostId, node: NodeId) -> Option<Instant> {
        let mut since: Option<Instant> = None;
        let mut newest: Option<Instant> = None;
        for list in self.lists(host) {
            let mut listed = list
                .entries
                .iter()
                .filter(|entry| entry.node == node)
                .peekable();
            if list.whole && listed.peek().is_none() {
                since.get_or_insert(list.at);
            }
            for entry in listed {
                if entry.state != EndpointState::Ready {
                    since.get_or_insert(list.at);
                } else if entry.started > newest {
                    since = None;
                }
                newest = newest.max(entry.started);
            }
        }
        since
    }
}
