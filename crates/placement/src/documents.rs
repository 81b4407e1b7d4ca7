//! Builds a question from a deployment, and entries of a configuration from a plan. Called by the command
//! line.
//!
//! A volume's work is taken to follow its new objects: what is written somewhere is read there later. So the
//! whole rate that it is sized for is placed, evenly over its hosts, and a node's capacity is nine tenths of
//! its server's.

use crate::{Budget, Demand, Plan, Question};
use gullsail_configuration::{Deployment, PROMISABLE};
use gullsail_scheduler_api::{BudgetScope, PoolId, RequestClassId};
use kdl::{KdlDocument, KdlEntry, KdlNode};
use std::collections::{BTreeMap, BTreeSet};

/// The fraction of a volume's bytes below which a zone is not used: it is the solver's rounding.
const MIN_FRACTION: f64 = 0.001;

/// What a plan needs and the document does not state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MissingInput {
    /// The size of a unit.
    #[error(
        "the document does not state the size of a unit of work: add it, as in `rules unit=\"64KiB\"`"
    )]
    Unit,
    /// The server of a node.
    #[error(
        "node \"{0}\" has no machine: define one, as in `machine \"box\" cores=2 unit=\"5ms\"`, and name it at the node"
    )]
    Server(String),
    /// Zones.
    #[error("the document has no zones to plan for")]
    Zones,
}

/// The pools that a volume's new objects go to, with the request classes that go there.
fn pools(d: &Deployment, volume: usize) -> BTreeMap<PoolId, Vec<usize>> {
    let mut all: BTreeMap<PoolId, Vec<usize>> = BTreeMap::new();
    for place in (0..d.request_classes.len()).filter(|place| d.request_classes[*place].write) {
        all.entry(d.routes.pool(volume, RequestClassId(place)))
            .or_default()
            .push(place);
    }
    all
}

fn zones_of(d: &Deployment, pool: PoolId) -> BTreeSet<usize> {
    let running = d.nodes.iter().filter(|n| !n.spare);
    let inside = running.filter(|n| {
        pool == PoolId::ALL || d.routes.pools_of(n.place.zone, &n.kind).contains(&pool)
    });
    inside.map(|n| n.place.zone.0).collect()
}

/// The question that a deployment poses; `price`: of a byte that crosses.
///
/// # Errors
/// The document does not state what a plan needs.
pub fn question(d: &Deployment, price: f64) -> Result<Question, MissingInput> {
    let unit = d.unit.ok_or(MissingInput::Unit)?;
    let count = d.zones.len();
    if count == 0 {
        return Err(MissingInput::Zones);
    }
    let mut capacity = vec![0.0; count];
    let mut nodes = vec![0.0f64; count];
    for n in d.nodes.iter().filter(|n| !n.spare) {
        let m = d
            .servers
            .get(n.server)
            .ok_or_else(|| MissingInput::Server(n.place.name.clone()))?;
        capacity[n.place.zone.0] += m.can() * PROMISABLE;
        nodes[n.place.zone.0] += 1.0;
    }
    let node_capacity = capacity
        .iter()
        .zip(&nodes)
        .map(|(capacity, nodes)| capacity / nodes.max(1.0))
        .collect();
    let demand = |(place, v): (usize, &gullsail_configuration::NamedVolume)| {
        let plan = &d.plans[v.plan.0].decisions;
        let bytes = plan.nominal_rate.max(plan.reserve) * unit;
        let mut from = vec![0.0; count];
        for h in v.hosts.iter() {
            from[d.hosts[h.0 as usize].zone.0] += bytes / v.hosts.len() as f64;
        }
        // Where each of its pools has a node; where none has them all, where any has one.
        let each: Vec<_> = pools(d, place).keys().map(|p| zones_of(d, *p)).collect();
        let all = each
            .iter()
            .cloned()
            .reduce(|a, b| &a & &b)
            .unwrap_or_else(|| zones_of(d, PoolId::ALL));
        let zones = if all.is_empty() {
            each.into_iter().flatten().collect()
        } else {
            all
        };
        Demand {
            volume: v.name.clone(),
            from,
            zones,
            units_a_byte: 1.0 / unit,
        }
    };
    let budgets = d.cross_zone_budgets.iter().filter_map(|c| match c.of {
        BudgetScope::ZonePair(from, to) => Some(Budget {
            from: from.0,
            to: to.0,
            limit: c.limit.rate,
        }),
        BudgetScope::Plan(_) => None,
    });
    Ok(Question {
        zones: d.zones.clone(),
        capacity,
        node_capacity,
        demands: d.volumes.iter().enumerate().map(demand).collect(),
        budgets: budgets.collect(),
        price: vec![vec![price; count]; count],
    })
}

fn child(name: &str, values: impl IntoIterator<Item = String>) -> KdlNode {
    let mut n = KdlNode::new(name);
    values.into_iter().for_each(|v| n.push(KdlEntry::new(v)));
    n
}

/// The document with pools and routes by the plan: all other entries as they are, in one text.
pub fn proposal(document: &KdlDocument, d: &Deployment, plan: &Plan) -> String {
    let mut made: BTreeMap<String, KdlNode> = BTreeMap::new();
    let mut routes = Vec::new();
    for (place, v) in d.volumes.iter().enumerate() {
        let all: f64 = plan.to[place].iter().sum();
        let used: BTreeSet<usize> = (0..d.zones.len())
            .filter(|z| plan.to[place][*z] > all * MIN_FRACTION && all > 0.0)
            .collect();
        for (pool, types) in pools(d, place) {
            let zones: Vec<usize> = used.intersection(&zones_of(d, pool)).copied().collect();
            // Nothing to say of a volume that asks for nothing: it keeps its pool.
            let name = if zones.is_empty() {
                d.routes.name(pool).to_string()
            } else {
                let names: Vec<_> = zones.iter().map(|z| d.zones[*z].as_str()).collect();
                format!("{}-in-{}", d.routes.name(pool), names.join("-"))
            };
            if name != gullsail_configuration::routes::ALL {
                let old = pool
                    .0
                    .checked_sub(1)
                    .and_then(|place| d.routes.pools.get(place));
                let mut n = KdlNode::new("pool");
                n.push(KdlEntry::new(name.clone()));
                let mut children = KdlDocument::new();
                let zones = if zones.is_empty() {
                    old.map(|p| p.zones.iter().map(|z| z.0).collect())
                        .unwrap_or_default()
                } else {
                    zones
                };
                if !zones.is_empty() {
                    children
                        .nodes_mut()
                        .push(child("zone", zones.iter().map(|z| d.zones[*z].clone())));
                }
                if let Some(p) = old.filter(|p| !p.kinds.is_empty()) {
                    children
                        .nodes_mut()
                        .push(child("kind", p.kinds.iter().cloned()));
                }
                n.set_children(children);
                made.entry(name.clone()).or_insert(n);
            }
            let mut n = KdlNode::new("route");
            n.push(KdlEntry::new_prop("to", name));
            let mut children = KdlDocument::new();
            children
                .nodes_mut()
                .push(child("volume", [glob_of(&v.name)]));
            let names = types.iter().map(|t| d.request_classes[*t].name.clone());
            children.nodes_mut().push(child("stream-type", names));
            n.set_children(children);
            routes.push(n);
        }
    }
    let mut rest = KdlNode::new("route");
    rest.push(KdlEntry::new_prop(
        "to",
        gullsail_configuration::routes::ALL,
    ));
    routes.push(rest);
    let mut out = KdlDocument::new();
    let kept = document
        .nodes()
        .iter()
        .filter(|n| !["pool", "route"].contains(&n.name().value()));
    out.nodes_mut()
        .extend(kept.cloned().chain(made.into_values()).chain(routes));
    out.autoformat();
    out.to_string()
}

/// A name as a pattern that matches it alone.
fn glob_of(name: &str) -> String {
    name.chars().fold(String::new(), |text, c| {
        if ['*', '?', '[', ']'].contains(&c) {
            format!("{text}[{c}]")
        } else {
            text + &c.to_string()
        }
    })
}
