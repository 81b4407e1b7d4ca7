//! Checks of a deployment as a whole: values that contradict each other, and values that are probably not intended.

use crate::deployment::{Deployment, RESERVABLE_FRACTION};
use crate::reader::{Reader, entries};
use gullsail_scheduler_api::{Idempotency, Plan};
use kdl::KdlDocument;
use std::collections::{BTreeMap, BTreeSet};

/// Runs all checks.
pub fn check(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    reserves(deployment, document, reader);
    unused(deployment, document, reader);
    plans(deployment, document, reader);
    request_classes(deployment, document, reader);
    places(deployment, document, reader);
    shards(deployment, document, reader);
    rules(deployment, document, reader);
    bounds(deployment, document, reader);
    slow_start(deployment, document, reader);
    retry_budget(deployment, document, reader);
}

/// Checks that reserves fit the capacity of the servers of all running nodes, if it is stated for each of them.
fn reserves(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    let running: Vec<_> = deployment.nodes.iter().filter(|node| !node.spare).collect();
    let servers: Option<Vec<_>> = running
        .iter()
        .map(|node| deployment.servers.get(node.server))
        .collect();
    if let Some(servers) = servers.filter(|m| !m.is_empty()) {
        let capacity: f64 = servers.iter().map(|m| m.capacity()).sum();
        let reserved: f64 = deployment
            .volumes
            .iter()
            .map(|v| {
                deployment
                    .plans
                    .get(v.plan.0)
                    .map_or(0.0, |p| p.decisions.reserve)
            })
            .sum();
        if let Some(last) = entries(document, "volume")
            .next_back()
            .filter(|_| reserved > capacity * RESERVABLE_FRACTION)
        {
            let message = format!(
                "reserves sum to {reserved} units a second; the nodes can do {capacity:.0}"
            );
            let help = format!(
                "at most {:.0} can be reserved: lower reserves, or add nodes",
                capacity * RESERVABLE_FRACTION
            );
            reader.report("reserves-too-large", message, last.span(), Some(help));
        }
    }
}

/// Checks for zones without a node, and for plans and servers that nothing refers to.
fn unused(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    let name = |entry: &kdl::KdlNode| {
        entry
            .get(0)
            .and_then(|v| v.as_string())
            .unwrap_or_default()
            .to_string()
    };
    let zones: BTreeSet<usize> = deployment
        .nodes
        .iter()
        .map(|node| node.place.zone.0)
        .collect();
    for (index, entry) in entries(document, "zone").enumerate() {
        if !zones.contains(&index) && !deployment.nodes.is_empty() {
            reader.warn(
                "zone-empty",
                format!("zone \"{}\" has no node", name(entry)),
                entry.span(),
                None,
            );
        }
    }
    let used: [(&'static str, BTreeSet<usize>, bool); 2] = [
        (
            "plan",
            deployment.volumes.iter().map(|v| v.plan.0).collect(),
            !deployment.volumes.is_empty(),
        ),
        (
            "machine",
            deployment.nodes.iter().map(|node| node.server).collect(),
            !deployment.nodes.is_empty(),
        ),
    ];
    for (kind, used, checked) in used {
        for (_, entry) in entries(document, kind)
            .enumerate()
            .filter(|(index, _)| checked && !used.contains(index))
        {
            reader.warn(
                "unused",
                format!("{kind} \"{}\" is used nowhere", name(entry)),
                entry.span(),
                None,
            );
        }
    }
}

fn rules(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    let f = deployment.figures();
    if let Some(entry) = entries(document, "rules").next() {
        if f.beyond_share_value > f.within_share_value {
            let message = "units beyond the share would earn more than those within it".into();
            reader.warn(
                "odd-parts",
                message,
                entry.span(),
                Some("spare-part is at most share-part".into()),
            );
        }
        if entry.entry("order-settle").is_some() && !f.request_classes.iter().any(|s| s.in_order) {
            let message =
                "`order-settle` applies only to stream types with in-order=#true, and there is none"
                    .into();
            reader.warn("no-effect", message, entry.span(), None);
        }
        let shortest = f.request_classes.iter().map(|s| s.latency_objective).min();
        if shortest.is_some_and(|slo| f.tick.times(4.0) > slo) {
            let message =
                "the last answer is given two ticks before the expiry, which is more than half of an SLO time"
                    .into();
            reader.warn("tick-long", message, entry.span(), None);
        }
    }
}

fn bounds(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    if let Some(entry) = entries(document, "bounds").next() {
        if deployment.bounds.redial.0 > deployment.bounds.redial.1 {
            let message =
                "the first wait between connection attempts is longer than the last".into();
            reader.report("contradiction", message, entry.span(), None);
        }
        if deployment.bounds.frame.body > deployment.bounds.most_held {
            let message = "one body may be larger than the limit on all bodies together".into();
            reader.report(
                "contradiction",
                message,
                entry.span(),
                Some("held-bytes is at least body-bytes".into()),
            );
        }
    }
}

fn slow_start(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    let f = deployment.figures();
    if let Some(entry) = entries(document, "cold").next() {
        if f.slow_start.window > f.slow_start.ramp {
            let message =
                "the window is longer than the ramp: the node is warm before it ends".into();
            reader.report(
                "contradiction",
                message,
                entry.span(),
                Some("units are counted over the window, which is part of the ramp".into()),
            );
        }
        if f.slow_start.units < f.max_units {
            let message = format!(
                "{} units are less than one largest transfer ({})",
                f.slow_start.units, f.max_units
            );
            reader.warn("cold-too-small", message, entry.span(), None);
        }
    }
}

fn retry_budget(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    let f = deployment.figures();
    let no_retries = f
        .retry_budget
        .is_some_and(|b| b.fixed_retries < 1.0 && b.retries_per_request == 0.0);
    if let Some(entry) = entries(document, "legs")
        .next()
        .filter(|_| no_retries && f.max_attempts > 1)
    {
        let message = "the budget allows no further leg at all".into();
        reader.warn(
            "no-effect",
            message,
            entry.span(),
            Some("most=1 has the same effect".into()),
        );
    }
    if let Some(entry) = entries(document, "legs")
        .next()
        .filter(|_| f.retry_budget.is_some() && f.max_attempts == 1)
    {
        reader.warn(
            "no-effect",
            "with one leg for each transfer there are no further legs to budget".into(),
            entry.span(),
            None,
        );
    }
}

fn plans(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    let running: Vec<_> = deployment
        .nodes
        .iter()
        .filter(|node| !node.spare)
        .map(|node| deployment.servers.get(node.server))
        .collect();
    // The units a second that all running nodes together can serve.
    let sum = running.iter().flatten().map(|m| m.capacity()).sum::<f64>();
    for (p, entry) in deployment.plans.iter().zip(entries(document, "plan")) {
        let at = |key: &str| entry.entry(key).map_or(entry.span(), |e| e.span());
        let warn = |reader: &mut Reader, code, message: &str, key: &str| {
            reader.warn(code, message.into(), at(key), None)
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
            .filter(|key| limit.is_none() && entry.entry(*key).is_some())
        {
            warn(
                reader,
                "no-effect",
                "this belongs to a limit, and the plan has none",
                key,
            );
        }
        if limit.is_some_and(|l| nominal_rate > l.rate) {
            warn(
                reader,
                "over-limit",
                "its volumes are sized for more than the limit allows",
                "usual",
            );
        }
        if limit.is_some_and(|l| l.rate > sum) && sum > 0.0 && running.iter().all(Option::is_some) {
            warn(
                reader,
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
                reader,
                "served-last",
                &format!("with {key}=0, its volumes are served after all others"),
                key,
            );
        }
    }
}

fn request_classes(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    for (s, entry) in deployment
        .request_classes
        .iter()
        .zip(entries(document, "stream-type"))
    {
        let at = |key: &str| entry.entry(key).map_or(entry.span(), |e| e.span());
        if s.decisions.latency_objective == s.deadline && entry.entry("late-part").is_some() {
            let message = "no answer is late: the SLO time is the expiry".into();
            reader.warn("no-effect", message, at("late-part"), None);
        }
        if s.decisions.priority_weight == 0.0 {
            let message = "without a benefit, it is served after all others".into();
            reader.warn("served-last", message, at("benefit"), None);
        }
        if let Idempotency::WithKey { window, .. } = s.decisions.idempotency
            && window < s.decisions.latency_objective
        {
            let message =
                "nodes forget a key before the SLO time is over: later repeats are not sent".into();
            reader.warn("window-short", message, at("window"), None);
        }
    }
}

/// Checks for addresses that occur twice, and for hosts that serve no volume.
fn places(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    let mut addresses: BTreeMap<&str, usize> = BTreeMap::new();
    let hosts = deployment.hosts.iter().zip(entries(document, "host"));
    let nodes = deployment
        .nodes
        .iter()
        .map(|node| &node.place)
        .zip(entries(document, "node"));
    for (p, entry) in hosts
        .chain(nodes)
        .filter(|(p, _)| !p.address.is_empty() && !p.address.ends_with(":0"))
    {
        if let Some(first) = addresses.get(p.address.as_str()) {
            let message = format!("\"{}\" has the address of another", p.name);
            reader.conflict(
                "twice",
                message,
                entry.span(),
                "the other stands at",
                *first,
            );
        } else {
            addresses.insert(&p.address, entry.span().offset());
        }
    }
    let mut served = vec![false; deployment.hosts.len()];
    deployment
        .volumes
        .iter()
        .flat_map(|v| v.hosts.iter())
        .for_each(|h| served[h.0 as usize] = true);
    for (index, entry) in entries(document, "host").enumerate() {
        if !served.get(index).copied().unwrap_or(true) && !deployment.volumes.is_empty() {
            reader.warn(
                "unused",
                format!(
                    "no volume comes through host \"{}\"",
                    deployment.hosts[index].name
                ),
                entry.span(),
                None,
            );
        }
    }
}

/// Checks for shards that two running nodes hold, and for spare nodes whose shard no running node holds.
fn shards(deployment: &Deployment, document: &KdlDocument, reader: &mut Reader) {
    let mut shards: BTreeMap<i64, usize> = BTreeMap::new();
    for (node, entry) in deployment
        .nodes
        .iter()
        .zip(entries(document, "node"))
        .filter(|(node, _)| !node.spare)
    {
        if shards.insert(node.shard.0, entry.span().offset()).is_some() {
            let message = format!("another running node holds cell {} too", node.shard.0);
            reader.warn(
                "cell-twice",
                message,
                entry.span(),
                Some("a node that takes over later has spare=#true".into()),
            );
        }
    }
    for (node, entry) in deployment
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
            reader.warn("spare-alone", message, entry.span(), None);
        }
    }
}
