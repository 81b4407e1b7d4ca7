//! The nodes as the list and their own first frames tell of them. Two sources name starts: the list, late, and
//! a node itself. Both name the incarnation, so that one start has one point in time here, whoever told it
//! first; else a start told twice would look like two, and a drain would be taken back by the second telling.

use super::dial::Dial;
use super::requests::AttemptId;
use gullsail_configuration::{Deployment, node_id};
use gullsail_fleet::rate_pacer::RatePacer;
use gullsail_protocol::{ListedEndpoint, ListedState};
use gullsail_scheduler_api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Incarnations remembered for a node: the list is late by a few restarts at most.
const REMEMBERED: usize = 8;
/// Longer than the decisions remember a node that is gone: the same start must not be told to them anew.
const FORGET: Span = Span::from_micros(120_000_000);

#[derive(Debug)]
pub struct NodeSide {
    pub name: String,
    pub address: String,
    pub shard: ShardId,
    pub zone: ZoneId,
    pub kind: String,
    /// By its zone and kind.
    pub pools: Vec<PoolId>,
    pub state: EndpointState,
    pub dial: Dial,
    /// Nothing may be sent to it: it is out for work, or this host does not know whether it is.
    pub barred: bool,
    /// How often that ended: the decisions take a standing back for a newer start only, so each time counts as one by a
    /// microsecond.
    again: i64,
    /// New connections to it, where hosts share out how many.
    pub rate_pacer: RatePacer,
    /// As it said on its newest connection.
    pub incarnation: Option<u64>,
    /// When each incarnation started, as first told.
    starts: VecDeque<(u64, Option<Instant>)>,
    /// Since when the list calls it gone.
    gone: Option<Instant>,
    /// Attempts that wait for the connection.
    pub pending: BTreeSet<AttemptId>,
}

impl NodeSide {
    fn start(&mut self, incarnation: u64, age: Span, now: Instant) -> Option<Instant> {
        if incarnation == 0 {
            return None;
        }
        if let Some((_, start)) = self.starts.iter().find(|s| s.0 == incarnation) {
            return *start;
        }
        let start = Some(now - age.max(Span::ZERO));
        self.starts.push_back((incarnation, start));
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
        self.again += i64::from(self.barred && !barred);
        self.barred = barred;
    }

    /// The newest start that was told, and of which process.
    pub fn newest(&self) -> (u64, Option<Instant>) {
        self.starts.back().copied().unwrap_or_default()
    }

    pub fn entry(&self, id: NodeId, started: Option<Instant>) -> Endpoint {
        let since = |started: Option<Instant>| started.unwrap_or_default() + Span::from_micros(self.again);
        Endpoint {
            node: id,
            shard: self.shard,
            zone: self.zone,
            state: if self.barred { self.state.max(EndpointState::Draining) } else { self.state },
            // What is not known of it yet must not look like a start that it had.
            started: match (self.barred, self.again) {
                (true, _) => None,
                (false, 0) => started,
                (false, _) => Some(since(started)),
            },
            pools: self.pools.clone(),
        }
    }
}

#[derive(Debug, Default)]
pub struct Nodes {
    all: BTreeMap<NodeId, NodeSide>,
}

impl Nodes {
    pub fn from_document(d: &Deployment) -> Nodes {
        let side = |n: &gullsail_configuration::NodePlace| NodeSide {
            name: n.place.name.clone(),
            address: n.place.address.clone(),
            shard: n.shard,
            zone: n.place.zone,
            kind: n.kind.clone(),
            pools: d.routes.pools_of(n.place.zone, &n.kind),
            state: EndpointState::Ready,
            dial: Dial::default(),
            barred: false,
            again: 0,
            rate_pacer: RatePacer::default(),
            incarnation: None,
            starts: VecDeque::new(),
            gone: None,
            pending: BTreeSet::new(),
        };
        Nodes {
            all: d.nodes.iter().filter(|n| !n.spare).map(|n| (node_id(&n.place.name), side(n))).collect(),
        }
    }

    pub fn get(&mut self, id: NodeId) -> Option<&mut NodeSide> {
        self.all.get_mut(&id)
    }
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &NodeSide)> {
        self.all.iter().map(|(id, n)| (*id, n))
    }

    /// What the list tells, as entries for the decisions.
    pub fn listed(
        &mut self,
        whole: bool,
        news: Vec<ListedEndpoint>,
        d: &Deployment,
        now: Instant,
    ) -> Vec<Endpoint> {
        let named: BTreeSet<NodeId> = news.iter().map(|e| node_id(&e.name)).collect();
        if whole {
            let missing = self.all.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, n)| n.state = EndpointState::Gone);
        }
        let mut entries = Vec::with_capacity(news.len());
        for e in news {
            let id = node_id(&e.name);
            let zone = ZoneId(d.zones.iter().position(|z| *z == e.zone).unwrap_or(usize::MAX));
            let state = match ListedState::try_from(e.state) {
                Ok(ListedState::Ready) => EndpointState::Ready,
                Ok(ListedState::Gone) => EndpointState::Gone,
                // A standing of a newer version: whatever it is, it is not plainly ready.
                Ok(ListedState::Draining) | Err(_) => EndpointState::Draining,
            };
            let side = self.all.entry(id).or_insert_with(|| NodeSide {
                name: e.name.clone(),
                address: String::new(),
                shard: ShardId(e.shard),
                zone,
                kind: String::new(),
                pools: Vec::new(),
                state,
                dial: Dial::default(),
                barred: false,
                again: 0,
                rate_pacer: RatePacer::default(),
                incarnation: None,
                starts: VecDeque::new(),
                gone: None,
                pending: BTreeSet::new(),
            });
            (side.address, side.shard, side.zone, side.state) = (e.address, ShardId(e.shard), zone, state);
            (side.kind, side.pools) = (e.kind.clone(), d.routes.pools_of(zone, &e.kind));
            let started = side.start(e.incarnation, Span::from_micros(e.age_us), now);
            entries.push(side.entry(id, started));
        }
        entries
    }

    /// A node's first frame on a connection: its start is certain now. `true`: another process than before.
    pub fn greeted(
        &mut self,
        id: NodeId,
        incarnation: u64,
        age: Span,
        now: Instant,
    ) -> Option<(Endpoint, bool)> {
        let side = self.all.get_mut(&id)?;
        let started = side.start(incarnation, age, now);
        let another = side.incarnation.replace(incarnation).is_some_and(|before| before != incarnation);
        Some((side.entry(id, started), another))
    }

    /// Another document has other pools: all entries as they are now, told anew.
    pub fn sort(&mut self, d: &Deployment) -> Vec<Endpoint> {
        for n in self.all.values_mut() {
            n.pools = d.routes.pools_of(n.zone, &n.kind);
        }
        self.all.iter().map(|(id, n)| n.entry(*id, n.starts.back().and_then(|s| s.1))).collect()
    }

    /// Ready nodes that hold the same shard as another, which only a hand-over explains.
    pub fn shards_twice(&self) -> Vec<(ShardId, Vec<&str>)> {
        let mut shards: BTreeMap<ShardId, Vec<&str>> = BTreeMap::new();
        for n in self.all.values().filter(|n| n.state == EndpointState::Ready) {
            shards.entry(n.shard).or_default().push(&n.name);
        }
        shards.into_iter().filter(|c| c.1.len() > 1).collect()
    }

    /// Forgets nodes that are long gone and that nothing here needs.
    pub fn forget(&mut self, now: Instant) {
        for n in self.all.values_mut() {
            n.gone = (n.state == EndpointState::Gone).then(|| n.gone.unwrap_or(now));
        }
        let needed = |n: &NodeSide| !n.pending.is_empty() || n.dial.link().is_some();
        self.all.retain(|_, n| needed(n) || n.gone.is_none_or(|since| now - since <= FORGET));
    }
}
