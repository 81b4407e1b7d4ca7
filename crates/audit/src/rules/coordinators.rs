//! Rule 10: two coordinators never grant at once.

use super::FRAME_DELAY;
use crate::history::{GrantSeen, History};
use crate::verdict::Verdict;
use std::collections::BTreeSet;

/// After a grant by a later ballot none by an earlier one leaves its host. Tested by each ballot that follows
/// another.
pub(super) fn one_grants(history: &History) -> Verdict {
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

/// Of another coordinator, and not just late at the relay.
fn is_of_earlier(grant: &GrantSeen, latest: &GrantSeen) -> bool {
    let is_other = grant.ballot.by != latest.ballot.by && grant.ballot < latest.ballot;
    is_other && grant.at > latest.at + FRAME_DELAY
}

/// A coordinator that was stopped between deciding and sending: what it sent is over for whoever receives it.
fn was_paused(history: &History, grant: &GrantSeen) -> bool {
    let pauses = history.pauses(&grant.by);
    pauses
        .iter()
        .any(|pause| pause.from <= grant.at && grant.at <= pause.to + FRAME_DELAY)
}
