//! Loans of tokens between the hosts of a volume. Tokens are lent, not rates: the lender lowers its own tokens
//! and its burst before the borrower is told, so the tokens of all hosts never sum past the plan's burst,
//! whatever becomes of messages, clocks or hosts. A loan whose message is lost is lost to all.

use super::peers::TOKEN_REQUEST_INTERVAL;
use super::state::{LimitKind, Volume};
use crate::scheduler::intervals::DEMAND_WINDOW;
use gullsail_scheduler_api::demand_report::{self, VolumeDemand};
use gullsail_scheduler_api::{HostId, Instant, Limit, SchedulerConfig};

/// A request to some peers for tokens.
pub(crate) struct TokenRequest {
    /// Demand at this host, in units a second.
    pub(crate) demand: f64,
    /// Tokens wanted from each lender.
    pub(crate) wanted: f64,
    pub(crate) lenders: Vec<HostId>,
}

impl Volume {
    /// A request for tokens, if more units wait than there are tokens and it is time to ask.
    pub(crate) fn token_request(
        &mut self,
        now: Instant,
        config: &SchedulerConfig,
    ) -> Option<TokenRequest> {
        let limit = self.limit(config).filter(|_| self.peers.may_ask(now))?;
        self.refill(now, config);
        let can_ask = config.peer_messages_enabled && self.peers.count() > 0;
        if !self.bucket.is_short() || !can_ask {
            return None;
        }
        let demand = self.demand.last();
        let burst = self.host_share(now, &limit).burst;
        let needed = self.bucket.waiting_units() + demand * DEMAND_WINDOW.secs();
        let missing = needed.min(burst) - self.bucket.tokens();
        let lenders = self.peers.next_lenders(now);
        Some(TokenRequest {
            demand,
            wanted: missing / lenders.len() as f64,
            lenders,
        })
    }

    /// Takes in a peer's report with the tokens that it lends. Returns the report to answer with, if the peer
    /// wants tokens and there are some to lend. `started_at` is when this host started.
    pub(crate) fn receive_report(
        &mut self,
        from: HostId,
        made_at: Instant,
        report: VolumeDemand,
        started_at: Instant,
        now: Instant,
        config: &SchedulerConfig,
    ) -> Option<VolumeDemand> {
        self.refill(now, config);
        if !self.peers.record(from, made_at, report.demand) {
            return None;
        }
        // Tokens that were lent to an earlier incarnation of this host do not count.
        let limit = self.limit(config).filter(|_| made_at > started_at);
        if let Some(limit) = limit {
            self.borrow(report.lent, made_at, now, &limit);
        }
        if report.wanted <= 0.0 {
            return None;
        }
        let lent = self.lend(now, config, report.wanted);
        (lent > 0.0).then(|| VolumeDemand {
            demand: self.demand.last(),
            wanted: 0.0,
            lent,
            ..report
        })
    }

    /// Adds lent tokens. After the time for which the lender holds them they no longer count.
    fn borrow(&mut self, lent: f64, made_at: Instant, now: Instant, limit: &Limit) {
        let in_time = now - made_at < TOKEN_REQUEST_INTERVAL;
        let usable = if in_time { lent } else { 0.0 };
        let burst = self.host_share(now, limit).burst;
        self.bucket.add(usable, burst);
    }

    /// Takes the tokens for a peer out of the bucket and returns how many there are.
    fn lend(&mut self, now: Instant, config: &SchedulerConfig, wanted: f64) -> f64 {
        let Some(limit) = self.limit(config) else {
            return 0.0;
        };
        self.refill(now, config);
        let keep = self.tokens_to_keep(now, config, &limit);
        let lent = demand_report::as_received(wanted.min(self.bucket.tokens() - keep));
        self.bucket.take(lent);
        if lent > 0.0 {
            self.bucket.hold(lent, now + TOKEN_REQUEST_INTERVAL);
        }
        lent
    }

    /// The rate rule of docs/design.md: a host keeps its own demand while the hosts together ask for less than
    /// the limit, else its share of the limit by demand. It also keeps what its next request needs: if many
    /// hosts ask, none would otherwise have enough for a whole request.
    fn tokens_to_keep(&self, now: Instant, config: &SchedulerConfig, limit: &Limit) -> f64 {
        let own = self.demand.last();
        let recent = self.peers.demands().filter(|peer| peer.is_recent(now));
        let fleet = own + recent.map(|peer| peer.demand).sum::<f64>();
        let kept_rate = if fleet > limit.rate {
            own / fleet * limit.rate
        } else {
            own
        };
        let largest_request = match self.kind {
            LimitKind::CrossZoneBudget { .. } => config.max_bytes,
            LimitKind::Volume => config.max_units,
        };
        let next_request = self.bucket.waiting_units().min(largest_request);
        (kept_rate * DEMAND_WINDOW.secs()).max(next_request)
    }
}
