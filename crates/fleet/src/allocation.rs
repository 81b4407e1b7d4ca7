//! Parts of budgets. [`divide`] says what each member should have; [`Ledger`] what each host may still be using, and so
//! what may be given without passing the whole.
//!
//! **Why parts never sum past the whole.** For each budget the ledger counts for each host at least all that it may use
//! from now on: its floor, and every share granted that it has not let go of and whose lease may not be over. A share is
//! granted only if these counts, with it, sum to at most the whole. A host uses a share only within its lease by its own
//! clock, which ends before the ledger strikes it out, else its floor, which is always counted. So what is in use is at
//! most what is counted, host by host, at any moment.

use crate::config::{Budget, FleetConfig, WHOLE};
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use std::collections::BTreeMap;

pub type Shares = BTreeMap<VolumeId, u32>;

#[derive(Clone, Debug)]
struct Granted {
    serial: u64,
    until: Instant,
    shares: Shares,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    granted: Vec<Granted>,
    /// The most of them, by budget; never under the floor.
    most: Shares,
}

/// What each host may still be using.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    hosts: BTreeMap<HostId, Entry>,
    sums: BTreeMap<VolumeId, u64>,
}

/// Unanswered renewals are some; more of one host's grants are counted as one.
const MOST_GRANTS: usize = 16;

impl Ledger {
    pub fn new(terms: &FleetConfig) -> Ledger {
        let mut ledger = Ledger::default();
        ledger.retell(terms);
        ledger
    }

    /// The document has changed: floors and budgets are others.
    pub fn retell(&mut self, terms: &FleetConfig) {
        self.sums = terms.budgets.iter().map(|(id, b)| (*id, b.floors())).collect();
        let hosts: Vec<_> = self.hosts.keys().copied().collect();
        // Each entry's most is counted anew, over the floors that the sums begin with.
        for host in hosts {
            if let Some(e) = self.hosts.get_mut(&host) {
                e.most = Shares::new();
            }
            self.count(terms, host);
        }
    }

    /// What may be in use of a budget, over all hosts.
    pub fn sum(&self, budget: VolumeId) -> u64 {
        self.sums.get(&budget).copied().unwrap_or_default()
    }

    /// What may be in use of it at one host.
    pub fn most(&self, budget: VolumeId, of: &Budget, host: HostId) -> u32 {
        let most = self.hosts.get(&host).and_then(|e| e.most.get(&budget)).copied();
        most.unwrap_or_default().max(of.floor(host))
    }

    /// Until when a host may use more than its floors; `None`: it does not.
    pub fn until(&self, host: HostId) -> Option<Instant> {
        self.hosts.get(&host)?.granted.iter().map(|g| g.until).max()
    }

    fn count(&mut self, terms: &FleetConfig, host: HostId) {
        let Some(e) = self.hosts.get_mut(&host) else { return };
        let mut most = Shares::new();
        for (id, share) in e.granted.iter().flat_map(|g| &g.shares) {
            let at = most.entry(*id).or_default();
            *at = share.max(at).to_owned();
        }
        for (id, b) in &terms.budgets {
            let floor = b.floor(host);
            let old = e.most.get(id).copied().unwrap_or_default().max(floor);
            let new = most.get(id).copied().unwrap_or_default().max(floor);
            if let Some(sum) = self.sums.get_mut(id) {
                *sum = sum.saturating_sub(u64::from(old)) + u64::from(new);
            }
        }
        e.most = most;
        if e.granted.is_empty() {
            self.hosts.remove(&host);
        }
    }

    pub fn grant(&mut self, terms: &FleetConfig, host: HostId, serial: u64, until: Instant, shares: Shares) {
        let e = self.hosts.entry(host).or_default();
        if e.granted.len() >= MOST_GRANTS {
            // The two oldest as one that holds what either does.
            let old = e.granted.remove(0);
            let next = &mut e.granted[0];
            next.until = next.until.max(old.until);
            for (id, share) in old.shares {
                let at = next.shares.entry(id).or_default();
                *at = share.max(*at);
            }
        }
        e.granted.push(Granted { serial, until, shares });
        self.count(terms, host);
    }

    /// The host holds by this one, so by none before it.
    pub fn let_go(&mut self, terms: &FleetConfig, host: HostId, before: u64) {
        if let Some(e) = self.hosts.get_mut(&host) {
            e.granted.retain(|g| g.serial >= before);
            self.count(terms, host);
        }
    }

    /// It said itself that it holds nothing and will not.
    pub fn clear(&mut self, terms: &FleetConfig, host: HostId) {
        self.let_go(terms, host, u64::MAX);
    }

    /// Strikes out what is surely over.
    pub fn expire(&mut self, terms: &FleetConfig, now: Instant) {
        let over = |e: &Entry| e.granted.iter().any(|g| g.until <= now);
        let hosts: Vec<_> = self.hosts.iter().filter(|(_, e)| over(e)).map(|(h, _)| *h).collect();
        for host in hosts {
            if let Some(e) = self.hosts.get_mut(&host) {
                e.granted.retain(|g| g.until > now);
            }
            self.count(terms, host);
        }
    }

    /// The most that may be granted to a host of a budget, beside what all others may be using.
    pub fn room(&self, budget: VolumeId, of: &Budget, host: HostId) -> u32 {
        let others = self.sum(budget).saturating_sub(u64::from(self.most(budget, of, host)));
        u64::from(WHOLE).saturating_sub(others) as u32
    }
}

/// Of what goes by demand, this part goes evenly: who begins to ask has something to begin with.
const EVEN: f64 = 0.1;

/// What each member should have of a budget: its floor, then by what it asks. Where parts would hold no largest request,
/// as many as can have one, in turns.
///
/// `asked`: by member, in any one measure; `kept`: what may be in use by others. The results sum to at most the whole
/// less `kept`, if the floors of these members do.
pub fn divide(of: &Budget, asked: &[(HostId, f64)], kept: u64, turn: u64) -> Vec<(HostId, u32)> {
    let floor = |h: HostId| u64::from(of.floor(h));
    let floors: u64 = asked.iter().map(|a| floor(a.0)).sum();
    let mut rest = u64::from(WHOLE).saturating_sub(kept + floors);
    let mut parts: Vec<u64> = asked.iter().map(|a| floor(a.0)).collect();
    let lacks = |place: usize| u64::from(of.least).saturating_sub(floor(asked[place].0));
    let wanting: Vec<usize> = (0..asked.len()).filter(|p| asked[*p].1 > 0.0).collect();
    let needed: u64 = wanting.iter().map(|p| lacks(*p)).sum();
    if needed > rest {
        // Too small to be split: some hold one largest request's part now, others next.
        let begin = (turn % wanting.len() as u64) as usize;
        for place in wanting.iter().cycle().skip(begin).take(wanting.len()) {
            let lack = lacks(*place);
            if lack <= rest {
                rest -= lack;
                parts[*place] += lack;
            }
        }
        // What is left holds nothing whole for another one.
        parts[wanting[begin]] += rest;
    } else {
        for place in &wanting {
            rest -= lacks(*place);
            parts[*place] += lacks(*place);
        }
        let all: f64 = asked.iter().map(|a| a.1).sum();
        let even = if all > 0.0 { EVEN } else { 1.0 };
        for (part, (_, asks)) in parts.iter_mut().zip(asked) {
            let by_asking = if all > 0.0 { (1.0 - even) * asks / all } else { 0.0 };
            *part += (rest as f64 * (even / asked.len() as f64 + by_asking)) as u64;
        }
    }
    asked.iter().map(|a| a.0).zip(parts.into_iter().map(|p| p.min(u64::from(WHOLE)) as u32)).collect()
}
