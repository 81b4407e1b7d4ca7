//! This host's share of a volume's limit, and what the share will bring.

use super::peers::PeerDemand;
use super::state::{LimitKind, Volume};
use crate::scheduler::intervals::EPOCH;
use gullsail_scheduler_api::{Instant, Limit, SchedulerConfig, Span};

/// Longest time until tokens that is worked out, in seconds. It only bounds the figure: the answer to a client
/// is bounded again by the configured maximum.
const MAX_WAIT_SECS: f64 = 60.0;

/// Smallest refill rate assumed, in units a second, so that the time stays finite.
const MIN_RATE: f64 = 1e-3;

impl Volume {
    /// The limit over all hosts. While a plan that lost its limit has not reached all hosts, the others still
    /// keep to the old one, so an allocated share holds here too.
    pub(crate) fn limit(&self, config: &SchedulerConfig) -> Option<Limit> {
        if let LimitKind::CrossZoneBudget { position } = self.kind {
            return Some(config.cross_zone_budgets[position].limit);
        }
        let plan = config.plans.get(self.plan.0);
        plan.and_then(|plan| plan.limit).or(self.share)
    }

    /// This host's share of the rate and of the burst. Held tokens are missing from the burst.
    pub(crate) fn host_share(&mut self, now: Instant, limit: &Limit) -> Limit {
        let held = self.bucket.held_units(now);
        let even = Limit {
            rate: limit.rate / self.hosts,
            burst: limit.burst / self.hosts,
        };
        let share = self.share.unwrap_or(even);
        Limit {
            rate: share.rate,
            burst: share.burst - held,
        }
    }

    fn host_rate(&self, limit: &Limit) -> f64 {
        let even_rate = limit.rate / self.hosts;
        self.share.map_or(even_rate, |share| share.rate)
    }

    /// The tokens here after a time without spending or borrowing, without the bound by the burst.
    pub(crate) fn tokens_after(&self, time: Span, config: &SchedulerConfig) -> f64 {
        let limit = self.limit(config);
        let rate = limit.map_or(0.0, |limit| self.host_rate(&limit));
        self.bucket.tokens() + rate * time.secs()
    }

    /// The units that may be sent here until then: what this host's share brings, and what other hosts could
    /// lend. Nothing can be borrowed if each of them recently reported a demand for the whole limit.
    pub(crate) fn tokens_expected_by(
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
        let left_secs = (until - now).secs().max(0.0);
        let wants_whole_limit =
            |peer: &&PeerDemand| peer.is_recent(now) && peer.demand >= limit.rate;
        let busy_peers = self.peers.demands().filter(wants_whole_limit).count();
        let busy_hosts = busy_peers as f64 + 1.0;
        let cannot_borrow = !config.peer_messages_enabled || busy_hosts >= self.hosts;
        let expected = if cannot_borrow {
            rate * left_secs
        } else {
            limit.burst + limit.rate * left_secs
        };
        self.bucket.tokens() + expected
    }

    /// When this host's share will have brought tokens for all that waits here and for so many units more.
    pub(crate) fn time_until_tokens(&self, units: f64, config: &SchedulerConfig) -> Span {
        let Some(limit) = self.limit(config) else {
            return EPOCH;
        };
        let rate = self.host_rate(&limit);
        let missing = self.bucket.waiting_units() + units - self.bucket.tokens();
        let wait_secs = (missing / rate.max(MIN_RATE)).clamp(0.0, MAX_WAIT_SECS);
        Span::from_millis(wait_secs * 1e3).max(EPOCH)
    }
}
