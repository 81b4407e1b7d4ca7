//! The coordinator's side, for as long as it holds the lease on deciding: who is a member, and what each is granted.
//!
//! It owns no state: what is granted is known by its holders. A new one asks all for what they hold and, until all have
//! answered or one lease is over, grants each just what it says it holds. Within that time what an earlier coordinator
//! granted is over: it was granted before this one was chosen, in answer to a question asked before.

use crate::allocation::{Ledger, Shares, divide};
use crate::config::{Budget, FleetConfig};
use crate::lease::{Ballot, Who};
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How a host stands in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u32)]
pub enum MemberState {
    Member = 1,
    /// Not heard for half of its lease; others are asked to reach it.
    Suspected = 2,
    /// Its lease is over: it knows by itself, and counts for nothing but its floor.
    Out = 3,
    /// It said that it goes.
    Left = 4,
}

impl MemberState {
    pub fn of(number: u32) -> Option<MemberState> {
        [MemberState::Member, MemberState::Suspected, MemberState::Out, MemberState::Left]
            .into_iter()
            .find(|s| *s as u32 == number)
    }
}

#[derive(Clone, Debug)]
pub struct Seat {
    pub incarnation: u64,
    pub state: MemberState,
    pub heard: Instant,
    /// The host that passed its last message on, where it does not reach this one by itself.
    pub via: Option<HostId>,
    /// When what it may hold is over.
    pub until: Instant,
    asked: BTreeMap<VolumeId, f64>,
    /// What it held when it was first heard of here.
    held: Shares,
}

#[derive(Clone, Debug)]
pub struct Coordinator {
    pub ballot: Ballot,
    pub epoch: u64,
    /// The first ballot of this term: who has not heard of it may still take what an earlier one granted.
    first: Ballot,
    since: Instant,
    settled: bool,
    pub seats: BTreeMap<HostId, Seat>,
    ledger: Ledger,
    targets: BTreeMap<VolumeId, BTreeMap<HostId, u32>>,
    divided: Option<Instant>,
    serial: u64,
}

/// A renewal, as it was read.
pub struct Renewal {
    pub who: Who,
    /// Of the coordinator that it listened to when it wrote this.
    pub ballot: Ballot,
    pub via: Option<HostId>,
    /// The serial of what is held, 0 for nothing; and by whose ballot.
    pub serial: u64,
    pub asked: BTreeMap<VolumeId, f64>,
    pub held: Shares,
}

pub enum Answered {
    /// It was written before this coordinator was heard: it is to be asked again.
    Early,
    Granted {
        serial: u64,
        shares: Shares,
    },
    /// Another process holds that name until then.
    Fenced,
}

/// Parts are computed anew after so much of a lease, or when members come and go.
const DIVIDE: f64 = 0.125;
/// A coordinator's grants are fewer than two to this power.
const SERIALS: u32 = 20;
/// Who is silent for this part of a lease is suspected.
const SUSPECT: f64 = 0.5;
/// A part that differs by less than this part of itself is left as it is: it costs each host a look at all its volumes.
const NEAR: f64 = 0.05;

impl Coordinator {
    pub fn new(terms: &FleetConfig, ballot: Ballot, epoch: u64, now: Instant) -> Coordinator {
        Coordinator {
            ballot,
            epoch,
            first: ballot,
            since: now,
            settled: false,
            seats: BTreeMap::new(),
            ledger: Ledger::new(terms),
            targets: BTreeMap::new(),
            divided: None,
            // Above all that earlier ones counted: rounds only grow.
            serial: ballot.round << SERIALS,
        }
    }

    pub fn settled(&self) -> bool {
        self.settled
    }

    /// When what an earlier one granted is surely over.
    pub fn settles(&self, terms: &FleetConfig) -> Instant {
        self.since + terms.lease
    }

    pub fn sum(&self, budget: VolumeId) -> u64 {
        self.ledger.sum(budget)
    }

    /// What each host may be using of a budget, of those that may.
    pub fn parts(&self, budget: VolumeId, of: &Budget) -> Vec<(u32, u32)> {
        let all = of.through.iter().chain(of.stragglers.keys());
        let mut all: Vec<_> = all.map(|h| (h.0, self.ledger.most(budget, of, *h))).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    pub fn retell(&mut self, terms: &FleetConfig) {
        self.ledger.retell(terms);
        self.divided = None;
    }

    fn turn_epoch(&mut self) {
        self.epoch += 1;
        self.divided = None;
    }

    /// Who is silent is suspected, then out; who is suspected newly comes back, to be asked through others.
    pub fn advance(&mut self, terms: &FleetConfig, now: Instant) -> Vec<HostId> {
        self.ledger.expire(terms, now);
        let (mut suspects, mut out) = (Vec::new(), false);
        for (host, seat) in &mut self.seats {
            let silent = now - seat.heard;
            match seat.state {
                MemberState::Member if silent >= terms.lease.times(SUSPECT) => {
                    seat.state = MemberState::Suspected;
                    suspects.push(*host);
                }
                MemberState::Suspected if now >= seat.until => {
                    seat.state = MemberState::Out;
                    out = true;
                }
                _ => {}
            }
        }
        if out {
            self.turn_epoch();
        }
        // Not sooner while somebody says it holds nothing: another process of its name may hold something still.
        let told =
            || self.seats.len() as u32 == terms.hosts && self.seats.values().all(|s| !s.held.is_empty());
        if !self.settled && (now >= self.settles(terms) || told()) {
            self.settled = true;
            self.divided = None;
        }
        suspects
    }

    /// A member asks.
    pub fn renew(&mut self, terms: &FleetConfig, r: Renewal, now: Instant) -> Answered {
        let (host, incarnation) = r.who;
        // Guards against what a member wrote before it heard of this term, late: it may have taken more from an earlier
        // coordinator since. Found by a drawn world. Harms nobody: it is asked again.
        if r.ballot < self.first {
            return Answered::Early;
        }
        let until = now + terms.lease;
        let known = self.seats.get(&host).map(|s| (s.incarnation, s.state, s.until));
        match known {
            Some((other, MemberState::Member | MemberState::Suspected, until))
                if other != incarnation && now < until =>
            {
                // Guards against two processes under one name, each with a lease. Harms a host that was killed and is
                // back within its lease: it waits for the rest of it.
                return Answered::Fenced;
            }
            Some((other, MemberState::Member | MemberState::Suspected, _)) if other == incarnation => {
                if let Some(seat) = self.seats.get_mut(&host) {
                    (seat.state, seat.heard, seat.via) = (MemberState::Member, now, r.via);
                    seat.asked = r.asked;
                }
                if r.serial > 0 {
                    self.ledger.let_go(terms, host, r.serial);
                }
            }
            _ => {
                // New here: what it says it holds was granted by an earlier coordinator, or it is out and holds nothing.
                let seat = Seat {
                    incarnation,
                    state: MemberState::Member,
                    heard: now,
                    via: r.via,
                    until,
                    asked: r.asked,
                    held: r.held.clone(),
                };
                self.seats.insert(host, seat);
                if !r.held.is_empty() && !self.settled {
                    self.ledger.grant(terms, host, r.serial, until, r.held);
                }
                self.turn_epoch();
            }
        }
        self.ledger.expire(terms, now);
        self.divide(terms, now);
        self.serial += 1;
        let shares = self.shares(terms, host);
        self.ledger.grant(terms, host, self.serial, until, shares.clone());
        if let Some(seat) = self.seats.get_mut(&host) {
            seat.until = until;
        }
        Answered::Granted { serial: self.serial, shares }
    }

    fn shares(&self, terms: &FleetConfig, host: HostId) -> Shares {
        let held = self.seats.get(&host).map(|s| &s.held);
        let through = terms.budgets.iter().filter(|(_, b)| b.through.binary_search(&host).is_ok());
        let share = |(id, b): (&VolumeId, &Budget)| {
            let floor = b.floor(host);
            let target = if self.settled {
                self.targets.get(id).and_then(|t| t.get(&host)).copied().unwrap_or(floor)
            } else {
                held.and_then(|h| h.get(id)).copied().unwrap_or_default()
            };
            // Never under the floor, which it uses again without a lease, and never past what the others leave.
            (*id, target.min(self.ledger.room(*id, b, host)).max(floor))
        };
        through.map(share).collect()
    }

    fn divide(&mut self, terms: &FleetConfig, now: Instant) {
        if self.divided.is_some_and(|at| now - at < terms.lease.times(DIVIDE)) || !self.settled {
            return;
        }
        self.divided = Some(now);
        let turn = now.micros().div_euclid(terms.lease.times(2.0).micros().max(1)) as u64;
        for (id, b) in &terms.budgets {
            let here = |h: &&HostId| {
                self.seats
                    .get(h)
                    .is_some_and(|s| matches!(s.state, MemberState::Member | MemberState::Suspected))
            };
            let members: Vec<HostId> = b.through.iter().filter(here).copied().collect();
            let asks =
                |h: &HostId| self.seats.get(h).and_then(|s| s.asked.get(id)).copied().unwrap_or_default();
            let asked: Vec<_> = members.iter().map(|h| (*h, asks(h))).collect();
            let own: u64 = members.iter().map(|h| u64::from(self.ledger.most(*id, b, *h))).sum();
            let kept = self.ledger.sum(*id).saturating_sub(own);
            let old = self.targets.entry(*id).or_default();
            let new = divide(b, &asked, kept, turn);
            let near = |(h, share): &(HostId, u32)| {
                let before = f64::from(old.get(h).copied().unwrap_or_default());
                (before - f64::from(*share)).abs() <= NEAR * before
            };
            if old.len() != new.len() || !new.iter().all(near) {
                *old = new.into_iter().collect();
            }
        }
        self.targets.retain(|id, _| terms.budgets.contains_key(id));
    }

    /// It holds nothing any more and goes.
    pub fn leave(&mut self, terms: &FleetConfig, who: Who) {
        if let Some(seat) = self.seats.get_mut(&who.0).filter(|s| s.incarnation == who.1) {
            seat.state = MemberState::Left;
            self.ledger.clear(terms, who.0);
            self.turn_epoch();
        }
    }

    /// Hosts that were never heard of, or not since a document changed: to be asked.
    pub fn unheard(&self, terms: &FleetConfig) -> Vec<HostId> {
        let here = |h: &HostId| {
            self.seats.get(h).is_some_and(|s| matches!(s.state, MemberState::Member | MemberState::Suspected))
        };
        terms.everyone().filter(|h| !here(h)).collect()
    }
}
