//! Rule 10: at any time, one coordinator at most grants shares.

use super::FRAME_DELAY;
use crate::history::{GrantSeen, History};
use crate::verdict::Verdict;
use std::collections::BTreeSet;

/// Once a coordinator has sent a grant, no coordinator with an earlier ballot sends one. Tested by each ballot after
/// the first.
pub(super) fn one_coordinator(history: &History) -> Verdict {
    let mut verdict = Verdict::new(10, "one coordinator grants");
    let mut ballots = BTreeSet::new();
    let mut grants = history.grants.iter();
    let Some(mut latest) = grants.next() else {
        return verdict;
    };
    for grant in grants {
        verdict.test_if(ballots.insert(grant.ballot));
        if grant.ballot > latest.ballot {
            latest = grant;
        } else if is_of_earlier(grant, latest) && !was_paused(history, grant) {
            let what = format!(
                "{} granted by {} after {} did",
                grant.by, grant.ballot, latest.ballot
            );
            verdict.breach(what, [latest.line, grant.line]);
        }
    }
    verdict
}

/// Whether another coordinator with an earlier ballot sent the grant, and not only so shortly after the latest one that
/// the proxy may have delayed it.
fn is_of_earlier(grant: &GrantSeen, latest: &GrantSeen) -> bool {
    let is_other = grant.ballot.by != latest.ballot.by && grant.ballot < latest.ballot;
    is_other && grant.at > latest.at + FRAME_DELAY
}

/// Whether the coordinator may have been paused between deciding on the grant and sending it. Such a grant has expired
/// when it is received, so it is harmless.
fn was_paused(history: &History, grant: &GrantSeen) -> bool {
    let pauses = history.pauses(&grant.by);
    pauses
        .iter()
        .any(|pause| pause.from <= grant.at && grant.at <= pause.to + FRAME_DELAY)
}
