//! Builds a [`Deployment`] from a document, from top to bottom, and then looks at what must fit together.
//! What is wrong goes to the reader. Called for each document and for those before it ([`crate::revisions`]).

use crate::deployment::Deployment;
use crate::entities::*;
use crate::entry_classes::{plan, request_class, volume};
use crate::entry_processes::{bounds, node, place, server};
use crate::reader::{Names, Reader, entries};
use crate::{cross_zone_budgets, fleet, lints, maintenance, revision_entry, routes};
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::*;
use kdl::{KdlDocument, KdlNode};
use std::collections::BTreeMap;
use std::sync::Arc;

const TOP: [&str; 18] = [
    "fleet",
    "works",
    "crossing",
    "revision",
    "pool",
    "route",
    "zone",
    "stream-type",
    "plan",
    "volume",
    "host",
    "node",
    "machine",
    "list",
    "rules",
    "cold",
    "legs",
    "bounds",
];

/// Top entries that are not about the deployment itself: the script of a day.
pub const KEPT: [&str; 1] = ["day"];

/// Builds a deployment from a document; what is wrong is noted with the reader. Entries of the names in
/// [`KEPT`] belong to others.
pub fn build(document: &KdlDocument, r: &mut Reader) -> Deployment {
    check_kinds(document, r);
    let all = |name: &'static str| entries(document, name);
    let names = read_names(document, r);
    let request_classes: Vec<_> = all("stream-type").map(|n| request_class(r, n)).collect();
    let servers: Vec<_> = all("machine").map(|n| server(r, n)).collect();
    let hosts: Vec<_> = all("host").map(|n| host(r, n, &names.zones)).collect();
    let nodes: Vec<_> = all("node")
        .map(|n| node(r, n, &names.zones, &names.servers))
        .collect();
    let (list, list_late) = endpoint_list(document, r);
    let mut config = default_config();
    config.hosts = hosts.len() as u32;
    let decisions = request_classes.iter().map(|class| class.decisions.clone());
    config.request_classes = decisions.collect();
    let (rules, bounds) = read_figures(document, r, &mut config);
    let plans: Vec<_> = all("plan").map(|n| plan(r, n, rules.unit)).collect();
    config.plans = plans.iter().map(|p| p.decisions.clone()).collect();
    let (fleet, maintenance) = read_fleet(document, r, &hosts, config.tick);
    let everyone: Arc<[HostId]> = (0..hosts.len() as u32).map(HostId).collect();
    // With a fleet, a share too small for a largest request goes from host to host in turns.
    let most = (config.max_units, fleet.is_none());
    let volumes: Vec<_> = all("volume")
        .map(|n| volume(r, n, &plans, &names.plans, &names.hosts, &everyone, most))
        .collect();
    check_needed(r, document, &hosts, &volumes);
    config.max_bytes = bounds.frame.body as f64;
    let cross_zone_budgets = read_budgets(document, r, &names, &hosts, &everyone, config.max_bytes);
    let known = routes::Known {
        zones: &names.zones,
        request_classes: &request_classes,
        plans: &plans,
        volumes: &volumes,
        nodes: &nodes,
    };
    let routes = routes::read(document, r, &known);
    let place = revision(document, r);
    let built = Deployment {
        unit: rules.unit,
        routes,
        cross_zone_budgets,
        fleet,
        maintenance,
        place,
        line: Vec::new(),
        zones: names.zones.list().to_vec(),
        request_classes,
        plans,
        hosts,
        nodes,
        servers,
        list,
        list_late,
        drain_grace: rules.drain_grace,
        bounds,
        volumes_by_name: places_by_name(&volumes),
        volumes,
        config,
    };
    check_ids(r, &built, document);
    lints::check(&built, document, r);
    built
}

fn read_fleet(
    document: &KdlDocument,
    r: &mut Reader,
    hosts: &[Place],
    tick: Span,
) -> (Option<NamedFleet>, Option<MaintenanceConfig>) {
    let fleet_node = single(r, document, "fleet");
    let fleet = fleet::read(r, fleet_node, hosts, tick);
    let maintenance_node = single(r, document, "works");
    let maintenance = maintenance::read(r, maintenance_node, fleet.as_ref());
    (fleet, maintenance)
}

fn read_budgets(
    document: &KdlDocument,
    r: &mut Reader,
    names: &EntryNames,
    hosts: &[Place],
    everyone: &Arc<[HostId]>,
    max_bytes: f64,
) -> Vec<NamedCrossZoneBudget> {
    let mut budgets = Vec::new();
    for n in entries(document, "crossing") {
        let budget =
            cross_zone_budgets::read(r, n, &names.zones, &names.plans, hosts, everyone, max_bytes);
        budgets.extend(budget);
    }
    cross_zone_budgets::together(r, document, &budgets);
    budgets
}

fn revision(document: &KdlDocument, r: &mut Reader) -> RevisionPlace {
    single(r, document, "revision");
    revision_entry::read(document, r)
}

fn places_by_name(volumes: &[NamedVolume]) -> BTreeMap<String, usize> {
    let places = volumes.iter().enumerate();
    places
        .map(|(place, volume)| (volume.name.clone(), place))
        .collect()
}

fn check_kinds(document: &KdlDocument, r: &mut Reader) {
    for n in document.nodes() {
        let name = n.name().value();
        if !TOP.contains(&name) && !KEPT.contains(&name) {
            let known: Vec<_> = TOP.iter().map(|k| format!("`{k}`")).collect();
            let help = Some(format!("known are {}", known.join(", ")));
            r.report(
                "unknown-node",
                format!("`{name}` is no entry of a deployment"),
                n.name().span(),
                help,
            );
        }
    }
}

/// The names that entries refer to each other by.
struct EntryNames {
    zones: Names,
    plans: Names,
    hosts: Names,
    servers: Names,
}

fn read_names(document: &KdlDocument, r: &mut Reader) -> EntryNames {
    let named = |r: &mut Reader, kind: &'static str| names(r, entries(document, kind));
    let zones = named(r, "zone");
    for n in entries(document, "zone") {
        r.only(n, 1, &[], &[]);
    }
    let plans = named(r, "plan");
    let hosts = named(r, "host");
    let servers = named(r, "machine");
    for kind in ["node", "stream-type", "volume", "pool"] {
        named(r, kind);
    }
    EntryNames {
        zones,
        plans,
        hosts,
        servers,
    }
}

fn host(r: &mut Reader, n: &KdlNode, zones: &Names) -> Place {
    r.only(n, 1, &["zone", "address", "listen"], &[]);
    place(r, n, zones)
}

/// The list service, and how late it tells what it knows.
fn endpoint_list(document: &KdlDocument, r: &mut Reader) -> (Place, Span) {
    let mut late = Span::ZERO;
    let mut list = Place {
        name: "list".into(),
        zone: ZoneId(0),
        address: String::new(),
        listen: String::new(),
    };
    if let Some(n) = single(r, document, "list") {
        r.only(n, 0, &["address", "listen", "late"], &[]);
        late = r.span_at(n, "late").unwrap_or_default();
        list.address = r.text_at(n, "address").unwrap_or_default();
        list.listen = r
            .text_at(n, "listen")
            .unwrap_or_else(|| list.address.clone());
    }
    (list, late)
}

/// What holds where a document does not say otherwise.
fn default_config() -> SchedulerConfig {
    SchedulerConfig {
        tick: Span::from_millis(20.0),
        max_attempts: 3,
        max_units: 8.0,
        within_share_value: 1.0,
        beyond_share_value: 1.0,
        peer_messages_enabled: true,
        poll_endpoints: true,
        ..SchedulerConfig::default()
    }
}

/// All entries of figures; those of the decisions go into their configuration.
fn read_figures(
    document: &KdlDocument,
    r: &mut Reader,
    config: &mut SchedulerConfig,
) -> (Rules, HostBounds) {
    let rules = rules(document, r, config);
    slow_start(document, r, config);
    retry_budget(document, r, config);
    let bounds_node = single(r, document, "bounds");
    let bounds = bounds(r, bounds_node);
    // And the host's timers come up to a millisecond late.
    config.connect_wait = bounds.connect + Span::from_micros(2000);
    (rules, bounds)
}

/// Of the `rules` entry, what is not the decisions'.
struct Rules {
    unit: Option<f64>,
    drain_grace: Span,
}

fn rules(document: &KdlDocument, r: &mut Reader, config: &mut SchedulerConfig) -> Rules {
    let mut rules = Rules {
        unit: None,
        drain_grace: Span::from_millis(1000.0),
    };
    let Some(n) = single(r, document, "rules") else {
        return rules;
    };
    let known = [
        "tick",
        "drain-grace",
        "order-settle",
        "most-units",
        "share-part",
        "spare-part",
        "advice",
        "unit",
    ];
    r.only(n, 0, &known, &[]);
    rules.unit = n.entry("unit").map(|_| r.bytes(n, "unit", 0).max(1) as f64);
    config.tick = r.span_at(n, "tick").unwrap_or(config.tick);
    rules.drain_grace = r.span_at(n, "drain-grace").unwrap_or(rules.drain_grace);
    config.order_settle = r.span_at(n, "order-settle").unwrap_or_default();
    config.max_units = r
        .number_at(n, "most-units", 0.0)
        .unwrap_or(config.max_units);
    config.within_share_value = r.part_at(n, "share-part").unwrap_or(1.0);
    config.beyond_share_value = r.part_at(n, "spare-part").unwrap_or(1.0);
    config.max_retry_after = r.span_at(n, "advice");
    rules
}

fn slow_start(document: &KdlDocument, r: &mut Reader, config: &mut SchedulerConfig) {
    let Some(n) = single(r, document, "cold") else {
        return;
    };
    r.only(n, 0, &["units", "window", "first-part", "ramp"], &[]);
    config.slow_start = SlowStart {
        units: r.number(n, "units", 0.0),
        window: r.span(n, "window"),
        initial_fraction: r.part(n, "first-part"),
        ramp: r.span(n, "ramp"),
    };
}

fn retry_budget(document: &KdlDocument, r: &mut Reader, config: &mut SchedulerConfig) {
    let Some(n) = single(r, document, "legs") else {
        return;
    };
    r.only(n, 0, &["most", "free", "share", "window"], &[]);
    config.max_attempts = r.whole(n, "most", 1, 3);
    config.retry_budget = r.span_at(n, "window").map(|window| RetryBudget {
        free: r.number_at(n, "free", 0.0).unwrap_or_default(),
        share: r.part_at(n, "share").unwrap_or_default(),
        window,
    });
}

fn single<'a>(
    r: &mut Reader,
    document: &'a KdlDocument,
    kind: &'static str,
) -> Option<&'a KdlNode> {
    let mut found = entries(document, kind);
    let first = found.next();
    for second in found {
        r.report(
            "twice",
            format!("a second `{kind}`"),
            second.name().span(),
            None,
        );
    }
    first
}

fn check_needed(r: &mut Reader, document: &KdlDocument, hosts: &[Place], volumes: &[NamedVolume]) {
    let top = document.span();
    for (missing, what) in [(hosts.is_empty(), "host"), (volumes.is_empty(), "volume")] {
        // Where a file could not be read, it is that.
        if missing && !r.unread() {
            r.report(
                "missing",
                format!("a deployment needs a `{what}`"),
                (top.offset(), 0).into(),
                None,
            );
        }
    }
}

/// Ids are hashes of names: two that fall together would be one to the decisions.
fn check_ids(r: &mut Reader, d: &Deployment, document: &KdlDocument) {
    let volumes = d.volumes.iter().map(|v| ("volume", &v.name, v.id.0));
    let nodes = d
        .nodes
        .iter()
        .map(|n| ("node", &n.place.name, node_id(&n.place.name).0));
    let mut seen: BTreeMap<(&str, u64), &String> = BTreeMap::new();
    for (kind, name, id) in volumes.chain(nodes) {
        if let Some(other) = seen.insert((kind, id), name).filter(|other| *other != name) {
            let message =
                format!("{kind} \"{name}\" and \"{other}\" have the same number: rename one");
            r.report(
                "same-number",
                message,
                (document.span().offset(), 0).into(),
                None,
            );
        }
    }
}

fn names<'a>(r: &mut Reader, nodes: impl Iterator<Item = &'a KdlNode>) -> Names {
    let mut names: Vec<String> = Vec::new();
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    for n in nodes {
        let name = r.text(n, 0, "a name");
        if let Some(place) = first.get(&name).filter(|_| !name.is_empty()) {
            r.twice(
                format!("a second `{}` \"{name}\"", n.name().value()),
                n.span(),
                *place,
            );
        } else {
            first.insert(name.clone(), n.span().offset());
        }
        names.push(name);
    }
    names.into_iter().collect()
}
