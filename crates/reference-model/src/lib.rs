//! The seven rules as a model: slow, small, and read from whole histories. It shares nothing with the decisions, with
//! `limits` or with `audit` but the words of `interface`, keeps no sums and no caches, and answers each question by
//! reading what happened from the start. A reader checks each function here beside the rule's own wording.
//!
//! One [`Model`] watches all hosts. A driver tells it, in this order: that a host was born, each step of it
//! ([`Model::step`]), what it saw in that step, then what it did. [`Model::passed`] says what must have happened by now.
//! Events and actions that no rule speaks of, timers above all, need not be told.

mod rules;

use gullsail_scheduler_api::*;
use std::fmt;

/// What the rules state beside the facts that hosts are given.
#[derive(Clone, Debug)]
pub struct Stated {
    /// How long after it was told of a drain a host may still send there.
    pub drain_grace: Span,
    /// How far a volume's store may go below empty, in units.
    pub slack: f64,
    /// So many times what a cold node can do, and it falls over.
    pub multiple: f64,
    /// What a node can do once it is warm, in units a second.
    pub can: f64,
    /// Answers may come so long after the client's time is up.
    pub answer_slack: Span,
}

/// A broken rule, and the lines of the history that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub what: String,
    pub host: HostId,
    pub request: Option<RequestId>,
    pub at: Instant,
    pub rests_on: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rule, host, at) = (self.rule, self.host.0, self.at.millis());
        write!(f, "rule {rule}, host {host}, at {at} ms, {:?}: {}", self.request, self.what)?;
        self.rests_on.iter().try_for_each(|line| write!(f, "\n    {line}"))
    }
}

impl std::error::Error for Breach {}

#[derive(Clone, Debug)]
enum What {
    Born(SchedulerConfig),
    Killed,
    Saw(Event),
    Did(Action),
}

#[derive(Clone, Debug)]
struct Entry {
    at: Instant,
    host: HostId,
    /// Steps are numbered over all hosts.
    step: u64,
    what: What,
}

/// A attempt as the history has it.
#[derive(Clone, Debug)]
struct AttemptSeen {
    at: Instant,
    node: NodeId,
    ended: Option<(Instant, AttemptOutcome)>,
}

/// One request of one incarnation of a host, read from the history.
#[derive(Clone, Debug)]
struct Story {
    arrived: Instant,
    t: Request,
    attempts: Vec<AttemptSeen>,
    /// When, in which step, and whether by an answer of the host's own.
    ended: Option<(Instant, u64, bool)>,
}

impl Story {
    fn deadline(&self) -> Instant {
        self.arrived + self.t.timeout
    }

    /// The first attempt that may have run: it is out, or its end does not say that it never ran.
    fn may_have_run(&self) -> Option<&AttemptSeen> {
        self.attempts.iter().find(|l| l.ended.is_none_or(|(_, outcome)| !outcome.never_ran()))
    }
}

/// Watches all hosts together.
pub struct Model {
    stated: Stated,
    history: Vec<Entry>,
    steps: u64,
    /// How often each rule could have been broken, the first rule at place 0.
    pub tested: [u64; 7],
    /// What `passed` reported already.
    late: Vec<(HostId, RequestId, Instant)>,
}

impl Model {
    pub fn new(stated: Stated) -> Model {
        Model { stated, history: Vec::new(), steps: 0, tested: [0; 7], late: Vec::new() }
    }

    fn add(&mut self, at: Instant, host: HostId, what: What) {
        self.history.push(Entry { at, host, step: self.steps, what });
    }

    /// A host begins an incarnation, knowing nothing; `config` are what it is given.
    pub fn born(&mut self, now: Instant, host: HostId, config: &SchedulerConfig) {
        self.add(now, host, What::Born(config.clone()));
    }

    /// What it held is its clients' from now on.
    pub fn killed(&mut self, now: Instant, host: HostId) {
        self.add(now, host, What::Killed);
    }

    /// A host looks at what came: all that it sees next is known to it before it does anything.
    pub fn step(&mut self) {
        self.steps += 1;
    }

    pub fn saw(&mut self, now: Instant, host: HostId, event: &Event) {
        if !matches!(event, Event::Timer(_) | Event::PeerMessage { .. } | Event::EndpointListLost) {
            self.add(now, host, What::Saw(event.clone()));
            self.count_seen(now, host, event);
        }
    }

    /// # Errors
    /// The rule that this breaks. It counts as done all the same.
    pub fn did(&mut self, now: Instant, host: HostId, action: &Action) -> Result<(), Breach> {
        let found = match action {
            Action::StartAttempt { id, node, .. } => self.may_send(now, host, *id, *node),
            Action::Reject { id, .. } => self.may_answer(now, host, *id, true),
            Action::Fail { id } => self.may_answer(now, host, *id, false),
            _ => return Ok(()),
        };
        self.add(now, host, What::Did(action.clone()));
        found
    }

    /// What an incarnation of a host saw and did, from its birth on; nothing while it is down.
    fn incarnation(&self, host: HostId) -> impl Iterator<Item = &Entry> {
        let born = |e: &&Entry| e.host == host && matches!(e.what, What::Born(_) | What::Killed);
        let start = self.history.iter().rposition(|e| born(&e)).unwrap_or(self.history.len());
        let up = self.history.get(start).is_some_and(|e| matches!(e.what, What::Born(_)));
        self.history[start..].iter().filter(move |e| up && e.host == host)
    }

    fn config(&self, host: HostId) -> Option<&SchedulerConfig> {
        self.incarnation(host).find_map(|e| if let What::Born(f) = &e.what { Some(f) } else { None })
    }

    /// Hosts that are up, in order of their last births.
    fn up(&self) -> Vec<HostId> {
        let mut up = Vec::new();
        for e in &self.history {
            match e.what {
                What::Born(_) => {
                    up.retain(|h| *h != e.host);
                    up.push(e.host);
                }
                What::Killed => up.retain(|h| *h != e.host),
                _ => {}
            }
        }
        up
    }

    fn story(&self, host: HostId, id: RequestId) -> Option<Story> {
        let mut story: Option<Story> = None;
        for e in self.incarnation(host) {
            match (&e.what, &mut story) {
                (What::Saw(Event::RequestArrived(t)), _) if t.id == id => {
                    story = Some(Story { arrived: e.at, t: t.clone(), attempts: Vec::new(), ended: None });
                }
                (What::Did(Action::StartAttempt { id: of, node, .. }), Some(s)) if *of == id => {
                    s.attempts.push(AttemptSeen { at: e.at, node: *node, ended: None });
                }
                (What::Saw(Event::AttemptEnded(end)), Some(s)) if end.id == id => {
                    if let Some(attempt) = s.attempts.get_mut(end.attempt as usize) {
                        attempt.ended.get_or_insert((e.at, end.outcome));
                    }
                    if end.finished {
                        s.ended.get_or_insert((e.at, e.step, false));
                    }
                }
                (What::Saw(Event::ClientDisconnected(of)), Some(s)) if *of == id => {
                    s.ended.get_or_insert((e.at, e.step, false));
                }
                // From its first bytes on it is the client's own.
                (What::Saw(Event::ResponseStarted { id: of, .. }), Some(s)) if *of == id => {
                    s.ended.get_or_insert((e.at, e.step, false));
                }
                (What::Did(Action::Reject { id: of, .. } | Action::Fail { id: of }), Some(s))
                    if *of == id =>
                {
                    s.ended.get_or_insert((e.at, e.step, true));
                }
                _ => {}
            }
        }
        story
    }

    /// The requests of a host's incarnation in the order it accepted them.
    fn accepted(&self, host: HostId) -> impl Iterator<Item = (Instant, &Request)> {
        self.incarnation(host).filter_map(|e| match &e.what {
            What::Saw(Event::RequestArrived(t)) => Some((e.at, t)),
            _ => None,
        })
    }

    /// Where a host was last told that a node is.
    fn place(&self, host: HostId, node: NodeId) -> Option<(ShardId, ZoneId)> {
        let told = self.incarnation(host).filter_map(|e| match &e.what {
            What::Saw(Event::EndpointList { entries, .. }) => entries.iter().rfind(|n| n.node == node),
            _ => None,
        });
        told.last().map(|n| (n.shard, n.zone))
    }

    /// The lines of the history that name a request, or a node's standing.
    fn lines(&self, host: HostId, about: impl Fn(&What) -> bool) -> Vec<String> {
        let lines = self.incarnation(host).filter(|e| about(&e.what));
        let say = |e: &Entry| format!("{:.3} ms, step {}: {:?}", e.at.millis(), e.step, e.what);
        let mut lines: Vec<String> = lines.map(say).map(|l| l.chars().take(240).collect()).collect();
        if lines.len() > 12 {
            lines.drain(..lines.len() - 12);
        }
        lines
    }

    fn breach(&self, rule: u8, at: Instant, host: HostId, id: RequestId, what: String) -> Breach {
        let about = |w: &What| match w {
            What::Saw(Event::RequestArrived(t)) => t.id == id,
            What::Saw(Event::AttemptEnded(e)) => e.id == id,
            What::Saw(Event::ClientDisconnected(of)) => *of == id,
            What::Did(
                Action::StartAttempt { id: of, .. } | Action::Reject { id: of, .. } | Action::Fail { id: of },
            ) => *of == id,
            _ => false,
        };
        Breach { rule, what, host, request: Some(id), at, rests_on: self.lines(host, about) }
    }
}
