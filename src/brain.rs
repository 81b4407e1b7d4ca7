//! Every decision of gullsail stands in this file. A caller makes one [`Brain`] for each life of a host
//! and calls [`Brain::step`] with the clock and the events since; it carries out the actions that come
//! back, in their order. Events, actions, ids and facts are those of the crate `gullsail-interface`.
//!
//! Read from the top: the loop ([`Brain`]), a storage node ([`Node`]: window, health, cold start), a
//! volume ([`Volume`]: token bucket, rate rule, loans, reserve), the desk ([`Desk`]: transfers, order,
//! legs, answers, labels). Parts talk only by notes put into inboxes that the loop empties.

use crate::fading::Fading;
use gullsail_interface::*;
use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub struct Brain {
    nodes: BTreeMap<NodeId, Node>,
    desk: Desk,
    rng: ChaCha8Rng,
}

impl Brain {
    pub fn new(facts: Facts, seed: u64, now: Instant) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Brain { nodes: BTreeMap::new(), desk: Desk::new(facts, now), rng }
    }

    pub fn step(&mut self, now: Instant, events: Vec<Event>) -> Vec<Action> {
        self.desk.now = now;
        for event in events {
            if let Event::List { extent, entries } = &event {
                self.list(*extent != Extent::Changes, entries);
            }
            self.desk.inbox.push_back(DeskNote::Event(event));
            self.empty_inboxes();
        }
        self.desk.freshen();
        while self.desk.serve(&mut self.rng) {
            self.empty_inboxes();
        }
        std::mem::take(&mut self.desk.actions)
    }

    fn list(&mut self, whole: bool, entries: &[NodeEntry]) {
        if whole {
            for nd in self.nodes.values_mut().filter(|nd| entries.iter().all(|e| e.node != nd.entry.node)) {
                let gone = NodeEntry { standing: Standing::Gone, ..nd.entry.clone() };
                nd.inbox.push_back(NodeNote::Listed(gone));
            }
        }
        for e in entries {
            let nd = self.nodes.entry(e.node).or_insert_with(|| Node::new(e.clone(), self.desk.now));
            nd.inbox.push_back(NodeNote::Listed(e.clone()));
        }
    }

    fn empty_inboxes(&mut self) {
        loop {
            while let Some(note) = self.desk.inbox.pop_front() {
                self.desk.take(note);
            }
            for (id, note) in std::mem::take(&mut self.desk.outbox) {
                if let Some(nd) = self.nodes.get_mut(&id) {
                    nd.inbox.push_back(note);
                }
            }
            for nd in self.nodes.values_mut().filter(|nd| !nd.inbox.is_empty()) {
                while let Some(note) = nd.inbox.pop_front() {
                    nd.take(note, self.desk.now);
                }
                self.desk.inbox.push_back(DeskNote::Room(nd.room(self.desk.now, &self.desk.facts)));
            }
            if self.desk.inbox.is_empty() && self.desk.outbox.is_empty() {
                return;
            }
        }
    }
}

/// The design measures demand over the last second; the other sums keep to the same span.
const LAST: Span = Span::from_micros(1_000_000);

enum NodeNote {
    Listed(NodeEntry),
    Out { id: TransferId, leg: u32, units: f64, slo_time: Span },
    Ended { id: TransferId, leg: u32, ending: Ending, took: Span },
    Beat,
}

#[derive(Default)]
struct Node {
    inbox: VecDeque<NodeNote>,
    entry: NodeEntry,
    window: f64,
    /// Below one where even a window of one is too much: legs are then spaced out.
    pace: f64,
    out: BTreeMap<(TransferId, u32), (Instant, Span)>, // when sent, and the SLO time
    /// Time that good answers took, their number, and that of errors.
    took: Fading,
    answers: Fading,
    errors: Fading,
    halved: Instant,
    overtaken: Instant, // when the latest leg was sent that has been answered
    heard: Instant,
    last_sent: Instant,
    cold_sent: Vec<ColdLeg>, // kept exactly: a rule counts it
}

type ColdLeg = ((TransferId, u32), Instant, f64, bool); // which, when, its units, whether it was served

#[derive(Clone)]
struct Room {
    entry: NodeEntry,
    slots: usize,
    units: f64, // how many it may be sent now; infinite once it is warm
    latency: Span,
    sick: bool,
}

impl Node {
    /// Ceiling of the design page.
    const CEILING: f64 = 32.0;
    /// "A few", says the design page.
    const START: f64 = 4.0;
    /// Late: more than this part of the SLO time went by in the node; the rest is for the wait at the host.
    const LATE: f64 = 0.4;
    /// A node is silent when a leg is out for so many times the usual latency and nothing came since.
    const SILENT: f64 = 3.0;
    const PACE_STEP: f64 = 0.25; // back at a window of one after a few good answers
    const LEAST_PACE: f64 = 0.125; // slower, and a host would learn nothing of it within most SLO times
    /// What is trusted of the growth that the ramp bounds promise to a cold node.
    const RAMP_TRUST: f64 = 0.8;
    /// What a served leg still counts: its work may be put off or have been cheap, so not nothing.
    const PROVEN: f64 = 0.33;
    /// A lone leg may be as large as this part of what is borne in any case, by however many hosts.
    const LONE_LEG: f64 = 0.25;

    fn new(entry: NodeEntry, now: Instant) -> Self {
        let window = Self::START;
        Node { entry, window, pace: 1.0, halved: now, heard: now, last_sent: now, ..Node::default() }
    }

    fn take(&mut self, note: NodeNote, now: Instant) {
        match note {
            NodeNote::Beat => {}
            NodeNote::Listed(e) => {
                if e.started > self.entry.started {
                    self.window = Self::START;
                    self.heard = now;
                }
                // The list is late: it can bring a drain at any time, but never takes one back unless
                // the node was started anew since.
                let ended = self.entry.standing != Standing::Ready && e.started <= self.entry.started;
                let standing = if ended { self.entry.standing } else { e.standing };
                self.entry = NodeEntry { standing, started: e.started.max(self.entry.started), ..e };
            }
            NodeNote::Out { id, leg, units, slo_time } => {
                self.out.insert((id, leg), (now, slo_time));
                self.last_sent = now;
                self.cold_sent.push(((id, leg), now, units, false));
            }
            NodeNote::Ended { id, leg, ending, took } => {
                let Some((sent, slo_time)) = self.out.remove(&(id, leg)) else { return };
                if ending == Ending::Broken {
                    // The process died: whatever answers next has just started, list or no list.
                    self.entry.started = self.entry.started.max(Some(now));
                } else if matches!(ending, Ending::Done | Ending::Failed | Ending::TurnedAway) {
                    (self.heard, self.overtaken) = (now, self.overtaken.max(sent));
                }
                let done = ending == Ending::Done;
                if done {
                    self.cold_sent.iter_mut().filter(|c| c.0 == (id, leg)).for_each(|c| c.3 = true);
                    self.took.add(now, LAST, took.secs());
                    self.answers.add(now, LAST, 1.0);
                } else if ending == Ending::Failed {
                    self.errors.add(now, LAST, 1.0);
                }
                if done && took <= slo_time.times(Self::LATE) {
                    if self.pace < 1.0 {
                        self.pace = (self.pace + Self::PACE_STEP).min(1.0);
                    } else if self.out.len() + 1 >= self.window as usize {
                        self.window = (self.window + 1.0 / self.window).min(Self::CEILING);
                    }
                } else if !matches!(ending, Ending::Unsent | Ending::Cancelled) {
                    self.halve(now);
                }
            }
        }
    }

    /// At most once a round trip: answers that are late together tell of one jam.
    fn halve(&mut self, now: Instant) {
        if now - self.halved > self.latency() {
            // Many hosts with a window of one each still jam a small or slowed node: below one, legs are
            // spaced. It costs idle time on a node that is late for one dear transfer only.
            self.pace = if self.window <= 1.0 { (self.pace / 2.0).max(Self::LEAST_PACE) } else { 1.0 };
            self.window = (self.window / 2.0).max(1.0);
            self.halved = now;
        }
    }

    fn latency(&self) -> Span {
        if self.answers.last() < 1e-9 {
            return Span::from_millis(20.0); // before the first answer: shorter than any usual SLO time
        }
        Span::from_millis(self.took.last() / self.answers.last() * 1e3)
    }

    /// How many units a cold node may be sent now; infinite once it is warm. What is borne in any case is
    /// split evenly between hosts and grows as the ramp promises. Legs that were served within the rule's
    /// window prove that there was room for them and count in part. Where an even part holds no whole
    /// transfer, a lone leg keeps reads alive.
    fn cold_room(&mut self, now: Instant, facts: &Facts) -> f64 {
        let cold = &facts.cold;
        let Some(age) = self.entry.started.map(|s| now - s).filter(|age| *age < cold.ramp) else {
            self.cold_sent.clear();
            return f64::INFINITY;
        };
        // A tenth longer than the rule's window: legs sent apart may arrive together.
        let since = now - cold.window.times(1.1);
        self.cold_sent.retain(|c| c.1 >= since);
        let gained = (age - cold.window).secs().max(0.0) / cold.ramp.secs();
        let growth = (1.0 - cold.first_part) * gained / cold.first_part.max(0.01);
        let part = cold.units / f64::from(facts.hosts.max(1)) * (1.0 + Self::RAMP_TRUST * growth);
        let weight = |c: &ColdLeg| if c.3 { c.2 * Self::PROVEN } else { c.2 };
        let left = part - self.cold_sent.iter().map(weight).sum::<f64>();
        let lone = left > 0.0 && self.cold_sent.iter().all(|c| c.3);
        if lone { left.max(cold.units * Self::LONE_LEG) } else { left }
    }

    fn room(&mut self, now: Instant, facts: &Facts) -> Room {
        let (units, sick) = (self.cold_room(now, facts), self.sick(now));
        let (slots, latency) = (self.slots(now, sick), self.latency());
        Room { entry: self.entry.clone(), slots, units, latency, sick }
    }

    /// Most of what it answered of late were errors. They come fast, so by its latency alone such a node
    /// would look the best of all and draw every new object: it gets one leg at a time, and none of
    /// those. Good against any fault that answers at once; it slows a node whose clients err.
    fn sick(&mut self, now: Instant) -> bool {
        self.took.read(now, LAST);
        let (done, errors) = (self.answers.read(now, LAST), self.errors.read(now, LAST));
        errors > done.max(1.0)
    }

    fn slots(&self, now: Instant, sick: bool) -> usize {
        if self.entry.standing != Standing::Ready {
            return 0;
        }
        let patience = self.latency().times(Self::SILENT);
        // Nodes serve in turn of arrival: a leg long out that later ones overtook has lost its answer on
        // the way, or is one dear transfer on one of the cores. It must not hold a slot until its expiry.
        let slow = |sent: Instant| now - sent > patience && sent < self.overtaken;
        let live = self.out.values().filter(|o| !slow(o.0)).count();
        let oldest = self.out.values().map(|o| o.0).filter(|sent| !slow(*sent)).min();
        if oldest.is_some_and(|sent| now - sent.max(self.heard) > patience) {
            // Stalled, dead or cut off, it looks the same: the rest stays here, where it can still be
            // given up or wait for a successor, and one careful leg at a time asks, ever more seldom.
            return usize::from(now - self.last_sent > (now - self.heard).times(0.5));
        }
        if sick {
            return usize::from(live == 0);
        }
        let spaced = self.pace >= 1.0 || now - self.last_sent > self.latency().times(1.0 / self.pace);
        if spaced { (self.window as usize).saturating_sub(live) } else { 0 }
    }
}

#[derive(Default)]
struct Volume {
    plan: PlanId,
    hosts: f64,
    asked: Fading,
    labelled: f64, // what was asked a second when the last label went out
    level: f64,
    at: Instant,
    unsure_until: Instant, // until when loans from before a kill may run
    reserve: f64,
    extra: Fading, // units sent past the reserve, by weight
    peers: BTreeMap<HostId, Peer>,
}

#[derive(Default)]
struct Peer {
    stamp: Instant,
    asked: f64,
    borrowed: (f64, Instant),
    lent: Vec<(f64, Instant)>,
}

impl Volume {
    /// Demand of the hosts that spoke lately, how many did not, and what all asked.
    fn known(&self, now: Instant, own: f64) -> (Vec<(HostId, f64)>, f64, f64) {
        let fresh = self.peers.iter().filter(|(_, p)| now - p.stamp < EPOCH.times(LABEL_EPOCHS));
        let known: Vec<_> = fresh.map(|(h, p)| (*h, p.asked)).collect();
        let unknown = (self.hosts - 1.0 - known.len() as f64).max(0.0);
        let all = own + known.iter().map(|(_, d)| d).sum::<f64>();
        (known, unknown, all)
    }

    /// Brings the stores up to `now`. Loans are read so that an error is always on the low side: what is
    /// lent counts as gone for the whole span since the last call, what is borrowed only if it still is.
    fn refill(&mut self, now: Instant, facts: &Facts) {
        let (plan, most_units) = (&facts.plans[self.plan.0], facts.most_units);
        let span = (now - self.at).secs().max(0.0);
        let lent = self.peers.values().map(Peer::lent).sum::<f64>() + self.lent_before_birth(plan);
        let borrowed: f64 = self.peers.values().filter(|p| p.borrowed.1 > now).map(|p| p.borrowed.0).sum();
        for p in self.peers.values_mut() {
            p.lent.retain(|l| l.1 > now);
        }
        if let Some(limit) = plan.limit {
            let rate = (limit.rate / self.hosts - lent + borrowed).max(0.0);
            let cap = limit.burst * rate / limit.rate;
            self.level = (self.level + rate * span).min(cap);
        }
        let own = self.asked.read(now, LAST);
        let (_, unknown, all) = self.known(now, own);
        let part = if all > 0.0 { own / all * (1.0 - unknown / self.hosts) } else { 1.0 / self.hosts };
        let rate = plan.reserve * part.max(1.0 / self.hosts / 2.0);
        self.reserve = (self.reserve + rate * span).min(rate + most_units);
        self.at = self.at.max(now);
    }

    fn lent_before_birth(&self, plan: &Plan) -> f64 {
        let unsure = self.hosts > 1.0 && self.at < self.unsure_until;
        plan.limit.filter(|_| unsure).map_or(0.0, |l| l.rate / self.hosts * LEND_PART)
    }

    /// The rate rule of the design page, and what of its even part this host lends, until when, to whom.
    fn lend(&mut self, now: Instant, facts: &Facts, until: Instant) -> BTreeMap<HostId, f64> {
        let plan = &facts.plans[self.plan.0];
        let Some(limit) = plan.limit else { return BTreeMap::new() };
        let (even, own) = (limit.rate / self.hosts, self.asked.last());
        let (known, unknown, all) = self.known(now, own);
        // A host without a label takes, or may take, its even part.
        let (pool, heads) = (limit.rate - even * unknown, known.len() as f64 + 1.0);
        let target = |d: f64| if all < pool { d + (pool - all) / heads } else { d * pool / all };
        // The cap that is left must hold one largest transfer.
        let floor = limit.rate * facts.most_units / limit.burst.max(facts.most_units);
        let floor = floor.max(even * (1.0 - LEND_PART));
        let spare = (even - target(own).max(floor)).max(0.0);
        let wants: Vec<_> = known.iter().map(|(h, d)| (*h, (target(*d) - even).max(0.0))).collect();
        let wanted = wants.iter().map(|w| w.1).sum::<f64>().max(spare).max(1e-9);
        // Loans that still run elsewhere stay lent: together they never pass what is there to lend.
        let mut left = even - floor - self.peers.values().map(Peer::lent).sum::<f64>();
        left -= self.lent_before_birth(plan);
        let mut loans = BTreeMap::new();
        for (h, want) in wants {
            let Some(p) = self.peers.get_mut(&h) else { continue };
            let loan = label::rounded((want * spare / wanted).min(p.lent() + left.max(0.0)));
            left -= (loan - p.lent()).max(0.0);
            p.lent.push((loan, until));
            loans.insert(h, loan);
        }
        loans
    }
}

impl Peer {
    fn lent(&self) -> f64 {
        self.lent.iter().map(|l| l.0).fold(0.0, f64::max)
    }
}

/// Hosts recompute at common points of the clock. A quarter second: loans follow a surge sooner than
/// with the design's second, and a newborn soon knows that none of before its birth still runs.
const EPOCH: Span = Span::from_micros(250_000);
/// Labels age out after so many epochs, a second: some may be lost without harm.
const LABEL_EPOCHS: f64 = 4.0;
/// A loan runs to the end of the epoch after the one it was made in, so that its renewal overlaps it.
const LOAN_EPOCHS: i64 = 2;
const LEND_PART: f64 = 0.5; // at most: so that a newborn can at once count on the other half

enum DeskNote {
    Event(Event),
    Room(Room),
}

#[derive(Default)]
struct Xfer {
    t: Transfer,
    slo_end: Instant,
    half_time: Instant, // when half of the time until then is gone
    legs: u32,
    out: u32,
    /// The first leg that did not prove that it never ran: its number, where, since when.
    maybe_ran: Option<(u32, CellId, ZoneId, Instant)>,
    /// It has its final answer, or a stream has begun that is now the client's.
    closed: bool,
}

/// The transfers of one object whose stream type keeps order, in order of arrival.
#[derive(Default)]
struct Turn {
    line: VecDeque<TransferId>,
    idle_until: Instant,
}

#[derive(Default)]
struct Desk {
    inbox: VecDeque<DeskNote>,
    outbox: Vec<(NodeId, NodeNote)>,
    actions: Vec<Action>,
    now: Instant,
    born: Instant,
    facts: Facts,
    rooms: BTreeMap<NodeId, Room>,
    xfers: BTreeMap<TransferId, Xfer>,
    first: Vec<TransferId>,
    /// Further legs wait in a line of their own, served after first legs.
    further: Vec<TransferId>,
    turns: BTreeMap<ObjectId, Turn>,
    volumes: BTreeMap<VolumeId, Volume>,
    /// What volumes that go past their reserves were sent of late, by weight, in the mean.
    fair: f64,
    longest_ttl: BTreeMap<StreamTypeId, Span>,
    last_object: BTreeMap<NodeId, ObjectId>,
    accepted: VecDeque<Instant>,
    resent: VecDeque<Instant>,
    ask_again: Span,
}

/// A repeat on the same object is taken to cost about half; any figure above one groups such legs.
const AT_HAND: f64 = 2.0;
/// What part of a node's mean time most answers take: times are skewed, their median lies below the mean.
const USUAL: f64 = 0.7;
const TIGHT: f64 = 2.0; // what its own work may take it past the tightest, with no jam to blame
const BEAT: TimerId = TimerId(1 << 40);
const NEXT_EPOCH: TimerId = TimerId(BEAT.0 + 1);
const ASK_LIST: TimerId = TimerId(BEAT.0 + 2);
const BEAT_EVERY: Span = Span::from_micros(10_000); // small against any SLO time
/// Waits before the list is asked again: from a few round trips, doubled, to a minute's eighth.
const ASK_FIRST: Span = Span::from_micros(500_000);
const ASK_LAST: Span = Span::from_micros(7_500_000);

impl Desk {
    fn new(facts: Facts, now: Instant) -> Self {
        let mut desk = Desk { now, born: now, facts, ask_again: ASK_FIRST, ..Desk::default() };
        if desk.facts.list_asked {
            desk.actions.push(Action::Watch);
        }
        desk.timer(BEAT, now + BEAT_EVERY);
        desk.timer(NEXT_EPOCH, desk.epoch_end(1));
        desk
    }

    fn timer(&mut self, id: TimerId, at: Instant) {
        self.actions.push(Action::Timer { id, at });
    }

    fn epoch_end(&self, epochs: i64) -> Instant {
        let e = EPOCH.micros();
        Instant::from_micros((self.now.micros().div_euclid(e) + epochs) * e)
    }

    fn take(&mut self, note: DeskNote) {
        match note {
            DeskNote::Room(room) => {
                self.rooms.insert(room.entry.node, room);
            }
            DeskNote::Event(Event::Arrived(t)) => self.accept(t),
            DeskNote::Event(Event::LegEnded { id, leg, node, ending, took, finished }) => {
                self.outbox.push((node, NodeNote::Ended { id, leg, ending, took }));
                self.leg_ended(id, leg, node, ending, finished);
            }
            DeskNote::Event(Event::StreamBegan { id, .. }) => {
                if let Some(x) = self.xfers.get_mut(&id) {
                    x.closed = true;
                }
            }
            DeskNote::Event(Event::ClientLeft(id)) => self.close(id),
            DeskNote::Event(Event::PeerSaid { from, bytes }) => self.hear(from, &bytes),
            DeskNote::Event(Event::ListLost) => {
                // All hosts call again when the list was down: each by its number a little apart.
                let place = f64::from(self.facts.me.0) / f64::from(self.facts.hosts.max(1));
                let wait = self.ask_again.times(0.5 + 0.5 * place);
                self.ask_again = self.ask_again.times(2.0).min(ASK_LAST);
                self.timer(ASK_LIST, self.now + wait);
            }
            DeskNote::Event(Event::List { extent: Extent::Remembered, .. }) => {}
            DeskNote::Event(Event::List { .. }) => self.ask_again = ASK_FIRST,
            DeskNote::Event(Event::Timer(BEAT)) => {
                self.outbox.extend(self.rooms.keys().map(|nd| (*nd, NodeNote::Beat)));
                self.look_over();
                self.timer(BEAT, self.now + BEAT_EVERY);
            }
            DeskNote::Event(Event::Timer(NEXT_EPOCH)) => {
                self.tell(None);
                self.timer(NEXT_EPOCH, self.epoch_end(1));
            }
            DeskNote::Event(Event::Timer(ASK_LIST)) => self.actions.push(Action::Watch),
            DeskNote::Event(Event::Timer(TimerId(id))) => self.give_up(TransferId(id)),
        }
    }

    fn accept(&mut self, mut t: Transfer) {
        t.volume = label::carried(t.volume);
        let (now, id, volume) = (self.now, t.id, t.volume);
        let f = &self.facts;
        let (Some(s), true) = (f.stream_types.get(t.stream_type.0), t.plan.0 < f.plans.len()) else { return };
        if f.leg_budget.is_some() {
            self.accepted.push_back(now);
        }
        // A client's next try has less time than its first had: the SLO time has run all the while. With
        // less than the SLO time, it is hardly that, but an impatient first one: useful until its expiry.
        let longest = self.longest_ttl.entry(t.stream_type).or_insert(t.ttl);
        *longest = t.ttl.max(*longest);
        let left = if t.ttl < s.slo_time { t.ttl } else { s.slo_time - (*longest - t.ttl) };
        let (slo_end, half_time) = (now + left, now + left.times(0.5));
        if let (true, Some(object)) = (s.in_order, t.object) {
            self.turns.entry(object).or_default().line.push_back(id);
        }
        let v = self.volumes.entry(volume).or_insert_with(|| Volume {
            plan: t.plan,
            hosts: 1.0,
            // A newborn can't know what it spent before a kill: its bucket starts empty. Nor what it
            // had lent: until any such loan has ended it fills only by what is never lent.
            at: self.born,
            unsure_until: self.born + EPOCH.times(LOAN_EPOCHS as f64),
            ..Volume::default()
        });
        if f64::from(t.volume_hosts) > v.hosts {
            v.hosts = f64::from(t.volume_hosts);
            (v.at, v.level) = (v.at.max(self.born), 0.0);
        }
        v.asked.add(now, LAST, t.units);
        let rise = v.asked.last() > 1.5 * v.labelled + 2.0 * self.facts.most_units && v.hosts > 1.0;
        let expiry = now + t.ttl - self.facts.tick - self.facts.tick;
        self.timer(TimerId(id.0), expiry);
        self.first.push(id);
        self.xfers.insert(id, Xfer { t, slo_end, half_time, ..Xfer::default() });
        if rise {
            self.tell(Some(volume));
        }
    }

    fn leg_ended(&mut self, id: TransferId, leg: u32, node: NodeId, ending: Ending, finished: bool) {
        let Some(x) = self.xfers.get_mut(&id) else { return };
        x.out = x.out.saturating_sub(1);
        x.maybe_ran = x.maybe_ran.filter(|m| m.0 != leg || !ending.never_ran());
        let unknown = matches!(ending, Ending::TimedOut | Ending::Broken | Ending::Cancelled);
        if let (true, Some(turn)) = (unknown, x.t.object.and_then(|o| self.turns.get_mut(&o))) {
            turn.idle_until = turn.idle_until.max(self.now + self.facts.order_settle);
        }
        if x.closed || finished {
            return self.close(id);
        } else if x.out > 0 {
            return;
        }
        let latency = self.rooms.get(&node).map_or(Span::ZERO, |r| r.latency);
        let in_time = self.now + latency < x.slo_end;
        // After a time-out another leg mostly does the same work twice.
        let again = in_time && ending != Ending::TimedOut && x.legs < self.facts.most_legs;
        // A keyed one may repeat where its repeats are known: `may_go` sees to that.
        let effect = self.facts.stream_types[x.t.stream_type.0].effect;
        let allowed = effect != Effect::Unrepeatable || x.maybe_ran.is_none();
        if again && allowed {
            self.further.push(id);
        } else {
            self.give_up(id);
        }
    }

    /// The final answer of a transfer that gets no more legs, at once.
    fn give_up(&mut self, id: TransferId) {
        let Some(x) = self.xfers.get(&id).filter(|x| !x.closed) else { return };
        let may_defer = match self.facts.stream_types[x.t.stream_type.0].effect {
            Effect::Repeatable | Effect::Keyed { group: Group::All, .. } => true,
            _ => x.maybe_ran.is_none() && x.out == 0,
        };
        let node = self.rooms.values().find(|r| Some(r.entry.cell) == x.t.cell);
        let advice = node.map_or(EPOCH, |r| r.latency);
        let come_back = self.facts.longest_advice.map(|most| advice.min(most));
        self.actions.push(if may_defer { Action::Defer { id, come_back } } else { Action::Abandon { id } });
        self.close(id);
    }

    fn leave_lines(&mut self, id: TransferId) {
        self.first.retain(|other| *other != id);
        self.further.retain(|other| *other != id);
    }

    fn close(&mut self, id: TransferId) {
        self.leave_lines(id);
        let Some(x) = self.xfers.get_mut(&id) else { return };
        x.closed = true;
        if x.out > 0 {
            return;
        }
        if let Some(turn) = x.t.object.and_then(|o| self.turns.get_mut(&o)) {
            turn.line.retain(|other| *other != id);
        }
        self.xfers.remove(&id);
    }

    /// Gives up what can no longer be answered within its SLO time, and refreshes what order rests on.
    fn look_over(&mut self) {
        let now = self.now;
        let lost = self.first.iter().chain(&self.further).filter(|id| {
            let x = &self.xfers[id];
            let nodes = self.rooms.values().filter(|r| x.t.cell.is_none_or(|c| c == r.entry.cell));
            let soonest = nodes.map(|r| r.latency).min().unwrap_or(Span::ZERO);
            now + soonest.times(USUAL) >= x.slo_end
        });
        for id in lost.copied().collect::<Vec<_>>() {
            self.give_up(id);
        }
        self.turns.retain(|_, t| !t.line.is_empty() || t.idle_until > now);
        let (mut sum, mut busy) = (0.0, 0.0);
        for v in self.volumes.values_mut() {
            v.refill(now, &self.facts);
            let extra = v.extra.read(now, LAST);
            (sum, busy) = (sum + extra, busy + f64::from(extra > 0.1));
        }
        self.fair = sum / f64::max(busy, 1.0);
    }

    /// Benefit still due per unit.
    fn due(&self, x: &Xfer, room: &Room) -> f64 {
        let f = &self.facts;
        let (v, s) = (&self.volumes[&x.t.volume], &f.stream_types[x.t.stream_type.0]);
        let full = s.benefit * f.plans[v.plan.0].price;
        if self.now + room.latency.times(USUAL) > x.slo_end {
            return full * s.late_part * f.spare_part;
        }
        if v.reserve >= x.t.units {
            return full;
        }
        // The weighted share: who was sent less than the others, by weight, is inside it.
        let over = (self.fair / v.extra.last().max(1e-9)).min(1.0);
        full * (f.spare_part + (f.share_part - f.spare_part) * over)
    }

    /// May this transfer have a leg at that node now, by the rules and the volume's tokens?
    fn may_go(&self, id: TransferId, x: &Xfer, room: &Room) -> bool {
        let f = &self.facts;
        let s = &f.stream_types[x.t.stream_type.0];
        if room.slots == 0 || room.units < x.t.units {
            return false;
        }
        if let (Effect::Keyed { group, window }, Some((_, cell, zone, since))) = (s.effect, x.maybe_ran) {
            let same = match group {
                Group::All => true,
                Group::Zone => zone == room.entry.zone,
                Group::Cell => cell == room.entry.cell,
            };
            if !same || self.now - since >= window {
                return false;
            }
        }
        if x.legs > 0 {
            let (resent, accepted) = (self.resent.len() as f64, self.accepted.len() as f64);
            return f.leg_budget.is_none_or(|b| resent + 1.0 <= b.free + b.share * accepted);
        }
        if let (true, Some(turn)) = (s.in_order, x.t.object.and_then(|o| self.turns.get(&o)))
            && (turn.line.front() != Some(&id) || self.now < turn.idle_until)
        {
            return false;
        }
        let v = &self.volumes[&x.t.volume];
        f.plans[v.plan.0].limit.is_none() || v.level >= x.t.units
    }

    /// The first in order of a line that may go to the node.
    fn best(&self, line: &[TransferId], cell: Option<CellId>, room: &Room) -> Option<(f64, TransferId)> {
        let here = line.iter().map(|id| (*id, &self.xfers[id])).filter(|(_, x)| x.t.cell == cell);
        let ready = here.filter(|(id, x)| self.may_go(*id, x, room));
        // What the node had last it still has at hand: one more for the same object is cheap.
        let last = self.last_object.get(&room.entry.node);
        let cheap =
            |x: &Xfer| if x.t.object.is_some() && x.t.object.as_ref() == last { AT_HAND } else { 1.0 };
        let ranked = ready.map(|(id, x)| (self.due(x, room) * cheap(x), x.slo_end, id));
        ranked
            .max_by(|a, b| a.0.total_cmp(&b.0).then((b.1, b.2).cmp(&(a.1, a.2))))
            .map(|(due, _, id)| (due, id))
    }

    /// Brings what serving rests on up to date, once for all that is sent at one time.
    fn freshen(&mut self) {
        if let Some(b) = self.facts.leg_budget {
            self.accepted.retain(|at| *at > self.now - b.window);
            self.resent.retain(|at| *at >= self.now - b.window);
        }
        let waiting: BTreeSet<VolumeId> = self.first.iter().map(|id| self.xfers[id].t.volume).collect();
        for (_, v) in self.volumes.iter_mut().filter(|v| waiting.contains(v.0)) {
            v.refill(self.now, &self.facts);
        }
    }

    /// Sends what can go now, at most one leg for each node; tells whether any went.
    fn serve(&mut self, rng: &mut ChaCha8Rng) -> bool {
        let mut open = self.rooms.clone();
        open.retain(|_, r| r.slots > 0);
        let before = self.actions.len();
        for further in [false, true] {
            loop {
                let line = if further { &self.further } else { &self.first };
                // What each open node would serve next of its own data, and of the new objects.
                let offers: Vec<_> = open
                    .values()
                    .filter_map(|r| {
                        let own = self.best(line, Some(r.entry.cell), r);
                        // A new object can wait for a node that nobody's data waits for, until half its time
                        // is gone: where data lies unevenly, it would else crowd out what has one node only.
                        let must = |n: TransferId| self.now >= self.xfers[&n].half_time;
                        let mut new = self.best(line, None, r);
                        new.take_if(|n| r.sick || own.is_some_and(|o| n.0 <= o.0 || !must(n.1)));
                        Some((new.or(own)?, new.is_some(), r))
                    })
                    .collect();
                let Some(&((_, id), new, room)) = offers.iter().max_by(|a, b| a.0.0.total_cmp(&b.0.0)) else {
                    break;
                };
                let mut node = room.entry.node;
                if new {
                    // Drawn among the nodes that offer it room; a cold one only if no other does.
                    let mut takers: Vec<&Room> =
                        offers.iter().filter(|o| o.0.1 == id && o.1).map(|o| o.2).collect();
                    if takers.iter().any(|r| r.units.is_infinite()) {
                        takers.retain(|r| r.units.is_infinite());
                    }
                    let odds = |r: &&Room| r.slots as f64 / r.latency.secs().max(1e-3);
                    node = takers.choose_weighted(rng, odds).map_or(node, |r| r.entry.node);
                }
                let room = open.remove(&node).expect("drawn from the open ones");
                self.send(id, &room);
            }
        }
        self.actions.len() > before
    }

    fn send(&mut self, id: TransferId, room: &Room) {
        self.leave_lines(id);
        let Some(x) = self.xfers.get_mut(&id) else { return };
        if x.legs > 0 && self.facts.leg_budget.is_some() {
            self.resent.push_back(self.now);
        }
        let v = self.volumes.get_mut(&x.t.volume).expect("an open transfer's volume is known");
        if x.legs == 0 {
            // Units are drawn once for each transfer, at its first leg.
            v.level -= x.t.units;
            if v.reserve >= x.t.units {
                v.reserve -= x.t.units;
            } else {
                v.extra.add(self.now, LAST, x.t.units / self.facts.plans[v.plan.0].weight.max(0.01));
            }
        }
        // All stream types queue together in the node: a patient one must not grow what jams the tightest.
        let tightest = self.facts.stream_types.iter().map(|s| s.slo_time).min().unwrap_or_default();
        let slo_time = self.facts.stream_types[x.t.stream_type.0].slo_time.min(tightest.times(TIGHT));
        let (leg, units, node) = (x.legs, x.t.units, room.entry.node);
        x.legs += 1;
        x.out += 1;
        x.maybe_ran.get_or_insert((leg, room.entry.cell, room.entry.zone, self.now));
        if let Some(object) = x.t.object {
            self.last_object.insert(node, object);
        }
        self.outbox.push((node, NodeNote::Out { id, leg, units, slo_time }));
        self.actions.push(Action::Leg { id, node, time_out: None });
    }

    /// Labels for the hosts of each volume; of one whose demand rose suddenly, before the epoch's end.
    fn tell(&mut self, only: Option<VolumeId>) {
        if !self.facts.peers_talk || self.facts.hosts < 2 {
            return;
        }
        let (now, until) = (self.now, self.epoch_end(LOAN_EPOCHS));
        let mut labels: BTreeMap<HostId, Vec<label::Line>> = BTreeMap::new();
        for (id, v) in self.volumes.iter_mut() {
            if v.hosts <= 1.0 || only.is_some_and(|o| o != *id) {
                continue;
            }
            v.refill(now, &self.facts);
            let own = v.asked.last();
            v.labelled = own;
            let loans = v.lend(now, &self.facts, until);
            // The lender lowers itself before the label goes out, its cap and level too.
            v.refill(now, &self.facts);
            let complete = v.peers.len() as f64 >= v.hosts - 1.0;
            for h in (0..self.facts.hosts).map(HostId).filter(|h| *h != self.facts.me) {
                if v.peers.contains_key(&h) || (!complete && own > 0.1) {
                    let lent = loans.get(&h).copied().unwrap_or(0.0);
                    labels.entry(h).or_default().push(label::Line { volume: *id, asked: own, lent });
                }
            }
        }
        let until = until.micros().div_euclid(EPOCH.micros()) as u32;
        for (to, lines) in labels {
            for part in lines.chunks(label::LINES) {
                self.actions.push(Action::Tell { to, bytes: label::pack(now, until, part) });
            }
        }
    }

    fn hear(&mut self, from: HostId, bytes: &[u8]) {
        let Some((stamp, until, lines)) = label::unpack(bytes) else { return };
        let until = Instant::from_micros(i64::from(until) * EPOCH.micros());
        // The lender's clock is ours: a label from the future, or a loan past its longest, is foreign.
        if stamp > self.now || until > self.epoch_end(LOAN_EPOCHS) || from == self.facts.me {
            return;
        }
        for l in lines {
            let Some(v) = self.volumes.get_mut(&l.volume) else { continue };
            v.refill(self.now, &self.facts);
            let p = v.peers.entry(from).or_default();
            // Late and repeated labels: the newest counts. The borrower falls back a tick before the end.
            if stamp > p.stamp {
                (p.stamp, p.asked, p.borrowed) = (stamp, l.asked, (l.lent, until - self.facts.tick));
            }
        }
    }
}
