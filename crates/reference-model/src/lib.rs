//! A plain model of rules 1 to 7, for tests. It is written to be compared with the wording of the rules, not for speed:
//! it keeps no sums and no caches, and reads the history from the start to decide each question. It shares only the types
//! of `scheduler-api` with the scheduler, `config-transition` and `audit`, and no code.
//!
//! One [`Model`] watches all hosts. The driver of a test reports to it that a host has started, then each of the host's
//! steps ([`Model::step`]) with the events that the host saw in it, followed by its actions. [`Model::passed`] checks for
//! answers that are overdue. Events and actions that no rule is about, such as timers, need not be reported.

mod answers;
mod history;
mod rules;
mod volume_limit;

use gullsail_scheduler_api::{
    Action, EndpointState, Event, HostId, Instant, NodeId, RequestId, SchedulerConfig, Span,
};
use history::{HistoryEntry, Observation};
use std::fmt;

/// Parameters of the rules that are not part of the hosts' configuration.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// How long a host may still send attempts to a node after a list reported that it drains.
    pub drain_grace: Span,
    /// How far a volume's bucket may go below empty, in units.
    pub slack: f64,
    /// A node in slow start falls over when it is sent more than this multiple of its current capacity.
    pub multiple: f64,
    /// The capacity of a node after slow start, in units a second.
    pub can: f64,
    /// How long after a request's deadline its answer is still in time.
    pub answer_slack: Span,
}

/// A broken rule, and the lines of the history that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule's number, 1 to 7.
    pub rule: u8,
    /// A description of what broke the rule.
    pub what: String,
    /// The host that broke the rule.
    pub host: HostId,
    /// The request by which the rule was broken; `None`: no single request.
    pub request: Option<RequestId>,
    /// When the rule was broken.
    pub at: Instant,
    /// The lines of the history that show the breach, as text.
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

/// An overdue request that `Model::passed` has already examined.
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
    /// How often each rule could have been broken; rule 1 has index 0.
    pub tested: [u64; 7],
    reported_late: Vec<ReportedLate>,
}

impl Model {
    /// A model with an empty history.
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

    /// Records that a host started a new incarnation with this configuration and no other state.
    pub fn host_started(&mut self, now: Instant, host: HostId, config: &SchedulerConfig) {
        self.add(now, host, Observation::HostStarted(config.clone()));
    }

    /// Records that a host was killed. It no longer has to answer its open requests.
    pub fn killed(&mut self, now: Instant, host: HostId) {
        self.add(now, host, Observation::HostKilled);
    }

    /// Begins a step. A host sees all events of a step before it takes the step's first action.
    pub fn step(&mut self) {
        self.steps += 1;
    }

    /// Records an event that a host saw.
    pub fn saw(&mut self, now: Instant, host: HostId, event: &Event) {
        if !matches!(
            event,
            Event::Timer(_) | Event::PeerMessage { .. } | Event::EndpointListLost
        ) {
            self.add(now, host, Observation::Saw(event.clone()));
            self.count_seen(now, host, event);
        }
    }

    /// Checks an action of a host and records it.
    ///
    /// # Errors
    /// The action breaks a rule. It is recorded all the same.
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

    /// Since when a host has a list by which the node drains or is gone; `None`: it has none. Only a later list with the
    /// node ready after a newer start ends the drain.
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
