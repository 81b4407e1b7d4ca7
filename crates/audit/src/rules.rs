//! The rules. Each has a function that reads the history and, if needed, the configuration, and returns a verdict. No
//! rule depends on another's verdict.

mod answers;
mod coordinators;
mod drains;
mod idempotency;
mod limits;
mod maintenance;
mod node_rates;
mod ordering;
mod retry_budget;
mod shares;
mod slow_start;
mod volume_limits;
mod zone_budgets;

use crate::history::History;
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;

/// How much the times of an event at a host and at the proxy may differ, in microseconds: a frame's transfer over
/// loopback, and a scheduling delay on a busy processor.
const FRAME_DELAY: i64 = 20_000;
const MICROS_A_SECOND: f64 = 1e6;

/// Judges all rules that the configuration calls for, in the order of their numbers.
pub(crate) fn judge(deployment: &Deployment, history: &History) -> Vec<Verdict> {
    let mut verdicts = vec![
        answers::answered_in_time(deployment, history),
        idempotency::no_effect_twice(deployment, history),
        drains::judge(deployment, history),
        slow_start::judge(deployment, history),
        ordering::judge(deployment, history),
        retry_budget::judge(deployment, history),
        limits::judge(deployment, history),
    ];
    if !deployment.cross_zone_budgets.is_empty() {
        verdicts.push(zone_budgets::judge(deployment, history));
    }
    if let Some(fleet) = &deployment.fleet {
        verdicts.push(shares::within_budget(fleet.drift, history));
        verdicts.push(coordinators::one_coordinator(history));
        verdicts.extend(node_rates::judge(deployment, history));
        verdicts.extend(maintenance::judge(deployment, history));
    }
    verdicts
}
