//! From one document to the next, host by host.
//!
//! **The rule.** A host knows a line of documents: the one it holds to, and those before it back to the oldest
//! that some host may still hold to. For each volume it may send the lowest of its parts by all of them.
//!
//! **Why the limit holds.** Let m be the oldest revision that any serving host holds to now. The host that
//! holds to it is not past m, so no host has learnt that all are past m, and m is still in the line of each
//! (it is not after the host's own, for m is the oldest). So each host sends at most its part by m, and these
//! parts sum to the limit that document m states. This is so at every moment, in whatever order hosts change,
//! whatever notes are lost, late or repeated: a lost note only keeps a line long. A host that is down sends
//! nothing, and the others keep its revision in their lines until it says that it has gone on.
//!
//! **What it rests on.** A host that starts is given a document no older than the one it last held to, and the
//! line that the document names reaches back to a revision that no host is older than. Both are the operator's
//! to keep; a host that is seen to go back is reported ([`Heard::WentBack`]).

use crate::revision_limits::{Revision, RevisionLimits, lower};
use gullsail_scheduler_api::{HostId, Instant, Limit, PlanId, Span, VolumeAllocation, VolumeId};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Who is told at a time. Three, and news is with all of two hundred hosts after five or six rounds.
const FEW: usize = 3;
/// Between rounds while there is news: some round trips. Without any the wait doubles up to the longest, which a
/// host that was down waits for at most.
const FIRST: Span = Span::from_micros(100_000);
const LONGEST: Span = Span::from_micros(6_400_000);
/// Rounds in which a host that knows of all still tells others, so that the last of them hear soon.
const FAREWELLS: u32 = 3;
/// Hosts that one note can tell of, within 256 bytes.
pub const MOST_HOSTS: u32 = 1900;

/// Which hosts are known to hold to this revision or a later one: one bit for each, by number.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    /// What its sender holds to.
    pub held: Revision,
    pub revision: Revision,
    pub hosts: Vec<u8>,
}

/// What a note brought.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Nothing,
    /// Somebody has gone on.
    News,
    /// The sender holds to an older document than it did, unless this note is late: limits may be passed until it
    /// follows again.
    WentBack {
        from: Revision,
        to: Revision,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("revision {} is not later than {}, which this host holds to", .next.0, .held.0)]
    NotLater { held: Revision, next: Revision },
    #[error("limits or hosts of volumes change, and revision {} is the one that this host holds to: give the \
             document the next number, and name the file of the one before with `after`", .0.0)]
    SameRevision(Revision),
    #[error("the document named for revision {} is not the one that this host holds to", .0.0)]
    Other(Revision),
    #[error("revision {} comes after {}, but this host holds to {}", .next.0, .after.0, .held.0)]
    NotNext { held: Revision, after: Revision, next: Revision },
    #[error("some hosts are not known to have gone past revision {}: keep naming it with `after`", .0.0)]
    TooShort(Revision),
}

pub struct ConfigTransition {
    me: HostId,
    /// Oldest first; never empty. The last is held to.
    line: VecDeque<RevisionLimits>,
    /// By host: it holds to this one, or to a later.
    reached: Vec<Revision>,
    told: BTreeMap<VolumeId, VolumeAllocation>,
    next: Instant,
    wait: Span,
    farewells: u32,
    /// By volume, the part of it that a fleet settled for this host; `None`: even parts by the document.
    shares: Option<BTreeMap<VolumeId, f64>>,
    /// Hosts that the fleet has put out: they use nothing but their floors.
    out: BTreeSet<HostId>,
    /// Documents that all others are past, and one that is out may still hold to.
    kept: Vec<RevisionLimits>,
}

impl ConfigTransition {
    /// `line` is the document and those it names before it, oldest first; none of `hosts` hosts is older than
    /// the first of them. An empty line promises nothing.
    pub fn new(me: HostId, hosts: u32, mut line: Vec<RevisionLimits>, now: Instant) -> ConfigTransition {
        line.sort_by_key(|p| p.revision);
        let oldest = line.first().map_or(Revision(0), |p| p.revision);
        if line.is_empty() {
            line.push(RevisionLimits::default());
        }
        let mut config_transition = ConfigTransition {
            me,
            line: line.into(),
            reached: vec![oldest; hosts as usize],
            told: BTreeMap::new(),
            next: now,
            wait: FIRST,
            farewells: FAREWELLS,
            shares: None,
            out: BTreeSet::new(),
            kept: Vec::new(),
        };
        config_transition.arrive();
        // A host that starts holds to its even parts by itself.
        let held = config_transition.held();
        let even: Vec<_> = held.volumes.keys().map(|id| (*id, config_transition.by_itself(*id))).collect();
        config_transition.told = even.into_iter().collect();
        config_transition
    }

    /// How many documents are in the line, and how many volumes' allocations are remembered.
    pub fn size_metrics(&self) -> (usize, usize) {
        (self.line.len(), self.told.len())
    }

    fn held(&self) -> &RevisionLimits {
        self.line.back().expect("the line is never empty")
    }

    pub fn revision(&self) -> Revision {
        self.held().revision
    }

    fn reach(&mut self, host: HostId, revision: Revision) -> bool {
        match self.reached.get_mut(host.0 as usize) {
            Some(known) if *known < revision => {
                *known = revision;
                true
            }
            _ => false,
        }
    }

    fn arrive(&mut self) {
        let revision = self.revision();
        self.reach(self.me, revision);
        self.let_go();
    }

    /// What all are past needs no keeping. One that is out holds nobody up: it uses its floor by the document that it
    /// holds to, which is kept as long as it may.
    fn let_go(&mut self) {
        let all = || self.reached.iter().enumerate().map(|(place, r)| (HostId(place as u32), *r));
        let oldest = all().filter(|(h, _)| !self.out.contains(h)).map(|(_, r)| r).min().unwrap_or_default();
        let last = all().map(|(_, r)| r).min().unwrap_or_default();
        while self.line.len() > 1 && self.line.front().is_some_and(|p| p.revision < oldest) {
            self.kept.extend(self.line.pop_front());
        }
        self.kept.retain(|p| p.revision >= last);
    }

    /// Hosts at the end of the document that none before it named: they never held to an older one.
    pub fn joined(&mut self, hosts: u32) {
        let revision = self.revision();
        let all = (hosts as usize).max(self.reached.len());
        self.reached.resize(all, revision);
    }

    /// What a fleet settled: this host's part of each volume, and who is out. Parts by all documents of the line are
    /// lower or higher with it.
    pub fn settle(&mut self, shares: BTreeMap<VolumeId, f64>, out: BTreeSet<HostId>) {
        (self.shares, self.out) = (Some(shares), out);
        self.let_go();
    }

    /// Who may still use a volume by a document before the one that is held to, and among how many hosts by that one.
    pub fn stragglers(&self, volume: VolumeId) -> impl Iterator<Item = (HostId, usize)> {
        let held = self.revision();
        let older = self.kept.iter().chain(&self.line).filter(move |p| p.revision < held);
        older.flat_map(move |p| {
            let v = p.volumes.get(&volume).filter(|v| v.limit.is_some());
            let behind = move |h: &&HostId| self.reached.get(h.0 as usize).is_none_or(|r| *r <= p.revision);
            v.into_iter().flat_map(move |v| v.hosts.iter().filter(behind).map(|h| (*h, v.hosts.len())))
        })
    }

    fn share(&self, volume: VolumeId) -> Option<f64> {
        self.shares.as_ref().map(|s| s.get(&volume).copied().unwrap_or_default())
    }

    /// Takes the next document, with those before it, oldest first. One of the same revision must promise the same;
    /// places of plans may be others.
    ///
    /// # Errors
    /// They do not go on from what is held, or do not reach back to all that other hosts may still hold to: nothing is
    /// changed then.
    pub fn go_on(&mut self, line: Vec<RevisionLimits>, now: Instant) -> Result<(), Refused> {
        let held = self.revision();
        let (first, last) = match (line.first(), line.last()) {
            (Some(first), Some(last)) => (first.revision, last),
            _ => return Err(Refused::NotLater { held, next: Revision(0) }),
        };
        let next = last.revision;
        if next < held {
            return Err(Refused::NotLater { held, next });
        }
        let same = line.iter().find(|p| p.revision == held);
        match same {
            Some(same) if same.promise_as(self.held()) => {}
            Some(_) if next == held => return Err(Refused::SameRevision(held)),
            Some(_) => return Err(Refused::Other(held)),
            None => {
                let after = line.iter().rev().nth(1).map_or(next, |p| p.revision);
                return Err(Refused::NotNext { held, after, next });
            }
        }
        // A host that starts with it must count all that this one counts.
        if let Some(oldest) = self.line.front().map(|p| p.revision).filter(|oldest| first > *oldest) {
            return Err(Refused::TooShort(oldest));
        }
        self.line.pop_back();
        self.line.extend(line.into_iter().filter(|p| p.revision >= held));
        if next > held {
            self.arrive();
            (self.next, self.wait, self.farewells) = (now, FIRST, FAREWELLS);
        }
        Ok(())
    }

    /// Every host is known to hold to this one.
    pub fn settled(&self) -> bool {
        self.missing().next().is_none()
    }

    /// Those not known to hold to it yet.
    pub fn missing(&self) -> impl Iterator<Item = HostId> {
        let revision = self.revision();
        let behind = self.reached.iter().enumerate().filter(move |(_, r)| **r < revision);
        behind.map(|(place, _)| HostId(place as u32)).filter(|h| !self.out.contains(h))
    }

    /// What this host may send for a volume; `None`: no limit is to be kept.
    pub fn part(&self, volume: VolumeId) -> Option<Limit> {
        let share = self.share(volume);
        self.line.iter().fold(None, |least, p| lower(least, p.part(volume, self.me, share)))
    }

    fn by_itself(&self, id: VolumeId) -> VolumeAllocation {
        match self.held().volumes.get(&id).filter(|v| v.through(self.me)) {
            Some(v) => VolumeAllocation { volume: id, plan: v.plan, hosts: v.hosts.len() as u32, part: None },
            None => {
                let part = Some(Limit { rate: 0.0, burst: 0.0 });
                VolumeAllocation { volume: id, plan: PlanId::default(), hosts: 0, part }
            }
        }
    }

    fn allocations(&self, id: VolumeId) -> VolumeAllocation {
        let even = self.by_itself(id);
        let (part, own) = (self.part(id), self.held().part(id, self.me, None));
        // An even part is left to whoever holds it: rounding must not make two of one.
        if even.hosts == 0 { even } else { VolumeAllocation { part: part.filter(|_| part != own), ..even } }
    }

    /// The allocations that changed since this was last called, of all volumes of the line and those served before.
    pub fn changed(&mut self) -> Vec<VolumeAllocation> {
        let mut ids: Vec<VolumeId> = self.told.keys().copied().collect();
        ids.extend(self.line.iter().flat_map(|p| p.volumes.keys().copied()));
        ids.sort_unstable();
        ids.dedup();
        let all: Vec<VolumeAllocation> = ids.into_iter().map(|id| self.allocations(id)).collect();
        let changed = all.into_iter().filter(|t| self.told.get(&t.volume) != Some(t)).collect::<Vec<_>>();
        for t in &changed {
            self.told.insert(t.volume, t.clone());
        }
        // Told that it is gone, and named by no document of the line: nothing is left to compare with.
        let named = |id: &VolumeId| self.line.iter().any(|p| p.volumes.contains_key(id));
        self.told.retain(|id, t| t.hosts > 0 || named(id));
        changed
    }

    fn note(&self, revision: Revision) -> Note {
        let mut hosts = vec![0u8; self.reached.len().div_ceil(8)];
        for (place, _) in self.reached.iter().enumerate().filter(|(_, r)| **r >= revision) {
            hosts[place / 8] |= 1 << (place % 8);
        }
        Note { held: self.revision(), revision, hosts }
    }

    /// A note of another host; what comes back is told to it.
    pub fn hear(&mut self, from: HostId, note: &Note, now: Instant) -> (Heard, Option<Note>) {
        let Some(known) = self.reached.get(from.0 as usize).copied().filter(|_| from != self.me) else {
            return (Heard::Nothing, None);
        };
        let back = note.held < known;
        let mut news = self.reach(from, note.held);
        for place in 0..self.reached.len() {
            let set = note.hosts.get(place / 8).is_some_and(|byte| byte & (1 << (place % 8)) != 0);
            if set {
                news |= self.reach(HostId(place as u32), note.revision);
            }
        }
        if news {
            self.let_go();
            (self.next, self.wait) = (self.next.min(now + FIRST), FIRST);
        }
        let ours = self.note(note.revision);
        let theirs = |place: usize| note.hosts.get(place).copied().unwrap_or_default();
        let more = ours.hosts.iter().enumerate().any(|(place, byte)| byte & !theirs(place) != 0);
        let heard = match (back, news) {
            (true, _) => Heard::WentBack { from: known, to: note.held },
            (_, true) => Heard::News,
            _ => Heard::Nothing,
        };
        (heard, more.then_some(ours))
    }

    /// When [`ConfigTransition::tell`] has something to say at the latest.
    pub fn next(&self) -> Option<Instant> {
        let done = self.settled() && self.farewells == 0;
        (!done && self.revision() > Revision(0) && self.reached.len() > 1).then_some(self.next)
    }

    /// Who is told what now.
    pub fn tell(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<(HostId, Note)> {
        if self.next().is_none_or(|at| now < at) {
            return Vec::new();
        }
        if self.settled() {
            self.farewells -= 1;
        }
        self.next = now + self.wait;
        self.wait = self.wait.times(2.0).min(LONGEST);
        let note = self.note(self.revision());
        let others = rand::seq::index::sample(rng, self.reached.len() - 1, FEW.min(self.reached.len() - 1));
        let past_me = |place: usize| place + usize::from(place >= self.me.0 as usize);
        others.into_iter().map(|place| (HostId(past_me(place) as u32), note.clone())).collect()
    }
}
