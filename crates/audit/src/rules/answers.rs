//! Rule 1: one final answer before the deadline, and nothing sent after it.

use super::FRAME_DELAY;
use crate::history::{AnswerSeen, History, RequestSeen};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;

/// Tested by each request that a host took.
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
    let mark = &request.submit.idempotency_key;
    match request.answers.as_slice() {
        [] if is_excused(history, request) => {}
        [] if was_not_run(deployment, history, request) => {
            let deadline = request.at + request.submit.timeout_us;
            let what = format!(
                "{mark} at {} got no answer: its process was not run before {deadline} us",
                request.host
            );
            verdict.allow(what, history.lines_of(request));
        }
        [] => {
            let what = format!("{mark} at {} got no answer", request.host);
            verdict.breach(what, history.lines_of(request));
        }
        [answer] => judge_answer(verdict, history, request, answer),
        more => {
            let what = format!("{mark} got {} answers", more.len());
            verdict.breach(what, history.lines_of(request));
        }
    }
}

/// The host need not answer: the client left, the host was killed or stopped, or the recording ended before.
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
    // A host that is stopped answers nothing; afterwards it would be late.
    let deadline = request.at + request.submit.timeout_us;
    let pauses = history.pauses(&request.host);
    pauses
        .iter()
        .any(|pause| pause.from <= latest && pause.to + FRAME_DELAY >= deadline)
}

/// Ticks by which a host answers ahead of a deadline.
const TICKS_AHEAD: f64 = 2.0;

/// The machine did not run the host while the answer was due: of the time by which answers precede their deadline the
/// process had less than a frame's way may take.
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
    let mark = &request.submit.idempotency_key;
    let timeout = request.submit.timeout_us;
    let deadline = request.at + timeout;
    verdict.approach((answer.at - request.at) as f64 / (timeout + FRAME_DELAY) as f64);
    if answer.at > deadline + FRAME_DELAY {
        let late = answer.at - deadline;
        let what = format!("{mark} at {} was answered {late} us late", request.host);
        verdict.breach(what, history.lines_of(request));
    }
    let mut attempts = history.attempts_of(request);
    if let Some(after) = attempts.find(|attempt| attempt.at > answer.read_at + FRAME_DELAY) {
        let what = format!(
            "{mark}: an attempt at {} was sent after the answer",
            after.node
        );
        verdict.breach(what, history.lines_of(request));
    }
}
