//! Every decision of gullsail stands here and in `brain/volumes.rs`. A caller makes one [`Brain`] for each
//! life of a host and calls [`Brain::step`] with the clock and the events since; it carries out the actions
//! that come back, in their order. Events, actions, ids and facts are those of `gullsail-interface`.
//! Read from the top: the loop ([`Brain`]), a storage node ([`Node`]: window, health, cold start), the desk
//! ([`Desk`]: transfers, order, legs, answers); then `brain/volumes.rs`: a volume ([`Volume`]: token bucket,
//! rate rule, loans, reserve) and labels. Parts talk only by notes put into inboxes that one loop empties;
//! the shapes of notes, transfers and lines are in `brain/state.rs`, where nothing is decided.

mod lengths;
mod state;
mod volumes;

use crate::fading::Fading;
use gullsail_interface::*;
use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use volumes::{EPOCH, Volume};

pub struct Brain {
    nodes: BTreeMap<NodeId, Node>,
    called: BTreeSet<NodeId>, // those with notes in their inboxes: only these are looked at
    desk: Desk,
    rng: ChaCha8Rng,
}

impl Brain {
    const FORGET: Span = Span::from_micros(60_000_000); // after a node is gone: no list is later than that

    pub fn new(facts: Facts, seed: u64, now: Instant) -> Self {
        let (rng, desk) = (ChaCha8Rng::seed_from_u64(seed), Desk::new(facts, now));
        Brain { nodes: BTreeMap::new(), called: BTreeSet::new(), desk, rng }
    }

    pub fn step(&mut self, now: Instant, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.desk.now = now;
        for event in events {
            if let Event::List { extent, entries } = &event {
                self.list(*extent, entries);
                self.empty_inboxes(); // what comes next in this step knows the nodes of this list
            }
            self.desk.inbox.push_back(DeskNote::Event(event));
        }
        self.empty_inboxes();
        std::mem::take(&mut self.desk.actions)
    }

    fn list(&mut self, extent: Extent, entries: &[NodeEntry]) {
        let (now, seen) = (self.desk.now, extent == Extent::Seen);
        let whole = matches!(extent, Extent::Whole | Extent::Remembered);
        let named: BTreeSet<NodeId> = entries.iter().map(|e| e.node).collect();
        let missing = self.nodes.values().map(|nd| &nd.entry).filter(|e| whole && !named.contains(&e.node));
        let missing = missing.filter(|e| e.standing != Standing::Gone).cloned();
        let missing: Vec<_> = missing.map(|e| NodeEntry { standing: Standing::Gone, ..e }).collect();
        for e in missing.iter().chain(entries) {
            self.nodes.entry(e.node).or_insert_with(|| Node::new(e.clone(), now));
            self.post(e.node, NodeNote::Listed(e.clone(), seen));
        }
        let kept = |nd: &Node| nd.entry.standing != Standing::Gone || now - nd.gone <= Self::FORGET;
        self.nodes.retain(|_, nd| kept(nd) || !nd.inbox.is_empty());
    }

    fn post(&mut self, id: NodeId, note: NodeNote) {
        if let Some(nd) = self.nodes.get_mut(&id) {
            nd.inbox.push_back(note);
            self.called.insert(id);
        }
    }

    fn empty_inboxes(&mut self) {
        loop {
            while let Some(note) = self.desk.inbox.pop_front() {
                self.desk.take(note, &mut self.rng);
            }
            while let Some((id, note)) = self.desk.outbox.pop_front() {
                self.post(id, note);
            }
            let Some(id) = self.called.pop_first() else { return };
            let Some(nd) = self.nodes.get_mut(&id) else { continue };
            while let Some(note) = nd.inbox.pop_front() {
                nd.take(note, self.desk.now);
            }
            let Desk { now, facts, crowd, inbox, .. } = &mut self.desk;
            inbox.push_back(DeskNote::Room(nd.room(*now, facts, *crowd)));
        }
    }
}

const LAST: Span = Span::from_micros(1_000_000); // the design's span for demand; other sums keep to it

#[derive(Default)]
struct Node {
    inbox: VecDeque<NodeNote>,
    entry: NodeEntry,
    window: f64, // below one where even one leg at a time is too much: they are then spaced out
    out: BTreeMap<(TransferId, u32), (Instant, Span)>, // when sent, and the SLO time
    took: Fading, // by answers, in seconds, and the number of these
    answers: Fading,
    halved: Instant,
    heard: Instant,
    gone: Instant, // since when, if it is
    last_sent: Instant,
    lost: u32,               // time-outs since anything came of it
    cold_sent: Vec<ColdLeg>, // kept exactly: a rule counts it
}

impl Node {
    const CEILING: f64 = 32.0; // of the design page
    const START: f64 = 4.0; // "a few", says the design page
    const LATE: f64 = 0.4; // of the SLO time in the node; the rest is for the wait at the host
    const SILENT: f64 = 3.0; // times the usual latency that a leg is out and nothing came since
    const STEP: f64 = 0.25; // below one: back there after a few good answers
    const LEAST: f64 = 0.125; // slower, and a host would learn nothing of it within most SLO times
    const RAMP_TRUST: f64 = 0.8; // of the growth that the ramp bounds promise to a cold node
    const PROVEN: f64 = 0.33; // of a served leg still counts: its work may be put off, or was cheap
    const SELDOM: f64 = 0.5; // answers in the last second: with fewer, its window would learn after the jam
    const LONE_LEG: f64 = 0.25; // of what is borne in any case, by however many hosts

    fn new(entry: NodeEntry, now: Instant) -> Self {
        let (gone, window) = (now, Self::START);
        Node { entry, window, halved: now, heard: now, gone, last_sent: now, ..Node::default() }
    }

    fn take(&mut self, note: NodeNote, now: Instant) {
        match note {
            NodeNote::Beat => {}
            NodeNote::Listed(e, seen) => {
                if e.started > self.entry.started {
                    (self.window, self.heard, self.lost) = (Self::START, now, 0);
                }
                // The list is late: a drain is believed at once, but taken back only by a newer start.
                let ended = self.entry.standing != Standing::Ready && e.started <= self.entry.started;
                let standing = if ended { self.entry.standing.max(e.standing) } else { e.standing };
                self.gone = if self.entry.standing == Standing::Gone { self.gone } else { now };
                // A connection that broke is taken for a restart until the same process says otherwise.
                let started = if seen { e.started } else { e.started.max(self.entry.started) };
                self.entry = NodeEntry { standing, started, ..e };
            }
            NodeNote::Out { id, leg, units, slo_time } => {
                self.out.insert((id, leg), (now, slo_time));
                self.last_sent = now;
                self.cold_sent.push(((id, leg), now, units, false));
            }
            NodeNote::Ended { id, leg, ending, took } => {
                let Some((_, slo_time)) = self.out.remove(&(id, leg)) else { return };
                let (done, timed_out) = (ending == Ending::Done, ending == Ending::TimedOut);
                let answered = done || matches!(ending, Ending::Failed | Ending::TurnedAway);
                if ending == Ending::Broken {
                    // The process died, no jam: the window stays. What answers next has just started.
                    self.entry.started = self.entry.started.max(Some(now));
                } else if answered {
                    (self.heard, self.lost) = (now, 0);
                }
                self.lost += u32::from(timed_out);
                self.cold_sent.retain_mut(|c| c.0 != (id, leg) || (c.3 |= done, ending != Ending::Unsent).1);
                // Errors and full queues answer fast, time-outs cut short what would have taken longer: were
                // they not counted as long, a jammed node would look the best of all and stay jammed.
                if answered || timed_out {
                    let long =
                        if timed_out { took.times(2.0).max(self.latency()) } else { took.max(slo_time) };
                    self.took.add(now, LAST, if done { took } else { long }.secs());
                    self.answers.add(now, LAST, 1.0);
                }
                if done && took <= slo_time.times(Self::LATE) {
                    if self.window < 1.0 {
                        self.window = (self.window + Self::STEP).min(1.0);
                    } else if self.out.len() + 1 >= self.window as usize {
                        self.window = (self.window + 1.0 / self.window).min(Self::CEILING);
                    }
                } else if !matches!(ending, Ending::Unsent | Ending::Cancelled | Ending::Broken) {
                    self.halve(now);
                }
            }
        }
    }

    fn halve(&mut self, now: Instant) {
        if now - self.halved > self.latency() {
            // Many hosts with a window of one each still jam a small or slowed node: below one, legs are
            // spaced. It costs idle time on a node that is late for one dear transfer only.
            let least = if self.window > 1.0 { 1.0 } else { Self::LEAST };
            (self.window, self.halved) = ((self.window / 2.0).max(least), now);
        }
    }

    fn latency(&self) -> Span {
        let mean = Span::from_millis(self.took.last() / self.answers.last().max(1e-9) * 1e3);
        mean.max(Span::from_millis(20.0)) // as before the first answer: shorter than any usual SLO time
    }

    /// How many units a cold node may be sent now; infinite once it is warm. What is borne in any case is
    /// split evenly between hosts and grows as the ramp promises. Legs that were served within the rule's
    /// window prove that there was room for them and count in part. Where an even part holds no whole
    /// transfer, a lone leg at a time keeps reads alive, the next once it is served; who was served none of
    /// late begins by turns, a window each, as all hosts ask for more than is borne: a leg of each would push
    /// it over. Harms where this host asks unlike the others.
    fn cold_room(&mut self, now: Instant, facts: &Facts, crowd: f64) -> (f64, f64) {
        let cold = &facts.cold;
        let Some(age) = self.entry.started.map(|s| now - s).filter(|age| *age < cold.ramp) else {
            self.cold_sent.clear();
            return (f64::INFINITY, f64::INFINITY);
        };
        let gained = (age - cold.window).secs().max(0.0) / cold.ramp.secs();
        let growth = (1.0 - cold.first_part) * gained / cold.first_part.max(0.01);
        let part = facts.borne() * (1.0 + Self::RAMP_TRUST * growth);
        // A tenth longer than the rule's window: legs sent apart may arrive together, or go out later.
        let window = cold.window.times(1.1) + facts.leg_wait;
        self.cold_sent.retain(|c| now - c.1 <= window);
        let weight = |c: &ColdLeg| if c.3 { c.2 * Self::PROVEN } else { c.2 };
        let sent: f64 = self.cold_sent.iter().map(weight).sum();
        let hosts = f64::from(facts.hosts.max(1));
        let turns = (crowd / (part * hosts)).max(1.0).ceil();
        let place = (f64::from(facts.me.0) + (self.entry.node.0 % 4096) as f64) / hosts * turns;
        let mine = (place + now.millis() / cold.window.millis()) % turns < 1.0;
        let (one, served) = (cold.units * Self::LONE_LEG, self.cold_sent.iter().all(|c| c.3));
        let lone = served && sent < part.max(one) && (mine || !self.cold_sent.is_empty());
        (if lone { one.max(part - sent) } else { part - sent }, part - sent)
    }

    fn room(&mut self, now: Instant, facts: &Facts, crowd: f64) -> Room {
        let ((units, even), slots) = (self.cold_room(now, facts, crowd), self.slots(now, facts));
        // It halves with each second of silence: no old jam is held against a node for ever.
        let latency = self.latency().times(0.5f64.powf((now - self.heard).secs().max(0.0)));
        let (silent, seldom) = (self.silent(now), self.answers.clone().read(now, LAST) < Self::SELDOM);
        let weak = units.is_finite() || self.window < Self::START && now - self.halved < Brain::FORGET;
        Room { entry: self.entry.clone(), slots, units, even, latency, silent, weak, seldom }
    }

    fn silent(&self, now: Instant) -> bool {
        let patience = self.latency().times(Self::SILENT);
        self.out.values().map(|o| o.0).min().is_some_and(|sent| now - sent.max(self.heard) > patience)
    }

    fn slots(&self, now: Instant, facts: &Facts) -> usize {
        // Guards against all hosts asking one node whether it lives: where they share it out, each waits for
        // its turn. Harms a node that was late twice of itself: its next leg waits too.
        let waits = self.lost > 1 && now - self.last_sent < facts.probe_every;
        if self.entry.standing != Standing::Ready || waits {
            return 0;
        }
        if self.silent(now) {
            // Stalled, dead or cut off, it looks the same: the rest stays here, where it can still be
            // given up or wait for a successor, and one careful leg at a time asks, ever more seldom.
            return usize::from(now - self.last_sent > (now - self.heard).times(0.5).max(facts.probe_every));
        }
        let spaced = self.window >= 1.0 || now - self.last_sent > self.latency().times(1.0 / self.window);
        if spaced { (self.window.max(1.0) as usize).saturating_sub(self.out.len()) } else { 0 }
    }
}

/// Of hundreds of hosts each sends a node a leg now and then: no window of its own tells of jams in time, but
/// together they make one. So these nodes share a window at each host, zone by zone: one may be cut off.
/// It falls less than a node's own, and by missed SLO times alone: one leg in twenty is late of itself. What
/// a cold node misses, or one late within a minute, is its own affair. Harms where many nodes there fail.
impl Seldom {
    fn ended(&mut self, now: Instant, ending: Ending, took: Span, slo_time: Span, weak: bool) {
        let (out, jam) = (self.out.len() as f64 + 1.0, [Ending::Done, Ending::TimedOut, Ending::TurnedAway]);
        if ending == Ending::Done && took <= slo_time {
            let more = f64::from(out + 1.0 >= self.window.floor()) / self.window;
            self.window = (self.window + more).min(Node::CEILING);
        } else if !weak && jam.contains(&ending) && now - took > self.halved {
            (self.window, self.halved) = ((self.window.min(out) * 0.7).max(1.0), now);
        }
    }
}

#[derive(Default)]
struct Desk {
    inbox: VecDeque<DeskNote>,
    outbox: VecDeque<(NodeId, NodeNote)>,
    actions: Vec<Action>,
    now: Instant,
    born: Instant,
    facts: Facts,
    rooms: BTreeMap<NodeId, Room>, // of nodes that are ready
    ready: BTreeMap<PoolId, Vec<NodeId>>,
    cells: BTreeMap<CellId, BTreeSet<NodeId>>,
    drawn: BTreeSet<(NodeId, PoolId)>, // for a new object
    left: BTreeMap<Where, Instant>,    // where a node was heard of that is not ready, and when last
    xfers: BTreeMap<TransferId, Xfer>,
    lines: BTreeMap<LineKey, Line>,
    beats: BTreeMap<TimerId, LineKey>,
    last_beat: u64,
    turns: BTreeMap<ObjectId, Turn>,
    volumes: BTreeMap<VolumeId, Volume>,
    /// The map of who uses a volume, kept for the volumes that fall to this host, with when each last asked.
    users: BTreeMap<VolumeId, BTreeMap<HostId, Instant>>,
    seldom: BTreeMap<ZoneId, Seldom>,
    sent: Fading, // legs, and those of them done
    good: Fading,
    fair: f64,  // what volumes that go past their reserves were sent of late, by weight, in the mean
    crowd: f64, // units that all hosts ask of a node within the rule's window, if they ask as this one does
    longest_ttl: BTreeMap<StreamTypeId, Span>,
    accepted: VecDeque<Instant>,
    resent: VecDeque<Instant>,
    ask_again: Span,
    tight: Span, // all types queue together in a node: a patient one must not grow what jams the tightest
}

const USUAL: f64 = 0.7; // of a node's mean time most answers take: times are skewed
const TIGHT: f64 = 2.0; // what its own work may take it past the tightest, with no jam to blame
const RETURN: f64 = 2.0; // half of the legs may fail before a host holds back, as in any rough hour
const RECENT: Span = Span::from_micros(3_000_000); // long enough for some legs of a host that sends seldom
const STEADY: f64 = 0.05; // of what is asked now, every epoch: over some seconds, as a ramp lasts
const HEADS: usize = 4; // looked at in each group: the first may be too large for now, or wait its turn
const FAR: f64 = 0.1; // of the odds of a node at home that one elsewhere has
const SAMPLE: usize = 8; // nodes looked at for a new object: enough that some have room
const NEXT_EPOCH: TimerId = TimerId(1 << 40);
const ASK_LIST: TimerId = TimerId(NEXT_EPOCH.0 + 1);
const FIRST_BEAT: u64 = NEXT_EPOCH.0 + 2;
const BEAT_EVERY: Span = Span::from_micros(10_000); // a line is looked over: small against any SLO time
const ASK_FIRST: Span = Span::from_micros(500_000); // for the list again: a few round trips; it doubles
const ASK_LAST: Span = Span::from_micros(7_500_000); // to a minute's eighth

impl Desk {
    fn new(facts: Facts, now: Instant) -> Self {
        let tight = facts.stream_types.iter().map(|s| s.slo_time).min().unwrap_or_default().times(TIGHT);
        let (born, crowd) = (now, facts.cold.units); // as much as is borne: a newborn does not know
        let mut desk = Desk { now, born, facts, tight, crowd, ask_again: ASK_FIRST, ..Desk::default() };
        desk.good.add(now, RECENT, Node::START); // a newborn trusts a little before it knows
        desk.actions.extend(desk.facts.list_asked.then_some(Action::Watch));
        desk.budgets();
        desk.epoch();
        desk
    }

    fn take(&mut self, note: DeskNote, rng: &mut ChaCha8Rng) {
        // Whatever comes, also while no node has room: else what is accepted then would only pile up.
        if let Some(b) = self.facts.leg_budget {
            // A leg may go out later than decided: it counts for longer, and what was accepted less long.
            let (from, wait) = (self.now - b.window, self.facts.leg_wait);
            while self.accepted.pop_front_if(|at| *at <= from + wait).is_some() {}
            while self.resent.pop_front_if(|at| *at < from - wait).is_some() {}
        }
        match note {
            DeskNote::Room(room) => {
                self.enter(&room, rng);
                self.serve(&room, rng);
            }
            DeskNote::Event(Event::Arrived(t)) => self.accept(t, rng),
            DeskNote::Event(Event::LegEnded(e)) => self.leg_ended(e, rng),
            DeskNote::Event(Event::StreamBegan { id, .. }) => {
                _ = self.xfers.entry(id).and_modify(|x| x.closed = true)
            }
            DeskNote::Event(Event::ClientLeft(id)) => self.close(id),
            DeskNote::Event(Event::PeerSaid { from, bytes }) => self.hear(from, &bytes),
            DeskNote::Event(Event::ListLost) => {
                // All hosts call again when the list was down: each by its number a little apart.
                let part = 0.5 + 0.5 * f64::from(self.facts.me.0) / f64::from(self.facts.hosts.max(1));
                let wait = self.ask_again.min(self.facts.ask_within.unwrap_or(ASK_LAST)).times(part);
                self.ask_again = self.ask_again.times(2.0).min(ASK_LAST);
                self.actions.push(Action::Timer { id: ASK_LIST, at: self.now + wait });
            }
            DeskNote::Event(Event::List { extent: Extent::Remembered | Extent::Seen, .. }) => {}
            DeskNote::Event(Event::List { .. }) => self.ask_again = ASK_FIRST,
            DeskNote::Event(Event::Plans { plans, terms, crossings, among }) => {
                self.volumes.values_mut().for_each(|v| v.refill(self.now, &self.facts));
                self.facts.follow(plans, crossings, among);
                self.budgets();
                self.change(&terms);
            }
            DeskNote::Event(Event::Timer(NEXT_EPOCH)) => self.epoch(),
            DeskNote::Event(Event::Timer(ASK_LIST)) => self.actions.push(Action::Watch),
            DeskNote::Event(Event::Timer(id)) if id > NEXT_EPOCH => {
                let Some(key) = self.beats.remove(&id) else { return };
                if let Some(line) = self.lines.get_mut(&key).filter(|l| l.beat == Some(id)) {
                    line.beat = None;
                    self.look_over(key, self.now + self.soonest(key.1).times(USUAL).max(BEAT_EVERY), rng);
                }
            }
            DeskNote::Event(Event::Timer(TimerId(id))) => self.give_up(TransferId(id)),
        }
    }

    fn enter(&mut self, room: &Room, rng: &mut ChaCha8Rng) {
        let (id, ready) = (room.entry.node, room.entry.standing == Standing::Ready);
        let pools = [PoolId::ALL].into_iter().chain(room.entry.pools.iter().copied()).map(Where::Pool);
        let places = pools.chain([Where::Cell(room.entry.cell)]).filter(|_| !ready);
        self.left.extend(places.map(|place| (place, self.now)));
        let moved = |e: &NodeEntry| e.cell != room.entry.cell || e.pools != room.entry.pools;
        if let Some(old) = self.rooms.get(&id).filter(|r| !ready || moved(&r.entry)) {
            self.cells.entry(old.entry.cell).and_modify(|c| _ = c.remove(&id));
            self.cells.retain(|_, nodes| !nodes.is_empty());
            self.ready.values_mut().for_each(|nodes| nodes.retain(|other| *other != id));
            self.drawn.retain(|d| d.0 != id);
            self.rooms.remove(&id);
        }
        if ready && self.rooms.insert(id, room.clone()).is_none() {
            self.cells.entry(room.entry.cell).or_default().insert(id);
            for pool in [PoolId::ALL].iter().chain(&room.entry.pools) {
                self.ready.entry(*pool).or_default().push(id);
                self.draw(*pool, rng);
            }
        }
    }

    /// Budgets stand among the volumes, by names of their own: they fill, are lent and asked for alike.
    fn budgets(&mut self) {
        let (now, f) = (self.now, &self.facts);
        let place =
            |id: &VolumeId| f.crossings.iter().position(|c| c.hosts > 0 && label::carried(c.id) == *id);
        self.volumes.retain(|id, v| v.crossing.is_none() || place(id).is_some());
        for (id, c) in f.crossings.iter().filter(|c| c.hosts > 0).map(|c| (label::carried(c.id), c)) {
            let v = self.volumes.entry(id).or_insert_with(|| Volume { at: now, ..Volume::default() });
            (v.crossing, v.hosts) = (place(&id), f64::from(c.hosts));
        }
    }

    /// The budgets that bytes of a plan's volume from zone to zone count against, and which are hard.
    fn across(&self, plan: PlanId, from: ZoneId, to: ZoneId) -> impl Iterator<Item = (VolumeId, bool)> {
        let (of, all) = ([Across::Pair(from, to), Across::Plan(plan)], self.facts.crossings.iter());
        let some = all.filter(move |c| from != to && c.hosts > 0 && of.contains(&c.of));
        some.map(|c| (label::carried(c.id), c.hard))
    }

    /// Takes bytes that cross to or from a zone from their budgets; what goes past is told with its cause.
    fn cross(&mut self, id: TransferId, plan: PlanId, (there, to): (ZoneId, bool), bytes: f64, cause: Cause) {
        let Some(me) = self.facts.zone else { return };
        let (from, to) = if to { (me, there) } else { (there, me) };
        for (crossing, _) in self.across(plan, from, to).collect::<Vec<_>>() {
            let Some(v) = self.volumes.get_mut(&crossing) else { continue };
            v.refill(self.now, &self.facts);
            v.asked.add(self.now, LAST, bytes);
            (v.level, v.waiting) = (v.level - bytes, bytes);
            let over = bytes.min(-v.level);
            if over > 0.0 {
                self.actions.push(Action::Past { id, crossing, bytes: over, cause });
            }
            self.ask(crossing);
        }
    }

    /// Why this host's zone has no node for new objects of a pool, if it has none.
    fn homeless(&self, pool: PoolId) -> Option<Cause> {
        let me = self.facts.zone?;
        let ready = self.ready.get(&pool).into_iter().flatten().map(|nd| &self.rooms[nd]);
        let mut here = ready.filter(|r| r.entry.zone == me).peekable();
        if here.peek().is_none() {
            Some(Cause::Drained)
        } else {
            here.all(|r| r.silent).then_some(Cause::Silent)
        }
    }

    /// May what has a choice go to that zone, now or within so long? With tokens, once half of its time is
    /// gone; past a soft budget only where there is no node at home.
    fn may_cross(&self, x: &Xfer, zone: ZoneId, within: Span) -> bool {
        let Some(me) = self.facts.zone.filter(|me| *me != zone) else { return true };
        let homeless = self.homeless(x.t.pool).is_some();
        let fits = |(id, hard): (VolumeId, bool)| {
            let v = &self.volumes[&id];
            let rate = v.part.map(|p| p.rate).or(v.limit(&self.facts).map(|l| l.rate / v.hosts));
            (homeless && !hard) || v.level + rate.unwrap_or(0.0) * within.secs() >= x.t.bytes
        };
        (homeless || self.now >= x.half_time) && self.across(x.t.plan, me, zone).all(fits)
    }

    /// Other plans, and what volumes may be sent from now on. What a host no longer serves is given up on.
    fn change(&mut self, terms: &[Terms]) {
        let now = self.now;
        for t in terms {
            let id = label::carried(t.volume);
            let v = self.volumes.entry(id).or_insert_with(|| Volume { at: now, ..Volume::default() });
            (v.plan, v.hosts, v.part, v.left) = (t.plan, f64::from(t.hosts.max(1)), t.part, t.hosts == 0);
            v.refill(now, &self.facts);
            let waits = |x: &Xfer| x.t.volume == id && x.legs == 0;
            let left = self.xfers.iter().filter(|(_, x)| t.hosts == 0 && waits(x)).map(|(id, _)| *id);
            left.collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id));
        }
    }

    fn accept(&mut self, mut t: Transfer, rng: &mut ChaCha8Rng) {
        t.volume = label::carried(t.volume);
        let (now, id, volume, f) = (self.now, t.id, t.volume, &self.facts);
        let (Some(s), true) = (f.stream_types.get(t.stream_type.0), t.plan.0 < f.plans.len()) else {
            // No document knows it any more. It never ran, and would else never be answered.
            return self.actions.push(Action::Defer { id, come_back: f.longest_advice });
        };
        self.accepted.extend(f.leg_budget.map(|_| now));
        let expiry = now + t.ttl - f.tick - f.tick;
        // A client's next try has less time than its first had: the SLO time has run all the while. With
        // less than the SLO time, it is hardly that, but an impatient first one: useful until its expiry.
        let longest = self.longest_ttl.entry(t.stream_type).or_insert(t.ttl);
        *longest = t.ttl.max(*longest);
        let slo_end = if t.ttl < s.slo_time { expiry } else { now + s.slo_time - (*longest - t.ttl) };
        let half_time = now + (slo_end - now).times(0.5);
        if let (true, Some(object)) = (s.in_order, t.object) {
            self.turns.entry(object).or_default().0.push_back(id);
        }
        let hosts = f64::from(if t.volume_hosts > 0 { t.volume_hosts } else { f.hosts.max(1) });
        let v = self.volumes.entry(volume).or_default();
        if hosts > v.hosts {
            // A newborn can't know what it spent before a kill: its bucket starts empty.
            (v.plan, v.hosts, v.level, v.at) = (t.plan, hosts, 0.0, v.at.max(self.born));
            (v.seeks, v.seek_at) = (0, now);
        }
        v.asked.add(now, LAST, t.units);
        self.actions.push(Action::Timer { id: TimerId(id.0), at: expiry });
        self.xfers.insert(id, Xfer { t, slo_end, half_time, ..Xfer::default() });
        self.queue(id, rng);
    }

    fn queue(&mut self, id: TransferId, rng: &mut ChaCha8Rng) {
        let Some(x) = self.xfers.get_mut(&id) else { return };
        let effect = self.facts.stream_types[x.t.stream_type.0].effect;
        let bound = x.maybe_ran.filter(|_| matches!(effect, Effect::Keyed { group: Group::Cell, .. }));
        let cell = x.t.cell.or(bound.map(|m| m.1));
        let key = (x.legs > 0, cell.map_or(Where::Pool(x.t.pool), Where::Cell));
        x.line = Some(key);
        let group = (x.t.volume, x.t.stream_type);
        self.lines.entry(key).or_default().groups.entry(group).or_default().insert((x.slo_end, id));
        if let (0, Some(v)) = (x.legs, self.volumes.get_mut(&x.t.volume)) {
            v.waiting += x.t.units;
        }
        if self.starves(id) {
            return self.give_up(id);
        }
        self.look_over(key, self.now, rng);
    }

    /// Will all tokens that can come in its time go to what waits here for its volume and goes before it, as
    /// it is no larger? It would wait only to keep its client away. Harms where those before it give up.
    fn starves(&mut self, id: TransferId) -> bool {
        let Some(x) = self.xfers.get(&id).filter(|x| x.legs == 0) else { return false };
        let Some(v) = self.volumes.get_mut(&x.t.volume) else { return false };
        let hope = v.hope(self.now, x.slo_end, &self.facts);
        let rank = |x: &Xfer| (self.facts.stream_types[x.t.stream_type.0].benefit, self.now - x.slo_end);
        let waits = |o: &Xfer| o.t.volume == x.t.volume && o.legs == 0 && o.line.is_some();
        let before = |o: &&Xfer| waits(o) && o.t.units <= x.t.units && rank(o) >= rank(x);
        v.waiting > hope && self.xfers.values().filter(before).map(|o| o.t.units).sum::<f64>() > hope
    }

    fn leave_line(&mut self, id: TransferId) {
        let Some((key, x)) = self.xfers.get_mut(&id).and_then(|x| Some((x.line.take()?, x))) else { return };
        let (Some(line), group) = (self.lines.get_mut(&key), (x.t.volume, x.t.stream_type)) else { return };
        line.groups.entry(group).and_modify(|g| _ = g.remove(&(x.slo_end, id)));
        line.groups.retain(|_, g| !g.is_empty());
        if line.groups.is_empty() {
            self.lines.remove(&key);
        }
        if let (0, Some(v)) = (x.legs, self.volumes.get_mut(&x.t.volume)) {
            v.waiting -= x.t.units;
        }
    }

    fn look_over(&mut self, key: LineKey, least: Instant, rng: &mut ChaCha8Rng) {
        let mut wanted = Vec::new();
        let Some(line) = self.lines.get(&key) else { return };
        let least = if self.nowhere(key.1) { Instant::from_micros(i64::MAX) } else { least };
        let lost = line.groups.values().flat_map(|g| g.iter().take_while(|w| w.0 <= least));
        let mut lost: Vec<_> = lost.map(|w| w.1).collect();
        if let (Where::Pool(pool), true) = (key.1, self.facts.zone.is_some()) {
            let lacks: Vec<_> = line.groups.values().flatten().map(|w| (w.1, &self.xfers[&w.1])).collect();
            let homeless = self.homeless(pool).is_some();
            let rooms = self.ready.get(&pool).into_iter().flatten().map(|nd| self.rooms[nd].entry.zone);
            let zones: BTreeSet<_> = rooms.filter(|z| Some(*z) != self.facts.zone).collect();
            let hope = |x: &Xfer| zones.iter().any(|z| self.may_cross(x, *z, x.slo_end - self.now));
            let late = lacks.iter().any(|(_, x)| homeless || self.now >= x.half_time);
            // Nothing at home, and no tokens in time for anywhere else: answered at once.
            lost.extend(lacks.iter().filter(|(_, x)| homeless && !zones.is_empty() && !hope(x)).map(|l| l.0));
            let bytes = lacks.iter().map(|(_, x)| x.t.bytes).sum::<f64>();
            let shared = self.facts.crossings.iter().filter(|c| late && c.hosts > 0);
            wanted.extend(shared.map(|c| label::carried(c.id)));
            wanted.iter().for_each(|c| _ = self.volumes.entry(*c).and_modify(|v| v.waiting = bytes));
        }
        lost.into_iter().for_each(|id| self.give_up(id));
        let Some(line) = self.lines.get_mut(&key) else { return };
        if line.beat.is_none() {
            self.last_beat += 1;
            let id = TimerId(FIRST_BEAT + self.last_beat);
            line.beat = Some(id);
            self.beats.insert(id, key);
            self.actions.push(Action::Timer { id, at: self.now + BEAT_EVERY });
        }
        wanted.extend(line.groups.keys().map(|g| g.0));
        wanted.into_iter().for_each(|v| self.ask(v));
        match key.1 {
            Where::Cell(cell) => {
                let holders = self.cells.get(&cell).into_iter().flatten();
                self.outbox.extend(holders.map(|nd| (*nd, NodeNote::Beat)));
            }
            Where::Pool(pool) => self.draw(pool, rng),
        }
    }

    /// Nobody takes it, and nobody did of late whose successor could come: the wait would be for nothing.
    fn nowhere(&self, to: Where) -> bool {
        let none = match to {
            Where::Cell(cell) => !self.cells.contains_key(&cell),
            Where::Pool(pool) => self.ready.get(&pool).is_none_or(Vec::is_empty),
        };
        none && self.left.get(&to).is_none_or(|at| self.now - *at > Brain::FORGET)
    }

    fn soonest(&self, to: Where) -> Span {
        let Where::Cell(cell) = to else { return Span::ZERO };
        self.holders(cell).map(|nd| self.rooms[&nd].latency).min().unwrap_or(Span::ZERO)
    }

    fn holders(&self, cell: CellId) -> impl Iterator<Item = NodeId> {
        self.cells.get(&cell).into_iter().flatten().copied()
    }

    fn leg_ended(&mut self, e: LegEnd, rng: &mut ChaCha8Rng) {
        let LegEnd { id, leg, node, ending, took, .. } = e;
        self.outbox.push_back((node, NodeNote::Ended { id, leg, ending, took }));
        self.good.add(self.now, RECENT, f64::from(ending == Ending::Done));
        let left = self.seldom.values_mut().find_map(|s| Some((s.out.remove(&(id, leg))?, s)));
        let weak = self.rooms.get(&node).is_none_or(|r| r.weak);
        left.into_iter().for_each(|(slo_time, s)| s.ended(self.now, ending, took, slo_time, weak));
        let Some(plan) = self.xfers.get(&id).map(|x| x.t.plan) else { return };
        self.cross(id, plan, (e.zone, false), e.bytes, Cause::Bound);
        let Some(x) = self.xfers.get_mut(&id) else { return };
        if let (Some(used), Some(v)) = (e.used, self.volumes.get_mut(&x.t.volume)) {
            v.used = self.facts.plans.get(v.plan.0).map(|p| used * p.usual);
        }
        x.out = x.out.saturating_sub(1);
        x.maybe_ran = x.maybe_ran.filter(|m| m.0 != leg || !ending.never_ran());
        let unknown = matches!(ending, Ending::TimedOut | Ending::Broken | Ending::Cancelled);
        if let (true, Some(turn)) = (unknown, x.t.object.and_then(|o| self.turns.get_mut(&o))) {
            turn.1 = turn.1.max(self.now + self.facts.order_settle);
        }
        if x.closed || e.finished {
            return self.close(id);
        }
        let answered = self.now + self.rooms.get(&node).map_or(Span::ZERO, |r| r.latency);
        // After a time-out another leg mostly does the same work twice.
        let again = answered < x.slo_end && ending != Ending::TimedOut && x.legs < self.facts.most_legs;
        let effect = self.facts.stream_types[x.t.stream_type.0].effect;
        if again && (effect != Effect::Unrepeatable || x.maybe_ran.is_none()) {
            self.queue(id, rng);
        } else {
            self.give_up(id);
        }
    }

    /// The final answer of a transfer that gets no more legs, at once.
    fn give_up(&mut self, id: TransferId) {
        let Some(x) = self.xfers.get(&id).filter(|x| !x.closed) else { return };
        let effect = self.facts.stream_types[x.t.stream_type.0].effect;
        let harmless = matches!(effect, Effect::Repeatable | Effect::Keyed { group: Group::All, .. });
        let may_defer = harmless || (x.maybe_ran.is_none() && x.out == 0);
        let refilled = self.volumes.get(&x.t.volume).map_or(EPOCH, |v| v.refilled(x.t.units, &self.facts));
        let advice = x.t.cell.map_or(EPOCH, |cell| self.soonest(Where::Cell(cell))).max(refilled);
        let come_back = self.facts.longest_advice.map(|most| advice.min(most));
        self.actions.push(if may_defer { Action::Defer { id, come_back } } else { Action::Abandon { id } });
        self.close(id);
    }

    fn close(&mut self, id: TransferId) {
        self.leave_line(id);
        let Some(x) = self.xfers.get_mut(&id) else { return };
        x.closed = true;
        if x.out == 0 {
            let turn = x.t.object.and_then(|o| self.turns.get_mut(&o));
            turn.into_iter().for_each(|t| t.0.retain(|other| *other != id));
            self.xfers.remove(&id);
        }
    }

    fn due(&self, x: &Xfer) -> f64 {
        let f = &self.facts;
        let (v, s) = (&self.volumes[&x.t.volume], &f.stream_types[x.t.stream_type.0]);
        let full = s.benefit * f.plans[v.plan.0].price; // benefit still due per unit
        // The weighted share: who was sent less than the others, by weight, is inside it.
        let over = (self.fair / v.extra.last().max(1e-9)).min(1.0);
        full * if v.reserve >= x.t.units { 1.0 } else { f.spare_part + (f.share_part - f.spare_part) * over }
    }

    /// May this transfer have a leg at that node now, by the rules and the volume's tokens?
    fn may_go(&self, id: TransferId, x: &Xfer, room: &Room) -> bool {
        let f = &self.facts;
        let s = &f.stream_types[x.t.stream_type.0];
        // What would be late is not sent: with many hosts each one's single leg still adds up to a jam.
        if room.units < x.t.units || self.now + room.latency.times(USUAL) > x.slo_end {
            return false;
        }
        if x.t.cell.is_none() && !self.may_cross(x, room.entry.zone, Span::ZERO) {
            return false;
        }
        if let (Effect::Keyed { group, window }, Some((_, cell, zone, since))) = (s.effect, x.maybe_ran) {
            let zone = group == Group::Zone && zone == room.entry.zone;
            let same = group == Group::All || zone || cell == room.entry.cell;
            if !same || self.now - since >= window {
                return false;
            }
        }
        if x.legs > 0 {
            let (resent, accepted) = (self.resent.len() as f64, self.accepted.len() as f64);
            return f.leg_budget.is_none_or(|b| resent + 1.0 <= b.free + b.share * accepted);
        }
        if let (true, Some(turn)) = (s.in_order, x.t.object.and_then(|o| self.turns.get(&o)))
            && (turn.0.front() != Some(&id) || self.now < turn.1)
        {
            return false;
        }
        let v = &self.volumes[&x.t.volume];
        v.limit(f).is_none() || v.level >= x.t.units
    }

    fn best(&mut self, key: LineKey, room: &Room) -> Option<(f64, TransferId)> {
        let line = self.lines.get(&key)?;
        let shared = self.facts.crossings.iter().map(|c| label::carried(c.id));
        let all = line.groups.keys().map(|g| g.0).chain(shared);
        all.for_each(|v| _ = self.volumes.entry(v).and_modify(|v| v.refill(self.now, &self.facts)));
        let heads = line.groups.values().flat_map(|g| g.iter().take(HEADS)).map(|w| (w.1, &self.xfers[&w.1]));
        let ready = heads.filter(|h| self.may_go(h.0, h.1, room)).map(|(id, x)| (self.due(x), x.slo_end, id));
        let best = ready.max_by(|a, b| a.0.total_cmp(&b.0).then((b.1, b.2).cmp(&(a.1, a.2))));
        best.map(|(due, _, id)| (due, id))
    }

    fn serve(&mut self, room: &Room, rng: &mut ChaCha8Rng) {
        let id = room.entry.node;
        let drawn: Vec<_> = self.drawn.extract_if((id, PoolId::ALL)..=(id, PoolId::LAST), |_| true).collect();
        // Where most of what hosts send fails, together they keep full nodes full, and crowded nodes serve
        // next to nothing: each sends no more than some times what came back in time.
        let earned = RETURN * self.good.read(self.now, RECENT) + 1.0;
        let seldom = self.seldom.get(&room.entry.zone).filter(|_| room.seldom);
        let shut = seldom.is_some_and(|s| s.out.len() >= s.window as usize);
        if room.slots == 0 || shut || self.sent.read(self.now, RECENT) > earned {
            return;
        }
        for further in [false, true] {
            let own = self.best((further, Where::Cell(room.entry.cell)), room);
            // A new object can wait for a node that nobody's data waits for, until half its time
            // is gone: where data lies unevenly, it would else crowd out what has one node only.
            let news =
                drawn.iter().filter_map(|d| Some((self.best((further, Where::Pool(d.1)), room)?, d.1)));
            let new = news.max_by(|a, b| a.0.0.total_cmp(&b.0.0));
            let must = |n: TransferId| self.now >= self.xfers[&n].half_time;
            let new = new.filter(|(n, _)| own.is_none_or(|o| n.0 > o.0 && must(n.1)));
            if let Some((_, id)) = new.map(|n| n.0).or(own) {
                self.send(id, room);
                return new.into_iter().for_each(|n| self.draw(n.1, rng));
            }
        }
    }

    /// Draws the node for the next new object: among a few, with odds in step with the room they have. Those
    /// without are asked anew. A cold one beyond the even part only where most are warm: never as a refuge.
    fn draw(&mut self, pool: PoolId, rng: &mut ChaCha8Rng) {
        let waits = |further| self.lines.contains_key(&(further, Where::Pool(pool)));
        let Some(ready) = self.ready.get(&pool).filter(|_| waits(false) || waits(true)) else { return };
        let few: Vec<_> = ready.choose_multiple(rng, SAMPLE).map(|nd| &self.rooms[nd]).collect();
        let warm = |r: &&&Room| r.slots > 0 && r.units.is_infinite();
        let cold = 2 * few.iter().filter(warm).count() > few.len() || few.iter().all(|r| r.units.is_finite());
        let fits = |r: &&&Room| r.slots > 0 && (cold || r.even >= self.facts.most_units);
        let takers: Vec<_> = few.iter().filter(fits).collect();
        let away = if self.homeless(pool).is_some() { 1.0 } else { FAR };
        let cost = |r: &Room| if self.facts.zone.is_some_and(|me| me != r.entry.zone) { away } else { 1.0 };
        let odds = |r: &&&Room| r.slots as f64 / r.latency.secs().max(1e-3) * cost(r);
        if let Ok(r) = takers.choose_weighted(rng, odds) {
            self.drawn.insert((r.entry.node, pool));
            self.outbox.push_back((r.entry.node, NodeNote::Beat));
        }
        self.outbox.extend(few.iter().filter(|r| r.slots == 0).map(|r| (r.entry.node, NodeNote::Beat)));
    }

    fn send(&mut self, id: TransferId, room: &Room) {
        self.leave_line(id);
        let Some(x) = self.xfers.get_mut(&id) else { return };
        self.resent.extend(self.facts.leg_budget.filter(|_| x.legs > 0).map(|_| self.now));
        let v = self.volumes.get_mut(&x.t.volume).expect("an open transfer's volume is known");
        if x.legs == 0 {
            v.level -= x.t.units;
            if self.facts.leg_wait > Span::ZERO && v.limit(&self.facts).is_some() {
                // Until it has gone out the burst is lower by it, as by a loan: none fills up behind it.
                let until = self.now + self.facts.leg_wait + BEAT_EVERY;
                v.lent.push_back((until, x.t.units));
            }
            if v.reserve >= x.t.units {
                v.reserve -= x.t.units;
            } else {
                v.extra.add(self.now, LAST, x.t.units / self.facts.plans[v.plan.0].weight.max(0.01));
            }
        }
        let slo_time = self.facts.stream_types[x.t.stream_type.0].slo_time.min(self.tight);
        let (t, leg, node) = (x.t.clone(), x.legs, room.entry.node);
        self.sent.add(self.now, RECENT, 1.0);
        let (zone, open) = (room.entry.zone, || Seldom { window: Node::CEILING, ..Seldom::default() });
        let seldom = &mut self.seldom.entry(zone).or_insert_with(open).out;
        seldom.extend(room.seldom.then_some(((id, leg), slo_time)));
        (x.legs, x.out) = (x.legs + 1, x.out + 1);
        x.maybe_ran.get_or_insert((leg, room.entry.cell, room.entry.zone, self.now));
        self.outbox.push_back((node, NodeNote::Out { id, leg, units: t.units, slo_time }));
        self.actions.push(Action::Leg { id, node, time_out: Some(x.slo_end - self.now) });
        let else_why = if leg == 0 { Cause::Bound } else { Cause::Further };
        let choice = self.homeless(t.pool).filter(|_| t.cell.is_none());
        self.cross(id, t.plan, (room.entry.zone, true), t.bytes, choice.unwrap_or(else_why));
    }
}
