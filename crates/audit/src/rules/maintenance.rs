//! Rules 13 and 14 on maintenance. Rule 13: no host sends an attempt to a server after any host logged that it is offline.
//! Rule 14: no more servers are offline at once than the configuration allows, whichever host is the coordinator.

use super::FRAME_DELAY;
use crate::history::History;
use crate::verdict::Verdict;
use gullsail_configuration::Deployment;
use gullsail_scheduler_api::ZoneId;
use std::collections::BTreeMap;

/// The absence of a server under one maintenance order, as hosts logged it. A time is `i64::MAX` if no host logged it.
struct Absence<'a> {
    server: &'a str,
    /// When a host first logged that the server is offline.
    offline_at: i64,
    /// When a host first logged that the server is back, or that the order is done or cancelled.
    back_at: i64,
    /// When a host first logged that the order is done or cancelled.
    done_at: i64,
    /// The line of the first log entry that the server is offline.
    line: usize,
}

/// How many servers may be offline at the same time, by the configuration.
struct Bounds {
    in_all: u32,
    in_zone: u32,
    in_pool: u32,
}

/// Each rule is tested by the servers that go offline; rule 14 only by those for which it matters. Without maintenance in
/// the configuration there are no verdicts.
pub(super) fn judge(deployment: &Deployment, history: &History) -> Vec<Verdict> {
    let Some(config) = &deployment.maintenance else {
        return Vec::new();
    };
    let bounds = Bounds {
        in_all: config.at_once,
        in_zone: config.in_zone,
        in_pool: config.in_pool,
    };
    let absences = absences(history);
    vec![
        nothing_sent(history, &absences),
        not_too_many(deployment, &bounds, &absences),
    ]
}

fn absences(history: &History) -> Vec<Absence<'_>> {
    let mut absences: BTreeMap<(&str, u64), Absence> = BTreeMap::new();
    for seen in &history.stages {
        let absence = absences
            .entry((&seen.server, seen.number))
            .or_insert(Absence {
                server: &seen.server,
                offline_at: i64::MAX,
                back_at: i64::MAX,
                done_at: i64::MAX,
                line: seen.line,
            });
        match seen.stage.as_str() {
            "out" | "overdue" if seen.at < absence.offline_at => {
                absence.offline_at = seen.at;
                absence.line = seen.line;
            }
            "back" => absence.back_at = absence.back_at.min(seen.at),
            "done" | "cancelled" => {
                absence.back_at = absence.back_at.min(seen.at);
                absence.done_at = absence.done_at.min(seen.at);
            }
            _ => {}
        }
    }
    absences
        .into_values()
        .filter(|absence| absence.offline_at < i64::MAX)
        .collect()
}

fn nothing_sent(history: &History, absences: &[Absence]) -> Verdict {
    let mut verdict = Verdict::new(13, "nothing sent to an offline server");
    for Absence {
        server,
        offline_at,
        back_at,
        line,
        ..
    } in absences
    {
        verdict.tested += 1;
        for attempt in history
            .attempts
            .iter()
            .filter(|attempt| attempt.node == **server)
        {
            if attempt.at > offline_at + FRAME_DELAY && attempt.at + FRAME_DELAY < *back_at {
                let after = attempt.at - offline_at;
                let what = format!(
                    "{} sent to {server} {after} us after it was offline",
                    attempt.host
                );
                verdict.breach(what, [*line, attempt.line]);
            }
        }
    }
    verdict
}

fn not_too_many(deployment: &Deployment, bounds: &Bounds, absences: &[Absence]) -> Verdict {
    let mut verdict = Verdict::new(14, "servers offline within their number");
    for absence in absences {
        // The absences that last at the moment at which this server goes offline, its own included.
        let is_away = |other: &&Absence| {
            other.offline_at <= absence.offline_at
                && absence.offline_at + FRAME_DELAY < other.done_at
        };
        let away: Vec<&Absence> = absences.iter().filter(is_away).collect();
        verdict.test_if(away.len() > 1 || bounds.in_all == 1);
        for limit in limits(deployment, bounds, absence, &away) {
            judge_limit(&mut verdict, &limit, &away);
        }
    }
    verdict
}

/// The permitted and the actual number of offline servers in a scope.
struct Limit {
    most: u32,
    count: usize,
    scope: &'static str,
}

fn limits(
    deployment: &Deployment,
    bounds: &Bounds,
    absence: &Absence,
    away: &[&Absence],
) -> [Limit; 3] {
    let own = scopes(deployment, absence.server);
    let zone = own.as_ref().map(|own| own.zone);
    let pool = own.as_ref().map(|own| &own.pool);
    let others: Vec<Option<Scopes>> = away
        .iter()
        .map(|other| scopes(deployment, other.server))
        .collect();
    let in_zone = others
        .iter()
        .filter(|other| other.as_ref().map(|other| other.zone) == zone)
        .count();
    let in_pool = others
        .iter()
        .filter(|other| other.as_ref().map(|other| &other.pool) == pool)
        .count();
    [
        Limit {
            most: bounds.in_all,
            count: away.len(),
            scope: "in all",
        },
        Limit {
            most: bounds.in_zone,
            count: in_zone,
            scope: "in its zone",
        },
        Limit {
            most: bounds.in_pool,
            count: in_pool,
            scope: "in its pool",
        },
    ]
}

fn judge_limit(verdict: &mut Verdict, limit: &Limit, away: &[&Absence]) {
    let Limit { most, count, scope } = limit;
    verdict.approach(*count as f64 / f64::from((*most).max(1)));
    if *count as u32 > *most {
        let names: Vec<&str> = away.iter().map(|other| other.server).collect();
        let what = format!("{count} of {most} offline {scope}: {}", names.join(" "));
        verdict.breach(what, away.iter().map(|other| other.line));
    }
}

/// The zone and the pool in which an offline server is counted.
struct Scopes {
    zone: ZoneId,
    pool: Pool,
}

#[derive(PartialEq, Eq)]
enum Pool {
    Hosts,
    Nodes { kind: String },
}

fn scopes(deployment: &Deployment, name: &str) -> Option<Scopes> {
    if let Some(node) = deployment.node(name) {
        return Some(Scopes {
            zone: node.place.zone,
            pool: Pool::Nodes {
                kind: node.kind.clone(),
            },
        });
    }
    let host = deployment.hosts.iter().find(|host| host.name == name)?;
    Some(Scopes {
        zone: host.zone,
        pool: Pool::Hosts,
    })
}
