//! Rules 11 and 12: what all hosts together do to one node at a limited rate, where the configuration limits
//! it: over any span no more than the rate allows, and one for each incarnation of a host.

use super::{FRAME_DELAY, MICROS_A_SECOND};
use crate::history::{AttemptSeen, History};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use std::collections::BTreeMap;

/// Two within this time are a test of the rate.
const CLOSE: i64 = 1_000_000;
/// A probe is an attempt after this many that ran into their timeouts.
const LOST_BEFORE_PROBE: usize = 2;

/// Something that was done to a node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Operation<'a> {
    at: i64,
    node: &'a str,
    line: usize,
}

/// Connections are counted as they come to the node's door, whether it is there or not; probes are attempts
/// to a node of which the two before ran into their timeouts, with nothing received of it since. Tested by
/// each that came within a second of another.
pub(super) fn kept(deployment: &Deployment, history: &History) -> Vec<Verdict> {
    let Some(fleet) = &deployment.fleet else {
        return Vec::new();
    };
    let burst = incarnations_of_hosts(history).max(1) as f64;
    let mut verdicts = Vec::new();
    if let Some(rate) = fleet.connects {
        let verdict = Verdict::new(11, "connections to a node within their rate");
        verdicts.push(judge(
            verdict,
            connections(deployment, history),
            rate,
            burst,
        ));
    }
    if let Some(rate) = fleet.probes {
        let verdict = Verdict::new(12, "probes of a node within their rate");
        verdicts.push(judge(verdict, probes(history), rate, burst));
    }
    verdicts
}

fn incarnations_of_hosts(history: &History) -> usize {
    let events = history
        .hosts()
        .iter()
        .flat_map(|host| history.events_of(host));
    events.filter(|seen| !seen.event.is_end()).count()
}

fn judge(mut verdict: Verdict, mut operations: Vec<Operation>, rate: f64, burst: f64) -> Verdict {
    operations.sort_unstable();
    let mut buckets: BTreeMap<&str, Bucket> = BTreeMap::new();
    for Operation { at, node, line } in operations {
        let bucket = buckets.entry(node).or_insert(Bucket {
            level: burst,
            at: i64::MIN / 2,
        });
        let since = at.saturating_sub(bucket.at);
        verdict.test_if(since < CLOSE);
        // A busy processor brings some together that were apart.
        let most = burst + rate * FRAME_DELAY as f64 / MICROS_A_SECOND;
        bucket.level = (bucket.level + rate * since as f64 / MICROS_A_SECOND).min(most) - 1.0;
        bucket.at = at;
        verdict.approach(1.0 - bucket.level / burst);
        if bucket.level < 0.0 {
            let excess = -bucket.level;
            verdict.breach(
                format!("{node} at {at} us: {excess:.1} past {rate} a second"),
                [line],
            );
        }
    }
    verdict
}

struct Bucket {
    level: f64,
    at: i64,
}

fn connections<'a>(deployment: &Deployment, history: &'a History) -> Vec<Operation<'a>> {
    let connections = history.connections.iter();
    let to_nodes = connections.filter(|connection| deployment.node(&connection.to).is_some());
    to_nodes
        .map(|seen| Operation {
            at: seen.at,
            node: &seen.to,
            line: 0,
        })
        .collect()
}

fn probes(history: &History) -> Vec<Operation<'_>> {
    let mut by_pair: BTreeMap<(&str, &str), Vec<&AttemptSeen>> = BTreeMap::new();
    for seen in &history.attempts {
        by_pair
            .entry((&seen.host, &seen.node))
            .or_default()
            .push(seen);
    }
    let mut probes = Vec::new();
    for attempts in by_pair.values() {
        for (place, attempt) in attempts.iter().enumerate() {
            if is_probe(history, attempt, &attempts[..place]) {
                probes.push(Operation {
                    at: attempt.at,
                    node: &attempt.node,
                    line: attempt.line,
                });
            }
        }
    }
    probes
}

/// `before`: the earlier attempts of the same host to the same node.
fn is_probe(history: &History, attempt: &AttemptSeen, before: &[&AttemptSeen]) -> bool {
    let started_at = history.incarnation(&attempt.host, attempt.at).from;
    let lost = before
        .iter()
        .rev()
        .filter(|seen| seen.at > started_at && is_lost(seen, attempt.at));
    let Some(first_lost) = lost.take(LOST_BEFORE_PROBE).nth(LOST_BEFORE_PROBE - 1) else {
        return false;
    };
    let since = first_lost.at;
    let until = attempt.at + FRAME_DELAY;
    let answers = before.iter().filter_map(|seen| seen.answer);
    let mut answers = answers;
    let answered = answers.any(|answer| answer.at > since && answer.at <= until);
    let mut events = history.events_of(&attempt.node).iter();
    let restarted = events.any(|seen| seen.at > since && seen.at <= until);
    !answered && !restarted
}

/// Known by then to have run into its timeout.
fn is_lost(attempt: &AttemptSeen, by: i64) -> bool {
    let latest = attempt.times_out_at() + FRAME_DELAY;
    let answered = attempt.answer.is_some_and(|answer| answer.at <= latest);
    let broken = attempt
        .broken_at
        .is_some_and(|broken_at| broken_at <= latest);
    latest <= by && !answered && !broken
}
