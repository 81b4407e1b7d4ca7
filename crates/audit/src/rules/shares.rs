//! Rule 9: at no time do the hosts' shares of a budget that are in use add up to more than the budget.

use crate::history::{History, SharesSeen};
use crate::verdict::Verdict;
use std::collections::BTreeMap;

/// A complete budget, in the millionths in which hosts count their shares.
const WHOLE: u64 = 1_000_000;

/// A host starts or stops using a share.
struct Change<'a> {
    at: i64,
    begins: bool,
    used: Use<'a>,
    share: u64,
}

/// A host's use of a budget, identified by the line of its log entry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Use<'a> {
    host: &'a str,
    line: usize,
}

/// A host logs its shares and the length of its lease whenever they change. A logged share is in use until the host logs
/// again, its lease expires by the slowest permitted clock, or the host ends. Tested each time that a host starts using a
/// share.
pub(super) fn within_budget(drift: f64, history: &History) -> Verdict {
    let mut verdict = Verdict::new(9, "shares in use within the whole");
    for (budget, mut changes) in changes(drift, history) {
        // Of changes at the same time, the ends are applied before the starts.
        changes.sort_by_key(|change| (change.at, change.begins));
        judge_budget(&mut verdict, budget, &changes);
    }
    verdict
}

fn changes<'a>(drift: f64, history: &'a History) -> BTreeMap<&'a str, Vec<Change<'a>>> {
    let mut changes: BTreeMap<&str, Vec<Change>> = BTreeMap::new();
    for (host, all) in &history.shares {
        for (place, seen) in all.iter().enumerate() {
            let next = all.get(place + 1).map_or(i64::MAX, |next| next.at);
            let ended = history.incarnation(host, seen.at).to;
            let end = next.min(lease_expiry(drift, seen)).min(ended);
            let used = Use {
                host,
                line: seen.line,
            };
            for (budget, share) in &seen.shares {
                let share = u64::from(*share);
                let changes = changes.entry(budget).or_default();
                changes.push(Change {
                    at: seen.at,
                    begins: true,
                    used,
                    share,
                });
                changes.push(Change {
                    at: end,
                    begins: false,
                    used,
                    share,
                });
            }
        }
    }
    changes
}

/// When the lease of the shares expires by the slowest permitted clock; `i64::MAX`: there is no lease.
fn lease_expiry(drift: f64, seen: &SharesSeen) -> i64 {
    if seen.lasts_us < 0 {
        i64::MAX
    } else {
        seen.at + (seen.lasts_us as f64 / (1.0 - drift)) as i64
    }
}

fn judge_budget(verdict: &mut Verdict, budget: &str, changes: &[Change]) {
    let mut sum = 0;
    let mut in_use: BTreeMap<Use, u64> = BTreeMap::new();
    for Change {
        at,
        begins,
        used,
        share,
    } in changes
    {
        if !begins {
            sum -= share;
            in_use.remove(used);
            continue;
        }
        sum += share;
        in_use.insert(*used, *share);
        verdict.tested += 1;
        verdict.approach(sum as f64 / WHOLE as f64);
        if sum > WHOLE {
            let hosts: Vec<String> = in_use
                .iter()
                .map(|(used, share)| format!("{} {share}", used.host))
                .collect();
            let what = format!(
                "{budget} at {at} us: {sum} millionths in use: {}",
                hosts.join(", ")
            );
            verdict.breach(what, in_use.keys().map(|used| used.line));
        }
    }
}
