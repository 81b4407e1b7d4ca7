//! The one lease on deciding, without a disk: a majority of voters gives it by ballots, as PaxosLease does (Trencseni,
//! Gazso, Reinhardt, 2012). [`Voter`] is who gives it, [`Office`] who seeks and keeps it.
//!
//! **Why two never hold it.** A holder counts from before it proposed, a voter from after it accepted, so a voter's entry
//! outlasts the holder's belief. To be chosen, another needs promises of a majority, of which one voter at least accepted
//! the first: it either names the live lease in its promise, or its entry is over and so is the belief. A promise also
//! shuts out lower ballots, so a proposal from before cannot be accepted by a majority afterwards.
//!
//! **A newborn voter** remembers no promise of its earlier incarnation. It is mute for two leases: for that long a ballot that
//! was prepared before its end can still be proposed and believed in, and no longer, for who prepared gives a ballot up
//! after one lease, and a proposal is believed for one.

use crate::config::FleetConfig;
use gullsail_scheduler_api::{HostId, Instant, Span};
use rand::Rng;
use std::collections::BTreeSet;

/// Ordered by round, then by who: no two hosts ever have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    pub round: u64,
    pub by: u32,
}

/// Who asks, in which of its incarnations.
pub type Who = (HostId, u64);

#[derive(Clone, Debug)]
pub struct Voter {
    promised: (Ballot, u64),
    accepted: Option<(Ballot, Who, Instant)>,
    mute_until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Newly born: what the earlier incarnation promised is not known.
    Mute,
    /// A later ballot is promised.
    Refused(Ballot),
    /// Promised; and whether somebody else's lease is live here.
    Promised {
        taken: bool,
    },
    Accepted,
}

impl Voter {
    pub fn new(terms: &FleetConfig, now: Instant) -> Voter {
        Voter { promised: Default::default(), accepted: None, mute_until: now + terms.office().times(2.0) }
    }

    pub fn mute_until(&self) -> Instant {
        self.mute_until
    }

    /// Whose lease is live here, and until when by this clock.
    pub fn live(&self, now: Instant) -> Option<(Who, Instant)> {
        self.accepted.filter(|a| now < a.2).map(|a| (a.1, a.2))
    }

    /// The same ballot of another incarnation is not the same.
    fn passed(&self, ballot: Ballot, incarnation: u64) -> bool {
        ballot < self.promised.0 || (ballot == self.promised.0 && incarnation != self.promised.1)
    }

    pub fn prepare(&mut self, ballot: Ballot, who: Who, now: Instant) -> Vote {
        // Guards against a promise of the earlier incarnation that is forgotten: a proposal it had shut out could be accepted.
        // Harms where most voters start at once: nobody is chosen for two leases.
        if now < self.mute_until {
            return Vote::Mute;
        }
        if self.passed(ballot, who.1) {
            return Vote::Refused(self.promised.0);
        }
        // Not counted as a promise by who asks, so it need not be one: else somebody who hears nothing could take the
        // holder's ballot away again and again.
        if self.live(now).is_some_and(|l| l.0 != who) {
            return Vote::Promised { taken: true };
        }
        self.promised = (ballot, who.1);
        Vote::Promised { taken: false }
    }

    pub fn propose(&mut self, terms: &FleetConfig, ballot: Ballot, who: Who, now: Instant) -> Vote {
        if now < self.mute_until {
            return Vote::Mute;
        }
        if self.passed(ballot, who.1) {
            return Vote::Refused(self.promised.0);
        }
        self.promised = (ballot, who.1);
        self.accepted = Some((ballot, who, now + terms.office()));
        Vote::Accepted
    }

    /// Its holder has let go.
    pub fn release(&mut self, who: Who) {
        self.accepted.take_if(|a| a.1 == who);
    }
}

#[derive(Clone, Debug)]
enum Stage {
    Idle,
    Preparing { ballot: Ballot, sent: Instant, promised: BTreeSet<HostId>, taken: BTreeSet<HostId> },
    Proposing { ballot: Ballot, number: u64, sent: Instant, accepted: BTreeSet<HostId> },
}

/// What the voters are to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bid {
    Prepare(Ballot),
    /// Numbered: an acceptance counts for the proposal that it answers alone.
    Propose(Ballot, u64),
}

/// Seeks and keeps the lease on deciding.
#[derive(Clone, Debug)]
pub struct Office {
    me: HostId,
    stage: Stage,
    held: Option<(Ballot, Instant)>,
    /// The highest round that was heard of.
    round: u64,
    next: Instant,
    proposals: u64,
}

impl Office {
    /// `round`: where to begin; past those of earlier incarnations, mostly.
    pub fn new(me: HostId, round: u64, from: Instant) -> Office {
        Office { me, stage: Stage::Idle, held: None, round, next: from, proposals: 0 }
    }

    pub fn held(&self, now: Instant) -> Option<(Ballot, Instant)> {
        self.held.filter(|h| now < h.1)
    }

    pub fn next(&self) -> Instant {
        self.held.map_or(self.next, |h| h.1.min(self.next))
    }

    /// Gives it back.
    pub fn resign(&mut self) {
        (self.held, self.stage) = (None, Stage::Idle);
    }

    /// `busy`: until when somebody else's lease is known to be live.
    pub fn advance(
        &mut self,
        terms: &FleetConfig,
        busy: Option<Instant>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Bid> {
        self.held.take_if(|h| now >= h.1);
        if now < self.next {
            return None;
        }
        if let Some((ballot, _)) = self.held {
            self.next = now + terms.office().times(RENEW);
            // One that was refused goes on with a higher ballot, which is already prepared.
            if let Stage::Preparing { .. } = self.stage {
                return Some(self.prepare(now));
            }
            return Some(self.propose(ballot, now));
        }
        // Spread by chance: two who seek at once shut each other out.
        let wait = terms.office().times(rng.random_range(SEEK));
        if let Some(until) = busy.filter(|until| *until > now) {
            (self.stage, self.next) = (Stage::Idle, until + wait);
            return None;
        }
        self.next = now + wait;
        Some(self.prepare(now))
    }

    fn prepare(&mut self, now: Instant) -> Bid {
        self.round += 1;
        let ballot = Ballot { round: self.round, by: self.me.0 };
        self.stage =
            Stage::Preparing { ballot, sent: now, promised: BTreeSet::new(), taken: BTreeSet::new() };
        Bid::Prepare(ballot)
    }

    pub fn promised(
        &mut self,
        terms: &FleetConfig,
        from: HostId,
        of: Ballot,
        taken: bool,
        now: Instant,
    ) -> Option<Bid> {
        let Stage::Preparing { ballot, sent, promised, taken: elsewhere } = &mut self.stage else {
            return None;
        };
        // Guards against a ballot that is proposed long after it was prepared: a voter born since may have forgotten
        // that it promised a later one. Harms where a round trip takes a lease.
        if of != *ballot || now - *sent >= terms.office_held() {
            return None;
        }
        if taken {
            elsewhere.insert(from)
        } else {
            promised.insert(from)
        };
        if promised.len() < terms.majority() {
            return None;
        }
        let ballot = *ballot;
        Some(self.propose(ballot, now))
    }

    fn propose(&mut self, ballot: Ballot, now: Instant) -> Bid {
        self.proposals += 1;
        let number = self.proposals;
        self.stage = Stage::Proposing { ballot, number, sent: now, accepted: BTreeSet::new() };
        Bid::Propose(ballot, number)
    }

    /// Whether this one made it the holder, or kept it one.
    pub fn accepted(&mut self, terms: &FleetConfig, from: HostId, of: (Ballot, u64), now: Instant) -> bool {
        let Stage::Proposing { ballot, number, sent, accepted } = &mut self.stage else { return false };
        let until = *sent + terms.office_held();
        // Guards against late acceptances: a lease is renewed by the same ballot, and one that was accepted before would
        // lengthen the holder's belief past the voters'. Found by a drawn world: two decided. Harms nobody.
        if of != (*ballot, *number) || now >= until {
            return false;
        }
        accepted.insert(from);
        if accepted.len() < terms.majority() {
            return false;
        }
        let chosen = (*ballot, until);
        if self.held.is_none() {
            self.next = now + terms.office().times(RENEW);
        }
        (self.held, self.stage) = (Some(chosen), Stage::Idle);
        true
    }

    /// A voter promised a later ballot, or a member has heard of one.
    pub fn refused(&mut self, later: Ballot, now: Instant) {
        self.heard_of(later);
        let mine = match (&self.stage, &self.held) {
            (Stage::Preparing { ballot, .. } | Stage::Proposing { ballot, .. }, _) => *ballot,
            (Stage::Idle, Some((ballot, _))) => *ballot,
            (Stage::Idle, None) => return,
        };
        if later > mine {
            // Who holds it asks again at once, with a higher one; others wait for their turn.
            if self.held.is_some() {
                self.next = now;
                let (sent, promised, taken) = (now, BTreeSet::new(), BTreeSet::new());
                self.stage = Stage::Preparing { ballot: mine, sent, promised, taken };
            } else {
                self.stage = Stage::Idle;
            }
        }
    }

    /// The next ballot of its own is above this one.
    pub fn heard_of(&mut self, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
    }
}

/// Parts of a lease. The holder renews it so often that two rounds may be lost;
const RENEW: f64 = 0.25;
/// who seeks it waits so long between tries: long beside a round trip, short beside the lease that a takeover may wait.
const SEEK: std::ops::Range<f64> = 0.1..0.5;

/// How often whoever decides must look, while nothing happens.
pub fn tick(terms: &FleetConfig) -> Span {
    terms.office().times(RENEW / 2.0)
}
