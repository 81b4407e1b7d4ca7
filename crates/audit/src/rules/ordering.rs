//! Rule 5: requests with the same order key are sent one after the other, in the order of their arrival.

use super::FRAME_DELAY;
use crate::history::{AttemptSeen, History, RequestSeen};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use gullsail_protocol::AttemptResult;
use std::collections::BTreeMap;

/// The largest reported nearness to the settling time.
const MAX_NEARNESS: f64 = 9.99;

/// Identifies the requests that are kept in order: those with one key at one incarnation of a host.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Queue<'a> {
    host: &'a str,
    started_at: i64,
    key: &'a str,
}

/// Tested by each request with an attempt that arrived while an earlier request with its key was open.
pub(super) fn judge(deployment: &Deployment, history: &History) -> Verdict {
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

/// When a request ends for its host. Without an answer, for example because the host was paused, it ends at its deadline
/// at the latest.
///
/// When a host receives a node's answer, it writes the client's answer and the key's next attempt in one step, on two
/// connections. The proxy may read these in either order; after a pause of the process, the two frames were 21 ms apart.
/// So an answered request with a successful attempt ends when the node's answer reaches the host.
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

/// When the first successful answer of a node reached the host; `None`: there was none.
fn succeeded_at(history: &History, request: &RequestSeen) -> Option<i64> {
    let answers = history
        .attempts_of(request)
        .filter_map(|attempt| attempt.answer);
    answers
        .filter(|answer| answer.result == AttemptResult::Succeeded)
        .map(|answer| answer.at)
        .min()
}

/// Whether the kernel had received the answer to `answered` when the proxy read the attempt. The proxy reads two
/// connections in any order, and late when it is delayed. Of two frames that were both received but not yet read, the
/// times of reading do not tell which was sent first, so the later reading of the answer is no breach.
fn was_received_before(answered: &RequestSeen, attempt: &AttemptSeen) -> bool {
    let answer = answered.answers.first();
    let stream_end = answer.and_then(|answer| answer.stream_end);
    let received = attempt.sent_to_clients.get(&answered.link);
    matches!((stream_end, received), (Some(end), Some(received)) if end <= *received)
}

/// The first attempt of a request is not sent while an earlier request is open. Only requests of the same connection are
/// compared: of two connections, only the host knows which request it read first.
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
        && !was_received_before(before, first)
    {
        let Queue { host, key, .. } = queue;
        let request_key = &request.submit.idempotency_key;
        let what = format!(
            "{host}, key {key}: {request_key} sent while {} was open",
            before.submit.idempotency_key
        );
        verdict.breach(what, [before.line, first.line]);
    }
}

/// After an attempt whose result is unknown, the key's next request waits for the settling time, after which the attempt
/// can no longer take effect.
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
            let request_key = &request.submit.idempotency_key;
            let what = format!(
                "{host}, key {key}: {request_key} sent {rest} us after an attempt of {} ended unknown",
                before.submit.idempotency_key
            );
            verdict.breach(what, [attempt.line, first.line]);
        }
    }
}

/// Since when the result of an attempt is unknown: since its timeout, or since its connection closed before that.
/// `None`: its answer arrived in time.
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
