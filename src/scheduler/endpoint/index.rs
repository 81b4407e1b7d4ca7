//! Index of the ready endpoints by pool and by shard, with the last reported capacity of each, and the
//! endpoints chosen for the next new object of each pool.

use crate::scheduler::messages::EndpointCapacity;
use gullsail_scheduler_api::{Endpoint, EndpointState, Instant, NodeId, PoolId, ShardId, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How long requests for a destination without ready endpoints wait for a replacement, from the last report that
/// an endpoint of this destination is draining or gone. A shorter time rejects requests during a restart; a longer
/// one lets requests wait that no endpoint will serve.
const REPLACEMENT_WINDOW: Span = Span::from_micros(60_000_000);

/// The endpoints that can serve a request: those that hold a shard, or, for a new object, all endpoints of a
/// pool.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Destination {
    Pool(PoolId),
    Shard(ShardId),
}

/// An endpoint that was chosen for the next new object of a pool. Ordered by node first, so that all choices of
/// one node form a range.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PoolChoice {
    node: NodeId,
    pool: PoolId,
}

/// The ready endpoints, and the recent times at which destinations had an endpoint that was not ready.
#[derive(Default)]
pub(crate) struct EndpointIndex {
    capacities: BTreeMap<NodeId, EndpointCapacity>,
    by_pool: BTreeMap<PoolId, Vec<NodeId>>,
    by_shard: BTreeMap<ShardId, BTreeSet<NodeId>>,
    choices: BTreeSet<PoolChoice>,
    /// Destinations of endpoints that were reported as draining or gone, with the time of the last such report.
    last_unready_at: BTreeMap<Destination, Instant>,
}

/// The number of entries in each collection of the index.
pub(crate) struct EndpointIndexSizes {
    pub(crate) capacities: usize,
    pub(crate) pool_members: usize,
    pub(crate) shards: usize,
    pub(crate) choices: usize,
    pub(crate) unready_destinations: usize,
}

impl EndpointIndex {
    /// Stores the reported capacity of an endpoint. Returns true if the endpoint is ready and was not indexed
    /// before, or was indexed with another shard or other pools; the caller then adds it to its pools.
    pub(crate) fn update(&mut self, capacity: &EndpointCapacity, now: Instant) -> bool {
        let entry = &capacity.entry;
        let ready = entry.state == EndpointState::Ready;
        if !ready {
            self.record_unready(entry, now);
        }
        let is_reassigned = |old: &Endpoint| old.shard != entry.shard || old.pools != entry.pools;
        let outdated = self
            .capacities
            .get(&entry.node)
            .is_some_and(|old| !ready || is_reassigned(&old.entry));
        if outdated {
            self.remove(entry.node);
        }
        if !ready {
            return false;
        }
        let previous = self.capacities.insert(entry.node, capacity.clone());
        if previous.is_some() {
            return false;
        }
        let shard_nodes = self.by_shard.entry(entry.shard).or_default();
        shard_nodes.insert(entry.node);
        true
    }

    fn record_unready(&mut self, entry: &Endpoint, now: Instant) {
        for pool in pools(entry) {
            self.last_unready_at.insert(Destination::Pool(pool), now);
        }
        let shard = Destination::Shard(entry.shard);
        self.last_unready_at.insert(shard, now);
    }

    /// Adds a newly ready endpoint to a pool.
    pub(crate) fn add_to_pool(&mut self, pool: PoolId, node: NodeId) {
        self.by_pool.entry(pool).or_default().push(node);
    }

    fn remove(&mut self, id: NodeId) {
        let Some(old) = self.capacities.remove(&id) else {
            return;
        };
        if let Some(nodes) = self.by_shard.get_mut(&old.entry.shard) {
            nodes.remove(&id);
        }
        self.by_shard.retain(|_, nodes| !nodes.is_empty());
        for nodes in self.by_pool.values_mut() {
            nodes.retain(|other| *other != id);
        }
        self.choices.retain(|choice| choice.node != id);
    }

    /// Records that the next new object of `pool` should be sent to `node`.
    pub(crate) fn choose(&mut self, node: NodeId, pool: PoolId) {
        self.choices.insert(PoolChoice { node, pool });
    }

    /// Removes and returns the pools for which an endpoint was chosen.
    pub(crate) fn take_choices(&mut self, node: NodeId) -> Vec<PoolId> {
        let first = PoolChoice {
            node,
            pool: PoolId::ALL,
        };
        let last = PoolChoice {
            node,
            pool: PoolId::LAST,
        };
        let choices = self.choices.extract_if(first..=last, |_| true);
        choices.map(|choice| choice.pool).collect()
    }

    /// The last reported capacity of an endpoint; `None` if it is not ready.
    pub(crate) fn capacity(&self, node: NodeId) -> Option<&EndpointCapacity> {
        self.capacities.get(&node)
    }

    pub(crate) fn nodes_of_shard(&self, shard: ShardId) -> impl Iterator<Item = NodeId> {
        self.by_shard.get(&shard).into_iter().flatten().copied()
    }

    /// The ready endpoints of a pool, in the order in which they became ready.
    pub(crate) fn nodes_of_pool(&self, pool: PoolId) -> &[NodeId] {
        self.by_pool.get(&pool).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn capacities_of_pool(
        &self,
        pool: PoolId,
    ) -> impl Iterator<Item = &EndpointCapacity> {
        let nodes = self.nodes_of_pool(pool).iter();
        nodes.map(|node| &self.capacities[node])
    }

    /// Whether no ready endpoint serves a destination and no replacement is expected any more. Requests for it
    /// should not wait.
    pub(crate) fn is_unreachable(&self, destination: Destination, now: Instant) -> bool {
        let none_ready = match destination {
            Destination::Shard(shard) => !self.by_shard.contains_key(&shard),
            Destination::Pool(pool) => self.nodes_of_pool(pool).is_empty(),
        };
        let last_unready_at = self.last_unready_at.get(&destination);
        none_ready && last_unready_at.is_none_or(|at| now - *at > REPLACEMENT_WINDOW)
    }

    /// Removes the destinations for which no replacement is expected any more.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.last_unready_at
            .retain(|_, at| now - *at <= REPLACEMENT_WINDOW);
    }

    /// The lowest expected latency among a shard's ready endpoints; zero for a pool and for a shard without
    /// ready endpoints.
    pub(crate) fn least_latency(&self, destination: Destination) -> Span {
        let Destination::Shard(shard) = destination else {
            return Span::ZERO;
        };
        let nodes = self.nodes_of_shard(shard);
        let latencies = nodes.map(|node| self.capacities[&node].latency);
        latencies.min().unwrap_or(Span::ZERO)
    }

    /// Number of shards that have a ready endpoint.
    pub(crate) fn shard_count(&self) -> usize {
        self.by_shard.len()
    }

    pub(crate) fn sizes(&self) -> EndpointIndexSizes {
        EndpointIndexSizes {
            capacities: self.capacities.len(),
            pool_members: self.by_pool.values().map(Vec::len).sum(),
            shards: self.by_shard.len(),
            choices: self.choices.len(),
            unready_destinations: self.last_unready_at.len(),
        }
    }
}

/// All pools of an endpoint, with the pool of all endpoints first.
pub(crate) fn pools(entry: &Endpoint) -> impl Iterator<Item = PoolId> {
    [PoolId::ALL].into_iter().chain(entry.pools.iter().copied())
}
