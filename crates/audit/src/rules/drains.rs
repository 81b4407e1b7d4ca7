//! Rule 3: a host sends no attempt to a node once the grace period is over after a list reported the node as draining
//! or gone.

use super::FRAME_DELAY;
use crate::history::{EndpointReport, History, ListedNode, Span};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use gullsail_protocol::ListedState;

/// The largest reported nearness, in multiples of the grace period.
const MAX_NEARNESS: f64 = 2.0;

/// A span in which a host has the report that a node is draining or gone.
struct Drain {
    span: Span,
    /// The line of the report that began the drain.
    line: usize,
}

/// Tested by each drain that was reported to a host.
pub(super) fn judge(deployment: &Deployment, history: &History) -> Verdict {
    let mut verdict = Verdict::new(3, "nothing sent to a draining node");
    let grace = deployment.drain_grace.micros();
    for (listed, reports) in &history.endpoint_reports {
        for drain in drains(reports) {
            verdict.tested += 1;
            judge_drain(&mut verdict, history, listed, &drain, grace);
        }
    }
    verdict
}

/// The drains in the reports on one node. Only a restart of the node ends a drain: a late report that the same
/// incarnation is ready does not.
fn drains(reports: &[EndpointReport]) -> Vec<Drain> {
    let mut drains = Vec::new();
    let mut begun: Option<&EndpointReport> = None;
    for report in reports {
        let ready = report.state == ListedState::Ready;
        match begun {
            None if !ready => begun = Some(report),
            Some(first) if ready && report.incarnation != first.incarnation => {
                drains.push(Drain {
                    span: Span {
                        from: first.at,
                        to: report.at,
                    },
                    line: first.line,
                });
                begun = None;
            }
            _ => {}
        }
    }
    let open = begun.map(|first| Drain {
        span: Span {
            from: first.at,
            to: i64::MAX,
        },
        line: first.line,
    });
    drains.extend(open);
    drains
}

fn judge_drain(
    verdict: &mut Verdict,
    history: &History,
    listed: &ListedNode,
    drain: &Drain,
    grace: i64,
) {
    let ListedNode { host, node } = listed;
    let from = drain.span.from;
    // A restarted host does not have the reports that it received before.
    let to = drain.span.to.min(history.incarnation(host, from).to);
    for attempt in &history.attempts {
        let is_of_drain = attempt.host == *host && attempt.node == *node;
        if !is_of_drain || attempt.at <= from || attempt.at >= to {
            continue;
        }
        let after = attempt.at - from;
        let nearness = after as f64 / grace.max(1) as f64;
        verdict.approach(nearness.min(MAX_NEARNESS));
        if attempt.at > from + grace + FRAME_DELAY {
            let what = format!("{host} sent to {node} {after} us after it was notified");
            verdict.breach(what, [drain.line, attempt.line]);
        }
    }
}
