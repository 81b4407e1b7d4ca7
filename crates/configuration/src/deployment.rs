//! What a document means. Each kind of entry has a struct and a function that reads it; [`build`] goes
//! through the document from top to bottom and then looks at what must fit together.

use crate::fleet::NamedFleet;
use crate::reader::{Names, Reader, entries};
use crate::revisions;
use crate::routes::{self, Routes};
use fnv::FnvHasher;
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_protocol::Bounds;
use gullsail_scheduler_api::*;
use kdl::{KdlDocument, KdlNode};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::sync::Arc;

/// The same number for a name at every host and in every process.
pub fn number(name: &str) -> u64 {
    let mut h = FnvHasher::default();
    h.write(name.as_bytes());
    h.finish()
}

/// A request class as the document names it; what decides is in `decisions`.
#[derive(Clone, Debug)]
pub struct NamedRequestClass {
    pub name: String,
    pub write: bool,
    pub deadline: Span,
    pub decisions: RequestClass,
}

#[derive(Clone, Debug)]
pub struct NamedPlan {
    pub name: String,
    /// How far all hosts together may pass the limit's store, in units (rule 7).
    pub slack: f64,
    pub decisions: Plan,
}

#[derive(Clone, Debug)]
pub struct NamedVolume {
    pub name: String,
    pub id: VolumeId,
    pub plan: PlanId,
    /// Through which hosts its requests come, in order of their numbers.
    pub hosts: Arc<[HostId]>,
}

impl NamedVolume {
    pub fn through(&self, host: HostId) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }
}

/// A budget of bytes between zones, as the document has it.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedCrossZoneBudget {
    /// Such as `east to west`, or `plan base`.
    pub name: String,
    pub id: VolumeId,
    pub of: BudgetScope,
    /// In bytes.
    pub limit: Limit,
    pub hard: bool,
    /// Who shares it: hosts in either zone, or all.
    pub hosts: Arc<[HostId]>,
}

/// Where a process incarnations. `listen` is where it binds, `address` where others reach it.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub zone: ZoneId,
    pub address: String,
    pub listen: String,
}

#[derive(Clone, Debug)]
pub struct NodePlace {
    pub place: Place,
    pub shard: ShardId,
    /// What sort of node it is, for pools; a word of the document's own.
    pub kind: String,
    /// Of the stand-ins' machines.
    pub server: usize,
    /// It does not run yet: a successor that hosts hear of from the list.
    pub spare: bool,
}

/// What a stand-in node is like. Nothing here is told to a host.
#[derive(Clone, Debug)]
pub struct Server {
    pub name: String,
    pub cores: u32,
    /// The work of one unit on one core.
    pub unit: Span,
    /// Requests that wait at most, beside those that run.
    pub queue: u32,
    pub pause: Span,
    pub pause_every: Span,
    /// The part of a write's work that is put off, and when it is done.
    pub put_off: f64,
    pub flush_every: Span,
    /// Once cold, it falls over when sent more than so many times what it can do, for the rule's window.
    pub falls_over: f64,
}

impl Server {
    /// Units a second that all its cores do.
    pub fn can(&self) -> f64 {
        f64::from(self.cores) / self.unit.secs().max(1e-9)
    }
}

/// The part of what machines can do that may be promised: the rest is for pauses and restarts.
pub const PROMISABLE: f64 = 0.9;

/// What bounds a host's memory and patience on its sockets.
#[derive(Clone, Debug)]
pub struct HostBounds {
    /// Open requests, and the body bytes that they hold; beyond, clients are not read from.
    pub most_open: u32,
    pub most_held: usize,
    pub frame: Bounds,
    /// Bytes that wait for one client; beyond, it is not read from. A client that takes none of them for
    /// `client_stall` is let go.
    pub most_unsent: usize,
    pub client_stall: Span,
    pub connect: Span,
    /// Between tries to connect: from, up to.
    pub redial: (Span, Span),
    /// How often a peer's clock is asked, and how far off it may be.
    pub clock_every: Span,
    pub clock_apart: Span,
}

/// All that a document says.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub zones: Vec<String>,
    pub request_classes: Vec<NamedRequestClass>,
    pub plans: Vec<NamedPlan>,
    pub volumes: Vec<NamedVolume>,
    pub hosts: Vec<Place>,
    pub nodes: Vec<NodePlace>,
    pub servers: Vec<Server>,
    pub list: Place,
    /// How late the list tells what it knows.
    pub list_late: Span,
    pub drain_grace: Span,
    pub bounds: HostBounds,
    /// Bytes that a unit of work stands for, where it is said.
    pub unit: Option<f64>,
    pub routes: Routes,
    pub cross_zone_budgets: Vec<NamedCrossZoneBudget>,
    /// How hosts settle things among themselves; `None`: they don't.
    pub fleet: Option<NamedFleet>,
    /// How machines go out for work; `None`: there are no such orders.
    pub maintenance: Option<MaintenanceConfig>,
    pub place: revisions::Place,
    /// What this document and those before it promise of limits, oldest first.
    pub line: Vec<gullsail_config_transition::RevisionLimits>,
    config: SchedulerConfig,
    volumes_by_name: BTreeMap<String, usize>,
}

impl Deployment {
    /// The figures that are the same at every host.
    pub fn figures(&self) -> &SchedulerConfig {
        &self.config
    }

    /// What the decisions at one host are told.
    pub fn config(&self, me: HostId) -> SchedulerConfig {
        let zone =
            self.hosts.get(me.0 as usize).map(|h| h.zone).filter(|_| !self.cross_zone_budgets.is_empty());
        SchedulerConfig {
            me,
            zone,
            cross_zone_budgets: self.cross_zone_budgets_at(me),
            ..self.config.clone()
        }
    }

    /// The budgets as one host shares them.
    pub fn cross_zone_budgets_at(&self, me: HostId) -> Vec<CrossZoneBudget> {
        let share = |c: &NamedCrossZoneBudget| CrossZoneBudget {
            id: c.id,
            of: c.of,
            limit: c.limit,
            hard: c.hard,
            hosts: if c.hosts.binary_search(&me).is_ok() { c.hosts.len() as u32 } else { 0 },
        };
        self.cross_zone_budgets.iter().map(share).collect()
    }

    pub fn host(&self, name: &str) -> Option<HostId> {
        self.hosts.iter().position(|h| h.name == name).map(|p| HostId(p as u32))
    }

    pub fn volume(&self, name: &str) -> Option<&NamedVolume> {
        self.volume_at(name).map(|place| &self.volumes[place])
    }

    /// Its place among the volumes.
    pub fn volume_at(&self, name: &str) -> Option<usize> {
        self.volumes_by_name.get(name).copied()
    }

    pub fn node(&self, name: &str) -> Option<&NodePlace> {
        self.nodes.iter().find(|n| n.place.name == name)
    }
}

pub fn node_id(name: &str) -> NodeId {
    NodeId(number(name))
}

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

/// Builds a deployment from a document; what is wrong is noted with the reader. Entries of the names in
/// [`KEPT`] belong to others.
pub fn build(document: &KdlDocument, r: &mut Reader) -> Deployment {
    for n in document.nodes() {
        let name = n.name().value();
        if !TOP.contains(&name) && !KEPT.contains(&name) {
            let known: Vec<_> = TOP.iter().map(|k| format!("`{k}`")).collect();
            let help = Some(format!("known are {}", known.join(", ")));
            r.report("unknown-node", format!("`{name}` is no entry of a deployment"), n.name().span(), help);
        }
    }
    let all = |name: &'static str| entries(document, name);
    let named = |r: &mut Reader, kind: &'static str| names(r, all(kind));
    let zones = named(r, "zone");
    for n in all("zone") {
        r.only(n, 1, &[], &[]);
    }
    let plan_names = named(r, "plan");
    let host_names = named(r, "host");
    let server_names = named(r, "machine");
    named(r, "node");
    named(r, "stream-type");
    named(r, "volume");
    named(r, "pool");
    let request_classes: Vec<_> = all("stream-type").map(|n| request_class(r, n)).collect();
    let servers: Vec<_> = all("machine").map(|n| server(r, n)).collect();
    let hosts: Vec<_> = all("host")
        .map(|n| {
            r.only(n, 1, &["zone", "address", "listen"], &[]);
            place(r, n, &zones)
        })
        .collect();
    let nodes: Vec<_> = all("node").map(|n| node(r, n, &zones, &server_names)).collect();
    let single = |r: &mut Reader, kind: &'static str| single(r, document, kind);
    let mut late = Span::ZERO;
    let mut list =
        Place { name: "list".into(), zone: ZoneId(0), address: String::new(), listen: String::new() };
    if let Some(n) = single(r, "list") {
        r.only(n, 0, &["address", "listen", "late"], &[]);
        late = r.span_at(n, "late").unwrap_or_default();
        list.address = r.text_at(n, "address").unwrap_or_default();
        list.listen = r.text_at(n, "listen").unwrap_or_else(|| list.address.clone());
    }
    let mut config = SchedulerConfig {
        hosts: hosts.len() as u32,
        tick: Span::from_millis(20.0),
        max_attempts: 3,
        max_units: 8.0,
        share_part: 1.0,
        spare_part: 1.0,
        peer_messages_enabled: true,
        poll_endpoints: true,
        request_classes: request_classes.iter().map(|s| s.decisions.clone()).collect(),
        ..SchedulerConfig::default()
    };
    let mut unit = None;
    let mut drain_grace = Span::from_millis(1000.0);
    if let Some(n) = single(r, "rules") {
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
        unit = n.entry("unit").map(|_| r.bytes(n, "unit", 0).max(1) as f64);
        config.tick = r.span_at(n, "tick").unwrap_or(config.tick);
        drain_grace = r.span_at(n, "drain-grace").unwrap_or(drain_grace);
        config.order_settle = r.span_at(n, "order-settle").unwrap_or_default();
        config.max_units = r.number_at(n, "most-units", 0.0).unwrap_or(config.max_units);
        config.share_part = r.part_at(n, "share-part").unwrap_or(1.0);
        config.spare_part = r.part_at(n, "spare-part").unwrap_or(1.0);
        config.max_retry_after = r.span_at(n, "advice");
    }
    if let Some(n) = single(r, "cold") {
        r.only(n, 0, &["units", "window", "first-part", "ramp"], &[]);
        config.slow_start = SlowStart {
            units: r.number(n, "units", 0.0),
            window: r.span(n, "window"),
            initial_fraction: r.part(n, "first-part"),
            ramp: r.span(n, "ramp"),
        };
    }
    if let Some(n) = single(r, "legs") {
        r.only(n, 0, &["most", "free", "share", "window"], &[]);
        config.max_attempts = r.whole(n, "most", 1, 3);
        config.retry_budget = r.span_at(n, "window").map(|window| RetryBudget {
            free: r.number_at(n, "free", 0.0).unwrap_or_default(),
            share: r.part_at(n, "share").unwrap_or_default(),
            window,
        });
    }
    let bounds_node = single(r, "bounds");
    let bounds = bounds(r, bounds_node);
    // And the host's timers come up to a millisecond late.
    config.connect_wait = bounds.connect + Span::from_micros(2000);
    let plans: Vec<_> = all("plan").map(|n| plan(r, n, unit)).collect();
    config.plans = plans.iter().map(|p| p.decisions.clone()).collect();
    let fleet_node = single(r, "fleet");
    let fleet = crate::fleet::read(r, fleet_node, &hosts, config.tick);
    let maintenance_node = single(r, "works");
    let maintenance = crate::maintenance::read(r, maintenance_node, fleet.as_ref());
    let everyone: Arc<[HostId]> = (0..hosts.len() as u32).map(HostId).collect();
    let mut volumes = Vec::new();
    // A part too small for a largest request moves around where hosts settle it among themselves.
    let split = fleet.is_none();
    for n in all("volume") {
        let most = (config.max_units, split);
        volumes.push(volume(r, n, &plans, &plan_names, &host_names, &everyone, most));
    }
    together(r, document, &hosts, &volumes);
    config.max_bytes = bounds.frame.body as f64;
    let cross_zone_budgets: Vec<_> = all("crossing")
        .filter_map(|n| {
            crate::cross_zone_budgets::read(r, n, &zones, &plan_names, &hosts, &everyone, config.max_bytes)
        })
        .collect();
    crate::cross_zone_budgets::together(r, document, &cross_zone_budgets);
    let known = routes::Known {
        zones: &zones,
        request_classes: &request_classes,
        plans: &plans,
        volumes: &volumes,
        nodes: &nodes,
    };
    let routes = routes::read(document, r, &known);
    single(r, "revision");
    let place = revisions::read(document, r);
    let volumes_by_name = volumes.iter().enumerate().map(|(place, v)| (v.name.clone(), place)).collect();
    let built = Deployment {
        unit,
        routes,
        cross_zone_budgets,
        fleet,
        maintenance,
        place,
        line: Vec::new(),
        zones: zones.list().to_vec(),
        request_classes,
        plans,
        volumes,
        hosts,
        nodes,
        servers,
        list,
        list_late: late,
        drain_grace,
        bounds,
        config,
        volumes_by_name,
    };
    once(r, &built, document);
    crate::lints::check(&built, document, r);
    built
}

/// Top entries that are not about the deployment itself: the script of a day.
pub const KEPT: [&str; 1] = ["day"];

fn single<'a>(r: &mut Reader, document: &'a KdlDocument, kind: &'static str) -> Option<&'a KdlNode> {
    let mut found = entries(document, kind);
    let first = found.next();
    for second in found {
        r.report("twice", format!("a second `{kind}`"), second.name().span(), None);
    }
    first
}

fn together(r: &mut Reader, document: &KdlDocument, hosts: &[Place], volumes: &[NamedVolume]) {
    let top = document.span();
    for (missing, what) in [(hosts.is_empty(), "host"), (volumes.is_empty(), "volume")] {
        // Where a file could not be read, it is that.
        if missing && !r.unread() {
            r.report("missing", format!("a deployment needs a `{what}`"), (top.offset(), 0).into(), None);
        }
    }
}

/// Ids are hashes of names: two that fall together would be one to the decisions.
fn once(r: &mut Reader, d: &Deployment, document: &KdlDocument) {
    let volumes = d.volumes.iter().map(|v| ("volume", &v.name, v.id.0));
    let nodes = d.nodes.iter().map(|n| ("node", &n.place.name, node_id(&n.place.name).0));
    let mut seen: BTreeMap<(&str, u64), &String> = BTreeMap::new();
    for (kind, name, id) in volumes.chain(nodes) {
        if let Some(other) = seen.insert((kind, id), name).filter(|other| *other != name) {
            let message = format!("{kind} \"{name}\" and \"{other}\" have the same number: rename one");
            r.report("same-number", message, (document.span().offset(), 0).into(), None);
        }
    }
}

fn names<'a>(r: &mut Reader, nodes: impl Iterator<Item = &'a KdlNode>) -> Names {
    let mut names: Vec<String> = Vec::new();
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    for n in nodes {
        let name = r.text(n, 0, "a name");
        if let Some(place) = first.get(&name).filter(|_| !name.is_empty()) {
            r.twice(format!("a second `{}` \"{name}\"", n.name().value()), n.span(), *place);
        } else {
            first.insert(name.clone(), n.span().offset());
        }
        names.push(name);
    }
    names.into_iter().collect()
}

fn place(r: &mut Reader, n: &KdlNode, zones: &Names) -> Place {
    let address = r.text_at(n, "address").unwrap_or_default();
    let zone = if n.entry("zone").is_some() || !zones.list().is_empty() {
        r.refer_at(n, "zone", "zone", zones).unwrap_or_default()
    } else {
        0
    };
    let listen = r.text_at(n, "listen").unwrap_or_else(|| address.clone());
    Place { name: r.text(n, 0, "a name"), zone: ZoneId(zone), address, listen }
}

fn node(r: &mut Reader, n: &KdlNode, zones: &Names, servers: &Names) -> NodePlace {
    r.only(n, 1, &["cell", "zone", "kind", "address", "listen", "machine", "spare"], &[]);
    let server =
        if n.entry("machine").is_some() { r.refer_at(n, "machine", "machine", servers) } else { None };
    _ = r.number(n, "cell", 0.0);
    let shard = ShardId(i64::from(r.whole(n, "cell", 0, 0)));
    NodePlace {
        place: place(r, n, zones),
        shard,
        kind: r.text_at(n, "kind").unwrap_or_default(),
        server: server.unwrap_or_default(),
        spare: r.flag(n, "spare"),
    }
}

fn server(r: &mut Reader, n: &KdlNode) -> Server {
    let known = ["cores", "unit", "queue", "pause", "pause-every", "put-off", "flush-every", "falls-over"];
    r.only(n, 1, &known, &[]);
    Server {
        name: r.text(n, 0, "a name"),
        cores: r.whole(n, "cores", 1, 1),
        unit: r.span(n, "unit"),
        queue: r.whole(n, "queue", 0, 32),
        pause: r.span_at(n, "pause").unwrap_or_default(),
        pause_every: r.span_at(n, "pause-every").unwrap_or(Span::from_millis(5000.0)),
        put_off: r.part_at(n, "put-off").unwrap_or_default(),
        flush_every: r.span_at(n, "flush-every").unwrap_or(Span::from_millis(2000.0)),
        falls_over: r.number_at(n, "falls-over", 1.0).unwrap_or(2.0),
    }
}

fn request_class(r: &mut Reader, n: &KdlNode) -> NamedRequestClass {
    let known = ["effect", "group", "window", "slo", "expiry", "benefit", "late-part", "in-order", "write"];
    r.only(n, 1, &known, &[]);
    let keywords = [("repeatable", 0), ("keyed", 1), ("unrepeatable", 2)];
    let idempotency = match r.keyword(n, "effect", &keywords) {
        Some(1) => {
            let groups = [
                ("all", IdempotencyScope::All),
                ("zone", IdempotencyScope::Zone),
                ("cell", IdempotencyScope::Shard),
            ];
            let group = r.keyword(n, "group", &groups).unwrap_or(IdempotencyScope::Shard);
            Idempotency::WithKey { group, window: r.span(n, "window") }
        }
        Some(2) => Idempotency::NonIdempotent,
        _ => Idempotency::Idempotent,
    };
    for key in ["group", "window"] {
        if let (false, Some(e)) = (matches!(idempotency, Idempotency::WithKey { .. }), n.entry(key)) {
            let help = Some("write effect=\"keyed\", or take it out".into());
            r.report("contradiction", format!("`{key}` is for keyed stream types only"), e.span(), help);
        }
    }
    let (latency_objective, deadline) = (r.span(n, "slo"), r.span(n, "expiry"));
    if latency_objective > deadline {
        let help = Some("the client gives up at the expiry, after the answer was wanted".into());
        r.report("slo-past-expiry", "the SLO time is longer than the expiry".into(), n.span(), help);
    }
    let decisions = RequestClass {
        idempotency,
        latency_objective,
        priority_weight: r.number_at(n, "benefit", 0.0).unwrap_or(1.0),
        late_weight: r.part_at(n, "late-part").unwrap_or_default(),
        in_order: r.flag(n, "in-order"),
    };
    NamedRequestClass { name: r.text(n, 0, "a name"), write: r.flag(n, "write"), deadline, decisions }
}

fn plan(r: &mut Reader, n: &KdlNode, unit: Option<f64>) -> NamedPlan {
    r.only(n, 1, &["limit", "burst", "slack", "reserve", "usual", "weight", "price"], &[]);
    let reserve = r.rate_at(n, "reserve", 0.0, unit).unwrap_or_default();
    let before = r.reported();
    let limit = r.rate_at(n, "limit", f64::MIN_POSITIVE, unit);
    let limit = limit.map(|rate| {
        let burst = r.number(n, "burst", 0.0);
        Limit { rate, burst: if r.reported() > before { f64::INFINITY } else { burst } }
    });
    if let Some(l) = limit.filter(|l| l.rate < reserve) {
        let message = format!("the limit ({}) is under the reserve ({reserve})", l.rate);
        r.report("limit-under-reserve", message, n.span(), None);
    }
    let slack = r.number_at(n, "slack", 0.0);
    let decisions = Plan {
        limit,
        reserve,
        nominal_rate: r.rate_at(n, "usual", 0.0, unit).unwrap_or(reserve),
        weight: r.number_at(n, "weight", 0.0).unwrap_or(1.0),
        price: r.number_at(n, "price", 0.0).unwrap_or(1.0),
    };
    NamedPlan { name: r.text(n, 0, "a name"), slack: slack.unwrap_or_default(), decisions }
}

fn volume(
    r: &mut Reader,
    n: &KdlNode,
    plans: &[NamedPlan],
    plan_names: &Names,
    hosts: &Names,
    everyone: &Arc<[HostId]>,
    (max_units, split): (f64, bool),
) -> NamedVolume {
    r.only(n, 1, &["plan"], &["hosts"]);
    let name = r.text(n, 0, "a name");
    let plan = r.refer_at(n, "plan", "plan", plan_names).unwrap_or_default();
    let mut through = BTreeSet::new();
    for child in n.iter_children().filter(|c| c.name().value() == "hosts") {
        r.only(child, usize::MAX, &[], &[]);
        for e in child.entries() {
            let host = r.refer(e, "host", hosts).map(|h| HostId(h as u32));
            if host.is_some_and(|h| !through.insert(h)) {
                r.report("twice", "this host stands here twice".into(), e.span(), None);
            }
        }
    }
    // None stated: all of them.
    let through = if through.is_empty() { everyone.clone() } else { through.into_iter().collect() };
    if let Some(l) = plans.get(plan).and_then(|p| p.decisions.limit) {
        let least = 2.0 * max_units * if split { through.len() as f64 } else { 1.0 };
        if l.burst < least {
            let message = format!("the plan's burst of {} is too small for {} hosts", l.burst, through.len());
            let help = format!("each host's part must hold two of the largest transfers: {least} or more");
            r.report("burst-too-small", message, n.span(), Some(help));
        }
    }
    // Six bytes of the number travel in labels.
    let id = demand_report::carried(VolumeId(number(&name)));
    NamedVolume { name, id, plan: PlanId(plan), hosts: through }
}

fn bounds(r: &mut Reader, node: Option<&KdlNode>) -> HostBounds {
    let ms = Span::from_millis;
    let mut b = HostBounds {
        most_open: 8192,
        most_held: 256 << 20,
        frame: Bounds::DEFAULT,
        most_unsent: 4 << 20,
        client_stall: ms(10_000.0),
        connect: ms(250.0),
        redial: (ms(20.0), ms(2000.0)),
        clock_every: ms(1000.0),
        clock_apart: ms(2000.0),
    };
    let Some(n) = node else { return b };
    let known = [
        "open",
        "held-bytes",
        "body-bytes",
        "unsent-bytes",
        "client-stall",
        "connect",
        "redial-first",
        "redial-last",
        "clock-every",
        "clock-apart",
    ];
    r.only(n, 0, &known, &[]);
    b.most_open = r.whole(n, "open", 1, b.most_open);
    b.most_held = r.bytes(n, "held-bytes", b.most_held);
    b.frame.body = r.bytes(n, "body-bytes", b.frame.body);
    b.most_unsent = r.bytes(n, "unsent-bytes", b.most_unsent);
    for (key, at) in [
        ("client-stall", &mut b.client_stall),
        ("connect", &mut b.connect),
        ("redial-first", &mut b.redial.0),
        ("redial-last", &mut b.redial.1),
        ("clock-every", &mut b.clock_every),
        ("clock-apart", &mut b.clock_apart),
    ] {
        *at = r.span_at(n, key).unwrap_or(*at);
    }
    b
}
