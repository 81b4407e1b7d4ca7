//! Records overruns of cross-zone budgets, each with the reason known when the bytes were sent. Bytes beyond the same
//! budget for the same reason are combined into one overrun if the gaps between them are short.

use gullsail::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{Instant, OverrunCause, PlanId, Span, VolumeId};
use std::collections::{BTreeMap, VecDeque};

/// The reason why a budget was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverrunReason {
    /// The cause that the scheduler gives.
    Decided(OverrunCause),
    /// The data of the requests is in another zone, and this plan had far more traffic between zones than usual.
    Surge(PlanId),
}

/// The bytes beyond one budget for one reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Overrun {
    /// The id of the cross-zone budget that was exceeded.
    pub cross_zone_budget: VolumeId,
    /// Why the budget was exceeded, as far as it was known when the bytes were counted.
    pub known: OverrunReason,
    /// The time of the first bytes beyond the budget.
    pub from: Instant,
    /// The time of the last bytes beyond the budget.
    pub to: Instant,
    /// The number of bytes beyond the budget.
    pub bytes: f64,
}

/// After a longer time without bytes beyond the budget, the next bytes begin another overrun.
const MAX_GAP: Span = Span::from_micros(2_000_000);
/// The maximum number of overruns that are kept.
const MAX_KEPT: usize = 1000;
/// The number of the newest overruns that are searched for one to which new bytes can be added.
const NEWEST_SEARCHED: usize = 16;
/// A plan surges if its recent traffic exceeds its usual traffic by this factor and is more than half of all traffic.
const SURGE_FACTOR: f64 = 2.0;
/// The time constant of the sum of recent traffic.
const RECENT_WINDOW: Span = Span::from_micros(3_000_000);
/// The time constant of the sum of usual traffic.
const USUAL_WINDOW: Span = Span::from_micros(60_000_000);

/// The traffic of a plan between zones, in bytes.
#[derive(Debug, Default)]
struct PlanTraffic {
    recent: DecayingSum,
    usual: DecayingSum,
}

/// The traffic of a plan between zones, in bytes a second.
struct PlanRate {
    plan: PlanId,
    recent: f64,
    usual: f64,
}

/// The newest overruns of one incarnation of a host, and the traffic of plans, from which surges are detected.
#[derive(Debug, Default)]
pub struct Overruns {
    all: VecDeque<Overrun>,
    plans: BTreeMap<PlanId, PlanTraffic>,
    /// The time of the first traffic between zones.
    first_traffic: Option<Instant>,
}

impl Overruns {
    /// Counts bytes of a plan between zones, whether or not a budget is exceeded.
    pub fn crossed(&mut self, now: Instant, plan: PlanId, bytes: f64) {
        self.first_traffic.get_or_insert(now);
        let traffic = self.plans.entry(plan).or_default();
        traffic.recent.add(now, RECENT_WINDOW, bytes);
        traffic.usual.add(now, USUAL_WINDOW, bytes);
    }

    /// The plan with most of the recent traffic, if its traffic is far above its usual rate.
    fn surge(&mut self, now: Instant) -> Option<PlanId> {
        // Shortly after the start, the sum of usual traffic covers only a fraction of its window, and the rate is scaled
        // up accordingly. In the first seconds no surge is detected.
        let seen = (now - self.first_traffic?).secs();
        let fraction = 1.0 - (-seen / USUAL_WINDOW.secs()).exp();
        let rates = self.plans.iter_mut().map(|(plan, traffic)| PlanRate {
            plan: *plan,
            recent: traffic.recent.read(now, RECENT_WINDOW) / RECENT_WINDOW.secs(),
            usual: traffic.usual.read(now, USUAL_WINDOW) / USUAL_WINDOW.secs() / fraction.max(1e-9),
        });
        let rates: Vec<PlanRate> = rates.collect();
        let all: f64 = rates.iter().map(|rate| rate.recent).sum();
        let largest = rates
            .into_iter()
            .max_by(|one, other| one.recent.total_cmp(&other.recent))?;
        let known_long_enough = seen > RECENT_WINDOW.secs() * 2.0;
        let surges = largest.recent * 2.0 > all && largest.recent > SURGE_FACTOR * largest.usual;
        (known_long_enough && surges).then_some(largest.plan)
    }

    /// Records bytes beyond a budget, with the cause that the scheduler gives.
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

    /// The number of entries that are kept.
    pub fn kept(&self) -> usize {
        self.all.len() + self.plans.len()
    }

    /// All overruns that are kept, oldest first.
    pub fn all(&self) -> impl Iterator<Item = &Overrun> {
        self.all.iter()
    }
}
