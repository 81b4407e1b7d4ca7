//! Where new objects may lie: pools are sets of nodes, routes say which volumes' and request classes' new
//! objects go to which pool. The first route that matches a request decides, and the last takes all the rest.
//! What a request is given is worked out once for each volume and request class, so that looking it up costs
//! nothing.

use crate::entities::{NamedPlan, NamedRequestClass, NamedVolume, NodePlace};
use crate::reader::{Names, Reader, entries};
use gullsail_scheduler_api::{PoolId, RequestClassId, ZoneId};
use kdl::{KdlDocument, KdlNode};
use std::collections::BTreeSet;

/// The pool of all nodes; no document defines it.
pub const ALL: &str = "all";

/// A set of nodes: those in one of the zones and of one of the kinds; none stated: any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Its zones; empty: any.
    pub zones: BTreeSet<ZoneId>,
    /// The kinds of its nodes; empty: any.
    pub kinds: BTreeSet<String>,
}

impl Pool {
    /// Whether a node of that zone and kind is in the pool.
    pub fn holds(&self, zone: ZoneId, kind: &str) -> bool {
        (self.zones.is_empty() || self.zones.contains(&zone))
            && (self.kinds.is_empty() || self.kinds.contains(kind))
    }
}

/// One route as it is written; of each, none stated: any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The pool for what it matches.
    pub to: PoolId,
    volumes: Vec<glob::Pattern>,
    plans: BTreeSet<usize>,
    request_classes: BTreeSet<usize>,
}

impl Route {
    fn takes(&self, volume: &NamedVolume, request_class: usize) -> bool {
        (self.volumes.is_empty() || self.volumes.iter().any(|p| p.matches(&volume.name)))
            && (self.plans.is_empty() || self.plans.contains(&volume.plan.0))
            && (self.request_classes.is_empty() || self.request_classes.contains(&request_class))
    }

    fn is_rest(&self) -> bool {
        self.volumes.is_empty() && self.plans.is_empty() && self.request_classes.is_empty()
    }
}

/// All pools and routes, and the pool for each volume's and request class's new objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// The pool with number 1 and those after it.
    pub pools: Vec<Pool>,
    /// In order: the first that matches decides.
    pub routes: Vec<Route>,
    /// By place of the volume, then of the request class; empty without routes.
    table: Vec<PoolId>,
    request_classes: usize,
}

impl Routes {
    /// Where a volume's new object of that request class may lie. Places are those of the deployment.
    pub fn pool(&self, volume: usize, request_class: RequestClassId) -> PoolId {
        self.table
            .get(volume * self.request_classes + request_class.0)
            .copied()
            .unwrap_or(PoolId::ALL)
    }

    /// The pools that a node of that zone and kind is in, resolve_path that of all.
    pub fn pools_of(&self, zone: ZoneId, kind: &str) -> Vec<PoolId> {
        let holds = self
            .pools
            .iter()
            .enumerate()
            .filter(|(_, p)| p.holds(zone, kind));
        holds.map(|(place, _)| PoolId(place + 1)).collect()
    }

    /// The name of a pool.
    pub fn name(&self, pool: PoolId) -> &str {
        pool.0
            .checked_sub(1)
            .and_then(|place| self.pools.get(place))
            .map_or(ALL, |p| &p.name)
    }
}

/// What routes are read against.
pub struct Known<'a> {
    /// Names of zones.
    pub zones: &'a Names,
    /// The request classes.
    pub request_classes: &'a [NamedRequestClass],
    /// The plans.
    pub plans: &'a [NamedPlan],
    /// The volumes.
    pub volumes: &'a [NamedVolume],
    /// The nodes.
    pub nodes: &'a [NodePlace],
}

/// The values of all children of that name.
fn values<'a>(entry: &'a KdlNode, name: &'static str) -> impl Iterator<Item = &'a kdl::KdlEntry> {
    entry
        .iter_children()
        .filter(move |c| c.name().value() == name)
        .flat_map(|c| c.entries())
}

fn pool(reader: &mut Reader, entry: &KdlNode, known: &Known) -> Pool {
    reader.only(entry, 1, &[], &["zone", "kind"]);
    entry
        .iter_children()
        .for_each(|c| reader.only(c, usize::MAX, &[], &[]));
    let zones = values(entry, "zone")
        .filter_map(|e| reader.refer(e, "zone", known.zones))
        .map(ZoneId)
        .collect();
    let kinds: Names = known
        .nodes
        .iter()
        .map(|node| node.kind.clone())
        .filter(|k| !k.is_empty())
        .collect();
    let found = values(entry, "kind").map(|e| {
        let kind = reader.text_of(e);
        if kinds.position(&kind).is_none() && !known.nodes.is_empty() {
            reader.unknown(e.span(), "kind of node", &kind, kinds.list());
        }
        kind
    });
    let kinds = found.collect();
    let name = reader.text(entry, 0, "a name");
    if name == ALL {
        let help = Some("it is there already, and holds every node".into());
        reader.report(
            "twice",
            format!("a second pool \"{ALL}\""),
            entry.span(),
            help,
        );
    }
    Pool { name, zones, kinds }
}

fn route(reader: &mut Reader, entry: &KdlNode, pools: &Names, known: &Known) -> Route {
    reader.only(entry, 0, &["to"], &["volume", "plan", "stream-type"]);
    entry
        .iter_children()
        .for_each(|c| reader.only(c, usize::MAX, &[], &[]));
    let to = reader
        .refer_at(entry, "to", "pool", pools)
        .unwrap_or_default();
    let plans: Names = known.plans.iter().map(|p| p.name.clone()).collect();
    let types: Names = known
        .request_classes
        .iter()
        .map(|s| s.name.clone())
        .collect();
    let mut request_classes = BTreeSet::new();
    for e in values(entry, "stream-type") {
        let Some(place) = reader.refer(e, "stream type", &types) else {
            continue;
        };
        request_classes.insert(place);
        if !known.request_classes[place].write {
            let message = format!(
                "\"{}\" is read where its data lies: no route leads it",
                types.list()[place]
            );
            reader.warn("no-effect", message, e.span(), None);
        }
    }
    let plans = values(entry, "plan")
        .filter_map(|e| reader.refer(e, "plan", &plans))
        .collect();
    let volumes = volume_patterns(reader, entry, known);
    Route {
        to: PoolId(to),
        volumes,
        plans,
        request_classes,
    }
}

/// The patterns by which a route names volumes; one that matches no volume is reported.
fn volume_patterns(reader: &mut Reader, entry: &KdlNode, known: &Known) -> Vec<glob::Pattern> {
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
        let mut volumes = known.volumes.iter();
        let matches = volumes.any(|volume| pattern.matches(&volume.name));
        if !matches && !text.is_empty() && !known.volumes.is_empty() {
            let names = known.volumes.iter().map(|volume| volume.name.clone());
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
    known: &Known,
    built: &Routes,
    before: usize,
) {
    for (place, entry) in entries(document, "pool").enumerate() {
        let nodes = known.nodes.iter().filter(|node| !node.spare);
        let p = &built.pools[place];
        let found = nodes
            .clone()
            .filter(|node| p.holds(node.place.zone, &node.kind))
            .count();
        if found == 0 && !known.nodes.is_empty() && reader.reported() == before {
            let message = format!("no node is in pool \"{}\"", p.name);
            let help = Some(
                "each of its nodes must be in one of its zones and of one of its kinds".into(),
            );
            reader.report("pool-empty", message, entry.span(), help);
        } else if found == nodes.count() && !known.nodes.is_empty() {
            let message = format!("pool \"{}\" holds every node, as \"{ALL}\" does", p.name);
            reader.warn("no-effect", message, entry.span(), None);
        } else if !built
            .routes
            .iter()
            .any(|route| route.to == PoolId(place + 1))
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

/// Reports a last route that leaves something out, or one before it that changes nothing.
fn check_rest(document: &KdlDocument, reader: &mut Reader, built: &Routes, before: usize) {
    let Some(last) = entries(document, "route").last() else {
        return;
    };
    if !built.routes.last().is_some_and(Route::is_rest) && reader.reported() == before {
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
    if let [.., second, rest] = built.routes.as_slice()
        && second.to == rest.to
        && rest.is_rest()
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

/// Reads pools and routes, and looks at whether they make sense together.
pub fn read(document: &KdlDocument, reader: &mut Reader, known: &Known) -> Routes {
    let before = reader.reported();
    let pools: Vec<Pool> = entries(document, "pool")
        .map(|entry| pool(reader, entry, known))
        .collect();
    let names: Names = std::iter::once(ALL.to_string())
        .chain(pools.iter().map(|p| p.name.clone()))
        .collect();
    let routes: Vec<Route> = entries(document, "route")
        .map(|entry| route(reader, entry, &names, known))
        .collect();
    let mut built = Routes {
        pools,
        routes,
        table: Vec::new(),
        request_classes: known.request_classes.len(),
    };
    check_pools(document, reader, known, &built, before);
    if built.routes.is_empty() {
        return built;
    }
    check_rest(document, reader, &built, before);
    if reader.reported() == before || built.routes.iter().any(Route::is_rest) {
        fill(document, reader, known, &mut built, before);
    }
    built
}

/// Works out the table, and names routes that nothing is left for.
fn fill(
    document: &KdlDocument,
    reader: &mut Reader,
    known: &Known,
    built: &mut Routes,
    before: usize,
) {
    // How much each route takes, and of what it would take but for one before it, who that is.
    let mut taken = vec![0usize; built.routes.len()];
    let mut instead: Vec<Option<usize>> = vec![None; built.routes.len()];
    for volume in known.volumes {
        for request_class in 0..known.request_classes.len() {
            let takes = built
                .routes
                .iter()
                .enumerate()
                .filter(|(_, route)| route.takes(volume, request_class));
            let mut takes = takes.map(|(place, _)| place);
            let first = takes.next();
            built
                .table
                .push(first.map_or(PoolId::ALL, |place| built.routes[place].to));
            if let (Some(first), true) = (first, known.request_classes[request_class].write) {
                taken[first] += 1;
                takes.for_each(|later| _ = instead[later].get_or_insert(first));
            }
        }
    }
    if reader.reported() > before
        || known.volumes.is_empty()
        || !known.request_classes.iter().any(|s| s.write)
    {
        return;
    }
    let places: Vec<_> = entries(document, "route")
        .map(|entry| entry.span())
        .collect();
    for place in (0..taken.len()).filter(|place| taken[*place] == 0) {
        let rest = built.routes[place].is_rest();
        match instead[place] {
            // The rest may be empty today.
            _ if rest && place + 1 == taken.len() => {}
            Some(first) => {
                let message = "this route can never match: routes before it take all that it would"
                    .to_string();
                reader.conflict(
                    "route-never",
                    message,
                    places[place],
                    "one of them stands at",
                    places[first].offset(),
                );
            }
            None => {
                let message =
                    "this route can never match: no volume and stream type that writes fit it"
                        .into();
                reader.report("route-never", message, places[place], None);
            }
        }
    }
}
