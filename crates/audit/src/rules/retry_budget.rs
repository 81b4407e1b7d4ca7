//! Rule 6: retries, the attempts after a request's first, stay within the retry budget.

use super::FRAME_DELAY;
use crate::history::{AttemptSeen, History};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use std::collections::BTreeMap;

/// An incarnation of a host. Each has a separate retry budget.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Process<'a> {
    host: &'a str,
    started_at: i64,
}

/// Tested by each retry.
pub(super) fn judge(deployment: &Deployment, history: &History) -> Verdict {
    let mut verdict = Verdict::new(6, "retries within their budget");
    let Some(budget) = deployment.figures().retry_budget else {
        return verdict;
    };
    let window = budget.window.micros();
    let accepted = accepted_at(history);
    for (process, retries) in retries(history) {
        let accepted = accepted
            .get(&process)
            .map(Vec::as_slice)
            .unwrap_or_default();
        for (place, retry) in retries.iter().enumerate() {
            verdict.tested += 1;
            let since = retry.at - window;
            // Host and proxy place the window's edges up to `FRAME_DELAY` apart. The window is narrowed for retries
            // and widened for accepted requests, so that only what breaks the budget by both clocks is a breach.
            let sent = retries[..=place]
                .iter()
                .filter(|other| other.at > since + FRAME_DELAY);
            let in_window =
                |at: &&i64| **at > since - FRAME_DELAY && **at <= retry.at + FRAME_DELAY;
            let sent = sent.count() as f64;
            let accepted = accepted.iter().filter(in_window).count() as f64;
            let most = budget.fixed_retries + budget.retries_per_request * accepted;
            verdict.approach(sent / most.max(1e-9));
            if sent > most {
                let host = process.host;
                let what = format!("{host}: {sent} retries in the window, {most:.1} allowed");
                verdict.breach(what, [retry.line]);
            }
        }
    }
    verdict
}

fn process<'a>(history: &History, host: &'a str, at: i64) -> Process<'a> {
    Process {
        host,
        started_at: history.incarnation(host, at).from,
    }
}

/// The times at which requests that were accepted reached each process.
fn accepted_at(history: &History) -> BTreeMap<Process<'_>, Vec<i64>> {
    let mut accepted: BTreeMap<Process, Vec<i64>> = BTreeMap::new();
    for request in history
        .requests
        .iter()
        .filter(|request| request.not_taken_at.is_none())
    {
        accepted
            .entry(process(history, &request.host, request.at))
            .or_default()
            .push(request.at);
    }
    accepted
}

/// The retries of each process, in the order in which they were sent.
fn retries(history: &History) -> BTreeMap<Process<'_>, Vec<&AttemptSeen>> {
    let mut retries: BTreeMap<Process, Vec<&AttemptSeen>> = BTreeMap::new();
    for seen in history
        .attempts
        .iter()
        .filter(|seen| seen.attempt.number > 0)
    {
        retries
            .entry(process(history, &seen.host, seen.at))
            .or_default()
            .push(seen);
    }
    for attempts in retries.values_mut() {
        attempts.sort_by_key(|attempt| attempt.at);
    }
    retries
}
