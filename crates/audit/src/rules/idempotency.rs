//! Rule 2: a request that is not idempotent takes effect at most once.

use crate::history::{AttemptSeen, History, RequestSeen};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use gullsail_protocol::Outcome;
use gullsail_scheduler_api::{Idempotency, IdempotencyScope};
use std::collections::BTreeMap;

/// The idempotency of each request class by its name. A class without an entry counts as idempotent.
struct Idempotencies<'a>(BTreeMap<&'a str, Idempotency>);

impl Idempotencies<'_> {
    fn of(&self, request_class: &str) -> Idempotency {
        self.0
            .get(request_class)
            .copied()
            .unwrap_or(Idempotency::Idempotent)
    }
}

/// Tested by each attempt that follows one that may have run, and by each answer without success to a request that may
/// have run.
pub(super) fn no_effect_twice(deployment: &Deployment, history: &History) -> Verdict {
    let mut verdict = Verdict::new(2, "no effect twice");
    let classes = deployment.request_classes.iter();
    let idempotencies = classes.map(|class| (class.name.as_str(), class.decisions.idempotency));
    let idempotencies = Idempotencies(idempotencies.collect());
    for request in &history.requests {
        let idempotency = idempotencies.of(&request.submit.request_class);
        if idempotency != Idempotency::Idempotent {
            judge_retries(&mut verdict, deployment, history, request, idempotency);
            judge_end(&mut verdict, history, request, idempotency);
        }
    }
    judge_effects(&mut verdict, history, &idempotencies);
    verdict
}

/// After an attempt that may have run, another is sent only to a node that recognises the repeat by its key.
fn judge_retries(
    verdict: &mut Verdict,
    deployment: &Deployment,
    history: &History,
    request: &RequestSeen,
    idempotency: Idempotency,
) {
    let attempts: Vec<&AttemptSeen> = history.attempts_of(request).collect();
    for (place, attempt) in attempts.iter().enumerate().skip(1) {
        let before = attempts[..place]
            .iter()
            .find(|before| !before.never_ran(attempt.at));
        let Some(before) = before else { continue };
        verdict.tested += 1;
        let is_recognised = match idempotency {
            Idempotency::WithKey { scope, window } => {
                let fraction = (attempt.at - before.at) as f64 / window.micros().max(1) as f64;
                verdict.approach(fraction);
                is_in_scope(deployment, scope, &before.node, &attempt.node) && fraction <= 1.0
            }
            _ => false,
        };
        if !is_recognised {
            let key = &request.submit.idempotency_key;
            let what = format!(
                "{key} may have run at {} and was sent to {}",
                before.node, attempt.node
            );
            verdict.breach(what, history.lines_of(request));
        }
    }
}

/// A request that may have run is not rejected unless all nodes recognise a repeat, since after a rejection the client
/// may send the request again and any node may receive it.
fn judge_end(
    verdict: &mut Verdict,
    history: &History,
    request: &RequestSeen,
    idempotency: Idempotency,
) {
    let Some(end) = request.answers.first() else {
        return;
    };
    let may_have_run = history
        .attempts_of(request)
        .find(|attempt| !attempt.never_ran(end.at));
    let succeeded = end.answer.outcome == Outcome::Succeeded as i32;
    verdict.test_if(may_have_run.is_some() && !succeeded);
    let rejected = end.answer.outcome == Outcome::Rejected as i32;
    let recognised_everywhere = matches!(
        idempotency,
        Idempotency::WithKey {
            scope: IdempotencyScope::All,
            ..
        }
    );
    if let Some(attempt) = may_have_run
        && rejected
        && !recognised_everywhere
    {
        let what = format!(
            "{} may have run at {} and was rejected",
            request.submit.idempotency_key, attempt.node
        );
        verdict.breach(what, history.lines_of(request));
    }
}

/// Counts how often a request took effect by the nodes' unaltered answers, over all of a client's repeats of it.
fn judge_effects(verdict: &mut Verdict, history: &History, idempotencies: &Idempotencies) {
    let mut effects: BTreeMap<&str, Vec<&AttemptSeen>> = BTreeMap::new();
    for seen in &history.attempts {
        let attempt = &seen.attempt;
        let took_effect = attempt.write && seen.answer.is_some_and(|answer| answer.ran);
        if took_effect && idempotencies.of(&attempt.request_class) != Idempotency::Idempotent {
            effects
                .entry(&attempt.idempotency_key)
                .or_default()
                .push(seen);
        }
    }
    for (key, attempts) in effects {
        if attempts.len() > 1 {
            let what = format!("{key} took effect {} times", attempts.len());
            verdict.breach(what, attempts.iter().flat_map(|attempt| attempt.lines()));
        }
    }
}

fn is_in_scope(
    deployment: &Deployment,
    scope: IdempotencyScope,
    first: &str,
    second: &str,
) -> bool {
    let first = deployment.node(first);
    let second = deployment.node(second);
    match scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => {
            first.map(|node| node.place.zone) == second.map(|node| node.place.zone)
        }
        IdempotencyScope::Shard => first.map(|node| node.shard) == second.map(|node| node.shard),
    }
}
