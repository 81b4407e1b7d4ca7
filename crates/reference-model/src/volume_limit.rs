//! Rule 7: all hosts together keep to a volume's limit, by a token bucket replayed over the history.

use crate::Model;
use crate::history::{HistoryEntry, Observation};
use crate::rules::{Sending, Verdict};
use gullsail_scheduler_api::{
    Action, Event, HostId, Instant, Limit, PlanId, RequestId, Span, VolumeId,
};

/// The limit of the volume in the configuration that a host uses; `None`: no limit.
struct HeldLimit {
    host: HostId,
    limit: Option<Limit>,
}

/// Identifies a request: its id is unique only at its host.
#[derive(PartialEq)]
struct SentRequest {
    host: HostId,
    id: RequestId,
}

/// A volume's token bucket, shared by all hosts and replayed over the history.
struct Replay {
    volume: VolumeId,
    plan: PlanId,
    held: Vec<HeldLimit>,
    /// The requests whose first attempt has been sent.
    sent: Vec<SentRequest>,
    /// The limit that applies: the highest of all hosts' limits; `None` if a host has no limit.
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
                // A new incarnation of a host numbers its requests from the start again.
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
    /// Rule 7: a volume has one token bucket for all hosts. It is full at first and refills at the limit's rate up to its
    /// burst. The first attempt of each request takes the request's units. The level may fall below zero by the slack at
    /// most. While configurations change, the highest of the hosts' limits applies, and none if a host has no limit.
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
        // Hosts start with empty shares of the bucket, so a low level is rare. The rule is tested when clients request
        // more units within a second than the rate.
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
                "volume {} falls to {level:.3} units, with a slack of {slack}",
                volume.0
            );
            return Err(self.breach_by(7, sending, what));
        }
        Ok(())
    }
}
