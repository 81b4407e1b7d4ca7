//! What is well-formed and still makes no sense, or probably not what was meant.

use crate::deployment::{Deployment, PROMISABLE};
use crate::reader::{Reader, entries};
use gullsail_scheduler_api::{Idempotency, Plan};
use kdl::KdlDocument;
use std::collections::{BTreeMap, BTreeSet};

/// Looks at a deployment as a whole.
pub fn check(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    reserves(d, document, r);
    unused(d, document, r);
    plans(d, document, r);
    request_classes(d, document, r);
    places(d, document, r);
    shards(d, document, r);
    rules(d, document, r);
    bounds(d, document, r);
    slow_start(d, document, r);
    retry_budget(d, document, r);
}

/// Reserves against what the servers of the nodes can do, where that is stated.
fn reserves(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let running: Vec<_> = d.nodes.iter().filter(|n| !n.spare).collect();
    let servers: Option<Vec<_>> = running.iter().map(|n| d.servers.get(n.server)).collect();
    if let Some(servers) = servers.filter(|m| !m.is_empty()) {
        let can: f64 = servers.iter().map(|m| m.can()).sum();
        let reserved: f64 = d
            .volumes
            .iter()
            .map(|v| d.plans.get(v.plan.0).map_or(0.0, |p| p.decisions.reserve))
            .sum();
        if let Some(last) = entries(document, "volume")
            .next_back()
            .filter(|_| reserved > can * PROMISABLE)
        {
            let message =
                format!("reserves sum to {reserved} units a second; the nodes can do {can:.0}");
            let help = format!(
                "at most {:.0} can be promised: lower reserves, or add nodes",
                can * PROMISABLE
            );
            r.report("reserves-too-large", message, last.span(), Some(help));
        }
    }
}

fn unused(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let name = |n: &kdl::KdlNode| {
        n.get(0)
            .and_then(|v| v.as_string())
            .unwrap_or_default()
            .to_string()
    };
    let zones: BTreeSet<usize> = d.nodes.iter().map(|n| n.place.zone.0).collect();
    for (place, n) in entries(document, "zone").enumerate() {
        if !zones.contains(&place) && !d.nodes.is_empty() {
            r.warn(
                "zone-empty",
                format!("zone \"{}\" has no node", name(n)),
                n.span(),
                None,
            );
        }
    }
    let used: [(&'static str, BTreeSet<usize>, bool); 2] = [
        (
            "plan",
            d.volumes.iter().map(|v| v.plan.0).collect(),
            !d.volumes.is_empty(),
        ),
        (
            "machine",
            d.nodes.iter().map(|n| n.server).collect(),
            !d.nodes.is_empty(),
        ),
    ];
    for (kind, used, counts) in used {
        for (_, n) in entries(document, kind)
            .enumerate()
            .filter(|(place, _)| counts && !used.contains(place))
        {
            r.warn(
                "unused",
                format!("{kind} \"{}\" is used nowhere", name(n)),
                n.span(),
                None,
            );
        }
    }
}

fn rules(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let f = d.figures();
    if let Some(n) = entries(document, "rules").next() {
        if f.beyond_share_value > f.within_share_value {
            let message = "units past the share would earn more than those within it".into();
            r.warn(
                "odd-parts",
                message,
                n.span(),
                Some("spare-part is at most share-part".into()),
            );
        }
        if n.entry("order-settle").is_some() && !f.request_classes.iter().any(|s| s.in_order) {
            let message =
                "`order-settle` counts for stream types with in-order=#true, and there is none"
                    .into();
            r.warn("no-effect", message, n.span(), None);
        }
        let shortest = f.request_classes.iter().map(|s| s.latency_objective).min();
        if shortest.is_some_and(|slo| f.tick.times(4.0) > slo) {
            let message =
                "two ticks before the expiry the last answer is given: that is half of an SLO time"
                    .into();
            r.warn("tick-long", message, n.span(), None);
        }
    }
}

fn bounds(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    if let Some(n) = entries(document, "bounds").next() {
        if d.bounds.redial.0 > d.bounds.redial.1 {
            let message = "the first wait between tries to connect is longer than the last".into();
            r.report("contradiction", message, n.span(), None);
        }
        if d.bounds.frame.body > d.bounds.most_held {
            let message = "one body may be larger than all that may be held".into();
            r.report(
                "contradiction",
                message,
                n.span(),
                Some("held-bytes is at least body-bytes".into()),
            );
        }
    }
}

fn slow_start(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let f = d.figures();
    if let Some(n) = entries(document, "cold").next() {
        if f.slow_start.window > f.slow_start.ramp {
            let message =
                "the window is longer than the ramp: a node is warm before it ends".into();
            r.report(
                "contradiction",
                message,
                n.span(),
                Some("window is how long it must be sent too much".into()),
            );
        }
        if f.slow_start.units < f.max_units {
            let message = format!(
                "{} units are less than one largest transfer ({})",
                f.slow_start.units, f.max_units
            );
            r.warn("cold-too-small", message, n.span(), None);
        }
    }
}

fn retry_budget(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let f = d.figures();
    let nothing = f
        .retry_budget
        .is_some_and(|b| b.free < 1.0 && b.share == 0.0);
    if let Some(n) = entries(document, "legs")
        .next()
        .filter(|_| nothing && f.max_attempts > 1)
    {
        let message = "the budget allows no further leg at all".into();
        r.warn(
            "no-effect",
            message,
            n.span(),
            Some("most=1 says so plainly".into()),
        );
    }
    if let Some(n) = entries(document, "legs")
        .next()
        .filter(|_| f.retry_budget.is_some() && f.max_attempts == 1)
    {
        r.warn(
            "no-effect",
            "with one leg for each transfer there are no further legs to budget".into(),
            n.span(),
            None,
        );
    }
}

fn plans(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let running: Vec<_> = d
        .nodes
        .iter()
        .filter(|n| !n.spare)
        .map(|n| d.servers.get(n.server))
        .collect();
    let can = running.iter().flatten().map(|m| m.can()).sum::<f64>();
    for (p, n) in d.plans.iter().zip(entries(document, "plan")) {
        let at = |key: &str| n.entry(key).map_or(n.span(), |e| e.span());
        let warn = |r: &mut Reader, code, message: &str, key: &str| {
            r.warn(code, message.into(), at(key), None)
        };
        let Plan {
            limit,
            nominal_rate,
            weight,
            price,
            ..
        } = p.decisions;
        for key in ["burst", "slack"]
            .into_iter()
            .filter(|key| limit.is_none() && n.entry(*key).is_some())
        {
            warn(
                r,
                "no-effect",
                "it belongs to a limit, and the plan has none",
                key,
            );
        }
        if limit.is_some_and(|l| nominal_rate > l.rate) {
            warn(
                r,
                "over-limit",
                "its volumes are sized for more than the limit lets through",
                "usual",
            );
        }
        if limit.is_some_and(|l| l.rate > can) && can > 0.0 && running.iter().all(Option::is_some) {
            warn(
                r,
                "over-limit",
                "the limit is above what all nodes together can do",
                "limit",
            );
        }
        for (_, key) in [(weight, "weight"), (price, "price")]
            .into_iter()
            .filter(|(f, _)| *f == 0.0)
        {
            warn(
                r,
                "served-last",
                &format!("with {key}=0 its volumes come after all others"),
                key,
            );
        }
    }
}

fn request_classes(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    for (s, n) in d
        .request_classes
        .iter()
        .zip(entries(document, "stream-type"))
    {
        let at = |key: &str| n.entry(key).map_or(n.span(), |e| e.span());
        if s.decisions.latency_objective == s.deadline && n.entry("late-part").is_some() {
            let message = "no answer is late: the SLO time is the expiry".into();
            r.warn("no-effect", message, at("late-part"), None);
        }
        if s.decisions.priority_weight == 0.0 {
            let message = "without a benefit it comes after all others".into();
            r.warn("served-last", message, at("benefit"), None);
        }
        if let Idempotency::WithKey { window, .. } = s.decisions.idempotency
            && window < s.decisions.latency_objective
        {
            let message =
                "nodes forget a key before the answer is wanted: a late repeat is given up".into();
            r.warn("window-short", message, at("window"), None);
        }
    }
}

fn places(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let mut addresses: BTreeMap<&str, usize> = BTreeMap::new();
    let hosts = d.hosts.iter().zip(entries(document, "host"));
    let nodes = d
        .nodes
        .iter()
        .map(|n| &n.place)
        .zip(entries(document, "node"));
    for (p, n) in hosts
        .chain(nodes)
        .filter(|(p, _)| !p.address.is_empty() && !p.address.ends_with(":0"))
    {
        if let Some(first) = addresses.get(p.address.as_str()) {
            let message = format!("\"{}\" has the address of another", p.name);
            r.conflict("twice", message, n.span(), "the other stands at", *first);
        } else {
            addresses.insert(&p.address, n.span().offset());
        }
    }
    let mut served = vec![false; d.hosts.len()];
    d.volumes
        .iter()
        .flat_map(|v| v.hosts.iter())
        .for_each(|h| served[h.0 as usize] = true);
    for (place, n) in entries(document, "host").enumerate() {
        if !served.get(place).copied().unwrap_or(true) && !d.volumes.is_empty() {
            r.warn(
                "unused",
                format!("no volume comes through host \"{}\"", d.hosts[place].name),
                n.span(),
                None,
            );
        }
    }
}

/// Shards that two running nodes hold, and spare nodes for shards that none holds.
fn shards(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let mut shards: BTreeMap<i64, usize> = BTreeMap::new();
    for (node, n) in d
        .nodes
        .iter()
        .zip(entries(document, "node"))
        .filter(|(node, _)| !node.spare)
    {
        if shards.insert(node.shard.0, n.span().offset()).is_some() {
            let message = format!("another running node holds cell {} too", node.shard.0);
            r.warn(
                "cell-twice",
                message,
                n.span(),
                Some("one that takes over later is spare=#true".into()),
            );
        }
    }
    for (node, n) in d
        .nodes
        .iter()
        .zip(entries(document, "node"))
        .filter(|(node, _)| node.spare)
    {
        if !shards.contains_key(&node.shard.0) {
            let message = format!(
                "no running node holds cell {}, for which it stands by",
                node.shard.0
            );
            r.warn("spare-alone", message, n.span(), None);
        }
    }
}
