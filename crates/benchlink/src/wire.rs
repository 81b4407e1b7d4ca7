//! The wire's shapes and their translation to and from gullsail's words.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use gullsail_scheduler_api::*;
use gullsail_scheduler_settings::{Stated, hash};
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
    #[serde(default = "new_object")]
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
        boot_info: Box<Stated>,
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
        #[serde(rename = "ttl")]
        timeout: f64,
        #[serde(default)]
        grade: String,
        #[serde(default)]
        profile: String,
        #[serde(default)]
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

/// The wire's names of one instance: those of the settings, and the nodes met so far.
#[derive(Default)]
pub struct Names {
    stated: gullsail_scheduler_settings::Names,
    nodes: BTreeMap<NodeId, String>,
}

pub fn config(b: &Stated) -> Result<(SchedulerConfig, Names), String> {
    let (config, stated) = gullsail_scheduler_settings::config(b).map_err(|e| e.to_string())?;
    Ok((config, Names { stated, nodes: BTreeMap::new() }))
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
                return Ok(Some(Event::EndpointListLost));
            }
            let page = pages.get(&table).ok_or_else(|| format!("unknown page {table}"))?;
            let entries = page.iter().filter_map(|n| entry(n, names)).collect();
            let update_kind = match mode.as_str() {
                "incr" => UpdateKind::Delta,
                "total" => UpdateKind::Snapshot,
                "warm_copy" => UpdateKind::StaleSnapshot,
                other => return Err(format!("unknown mode '{other}'")),
            };
            Event::EndpointList { update_kind, entries }
        }
        WireEvent::Accept {
            id,
            quota_units,
            timeout,
            grade,
            profile,
            store_user,
            lies_in,
            object,
            mounts,
            ..
        } => Event::RequestArrived(Request {
            id: RequestId(id),
            // What no settings state is answered by the module at once.
            request_class: names.stated.request_class(&profile).unwrap_or(RequestClassId(usize::MAX)),
            plan: names.stated.plan(&grade).unwrap_or(PlanId(usize::MAX)),
            volume: VolumeId(hash(&store_user)),
            units: quota_units,
            shard: (lies_in >= 0).then_some(ShardId(lies_in)),
            object: object.map(|o| ObjectId(hash(&o))),
            timeout: Span::from_millis(timeout),
            volume_hosts: mounts,
            pool: PoolId::ALL,
            bytes: 0.0,
        }),
        WireEvent::Timer { name, .. } => Event::Timer(TimerId(name)),
        WireEvent::Dropped { id, .. } => Event::ClientDisconnected(RequestId(id)),
        WireEvent::Heard { src, octets, .. } => {
            let bytes = BASE64.decode(&octets).map_err(|e| format!("octets are not base64: {e}"))?;
            Event::PeerMessage { from: HostId(src), bytes }
        }
        WireEvent::Resolved { id, spent, attempt, state_code, node, complete, metered, .. } => {
            Event::AttemptEnded(AttemptEnd {
                id: RequestId(id),
                attempt,
                node: NodeId(hash(&node)),
                outcome: outcome(&state_code)?,
                latency: Span::from_millis(spent),
                finished: complete,
                used: metered.checked_sub(1).map(|percent| f64::from(percent) / 100.0),
                zone: ZoneId::default(),
                bytes: 0.0,
            })
        }
        WireEvent::AckFirst { id, node, spent, .. } => Event::ResponseStarted {
            id: RequestId(id),
            node: NodeId(hash(&node)),
            latency: Span::from_millis(spent),
        },
    }))
}

/// `None`: its health is a word that is not known, so what was known of it stays.
fn entry(n: &Entry, names: &mut Names) -> Option<Endpoint> {
    let node = NodeId(hash(&n.node));
    names.nodes.entry(node).or_insert_with(|| n.node.clone());
    Some(Endpoint {
        node,
        shard: ShardId(n.group),
        zone: names.stated.zone(&n.region_part),
        state: match n.health.as_str() {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Gone,
            _ => return None,
        },
        started: (n.online_since > 0.0).then_some(Instant::from_millis(n.online_since)),
        pools: Vec::new(),
    })
}

fn outcome(code: &str) -> Result<AttemptOutcome, String> {
    Ok(match code {
        "delivered" => AttemptOutcome::Succeeded,
        "app_error" => AttemptOutcome::Failed,
        "shed" => AttemptOutcome::Rejected,
        "dial_failed" => AttemptOutcome::Unreachable,
        "unused" => AttemptOutcome::NotSent,
        "expired" => AttemptOutcome::TimedOut,
        "dropped" => AttemptOutcome::ConnectionLost,
        "revoked" => AttemptOutcome::Cancelled,
        other => return Err(format!("unknown state-code '{other}'")),
    })
}

/// `None`: nothing that the bench is told.
pub fn action(host: u64, a: Action, names: &Names) -> Option<Value> {
    Some(match a {
        // Facts from here state no budgets between zones.
        Action::BudgetOverrun { .. } => return None,
        Action::StartAttempt { id, node, time_out } => json!({
            "type": "PassOn", "host": host, "id": id.0, "node": names.nodes.get(&node),
            "give-up-after": time_out.map(Span::millis),
        }),
        Action::Reject { id, retry_after } => json!({
            "type": "NotNow", "host": host, "id": id.0, "retry-after": retry_after.map(Span::millis),
        }),
        Action::Fail { id } => json!({ "type": "Surrender", "host": host, "id": id.0 }),
        Action::WatchEndpoints => json!({ "type": "StreamChanges", "host": host, "enable": true }),
        Action::SetTimer { id, at } => {
            json!({ "type": "Defer", "host": host, "due-at": at.millis(), "name": id.0 })
        }
        Action::SendToPeer { to, bytes } => {
            json!({ "type": "Post", "host": host, "whom": to.0, "octets": BASE64.encode(bytes) })
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The bench's adapter and the platform's host make the same facts and ids of the same settings.
    #[test]
    fn both_routes_make_the_same_config_and_ids() {
        let settings = r#"{"clients":{"marks-retry":false},"failure-domains":["a","b"],"family":"stores",
            "family-info":{"cold-units":15.0,"idle-worth":0.08,"max-units":8,"slots-total":9,"within-share":0.35,
            "writes":[false,true]},"limits":{"connect-timeout":250.0,"keepalive":15000.0,"max-attempts":4,
            "max-retry-after":1000.0,"peer-messages":true,"retry-after":true},"membership-mode":"ask","peers-total":3,
            "policies":[{"limit":38.0,"limit-burst":50.0,"name":"base","nominal":6.4,"parts":1.0,"reserve":0.0,
            "value-factor":0.96},{"name":"best","nominal":16.0,"parts":2.0,"reserve":19.0,"value-factor":1.5}],
            "profiles":[{"effect":"pure","give-up":1200.0,"group":"all","late-value":0.1,"name":"r","objective":150.0,
            "worth":2.0},{"effect":"token","give-up":1200.0,"group":"cell","window":5000.0,"name":"w",
            "objective":200.0,"serial-by-key":true}],"rank":2,
            "rules":{"free-resends":3.0,"extra-per-request":0.1,"look-back":5000.0,"overload-for":1500.0,
            "ramp-time":17000.0,"start-capacity":0.17,"order-settle":100.0},"tick":2.0}"#;
        let born = format!(r#"{{"type":"Born","host":1,"rng-seed":9,"boot-info":{settings}}}"#);
        let Ok(WireEvent::Born { boot_info, .. }) = serde_json::from_str(&born) else { panic!("{born}") };
        let (here, names) = config(&boot_info).unwrap();
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"x:1","limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
            "settings":{settings}}}"#
        );
        let d = gullsail_platform::settings_document::SettingsDocument::parse("d", &text).unwrap();
        // A attempt can wait for its connection on sockets alone.
        let there = SchedulerConfig { connect_wait: Span::ZERO, ..d.config.clone() };
        assert_eq!((format!("{here:?}"), &names.stated), (format!("{there:?}"), &d.names));
        assert_eq!(d.config.connect_wait, Span::from_millis(250.0));
        let (volume, object) = ("00000003b4d60021", "7f3a9c21e0b4d655");
        let accept = format!(
            r#"{{"type":"Accept","host":1,"id":5,"quota-units":2,"ttl":900.0,"grade":"best","profile":"w",
            "store-user":"{volume}","lies-in":3,"object":"{object}","mounts":3}}"#
        );
        let mut names = names;
        let Ok(Some(Event::RequestArrived(here))) =
            event(serde_json::from_str(&accept).unwrap(), &mut names, &BTreeMap::new())
        else {
            panic!("{accept}")
        };
        let mut decoder = gullsail_http::Decoder::requests(gullsail_platform::core::BOUNDS);
        decoder.feed(
            format!(
                "PUT /w/{volume}/{object} HTTP/1.1\r\nHost: h\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\nX-Qos: w\r\n\
                 X-Storage-Class: best\r\nX-Expires-In-Ms: 900\r\nX-Extent: units=2,shard=3,hosts=3\r\n\
                 Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
            )
            .as_bytes(),
        );
        let m = decoder.take().unwrap().unwrap();
        let asked =
            gullsail_platform::core::request_parser::parse(&m, &d.names, &d.config, &d.reach).unwrap();
        let there = Request { id: RequestId(5), ..asked.request };
        assert_eq!(format!("{here:?}"), format!("{there:?}"));
    }
}
