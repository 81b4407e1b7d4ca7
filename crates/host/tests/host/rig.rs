//! Drives one host's core without sockets. Addresses are names, and time passes only when a test advances it.

use bytes::Bytes;
use gullsail_configuration::{Deployment, parse};
use gullsail_host::core::config_change::ProposalOutcome;
use gullsail_host::core::maintenance::CommandOutcome;
use gullsail_host::core::{ConnectionId, Core, Input, Output};
use gullsail_protocol::{
    Attempt, AttemptAnswer, AttemptResult, Frame, Handle, Hello, Message, Outcome, Role, Submit,
};
use gullsail_scheduler_api::{HostId, Instant, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const DOCUMENT: &str = r#"
rules tick="20ms" order-settle="100ms" most-units=8 advice="1s"
cold units=6 window="1500ms" first-part=0.2 ramp="10s"
legs most=3
stream-type "read" effect="repeatable" slo="400ms" expiry="2s"
stream-type "write" effect="keyed" group="cell" window="5s" slo="400ms" expiry="2s" write=#true
stream-type "trip" effect="unrepeatable" slo="400ms" expiry="2s" write=#true
plan "free"
plan "held" limit="40units/s" burst=64 slack=0
host "h1" address="h1"
host "h2" address="h2"
node "n1" cell=1 address="n1"
node "n2" cell=2 address="n2"
list address="list"
volume "v" plan="free"
volume "w" plan="held"
volume "far" plan="free" { hosts "h2"; }
bounds open=50 unsent-bytes="4000B" client-stall="3s" connect="200ms" redial-first="20ms" redial-last="500ms"
"#;

/// Returns the test configuration with texts replaced.
pub fn text_of(change: &[(&str, &str)]) -> String {
    change
        .iter()
        .fold(DOCUMENT.to_string(), |text, (from, to)| {
            assert!(text.contains(from), "{from}");
            text.replace(from, to)
        })
}

pub fn document(change: &[(&str, &str)]) -> Arc<Deployment> {
    Arc::new(parse("rig.kdl", &text_of(change)).unwrap())
}

pub fn ms(ms: f64) -> Span {
    Span::from_millis(ms)
}

/// A frame that the host sent.
#[derive(Clone)]
pub struct SentFrame {
    pub at: Instant,
    pub link: ConnectionId,
    pub frame: Frame,
}

/// A connection that the host requested.
#[derive(Clone)]
pub struct ConnectRequest {
    pub at: Instant,
    pub link: ConnectionId,
    pub address: String,
}

/// An attempt that the host sent.
#[derive(Clone)]
pub struct SentAttempt {
    pub at: Instant,
    pub link: ConnectionId,
    pub attempt: Attempt,
}

/// One host's core and the outputs that it produced.
pub struct Rig {
    pub core: Core,
    /// The time by this host's clock.
    pub now: Instant,
    pub sent: Vec<SentFrame>,
    pub connects: Vec<ConnectRequest>,
    pub closed: Vec<ConnectionId>,
    pub reading: BTreeMap<ConnectionId, bool>,
    /// Connections whose other side reads nothing.
    pub unread: BTreeSet<ConnectionId>,
    pub finished: bool,
    /// Outcomes of proposals, with the id of the requester.
    pub proposals_decided: Vec<(u64, ProposalOutcome)>,
    /// Results of operator commands, with the id of the requester.
    pub commands_finished: Vec<(u64, CommandOutcome)>,
    /// Length of `sent` at the last call of [`Rig::new_attempts`].
    examined: usize,
}

impl Rig {
    pub fn new(deployment: &Arc<Deployment>, host: u32, now: Instant) -> Rig {
        let core = Core::new(
            deployment.clone(),
            HostId(host),
            1,
            100 + u64::from(host),
            now,
        );
        let mut rig = Rig {
            core,
            now,
            sent: Vec::new(),
            connects: Vec::new(),
            closed: Vec::new(),
            reading: BTreeMap::new(),
            unread: BTreeSet::new(),
            finished: false,
            proposals_decided: Vec::new(),
            commands_finished: Vec::new(),
            examined: 0,
        };
        rig.run_until_idle();
        rig
    }

    /// Advances the host until it sends nothing more. Frames are written at once, except on `unread` connections.
    pub fn run_until_idle(&mut self) {
        loop {
            self.core.advance(self.now);
            let outputs: Vec<_> = self.core.outputs().collect();
            let first_sent = self.sent.len();
            outputs.into_iter().for_each(|output| self.record(output));
            let written: Vec<_> = self.sent[first_sent..]
                .iter()
                .filter(|sent| !self.unread.contains(&sent.link))
                .map(|sent| Input::Written(sent.link, sent.frame.len()))
                .collect();
            if written.is_empty() {
                return;
            }
            for input in written {
                self.core.handle(self.now, input);
            }
        }
    }

    fn record(&mut self, output: Output) {
        let at = self.now;
        match output {
            Output::Send { link, frame, .. } => self.sent.push(SentFrame { at, link, frame }),
            Output::Connect { link, address } => {
                self.connects.push(ConnectRequest { at, link, address });
            }
            Output::Close { link } => self.closed.push(link),
            Output::Reading { link, on } => _ = self.reading.insert(link, on),
            Output::ProposalDecided { requester, outcome } => {
                self.proposals_decided.push((requester, outcome));
            }
            Output::CommandOutcome { requester, outcome } => {
                self.commands_finished.push((requester, outcome));
            }
            Output::StopListening => {}
            Output::Finished => self.finished = true,
        }
    }

    pub fn handle(&mut self, input: Input) {
        self.core.handle(self.now, input);
        self.run_until_idle();
    }

    pub fn frame(&mut self, link: ConnectionId, frame: impl Into<Frame>) {
        self.handle(Input::Frame(link, frame.into()));
    }

    /// Lets this span pass. Timers fire when they are due.
    pub fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(next) = self.core.next_wake_up().filter(|due| *due <= end) {
            self.now = self.now.max(next);
            self.run_until_idle();
        }
        self.now = end;
        self.run_until_idle();
    }

    pub fn client(&mut self) -> ConnectionId {
        let link = self.core.accept(self.now).unwrap();
        self.frame(
            link,
            Hello {
                role: Role::Client as i32,
                name: "c".into(),
                ..Hello::default()
            },
        );
        link
    }

    /// Returns the newest connection that the host requested to this address.
    pub fn connection_to(&self, address: &str) -> Option<ConnectionId> {
        self.connects
            .iter()
            .rev()
            .find(|request| request.address == address)
            .map(|request| request.link)
    }

    /// Establishes the connection to the endpoint list, which identifies itself.
    pub fn list_up(&mut self) -> ConnectionId {
        let list = self.connection_to("list").unwrap();
        self.handle(Input::Connected(list));
        let hello = Hello {
            role: Role::List as i32,
            name: "list".into(),
            ..Hello::default()
        };
        self.frame(list, hello);
        list
    }

    pub fn node_up(&mut self, name: &str, incarnation: u64, age: Span) -> ConnectionId {
        let shard_plus_one = name[1..].parse::<i64>().unwrap() + 1;
        self.node_identifies(name, incarnation, age, shard_plus_one)
    }

    /// Establishes the connection to a node, which identifies itself.
    pub fn node_identifies(
        &mut self,
        name: &str,
        incarnation: u64,
        age: Span,
        shard_plus_one: i64,
    ) -> ConnectionId {
        let link = self.connection_to(name).unwrap();
        self.handle(Input::Connected(link));
        let hello = Hello {
            role: Role::Node as i32,
            name: name.into(),
            incarnation,
            age_us: age.micros(),
            shard_plus_one,
        };
        self.frame(link, hello);
        link
    }

    /// Both nodes identify themselves. They have been running for long, so slow start is over.
    pub fn nodes_up(&mut self) -> (ConnectionId, ConnectionId) {
        (
            self.node_up("n1", 11, ms(1e7)),
            self.node_up("n2", 12, ms(1e7)),
        )
    }

    pub fn submit(&mut self, link: ConnectionId, id: u64, request_class: &str) {
        self.submit_to(link, id, request_class, "v", 1);
    }

    pub fn submit_to(
        &mut self,
        link: ConnectionId,
        id: u64,
        request_class: &str,
        volume: &str,
        shard: i64,
    ) {
        let handle = Some(Handle { shard, object: id });
        let submit = Submit {
            id,
            handle,
            idempotency_key: format!("m{id}"),
            ..self.valid_submit(request_class, volume, shard)
        };
        self.frame(link, submit);
    }

    /// Returns a valid request.
    pub fn valid_submit(&self, request_class: &str, volume: &str, shard: i64) -> Submit {
        Submit {
            request_class: request_class.into(),
            volume: volume.into(),
            units: 1.0,
            handle: Some(Handle { shard, object: 0 }),
            timeout_us: 1_500_000,
            ..Submit::default()
        }
    }

    pub fn frames_on(&self, link: ConnectionId) -> impl Iterator<Item = &Frame> {
        self.sent
            .iter()
            .filter(move |sent| sent.link == link)
            .map(|sent| &sent.frame)
    }

    pub fn attempts(&self, link: ConnectionId) -> Vec<Attempt> {
        let attempt = |frame: &Frame| {
            if let Message::Attempt(attempt) = &frame.message {
                Some(attempt.clone())
            } else {
                None
            }
        };
        self.frames_on(link).filter_map(attempt).collect()
    }

    /// Returns the attempts that were sent on any connection since the last call.
    pub fn new_attempts(&mut self) -> Vec<SentAttempt> {
        let new = self.sent[self.examined..]
            .iter()
            .filter_map(|sent| match &sent.frame.message {
                Message::Attempt(attempt) => Some(SentAttempt {
                    at: sent.at,
                    link: sent.link,
                    attempt: attempt.clone(),
                }),
                _ => None,
            });
        let new = new.collect();
        self.examined = self.sent.len();
        new
    }

    pub fn outcomes(&self, link: ConnectionId, id: u64) -> Vec<Outcome> {
        let outcome = |frame: &Frame| match &frame.message {
            Message::Answer(answer) if answer.id == id => Outcome::try_from(answer.outcome).ok(),
            _ => None,
        };
        self.frames_on(link).filter_map(outcome).collect()
    }

    pub fn refusals(&self, link: ConnectionId) -> Vec<String> {
        let reason = |frame: &Frame| match &frame.message {
            Message::NotTaken(refusal) => Some(refusal.reason.clone()),
            _ => None,
        };
        self.frames_on(link).filter_map(reason).collect()
    }

    pub fn answer(&mut self, link: ConnectionId, attempt: u64, result: AttemptResult) {
        self.answer_with(link, attempt, result, Bytes::new());
    }

    pub fn answer_with(
        &mut self,
        link: ConnectionId,
        attempt: u64,
        result: AttemptResult,
        body: Bytes,
    ) {
        let answer = AttemptAnswer {
            attempt,
            result: result as i32,
            ran: true,
            ..AttemptAnswer::default()
        };
        self.frame(link, Frame::from(answer).with_body(body));
    }
}
