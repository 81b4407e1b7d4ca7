//! Rule 4: a node that has started recently is not sent more units than its slow-start budget.

use crate::history::{AttemptSeen, History};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use gullsail_protocol::record::ProcessEvent;
use std::collections::VecDeque;

/// Tested by each attempt to a node during its slow-start ramp.
pub(super) fn judge(deployment: &Deployment, history: &History) -> Verdict {
    let mut verdict = Verdict::new(4, "no node overloaded during slow start");
    for (node, events) in &history.process_events {
        if deployment.node(node).is_none() {
            continue;
        }
        for seen in events {
            // Nodes that started before the run have completed their slow start.
            if matches!(seen.event, ProcessEvent::Started { .. }) && seen.at > 0 {
                judge_start(&mut verdict, deployment, history, node, seen.at);
            }
        }
    }
    verdict
}

fn judge_start(
    verdict: &mut Verdict,
    deployment: &Deployment,
    history: &History,
    node: &str,
    started_at: i64,
) {
    let slow_start = deployment.figures().slow_start;
    let window = slow_start.window.micros();
    let ramp = slow_start.ramp.micros();
    let server = deployment
        .node(node)
        .and_then(|node| deployment.servers.get(node.server));
    let Some(server) = server else { return };
    let is_warming = |attempt: &&AttemptSeen| {
        attempt.node == *node
            && attempt.arrived_at >= started_at
            && attempt.arrived_at < started_at + ramp
    };
    let mut recent: VecDeque<&AttemptSeen> = VecDeque::new();
    for attempt in history.attempts.iter().filter(is_warming) {
        verdict.tested += 1;
        recent.push_back(attempt);
        while recent
            .pop_front_if(|sent| attempt.arrived_at - sent.arrived_at > window)
            .is_some()
        {}
        let age = (attempt.arrived_at - started_at) as f64 / ramp.max(1) as f64;
        let fraction = slow_start.initial_fraction + (1.0 - slow_start.initial_fraction) * age;
        let sustainable =
            server.falls_over * server.capacity() * fraction * slow_start.window.secs();
        let budget = slow_start.units.max(sustainable);
        let units: f64 = recent.iter().map(|sent| sent.attempt.units).sum();
        verdict.approach(units / budget.max(1e-9));
        if units > budget {
            let what = format!(
                "{node} was sent {units} units during slow start; its budget is {budget:.1}"
            );
            verdict.breach(what, [attempt.line]);
        }
    }
}
