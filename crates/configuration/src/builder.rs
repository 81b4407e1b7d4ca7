//! Builds a [`Deployment`] from a document, and then checks the entries against each other. Problems go to the reader.
//! [`crate::revisions`] calls it for a document and for the revisions before it.

use crate::deployment::Deployment;
use crate::entities::{
    HostBounds, NamedCrossZoneBudget, NamedFleet, NamedPlan, NamedRequestClass, NamedVolume,
    NodePlace, Place, RevisionPlace, Server, node_id,
};
use crate::entry_classes::{VolumeContext, plan, request_class, volume};
use crate::entry_processes::{bounds, node, place, server};
use crate::reader::{Names, Reader, entries};
use crate::{cross_zone_budgets, fleet, lints, maintenance, revision_entry, routes};
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::{HostId, RetryBudget, SchedulerConfig, SlowStart, Span, ZoneId};
use kdl::{KdlDocument, KdlNode};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The kinds of entries that describe a deployment.
const DEPLOYMENT_ENTRIES: [&str; 18] = [
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

/// The kinds of entries that [`build`] ignores: `day` holds the script of a scenario.
pub const IGNORED_ENTRIES: [&str; 1] = ["day"];

/// Builds a deployment from a document and reports problems to the reader. Ignores the kinds of entries in
/// [`IGNORED_ENTRIES`].
pub fn build(document: &KdlDocument, reader: &mut Reader) -> Deployment {
    check_kinds(document, reader);
    let names = read_names(document, reader);
    let request_classes = read_request_classes(document, reader);
    let Processes {
        servers,
        hosts,
        nodes,
    } = read_processes(document, reader, &names);
    let (list, list_late) = endpoint_list(document, reader);
    let mut config = default_config(&hosts, &request_classes);
    let (rules, bounds) = read_settings(document, reader, &mut config);
    let Traffic {
        plans,
        volumes,
        cross_zone_budgets,
        fleet,
        maintenance,
    } = read_traffic(
        document,
        reader,
        &names,
        &hosts,
        &rules,
        &bounds,
        &mut config,
    );
    let context = routes::RouteContext {
        zones: &names.zones,
        request_classes: &request_classes,
        plans: &plans,
        volumes: &volumes,
        nodes: &nodes,
    };
    let built = Deployment {
        unit: rules.unit,
        routes: routes::read(document, reader, &context),
        cross_zone_budgets,
        fleet,
        maintenance,
        place: revision(document, reader),
        limit_history: Vec::new(),
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
        volumes_by_name: indices_by_name(&volumes),
        volumes,
        config,
    };
    check_ids(reader, &built, document);
    lints::check(&built, document, reader);
    built
}

fn read_fleet(
    document: &KdlDocument,
    reader: &mut Reader,
    hosts: &[Place],
    tick: Span,
) -> (Option<NamedFleet>, Option<MaintenanceConfig>) {
    let fleet_node = single(reader, document, "fleet");
    let fleet = fleet::read(reader, fleet_node, hosts, tick);
    let maintenance_node = single(reader, document, "works");
    let maintenance = maintenance::read(reader, maintenance_node, fleet.as_ref());
    (fleet, maintenance)
}

fn read_budgets(
    document: &KdlDocument,
    reader: &mut Reader,
    names: &EntryNames,
    hosts: &[Place],
    everyone: &Arc<[HostId]>,
    max_bytes: f64,
) -> Vec<NamedCrossZoneBudget> {
    let mut budgets = Vec::new();
    for entry in entries(document, "crossing") {
        let budget = cross_zone_budgets::read(
            reader,
            entry,
            &names.zones,
            &names.plans,
            hosts,
            everyone,
            max_bytes,
        );
        budgets.extend(budget);
    }
    cross_zone_budgets::check_together(reader, document, &budgets);
    budgets
}

fn revision(document: &KdlDocument, reader: &mut Reader) -> RevisionPlace {
    single(reader, document, "revision");
    revision_entry::read(document, reader)
}

fn indices_by_name(volumes: &[NamedVolume]) -> BTreeMap<String, usize> {
    let indexed = volumes.iter().enumerate();
    indexed
        .map(|(index, volume)| (volume.name.clone(), index))
        .collect()
}

fn check_kinds(document: &KdlDocument, reader: &mut Reader) {
    for entry in document.nodes() {
        let name = entry.name().value();
        if !DEPLOYMENT_ENTRIES.contains(&name) && !IGNORED_ENTRIES.contains(&name) {
            let known: Vec<_> = DEPLOYMENT_ENTRIES
                .iter()
                .map(|k| format!("`{k}`"))
                .collect();
            let help = Some(format!("known are {}", known.join(", ")));
            reader.report(
                "unknown-node",
                format!("`{name}` is no entry of a deployment"),
                entry.name().span(),
                help,
            );
        }
    }
}

fn read_request_classes(document: &KdlDocument, reader: &mut Reader) -> Vec<NamedRequestClass> {
    entries(document, "stream-type")
        .map(|entry| request_class(reader, entry))
        .collect()
}

/// The plans and volumes, the budgets between zones, and how hosts coordinate.
struct Traffic {
    plans: Vec<NamedPlan>,
    volumes: Vec<NamedVolume>,
    cross_zone_budgets: Vec<NamedCrossZoneBudget>,
    fleet: Option<NamedFleet>,
    maintenance: Option<MaintenanceConfig>,
}

fn read_traffic(
    document: &KdlDocument,
    reader: &mut Reader,
    names: &EntryNames,
    hosts: &[Place],
    rules: &Rules,
    bounds: &HostBounds,
    config: &mut SchedulerConfig,
) -> Traffic {
    let all = |kind: &'static str| entries(document, kind);
    let plans: Vec<_> = all("plan")
        .map(|entry| plan(reader, entry, rules.unit))
        .collect();
    config.plans = plans.iter().map(|p| p.decisions.clone()).collect();
    let (fleet, maintenance) = read_fleet(document, reader, hosts, config.tick);
    let everyone: Arc<[HostId]> = (0..hosts.len() as u32).map(HostId).collect();
    let context = VolumeContext {
        plans: &plans,
        plan_names: &names.plans,
        hosts: &names.hosts,
        everyone: &everyone,
        max_units: config.max_units,
        split: fleet.is_none(),
    };
    let volumes: Vec<_> = all("volume")
        .map(|entry| volume(reader, entry, &context))
        .collect();
    check_required(reader, document, hosts, &volumes);
    config.max_bytes = bounds.frame.body as f64;
    let cross_zone_budgets =
        read_budgets(document, reader, names, hosts, &everyone, config.max_bytes);
    Traffic {
        plans,
        volumes,
        cross_zone_budgets,
        fleet,
        maintenance,
    }
}

/// The hosts, the nodes and the servers of simulated nodes.
struct Processes {
    servers: Vec<Server>,
    hosts: Vec<Place>,
    nodes: Vec<NodePlace>,
}

fn read_processes(document: &KdlDocument, reader: &mut Reader, names: &EntryNames) -> Processes {
    let all = |kind: &'static str| entries(document, kind);
    Processes {
        servers: all("machine").map(|entry| server(reader, entry)).collect(),
        hosts: all("host")
            .map(|entry| host(reader, entry, &names.zones))
            .collect(),
        nodes: all("node")
            .map(|entry| node(reader, entry, &names.zones, &names.servers))
            .collect(),
    }
}

/// The names of the entries that other entries refer to.
struct EntryNames {
    zones: Names,
    plans: Names,
    hosts: Names,
    servers: Names,
}

fn read_names(document: &KdlDocument, reader: &mut Reader) -> EntryNames {
    let named = |reader: &mut Reader, kind: &'static str| names(reader, entries(document, kind));
    let zones = named(reader, "zone");
    for entry in entries(document, "zone") {
        reader.only(entry, 1, &[], &[]);
    }
    let plans = named(reader, "plan");
    let hosts = named(reader, "host");
    let servers = named(reader, "machine");
    for kind in ["node", "stream-type", "volume", "pool"] {
        named(reader, kind);
    }
    EntryNames {
        zones,
        plans,
        hosts,
        servers,
    }
}

fn host(reader: &mut Reader, entry: &KdlNode, zones: &Names) -> Place {
    reader.only(entry, 1, &["zone", "address", "listen"], &[]);
    place(reader, entry, zones)
}

/// Reads the `list` entry: the addresses of the list service, and the delay with which it publishes changes.
fn endpoint_list(document: &KdlDocument, reader: &mut Reader) -> (Place, Span) {
    let mut delay = Span::ZERO;
    let mut list = Place {
        name: "list".into(),
        zone: ZoneId(0),
        address: String::new(),
        listen: String::new(),
    };
    if let Some(entry) = single(reader, document, "list") {
        reader.only(entry, 0, &["address", "listen", "late"], &[]);
        delay = reader.span_at(entry, "late").unwrap_or_default();
        list.address = reader.text_at(entry, "address").unwrap_or_default();
        list.listen = reader
            .text_at(entry, "listen")
            .unwrap_or_else(|| list.address.clone());
    }
    (list, delay)
}

/// The scheduler's configuration with the defaults for what a document does not state.
fn default_config(hosts: &[Place], request_classes: &[NamedRequestClass]) -> SchedulerConfig {
    let decisions = request_classes.iter().map(|class| class.decisions.clone());
    SchedulerConfig {
        host_count: hosts.len() as u32,
        request_classes: decisions.collect(),
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

/// Reads the entries `rules`, `cold`, `legs` and `bounds`. Settings of the scheduler go into `config`.
fn read_settings(
    document: &KdlDocument,
    reader: &mut Reader,
    config: &mut SchedulerConfig,
) -> (Rules, HostBounds) {
    let rules = rules(document, reader, config);
    slow_start(document, reader, config);
    retry_budget(document, reader, config);
    let bounds_node = single(reader, document, "bounds");
    let bounds = bounds(reader, bounds_node);
    // The host's timers fire up to a millisecond late.
    config.max_connect_wait = bounds.connect + Span::from_micros(2000);
    (rules, bounds)
}

/// The settings of the `rules` entry that are not part of the scheduler's configuration.
struct Rules {
    /// The number of bytes of a unit of work; `None`: not stated.
    unit: Option<f64>,
    drain_grace: Span,
}

fn rules(document: &KdlDocument, reader: &mut Reader, config: &mut SchedulerConfig) -> Rules {
    let mut rules = Rules {
        unit: None,
        drain_grace: Span::from_millis(1000.0),
    };
    let Some(entry) = single(reader, document, "rules") else {
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
    reader.only(entry, 0, &known, &[]);
    rules.unit = entry
        .entry("unit")
        .map(|_| reader.bytes(entry, "unit", 0).max(1) as f64);
    config.tick = reader.span_at(entry, "tick").unwrap_or(config.tick);
    rules.drain_grace = reader
        .span_at(entry, "drain-grace")
        .unwrap_or(rules.drain_grace);
    config.order_settle = reader.span_at(entry, "order-settle").unwrap_or_default();
    config.max_units = reader
        .number_at(entry, "most-units", 0.0)
        .unwrap_or(config.max_units);
    config.within_share_value = reader.fraction_at(entry, "share-part").unwrap_or(1.0);
    config.beyond_share_value = reader.fraction_at(entry, "spare-part").unwrap_or(1.0);
    config.max_retry_after = reader.span_at(entry, "advice");
    rules
}

fn slow_start(document: &KdlDocument, reader: &mut Reader, config: &mut SchedulerConfig) {
    let Some(entry) = single(reader, document, "cold") else {
        return;
    };
    reader.only(entry, 0, &["units", "window", "first-part", "ramp"], &[]);
    config.slow_start = SlowStart {
        units: reader.number(entry, "units", 0.0),
        window: reader.span(entry, "window"),
        initial_fraction: reader.fraction(entry, "first-part"),
        ramp: reader.span(entry, "ramp"),
    };
}

fn retry_budget(document: &KdlDocument, reader: &mut Reader, config: &mut SchedulerConfig) {
    let Some(entry) = single(reader, document, "legs") else {
        return;
    };
    reader.only(entry, 0, &["most", "free", "share", "window"], &[]);
    config.max_attempts = reader.whole(entry, "most", 1, 3);
    config.retry_budget = reader.span_at(entry, "window").map(|window| RetryBudget {
        fixed_retries: reader.number_at(entry, "free", 0.0).unwrap_or_default(),
        retries_per_request: reader.fraction_at(entry, "share").unwrap_or_default(),
        window,
    });
}

/// The entry of a kind that may occur once; further ones are reported.
fn single<'a>(
    reader: &mut Reader,
    document: &'a KdlDocument,
    kind: &'static str,
) -> Option<&'a KdlNode> {
    let mut found = entries(document, kind);
    let first = found.next();
    for second in found {
        reader.report(
            "twice",
            format!("a second `{kind}`"),
            second.name().span(),
            None,
        );
    }
    first
}

/// Reports a document without hosts or volumes.
fn check_required(
    reader: &mut Reader,
    document: &KdlDocument,
    hosts: &[Place],
    volumes: &[NamedVolume],
) {
    let top = document.span();
    for (missing, kind) in [(hosts.is_empty(), "host"), (volumes.is_empty(), "volume")] {
        // If some text could not be read, the entry may stand there.
        if missing && !reader.has_unread_text() {
            reader.report(
                "missing",
                format!("a deployment needs a `{kind}`"),
                (top.offset(), 0).into(),
                None,
            );
        }
    }
}

/// Reports names with the same id. Ids are hashes of names, and the scheduler could not tell such entries apart.
fn check_ids(reader: &mut Reader, deployment: &Deployment, document: &KdlDocument) {
    let volumes = deployment
        .volumes
        .iter()
        .map(|v| ("volume", &v.name, v.id.0));
    let nodes = deployment
        .nodes
        .iter()
        .map(|node| ("node", &node.place.name, node_id(&node.place.name).0));
    let mut seen: BTreeMap<(&str, u64), &String> = BTreeMap::new();
    for (kind, name, id) in volumes.chain(nodes) {
        if let Some(other) = seen.insert((kind, id), name).filter(|other| *other != name) {
            let message =
                format!("{kind} \"{name}\" and \"{other}\" have the same number: rename one");
            reader.report(
                "same-number",
                message,
                (document.span().offset(), 0).into(),
                None,
            );
        }
    }
}

/// The names of entries of one kind; duplicates are reported.
fn names<'a>(reader: &mut Reader, nodes: impl Iterator<Item = &'a KdlNode>) -> Names {
    let mut names: Vec<String> = Vec::new();
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    for entry in nodes {
        let name = reader.text(entry, 0, "a name");
        if let Some(offset) = first.get(&name).filter(|_| !name.is_empty()) {
            reader.twice(
                format!("a second `{}` \"{name}\"", entry.name().value()),
                entry.span(),
                *offset,
            );
        } else {
            first.insert(name.clone(), entry.span().offset());
        }
        names.push(name);
    }
    names.into_iter().collect()
}
