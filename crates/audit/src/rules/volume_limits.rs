//! The limit that all hosts together must keep for a volume at each time: that of the oldest revision of the
//! configuration that a running host may still use.

use crate::history::{History, RevisionSeen};
use gullsail_configuration::Deployment;

/// How long, in microseconds, attempts by the old revision may still reach the proxy after their host reported that it
/// uses a new one; a busy processor delays them.
const CHANGE_DELAY: i64 = 100_000;

/// A volume's limit: its rate in units a second, and the burst and the slack in units.
#[derive(Clone, Copy)]
pub(super) struct VolumeLimit {
    pub(super) rate: f64,
    pub(super) burst: f64,
    pub(super) slack: f64,
}

impl VolumeLimit {
    fn largest(self, other: VolumeLimit) -> VolumeLimit {
        VolumeLimit {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
            slack: self.slack.max(other.slack),
        }
    }
}

/// The limit that must hold from a time on; `None`: no limit.
pub(super) struct LimitFrom {
    pub(super) from: i64,
    pub(super) limit: Option<VolumeLimit>,
}

/// Bounds on the revisions that running hosts may use.
struct Followed {
    /// The oldest revision that a host certainly used last: no host uses an older one.
    oldest_certain: u64,
    /// The smallest of the newest revisions that each host was asked to load.
    oldest_asked: u64,
    /// The newest revision that any host was asked to load.
    newest_asked: u64,
}

/// The limits of a volume, in order of time. While the oldest revision in use is uncertain, between the last host's being
/// asked to load a new one and its reply, the largest of the possible limits holds.
pub(super) fn limits_over_time(
    deployment: &Deployment,
    history: &History,
    volume: &str,
) -> Vec<LimitFrom> {
    let points = points_of_change(history).into_iter();
    points
        .map(|from| LimitFrom {
            from,
            limit: limit_at(deployment, history, volume, from),
        })
        .collect()
}

/// The times at which the limit may change.
fn points_of_change(history: &History) -> Vec<i64> {
    let mut points = vec![i64::MIN];
    points.extend(history.revisions.values().flatten().map(effective_at));
    let events = history
        .hosts()
        .iter()
        .flat_map(|host| history.events_of(host));
    points.extend(events.map(|seen| seen.at));
    points.sort_unstable();
    points.dedup();
    points
}

/// When an observation takes effect: a revision in use only after `CHANGE_DELAY`, a request to load one at once.
fn effective_at(seen: &RevisionSeen) -> i64 {
    if seen.serves {
        seen.at + CHANGE_DELAY
    } else {
        seen.at
    }
}

fn limit_at(
    deployment: &Deployment,
    history: &History,
    volume: &str,
    at: i64,
) -> Option<VolumeLimit> {
    let first = deployment.place.revision.0;
    let followed = followed_at(history, first, at);
    // A host that is cut off from the fleet may use an older revision than all other hosts, and use its share of the
    // floor by that revision.
    let newest = if deployment.fleet.is_some() {
        followed.newest_asked
    } else {
        followed.oldest_asked
    };
    let oldest = followed.oldest_certain;
    let range = history.configurations.range(oldest.min(newest)..=newest);
    let mut limits: Vec<Option<VolumeLimit>> = range
        .map(|(_, document)| limit_of(document, volume))
        .collect();
    if oldest == first {
        limits.push(limit_of(
            history.configurations.get(&first).unwrap_or(deployment),
            volume,
        ));
    }
    if limits.is_empty() {
        limits.push(limit_of(deployment, volume));
    }
    // If one of the revisions sets no limit, none holds.
    let limits: Option<Vec<VolumeLimit>> = limits.into_iter().collect();
    limits?.into_iter().reduce(VolumeLimit::largest)
}

fn followed_at(history: &History, first: u64, at: i64) -> Followed {
    let mut followed = Followed {
        oldest_certain: u64::MAX,
        oldest_asked: u64::MAX,
        newest_asked: 0,
    };
    for host in history
        .hosts()
        .iter()
        .filter(|host| is_running(history, host, at))
    {
        let seen = history
            .revisions
            .get(host)
            .map(Vec::as_slice)
            .unwrap_or_default();
        // Observations from before a host's start count too: it reads its configuration file at the start, and the
        // file may have been replaced while the host was down.
        let newest = |serves: bool| {
            let effective = seen
                .iter()
                .filter(|seen| seen.serves == serves && effective_at(seen) <= at);
            effective.map(|seen| seen.revision).max().unwrap_or(first)
        };
        let certain = newest(true);
        let asked = newest(false).max(certain);
        followed.oldest_certain = followed.oldest_certain.min(certain);
        followed.oldest_asked = followed.oldest_asked.min(asked);
        followed.newest_asked = followed.newest_asked.max(asked);
    }
    followed
}

/// Whether a host runs at a time, by its last event before it. Without such an event, the hosts of the first
/// configuration run and others do not.
fn is_running(history: &History, host: &str, at: i64) -> bool {
    match history
        .events_of(host)
        .iter()
        .rev()
        .find(|seen| seen.at <= at)
    {
        Some(seen) => !seen.event.is_end(),
        None => history
            .hosts()
            .iter()
            .take(history.first_hosts)
            .any(|first| first == host),
    }
}

fn limit_of(deployment: &Deployment, volume: &str) -> Option<VolumeLimit> {
    let plan = &deployment.plans[deployment.volume(volume)?.plan.0];
    let limit = plan.decisions.limit?;
    Some(VolumeLimit {
        rate: limit.rate,
        burst: limit.burst,
        slack: plan.slack,
    })
}
