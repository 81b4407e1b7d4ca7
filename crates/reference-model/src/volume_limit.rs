//! Rule 7: what all hosts send for a volume, read from the whole history.

use crate::Model;
use crate::history::{HistoryEntry, Observation};
use crate::rules::{Sending, Verdict};
use gullsail_scheduler_api::{
    Action, Event, HostId, Instant, Limit, PlanId, RequestId, Span, VolumeId,
};

/// The limit that a host holds to.
struct HeldLimit {
    host: HostId,
    limit: Option<Limit>,
}

/// A request, by the host that sent its first attempt.
#[derive(PartialEq)]
struct SentRequest {
    host: HostId,
    id: RequestId,
}

/// A volume's bucket for all hosts, filled and emptied along the history.
struct Replay {
    volume: VolumeId,
    plan: PlanId,
    held: Vec<HeldLimit>,
    /// Requests whose first attempt was sent.
    sent: Vec<SentRequest>,
    /// The limit that binds: the highest that a host holds to, none where one knows of no limit.
    limit: Option<Limit>,
    tokens: f64,
    at: Instant,
}

impl Replay {
    fn apply(&mut self, before: &[HistoryEntry], entry: &HistoryEntry) {
        let host = entry.host;
        let plan = self.plan;
        let mut taken = 0.0;
        match &entry.what {
            Observation::HostStarted(config) => {
                // A host's ids begin anew with each incarnation.
                self.sent.retain(|sent| sent.host != host);
                self.held.retain(|held| held.host != host);
                let limit = config.plans.get(plan.0).and_then(|plan| plan.limit);
                self.held.push(HeldLimit { host, limit });
            }
            Observation::HostKilled => self.held.retain(|held| held.host != host),
            Observation::Saw(Event::ConfigChanged {
                plans, allocations, ..
            }) => {
                let Some(changed) = allocations.iter().find(|entry| entry.volume == self.volume)
                else {
                    return;
                };
                for held in self.held.iter_mut().filter(|held| held.host == host) {
                    held.limit = plans.get(changed.plan.0).and_then(|plan| plan.limit);
                }
            }
            Observation::Did(Action::StartAttempt { id, .. })
                if !self.sent.contains(&SentRequest { host, id: *id }) =>
            {
                self.sent.push(SentRequest { host, id: *id });
                let request = before.iter().rev().find_map(|earlier| match &earlier.what {
                    Observation::Saw(Event::RequestArrived(request))
                        if earlier.host == host && request.id == *id =>
                    {
                        Some(request)
                    }
                    _ => None,
                });
                taken = request
                    .filter(|request| request.volume == self.volume)
                    .map_or(0.0, |request| request.units);
            }
            _ => return,
        }
        self.refill(entry.at);
        self.bind();
        self.tokens -= taken;
    }

    fn refill(&mut self, now: Instant) {
        if let Some(limit) = self.limit {
            self.tokens = (self.tokens + limit.rate * (now - self.at).secs()).min(limit.burst);
        }
        self.at = now;
    }

    fn bind(&mut self) {
        let highest = |one: Limit, other: Limit| Limit {
            rate: one.rate.max(other.rate),
            burst: one.burst.max(other.burst),
        };
        let all: Option<Vec<Limit>> = self.held.iter().map(|held| held.limit).collect();
        let binding = all.and_then(|all| all.into_iter().reduce(highest));
        if let Some(limit) = binding {
            self.tokens = if self.limit.is_none() {
                limit.burst
            } else {
                self.tokens.min(limit.burst)
            };
        }
        self.limit = binding;
    }
}

impl Model {
    /// Rule 7: a volume's bucket for all hosts is full at first, fills at the limit's rate up to its burst,
    /// and the first attempt of each request takes its units; it goes below empty by no more than the slack.
    /// While configurations change, the highest limit binds that a host still holds to; none does where one
    /// knows of no limit.
    pub(crate) fn within_the_volume_limit(&mut self, sending: &Sending) -> Verdict {
        let request = &sending.history.request;
        let now = sending.now;
        let volume = request.volume;
        let mut bucket = Replay {
            volume,
            plan: request.plan,
            held: Vec::new(),
            sent: Vec::new(),
            limit: None,
            tokens: 0.0,
            at: now,
        };
        for (place, entry) in self.history.iter().enumerate() {
            bucket.apply(&self.history[..place], entry);
        }
        let Some(limit) = bucket.limit else {
            return Ok(());
        };
        bucket.refill(now);
        let level = bucket.tokens - request.units;
        // Hosts that start empty leave most of the bucket alone: what is asked beyond the rate is what tries
        // the rule.
        let lately = self
            .history
            .iter()
            .filter(|entry| now - entry.at < Span::from_micros(1_000_000));
        let asked = lately.filter_map(|entry| match &entry.what {
            Observation::Saw(Event::RequestArrived(request)) if request.volume == volume => {
                Some(request.units)
            }
            _ => None,
        });
        self.tested[6] += u64::from(asked.sum::<f64>() > limit.rate);
        let slack = self.parameters.slack;
        if level < -slack - 1e-6 {
            let what = format!(
                "volume {} goes to {level:.3} units, with a slack of {slack}",
                volume.0
            );
            return Err(self.breach_by(7, sending, what));
        }
        Ok(())
    }
}
