//! Overruns of cross-zone budgets, each with its reason as known when it was decided. Bytes that follow each
//! other for the same reason are one overrun with its interval.

use gullsail::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{Instant, OverrunCause, PlanId, Span, VolumeId};
use std::collections::{BTreeMap, VecDeque};

/// What was known when bytes went beyond a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverrunReason {
    /// The scheduler's own cause.
    Decided(OverrunCause),
    /// Bound to its data, while this plan had far more traffic between zones than usual.
    Surge(PlanId),
}

/// Bytes beyond one budget for one reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Overrun {
    /// Which budget.
    pub cross_zone_budget: VolumeId,
    /// Why.
    pub known: OverrunReason,
    /// When it began.
    pub from: Instant,
    /// When it grew last.
    pub to: Instant,
    /// How much.
    pub bytes: f64,
}

/// After so long without a byte beyond the budget, the next one begins another overrun.
const MAX_GAP: Span = Span::from_micros(2_000_000);
/// Overruns that are kept.
const MAX_KEPT: usize = 1000;
/// How many of the newest are searched for one that goes on.
const NEWEST_SEARCHED: usize = 16;
/// A plan surges when its traffic is so many times that of the minute before, and most of all traffic.
const SURGE_FACTOR: f64 = 2.0;
const SURGE_WINDOW: Span = Span::from_micros(3_000_000);
const USUAL_WINDOW: Span = Span::from_micros(60_000_000);

/// A plan's traffic between zones.
#[derive(Debug, Default)]
struct PlanTraffic {
    lately: DecayingSum,
    usually: DecayingSum,
}

/// A plan's traffic as rates.
struct PlanRate {
    plan: PlanId,
    lately: f64,
    usually: f64,
}

/// The newest overruns of one incarnation of a host, and what is needed to name their reasons.
#[derive(Debug, Default)]
pub struct Overruns {
    all: VecDeque<Overrun>,
    plans: BTreeMap<PlanId, PlanTraffic>,
    began: Option<Instant>,
}

impl Overruns {
    /// Counts bytes of a plan between zones, within budgets or beyond them.
    pub fn crossed(&mut self, now: Instant, plan: PlanId, bytes: f64) {
        self.began.get_or_insert(now);
        let traffic = self.plans.entry(plan).or_default();
        traffic.lately.add(now, SURGE_WINDOW, bytes);
        traffic.usually.add(now, USUAL_WINDOW, bytes);
    }

    /// The plan that makes most of the traffic and far more than usual, if there is one.
    fn surge(&mut self, now: Instant) -> Option<PlanId> {
        // What is usual is known after a while only; a sum that is young has seen but a part of its window.
        let seen = (now - self.began?).secs();
        let part = 1.0 - (-seen / USUAL_WINDOW.secs()).exp();
        let rates = self.plans.iter_mut().map(|(plan, traffic)| PlanRate {
            plan: *plan,
            lately: traffic.lately.read(now, SURGE_WINDOW) / SURGE_WINDOW.secs(),
            usually: traffic.usually.read(now, USUAL_WINDOW) / USUAL_WINDOW.secs() / part.max(1e-9),
        });
        let rates: Vec<PlanRate> = rates.collect();
        let all: f64 = rates.iter().map(|rate| rate.lately).sum();
        let most = rates
            .into_iter()
            .max_by(|one, other| one.lately.total_cmp(&other.lately))?;
        let known_long_enough = seen > SURGE_WINDOW.secs() * 2.0;
        let surges = most.lately * 2.0 > all && most.lately > SURGE_FACTOR * most.usually;
        (known_long_enough && surges).then_some(most.plan)
    }

    /// Records bytes that went beyond a budget.
    pub fn record(
        &mut self,
        now: Instant,
        cross_zone_budget: VolumeId,
        bytes: f64,
        cause: OverrunCause,
    ) {
        let known = match (cause, self.surge(now)) {
            (OverrunCause::DataPlacement, Some(plan)) => OverrunReason::Surge(plan),
            _ => OverrunReason::Decided(cause),
        };
        let continues = |overrun: &&mut Overrun| {
            overrun.cross_zone_budget == cross_zone_budget
                && overrun.known == known
                && now - overrun.to <= MAX_GAP
        };
        if let Some(overrun) = self
            .all
            .iter_mut()
            .rev()
            .take(NEWEST_SEARCHED)
            .find(continues)
        {
            overrun.to = overrun.to.max(now);
            overrun.bytes += bytes;
            return;
        }
        if self.all.len() == MAX_KEPT {
            self.all.pop_front();
        }
        self.all.push_back(Overrun {
            cross_zone_budget,
            known,
            from: now,
            to: now,
            bytes,
        });
    }

    /// How many entries are kept.
    pub fn kept(&self) -> usize {
        self.all.len() + self.plans.len()
    }

    /// All that are kept, oldest first.
    pub fn all(&self) -> impl Iterator<Item = &Overrun> {
        self.all.iter()
    }
}
