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
            let end = next.min(over).min(h.incarnation(host, p.at).1);
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

/// What was done to a node: when, to which, on which line.
type Done<'a> = Vec<(i64, &'a str, usize)>;

/// What all hosts together do to one node so many times a second, where the document says so: over any span no more than
/// that, and one for each incarnation of a host. Connections are counted as they come to the node's door, whether it is there or
/// not; probes are attempts to a node of which the two before ran into their time, with nothing of it since. Tested by each
/// that came within a second of another.
pub fn rates(d: &Deployment, h: &History) -> Vec<Verdict> {
    let Some(fleet) = &d.fleet else { return Vec::new() };
    let is_node = |name: &str| d.node(name).is_some();
    let came = || h.came.iter().filter(|c| is_node(&c.1)).map(|c| (c.0, c.1.as_str(), 0)).collect();
    let all = [
        (11, "connections to a node within their rate", fleet.connects.map(|rate| (rate, came()))),
        (12, "probes of a node within their rate", fleet.probes.map(|rate| (rate, probes(h)))),
    ];
    let incarnations =
        |host: &String| h.process_events.get(host).into_iter().flatten().filter(|l| !l.1.is_end()).count();
    let each = h.hosts().iter().map(incarnations).sum::<usize>().max(1) as f64;
    let judged = all.into_iter().filter_map(|(rule, name, done)| Some((rule, name, done?)));
    let judge = |(rule, name, (rate, mut done)): (u8, &'static str, (f64, Done))| {
        let mut v = Verdict::new(rule, name);
        done.sort_unstable();
        let mut levels: BTreeMap<&str, (f64, i64)> = BTreeMap::new();
        for (at, node, line) in done {
            let (level, last) = levels.entry(node).or_insert((each, i64::MIN / 2));
            let since = at.saturating_sub(*last);
            v.tested += u64::from(since < 1_000_000);
            // A busy processor brings some together that were apart.
            *level = (*level + rate * since as f64 / 1e6).min(each + rate * WAY as f64 / 1e6) - 1.0;
            *last = at;
            v.nearest = v.nearest.max(1.0 - *level / each);
            if *level < 0.0 {
                v.breach(format!("{node} at {at} us: {:.1} past {rate} a second", -*level), [line]);
            }
        }
        v
    };
    judged.map(judge).collect()
}

/// When each was sent, to which node, and its line.
fn probes(h: &History) -> Done<'_> {
    let mut of: BTreeMap<(&str, &str), Vec<usize>> = BTreeMap::new();
    for (place, l) in h.attempts.iter().enumerate() {
        of.entry((&l.host, &l.node)).or_default().push(place);
    }
    let mut all = Vec::new();
    for ((host, node), attempts) in of {
        for (place, l) in attempts.iter().map(|l| &h.attempts[*l]).enumerate() {
            let before: Vec<_> = attempts[..place].iter().map(|l| &h.attempts[*l]).collect();
            // The newest that ran into their time by then, of this incarnation of the host.
            let born = h.incarnation(host, l.at).0;
            let timed_out = |b: &&&crate::history::AttemptSeen| {
                let ends = b.at + b.attempt.time_out_us;
                let answered = b.answer.is_some_and(|a| a.1 <= ends + WAY);
                let broke = b.broke.is_some_and(|at| at <= ends + WAY);
                b.at > born && ends + WAY <= l.at && !answered && !broke
            };
            let lost: Vec<i64> = before.iter().rev().filter(timed_out).take(2).map(|b| b.at).collect();
            let [_, first] = lost[..] else { continue };
            let heard = before.iter().filter_map(|b| b.answer).any(|a| a.1 > first && a.1 <= l.at + WAY);
            let incarnations = h.process_events.get(node).into_iter().flatten();
            let another = incarnations
                .filter(|incarnation| incarnation.0 > first && incarnation.0 <= l.at + WAY)
                .count()
                > 0;
            if !heard && !another {
                all.push((l.at, node, l.line));
            }
        }
    }
    all
}
