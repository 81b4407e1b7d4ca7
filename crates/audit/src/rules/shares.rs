//! Rule 9: at no moment do the shares in use sum to more than the whole of a budget.

use crate::history::{History, SharesSeen};
use crate::verdict::Verdict;
use std::collections::BTreeMap;

/// The whole of a budget, as hosts count their shares.
const WHOLE: u64 = 1_000_000;

/// A host begins or ends to use a share.
struct Change<'a> {
    at: i64,
    begins: bool,
    used: Use<'a>,
    share: u64,
}

/// A host's use of a budget, by the line that reports it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Use<'a> {
    host: &'a str,
    line: usize,
}

/// A host logs what it may use whenever that changes, and how long its lease lasts; what it logged counts
/// until it logs again, its lease is over by the slowest clock, or it ends. Tested by each moment at which
/// some host's share begins.
pub(super) fn within_the_whole(drift: f64, history: &History) -> Verdict {
    let mut verdict = Verdict::new(9, "shares in use within the whole");
    for (budget, mut changes) in changes(drift, history) {
        // What ends at a moment is over before what begins then.
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
            let end = next.min(lease_over(drift, seen)).min(ended);
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

/// By the slowest clock.
fn lease_over(drift: f64, seen: &SharesSeen) -> i64 {
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
