//! Rule 5: requests of one key are sent in order.

use super::FRAME_DELAY;
use crate::history::{AttemptSeen, History, RequestSeen};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use gullsail_protocol::AttemptResult;
use std::collections::BTreeMap;

/// How near a settling time is counted at most.
const MAX_NEARNESS: f64 = 9.99;

/// The requests of one key at one incarnation of a host are kept in order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Queue<'a> {
    host: &'a str,
    started_at: i64,
    key: &'a str,
}

/// Tested by each attempt of a request that came while an earlier one of its key was open.
pub(super) fn kept(deployment: &Deployment, history: &History) -> Verdict {
    let mut verdict = Verdict::new(5, "order kept for each key");
    let settle = deployment.figures().order_settle.micros();
    for (queue, mut requests) in queues(deployment, history) {
        requests.sort_by_key(|request| (request.at, request.line));
        for (place, request) in requests.iter().enumerate() {
            let Some(first) = history.attempts_of(request).next() else {
                continue;
            };
            let mut waited = false;
            for before in &requests[..place] {
                let over_at = over_at(history, before);
                waited |= over_at > request.at;
                judge_overtaking(&mut verdict, &queue, request, first, before, over_at);
                judge_settling(
                    &mut verdict,
                    history,
                    &queue,
                    request,
                    first,
                    before,
                    settle,
                );
            }
            verdict.test_if(waited);
        }
    }
    verdict
}

fn queues<'a>(
    deployment: &Deployment,
    history: &'a History,
) -> BTreeMap<Queue<'a>, Vec<&'a RequestSeen>> {
    let is_ordered = |name: &str| {
        let mut classes = deployment.request_classes.iter();
        classes.any(|class| class.name == name && class.decisions.in_order)
    };
    let mut queues: BTreeMap<Queue, Vec<&RequestSeen>> = BTreeMap::new();
    for request in &history.requests {
        let submit = &request.submit;
        if is_ordered(&submit.request_class) && !submit.order_key.is_empty() {
            let started_at = history.incarnation(&request.host, request.at).from;
            let queue = Queue {
                host: &request.host,
                started_at,
                key: &submit.order_key,
            };
            queues.entry(queue).or_default().push(request);
        }
    }
    queues
}

/// When a request is over for its host. Without an answer, since its host was stopped, it ends with its deadline.
///
/// A host that gets a node's answer writes the client's answer and the next attempt of the key in one step, to two
/// connections. Which of the two frames passes the relay first says nothing about the host: after a pause of the
/// process they were seen 21 ms apart, in either order. So an answered request whose attempt succeeded is over
/// once the node's answer has reached the host.
fn over_at(history: &History, request: &RequestSeen) -> i64 {
    if let Some(answer) = request.answers.first() {
        let succeeded_at = succeeded_at(history, request);
        return succeeded_at.map_or(answer.at, |at| at.min(answer.at));
    }
    let deadline = request
        .not_taken_at
        .unwrap_or(request.at + request.submit.timeout_us);
    let client_left = [request.withdrawn_at, request.link_closed_at]
        .into_iter()
        .flatten()
        .min();
    client_left.unwrap_or(i64::MAX).min(deadline)
}

/// When a node's answer that the request succeeded reached the host.
fn succeeded_at(history: &History, request: &RequestSeen) -> Option<i64> {
    let answers = history
        .attempts_of(request)
        .filter_map(|attempt| attempt.answer);
    answers
        .filter(|answer| answer.result == AttemptResult::Succeeded)
        .map(|answer| answer.at)
        .min()
}

/// Whether the answer had come to the relay when the relay read the attempt. The relay reads two connections in any order,
/// and when it is held up it reads one of them later by as long. Where the answer was among the bytes that the kernel
/// had received by then, its time of reading says nothing: of two frames that wait together none is known to be first.
fn had_come_before(answered: &RequestSeen, attempt: &AttemptSeen) -> bool {
    let answer = answered.answers.first();
    let stream_end = answer.and_then(|answer| answer.stream_end);
    let received = attempt.sent_to_clients.get(&answered.link);
    matches!((stream_end, received), (Some(end), Some(received)) if end <= *received)
}

/// Two connections are read in an order that only the host knows.
fn judge_overtaking(
    verdict: &mut Verdict,
    queue: &Queue,
    request: &RequestSeen,
    first: &AttemptSeen,
    before: &RequestSeen,
    over_at: i64,
) {
    if over_at > first.at + FRAME_DELAY
        && before.link == request.link
        && !had_come_before(before, first)
    {
        let Queue { host, key, .. } = queue;
        let mark = &request.submit.idempotency_key;
        let what = format!(
            "{host}, key {key}: {mark} sent while {} was open",
            before.submit.idempotency_key
        );
        verdict.breach(what, [before.line, first.line]);
    }
}

/// After an attempt whose result is unknown, the next request of its key waits until it can no longer take
/// effect.
fn judge_settling(
    verdict: &mut Verdict,
    history: &History,
    queue: &Queue,
    request: &RequestSeen,
    first: &AttemptSeen,
    before: &RequestSeen,
    settle: i64,
) {
    for attempt in history
        .attempts_of(before)
        .filter(|attempt| attempt.at < first.at)
    {
        let Some(unknown_since) = unknown_since(attempt) else {
            continue;
        };
        let rest = first.at - unknown_since;
        verdict.nearest = verdict
            .nearest
            .max(settle as f64 / rest.max(1) as f64)
            .min(MAX_NEARNESS);
        if rest + FRAME_DELAY < settle {
            let Queue { host, key, .. } = queue;
            let mark = &request.submit.idempotency_key;
            let what = format!(
                "{host}, key {key}: {mark} sent {rest} us after an attempt of {} ended unknown",
                before.submit.idempotency_key
            );
            verdict.breach(what, [attempt.line, first.line]);
        }
    }
}

/// From its timeout on, or since its connection broke; `None`: its answer came in time.
fn unknown_since(attempt: &AttemptSeen) -> Option<i64> {
    let ends = attempt.times_out_at();
    if attempt
        .answer
        .is_some_and(|answer| answer.at <= ends + FRAME_DELAY)
    {
        return None;
    }
    let broken_at = attempt.broken_at.filter(|broken_at| *broken_at < ends);
    Some(broken_at.unwrap_or(ends))
}
