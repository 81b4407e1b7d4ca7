//! The wire's shapes and their translation to and from gullsail's words.

use std::collections::BTreeMap;
use std::hash::Hasher;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use gullsail_interface::*;
use serde::Deserialize;
use serde_json::{Value, json};

#[derive(Deserialize)]
pub struct Batch {
    pub t: f64,
    pub arrivals: Vec<WireEvent>,
}

#[derive(Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    group: i64,
    health: String,
    node: String,
    #[serde(default)]
    region_part: String,
    #[serde(default)]
    online_since: f64,
}

#[derive(Deserialize)]
#[serde(tag = "type")]
pub enum WireEvent {
    #[serde(rename_all = "kebab-case")]
    Born {
        host: u64,
        rng_seed: u64,
        boot_info: Box<BootInfo>,
    },
    Page {
        table: u64,
        #[serde(default)]
        hosts: Vec<Entry>,
    },
    Fleet {
        host: u64,
        #[serde(default)]
        table: u64,
        mode: String,
    },
    #[serde(rename_all = "kebab-case")]
    Accept {
        host: u64,
        id: u64,
        quota_units: f64,
        ttl: f64,
        grade: String,
        profile: String,
        store_user: String,
        #[serde(default = "new_object")]
        lies_in: i64,
        #[serde(default)]
        object: Option<String>,
        #[serde(default)]
        mounts: u32,
    },
    Timer {
        host: u64,
        name: u64,
    },
    Dropped {
        host: u64,
        id: u64,
    },
    Detach {
        host: u64,
    },
    Heard {
        host: u64,
        src: u32,
        octets: String,
    },
    #[serde(rename_all = "kebab-case")]
    Resolved {
        host: u64,
        id: u64,
        #[serde(default)]
        spent: f64,
        #[serde(default)]
        attempt: u32,
        state_code: String,
        node: String,
        #[serde(default)]
        complete: bool,
        #[serde(default)]
        metered: u32,
    },
    AckFirst {
        host: u64,
        id: u64,
        node: String,
        #[serde(default)]
        spent: f64,
    },
    #[serde(other)]
    Unknown,
}

fn new_object() -> i64 {
    -1
}

impl WireEvent {
    /// The instance it is for; `None`: all of the process, or unknown.
    pub fn host(&self) -> Option<u64> {
        match *self {
            WireEvent::Born { host, .. }
            | WireEvent::Fleet { host, .. }
            | WireEvent::Accept { host, .. }
            | WireEvent::Timer { host, .. }
            | WireEvent::Dropped { host, .. }
            | WireEvent::Detach { host }
            | WireEvent::Heard { host, .. }
            | WireEvent::Resolved { host, .. }
            | WireEvent::AckFirst { host, .. } => Some(host),
            WireEvent::Page { .. } | WireEvent::Unknown => None,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BootInfo {
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    family_info: FamilyInfo,
    limits: Limits,
    membership_mode: String,
    peers_total: u32,
    #[serde(default)]
    policies: Vec<Policy>,
    profiles: Vec<Profile>,
    rank: u32,
    rules: Rules,
    tick: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct FamilyInfo {
    cold_units: f64,
    max_units: f64,
    within_share: f64,
    idle_worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Limits {
    max_attempts: u32,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Policy {
    name: String,
    #[serde(default)]
    limit: f64,
    #[serde(default)]
    limit_burst: f64,
    #[serde(default)]
    parts: f64,
    #[serde(default)]
    reserve: f64,
    #[serde(default)]
    nominal: f64,
    #[serde(default = "whole")]
    value_factor: f64,
}

fn whole() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Profile {
    name: String,
    effect: String,
    /// Required by the wire; a transfer's own `ttl` is what decides.
    #[serde(rename = "give-up")]
    _give_up: f64,
    objective: f64,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default = "whole")]
    worth: f64,
    #[serde(default)]
    serial_by_key: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    #[serde(default)]
    overload_for: f64,
    #[serde(default)]
    start_capacity: f64,
    #[serde(default)]
    ramp_time: f64,
    #[serde(default)]
    order_settle: f64,
    free_resends: Option<f64>,
    extra_per_request: Option<f64>,
    look_back: Option<f64>,
}

/// The wire's names of one instance, each with its number in the interface.
#[derive(Default)]
pub struct Names {
    zones: Vec<String>,
    plans: Vec<String>,
    stream_types: Vec<String>,
    nodes: BTreeMap<NodeId, String>,
}

/// Ids must be the same at every host and in every process, so they are hashes of the names.
fn hash(name: &str) -> u64 {
    let mut h = fnv::FnvHasher::default();
    h.write(name.as_bytes());
    h.finish()
}

fn place(list: &[String], name: &str, what: &str) -> Result<usize, String> {
    list.iter().position(|n| n == name).ok_or_else(|| format!("unknown {what} '{name}'"))
}

pub fn facts(b: Box<BootInfo>) -> Result<(Facts, Names), String> {
    let stream_types = b.profiles.iter().map(stream_type).collect::<Result<_, _>>()?;
    let plans = b.policies.iter().map(|p| Plan {
        limit: (p.limit > 0.0).then_some(Limit { rate: p.limit, burst: p.limit_burst }),
        reserve: p.reserve,
        usual: p.nominal,
        weight: p.parts,
        price: p.value_factor,
    });
    let leg_budget = match (b.rules.free_resends, b.rules.extra_per_request, b.rules.look_back) {
        (free, share, Some(window)) => Some(LegBudget {
            free: free.unwrap_or(0.0),
            share: share.unwrap_or(0.0),
            window: Span::from_millis(window),
        }),
        _ => None,
    };
    let facts = Facts {
        me: HostId(b.rank),
        hosts: b.peers_total,
        tick: Span::from_millis(b.tick),
        stream_types,
        plans: plans.collect(),
        cold: ColdStart {
            units: b.family_info.cold_units,
            window: Span::from_millis(b.rules.overload_for),
            first_part: b.rules.start_capacity,
            ramp: Span::from_millis(b.rules.ramp_time),
        },
        leg_budget,
        leg_wait: Span::ZERO,
        order_settle: Span::from_millis(b.rules.order_settle),
        most_legs: b.limits.max_attempts,
        most_units: b.family_info.max_units,
        share_part: b.family_info.within_share,
        spare_part: b.family_info.idle_worth,
        longest_advice: b.limits.retry_after.then_some(Span::from_millis(b.limits.max_retry_after)),
        peers_talk: b.limits.peer_messages,
        list_asked: b.membership_mode == "ask",
        zone: None,
        crossings: Vec::new(),
        most_bytes: 0.0,
    };
    let names = Names {
        zones: b.failure_domains,
        plans: b.policies.into_iter().map(|p| p.name).collect(),
        stream_types: b.profiles.into_iter().map(|p| p.name).collect(),
        nodes: BTreeMap::new(),
    };
    Ok((facts, names))
}

fn stream_type(p: &Profile) -> Result<StreamType, String> {
    let group = || match p.group.as_str() {
        "all" => Ok(Group::All),
        "zone" => Ok(Group::Zone),
        "cell" => Ok(Group::Cell),
        other => Err(format!("unknown group '{other}'")),
    };
    let effect = match p.effect.as_str() {
        "pure" => Effect::Repeatable,
        "token" => Effect::Keyed { group: group()?, window: Span::from_millis(p.window) },
        "side_effect" => Effect::Unrepeatable,
        other => return Err(format!("unknown effect '{other}'")),
    };
    Ok(StreamType {
        effect,
        slo_time: Span::from_millis(p.objective),
        benefit: p.worth,
        late_part: p.late_value,
        in_order: p.serial_by_key,
    })
}

/// The event in the interface's words; `None`: it concerns no decision.
pub fn event(
    e: WireEvent,
    names: &mut Names,
    pages: &BTreeMap<u64, Vec<Entry>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match e {
        WireEvent::Born { .. } | WireEvent::Page { .. } | WireEvent::Detach { .. } | WireEvent::Unknown => {
            return Ok(None);
        }
        WireEvent::Fleet { table, mode, .. } => {
            if mode == "lost" {
                return Ok(Some(Event::ListLost));
            }
            let page = pages.get(&table).ok_or_else(|| format!("unknown page {table}"))?;
            let entries = page.iter().map(|n| entry(n, names)).collect::<Result<_, _>>()?;
            let extent = match mode.as_str() {
                "incr" => Extent::Changes,
                "total" => Extent::Whole,
                "warm_copy" => Extent::Remembered,
                other => return Err(format!("unknown mode '{other}'")),
            };
            Event::List { extent, entries }
        }
        WireEvent::Accept {
            id,
            quota_units,
            ttl,
            grade,
            profile,
            store_user,
            lies_in,
            object,
            mounts,
            ..
        } => Event::Arrived(Transfer {
            id: TransferId(id),
            stream_type: StreamTypeId(place(&names.stream_types, &profile, "profile")?),
            plan: PlanId(place(&names.plans, &grade, "grade")?),
            volume: VolumeId(hash(&store_user)),
            units: quota_units,
            cell: (lies_in >= 0).then_some(CellId(lies_in)),
            object: object.map(|o| ObjectId(hash(&o))),
            ttl: Span::from_millis(ttl),
            volume_hosts: mounts,
            pool: PoolId::ALL,
            bytes: 0.0,
        }),
        WireEvent::Timer { name, .. } => Event::Timer(TimerId(name)),
        WireEvent::Dropped { id, .. } => Event::ClientLeft(TransferId(id)),
        WireEvent::Heard { src, octets, .. } => {
            let bytes = BASE64.decode(&octets).map_err(|e| format!("octets are not base64: {e}"))?;
            Event::PeerSaid { from: HostId(src), bytes }
        }
        WireEvent::Resolved { id, spent, attempt, state_code, node, complete, metered, .. } => {
            Event::LegEnded(LegEnd {
                id: TransferId(id),
                leg: attempt,
                node: NodeId(hash(&node)),
                ending: ending(&state_code)?,
                took: Span::from_millis(spent),
                finished: complete,
                used: metered.checked_sub(1).map(|percent| f64::from(percent) / 100.0),
                zone: ZoneId::default(),
                bytes: 0.0,
            })
        }
        WireEvent::AckFirst { id, node, spent, .. } => Event::StreamBegan {
            id: TransferId(id),
            node: NodeId(hash(&node)),
            took: Span::from_millis(spent),
        },
    }))
}

fn entry(n: &Entry, names: &mut Names) -> Result<NodeEntry, String> {
    let node = NodeId(hash(&n.node));
    names.nodes.entry(node).or_insert_with(|| n.node.clone());
    let zone = names.zones.iter().position(|z| *z == n.region_part).unwrap_or(usize::MAX);
    Ok(NodeEntry {
        node,
        cell: CellId(n.group),
        zone: ZoneId(zone),
        standing: match n.health.as_str() {
            "Ready" => Standing::Ready,
            "Terminating" => Standing::Draining,
            "Gone" => Standing::Gone,
            other => return Err(format!("unknown health '{other}'")),
        },
        started: (n.online_since > 0.0).then_some(Instant::from_millis(n.online_since)),
        pools: Vec::new(),
    })
}

fn ending(code: &str) -> Result<Ending, String> {
    Ok(match code {
        "delivered" => Ending::Done,
        "app_error" => Ending::Failed,
        "shed" => Ending::TurnedAway,
        "dial_failed" => Ending::Unreached,
        "unused" => Ending::Unsent,
        "expired" => Ending::TimedOut,
        "dropped" => Ending::Broken,
        "revoked" => Ending::Cancelled,
        other => return Err(format!("unknown state-code '{other}'")),
    })
}

/// `None`: nothing that the bench is told.
pub fn action(host: u64, a: Action, names: &Names) -> Option<Value> {
    Some(match a {
        // Facts from here state no budgets between zones.
        Action::Past { .. } => return None,
        Action::Leg { id, node, time_out } => json!({
            "type": "PassOn", "host": host, "id": id.0, "node": names.nodes.get(&node),
            "give-up-after": time_out.map(Span::millis),
        }),
        Action::Defer { id, come_back } => json!({
            "type": "NotNow", "host": host, "id": id.0, "retry-after": come_back.map(Span::millis),
        }),
        Action::Abandon { id } => json!({ "type": "Surrender", "host": host, "id": id.0 }),
        Action::Watch => json!({ "type": "StreamChanges", "host": host, "enable": true }),
        Action::Timer { id, at } => {
            json!({ "type": "Defer", "host": host, "due-at": at.millis(), "name": id.0 })
        }
        Action::Tell { to, bytes } => {
            json!({ "type": "Post", "host": host, "whom": to.0, "octets": BASE64.encode(bytes) })
        }
    })
}
