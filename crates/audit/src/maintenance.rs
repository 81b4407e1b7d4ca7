//! What works promise, from what hosts wrote down at the time and from attempts on the wire: nothing is sent to what any host was
//! told to be out, and no more machines are out than the document allows, whoever decided.

use crate::Verdict;
use crate::history::History;
use gullsail_configuration::Deployment;
use std::collections::BTreeMap;

/// Between a host's clock reading and the relay's: a frame's way through a busy processor.
const WAY: i64 = 20_000;

/// One order: from when on any host knew its machine to be out, until when any knew it to be back, and to be done; the line.
struct Away<'a> {
    server: &'a str,
    out: i64,
    back: i64,
    done: i64,
    line: usize,
}

fn away(h: &History) -> Vec<Away<'_>> {
    let mut all: BTreeMap<(&str, u64), Away> = BTreeMap::new();
    for (at, server, number, stage, line) in &h.stages {
        let stage = stage.as_str();
        let order = all.entry((server, *number)).or_insert(Away {
            server,
            out: i64::MAX,
            back: i64::MAX,
            done: i64::MAX,
            line: *line,
        });
        match stage {
            "out" | "overdue" if *at < order.out => (order.out, order.line) = (*at, *line),
            "back" => order.back = order.back.min(*at),
            "done" | "cancelled" => (order.back, order.done) = (order.back.min(*at), order.done.min(*at)),
            _ => {}
        }
    }
    all.into_values().filter(|a| a.out < i64::MAX).collect()
}

pub fn rules(d: &Deployment, h: &History) -> Vec<Verdict> {
    let Some(maintenance) = &d.maintenance else { return Vec::new() };
    let all = away(h);
    let mut sent = Verdict::new(13, "nothing sent to what is out for work");
    for a in &all {
        sent.tested += 1;
        let to =
            h.attempts.iter().filter(|l| l.node == a.server && l.at > a.out + WAY && l.at + WAY < a.back);
        for l in to {
            let what = format!("{} sent to {} {} us after it was out", l.host, a.server, l.at - a.out);
            sent.breach(what, [a.line, l.line]);
        }
    }
    let mut many = Verdict::new(14, "machines out for work within their number");
    let place = |name: &str| {
        let node = d.node(name).map(|n| (n.place.zone, n.kind.clone(), true));
        let host = || d.hosts.iter().find(|p| p.name == name).map(|p| (p.zone, String::new(), false));
        node.or_else(host)
    };
    for a in &all {
        // Those that are out in the moment in which this one is told to be.
        let with: Vec<&Away> = all.iter().filter(|o| o.out <= a.out && a.out + WAY < o.done).collect();
        let own = place(a.server);
        let zone = with.iter().filter(|o| place(o.server).map(|p| p.0) == own.as_ref().map(|p| p.0)).count();
        let pool = with
            .iter()
            .filter(|o| place(o.server).map(|p| (p.1, p.2)) == own.clone().map(|p| (p.1, p.2)))
            .count();
        many.tested += u64::from(with.len() > 1 || maintenance.at_once == 1);
        for (most, count, of) in [
            (maintenance.at_once, with.len(), "in all"),
            (maintenance.in_zone, zone, "in its zone"),
            (maintenance.in_pool, pool, "in its pool"),
        ] {
            many.nearest = many.nearest.max(count as f64 / f64::from(most.max(1)));
            if count as u32 > most {
                let names: Vec<_> = with.iter().map(|o| o.server).collect();
                many.breach(
                    format!("{count} of {most} out {of}: {}", names.join(" ")),
                    with.iter().map(|o| o.line),
                );
            }
        }
    }
    vec![sent, many]
}
