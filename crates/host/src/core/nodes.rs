//! The nodes, as the endpoint list and their own first frames describe them. Both sources report when a node
//! started, the list later than the node. Both name the incarnation, a number that differs between the processes of
//! a node. So this host keeps one start time for each incarnation, from the source that reports it first.
//! Otherwise a start that is reported twice would look like two starts, and the scheduler would end a drain at the
//! second report.

use super::ids::AttemptId;
use super::reconnect::OutboundConnection;
use gullsail_configuration::{Deployment, node_id};
use gullsail_fleet::rate_pacer::RatePacer;
use gullsail_protocol::{ListedEndpoint, ListedState};
use gullsail_scheduler_api::{
    Endpoint, EndpointState, Instant, NodeId, PoolId, ShardId, Span, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Incarnations remembered for each node. A late report of a forgotten incarnation would look like a new start; the
/// endpoint list is late by a few restarts at most.
const MAX_INCARNATIONS: usize = 8;
/// How long the record of a node that is gone is kept: 120 s. The scheduler forgets the node sooner, so no start is
/// reported to the scheduler twice.
const GONE_RETENTION: Span = Span::from_micros(120_000_000);

/// One node, as this host knows it.
///
/// It has more than twelve fields because three sources describe a node: the endpoint list, the node's own
/// first frames, and this host's connection to it.
#[derive(Debug)]
pub struct NodeRecord {
    /// The node's name in the configuration or in the endpoint list.
    pub name: String,
    /// The address to connect to; empty: not known yet.
    pub address: String,
    /// The shard that the node holds.
    pub shard: ShardId,
    /// The zone that the node is in.
    pub zone: ZoneId,
    /// The node's kind, as named by the configuration or the endpoint list. Pools select nodes by it.
    pub kind: String,
    /// The pools that the node belongs to, by its zone and kind.
    pub pools: Vec<PoolId>,
    /// The node's state according to the endpoint list.
    pub state: EndpointState,
    /// This host's connection to the node.
    pub connection: OutboundConnection,
    /// Nothing may be sent to the node: it is offline for maintenance, or this host does not know whether it is.
    pub offline_or_unknown: bool,
    /// How often `offline_or_unknown` changed back to false. The scheduler ends a drain only for a newer start, so
    /// each return is reported as a start one microsecond later than the one before.
    return_count: i64,
    /// Paces new connections to the node where the hosts share a limit on their rate.
    pub rate_pacer: RatePacer,
    /// The incarnation that the node last gave in its first frame; `None`: it has not identified itself.
    pub incarnation: Option<u64>,
    /// The start of each remembered incarnation, in the order in which they were first reported.
    starts: VecDeque<NodeStart>,
    /// The first sweep at which the node was gone; `None`: it was not gone at the last sweep.
    gone_since: Option<Instant>,
    /// Attempts that wait for the connection.
    pub pending: BTreeSet<AttemptId>,
}

/// The start of one process of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStart {
    /// The process's incarnation; 0: not known.
    pub incarnation: u64,
    /// When the process started, by this host's clock; `None`: not known.
    pub at: Option<Instant>,
}

/// The process behind a node's first frame, compared with the one that identified itself before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeProcess {
    /// No process of this node has identified itself before.
    First,
    /// The same process as before.
    Same,
    /// Another process than before: the node restarted.
    Restarted,
}

/// A node after its first frame on a connection.
#[derive(Debug)]
pub struct IdentifiedNode {
    /// The node as the scheduler sees it.
    pub endpoint: Endpoint,
    /// Whether the process is the same as on the connection before.
    pub process: NodeProcess,
}

impl NodeRecord {
    fn new(name: String, shard: ShardId, zone: ZoneId, state: EndpointState) -> NodeRecord {
        NodeRecord {
            name,
            address: String::new(),
            shard,
            zone,
            kind: String::new(),
            pools: Vec::new(),
            state,
            connection: OutboundConnection::default(),
            offline_or_unknown: false,
            return_count: 0,
            rate_pacer: RatePacer::default(),
            incarnation: None,
            starts: VecDeque::new(),
            gone_since: None,
            pending: BTreeSet::new(),
        }
    }

    /// Records a reported start of a process that has been running for `age`. Returns the start time according to the
    /// first report of this incarnation. `incarnation` 0: it is not known, and `None` is returned.
    fn record_start(&mut self, incarnation: u64, age: Span, now: Instant) -> Option<Instant> {
        if incarnation == 0 {
            return None;
        }
        if let Some(start) = self
            .starts
            .iter()
            .find(|start| start.incarnation == incarnation)
        {
            return start.at;
        }
        let start = Some(now - age.max(Span::ZERO));
        self.starts.push_back(NodeStart {
            incarnation,
            at: start,
        });
        if self.starts.len() > MAX_INCARNATIONS {
            self.starts.pop_front();
        }
        start
    }

    /// Returns the number of starts that are remembered.
    pub fn start_count(&self) -> usize {
        self.starts.len()
    }

    /// Sets whether the node must not be sent to, because it is offline or may be.
    pub fn set_offline_or_unknown(&mut self, offline_or_unknown: bool) {
        self.return_count += i64::from(self.offline_or_unknown && !offline_or_unknown);
        self.offline_or_unknown = offline_or_unknown;
    }

    /// Returns the start of the incarnation that was reported last; incarnation 0 if none was.
    pub fn newest_start(&self) -> NodeStart {
        self.starts.back().copied().unwrap_or_default()
    }

    /// Returns the node as the scheduler sees it. `started`: when it started; `None`: not known.
    pub fn endpoint(&self, id: NodeId, started: Option<Instant>) -> Endpoint {
        let state = if self.offline_or_unknown {
            self.state.max(EndpointState::Draining)
        } else {
            self.state
        };
        Endpoint {
            node: id,
            shard: self.shard,
            zone: self.zone,
            state,
            started: self.reported_start(started),
            pools: self.pools.clone(),
        }
    }

    /// Returns the start time that is reported to the scheduler. `None` while the node may be offline: an unknown
    /// state must not look like a start.
    fn reported_start(&self, started: Option<Instant>) -> Option<Instant> {
        if self.offline_or_unknown {
            None
        } else if self.return_count == 0 {
            started
        } else {
            Some(started.unwrap_or_default() + Span::from_micros(self.return_count))
        }
    }
}

/// The records of all nodes that one host knows.
#[derive(Debug, Default)]
pub struct Nodes {
    all: BTreeMap<NodeId, NodeRecord>,
}

impl Nodes {
    /// Creates the records of the nodes in the configuration, except spares.
    pub fn from_deployment(deployment: &Deployment) -> Nodes {
        let record = |configured: &gullsail_configuration::NodePlace| {
            let place = &configured.place;
            let name = place.name.clone();
            NodeRecord {
                address: place.address.clone(),
                kind: configured.kind.clone(),
                pools: deployment.routes.pools_of(place.zone, &configured.kind),
                ..NodeRecord::new(name, configured.shard, place.zone, EndpointState::Ready)
            }
        };
        let in_use = deployment.nodes.iter().filter(|node| !node.spare);
        Nodes {
            all: in_use
                .map(|node| (node_id(&node.place.name), record(node)))
                .collect(),
        }
    }

    /// Returns the record of a node; `None`: the node is not known.
    pub fn get(&mut self, id: NodeId) -> Option<&mut NodeRecord> {
        self.all.get_mut(&id)
    }

    /// Returns all nodes, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &NodeRecord)> {
        self.all.iter().map(|(id, node)| (*id, node))
    }

    /// Applies an update of the endpoint list. Returns the endpoints in it, for the scheduler. `snapshot`: the
    /// update is complete, so nodes that it does not name are gone.
    pub fn apply_list_update(
        &mut self,
        snapshot: bool,
        update: Vec<ListedEndpoint>,
        deployment: &Deployment,
        now: Instant,
    ) -> Vec<Endpoint> {
        if snapshot {
            self.mark_unlisted_gone(&update);
        }
        let listed = update.into_iter();
        listed
            .map(|listed| self.apply_listed_endpoint(listed, deployment, now))
            .collect()
    }

    fn mark_unlisted_gone(&mut self, update: &[ListedEndpoint]) {
        let named: BTreeSet<NodeId> = update.iter().map(|listed| node_id(&listed.name)).collect();
        for (id, node) in &mut self.all {
            if !named.contains(id) {
                node.state = EndpointState::Gone;
            }
        }
    }

    fn apply_listed_endpoint(
        &mut self,
        listed: ListedEndpoint,
        deployment: &Deployment,
        now: Instant,
    ) -> Endpoint {
        let id = node_id(&listed.name);
        let shard = ShardId(listed.shard);
        let zones = &deployment.zones;
        let zone = zones.iter().position(|zone| *zone == listed.zone);
        // A zone that the configuration does not name is treated as different from all that it names.
        let zone = ZoneId(zone.unwrap_or(usize::MAX));
        let state = match ListedState::try_from(listed.state) {
            Ok(ListedState::Ready) => EndpointState::Ready,
            Ok(ListedState::Gone) => EndpointState::Gone,
            // A state that only a newer version defines is treated as draining, so no attempts are sent.
            Ok(ListedState::Draining) | Err(_) => EndpointState::Draining,
        };
        let node = self
            .all
            .entry(id)
            .or_insert_with(|| NodeRecord::new(listed.name, shard, zone, state));
        node.address = listed.address;
        node.shard = shard;
        node.zone = zone;
        node.state = state;
        node.pools = deployment.routes.pools_of(zone, &listed.kind);
        node.kind = listed.kind;
        let age = Span::from_micros(listed.age_us);
        let started = node.record_start(listed.incarnation, age, now);
        node.endpoint(id, started)
    }

    /// Records a node's first frame on a connection: its incarnation and how long the process has been running
    /// (`age`). `None`: the node's record was removed.
    pub fn record_identification(
        &mut self,
        id: NodeId,
        incarnation: u64,
        age: Span,
        now: Instant,
    ) -> Option<IdentifiedNode> {
        let node = self.all.get_mut(&id)?;
        let started = node.record_start(incarnation, age, now);
        let process = match node.incarnation.replace(incarnation) {
            None => NodeProcess::First,
            Some(before) if before == incarnation => NodeProcess::Same,
            Some(_) => NodeProcess::Restarted,
        };
        Some(IdentifiedNode {
            endpoint: node.endpoint(id, started),
            process,
        })
    }

    /// Assigns all nodes to the pools of a new configuration. Returns all nodes as the scheduler sees them.
    pub fn reassign_pools(&mut self, deployment: &Deployment) -> Vec<Endpoint> {
        for node in self.all.values_mut() {
            node.pools = deployment.routes.pools_of(node.zone, &node.kind);
        }
        self.all
            .iter()
            .map(|(id, node)| node.endpoint(*id, node.newest_start().at))
            .collect()
    }

    /// Returns the shards that two or more ready nodes hold, with the nodes' names. This is expected only while
    /// one node replaces another.
    pub fn duplicate_shards(&self) -> BTreeMap<ShardId, Vec<&str>> {
        let mut shards: BTreeMap<ShardId, Vec<&str>> = BTreeMap::new();
        for node in self.all.values() {
            if node.state == EndpointState::Ready {
                shards.entry(node.shard).or_default().push(&node.name);
            }
        }
        shards.retain(|_, nodes| nodes.len() > 1);
        shards
    }

    /// Removes the records of nodes that have been gone for more than two minutes, unless an attempt waits for the
    /// node or it has a connection.
    pub fn forget_gone(&mut self, now: Instant) {
        for node in self.all.values_mut() {
            node.gone_since =
                (node.state == EndpointState::Gone).then(|| node.gone_since.unwrap_or(now));
        }
        let is_needed =
            |node: &NodeRecord| !node.pending.is_empty() || node.connection.link().is_some();
        let is_recent = |node: &NodeRecord| {
            node.gone_since
                .is_none_or(|since| now - since <= GONE_RETENTION)
        };
        self.all
            .retain(|_, node| is_needed(node) || is_recent(node));
    }
}
