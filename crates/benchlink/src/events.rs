//! Translates the bench's events to the scheduler's.

use crate::error::AdapterError;
use crate::wire::{Entry, WireEvent};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, Endpoint, EndpointState, Event, HostId, Instant, NodeId, ObjectId,
    PlanId, PoolId, Request, RequestClassId, RequestId, SchedulerConfig, ShardId, Span, TimerId,
    UpdateKind, VolumeId, ZoneId,
};
use gullsail_scheduler_settings::{RawSettings, hash};
use std::collections::BTreeMap;

/// The names that the ids of one instance stand for: those in its settings, and those of the nodes listed so far.
#[derive(Default)]
pub struct Names {
    /// Names of zones, plans and request classes.
    pub settings: gullsail_scheduler_settings::Names,
    nodes: BTreeMap<NodeId, String>,
}

impl Names {
    /// The bench's name of a node.
    pub fn node(&self, node: NodeId) -> Option<&str> {
        self.nodes.get(&node).map(String::as_str)
    }
}

/// Makes the configuration of an instance and its names.
///
/// # Errors
/// The settings are invalid.
pub fn config(settings: &RawSettings) -> Result<(SchedulerConfig, Names), AdapterError> {
    let (config, settings) = gullsail_scheduler_settings::config(settings)
        .map_err(|problem| AdapterError::Settings(problem.to_string()))?;
    Ok((
        config,
        Names {
            settings,
            nodes: BTreeMap::new(),
        },
    ))
}

/// Translates an event to the scheduler's; `None`: the event does not concern the scheduler.
///
/// # Errors
/// The event refers to an unknown endpoint list, or holds an unknown word or a malformed encoding.
pub fn translate(
    event: WireEvent,
    names: &mut Names,
    pages: &BTreeMap<u64, Vec<Entry>>,
) -> Result<Option<Event>, AdapterError> {
    Ok(Some(match event {
        WireEvent::Start { .. }
        | WireEvent::Page { .. }
        | WireEvent::Detach { .. }
        | WireEvent::Unknown => return Ok(None),
        WireEvent::Fleet { table, mode, .. } => endpoint_list(table, &mode, names, pages)?,
        WireEvent::Accept { .. } => return Ok(request(event, names).map(Event::RequestArrived)),
        WireEvent::Timer { name, .. } => Event::Timer(TimerId(name)),
        WireEvent::Dropped { id, .. } => Event::ClientDisconnected(RequestId(id)),
        WireEvent::PeerMessage { src, octets, .. } => Event::PeerMessage {
            from: HostId(src),
            bytes: BASE64.decode(&octets)?,
        },
        WireEvent::Resolved { .. } => return Ok(attempt_end(event)?.map(Event::AttemptEnded)),
        WireEvent::AckFirst {
            id, node, spent, ..
        } => Event::ResponseStarted {
            id: RequestId(id),
            node: NodeId(hash(&node)),
            latency: Span::from_millis(spent),
        },
    }))
}

fn endpoint_list(
    table: u64,
    mode: &str,
    names: &mut Names,
    pages: &BTreeMap<u64, Vec<Entry>>,
) -> Result<Event, AdapterError> {
    if mode == "lost" {
        return Ok(Event::EndpointListLost);
    }
    let page = pages.get(&table).ok_or(AdapterError::Page(table))?;
    let entries = page
        .iter()
        .filter_map(|entry| endpoint(entry, names))
        .collect();
    let update_kind = match mode {
        "incr" => UpdateKind::Delta,
        "total" => UpdateKind::Snapshot,
        "warm_copy" => UpdateKind::StaleSnapshot,
        other => return Err(AdapterError::Mode(other.to_string())),
    };
    Ok(Event::EndpointList {
        update_kind,
        entries,
    })
}

/// Reads the end of an attempt; `None`: the event is another one.
fn attempt_end(event: WireEvent) -> Result<Option<AttemptEnd>, AdapterError> {
    let WireEvent::Resolved {
        id,
        spent,
        attempt,
        state_code,
        node,
        complete,
        metered,
        ..
    } = event
    else {
        return Ok(None);
    };
    // The protocol sends one more than the percentage, so that 0 means unknown.
    let used_percent = metered.checked_sub(1);
    Ok(Some(AttemptEnd {
        id: RequestId(id),
        attempt,
        node: NodeId(hash(&node)),
        outcome: outcome(&state_code)?,
        latency: Span::from_millis(spent),
        finished: complete,
        used: used_percent.map(|percent| f64::from(percent) / 100.0),
        zone: ZoneId::default(),
        bytes: 0.0,
    }))
}

/// Reads a request; `None`: the event is another one.
fn request(event: WireEvent, names: &Names) -> Option<Request> {
    let WireEvent::Accept {
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
    } = event
    else {
        return None;
    };
    Some(Request {
        id: RequestId(id),
        // The scheduler rejects requests of classes and plans that the settings do not name.
        request_class: names
            .settings
            .request_class(&profile)
            .unwrap_or(RequestClassId(usize::MAX)),
        plan: names.settings.plan(&grade).unwrap_or(PlanId(usize::MAX)),
        volume: VolumeId(hash(&store_user)),
        units: quota_units,
        shard: (lies_in >= 0).then_some(ShardId(lies_in)),
        object: object.map(|name| ObjectId(hash(&name))),
        timeout: Span::from_millis(timeout),
        volume_hosts: mounts,
        pool: PoolId::ALL,
        bytes: 0.0,
    })
}

/// Reads an entry of an endpoint list; `None`: the node's health is an unknown word, so its last known entry stays.
fn endpoint(entry: &Entry, names: &mut Names) -> Option<Endpoint> {
    let node = NodeId(hash(&entry.node));
    names
        .nodes
        .entry(node)
        .or_insert_with(|| entry.node.clone());
    let state = match entry.health.as_str() {
        "Ready" => EndpointState::Ready,
        "Terminating" => EndpointState::Draining,
        "Gone" => EndpointState::Gone,
        _ => return None,
    };
    Some(Endpoint {
        node,
        shard: ShardId(entry.group),
        zone: names.settings.zone(&entry.region_part),
        state,
        started: (entry.online_since > 0.0).then_some(Instant::from_millis(entry.online_since)),
        pools: Vec::new(),
    })
}

fn outcome(state_code: &str) -> Result<AttemptOutcome, AdapterError> {
    Ok(match state_code {
        "delivered" => AttemptOutcome::Succeeded,
        "app_error" => AttemptOutcome::Failed,
        "shed" => AttemptOutcome::Rejected,
        "dial_failed" => AttemptOutcome::Unreachable,
        "unused" => AttemptOutcome::NotSent,
        "expired" => AttemptOutcome::TimedOut,
        "dropped" => AttemptOutcome::ConnectionLost,
        "revoked" => AttemptOutcome::Cancelled,
        other => return Err(AdapterError::StateCode(other.to_string())),
    })
}
