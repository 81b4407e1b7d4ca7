//! Rules 11 and 12: the rates at which all hosts together connect to a node and probe it, where the configuration limits
//! them. Over any span, the rate's number of operations is allowed, and one more for each incarnation of a host.

use super::{FRAME_DELAY, MICROS_A_SECOND};
use crate::history::{AttemptSeen, History};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use std::collections::BTreeMap;

/// Two operations on a node within this time, in microseconds, are a test of the rate.
const TEST_INTERVAL: i64 = 1_000_000;
/// An attempt is a probe after this number of attempts that timed out.
const LOST_BEFORE_PROBE: usize = 2;

/// A connection to a node or a probe of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Operation<'a> {
    at: i64,
    node: &'a str,
    line: usize,
}

/// Connections are counted when they reach the node's address, even while the node does not run. A probe is an attempt
/// whose host saw two attempts to the node time out before and has received no answer from it since the earlier one.
/// Tested by each operation within a second of the previous one on the same node.
pub(super) fn judge(deployment: &Deployment, history: &History) -> Vec<Verdict> {
    let Some(fleet) = &deployment.fleet else {
        return Vec::new();
    };
    let burst = incarnations_of_hosts(history).max(1) as f64;
    let mut verdicts = Vec::new();
    if let Some(rate) = fleet.connects {
        let verdict = Verdict::new(11, "connections to a node within their rate");
        verdicts.push(judge_rate(
            verdict,
            connections(deployment, history),
            rate,
            burst,
        ));
    }
    if let Some(rate) = fleet.probes {
        let verdict = Verdict::new(12, "probes of a node within their rate");
        verdicts.push(judge_rate(verdict, probes(history), rate, burst));
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

fn judge_rate(
    mut verdict: Verdict,
    mut operations: Vec<Operation>,
    rate: f64,
    burst: f64,
) -> Verdict {
    operations.sort_unstable();
    let mut buckets: BTreeMap<&str, Bucket> = BTreeMap::new();
    for Operation { at, node, line } in operations {
        let bucket = buckets.entry(node).or_insert(Bucket {
            level: burst,
            at: i64::MIN / 2,
        });
        let since = at.saturating_sub(bucket.at);
        verdict.test_if(since < TEST_INTERVAL);
        // A busy processor may delay operations so that the proxy sees them closer together than the hosts sent them.
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

/// Whether an attempt is a probe. `before` holds the earlier attempts of the same host to the same node.
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

/// Whether the attempt had timed out by `by`, with no answer and no closed connection before.
fn is_lost(attempt: &AttemptSeen, by: i64) -> bool {
    let latest = attempt.times_out_at() + FRAME_DELAY;
    let answered = attempt.answer.is_some_and(|answer| answer.at <= latest);
    let broken = attempt
        .broken_at
        .is_some_and(|broken_at| broken_at <= latest);
    latest <= by && !answered && !broken
}
