//! Builds a question from a deployment, and entries of a configuration from a plan. Called by the command
//! line.
//!
//! A volume's work is taken to follow its new objects: what is written somewhere is read there later. So the
//! whole rate that it is sized for is placed, evenly over its hosts, and a node's capacity is nine tenths of
//! its server's.

use crate::{Budget, Demand, Plan, Question};
use gullsail_configuration::{Deployment, RESERVABLE_FRACTION};
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
fn pools(deployment: &Deployment, volume: usize) -> BTreeMap<PoolId, Vec<usize>> {
    let mut all: BTreeMap<PoolId, Vec<usize>> = BTreeMap::new();
    for place in (0..deployment.request_classes.len())
        .filter(|place| deployment.request_classes[*place].write)
    {
        all.entry(deployment.routes.pool(volume, RequestClassId(place)))
            .or_default()
            .push(place);
    }
    all
}

fn zones_of(deployment: &Deployment, pool: PoolId) -> BTreeSet<usize> {
    let running = deployment.nodes.iter().filter(|n| !n.spare);
    let inside = running.filter(|n| {
        pool == PoolId::ALL
            || deployment
                .routes
                .pools_of(n.place.zone, &n.kind)
                .contains(&pool)
    });
    inside.map(|n| n.place.zone.0).collect()
}

/// What the nodes of each zone can do.
struct Capacity {
    /// Units a second, less what is kept for pauses and restarts.
    units: Vec<f64>,
    /// How many nodes.
    nodes: Vec<f64>,
}

fn capacity(deployment: &Deployment) -> Result<Capacity, MissingInput> {
    let mut units = vec![0.0; deployment.zones.len()];
    let mut nodes = vec![0.0; deployment.zones.len()];
    for node in deployment.nodes.iter().filter(|node| !node.spare) {
        let server = deployment.servers.get(node.server);
        let server = server.ok_or_else(|| MissingInput::Server(node.place.name.clone()))?;
        units[node.place.zone.0] += server.capacity() * RESERVABLE_FRACTION;
        nodes[node.place.zone.0] += 1.0;
    }
    Ok(Capacity { units, nodes })
}

/// What a volume is sized for, by the zones of its hosts, and the zones where its new objects may be placed.
fn demand(deployment: &Deployment, place: usize, unit: f64) -> Demand {
    let volume = &deployment.volumes[place];
    let plan = &deployment.plans[volume.plan.0].decisions;
    let bytes = plan.nominal_rate.max(plan.reserve) * unit;
    let mut from = vec![0.0; deployment.zones.len()];
    for host in volume.hosts.iter() {
        from[deployment.hosts[host.0 as usize].zone.0] += bytes / volume.hosts.len() as f64;
    }
    // Where each of its pools has a node; where none has them all, where any has one.
    let each: Vec<_> = pools(deployment, place)
        .keys()
        .map(|pool| zones_of(deployment, *pool))
        .collect();
    let common = each.iter().cloned().reduce(|a, b| &a & &b);
    let common = common.unwrap_or_else(|| zones_of(deployment, PoolId::ALL));
    let zones = if common.is_empty() {
        each.into_iter().flatten().collect()
    } else {
        common
    };
    Demand {
        volume: volume.name.clone(),
        from,
        zones,
        units_a_byte: 1.0 / unit,
    }
}

/// The question that a deployment poses; `price`: of a byte that crosses.
///
/// # Errors
/// The document does not state what a plan needs.
pub fn question(deployment: &Deployment, price: f64) -> Result<Question, MissingInput> {
    let unit = deployment.unit.ok_or(MissingInput::Unit)?;
    let count = deployment.zones.len();
    if count == 0 {
        return Err(MissingInput::Zones);
    }
    let Capacity { units, nodes } = capacity(deployment)?;
    let node_capacity = units
        .iter()
        .zip(&nodes)
        .map(|(units, nodes)| units / nodes.max(1.0))
        .collect();
    let budgets = deployment
        .cross_zone_budgets
        .iter()
        .filter_map(|c| match c.scope {
            BudgetScope::ZonePair(from, to) => Some(Budget {
                from: from.0,
                to: to.0,
                limit: c.limit.rate,
            }),
            BudgetScope::Plan(_) => None,
        });
    Ok(Question {
        zones: deployment.zones.clone(),
        capacity: units,
        node_capacity,
        demands: (0..deployment.volumes.len())
            .map(|place| demand(deployment, place, unit))
            .collect(),
        budgets: budgets.collect(),
        price: vec![vec![price; count]; count],
    })
}

fn child(name: &str, values: impl IntoIterator<Item = String>) -> KdlNode {
    let mut n = KdlNode::new(name);
    values.into_iter().for_each(|v| n.push(KdlEntry::new(v)));
    n
}

/// The entry of a pool: the planned zones, or those of the pool that it is made from.
fn pool_entry(deployment: &Deployment, pool: PoolId, name: &str, zones: &[usize]) -> KdlNode {
    let old = pool.0.checked_sub(1);
    let old = old.and_then(|place| deployment.routes.pools.get(place));
    let mut children = KdlDocument::new();
    let zones = if zones.is_empty() {
        old.map(|pool| pool.zones.iter().map(|zone| zone.0).collect())
            .unwrap_or_default()
    } else {
        zones.to_vec()
    };
    if !zones.is_empty() {
        let names = zones.iter().map(|zone| deployment.zones[*zone].clone());
        children.nodes_mut().push(child("zone", names));
    }
    if let Some(pool) = old.filter(|pool| !pool.kinds.is_empty()) {
        let kinds = pool.kinds.iter().cloned();
        children.nodes_mut().push(child("kind", kinds));
    }
    let mut entry = KdlNode::new("pool");
    entry.push(KdlEntry::new(name));
    entry.set_children(children);
    entry
}

/// The entry of a route: a volume's new objects of these request classes go to a pool.
fn route_entry(
    deployment: &Deployment,
    volume: &str,
    to: String,
    request_classes: &[usize],
) -> KdlNode {
    let mut children = KdlDocument::new();
    children
        .nodes_mut()
        .push(child("volume", [glob_of(volume)]));
    let names = request_classes.iter();
    let names = names.map(|place| deployment.request_classes[*place].name.clone());
    children.nodes_mut().push(child("stream-type", names));
    let mut entry = KdlNode::new("route");
    entry.push(KdlEntry::new_prop("to", to));
    entry.set_children(children);
    entry
}

/// The document with pools and routes by the plan: all other entries as they are, in one text.
pub fn proposal(document: &KdlDocument, deployment: &Deployment, plan: &Plan) -> String {
    let mut made: BTreeMap<String, KdlNode> = BTreeMap::new();
    let mut routes = Vec::new();
    for (place, v) in deployment.volumes.iter().enumerate() {
        let all: f64 = plan.to[place].iter().sum();
        let used: BTreeSet<usize> = (0..deployment.zones.len())
            .filter(|z| plan.to[place][*z] > all * MIN_FRACTION && all > 0.0)
            .collect();
        for (pool, types) in pools(deployment, place) {
            let zones: Vec<usize> = used
                .intersection(&zones_of(deployment, pool))
                .copied()
                .collect();
            // Nothing to say of a volume that asks for nothing: it keeps its pool.
            let name = if zones.is_empty() {
                deployment.routes.name(pool).to_string()
            } else {
                let names: Vec<_> = zones
                    .iter()
                    .map(|z| deployment.zones[*z].as_str())
                    .collect();
                format!("{}-in-{}", deployment.routes.name(pool), names.join("-"))
            };
            if name != gullsail_configuration::routes::ALL {
                let entry = pool_entry(deployment, pool, &name, &zones);
                made.entry(name.clone()).or_insert(entry);
            }
            routes.push(route_entry(deployment, &v.name, name, &types));
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
