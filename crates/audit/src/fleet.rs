//! What a fleet promises, from what hosts wrote down at the time and from grants on the wire.

use crate::Verdict;
use crate::history::History;
use gullsail_configuration::Deployment;
use std::collections::{BTreeMap, BTreeSet};

/// All of a budget, as hosts count its parts.
const WHOLE: u64 = 1_000_000;
/// A frame's way from a host to the relay that records it, through a busy processor.
const WAY: i64 = 20_000;

/// When a use begins or ends, by whom, of how much, on which line.
type Moment<'a> = (i64, bool, &'a str, u64, usize);

/// At no moment do the parts in use sum past the whole of a budget. A host writes down what it may use whenever that
/// changes, and how long its lease lasts; what it wrote counts until it writes again, its lease is over by the slowest
/// clock, or it ends. Tested by each moment at which somebody's part begins.
pub fn parts(d: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(9, "parts in use within the whole");
    let Some(fleet) = &d.fleet else { return v };
    let mut moments: BTreeMap<&str, Vec<Moment>> = BTreeMap::new();
    for (host, all) in &h.parts {
        for (place, p) in all.iter().enumerate() {
            let next = all.get(place + 1).map_or(i64::MAX, |n| n.at);
            let over = if p.lasts_us < 0 {
                i64::MAX
            } else {
                p.at + (p.lasts_us as f64 / (1.0 - fleet.drift)) as i64
            };
            let end = next.min(over).min(h.life(host, p.at).1);
            for (budget, share) in &p.parts {
                let all = moments.entry(budget).or_default();
                all.push((p.at, true, host, u64::from(*share), p.line));
                all.push((end, false, host, u64::from(*share), p.line));
            }
        }
    }
    for (budget, mut all) in moments {
        // What ends at a moment is over before what begins then.
        all.sort_by_key(|m| (m.0, m.1));
        let (mut sum, mut using) = (0u64, BTreeMap::new());
        for (at, begins, host, share, line) in all {
            if !begins {
                sum -= share;
                using.remove(&(host, line));
                continue;
            }
            sum += share;
            using.insert((host, line), share);
            v.tested += 1;
            v.nearest = v.nearest.max(sum as f64 / WHOLE as f64);
            if sum > WHOLE {
                let who: Vec<_> = using.iter().map(|((host, _), share)| format!("{host} {share}")).collect();
                let what = format!("{budget} at {at} us: {sum} millionths in use: {}", who.join(", "));
                v.breach(what, using.keys().map(|k| k.1));
            }
        }
    }
    v
}

/// Two coordinators never grant at once: after a grant by a later ballot none by an earlier one leaves its host. Tested by
/// each grant that follows one of another coordinator.
pub fn deciding(_: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(10, "one coordinator grants");
    let mut latest: Option<(i64, (u64, u32), usize)> = None;
    let mut seen = BTreeSet::new();
    for g in &h.grants {
        let Some((at, ballot, line)) = latest else {
            latest = Some((g.at, g.ballot, g.line));
            continue;
        };
        v.tested += u64::from(seen.insert(g.ballot));
        if g.ballot > ballot {
            latest = Some((g.at, g.ballot, g.line));
        } else if g.ballot.1 != ballot.1 && g.ballot < ballot && g.at > at + WAY {
            // One that stood still between deciding and sending: what it sent is over for whoever gets it.
            let host = &g.by;
            let still = h.pauses(host).iter().any(|p| p.0 <= g.at && g.at <= p.1 + WAY);
            if !still {
                v.breach(format!("{host} granted by {:?} after {ballot:?} did", g.ballot), [line, g.line]);
            }
        }
    }
    v
}
