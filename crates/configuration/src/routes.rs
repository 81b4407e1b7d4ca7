//! Placement of new objects. A pool is a set of nodes. A route assigns the new objects of some volumes and request
//! classes to a pool. The first route that matches decides, and the last route matches everything. The pools of all
//! volumes and request classes are computed when the document is read, so that a request only looks up its pool.

use crate::entities::{NamedPlan, NamedRequestClass, NamedVolume, NodePlace};
use crate::reader::{Names, Reader, entries};
use gullsail_scheduler_api::{PoolId, RequestClassId, ZoneId};
use kdl::{KdlDocument, KdlNode};
use std::collections::BTreeSet;

/// The name of the predefined pool that holds all nodes.
pub const ALL: &str = "all";

/// A set of nodes, selected by their zones and kinds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The name in the document.
    pub name: String,
    /// The zones of its nodes; empty: any.
    pub zones: BTreeSet<ZoneId>,
    /// The kinds of its nodes; empty: any.
    pub kinds: BTreeSet<String>,
}

impl Pool {
    /// Whether a node of this zone and kind is in the pool.
    pub fn holds(&self, zone: ZoneId, kind: &str) -> bool {
        (self.zones.is_empty() || self.zones.contains(&zone))
            && (self.kinds.is_empty() || self.kinds.contains(kind))
    }
}

/// A route as it stands in the document. A condition that is empty matches everything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The pool for matching new objects.
    pub to: PoolId,
    volumes: Vec<glob::Pattern>,
    /// Indices of plans.
    plans: BTreeSet<usize>,
    /// Indices of request classes.
    request_classes: BTreeSet<usize>,
}

impl Route {
    fn matches(&self, volume: &NamedVolume, request_class: usize) -> bool {
        (self.volumes.is_empty() || self.volumes.iter().any(|p| p.matches(&volume.name)))
            && (self.plans.is_empty() || self.plans.contains(&volume.plan.0))
            && (self.request_classes.is_empty() || self.request_classes.contains(&request_class))
    }

    /// Whether the route has no conditions.
    fn matches_everything(&self) -> bool {
        self.volumes.is_empty() && self.plans.is_empty() && self.request_classes.is_empty()
    }
}

/// The pools and routes, and the resulting pool for each volume and request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// The pools of the document, starting with [`PoolId`] 1. [`PoolId::ALL`] has no entry.
    pub pools: Vec<Pool>,
    /// The routes in order: the first that matches decides.
    pub routes: Vec<Route>,
    /// The pool of each combination, by index of the volume, then of the request class. Empty without routes.
    table: Vec<PoolId>,
    /// The number of request classes.
    request_classes: usize,
}

impl Routes {
    /// The pool for new objects of a volume and request class. `volume` is the index in the deployment's volumes.
    pub fn pool(&self, volume: usize, request_class: RequestClassId) -> PoolId {
        self.table
            .get(volume * self.request_classes + request_class.0)
            .copied()
            .unwrap_or(PoolId::ALL)
    }

    /// The pools that a node of this zone and kind is in, without the pool of all nodes.
    pub fn pools_of(&self, zone: ZoneId, kind: &str) -> Vec<PoolId> {
        let holds = self
            .pools
            .iter()
            .enumerate()
            .filter(|(_, p)| p.holds(zone, kind));
        holds.map(|(index, _)| PoolId(index + 1)).collect()
    }

    /// Returns the name of a pool. [`PoolId::ALL`] and ids without an entry are called [`ALL`].
    pub fn name(&self, pool: PoolId) -> &str {
        pool.0
            .checked_sub(1)
            .and_then(|index| self.pools.get(index))
            .map_or(ALL, |p| &p.name)
    }
}

/// The entries that pools and routes refer to.
pub struct RouteContext<'a> {
    /// The names of the zones.
    pub zones: &'a Names,
    /// The request classes, indexed by their ids.
    pub request_classes: &'a [NamedRequestClass],
    /// The plans, indexed by their ids.
    pub plans: &'a [NamedPlan],
    /// The volumes in the order of the document.
    pub volumes: &'a [NamedVolume],
    /// The nodes in the order of the document.
    pub nodes: &'a [NodePlace],
}

/// The values of all children with this name.
fn values<'a>(entry: &'a KdlNode, name: &'static str) -> impl Iterator<Item = &'a kdl::KdlEntry> {
    entry
        .iter_children()
        .filter(move |c| c.name().value() == name)
        .flat_map(|c| c.entries())
}

fn pool(reader: &mut Reader, entry: &KdlNode, context: &RouteContext) -> Pool {
    reader.only(entry, 1, &[], &["zone", "kind"]);
    entry
        .iter_children()
        .for_each(|c| reader.only(c, usize::MAX, &[], &[]));
    let zones = values(entry, "zone")
        .filter_map(|e| reader.refer(e, "zone", context.zones))
        .map(ZoneId)
        .collect();
    let kinds: Names = context
        .nodes
        .iter()
        .map(|node| node.kind.clone())
        .filter(|k| !k.is_empty())
        .collect();
    let found = values(entry, "kind").map(|e| {
        let kind = reader.text_of(e);
        if kinds.position(&kind).is_none() && !context.nodes.is_empty() {
            reader.unknown(e.span(), "kind of node", &kind, kinds.list());
        }
        kind
    });
    let kinds = found.collect();
    let name = reader.text(entry, 0, "a name");
    if name == ALL {
        let help = Some("this pool is predefined and holds every node".into());
        reader.report(
            "twice",
            format!("a second pool \"{ALL}\""),
            entry.span(),
            help,
        );
    }
    Pool { name, zones, kinds }
}

fn route(reader: &mut Reader, entry: &KdlNode, pools: &Names, context: &RouteContext) -> Route {
    reader.only(entry, 0, &["to"], &["volume", "plan", "stream-type"]);
    entry
        .iter_children()
        .for_each(|c| reader.only(c, usize::MAX, &[], &[]));
    let to = reader
        .refer_at(entry, "to", "pool", pools)
        .unwrap_or_default();
    let plans: Names = context.plans.iter().map(|p| p.name.clone()).collect();
    let types: Names = context
        .request_classes
        .iter()
        .map(|s| s.name.clone())
        .collect();
    let mut request_classes = BTreeSet::new();
    for e in values(entry, "stream-type") {
        let Some(index) = reader.refer(e, "stream type", &types) else {
            continue;
        };
        request_classes.insert(index);
        if !context.request_classes[index].write {
            let message = format!(
                "\"{}\" is read where its data lies: routes do not apply to it",
                types.list()[index]
            );
            reader.warn("no-effect", message, e.span(), None);
        }
    }
    let plans = values(entry, "plan")
        .filter_map(|e| reader.refer(e, "plan", &plans))
        .collect();
    let volumes = volume_patterns(reader, entry, context);
    Route {
        to: PoolId(to),
        volumes,
        plans,
        request_classes,
    }
}

/// The patterns by which a route selects volumes. A pattern that matches no volume is reported.
fn volume_patterns(
    reader: &mut Reader,
    entry: &KdlNode,
    context: &RouteContext,
) -> Vec<glob::Pattern> {
    let mut patterns = Vec::new();
    for value in values(entry, "volume") {
        let text = reader.text_of(value);
        let pattern = match glob::Pattern::new(&text) {
            Ok(pattern) => pattern,
            Err(why) => {
                let message = format!("\"{text}\" is no pattern: {why}");
                reader.report("wrong-kind", message, value.span(), None);
                continue;
            }
        };
        let mut volumes = context.volumes.iter();
        let matches = volumes.any(|volume| pattern.matches(&volume.name));
        if !matches && !text.is_empty() && !context.volumes.is_empty() {
            let names = context.volumes.iter().map(|volume| volume.name.clone());
            let names: Vec<String> = names.collect();
            reader.unknown(value.span(), "volume", &text, &names);
        }
        patterns.push(pattern);
    }
    patterns
}

/// Reports pools without a node, with every node, or without a route.
fn check_pools(
    document: &KdlDocument,
    reader: &mut Reader,
    context: &RouteContext,
    built: &Routes,
    before: usize,
) {
    for (index, entry) in entries(document, "pool").enumerate() {
        let nodes = context.nodes.iter().filter(|node| !node.spare);
        let p = &built.pools[index];
        let found = nodes
            .clone()
            .filter(|node| p.holds(node.place.zone, &node.kind))
            .count();
        if found == 0 && !context.nodes.is_empty() && reader.reported() == before {
            let message = format!("no node is in pool \"{}\"", p.name);
            let help = Some(
                "each of its nodes must be in one of its zones and of one of its kinds".into(),
            );
            reader.report("pool-empty", message, entry.span(), help);
        } else if found == nodes.count() && !context.nodes.is_empty() {
            let message = format!("pool \"{}\" holds every node, as \"{ALL}\" does", p.name);
            reader.warn("no-effect", message, entry.span(), None);
        } else if !built
            .routes
            .iter()
            .any(|route| route.to == PoolId(index + 1))
        {
            reader.warn(
                "unused",
                format!("pool \"{}\" is used by no route", p.name),
                entry.span(),
                None,
            );
        }
    }
}

/// Reports a last route that does not match everything, and a route before it that leads to the same pool.
fn check_last_route(document: &KdlDocument, reader: &mut Reader, built: &Routes, before: usize) {
    let Some(last) = entries(document, "route").last() else {
        return;
    };
    if !built.routes.last().is_some_and(Route::matches_everything) && reader.reported() == before {
        let help = Some(format!(
            "end with `route to=\"{ALL}\"`, or with another pool for all the rest"
        ));
        reader.report(
            "no-rest",
            "the last route does not take all the rest".into(),
            last.span(),
            help,
        );
    }
    if let [.., second_last, final_route] = built.routes.as_slice()
        && second_last.to == final_route.to
        && final_route.matches_everything()
    {
        let entry = entries(document, "route").nth(built.routes.len() - 2);
        let message = "the rest goes there anyway".to_string();
        reader.warn(
            "no-effect",
            message,
            entry.map_or(last.span(), |entry| entry.span()),
            None,
        );
    }
}

/// Reads pools and routes and checks them against each other.
pub fn read(document: &KdlDocument, reader: &mut Reader, context: &RouteContext) -> Routes {
    let before = reader.reported();
    let pools: Vec<Pool> = entries(document, "pool")
        .map(|entry| pool(reader, entry, context))
        .collect();
    let names: Names = std::iter::once(ALL.to_string())
        .chain(pools.iter().map(|p| p.name.clone()))
        .collect();
    let routes: Vec<Route> = entries(document, "route")
        .map(|entry| route(reader, entry, &names, context))
        .collect();
    let mut built = Routes {
        pools,
        routes,
        table: Vec::new(),
        request_classes: context.request_classes.len(),
    };
    check_pools(document, reader, context, &built, before);
    if built.routes.is_empty() {
        return built;
    }
    check_last_route(document, reader, &built, before);
    if reader.reported() == before || built.routes.iter().any(Route::matches_everything) {
        fill_table(document, reader, context, &mut built, before);
    }
    built
}

/// Fills the table, and reports routes that never decide. `before` is the number of errors before routes were read.
fn fill_table(
    document: &KdlDocument,
    reader: &mut Reader,
    context: &RouteContext,
    built: &mut Routes,
    before: usize,
) {
    // For each route: the number of combinations that it decides, and the earlier route that decides the first
    // combination which both match.
    let mut decided = vec![0usize; built.routes.len()];
    let mut earlier: Vec<Option<usize>> = vec![None; built.routes.len()];
    for volume in context.volumes {
        for request_class in 0..context.request_classes.len() {
            let matching = built
                .routes
                .iter()
                .enumerate()
                .filter(|(_, route)| route.matches(volume, request_class));
            let mut matching = matching.map(|(index, _)| index);
            let first = matching.next();
            built
                .table
                .push(first.map_or(PoolId::ALL, |index| built.routes[index].to));
            if let (Some(first), true) = (first, context.request_classes[request_class].write) {
                decided[first] += 1;
                matching.for_each(|later| _ = earlier[later].get_or_insert(first));
            }
        }
    }
    if reader.reported() > before
        || context.volumes.is_empty()
        || !context.request_classes.iter().any(|s| s.write)
    {
        return;
    }
    let spans: Vec<_> = entries(document, "route")
        .map(|entry| entry.span())
        .collect();
    for index in (0..decided.len()).filter(|index| decided[*index] == 0) {
        let unconditional = built.routes[index].matches_everything();
        match earlier[index] {
            // The last route is required even if earlier routes match everything.
            _ if unconditional && index + 1 == decided.len() => {}
            Some(first) => {
                let message =
                    "this route can never decide: routes before it match all that it would"
                        .to_string();
                reader.conflict(
                    "route-never",
                    message,
                    spans[index],
                    "one of them stands at",
                    spans[first].offset(),
                );
            }
            None => {
                let message =
                    "this route can never match: no volume and stream type that writes meet its conditions"
                        .into();
                reader.report("route-never", message, spans[index], None);
            }
        }
    }
}
