//! The nodes, by the endpoint list and by their own first frames. Both sources report when a node started,
//! the list later than the node itself. Both name the incarnation, so that one start has one point in time
//! here, whichever source reports it first; otherwise a start reported twice would look like two, and the
//! second report would end a drain.

use super::reconnect::OutboundConnection;
use super::requests::AttemptId;
use gullsail_configuration::{Deployment, node_id};
use gullsail_fleet::rate_pacer::RatePacer;
use gullsail_protocol::{ListedEndpoint, ListedState};
use gullsail_scheduler_api::{
    Endpoint, EndpointState, Instant, NodeId, PoolId, ShardId, Span, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Incarnations remembered for a node: the list is late by a few restarts at most.
const REMEMBERED: usize = 8;
/// Longer than the scheduler remembers a node that is gone: the same start must not be reported to it again.
const FORGET: Span = Span::from_micros(120_000_000);

/// One node, as this host knows it.
#[derive(Debug)]
pub struct NodeSide {
    /// Its name in the configuration or in the endpoint list.
    pub name: String,
    /// Where to connect; empty: not known yet.
    pub address: String,
    /// The shard that it holds.
    pub shard: ShardId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// Its kind, by which pools are formed.
    pub kind: String,
    /// The pools that it belongs to, by its zone and kind.
    pub pools: Vec<PoolId>,
    /// By the endpoint list.
    pub state: EndpointState,
    /// This host's connection to it.
    pub connection: OutboundConnection,
    /// Nothing may be sent to it: it is offline for maintenance, or this host does not know whether it is.
    pub barred: bool,
    /// How often that ended: the scheduler ends a drain for a newer start only, so each time counts as a
    /// start that is a microsecond later.
    times_unbarred: i64,
    /// New connections to it, where hosts share out how many.
    pub rate_pacer: RatePacer,
    /// By its first frame on its newest connection.
    pub incarnation: Option<u64>,
    /// When each incarnation started, as first reported.
    starts: VecDeque<NodeStart>,
    /// Since when the list calls it gone.
    gone: Option<Instant>,
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

/// What a node's first frame brought.
#[derive(Debug)]
pub struct Greeted {
    /// The node's state for the scheduler.
    pub endpoint: Endpoint,
    /// It is another process than before.
    pub restarted: bool,
}

impl NodeSide {
    fn new(name: String, shard: ShardId, zone: ZoneId, state: EndpointState) -> NodeSide {
        NodeSide {
            name,
            address: String::new(),
            shard,
            zone,
            kind: String::new(),
            pools: Vec::new(),
            state,
            connection: OutboundConnection::default(),
            barred: false,
            times_unbarred: 0,
            rate_pacer: RatePacer::default(),
            incarnation: None,
            starts: VecDeque::new(),
            gone: None,
            pending: BTreeSet::new(),
        }
    }

    fn start(&mut self, incarnation: u64, age: Span, now: Instant) -> Option<Instant> {
        if incarnation == 0 {
            return None;
        }
        if let Some(start) = self.starts.iter().find(|s| s.incarnation == incarnation) {
            return start.at;
        }
        let start = Some(now - age.max(Span::ZERO));
        self.starts.push_back(NodeStart {
            incarnation,
            at: start,
        });
        if self.starts.len() > REMEMBERED {
            self.starts.pop_front();
        }
        start
    }

    /// How many starts are remembered.
    pub fn starts(&self) -> usize {
        self.starts.len()
    }

    /// Nothing may be sent to it from now on, or something again.
    pub fn bar(&mut self, barred: bool) {
        self.times_unbarred += i64::from(self.barred && !barred);
        self.barred = barred;
    }

    /// The newest start that was reported.
    pub fn newest_start(&self) -> NodeStart {
        self.starts.back().copied().unwrap_or_default()
    }

    /// Its state for the scheduler.
    pub fn entry(&self, id: NodeId, started: Option<Instant>) -> Endpoint {
        let since = |started: Option<Instant>| {
            started.unwrap_or_default() + Span::from_micros(self.times_unbarred)
        };
        Endpoint {
            node: id,
            shard: self.shard,
            zone: self.zone,
            state: if self.barred {
                self.state.max(EndpointState::Draining)
            } else {
                self.state
            },
            // What is not known of it yet must not look like a start that it had.
            started: match (self.barred, self.times_unbarred) {
                (true, _) => None,
                (false, 0) => started,
                (false, _) => Some(since(started)),
            },
            pools: self.pools.clone(),
        }
    }
}

/// All nodes that one host knows.
#[derive(Debug, Default)]
pub struct Nodes {
    all: BTreeMap<NodeId, NodeSide>,
}

impl Nodes {
    /// The nodes of the configuration, but for spares.
    pub fn from_document(d: &Deployment) -> Nodes {
        let side = |n: &gullsail_configuration::NodePlace| NodeSide {
            address: n.place.address.clone(),
            kind: n.kind.clone(),
            pools: d.routes.pools_of(n.place.zone, &n.kind),
            ..NodeSide::new(
                n.place.name.clone(),
                n.shard,
                n.place.zone,
                EndpointState::Ready,
            )
        };
        Nodes {
            all: d
                .nodes
                .iter()
                .filter(|n| !n.spare)
                .map(|n| (node_id(&n.place.name), side(n)))
                .collect(),
        }
    }

    /// A node, by its id.
    pub fn get(&mut self, id: NodeId) -> Option<&mut NodeSide> {
        self.all.get_mut(&id)
    }

    /// All nodes, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &NodeSide)> {
        self.all.iter().map(|(id, n)| (*id, n))
    }

    /// Takes in an update of the endpoint list; returns the nodes of it for the scheduler.
    pub fn listed(
        &mut self,
        whole: bool,
        update: Vec<ListedEndpoint>,
        d: &Deployment,
        now: Instant,
    ) -> Vec<Endpoint> {
        let named: BTreeSet<NodeId> = update.iter().map(|e| node_id(&e.name)).collect();
        if whole {
            let missing = self.all.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, n)| n.state = EndpointState::Gone);
        }
        let mut entries = Vec::with_capacity(update.len());
        for e in update {
            let id = node_id(&e.name);
            let zone = ZoneId(
                d.zones
                    .iter()
                    .position(|z| *z == e.zone)
                    .unwrap_or(usize::MAX),
            );
            let state = match ListedState::try_from(e.state) {
                Ok(ListedState::Ready) => EndpointState::Ready,
                Ok(ListedState::Gone) => EndpointState::Gone,
                // A state of a newer version: whatever it is, it is not plainly ready.
                Ok(ListedState::Draining) | Err(_) => EndpointState::Draining,
            };
            let shard = ShardId(e.shard);
            let side = self
                .all
                .entry(id)
                .or_insert_with(|| NodeSide::new(e.name.clone(), shard, zone, state));
            side.address = e.address;
            side.shard = shard;
            side.zone = zone;
            side.state = state;
            side.pools = d.routes.pools_of(zone, &e.kind);
            side.kind = e.kind;
            let started = side.start(e.incarnation, Span::from_micros(e.age_us), now);
            entries.push(side.entry(id, started));
        }
        entries
    }

    /// A node's first frame on a connection: its start is certain now. `None`: the node is forgotten.
    pub fn greeted(
        &mut self,
        id: NodeId,
        incarnation: u64,
        age: Span,
        now: Instant,
    ) -> Option<Greeted> {
        let side = self.all.get_mut(&id)?;
        let started = side.start(incarnation, age, now);
        let restarted = side
            .incarnation
            .replace(incarnation)
            .is_some_and(|before| before != incarnation);
        Some(Greeted {
            endpoint: side.entry(id, started),
            restarted,
        })
    }

    /// Another configuration has other pools: all nodes as they are now, for the scheduler.
    pub fn reassign_pools(&mut self, d: &Deployment) -> Vec<Endpoint> {
        for n in self.all.values_mut() {
            n.pools = d.routes.pools_of(n.zone, &n.kind);
        }
        self.all
            .iter()
            .map(|(id, n)| n.entry(*id, n.newest_start().at))
            .collect()
    }

    /// Ready nodes that hold the same shard as another, which only a hand-over explains.
    pub fn duplicate_shards(&self) -> BTreeMap<ShardId, Vec<&str>> {
        let mut shards: BTreeMap<ShardId, Vec<&str>> = BTreeMap::new();
        for n in self
            .all
            .values()
            .filter(|n| n.state == EndpointState::Ready)
        {
            shards.entry(n.shard).or_default().push(&n.name);
        }
        shards.retain(|_, nodes| nodes.len() > 1);
        shards
    }

    /// Forgets nodes that are long gone and that nothing here needs.
    pub fn forget(&mut self, now: Instant) {
        for n in self.all.values_mut() {
            n.gone = (n.state == EndpointState::Gone).then(|| n.gone.unwrap_or(now));
        }
        let needed = |n: &NodeSide| !n.pending.is_empty() || n.connection.link().is_some();
        self.all
            .retain(|_, n| needed(n) || n.gone.is_none_or(|since| now - since <= FORGET));
    }
}
