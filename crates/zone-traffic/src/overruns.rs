//! What went past a budget, and why, as it was known when it was decided. Bytes that follow each other for the same
//! cause are one breach with its interval.

use gullsail::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{Instant, OverrunCause, PlanId, Span, VolumeId};
use std::collections::{BTreeMap, VecDeque};

/// What was known when bytes went past a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Known {
    /// The decisions' own word.
    Decided(OverrunCause),
    /// Bound to its data, while this plan crossed far more than it used to.
    Surge(PlanId),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub cross_zone_budget: VolumeId,
    pub known: Known,
    pub from: Instant,
    pub to: Instant,
    pub bytes: f64,
}

/// Longer without a byte past it, and the next is another breach.
const APART: Span = Span::from_micros(2_000_000);
/// Breaches that are kept.
const KEPT: usize = 1000;
/// A plan surges that crosses so many times what it did in the minute before, and most of what crosses.
const TIMES: f64 = 2.0;
const LATELY: Span = Span::from_micros(3_000_000);
const USUALLY: Span = Span::from_micros(60_000_000);

#[derive(Debug, Default)]
pub struct Breaches {
    all: VecDeque<Breach>,
    /// What each plan had cross, lately and usually.
    plans: BTreeMap<PlanId, (DecayingSum, DecayingSum)>,
    began: Option<Instant>,
}

impl Breaches {
    /// Bytes of a plan crossed, within budgets or past them.
    pub fn crossed(&mut self, now: Instant, plan: PlanId, bytes: f64) {
        self.began.get_or_insert(now);
        let (lately, usually) = self.plans.entry(plan).or_default();
        lately.add(now, LATELY, bytes);
        usually.add(now, USUALLY, bytes);
    }

    /// The plan that makes most of what crosses and far more than it used to, if there is one.
    fn surge(&mut self, now: Instant) -> Option<PlanId> {
        // What is usual is known after a while only; a sum that is young has seen but a part of its span.
        let seen = (now - self.began?).secs();
        let part = 1.0 - (-seen / USUALLY.secs()).exp();
        let rates = self.plans.iter_mut().map(|(plan, (lately, usually))| {
            let rate = lately.read(now, LATELY) / LATELY.secs();
            (*plan, rate, usually.read(now, USUALLY) / USUALLY.secs() / part.max(1e-9))
        });
        let rates: Vec<_> = rates.collect();
        let all: f64 = rates.iter().map(|r| r.1).sum();
        let most = rates.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
        (seen > LATELY.secs() * 2.0 && most.1 * 2.0 > all && most.1 > TIMES * most.2).then_some(most.0)
    }

    /// Bytes went past a budget.
    pub fn past(&mut self, now: Instant, cross_zone_budget: VolumeId, bytes: f64, cause: OverrunCause) {
        let known = match (cause, self.surge(now)) {
            (OverrunCause::DataPlacement, Some(plan)) => Known::Surge(plan),
            _ => Known::Decided(cause),
        };
        let same = |b: &&mut Breach| {
            b.cross_zone_budget == cross_zone_budget && b.known == known && now - b.to <= APART
        };
        if let Some(b) = self.all.iter_mut().rev().take(16).find(same) {
            (b.to, b.bytes) = (b.to.max(now), b.bytes + bytes);
            return;
        }
        if self.all.len() == KEPT {
            self.all.pop_front();
        }
        self.all.push_back(Breach { cross_zone_budget, known, from: now, to: now, bytes });
    }

    /// How much is kept.
    pub fn kept(&self) -> usize {
        self.all.len() + self.plans.len()
    }

    pub fn all(&self) -> impl Iterator<Item = &Breach> {
        self.all.iter()
    }
}
