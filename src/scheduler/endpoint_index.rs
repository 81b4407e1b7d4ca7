//! Index of the endpoints that are ready, by pool and by shard, with the last capacity that each reported.
//! Kept for `dispatch`; nothing is decided here.

use super::messages::EndpointCapacity;
use super::queue::Destination;
use gullsail_scheduler_api::{Endpoint, EndpointState, Instant, NodeId, PoolId, ShardId, Span};
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint that was drawn for the next new object of a pool.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DrawnEndpoint {
    pub(super) node: NodeId,
    pub(super) pool: PoolId,
}

#[derive(Default)]
pub(super) struct EndpointIndex {
    pub(super) capacities: BTreeMap<NodeId, EndpointCapacity>,
    pub(super) by_pool: BTreeMap<PoolId, Vec<NodeId>>,
    pub(super) by_shard: BTreeMap<ShardId, BTreeSet<NodeId>>,
    pub(super) drawn: BTreeSet<DrawnEndpoint>,
    /// Where a listed endpoint was not ready, and when that was last seen.
    pub(super) last_unavailable: BTreeMap<Destination, Instant>,
}

impl EndpointIndex {
    /// Takes in what an endpoint reported. True: it is newly ready and belongs into its pools.
    pub(super) fn update(&mut self, capacity: &EndpointCapacity, now: Instant) -> bool {
        let entry = &capacity.entry;
        let ready = entry.state == EndpointState::Ready;
        if !ready {
            for pool in pools(entry) {
                self.last_unavailable.insert(Destination::Pool(pool), now);
            }
            self.last_unavailable
                .insert(Destination::Shard(entry.shard), now);
        }
        let moved = |old: &Endpoint| old.shard != entry.shard || old.pools != entry.pools;
        if self
            .capacities
            .get(&entry.node)
            .is_some_and(|old| !ready || moved(&old.entry))
        {
            self.remove(entry.node);
        }
        if !ready
            || self
                .capacities
                .insert(entry.node, capacity.clone())
                .is_some()
        {
            return false;
        }
        self.by_shard
            .entry(entry.shard)
            .or_default()
            .insert(entry.node);
        true
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
        self.drawn.retain(|drawn| drawn.node != id);
    }

    /// Takes an endpoint's draws, of whatever pools, out of the index.
    pub(super) fn take_drawn(&mut self, node: NodeId) -> Vec<PoolId> {
        let first = DrawnEndpoint {
            node,
            pool: PoolId::ALL,
        };
        let last = DrawnEndpoint {
            node,
            pool: PoolId::LAST,
        };
        self.drawn
            .extract_if(first..=last, |_| true)
            .map(|drawn| drawn.pool)
            .collect()
    }

    pub(super) fn of_shard(&self, shard: ShardId) -> impl Iterator<Item = NodeId> {
        self.by_shard.get(&shard).into_iter().flatten().copied()
    }

    pub(super) fn of_pool(&self, pool: PoolId) -> impl Iterator<Item = &EndpointCapacity> {
        self.by_pool
            .get(&pool)
            .into_iter()
            .flatten()
            .map(|node| &self.capacities[node])
    }

    pub(super) fn is_empty(&self, destination: Destination) -> bool {
        match destination {
            Destination::Shard(shard) => !self.by_shard.contains_key(&shard),
            Destination::Pool(pool) => self.by_pool.get(&pool).is_none_or(Vec::is_empty),
        }
    }

    /// The least latency among a shard's nodes; zero for a pool.
    pub(super) fn least_latency(&self, destination: Destination) -> Span {
        let Destination::Shard(shard) = destination else {
            return Span::ZERO;
        };
        let latencies = self
            .of_shard(shard)
            .map(|node| self.capacities[&node].latency);
        latencies.min().unwrap_or(Span::ZERO)
    }
}

/// All pools of an endpoint, with that of all nodes.
pub(super) fn pools(entry: &Endpoint) -> impl Iterator<Item = PoolId> {
    [PoolId::ALL].into_iter().chain(entry.pools.iter().copied())
}
