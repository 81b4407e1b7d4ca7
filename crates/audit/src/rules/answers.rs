//! Rule 1: each request gets one final answer before its deadline, and no attempt is sent after the answer.

use super::FRAME_DELAY;
use crate::history::{AnswerSeen, History, RequestSeen};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;

/// Tested by each request that a host accepted.
pub(super) fn answered_in_time(deployment: &Deployment, history: &History) -> Verdict {
    let mut verdict = Verdict::new(1, "one final answer in time");
    for request in &history.requests {
        if request.not_taken_at.is_none() {
            verdict.tested += 1;
            judge_taken(&mut verdict, deployment, history, request);
        } else if !request.answers.is_empty() || !request.attempts.is_empty() {
            let what = format!(
                "{} was refused as invalid, but more came of it",
                request.submit.idempotency_key
            );
            verdict.breach(what, history.lines_of(request));
        }
    }
    verdict
}

fn judge_taken(
    verdict: &mut Verdict,
    deployment: &Deployment,
    history: &History,
    request: &RequestSeen,
) {
    let key = &request.submit.idempotency_key;
    match request.answers.as_slice() {
        [] if is_excused(history, request) => {}
        [] if was_not_run(deployment, history, request) => {
            let deadline = request.at + request.submit.timeout_us;
            let what = format!(
                "{key} at {} got no answer: its process was not run before {deadline} us",
                request.host
            );
            verdict.allow(what, history.lines_of(request));
        }
        [] => {
            let what = format!("{key} at {} got no answer", request.host);
            verdict.breach(what, history.lines_of(request));
        }
        [answer] => judge_answer(verdict, history, request, answer),
        more => {
            let what = format!("{key} got {} answers", more.len());
            verdict.breach(what, history.lines_of(request));
        }
    }
}

/// Whether the host need not answer: before the answer was due, the client cancelled or disconnected, the host was killed
/// or paused, or the recording ended.
fn is_excused(history: &History, request: &RequestSeen) -> bool {
    let latest = request.at + request.submit.timeout_us + FRAME_DELAY;
    let client_left = [request.withdrawn_at, request.link_closed_at]
        .into_iter()
        .flatten()
        .min();
    let killed = history.incarnation(&request.host, request.at).to;
    if client_left.unwrap_or(i64::MAX).min(killed) <= latest || latest > history.end {
        return true;
    }
    // A paused host cannot answer, and once it is resumed after the deadline, it withholds the late answer.
    let deadline = request.at + request.submit.timeout_us;
    let pauses = history.pauses(&request.host);
    pauses
        .iter()
        .any(|pause| pause.from <= latest && pause.to + FRAME_DELAY >= deadline)
}

/// How many ticks before the deadline a host begins to answer.
const TICKS_AHEAD: f64 = 2.0;

/// Whether the kernel did not run the host's process while the answer was due. Between the time at which the host begins
/// to answer and the deadline, the process ran for less than `FRAME_DELAY`.
fn was_not_run(deployment: &Deployment, history: &History, request: &RequestSeen) -> bool {
    let deadline = request.at + request.submit.timeout_us;
    let due = deadline - deployment.figures().tick.times(TICKS_AHEAD).micros();
    history.run_time(&request.host, due, deadline) < FRAME_DELAY
}

fn judge_answer(
    verdict: &mut Verdict,
    history: &History,
    request: &RequestSeen,
    answer: &AnswerSeen,
) {
    let key = &request.submit.idempotency_key;
    let timeout = request.submit.timeout_us;
    let deadline = request.at + timeout;
    verdict.approach((answer.at - request.at) as f64 / (timeout + FRAME_DELAY) as f64);
    if answer.at > deadline + FRAME_DELAY {
        let late = answer.at - deadline;
        let what = format!("{key} at {} was answered {late} us late", request.host);
        verdict.breach(what, history.lines_of(request));
    }
    let mut attempts = history.attempts_of(request);
    if let Some(after) = attempts.find(|attempt| attempt.at > answer.read_at + FRAME_DELAY) {
        let what = format!(
            "{key}: an attempt at {} was sent after the answer",
            after.node
        );
        verdict.breach(what, history.lines_of(request));
    }
}
