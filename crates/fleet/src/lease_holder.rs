//! The member's side: what this host holds, from whom, and until when by its own clock.

use crate::allocation::Shares;
use crate::config::FleetConfig;
use crate::lease::Ballot;
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use rand::Rng;
use std::collections::VecDeque;

#[derive(Clone, Debug)]
struct Lease {
    serial: u64,
    until: Instant,
    shares: Shares,
}

#[derive(Clone, Debug)]
pub struct Holder {
    /// Of the coordinator that was heard last: none below it is listened to.
    by: Ballot,
    coordinator: Option<HostId>,
    lease: Option<Lease>,
    /// The newest grant that ever was taken.
    newest: (Ballot, u64),
    /// Questions that may still be answered, and when each was asked.
    asked: VecDeque<(u64, Instant)>,
    number: u64,
    heard: Instant,
    next: Instant,
}

/// Questions remembered: more than are asked within a lease.
const QUESTIONS: usize = 16;
/// A lease is renewed four times, each a little apart from others by chance: none falls together with all others.
const RENEW: std::ops::Range<f64> = 0.2..0.3;
/// Without an answer for so long, another host is asked to pass the question on.
const DETOUR: f64 = 0.5;

impl Holder {
    pub fn new(now: Instant) -> Holder {
        let (by, asked) = (Ballot::default(), VecDeque::new());
        Holder {
            by,
            coordinator: None,
            lease: None,
            newest: (by, 0),
            asked,
            number: 0,
            heard: now,
            next: now,
        }
    }

    pub fn coordinator(&self) -> Option<HostId> {
        self.coordinator
    }

    pub fn ballot(&self) -> Ballot {
        self.by
    }

    /// Strikes out a lease that is over; whether there was one.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.lease.take_if(|l| now >= l.until).is_some()
    }

    pub fn until(&self) -> Option<Instant> {
        self.lease.as_ref().map(|l| l.until)
    }

    /// What may be used of a budget under the lease; `None`: no lease, and the floor counts.
    pub fn share(&self, budget: VolumeId, now: Instant) -> Option<u32> {
        let lease = self.lease.as_ref().filter(|l| now < l.until)?;
        Some(lease.shares.get(&budget).copied().unwrap_or_default())
    }

    pub fn held(&self) -> Option<(u64, &Shares)> {
        self.lease.as_ref().map(|l| (l.serial, &l.shares))
    }

    /// Somebody says that it decides now; whether it is to be answered.
    pub fn asked_by(&mut self, who: HostId, by: Ballot, now: Instant) -> bool {
        if by < self.by {
            return false;
        }
        // From here on nothing that an earlier one granted is taken: what is told next is all that is held.
        (self.by, self.coordinator, self.heard) = (by, Some(who), now);
        true
    }

    /// The next question, if it is time for one: its number, and whether others are to pass it on.
    pub fn question(&mut self, terms: &FleetConfig, now: Instant, rng: &mut impl Rng) -> Option<(u64, bool)> {
        if now < self.next {
            return None;
        }
        self.next = now + terms.lease.times(rng.random_range(RENEW));
        self.coordinator?;
        let silent = now - self.heard;
        if silent >= terms.lease.times(2.0) {
            self.coordinator = None;
            return None;
        }
        Some((self.ask(now), silent >= terms.lease.times(DETOUR)))
    }

    /// A question out of turn.
    pub fn ask(&mut self, now: Instant) -> u64 {
        self.number += 1;
        if self.asked.len() >= QUESTIONS {
            self.asked.pop_front();
        }
        self.asked.push_back((self.number, now));
        self.number
    }

    /// An answer: what is held by from now on, counted from when the question went out. Whether it is taken.
    pub fn granted(
        &mut self,
        terms: &FleetConfig,
        (by, serial): (Ballot, u64),
        number: u64,
        shares: Shares,
        now: Instant,
    ) -> bool {
        let asked = self.asked.iter().find(|a| a.0 == number).map(|a| a.1);
        // Guards against a grant that took long on its way, or was given by one that decides no more. Harms where the
        // way takes a lease: nothing is ever held there.
        let Some(until) = asked.map(|at| at + terms.held()).filter(|until| now < *until && by >= self.by)
        else {
            return false;
        };
        // Guards against an older grant after the newer one's lease is over, where questions overtook each other: whoever
        // decides struck it out when it heard of the newer one. Found by a drawn world: 119% in use. Harms nobody.
        if self.newest >= (by, serial) {
            return false;
        }
        (self.by, self.heard, self.newest) = (by, now, (by, serial));
        self.lease = Some(Lease { serial, until, shares });
        true
    }

    /// Nothing is held from now on.
    pub fn let_go(&mut self) {
        self.lease = None;
    }

    pub fn next(&self) -> Instant {
        self.until().map_or(self.next, |until| until.min(self.next))
    }

    /// Since it was last heard from whoever decides.
    pub fn silent(&self, now: Instant) -> Span {
        now - self.heard
    }
}
