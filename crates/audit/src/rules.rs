//! The seven rules, one function each.

use crate::Verdict;
use crate::history::{AttemptSeen, Follows, History, Taken};
use gullsail_configuration::Deployment;
use gullsail_protocol::record::ProcessEvent;
use gullsail_protocol::{ListedState, Outcome};
use gullsail_scheduler_api::{BudgetScope, Idempotency, IdempotencyScope};
use std::collections::{BTreeMap, VecDeque};

/// Between a host's clock reading and the relay's: a frame's way over loopback and a turn of a busy processor.
const WAY: i64 = 20_000;

fn lines(h: &History, t: &Taken) -> Vec<usize> {
    let attempts = t.attempts.iter().flat_map(|l| {
        let l = &h.attempts[*l];
        std::iter::once(l.line).chain(l.answer.map(|a| a.0))
    });
    let mut all: Vec<usize> =
        std::iter::once(t.line).chain(attempts).chain(t.answers.iter().map(|a| a.0)).collect();
    all.sort_unstable();
    all
}

/// Rule 1: one final answer before the deadline, and nothing sent after it.
pub fn answered(_: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(1, "one final answer in time");
    for t in &h.taken {
        let deadline = t.at + t.submit.timeout_us;
        // No longer the host's duty: its client left, or it was killed.
        let left = [t.withdrawn, t.link_closed].into_iter().flatten().min().unwrap_or(i64::MAX);
        if t.not_taken.is_some() {
            if !t.answers.is_empty() || !t.attempts.is_empty() {
                v.breach(format!("{} was not taken, but more came of it", t.submit.mark), lines(h, t));
            }
            continue;
        }
        v.tested += 1;
        match t.answers.as_slice() {
            [] if left.min(h.incarnation(&t.host, t.at).1) <= deadline + WAY || deadline + WAY > h.end => {}
            // Nobody who stands still answers; afterwards it would be late.
            [] if h.pauses(&t.host).iter().any(|p| p.0 <= deadline + WAY && p.1 + WAY >= deadline) => {}
            [] => v.breach(format!("{} at {} got no answer", t.submit.mark, t.host), lines(h, t)),
            [(_, at, _)] => {
                let part = (at - t.at) as f64 / (t.submit.timeout_us + WAY) as f64;
                v.nearest = v.nearest.max(part);
                if *at > deadline + WAY {
                    let what =
                        format!("{} at {} was answered {} us late", t.submit.mark, t.host, at - deadline);
                    v.breach(what, lines(h, t));
                }
                let after = t.attempts.iter().map(|l| &h.attempts[*l]).find(|l| l.at > at + WAY);
                if let Some(l) = after {
                    let what = format!("{}: a leg to {} was sent after the answer", t.submit.mark, l.node);
                    v.breach(what, lines(h, t));
                }
            }
            more => v.breach(format!("{} got {} answers", t.submit.mark, more.len()), lines(h, t)),
        }
    }
    v
}

fn in_group(d: &Deployment, group: IdempotencyScope, a: &str, b: &str) -> bool {
    let find = |name: &str| d.node(name).map(|n| (n.shard, n.place.zone));
    match group {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => find(a).map(|n| n.1) == find(b).map(|n| n.1),
        IdempotencyScope::Shard => find(a).map(|n| n.0) == find(b).map(|n| n.0),
    }
}

/// Rule 2: no effect twice. Tested by each attempt that may have run and was not the last thing that happened to
/// its request.
pub fn once(d: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(2, "no effect twice");
    let effects: BTreeMap<&str, Idempotency> =
        d.request_classes.iter().map(|s| (s.name.as_str(), s.decisions.idempotency)).collect();
    for t in &h.taken {
        let idempotency =
            effects.get(t.submit.request_class.as_str()).copied().unwrap_or(Idempotency::Idempotent);
        if idempotency == Idempotency::Idempotent {
            continue;
        }
        let attempts: Vec<&AttemptSeen> = t.attempts.iter().map(|l| &h.attempts[*l]).collect();
        for (place, attempt) in attempts.iter().enumerate().skip(1) {
            let Some(before) = attempts[..place].iter().find(|b| !b.never_ran(attempt.at)) else { continue };
            v.tested += 1;
            let fits = match idempotency {
                Idempotency::WithKey { group, window } => {
                    let part = (attempt.at - before.at) as f64 / window.micros().max(1) as f64;
                    v.nearest = v.nearest.max(part);
                    in_group(d, group, &before.node, &attempt.node) && part <= 1.0
                }
                _ => false,
            };
            if !fits {
                let what = format!(
                    "{} may have run at {} and was sent to {}",
                    t.submit.mark, before.node, attempt.node
                );
                v.breach(what, lines(h, t));
            }
        }
        if let Some((_, at, a)) = t.answers.first() {
            let open = attempts.iter().find(|l| !l.never_ran(*at));
            let done = a.outcome == Outcome::Succeeded as i32;
            v.tested += u64::from(open.is_some() && !done);
            let all = matches!(idempotency, Idempotency::WithKey { group: IdempotencyScope::All, .. });
            if let (true, false, Some(l)) = (a.outcome == Outcome::Rejected as i32, all, open) {
                let what = format!("{} may have run at {} and was deferred", t.submit.mark, l.node);
                v.breach(what, lines(h, t));
            }
        }
    }
    // By the nodes' own word, over all tries.
    let mut ran: BTreeMap<&str, Vec<&AttemptSeen>> = BTreeMap::new();
    for l in h.attempts.iter().filter(|l| l.attempt.write && l.answer.is_some_and(|a| a.3)) {
        let idempotency =
            effects.get(l.attempt.request_class.as_str()).copied().unwrap_or(Idempotency::Idempotent);
        if idempotency != Idempotency::Idempotent {
            ran.entry(&l.attempt.mark).or_default().push(l);
        }
    }
    for (mark, attempts) in ran.iter().filter(|r| r.1.len() > 1) {
        let what = format!("{mark} took effect {} times", attempts.len());
        v.breach(what, attempts.iter().flat_map(|l| std::iter::once(l.line).chain(l.answer.map(|a| a.0))));
    }
    v
}

/// Rule 3: nothing new to a node after the grace, once the host was told that it drains or is gone. Tested by
/// each time a host was told so.
pub fn drains(d: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(3, "drains kept");
    let grace = d.drain_grace.micros();
    for ((host, node), told) in &h.told {
        let mut since: Option<(i64, usize, u64)> = None;
        let mut spans = Vec::new();
        for t in told {
            let ready = t.state == ListedState::Ready;
            match since {
                None if !ready => since = Some((t.at, t.line, t.incarnation)),
                // Taken back by a newer start only.
                Some((at, line, incarnation)) if ready && t.incarnation != incarnation => {
                    spans.push((at, t.at, line));
                    since = None;
                }
                _ => {}
            }
        }
        spans.extend(since.map(|(at, line, _)| (at, i64::MAX, line)));
        for (from, to, line) in spans {
            // A host that was killed forgets.
            let to = to.min(h.incarnation(host, from).1);
            v.tested += 1;
            for l in
                h.attempts.iter().filter(|l| l.host == *host && l.node == *node && l.at > from && l.at < to)
            {
                let part = (l.at - from) as f64 / grace.max(1) as f64;
                v.nearest = v.nearest.max(part.min(2.0));
                if l.at > from + grace + WAY {
                    let what = format!("{host} sent to {node} {} us after it was told", l.at - from);
                    v.breach(what, [line, l.line]);
                }
            }
        }
    }
    v
}

/// Rule 4: no cold node pushed over. Tested by each attempt to a cold node.
pub fn cold(d: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(4, "no cold node pushed over");
    let c = d.figures().slow_start;
    let (window, ramp) = (c.window.micros(), c.ramp.micros());
    for (node, process_events) in &h.process_events {
        let Some(place) = d.node(node) else { continue };
        let Some(server) = d.servers.get(place.server) else { continue };
        let a_second = server.can();
        for (born, _) in process_events.iter().filter(|l| matches!(l.1, ProcessEvent::Started { .. })) {
            // Those that were there before the day began are warm.
            if *born <= 0 {
                continue;
            }
            let mut sent: VecDeque<(i64, f64)> = VecDeque::new();
            let attempts =
                h.attempts.iter().filter(|l| l.node == *node && l.out >= *born && l.out < born + ramp);
            for l in attempts {
                v.tested += 1;
                sent.push_back((l.out, l.attempt.units));
                while sent.pop_front_if(|s| l.out - s.0 > window).is_some() {}
                let age = (l.out - born) as f64 / ramp.max(1) as f64;
                let part = c.initial_fraction + (1.0 - c.initial_fraction) * age;
                let bears = c.units.max(server.falls_over * a_second * part * c.window.secs());
                let units: f64 = sent.iter().map(|s| s.1).sum();
                v.nearest = v.nearest.max(units / bears.max(1e-9));
                if units > bears {
                    let what = format!("{node}, cold, was sent {units} units; it bears {bears:.1}");
                    v.breach(what, [l.line]);
                }
            }
        }
    }
    v
}

/// Rule 5: order by key. Tested by each attempt of a request that came while an earlier one of its key was open.
pub fn order(d: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(5, "order kept by key");
    let settle = d.figures().order_settle.micros();
    let ordered = |name: &str| d.request_classes.iter().any(|s| s.name == name && s.decisions.in_order);
    let mut keys: BTreeMap<(&str, i64, &str), Vec<&Taken>> = BTreeMap::new();
    for t in h.taken.iter().filter(|t| ordered(&t.submit.request_class) && !t.submit.order_key.is_empty()) {
        keys.entry((&t.host, h.incarnation(&t.host, t.at).0, &t.submit.order_key)).or_default().push(t);
    }
    for ((host, _, key), mut tries) in keys {
        tries.sort_by_key(|t| (t.at, t.line));
        for (place, t) in tries.iter().enumerate() {
            let Some(first) = t.attempts.first().map(|l| &h.attempts[*l]) else { continue };
            let mut waited = false;
            for before in &tries[..place] {
                // Without an answer, since its host stood still, it ends with the patience of its client.
                let patience = before.not_taken.unwrap_or(before.at + before.submit.timeout_us);
                let left = [before.withdrawn, before.link_closed].into_iter().flatten().min();
                let over =
                    before.answers.first().map(|a| a.1).unwrap_or(left.unwrap_or(i64::MAX).min(patience));
                let open = over > t.at;
                waited |= open;
                // Two connections are read in an order that only the host knows.
                if over > first.at + WAY && before.link == t.link {
                    let what = format!(
                        "{host}, key {key}: {} sent while {} was open",
                        t.submit.mark, before.submit.mark
                    );
                    v.breach(what, [before.line, first.line]);
                }
                for l in before.attempts.iter().map(|l| &h.attempts[*l]).filter(|l| l.at < first.at) {
                    // Unknown from its time-out on, or since its connection broke; known by its answer in time.
                    let ends = l.at + l.attempt.time_out_us;
                    let unknown = match (l.answer, l.broke) {
                        (Some(a), _) if a.1 <= ends + WAY => continue,
                        (_, Some(broke)) if broke < ends => broke,
                        _ => ends,
                    };
                    let rest = first.at - unknown;
                    v.nearest = v.nearest.max(settle as f64 / rest.max(1) as f64).min(9.99);
                    if rest + WAY < settle {
                        let what = format!(
                            "{host}, key {key}: {} sent {rest} us after a leg of {} ended unknown",
                            t.submit.mark, before.submit.mark
                        );
                        v.breach(what, [l.line, first.line]);
                    }
                }
            }
            v.tested += u64::from(waited);
        }
    }
    v
}

/// Rule 6: attempts beyond each request's first. Tested by each of them.
pub fn budget(d: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(6, "further legs within their budget");
    let Some(b) = d.figures().retry_budget else { return v };
    let window = b.window.micros();
    let mut accepted: BTreeMap<(&str, i64), Vec<i64>> = BTreeMap::new();
    let mut further: BTreeMap<(&str, i64), Vec<&AttemptSeen>> = BTreeMap::new();
    for t in h.taken.iter().filter(|t| t.not_taken.is_none()) {
        accepted.entry((&t.host, h.incarnation(&t.host, t.at).0)).or_default().push(t.at);
    }
    for l in h.attempts.iter().filter(|l| l.attempt.number > 0) {
        further.entry((&l.host, h.incarnation(&l.host, l.at).0)).or_default().push(l);
    }
    for ((host, incarnation), mut further) in further {
        let taken = accepted.get(&(host, incarnation)).map(Vec::as_slice).unwrap_or_default();
        further.sort_by_key(|l| l.at);
        for (place, l) in further.iter().enumerate() {
            v.tested += 1;
            let since = l.at - window;
            // The window's edges differ by a frame's way: judged where both agree.
            let attempts = further[..=place].iter().filter(|f| f.at > since + WAY).count() as f64;
            let accepted = taken.iter().filter(|at| **at > since - WAY && **at <= l.at + WAY).count() as f64;
            let most = b.free + b.share * accepted;
            v.nearest = v.nearest.max(attempts / most.max(1e-9));
            if attempts > most {
                let what = format!("{host}: {attempts} further legs in the window, {most:.1} allowed");
                v.breach(what, [l.line]);
            }
        }
    }
    v
}

/// What is known of a volume's limit from some point on: rate, store and slack; `None`: no limit.
type Allowed = Option<(f64, f64, f64)>;

/// The limit that must hold, from when to when: of the oldest document that a host which runs may still serve by.
/// Where it is not certain which that is, between a question to the last host and its reply, the largest.
fn allowed(d: &Deployment, h: &History, volume: &str) -> Vec<(i64, Allowed)> {
    let of = |d: &Deployment| -> Allowed {
        let plan = &d.plans[d.volume(volume)?.plan.0];
        plan.decisions.limit.map(|l| (l.rate, l.burst, plan.slack))
    };
    let document = |revision: u64| h.documents.get(&revision).unwrap_or(d);
    let mut points = vec![i64::MIN];
    points.extend(h.follows.values().flatten().map(|f| if f.serves { f.at + LET_GO } else { f.at }));
    points.extend(h.hosts().iter().filter_map(|p| h.process_events.get(p)).flatten().map(|l| l.0));
    points.sort_unstable();
    points.dedup();
    let first = d.place.revision.0;
    let at = |point: i64| {
        let first_of = |name: &str| h.hosts().iter().take(h.began_with).any(|p| p == name);
        let runs =
            |name: &str| match h.process_events.get(name).and_then(|l| l.iter().rev().find(|l| l.0 <= point))
            {
                Some((_, event)) => !event.is_end(),
                None => first_of(name),
            };
        let (mut sure, mut may, mut last) = (u64::MAX, u64::MAX, 0);
        for p in h.hosts().iter().filter(|p| runs(p)) {
            let follows = h.follows.get(p).map(Vec::as_slice).unwrap_or_default();
            // One that starts reads what its file holds, which may be what it was asked for while it was down.
            let newest = |serves: bool| {
                let until =
                    |f: &&Follows| f.serves == serves && f.at + if serves { LET_GO } else { 0 } <= point;
                follows.iter().filter(until).map(|f| f.revision).max().unwrap_or(first)
            };
            let (serves, asked) = (newest(true), newest(false).max(newest(true)));
            (sure, may, last) = (sure.min(serves), may.min(asked), last.max(asked));
        }
        // One that a fleet has put out may hold to an older document than all others, and uses its floor by it.
        let may = if d.fleet.is_some() { last } else { may };
        let range = h.documents.range(sure.min(may)..=may).map(|(_, d)| of(d));
        let all: Vec<Allowed> = range.chain((sure == first).then(|| of(document(first)))).collect();
        let all: Vec<Allowed> = if all.is_empty() { vec![of(d)] } else { all };
        let largest = |a: Allowed, b: Allowed| match (a, b) {
            (Some(a), Some(b)) => Some((a.0.max(b.0), a.1.max(b.1), a.2.max(b.2))),
            _ => None,
        };
        all.into_iter().reduce(largest).flatten()
    };
    points.into_iter().map(|point| (point, at(point))).collect()
}

/// After a host says that it serves by another document: attempts that it had sent before may still be on their way
/// to the relay, through a busy processor.
const LET_GO: i64 = 100_000;

/// Rule 7: each volume's store over all hosts. Tested by each first attempt of a volume that was asked for more, in
/// the second before, than its limit fills.
pub fn limits(d: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(7, "limits kept over all hosts");
    let mut volumes: BTreeMap<&str, Vec<&AttemptSeen>> = BTreeMap::new();
    for l in h.attempts.iter().filter(|l| l.attempt.number == 0) {
        volumes.entry(&l.attempt.volume).or_default().push(l);
    }
    for (name, mut attempts) in volumes {
        attempts.sort_by_key(|l| (l.at, l.line));
        let mut steps = allowed(d, h, name).into_iter().peekable();
        let (mut limit, mut level, mut at) = (None, f64::INFINITY, attempts[0].at);
        let asked = h.taken.iter().filter(|t| t.submit.volume == name).map(|t| (t.at, t.submit.units));
        let (mut asked, mut last, mut second) = (asked.peekable(), VecDeque::new(), 0.0);
        for l in attempts {
            while let Some(a) = asked.next_if(|a| a.0 <= l.at) {
                last.push_back(a);
                second += a.1;
            }
            while let Some(a) = last.pop_front_if(|a| a.0 < l.at - 1_000_000) {
                second -= a.1;
            }
            // The store fills by what held until each step, and has the size that holds from then on.
            while let Some((from, next)) = steps.next_if(|s| s.0 <= l.at) {
                if let Some((rate, burst, _)) = limit {
                    level = f64::min(level + rate * (from.max(at) - at) as f64 / 1e6, burst);
                }
                (limit, at) = (next, at.max(from));
                level = limit.map_or(f64::INFINITY, |l: (f64, f64, f64)| level.min(l.1));
            }
            let Some((rate, burst, slack)) = limit else { continue };
            level = (level + rate * (l.at - at) as f64 / 1e6).min(burst);
            at = l.at;
            level -= l.attempt.units;
            v.tested += u64::from(second > rate);
            v.nearest = v.nearest.max((burst - level) / (burst + slack));
            if level < -slack - 1e-6 {
                let what = format!("volume {name}: {:.1} units past its store, {slack} allowed", -level);
                v.breach(what, [l.line]);
            }
        }
    }
    v
}

/// Budgets between zones: kept, or what went past them was told. Tested by each frame that crosses while a budget is
/// below half of its store. Judged by the document the day began with.
pub fn cross_zone_budgets(d: &Deployment, h: &History) -> Verdict {
    let mut v = Verdict::new(8, "budgets between zones kept, or told");
    let hosts = d.hosts.iter().map(|p| (p.name.as_str(), p.zone));
    let zones: BTreeMap<&str, _> =
        hosts.chain(d.nodes.iter().map(|n| (n.place.name.as_str(), n.place.zone))).collect();
    let killed = d.hosts.iter().any(|p| {
        h.process_events.get(&p.name).is_some_and(|l| l.iter().any(|l| l.1 == ProcessEvent::Killed))
    });
    for c in &d.cross_zone_budgets {
        let BudgetScope::ZonePair(from, to) = c.of else { continue };
        let (mut level, mut at, mut past) = (c.limit.burst, 0, 0.0);
        let mut lines = 0u64;
        for (when, a, b, bytes) in &h.moved {
            if (zones.get(a.as_str()), zones.get(b.as_str())) != (Some(&from), Some(&to)) {
                continue;
            }
            level = (level + c.limit.rate * (when - at).max(0) as f64 / 1e6).min(c.limit.burst);
            at = (*when).max(at);
            level -= *bytes as f64;
            v.tested += u64::from(level < c.limit.burst / 2.0);
            if level < 0.0 {
                past += (*bytes as f64).min(-level);
                lines += 1;
            }
        }
        let told = h.past.get(&c.name).copied().unwrap_or_default() as f64;
        v.nearest =
            v.nearest.max(if told > 0.0 { past / told } else { (c.limit.burst - level) / c.limit.burst });
        // A host that was killed takes what it would have said with it.
        if past > told * 1.05 + 4096.0 && !killed {
            v.breach(format!("{}: {past:.0} bytes past it in {lines} frames, {told:.0} told", c.name), []);
        }
    }
    v
}
