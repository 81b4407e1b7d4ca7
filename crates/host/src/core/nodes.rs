//! The nodes, as the endpoint list and their own first frames describe them. Both sources report when a node
//! started, the list later than the node itself. Both name the incarnation, so this host keeps one start time
//! for each incarnation, whichever source reports it first. Otherwise a start that is reported twice would
//! look like two starts, and the second report would end a drain.

use super::ids::AttemptId;
use super::reconnect::OutboundConnection;
use gullsail_configuration::{Deployment, node_id};
use gullsail_fleet::rate_pacer::RatePacer;
use gullsail_protocol::{ListedEndpoint, ListedState};
use gullsail_scheduler_api::{
    Endpoint, EndpointState, Instant, NodeId, PoolId, ShardId, Span, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Incarnations remembered for a node: a report of an older start would look like a new one. The endpoint list is late
/// by a few restarts at most.
const MAX_INCARNATIONS: usize = 8;
/// How long a node that is gone is remembered: longer than by the scheduler, so that no start is reported to it twice.
const GONE_RETENTION: Span = Span::from_micros(120_000_000);

/// One node, as this host knows it.
///
/// It has more than twelve fields because three sources describe a node: the endpoint list, the node's own
/// first frames, and this host's connection to it.
#[derive(Debug)]
pub struct NodeRecord {
    /// Its name in the configuration or in the endpoint list.
    pub name: String,
    /// Where to connect; empty: not known yet.
    pub address: String,
    /// The shard that it holds.
    pub shard: ShardId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// Its kind. Pools are formed by it.
    pub kind: String,
    /// The pools that it belongs to, by its zone and kind.
    pub pools: Vec<PoolId>,
    /// Its state according to the endpoint list.
    pub state: EndpointState,
    /// This host's connection to it.
    pub connection: OutboundConnection,
    /// Nothing may be sent to it: it is offline for maintenance, or this host does not know whether it is.
    pub offline_or_unknown: bool,
    /// How often the node returned from that. The scheduler ends a drain only for a newer start, so each
    /// return is reported as a start one microsecond later.
    times_returned: i64,
    /// Paces new connections to it where the hosts share a limit on their rate.
    pub rate_pacer: RatePacer,
    /// Its incarnation according to its first frame on its newest connection.
    pub incarnation: Option<u64>,
    /// When each incarnation started, as first reported.
    starts: VecDeque<NodeStart>,
    /// When the endpoint list first called it gone.
    gone_since: Option<Instant>,
    /// Attempts that wait for the connection.
    pub pending: BTreeSet<AttemptId>,
}

/// The start of one process of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStart {
    /// Which process.
    pub incarnation: u64,
    /// When; `None`: not known.
    pub at: Option<Instant>,
}

/// The process behind a node's first frame, compared with the one that identified itself before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeProcess {
    /// No process of this node has identified itself before.
    First,
    /// The same process as before.
    Same,
    /// Another process than before.
    Restarted,
}

/// What a node's first frame on a connection says of the node.
#[derive(Debug)]
pub struct IdentifiedNode {
    /// The node's state for the scheduler.
    pub endpoint: Endpoint,
    /// Whether the node restarted.
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
            times_returned: 0,
            rate_pacer: RatePacer::default(),
            incarnation: None,
            starts: VecDeque::new(),
            gone_since: None,
            pending: BTreeSet::new(),
        }
    }

    /// Remembers a start that was reported. Returns when it was first reported to have happened; `None`: the
    /// incarnation is not known.
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

    /// How many starts are remembered.
    pub fn starts(&self) -> usize {
        self.starts.len()
    }

    /// Nothing may be sent to it from now on, or something again.
    pub fn set_offline_or_unknown(&mut self, offline_or_unknown: bool) {
        self.times_returned += i64::from(self.offline_or_unknown && !offline_or_unknown);
        self.offline_or_unknown = offline_or_unknown;
    }

    /// The newest start that was reported.
    pub fn newest_start(&self) -> NodeStart {
        self.starts.back().copied().unwrap_or_default()
    }

    /// Its state for the scheduler.
    pub fn entry(&self, id: NodeId, started: Option<Instant>) -> Endpoint {
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

    /// The start that is reported to the scheduler. It is left out while the node may be offline: an unknown
    /// state must not look like a start.
    fn reported_start(&self, started: Option<Instant>) -> Option<Instant> {
        if self.offline_or_unknown {
            None
        } else if self.times_returned == 0 {
            started
        } else {
            Some(started.unwrap_or_default() + Span::from_micros(self.times_returned))
        }
    }
}

/// All nodes that one host knows.
#[derive(Debug, Default)]
pub struct Nodes {
    all: BTreeMap<NodeId, NodeRecord>,
}

impl Nodes {
    /// The nodes of the configuration, except spares.
    pub fn from_document(deployment: &Deployment) -> Nodes {
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

    /// A node, by its id.
    pub fn get(&mut self, id: NodeId) -> Option<&mut NodeRecord> {
        self.all.get_mut(&id)
    }

    /// All nodes, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &NodeRecord)> {
        self.all.iter().map(|(id, node)| (*id, node))
    }

    /// Takes in an update of the endpoint list. Returns the endpoints in it, for the scheduler. `snapshot`: nodes
    /// that are not in it are gone.
    pub fn listed(
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
            .map(|listed| self.listed_endpoint(listed, deployment, now))
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

    fn listed_endpoint(
        &mut self,
        listed: ListedEndpoint,
        deployment: &Deployment,
        now: Instant,
    ) -> Endpoint {
        let id = node_id(&listed.name);
        let shard = ShardId(listed.shard);
        let zones = &deployment.zones;
        let zone = zones.iter().position(|zone| *zone == listed.zone);
        // A zone that the configuration does not have is different from all that it has.
        let zone = ZoneId(zone.unwrap_or(usize::MAX));
        let state = match ListedState::try_from(listed.state) {
            Ok(ListedState::Ready) => EndpointState::Ready,
            Ok(ListedState::Gone) => EndpointState::Gone,
            // A state of a newer version may be anything but ready.
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
        node.entry(id, started)
    }

    /// Takes in a node's first frame on a connection, which makes its start certain. `None`: the node is
    /// forgotten.
    pub fn identified(
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
            endpoint: node.entry(id, started),
            process,
        })
    }

    /// Another configuration has other pools: all nodes as they are now, for the scheduler.
    pub fn reassign_pools(&mut self, deployment: &Deployment) -> Vec<Endpoint> {
        for node in self.all.values_mut() {
            node.pools = deployment.routes.pools_of(node.zone, &node.kind);
        }
        self.all
            .iter()
            .map(|(id, node)| node.entry(*id, node.newest_start().at))
            .collect()
    }

    /// The shards that two or more ready nodes hold, with the nodes' names. This is expected only while one
    /// node replaces another.
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

    /// Forgets nodes that are long gone and that nothing here needs.
    pub fn forget(&mut self, now: Instant) {
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
