//! One host under test: feeds events to the decisions and remembers what they asked for.

use gullsail::Brain;
use gullsail::interface::*;

pub fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1000)
}

pub fn at(ms: i64) -> Instant {
    Instant::from_micros(ms * 1000)
}

/// Two hosts; types 0 repeatable, 1 keyed by cell, 2 unrepeatable; plans 0 without a limit, 1 with one.
pub fn facts() -> Facts {
    let plan = |limit| Plan { limit, reserve: 10.0, usual: 10.0, weight: 1.0, price: 1.0 };
    Facts {
        hosts: 2,
        tick: ms(2),
        stream_types: vec![
            stream_type(Effect::Repeatable),
            stream_type(Effect::Keyed { group: Group::Cell, window: ms(200) }),
            stream_type(Effect::Unrepeatable),
        ],
        plans: vec![plan(None), plan(Some(Limit { rate: 40.0, burst: 40.0 }))],
        cold: ColdStart { units: 12.0, window: ms(1500), first_part: 0.2, ramp: ms(10_000) },
        most_legs: 3,
        most_units: 8.0,
        share_part: 0.3,
        spare_part: 0.1,
        longest_advice: Some(ms(1000)),
        peers_talk: true,
        ..Facts::default()
    }
}

pub fn stream_type(effect: Effect) -> StreamType {
    StreamType { effect, slo_time: ms(400), benefit: 2.0, late_part: 0.1, in_order: false }
}

pub fn node(id: u64, cell: i64) -> NodeEntry {
    NodeEntry { node: NodeId(id), cell: CellId(cell), zone: ZoneId(0), ..NodeEntry::default() }
}

/// The list when a node of this cell drains: what comes then waits for a successor.
pub fn leaving(cell: i64) -> Vec<NodeEntry> {
    vec![NodeEntry { standing: Standing::Draining, ..node(99, cell) }]
}

pub fn xfer(id: u64, stream_type: usize) -> Transfer {
    Transfer {
        id: TransferId(id),
        stream_type: StreamTypeId(stream_type),
        volume: VolumeId(7),
        units: 1.0,
        cell: Some(CellId(0)),
        ttl: ms(1000),
        volume_hosts: 1,
        ..Transfer::default()
    }
}

pub struct Host {
    brain: Brain,
    pub now: Instant,
    timers: Vec<(Instant, TimerId)>,
    pub asked: Vec<(Instant, Action)>,
}

impl Host {
    pub fn new(facts: Facts, nodes: Vec<NodeEntry>, now: Instant) -> Self {
        let brain = Brain::new(facts, 1, now);
        let mut host = Host { brain, now, timers: Vec::new(), asked: Vec::new() };
        host.tell(Event::List { extent: Extent::Remembered, entries: nodes });
        host
    }

    /// The length of one of the module's collections.
    pub fn held(&self, name: &str) -> usize {
        self.brain.lengths().into_iter().find(|l| l.0 == name).expect("a collection of this name").1
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let actions = self.brain.step(self.now, vec![event]);
        for a in &actions {
            match a {
                Action::Timer { id, at } => self.timers.push((*at, *id)),
                other => self.asked.push((self.now, other.clone())),
            }
        }
        actions
    }

    pub fn list(&mut self, extent: Extent, entries: Vec<NodeEntry>) {
        self.tell(Event::List { extent, entries });
    }

    /// Lets time pass; timers come when they are due, to the millisecond.
    pub fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + ms(1)).min(end);
            let now = self.now;
            let due: Vec<_> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            for id in due {
                self.tell(Event::Timer(id));
            }
        }
    }

    pub fn end(&mut self, id: u64, leg: u32, node: u64, ending: Ending, took: i64) {
        let finished = ending == Ending::Done;
        let (id, node) = (TransferId(id), NodeId(node));
        self.tell(Event::LegEnded(LegEnd {
            id,
            leg,
            node,
            ending,
            took: ms(took),
            finished,
            used: None,
            zone: ZoneId(0),
            bytes: 0.0,
        }));
    }

    fn sent(&self) -> impl Iterator<Item = (u64, u64)> {
        self.asked.iter().filter_map(|a| match a.1 {
            Action::Leg { id, node, .. } => Some((id.0, node.0)),
            _ => None,
        })
    }

    pub fn legs(&self, of: u64) -> Vec<u64> {
        self.sent().filter(|(id, _)| *id == of).map(|(_, node)| node).collect()
    }

    pub fn order(&self) -> Vec<u64> {
        self.sent().map(|(id, _)| id).collect()
    }

    pub fn answers(&self, of: u64) -> Vec<&'static str> {
        let answers = self.asked.iter().filter_map(|a| match a.1 {
            Action::Defer { id, .. } if id.0 == of => Some("deferred"),
            Action::Abandon { id } if id.0 == of => Some("abandoned"),
            _ => None,
        });
        answers.collect()
    }
}
