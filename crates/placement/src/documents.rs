//! Builds a placement problem from a deployment, and pool and route entries from a plan. The command line calls it.
//!
//! The model assumes that a volume's work follows its new objects, since data is read where it was written. The whole
//! rate that a volume is sized for is therefore placed, and it comes evenly through the volume's hosts. The capacity of a
//! node is nine tenths of its server's.

use crate::{Budget, Demand, Plan, Question};
use gullsail_configuration::{Deployment, RESERVABLE_FRACTION};
use gullsail_scheduler_api::{BudgetScope, PoolId, RequestClassId};
use kdl::{KdlDocument, KdlEntry, KdlNode};
use std::collections::{BTreeMap, BTreeSet};

/// A zone with a smaller fraction of a volume's bytes is not used, since the fraction may be a rounding error of the
/// solver.
const MIN_FRACTION: f64 = 0.001;

/// Information that a plan needs and the document does not state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MissingInput {
    /// The number of bytes of a unit of work.
    #[error(
        "the document does not state the size of a unit of work: add it, as in `rules unit=\"64KiB\"`"
    )]
    Unit,
    /// The server of the node with this name.
    #[error(
        "node \"{0}\" has no machine: define one, as in `machine \"box\" cores=2 unit=\"5ms\"`, and name it at the node"
    )]
    Server(String),
    /// At least one zone.
    #[error("the document has no zones to plan for")]
    Zones,
}

/// The pools for a volume's new objects, each with the request classes whose new objects are routed to it.
fn pools(deployment: &Deployment, volume: usize) -> BTreeMap<PoolId, Vec<usize>> {
    let mut pools: BTreeMap<PoolId, Vec<usize>> = BTreeMap::new();
    for class in (0..deployment.request_classes.len())
        .filter(|class| deployment.request_classes[*class].write)
    {
        pools
            .entry(deployment.routes.pool(volume, RequestClassId(class)))
            .or_default()
            .push(class);
    }
    pools
}

/// The zones in which a pool has a running node.
fn zones_of(deployment: &Deployment, pool: PoolId) -> BTreeSet<usize> {
    let running = deployment.nodes.iter().filter(|n| !n.spare);
    let in_pool = running.filter(|n| {
        pool == PoolId::ALL
            || deployment
                .routes
                .pools_of(n.place.zone, &n.kind)
                .contains(&pool)
    });
    in_pool.map(|n| n.place.zone.0).collect()
}

/// The capacity of the running nodes, by zone.
struct Capacity {
    /// Units a second, without the part that is kept for pauses and restarts.
    units: Vec<f64>,
    /// The number of nodes.
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

/// The rate that a volume is sized for, by the zones of its hosts, and the zones where its new objects may be placed.
fn demand(deployment: &Deployment, index: usize, unit: f64) -> Demand {
    let volume = &deployment.volumes[index];
    let plan = &deployment.plans[volume.plan.0].decisions;
    let bytes = plan.nominal_rate.max(plan.reserve) * unit;
    let mut from = vec![0.0; deployment.zones.len()];
    for host in volume.hosts.iter() {
        from[deployment.hosts[host.0 as usize].zone.0] += bytes / volume.hosts.len() as f64;
    }
    // The zones in which all pools of the volume have nodes; if there are none, those in which any pool has a node.
    let pool_zones: Vec<_> = pools(deployment, index)
        .keys()
        .map(|pool| zones_of(deployment, *pool))
        .collect();
    let common = pool_zones.iter().cloned().reduce(|a, b| &a & &b);
    let common = common.unwrap_or_else(|| zones_of(deployment, PoolId::ALL));
    let zones = if common.is_empty() {
        pool_zones.into_iter().flatten().collect()
    } else {
        common
    };
    Demand {
        volume: volume.name.clone(),
        from,
        zones,
        units_per_byte: 1.0 / unit,
    }
}

/// Builds the placement problem of a deployment. `price` is the price of one byte between two zones.
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
            .map(|index| demand(deployment, index, unit))
            .collect(),
        budgets: budgets.collect(),
        price: vec![vec![price; count]; count],
    })
}

/// An entry with values, for use within another entry.
fn child(name: &str, values: impl IntoIterator<Item = String>) -> KdlNode {
    let mut n = KdlNode::new(name);
    values.into_iter().for_each(|v| n.push(KdlEntry::new(v)));
    n
}

/// The entry of a pool with the planned zones; if there are none, with the zones of the pool that it is derived from.
fn pool_entry(deployment: &Deployment, pool: PoolId, name: &str, zones: &[usize]) -> KdlNode {
    let source = pool.0.checked_sub(1);
    let source = source.and_then(|index| deployment.routes.pools.get(index));
    let mut children = KdlDocument::new();
    let zones = if zones.is_empty() {
        source
            .map(|pool| pool.zones.iter().map(|zone| zone.0).collect())
            .unwrap_or_default()
    } else {
        zones.to_vec()
    };
    if !zones.is_empty() {
        let names = zones.iter().map(|zone| deployment.zones[*zone].clone());
        children.nodes_mut().push(child("zone", names));
    }
    if let Some(pool) = source.filter(|pool| !pool.kinds.is_empty()) {
        let kinds = pool.kinds.iter().cloned();
        children.nodes_mut().push(child("kind", kinds));
    }
    let mut entry = KdlNode::new("pool");
    entry.push(KdlEntry::new(name));
    entry.set_children(children);
    entry
}

/// The entry of a route that assigns a volume's new objects of these request classes to the pool `to`.
fn route_entry(
    deployment: &Deployment,
    volume: &str,
    to: String,
    request_classes: &[usize],
) -> KdlNode {
    let mut children = KdlDocument::new();
    children
        .nodes_mut()
        .push(child("volume", [exact_pattern(volume)]));
    let names = request_classes.iter();
    let names = names.map(|class| deployment.request_classes[*class].name.clone());
    children.nodes_mut().push(child("stream-type", names));
    let mut entry = KdlNode::new("route");
    entry.push(KdlEntry::new_prop("to", to));
    entry.set_children(children);
    entry
}

/// The text of the document with the pools and routes of the plan instead of its own. All other entries are kept; files
/// are combined into one.
pub fn proposal(document: &KdlDocument, deployment: &Deployment, plan: &Plan) -> String {
    let mut pool_entries: BTreeMap<String, KdlNode> = BTreeMap::new();
    let mut routes = Vec::new();
    for (index, v) in deployment.volumes.iter().enumerate() {
        let total: f64 = plan.to[index].iter().sum();
        let used: BTreeSet<usize> = (0..deployment.zones.len())
            .filter(|z| plan.to[index][*z] > total * MIN_FRACTION && total > 0.0)
            .collect();
        for (pool, types) in pools(deployment, index) {
            let zones: Vec<usize> = used
                .intersection(&zones_of(deployment, pool))
                .copied()
                .collect();
            // A volume without demand keeps its pool.
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
                pool_entries.entry(name.clone()).or_insert(entry);
            }
            routes.push(route_entry(deployment, &v.name, name, &types));
        }
    }
    let mut last_route = KdlNode::new("route");
    last_route.push(KdlEntry::new_prop(
        "to",
        gullsail_configuration::routes::ALL,
    ));
    routes.push(last_route);
    let mut out = KdlDocument::new();
    let kept = document
        .nodes()
        .iter()
        .filter(|n| !["pool", "route"].contains(&n.name().value()));
    out.nodes_mut().extend(
        kept.cloned()
            .chain(pool_entries.into_values())
            .chain(routes),
    );
    out.autoformat();
    out.to_string()
}

/// A pattern that matches only this name.
fn exact_pattern(name: &str) -> String {
    name.chars().fold(String::new(), |text, c| {
        if ['*', '?', '[', ']'].contains(&c) {
            format!("{text}[{c}]")
        } else {
            text + &c.to_string()
        }
    })
}
