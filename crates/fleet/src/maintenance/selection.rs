//! Who may go next: a function of the line, the machines and the terms alone, so that every host can repeat it.

use super::{Line, MaintenanceConfig, Order, ServerId, ServerObservation, ServerRole, Servers, Stage};
use std::collections::BTreeSet;

/// How things stand, beside the line.
pub struct Now<'a> {
    pub servers: &'a Servers,
    /// Hosts that are members; of how many, of which the first so many are voters.
    pub members: &'a BTreeSet<u32>,
    pub hosts: u32,
    pub voters: u32,
    /// Units a second that all hosts serve.
    pub served: f64,
    /// Whoever decides: it goes last.
    pub coordinator: u32,
    /// Seconds of the day, UTC.
    pub second: u32,
}

/// One that has been passed over so often goes before any later one that the same limits hold up.
const PATIENT: u32 = 4;

impl Now<'_> {
    fn well(&self, seen: &ServerObservation) -> bool {
        match seen.what {
            ServerRole::Node { .. } => seen.well,
            ServerRole::Host(h) => self.members.contains(&h),
        }
    }
}

/// The next of those that are cleared, in the order in which they go; and what each of the others waits for.
///
/// Those that cannot go hold nobody up; sick ones go first, since they count as away already.
pub fn next(
    line: &Line,
    terms: &MaintenanceConfig,
    now: &Now,
) -> (Option<ServerId>, Vec<(ServerId, String)>) {
    let mut cleared: Vec<&Order> = line.orders.iter().filter(|o| o.stage == Stage::Approved).collect();
    let sick = |o: &Order| now.servers.get(&o.server).is_some_and(|s| !now.well(s));
    cleared.sort_by_key(|o| (o.passed < PATIENT, !sick(o), o.number));
    let mut waits = Vec::new();
    let mut gone = None;
    let mut held: Option<ServerId> = None;
    for o in cleared {
        match blocked(line, terms, now, o) {
            // Who was passed over too often is not passed over again: what holds it up must become free.
            None if held.is_none_or(|h| !same_limits(now, h, o.server)) && gone.is_none() => {
                gone = Some(o.server);
            }
            None => waits.push((o.server, "another goes first".to_string())),
            Some(Waits { others, why }) => {
                if o.passed >= PATIENT && others && held.is_none() {
                    held = Some(o.server);
                }
                waits.push((o.server, why));
            }
        }
    }
    (gone, waits)
}

/// Both are nodes, or both hosts: the capacity or the counts that one takes the other lacks.
fn same_limits(now: &Now, a: ServerId, b: ServerId) -> bool {
    let host = |m| now.servers.get(&m).map(|s| matches!(s.what, ServerRole::Host(_)));
    host(a) == host(b)
}

/// What an order waits for; `others`: for machines that are away, so that no later one may take the place first.
pub struct Waits {
    pub others: bool,
    pub why: String,
}

/// Why this one cannot go now; `None`: it can.
pub fn blocked(line: &Line, terms: &MaintenanceConfig, now: &Now, o: &Order) -> Option<Waits> {
    let own = |why: String| Some(Waits { others: false, why });
    let others = |why: String| Some(Waits { others: true, why });
    let Some(seen) = now.servers.get(&o.server) else {
        return own("nobody knows this machine any more".into());
    };
    if let Some((from, to)) = terms.rests.iter().find(|r| within(**r, now.second)) {
        return own(format!("none goes between {} and {}", clock(*from), clock(*to)));
    }
    if let ServerRole::Host(h) = seen.what
        && h == now.coordinator
        && line.open().any(|other| other.server != o.server && other.stage <= Stage::Draining)
    {
        return own("it decides, and goes last".into());
    }
    let ordered = |m: &ServerId| *m != o.server && line.order(*m).is_some_and(|o| o.stage.away());
    let gone = |m: &ServerId, s: &ServerObservation| ordered(m) || (*m != o.server && !now.well(s));
    // A spare that never ran is no machine that failed.
    let there = |s: &ServerObservation| s.well || s.incarnation != 0 || matches!(s.what, ServerRole::Host(_));
    // One that failed by itself is away already: others that failed do not hold it up, but others at work do.
    let sick = !now.well(seen);
    let counts = |m: &ServerId, s: &ServerObservation| if sick { ordered(m) } else { there(s) && gone(m, s) };
    let away: Vec<&ServerObservation> =
        now.servers.iter().filter(|(m, s)| counts(m, s)).map(|m| m.1).collect();
    let most = [
        (terms.at_once, away.len(), "in all"),
        (terms.in_zone, away.iter().filter(|s| s.zone == seen.zone).count(), "in its zone"),
        (terms.in_pool, away.iter().filter(|s| same_pool(s, seen)).count(), "in its pool"),
    ];
    if let Some((most, count, of)) = most.into_iter().find(|(most, count, _)| *count as u32 >= *most) {
        return others(format!("{count} of {most} away {of}"));
    }
    let ServerRole::Node { shard, can, .. } = seen.what else {
        // Without most voters nobody decides, and without most hosts nobody could take the line over.
        let ServerRole::Host(me) = seen.what else { return None };
        let going: BTreeSet<u32> =
            now.servers.iter().filter(|(m, _)| ordered(m)).filter_map(|(_, s)| host_of(s)).collect();
        let stay = now.members.iter().filter(|h| **h != me && !going.contains(h));
        let voters = stay.clone().filter(|h| **h < now.voters).count() as u32;
        let few = stay.count() as u32 <= now.hosts / 2 || voters <= now.voters / 2;
        let why = "too few hosts would be left to decide";
        return if few && !sick { others(why.into()) } else { None };
    };
    let nodes = || {
        now.servers.iter().filter_map(|(m, s)| match s.what {
            ServerRole::Node { shard, can, .. } => Some((m, s, shard, can)),
            ServerRole::Host(_) => None,
        })
    };
    let stays = |m: &ServerId, s: &ServerObservation| *m != o.server && !gone(m, s);
    let of_shard = |only: bool| {
        let all = nodes().filter(|n| n.2 == shard && there(n.1));
        all.filter(|n| !only || stays(n.0, n.1)).map(|n| n.3).sum::<f64>()
    };
    if !o.shard_away && of_shard(true) < (terms.keep_shard * of_shard(false)).max(f64::MIN_POSITIVE) {
        return own(format!("cell {shard} would be left with too few holders"));
    }
    let all: f64 = nodes().filter(|n| there(n.1)).map(|n| n.3).sum();
    let rest: f64 = nodes().filter(|n| stays(n.0, n.1)).map(|n| n.3).sum();
    // One that is not well takes nothing away by going.
    if !sick && rest < terms.keep * all - 1e-9 {
        return others(format!(
            "{:.0}% of the capacity would stay, {:.0}% must",
            rest / all * 100.0,
            terms.keep * 100.0
        ));
    }
    if !sick && now.served > terms.busy * rest {
        return others(format!(
            "{:.0} units a second are served, the rest can do {rest:.0}: no room to spare (needs {can:.0})",
            now.served
        ));
    }
    None
}

/// What no waiting can mend: the term that clashes.
pub fn never(terms: &MaintenanceConfig, servers: &Servers, server: ServerId) -> Option<String> {
    let seen = servers.get(&server)?;
    let ServerRole::Node { can, .. } = seen.what else { return None };
    let all: f64 = servers
        .values()
        .filter_map(|s| if let ServerRole::Node { can, .. } = s.what { Some(can) } else { None })
        .sum();
    let rest = all - can;
    (rest < terms.keep * all - 1e-9).then(|| {
        format!(
            "without it {:.0}% of all capacity stays, and keep={} wants more",
            rest / all * 100.0,
            terms.keep
        )
    })
}

fn host_of(seen: &ServerObservation) -> Option<u32> {
    if let ServerRole::Host(h) = seen.what { Some(h) } else { None }
}

fn same_pool(a: &ServerObservation, b: &ServerObservation) -> bool {
    match (&a.what, &b.what) {
        (ServerRole::Node { pool: a, .. }, ServerRole::Node { pool: b, .. }) => a == b,
        (ServerRole::Host(_), ServerRole::Host(_)) => true,
        _ => false,
    }
}

fn within((from, to): (u32, u32), second: u32) -> bool {
    if from <= to { (from..to).contains(&second) } else { second >= from || second < to }
}

fn clock(second: u32) -> String {
    format!("{:02}:{:02}", second / 3600, second / 60 % 60)
}
