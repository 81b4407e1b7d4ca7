//! Connections to nodes: one message at a time on each, kept while they are of use, the one used last taken first so
//! that the others age out. None is opened ahead. What a node says of itself beyond answers is read here too: a break
//! that was no restart.

use super::attempts::{At, AttemptKey};
use super::*;
use gullsail_http::{Decoder, Found, Message, Start};
use std::collections::VecDeque;
use tracing::debug;

/// An answer that comes so long after a break, on a connection that stood before it, was not under way then.
const AFTER_BREAK: Span = Span::from_micros(100_000);
/// No process ends and another takes its place in less; and no machine is gone, comes back and serves in less than
/// [`RETURN`]. So a break between two signs of incarnation that are that close was no restart.
const RESTART: Span = Span::from_micros(250_000);
const RETURN: Span = Span::from_micros(2_000_000);
/// What discovery has to tell is told by then.
const TOLD: Span = Span::from_micros(6_000_000);
/// Idle connections end at this part of the time after which nodes end them: what crosses that end is lost.
const MARGIN: f64 = 0.8;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Use {
    Dialling,
    Idle,
    Busy(AttemptKey),
}

#[derive(Debug)]
struct Link {
    node: NodeId,
    usage: Use,
    /// Since when it stands.
    opened: Instant,
    /// Since when it idles, if it does.
    idle: Instant,
    used: u64,
    /// Bytes that came, all of them handled: an order to send holds only while the connection's task has read no more.
    heard: u64,
    /// Something came on it before the message that it carries was written.
    spoilt: bool,
    /// Not to be used again: its node is elsewhere by now.
    stale: bool,
    decoder: Decoder,
}

#[derive(Debug)]
struct Node {
    entry: Endpoint,
    dial: String,
    /// The one used last at the end.
    idle: Vec<ConnId>,
    waiting: VecDeque<AttemptKey>,
    dialling: usize,
    /// When it last showed that it incarnations: a connection came up, or an answer came.
    alive: Option<Instant>,
    /// A connection broke then, with the last sign of incarnation before; nothing has proven yet that the process incarnations on.
    broke: Option<(Instant, Option<Instant>)>,
}

#[derive(Debug)]
pub(super) struct Links {
    nodes: BTreeMap<NodeId, Node>,
    all: BTreeMap<ConnId, Link>,
    most: usize,
}

impl Links {
    pub(super) fn new(most: usize) -> Links {
        Links { nodes: BTreeMap::new(), all: BTreeMap::new(), most }
    }
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }
    pub(super) fn nodes(&self) -> usize {
        self.nodes.len()
    }
    pub(super) fn started(&self, node: NodeId) -> Option<Instant> {
        self.nodes.get(&node)?.entry.started
    }
    /// As the list has it, and where to dial.
    pub(super) fn listed(&self, node: NodeId) -> Option<(Endpoint, String)> {
        self.nodes.get(&node).map(|n| (n.entry.clone(), n.dial.clone()))
    }
    pub(super) fn zone(&self, node: NodeId) -> ZoneId {
        self.nodes.get(&node).map_or(ZoneId::default(), |n| n.entry.zone)
    }
    pub(super) fn is_ready(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(|n| n.entry.state == EndpointState::Ready)
    }
    /// It carries an attempt from now on. Says how much came on it so far.
    pub(super) fn busy(&mut self, conn: ConnId, key: AttemptKey) -> u64 {
        let Some(l) = self.all.get_mut(&conn) else { return 0 };
        l.usage = Use::Busy(key);
        l.heard
    }
    /// Says whether a connection to the node was being made.
    pub(super) fn stop_waiting(&mut self, node: NodeId, key: AttemptKey) -> bool {
        let Some(n) = self.nodes.get_mut(&node) else { return false };
        n.waiting.retain(|w| *w != key);
        n.dialling > 0
    }
    /// All of them, by name.
    pub(super) fn known(&self) -> impl Iterator<Item = NodeId> {
        self.nodes.keys().copied()
    }

    /// Takes it out, wherever it stands.
    fn remove(&mut self, conn: ConnId) -> Option<Link> {
        let l = self.all.remove(&conn)?;
        if let Some(n) = self.nodes.get_mut(&l.node) {
            n.idle.retain(|c| *c != conn);
            n.dialling -= usize::from(l.usage == Use::Dialling);
        }
        Some(l)
    }

    fn idles_longest(&self) -> Option<ConnId> {
        let idle = self.all.iter().filter(|(_, l)| l.usage == Use::Idle);
        idle.min_by_key(|(_, l)| l.idle).map(|(id, _)| *id)
    }
}

impl Core {
    /// What the list says of a node.
    pub(super) fn listed(&mut self, entry: &Endpoint, dial: &str) {
        let node = entry.node;
        let n = self.links.nodes.entry(node).or_insert_with(|| Node {
            entry: entry.clone(),
            dial: dial.into(),
            idle: Vec::new(),
            waiting: VecDeque::new(),
            dialling: 0,
            alive: None,
            broke: None,
        });
        if n.entry.started != entry.started {
            n.broke = None;
        }
        let moved = n.dial != dial;
        (n.entry, n.dial) = (entry.clone(), dial.into());
        let ready = entry.state == EndpointState::Ready;
        if moved || !ready {
            // Whoever waits is told at once if it is sent nothing more, else dials where the node is now.
            let waiting = if ready { VecDeque::new() } else { std::mem::take(&mut n.waiting) };
            waiting.into_iter().for_each(|key| self.attempt_over(key, AttemptOutcome::NotSent, None));
            let of_no_use = |l: &Link| l.node == node && !matches!(l.usage, Use::Busy(_));
            let all = self.links.all.iter().filter(|(_, l)| of_no_use(l)).map(|(id, _)| *id);
            all.collect::<Vec<_>>().into_iter().for_each(|conn| self.close_link(conn));
            // What is out there goes on, and its connection is not used again.
            self.links.all.values_mut().filter(|l| l.node == node).for_each(|l| l.stale = true);
        }
        self.forget_node(node);
    }

    /// The list holds it no more.
    pub(super) fn unlisted(&mut self, node: NodeId) {
        if let Some(n) = self.links.nodes.get(&node) {
            let (entry, dial) = (Endpoint { state: EndpointState::Gone, ..n.entry.clone() }, n.dial.clone());
            self.listed(&entry, &dial);
        }
    }

    fn forget_node(&mut self, node: NodeId) {
        let in_use = |n: &Node| !n.waiting.is_empty() || self.links.all.values().any(|l| l.node == node);
        if self.links.nodes.get(&node).is_some_and(|n| n.entry.state == EndpointState::Gone && !in_use(n)) {
            self.links.nodes.remove(&node);
        }
    }

    /// An idle connection to the node that is not about to end.
    pub(super) fn idle_link(&mut self, node: NodeId) -> Option<ConnId> {
        let n = self.links.nodes.get_mut(&node)?;
        let conn = n.idle.pop()?;
        let l = self.links.all.get_mut(&conn)?;
        l.used += 1;
        self.counts.used_again += 1;
        Some(conn)
    }

    pub(super) fn wait_for_link(&mut self, key: AttemptKey, node: NodeId) {
        let Some(n) = self.links.nodes.get_mut(&node).filter(|n| n.entry.state == EndpointState::Ready)
        else {
            return self.attempt_over(key, AttemptOutcome::NotSent, None);
        };
        n.waiting.push_back(key);
        self.due.set(self.now + self.reach.connect_time_out, Due::AttemptWaited(key));
        self.dial_node(node);
    }

    /// As many connections are being made as attempts wait, within what descriptors allow.
    fn dial_node(&mut self, node: NodeId) {
        while self.links.nodes.get(&node).is_some_and(|n| n.dialling < n.waiting.len()) {
            if self.links.len() >= self.links.most {
                let Some(other) = self.links.idles_longest() else { return };
                // Whoever waits takes the free place, perhaps this one: it is looked at anew.
                self.close_link(other);
                continue;
            }
            self.open(node);
        }
    }

    fn open(&mut self, node: NodeId) {
        let Some(n) = self.links.nodes.get_mut(&node) else { return };
        n.dialling += 1;
        let address = n.dial.clone();
        let conn = self.conn();
        let decoder = Decoder::answers(BOUNDS);
        let (opened, idle) = (self.now, self.now);
        self.links.all.insert(
            conn,
            Link {
                node,
                usage: Use::Dialling,
                opened,
                idle,
                used: 0,
                heard: 0,
                spoilt: false,
                stale: false,
                decoder,
            },
        );
        self.counts.opened += 1;
        self.outputs.push(Output::Dial { conn, address });
        self.due.set(self.now + self.reach.connect_time_out, Due::DialEnds(conn));
        self.keep_looking();
    }

    /// A connection that broke is made again at once, where a place is free: that shows whether the process incarnations, while
    /// it is still certain that none could have followed it, and the next attempt takes it.
    fn open_again(&mut self, node: NodeId) {
        let lacks = |n: &Node| n.entry.state == EndpointState::Ready && n.dialling == 0;
        if self.links.len() < self.links.most && self.links.nodes.get(&node).is_some_and(lacks) {
            self.open(node);
        }
    }

    pub(super) fn link_up(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(l) = self.links.all.get_mut(&conn).filter(|l| l.usage == Use::Dialling) else { return };
        (l.usage, l.opened, l.idle, l.used) = (Use::Idle, now, now, 1);
        let node = l.node;
        self.links.nodes.entry(node).and_modify(|n| n.dialling -= 1);
        self.incarnations(node, now, None);
        self.link_free(conn, node);
    }

    /// It goes to who waits longest and still may go, else it idles.
    fn link_free(&mut self, conn: ConnId, node: NodeId) {
        while let Some(key) = self.links.nodes.get_mut(&node).and_then(|n| n.waiting.pop_front()) {
            if self.may_still_go(key) {
                return self.dispatch(key, conn);
            }
            self.attempt_over(key, AttemptOutcome::NotSent, None);
        }
        match (self.links.all.get_mut(&conn), self.links.nodes.get_mut(&node)) {
            (Some(l), Some(n)) if n.entry.state == EndpointState::Ready => {
                (l.usage, l.idle) = (Use::Idle, self.now);
                n.idle.push(conn);
            }
            _ => self.close_link(conn),
        }
    }

    pub(super) fn link_written(&mut self, conn: ConnId) {
        let Some(Link { usage: Use::Busy(key), spoilt, .. }) = self.links.all.get(&conn) else { return };
        let (key, spoilt) = (*key, *spoilt);
        let Some(attempt) = self.attempts.get_mut(&key).filter(|l| l.at == At::Going(conn)) else { return };
        attempt.at = At::Gone(conn, self.now);
        self.counts.sent += 1;
        if spoilt {
            // Whose answer comes behind what came before can't be told.
            self.close_link(conn);
            self.attempt_over(key, AttemptOutcome::Failed, None);
        }
    }

    /// The other side had ended it before: nothing was written, so the attempt takes another.
    pub(super) fn link_unwritten(&mut self, conn: ConnId) {
        let Some(Link { usage: Use::Busy(key), node, .. }) = self.links.all.get(&conn) else { return };
        let (key, node) = (*key, *node);
        self.counts.found_dead += 1;
        self.close_link(conn);
        if !self.may_still_go(key) {
            return self.attempt_over(key, AttemptOutcome::NotSent, None);
        }
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.at = At::Waiting;
        }
        match self.idle_link(node) {
            Some(other) => self.dispatch(key, other),
            None => self.wait_for_link(key, node),
        }
    }

    /// Ended by the other side, or it never came about.
    pub(super) fn link_ended(&mut self, conn: ConnId) {
        let Some(l) = self.links.remove(conn) else { return };
        let node = l.node;
        match l.usage {
            Use::Dialling => {
                self.counts.not_reached += 1;
                self.one_unreached(node);
            }
            Use::Idle => {}
            Use::Busy(key) => {
                let gone = self.attempts.get(&key).is_some_and(|l| matches!(l.at, At::Gone(..)));
                if gone {
                    self.counts.breaks += 1;
                    // An earlier one that is unproven holds what comes after it, for as long as it matters.
                    let (now, ramp) = (self.now, self.config.slow_start.ramp);
                    self.links.nodes.entry(node).and_modify(|n| {
                        n.broke = n.broke.filter(|b| now - b.0 < ramp).or(Some((now, n.alive)));
                    });
                }
                self.attempt_over(
                    key,
                    if gone { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Unreachable },
                    None,
                );
                if gone {
                    self.open_again(node);
                }
            }
        }
        self.room_for_links(node);
    }

    fn one_unreached(&mut self, node: NodeId) {
        let first = self.links.nodes.get_mut(&node).and_then(|n| n.waiting.pop_front());
        first.into_iter().for_each(|key| self.attempt_over(key, AttemptOutcome::Unreachable, None));
    }

    pub(super) fn dial_ends(&mut self, conn: ConnId) {
        if self.links.all.get(&conn).is_some_and(|l| l.usage == Use::Dialling) {
            let node = self.links.all[&conn].node;
            self.counts.not_reached += 1;
            self.close_link(conn);
            self.one_unreached(node);
        }
    }

    /// By this side.
    pub(super) fn close_link(&mut self, conn: ConnId) {
        let Some(l) = self.links.remove(conn) else { return };
        self.outputs.push(Output::Close { conn });
        self.room_for_links(l.node);
    }

    /// A place is free: for who waits at the same node, else for who waits at any.
    fn room_for_links(&mut self, node: NodeId) {
        let lacks = |n: &Node| n.dialling < n.waiting.len();
        if self.links.nodes.get(&node).is_some_and(lacks) {
            return self.dial_node(node);
        }
        let other = self.links.nodes.iter().find(|(_, n)| lacks(n)).map(|(id, _)| *id);
        other.into_iter().for_each(|node| self.dial_node(node));
        self.forget_node(node);
    }

    pub(super) fn link_came(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(l) = self.links.all.get_mut(&conn) else { return };
        l.heard += bytes.len() as u64;
        let Use::Busy(key) = l.usage else {
            // Nobody asked for it: whatever it is, an answer behind it would be another's.
            self.counts.surplus += 1;
            return self.close_link(conn);
        };
        if self.attempts.get(&key).is_some_and(|attempt| attempt.at == At::Going(conn)) {
            // It was read before the message was written, so it is no answer to it, nor the beginning of one. Whether the
            // message was written is for the connection's task to say, and it says so next.
            self.counts.surplus += 1;
            l.spoilt = true;
            return;
        }
        l.decoder.feed(bytes);
        match l.decoder.take() {
            Ok(None) => {}
            Ok(Some(m)) => self.answered(conn, key, &m),
            Err(fault) => {
                *self.counts.spoilt.entry(fault.to_string()).or_default() += 1;
                debug!(conn = conn.0, %fault, "an answer that cannot be read");
                self.close_link(conn);
                self.attempt_over(key, AttemptOutcome::Failed, None);
            }
        }
    }

    fn answered(&mut self, conn: ConnId, key: AttemptKey, m: &Message) {
        let Start::Answer { status } = m.start else { return };
        let Some(l) = self.links.all.get(&conn) else { return };
        let (node, opened, surplus, stale) = (l.node, l.opened, !l.decoder.is_empty(), l.stale);
        let Some(At::Gone(_, sent)) = self.attempts.get(&key).map(|l| l.at) else { return };
        let never_ran = m.field("X-Never-Ran") == Found::One(b"1");
        let outcome = match status {
            200 => AttemptOutcome::Succeeded,
            503 | 504 if never_ran => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Failed,
        };
        self.incarnations(node, opened, Some(sent));
        if outcome == AttemptOutcome::Succeeded {
            self.serve(key.0, &m.body);
        }
        self.counts.surplus += u64::from(surplus);
        if surplus || stale || !m.stays {
            self.close_link(conn);
        } else {
            self.link_free(conn, node);
        }
        self.attempt_over(key, outcome, used(m));
    }

    /// The node incarnations. A break before that was no restart if the sign comes on a connection that stood before the break
    /// and was not under way then, or so soon after it, and it so soon after the last sign before, that none fits between.
    fn incarnations(&mut self, node: NodeId, opened: Instant, sent: Option<Instant>) {
        let now = self.now;
        let Some(n) = self.links.nodes.get_mut(&node) else { return };
        n.alive = Some(now);
        let stood = |b: Instant| opened < b && sent.is_some_and(|sent| sent > b || now - b >= AFTER_BREAK);
        let close =
            |b: Instant, last: Option<Instant>| now - b < RESTART && last.is_some_and(|l| b - l < RETURN);
        if n.broke.is_some_and(|(b, last)| stood(b) || close(b, last)) {
            self.lives_on(node);
        }
    }

    /// The module learns that its node is as old as the list says.
    fn lives_on(&mut self, node: NodeId) {
        let Some(n) = self.links.nodes.get_mut(&node).filter(|n| n.entry.state == EndpointState::Ready)
        else {
            return;
        };
        n.broke = None;
        self.counts.lives_on += 1;
        self.events.push(Event::EndpointList {
            update_kind: UpdateKind::SelfReported,
            entries: vec![n.entry.clone()],
        });
    }

    /// Discovery has told of every start before, and of none for these.
    pub(super) fn told_of_starts(&mut self) {
        let told = |n: &Node| n.broke.is_some_and(|(b, _)| self.now - b >= TOLD);
        let old: Vec<_> = self.links.nodes.iter().filter(|(_, n)| told(n)).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|node| self.lives_on(node));
    }

    pub(super) fn look_over_links(&mut self) {
        let age = self.reach.keep_alive.times(MARGIN);
        let old = self.links.all.iter().filter(|(_, l)| l.usage == Use::Idle && self.now - l.idle >= age);
        let old: Vec<_> = old.map(|(id, _)| *id).collect();
        old.into_iter().for_each(|conn| self.close_link(conn));
    }
}

/// What the volume was served through all hosts, as a part of its usual rate; what cannot be read is not told.
fn used(m: &Message) -> Option<f64> {
    let Found::One(digits) = m.field("X-Meter") else { return None };
    let sound = !digits.is_empty() && digits.len() <= 6 && digits.iter().all(u8::is_ascii_digit);
    let percent: f64 = std::str::from_utf8(digits).ok().filter(|_| sound)?.parse().ok()?;
    Some(percent / 100.0)
}
