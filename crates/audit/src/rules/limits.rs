//! Rule 7: the first attempts of all hosts together keep to each volume's limit.

use super::MICROS_A_SECOND;
use super::volume_limits::{LimitFrom, VolumeLimit, limits_over_time};
use crate::history::{AttemptSeen, History, RequestSeen};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use std::collections::{BTreeMap, VecDeque};

/// The tolerance, in units, for rounding errors in sums of units.
const TOLERANCE: f64 = 1e-6;
const SECOND: i64 = 1_000_000;

/// Tested by each first attempt before which clients asked for more units of the volume within a second than its limit
/// refills.
pub(super) fn judge(deployment: &Deployment, history: &History) -> Verdict {
    let mut verdict = Verdict::new(7, "limits kept over all hosts");
    let mut volumes: BTreeMap<&str, Vec<&AttemptSeen>> = BTreeMap::new();
    for seen in history
        .attempts
        .iter()
        .filter(|seen| seen.attempt.number == 0)
    {
        volumes.entry(&seen.attempt.volume).or_default().push(seen);
    }
    for (volume, mut attempts) in volumes {
        attempts.sort_by_key(|attempt| (attempt.at, attempt.line));
        let limits = limits_over_time(deployment, history, volume);
        judge_volume(&mut verdict, history, volume, &attempts, &limits);
    }
    verdict
}

fn judge_volume(
    verdict: &mut Verdict,
    history: &History,
    volume: &str,
    attempts: &[&AttemptSeen],
    limits: &[LimitFrom],
) {
    let Some(first) = attempts.first() else {
        return;
    };
    let mut demand = RecentDemand::new(history, volume);
    let mut bucket = Bucket {
        limit: None,
        level: f64::INFINITY,
        at: first.at,
    };
    let mut limits = limits.iter().peekable();
    for attempt in attempts {
        let asked = demand.at(attempt.at);
        while let Some(next) = limits.next_if(|next| next.from <= attempt.at) {
            bucket.change_limit(next);
        }
        let Some(limit) = bucket.limit else { continue };
        bucket.take(attempt.at, attempt.attempt.units);
        verdict.test_if(asked > limit.rate);
        verdict.approach((limit.burst - bucket.level) / (limit.burst + limit.slack));
        if bucket.level < -limit.slack - TOLERANCE {
            let excess = -bucket.level;
            let slack = limit.slack;
            let what =
                format!("volume {volume}: {excess:.1} units beyond its tokens, {slack} allowed");
            verdict.breach(what, [attempt.line]);
        }
    }
}

/// A volume's token bucket, shared by all hosts.
struct Bucket {
    limit: Option<VolumeLimit>,
    level: f64,
    at: i64,
}

impl Bucket {
    /// Refills the bucket at the old limit's rate up to the change, then applies the new limit's burst.
    fn change_limit(&mut self, next: &LimitFrom) {
        let changed_at = next.from.max(self.at);
        if let Some(limit) = self.limit {
            self.fill(limit, changed_at);
        }
        self.limit = next.limit;
        self.at = changed_at;
        self.level = match next.limit {
            Some(limit) => self.level.min(limit.burst),
            None => f64::INFINITY,
        };
    }

    fn fill(&mut self, limit: VolumeLimit, until: i64) {
        let filled = limit.rate * (until - self.at) as f64 / MICROS_A_SECOND;
        self.level = (self.level + filled).min(limit.burst);
    }

    fn take(&mut self, at: i64, units: f64) {
        if let Some(limit) = self.limit {
            self.fill(limit, at);
        }
        self.at = at;
        self.level -= units;
    }
}

/// The units that clients requested of a volume within the last second.
struct RecentDemand<'a> {
    upcoming: VecDeque<&'a RequestSeen>,
    recent: VecDeque<&'a RequestSeen>,
    sum: f64,
}

impl RecentDemand<'_> {
    fn new<'a>(history: &'a History, volume: &str) -> RecentDemand<'a> {
        let requests = history
            .requests
            .iter()
            .filter(|request| request.submit.volume == volume);
        RecentDemand {
            upcoming: requests.collect(),
            recent: VecDeque::new(),
            sum: 0.0,
        }
    }

    fn at(&mut self, at: i64) -> f64 {
        while let Some(request) = self.upcoming.pop_front_if(|request| request.at <= at) {
            self.sum += request.submit.units;
            self.recent.push_back(request);
        }
        while let Some(request) = self.recent.pop_front_if(|request| request.at < at - SECOND) {
            self.sum -= request.submit.units;
        }
        self.sum
    }
}
