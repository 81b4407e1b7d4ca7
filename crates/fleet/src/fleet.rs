//! One host's part in the fleet: [`Fleet::handle`] takes what happened, [`Fleet::advance`] plays what is due,
//! [`Fleet::outputs`] says whom to tell what. No clock, no socket; chance from a seed. What a host may use at some point
//! is [`Fleet::share`], and [`Fleet::changed`] tells that it differs from before. Deciding is in `deciding`, what messages
//! say and lead to in `messages`.

mod coordination;
mod maintenance;
mod messages;

pub use maintenance::Answer;

use crate::allocation::Shares;
use crate::config::{FleetConfig, WHOLE};
use crate::coordinator::{Answered, Coordinator, MemberState, Renewal};
use crate::demand::Demand;
use crate::lease::{Ballot, Bid, Office, Vote, Voter, tick};
use crate::lease_holder::Holder;
use crate::maintenance::coordinator::MaintenanceCoordinator;
use crate::maintenance::{Line, ServerId, Servers};
use crate::status::{BudgetStatus, Counts, MemberStatus, Status};
use gullsail_protocol::{FleetCommand, FleetMember, FleetMessage, FleetPart, FleetWhat};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use tracing::{info, warn};

/// Of these rules; messages by others are dropped.
pub const RULES: u32 = 1;

#[derive(Clone, Debug)]
pub enum Event {
    /// A message came on the link of this host.
    Message { link: HostId, message: FleetMessage },
    /// Clients ask for so much of a budget.
    Asked { budget: VolumeId, units: f64 },
    /// Another document.
    Config(Arc<FleetConfig>),
    /// All is answered: nothing is used any more.
    Leave,
    /// Machines as this host sees them, and those that it let go of: no attempt, no connection.
    Sees { servers: Servers, let_go: BTreeSet<ServerId> },
    /// An operator's word; what it comes to is among [`Fleet::answers`] under this number.
    OperatorCommand { number: u64, command: FleetCommand },
}

/// To be told to a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    pub to: HostId,
    pub message: FleetMessage,
}

/// How far leaving has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Going {
    No,
    /// Said, and waited for until then.
    Said(Instant),
    Gone,
}

#[derive(Clone, Debug)]
pub struct Fleet {
    me: HostId,
    incarnation: u64,
    terms: Arc<FleetConfig>,
    rng: ChaCha8Rng,
    now: Instant,
    voter: Voter,
    office: Office,
    chair: Option<Coordinator>,
    holder: Holder,
    demand: Demand,
    epoch: u64,
    members: Vec<FleetMember>,
    /// Another process holds this name, as a coordinator said; until then nothing is used.
    fenced: bool,
    going: Going,
    ask_at: Instant,
    /// When there is something to do again, unless a message comes.
    due: Instant,
    out: Vec<Output>,
    own: VecDeque<FleetMessage>,
    changed: bool,
    maintenance: maintenance::Maintenance,
    maintenance_coordinator: Option<MaintenanceCoordinator>,
    dropped: BTreeMap<&'static str, u64>,
    counts: Counts,
}

/// Hosts that are no members are asked so often, in leases: one that is gone for good costs next to nothing.
const ASK: f64 = 0.5;

impl Fleet {
    /// `incarnation` and `seed` are drawn anew for each incarnation of a host.
    pub fn new(terms: Arc<FleetConfig>, me: HostId, incarnation: u64, seed: u64, now: Instant) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ incarnation);
        let voter = Voter::new(&terms, now);
        let wait = terms.office().times(rng.random_range(0.0..0.5));
        // Rounds begin at the clock's milliseconds: past those of earlier incarnations, unless clocks are far off. Nothing rests
        // on it: a voter takes one ballot of one incarnation alone.
        let office = Office::new(me, (now.micros() / 1000).max(0) as u64, voter.mute_until() + wait);
        Fleet {
            me,
            incarnation,
            rng,
            now,
            voter,
            office,
            chair: None,
            holder: Holder::new(now),
            demand: Demand::default(),
            epoch: 0,
            members: Vec::new(),
            fenced: false,
            going: Going::No,
            ask_at: now,
            due: now,
            out: Vec::new(),
            own: VecDeque::new(),
            changed: false,
            maintenance: maintenance::Maintenance::default(),
            maintenance_coordinator: None,
            dropped: BTreeMap::new(),
            counts: Counts::default(),
            terms,
        }
    }

    /// What may be used of a budget now, in millionths of the whole.
    pub fn share(&self, budget: VolumeId) -> u32 {
        self.share_at(budget, self.now)
    }

    /// The same, at a point that may be later than what was handled so far.
    pub fn share_at(&self, budget: VolumeId, now: Instant) -> u32 {
        if self.fenced || self.going != Going::No {
            return 0;
        }
        let floor = self.terms.budgets.get(&budget).map_or(0, |b| b.floor(self.me));
        self.holder.share(budget, now).unwrap_or(floor)
    }

    /// What may be used of each budget now, and how long the lease lasts that it rests on; `None`: there is none.
    pub fn parts(&self) -> (impl Iterator<Item = (VolumeId, u32)>, Option<Span>) {
        let parts = self.terms.budgets.keys().map(|id| (*id, self.share(*id)));
        (parts, self.holder.until().map(|until| until - self.now))
    }

    /// Since this was last asked, shares became others or may have.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Does this host decide, at that point?
    pub fn decides(&self, now: Instant) -> bool {
        self.chair.is_some() && self.office.held(now).is_some()
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Hosts that count for nothing but their floor: out, or gone as they said, by the newest word of a coordinator.
    pub fn out(&self) -> impl Iterator<Item = HostId> {
        let out =
            |m: &&FleetMember| matches!(MemberState::of(m.state), Some(MemberState::Out | MemberState::Left));
        self.members.iter().filter(out).map(|m| HostId(m.host))
    }

    /// All that it held is given back, or nobody takes it.
    pub fn gone(&self) -> bool {
        self.going == Going::Gone
    }

    pub fn handle(&mut self, now: Instant, event: Event) {
        self.turn(now);
        if !matches!(event, Event::Asked { .. } | Event::Sees { .. }) {
            self.due = now;
        }
        match event {
            Event::Message { link, message } => {
                self.counts.messages_in += 1;
                self.message(link, message);
            }
            Event::Asked { budget, units } => self.demand.add(budget, units, now),
            Event::Config(terms) => {
                self.terms = terms;
                if let Some(chair) = &mut self.chair {
                    chair.retell(&self.terms);
                }
                self.changed = true;
            }
            Event::Leave if self.going == Going::No => {
                info!("leaving the fleet: nothing is used any more");
                self.going = Going::Said(now + self.terms.lease);
                self.changed = true;
                self.say_leave();
            }
            Event::Leave => {}
            Event::Sees { servers, let_go } => {
                (self.maintenance.sees, self.maintenance.let_go) = (servers, let_go)
            }
            Event::OperatorCommand { number, command } => self.command_finished(number, command),
        }
        self.own_messages();
    }

    /// Plays what is due. Between two points that are due it costs next to nothing.
    pub fn advance(&mut self, now: Instant) {
        self.turn(now);
        if now < self.due {
            return;
        }
        if let Going::Said(until) = self.going {
            if now >= until {
                self.going = Going::Gone;
            }
        } else {
            self.bid();
            self.decide();
            self.say_commands();
            let question = self.holder.question(&self.terms, now, &mut self.rng);
            if let Some((number, detour)) = question {
                self.renew(number, detour);
            }
        }
        self.own_messages();
        self.due = self.soonest();
    }

    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.out.drain(..)
    }

    /// When to call again at the latest.
    pub fn next(&self) -> Instant {
        self.due
    }

    fn soonest(&self) -> Instant {
        let mut next = self.holder.next();
        if self.terms.is_voter(self.me) {
            next = next.min(self.office.next());
        }
        if self.chair.is_some() {
            next = next.min(self.now + tick(&self.terms));
        }
        if let Going::Said(until) = self.going {
            next = next.min(until);
        }
        self.maintenance_next().into_iter().fold(next, Instant::min)
    }

    /// First of all, whatever happened: what is over by this clock is over. A process that stood still sees it here,
    /// before it does anything.
    fn turn(&mut self, now: Instant) {
        self.now = self.now.max(now);
        if self.holder.expire(self.now) {
            self.counts.leases_lost += 1;
            self.changed = true;
            warn!(member = self.me.0, epoch = self.epoch, "lease is over: floors count until there is one");
        }
        if self.chair.is_some() && self.office.held(self.now).is_none() {
            (self.chair, self.maintenance_coordinator) = (None, None);
            warn!(member = self.me.0, epoch = self.epoch, "no longer coordinator: its lease is over");
        }
        self.maintenance_turn();
    }

    // Seeking and keeping the lease on deciding.

    fn bid(&mut self) {
        // One whose machine goes hands over first, and seeks it no more.
        if !self.terms.is_voter(self.me) || self.now < self.voter.mute_until() || self.goes() {
            return;
        }
        let live = self.voter.live(self.now);
        let busy = live.filter(|(who, _)| *who != (self.me, self.incarnation)).map(|(_, until)| until);
        if let Some(bid) = self.office.advance(&self.terms, busy, self.now, &mut self.rng) {
            self.tell_voters(bid);
        }
    }

    fn tell_voters(&mut self, bid: Bid) {
        let (what, ballot, number) = match bid {
            Bid::Prepare(ballot) => (FleetWhat::Prepare, ballot, 0),
            Bid::Propose(ballot, number) => (FleetWhat::Propose, ballot, number),
        };
        for voter in self.terms.voters().collect::<Vec<_>>() {
            let message =
                FleetMessage { number, round: ballot.round, by: ballot.by, ..self.blank(what, voter, 0) };
            self.tell(message, None);
        }
    }

    fn voted(&mut self, n: &FleetMessage, link: HostId) {
        let (ballot, who) = (Ballot { round: n.round, by: n.by }, (HostId(n.from), n.from_incarnation));
        self.office.heard_of(ballot);
        let vote = if n.what() == FleetWhat::Prepare {
            self.voter.prepare(ballot, who, self.now)
        } else {
            self.voter.propose(&self.terms, ballot, who, self.now)
        };
        let (what, of, number) = match vote {
            Vote::Mute => return,
            Vote::Refused(later) => (FleetWhat::Refuse, later, 0),
            Vote::Promised { taken } => (FleetWhat::Promise, ballot, u64::from(taken)),
            Vote::Accepted => (FleetWhat::Accept, ballot, n.number),
        };
        let message = FleetMessage { round: of.round, by: of.by, number, ..self.blank(what, who.0, who.1) };
        self.tell(message, Some(link));
    }

    fn chosen(&mut self, n: &FleetMessage) {
        let ballot = Ballot { round: n.round, by: n.by };
        if !self.office.accepted(&self.terms, HostId(n.from), (ballot, n.number), self.now) {
            return;
        }
        match &mut self.chair {
            Some(chair) => chair.ballot = ballot,
            None => {
                self.counts.elected += 1;
                // Past all that this host or its voters know of: a ballot's round is above those before it, and begins
                // at the clock's milliseconds, should all have forgotten.
                self.epoch = (self.epoch + 1).max(ballot.round);
                info!(
                    member = self.me.0,
                    epoch = self.epoch,
                    round = ballot.round,
                    "coordinator from now on"
                );
                self.chair = Some(Coordinator::new(&self.terms, ballot, self.epoch, self.now));
                self.maintenance_coordinator =
                    Some(MaintenanceCoordinator::new(ballot, self.maintenance.line.clone(), self.now));
                self.ask_at = self.now;
                self.decide();
            }
        }
    }

    // Being a member.

    fn renew(&mut self, number: u64, detour: bool) {
        let Some(coordinator) = self.holder.coordinator() else { return };
        let mut parts: BTreeMap<VolumeId, FleetPart> = BTreeMap::new();
        let mut serial = 0;
        let empty = |id: VolumeId| FleetPart { budget: id.0, ..FleetPart::default() };
        if let Some((held, shares)) = self.holder.held() {
            serial = held;
            for (id, share) in shares {
                parts.entry(*id).or_insert_with(|| empty(*id)).share = *share;
            }
        }
        let terms = self.terms.clone();
        for (id, asked) in self.demand.read(self.now).filter(|a| terms.budgets.contains_key(&a.0)) {
            parts.entry(id).or_insert_with(|| empty(id)).asked = asked as f32;
        }
        let ballot = self.holder.ballot();
        let message = FleetMessage {
            number,
            serial,
            round: ballot.round,
            by: ballot.by,
            parts: parts.into_values().collect(),
            ..self.blank(FleetWhat::Renew, coordinator, 0)
        };
        let message = self.maintenance_renewal(message);
        if detour {
            for via in self.helpers(coordinator) {
                self.tell(message.clone(), Some(via));
            }
        }
        self.tell(message, None);
    }

    fn asked(&mut self, n: &FleetMessage, link: HostId) {
        let ballot = Ballot { round: n.round, by: n.by };
        if !self.holder.asked_by(HostId(n.from), ballot, self.now) {
            // It may be a later one whose voters all forgot: it goes on above what is told it here.
            let known = self.holder.ballot();
            let message = self.blank(FleetWhat::Refuse, HostId(n.from), n.from_incarnation);
            self.tell(FleetMessage { round: known.round, by: known.by, ..message }, Some(link));
            return self.drop("of an earlier coordinator");
        }
        let number = self.holder.ask(self.now);
        self.renew(number, link.0 != n.from);
    }

    fn granted(&mut self, n: &FleetMessage) {
        let shares: Shares = n.parts.iter().map(part).collect();
        let ballot = Ballot { round: n.round, by: n.by };
        let before: Vec<u32> = self.terms.budgets.keys().map(|b| self.share(*b)).collect();
        if !self.holder.granted(&self.terms, (ballot, n.serial), n.number, shares, self.now) {
            return self.drop("a grant that is over, or of an earlier coordinator");
        }
        if std::mem::take(&mut self.fenced) {
            info!(member = self.me.0, "this process holds its name now");
        }
        self.maintenance_granted(n);
        if n.epoch > self.epoch || !n.members.is_empty() {
            self.epoch = n.epoch.max(self.epoch);
            if !n.members.is_empty() {
                self.members = n.members.clone();
            }
            self.changed = true;
        }
        let after = self.terms.budgets.keys().map(|b| self.share(*b));
        self.changed |= !before.into_iter().eq(after);
    }

    /// Whoever decides hands that back: what it granted others stays, and the next one asks them. Whether it did.
    fn resign(&mut self) -> bool {
        let Some((ballot, _)) = self.office.held(self.now) else { return false };
        self.office.resign();
        (self.chair, self.maintenance_coordinator) = (None, None);
        for voter in self.terms.voters().filter(|v| *v != self.me).collect::<Vec<_>>() {
            let message = FleetMessage {
                round: ballot.round,
                by: ballot.by,
                ..self.blank(FleetWhat::Release, voter, 0)
            };
            self.tell(message, None);
        }
        self.voter.release((self.me, self.incarnation));
        true
    }

    fn say_leave(&mut self) {
        self.holder.let_go();
        // Who decided until now tells whoever asks next, if somebody does within a lease.
        if self.resign() || self.holder.coordinator() == Some(self.me) {
            return;
        }
        match self.holder.coordinator() {
            Some(coordinator) => {
                let message = self.blank(FleetWhat::Leave, coordinator, 0);
                self.tell(message, None);
            }
            None => self.going = Going::Gone,
        }
    }
}

fn part(p: &FleetPart) -> (VolumeId, u32) {
    (VolumeId(p.budget), p.share)
}
