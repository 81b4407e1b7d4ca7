//! Rule 8: cross-zone budgets are kept, or hosts report the bytes beyond them. Judged by the configuration at the start of
//! the run.

use super::MICROS_A_SECOND;
use crate::history::{FrameSeen, History};
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use gullsail_protocol::record::ProcessEvent;
use gullsail_scheduler_api::{BudgetScope, Limit, ZoneId};
use std::collections::BTreeMap;

/// The bytes seen beyond a budget may exceed the reported bytes by this factor and, in addition, by this number of bytes.
const REPORT_TOLERANCE: f64 = 1.05;
const REPORT_TOLERANCE_BYTES: f64 = 4096.0;

/// Tested by each frame between the zones of a budget that leaves less than half of the burst in the bucket.
pub(super) fn judge(deployment: &Deployment, history: &History) -> Verdict {
    let mut verdict = Verdict::new(8, "cross-zone budgets kept, or overruns reported");
    let zones = zones(deployment);
    let zone_of = |name: &str| zones.get(name).copied();
    for budget in &deployment.cross_zone_budgets {
        let BudgetScope::ZonePair(from, to) = budget.scope else {
            continue;
        };
        let crosses = |frame: &&FrameSeen| {
            zone_of(&frame.from) == Some(from) && zone_of(&frame.to) == Some(to)
        };
        let frames = history.frames.iter().filter(crosses);
        let use_of_budget = use_of_budget(&mut verdict, &budget.limit, frames);
        judge_use(
            &mut verdict,
            deployment,
            history,
            &budget.name,
            &use_of_budget,
        );
    }
    verdict
}

fn zones(deployment: &Deployment) -> BTreeMap<&str, ZoneId> {
    let hosts = deployment
        .hosts
        .iter()
        .map(|host| (host.name.as_str(), host.zone));
    let nodes = deployment
        .nodes
        .iter()
        .map(|node| (node.place.name.as_str(), node.place.zone));
    hosts.chain(nodes).collect()
}

/// The use of a budget over the whole run.
struct Use {
    /// The bytes beyond the budget.
    overrun: f64,
    /// The number of frames with bytes beyond the budget.
    overrun_frames: u64,
    /// The fraction of the burst that was in use after the last frame.
    used_at_end: f64,
}

fn use_of_budget<'a>(
    verdict: &mut Verdict,
    limit: &Limit,
    frames: impl Iterator<Item = &'a FrameSeen>,
) -> Use {
    let mut level = limit.burst;
    let mut at = 0;
    let mut overrun = 0.0;
    let mut overrun_frames = 0;
    for frame in frames {
        let filled = limit.rate * (frame.at - at).max(0) as f64 / MICROS_A_SECOND;
        level = (level + filled).min(limit.burst);
        at = frame.at.max(at);
        let bytes = frame.bytes as f64;
        level -= bytes;
        verdict.test_if(level < limit.burst / 2.0);
        if level < 0.0 {
            overrun += bytes.min(-level);
            overrun_frames += 1;
        }
    }
    Use {
        overrun,
        overrun_frames,
        used_at_end: (limit.burst - level) / limit.burst,
    }
}

fn judge_use(
    verdict: &mut Verdict,
    deployment: &Deployment,
    history: &History,
    budget: &str,
    used: &Use,
) {
    let Use {
        overrun,
        overrun_frames,
        used_at_end,
    } = *used;
    let reported = history
        .reported_overruns
        .get(budget)
        .copied()
        .unwrap_or_default() as f64;
    verdict.approach(if reported > 0.0 {
        overrun / reported
    } else {
        used_at_end
    });
    // A host reports when it ends. A killed host does not, so its overruns are missing from the reports.
    let is_reported = overrun <= reported * REPORT_TOLERANCE + REPORT_TOLERANCE_BYTES;
    if !is_reported && !some_host_was_killed(deployment, history) {
        let what = format!(
            "{budget}: {overrun:.0} bytes beyond it in {overrun_frames} frames, {reported:.0} reported"
        );
        verdict.breach(what, []);
    }
}

fn some_host_was_killed(deployment: &Deployment, history: &History) -> bool {
    let mut events = deployment
        .hosts
        .iter()
        .flat_map(|host| history.events_of(&host.name));
    events.any(|seen| seen.event == ProcessEvent::Killed)
}
