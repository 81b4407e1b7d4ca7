//! This host's share of a volume's limit, and the tokens expected from it.

use super::peers::PeerDemand;
use super::state::{LimitKind, Volume};
use crate::scheduler::intervals::EPOCH;
use gullsail_scheduler_api::{Instant, Limit, SchedulerConfig, Span};

/// Upper bound of the computed time until tokens, in seconds. The retry delay that is sent to a client is
/// bounded again by the configured maximum.
const MAX_WAIT_SECS: f64 = 60.0;

/// Lower bound of a refill rate that is divided by, in units a second, so that the time stays finite.
const MIN_RATE: f64 = 1e-3;

impl Volume {
    /// The limit over all hosts; `None` if the volume has none. If the plan has lost its limit, the allocated
    /// share of this host still applies, since other hosts may not have received the new plan yet and keep the
    /// old limit.
    pub(crate) fn limit(&self, config: &SchedulerConfig) -> Option<Limit> {
        if let LimitKind::CrossZoneBudget { position } = self.kind {
            return Some(config.cross_zone_budgets[position].limit);
        }
        let plan = config.plans.get(self.plan.0);
        plan.and_then(|plan| plan.limit).or(self.share)
    }

    /// This host's share of the rate and of the burst. The burst is lowered by the held tokens.
    pub(crate) fn host_share(&mut self, now: Instant, limit: &Limit) -> Limit {
        let held = self.bucket.held_units(now);
        let even = Limit {
            rate: limit.rate / self.host_count,
            burst: limit.burst / self.host_count,
        };
        let share = self.share.unwrap_or(even);
        Limit {
            rate: share.rate,
            burst: share.burst - held,
        }
    }

    fn host_rate(&self, limit: &Limit) -> f64 {
        let even_rate = limit.rate / self.host_count;
        self.share.map_or(even_rate, |share| share.rate)
    }

    /// The tokens of this host after `time` if none are spent or borrowed. Not bounded by the burst.
    pub(crate) fn tokens_after(&self, time: Span, config: &SchedulerConfig) -> f64 {
        let limit = self.limit(config);
        let rate = limit.map_or(0.0, |limit| self.host_rate(&limit));
        self.bucket.tokens() + rate * time.secs()
    }

    /// The tokens that this host may have by `until`: its current tokens, those from its share, and those that
    /// other hosts could lend. No tokens can be borrowed if hosts cannot send each other messages, or if every
    /// other host recently reported a demand for the whole limit. Infinite without a limit.
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
        let busy_host_count = busy_peers as f64 + 1.0;
        let cannot_borrow = !config.peer_messages_enabled || busy_host_count >= self.host_count;
        let expected = if cannot_borrow {
            rate * left_secs
        } else {
            limit.burst + limit.rate * left_secs
        };
        self.bucket.tokens() + expected
    }

    /// The time until this host's share yields tokens for all waiting units and for `units` more; at least one
    /// epoch and at most [`MAX_WAIT_SECS`]. One epoch without a limit.
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
