//! Volumes and budgets between zones: the token bucket, the rate rule, what requests spend, loans to other
//! hosts. Called by `admission`, `dispatch`, `cross_zone` and `demand_reports`; the state stands in
//! `volume_table`.

use super::{Loan, PeerDemand, REVIEW_EVERY, Volume};
use gullsail_scheduler_api::{Instant, Limit, SchedulerConfig, Span, demand_report};

pub(super) const EPOCH: Span = Span::from_micros(250_000); // volumes are reviewed, at common points in time
// The design's window for demand; other sums keep to it
pub(super) const DEMAND_WINDOW: Span = Span::from_micros(1_000_000);
/// A few round trips between hosts: how often tokens are asked for, and how long lent ones may travel.
pub(super) const ASK_EVERY: Span = Span::from_micros(100_000);
const LONGEST_ADVICE_SECS: f64 = 60.0;

impl Volume {
    /// This host's share of the rate and of the burst; what was lent is missing from the burst.
    pub(super) fn host_share(&mut self, now: Instant, limit: &Limit) -> Limit {
        while self
            .bucket
            .loans
            .pop_front_if(|loan| loan.until <= now)
            .is_some()
        {}
        let lent: f64 = self.bucket.loans.iter().map(|loan| loan.units).sum();
        let even = Limit {
            rate: limit.rate / self.hosts,
            burst: limit.burst / self.hosts,
        };
        let share = self.share.unwrap_or(even);
        Limit {
            rate: share.rate,
            burst: share.burst - lent,
        }
    }

    /// Also where the plan has none any more and other hosts still hold to the one it had.
    pub(super) fn limit(&self, config: &SchedulerConfig) -> Option<Limit> {
        let budget = self
            .cross_zone_budget
            .map(|place| config.cross_zone_budgets[place].limit);
        budget
            .or_else(|| config.plans.get(self.plan.0)?.limit)
            .or(self.share)
    }

    pub(super) fn refill(&mut self, now: Instant, config: &SchedulerConfig) {
        let elapsed = (now - self.bucket.refilled_at).secs().max(0.0);
        if let Some(limit) = &self.limit(config) {
            let share = self.host_share(now, limit);
            self.bucket.tokens = (self.bucket.tokens + share.rate * elapsed).min(share.burst);
        }
        let own = self.demand.read(now, DEMAND_WINDOW);
        self.bucket.refilled_at = self.bucket.refilled_at.max(now);
        let plan = config
            .plans
            .get(self.plan.0)
            .filter(|_| self.cross_zone_budget.is_none());
        let Some(plan) = plan else { return };
        let fleet = self
            .fleet_usage
            .map_or(own * self.hosts, |usage| usage.max(own))
            .max(1e-9);
        let rate = plan.reserve * (own / fleet).max(1.0 / self.hosts / 2.0);
        self.reserve = (self.reserve + rate * elapsed).min(rate + config.max_units);
    }

    /// Takes a first attempt's units from the bucket, and from the reserve while that holds them.
    pub(super) fn spend(&mut self, now: Instant, config: &SchedulerConfig, units: f64) {
        self.bucket.tokens -= units;
        if config.connect_wait > Span::ZERO && self.limit(config).is_some() {
            // Until it has gone out the burst is lower by it, as by a loan: none fills up behind it.
            let until = now + config.connect_wait + REVIEW_EVERY;
            self.bucket.loans.push_back(Loan { until, units });
        }
        if self.reserve >= units {
            self.reserve -= units;
        } else {
            let weight = config.plans[self.plan.0].weight.max(0.01);
            self.excess.add(now, DEMAND_WINDOW, units / weight);
        }
    }

    /// The units that may be sent here until then: what its own share brings, and what other hosts could
    /// lend, unless each of them reported of late that it asks for the whole limit itself.
    pub(super) fn tokens_by(
        &mut self,
        now: Instant,
        until: Instant,
        config: &SchedulerConfig,
    ) -> f64 {
        let Some(limit) = self.limit(config) else {
            return f64::INFINITY;
        };
        self.refill(now, config);
        let rate = self.host_share(now, &limit).rate;
        let left = (until - now).secs().max(0.0);
        let busy = |peer: &&PeerDemand| peer.is_recent(now) && peer.demand >= limit.rate;
        let busy_hosts = self.peers.reports.values().filter(busy).count() as f64 + 1.0;
        let alone = !config.peer_messages_enabled || busy_hosts >= self.hosts;
        self.bucket.tokens
            + if alone {
                rate * left
            } else {
                limit.burst + limit.rate * left
            }
    }

    /// When its own share has brought tokens for all that waits here, and so many units more.
    pub(super) fn refill_wait(&self, units: f64, config: &SchedulerConfig) -> Span {
        let Some(limit) = self.limit(config) else {
            return EPOCH;
        };
        let rate = self
            .share
            .map_or(limit.rate / self.hosts.max(1.0), |share| share.rate);
        let missing = self.bucket.waiting + units - self.bucket.tokens;
        let wait = (missing / rate.max(1e-3)).clamp(0.0, LONGEST_ADVICE_SECS);
        Span::from_millis(wait * 1e3).max(EPOCH)
    }

    /// Tokens for a host that needs some. The rate rule of the design page says what this host keeps: its
    /// own demand while the sum is under the limit, above that its share of the limit by demand. The lender
    /// lowers itself at once, tokens and cap; a loan whose message is lost is lost to all.
    pub(super) fn lend(&mut self, now: Instant, config: &SchedulerConfig, wanted: f64) -> f64 {
        let Some(limit) = self.limit(config) else {
            return 0.0;
        };
        self.refill(now, config);
        let own = self.demand.last();
        let recent = self
            .peers
            .reports
            .values()
            .filter(|peer| peer.is_recent(now));
        let fleet = own + recent.map(|peer| peer.demand).sum::<f64>();
        let keep = if fleet > limit.rate {
            own / fleet * limit.rate
        } else {
            own
        } * DEMAND_WINDOW.secs();
        // And what its next request needs: many who ask would else leave none enough for a whole one.
        let largest = if self.cross_zone_budget.is_some() {
            config.max_bytes
        } else {
            config.max_units
        };
        let keep = keep.max(self.bucket.waiting.min(largest));
        let units = demand_report::rounded(wanted.min(self.bucket.tokens - keep));
        self.bucket.tokens -= units;
        if units > 0.0 {
            self.bucket.loans.push_back(Loan {
                until: now + ASK_EVERY,
                units,
            });
        }
        units
    }
}

impl PeerDemand {
    fn is_recent(&self, now: Instant) -> bool {
        now - self.reported_at < DEMAND_WINDOW
    }
}
