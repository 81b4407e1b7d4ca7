//! The choice of an endpoint for the next new object of a pool: a weighted random choice among a few ready
//! endpoints, by available slots divided by latency. Full endpoints of the sample are asked for their
//! capacity again, since slots may become available with time alone.

use crate::scheduler::cross_zone::budget::no_local_node;
use crate::scheduler::endpoint::index::Destination;
use crate::scheduler::messages::{EndpointCapacity, Outgoing};
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::{NodeId, PoolId, ZoneId};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Number of endpoints sampled for a new object: enough that some of them have room. A larger sample costs more
/// processor time; a smaller one leaves objects waiting while other endpoints have room.
const SAMPLE_SIZE: usize = 8;

/// Weight of an endpoint in another zone, relative to one in this host's zone. It applies only while this host's
/// zone has a usable endpoint.
const REMOTE_WEIGHT: f64 = 0.1;

/// Smallest latency that a weight is divided by, in seconds. The expected latency of an endpoint that stays
/// without answers falls to almost zero, so the weight would otherwise grow without bound.
const MIN_LATENCY_SECS: f64 = 1e-3;

/// Chooses the endpoint for the next new object of a pool, if a request waits for the pool, and asks the
/// endpoint for its capacity.
pub(crate) fn choose_endpoint(state: &mut SchedulerState, pool: PoolId, rng: &mut ChaCha8Rng) {
    if !state.queues.waits_for(Destination::Pool(pool)) {
        return;
    }
    let nodes = state.endpoints.nodes_of_pool(pool);
    let sample: Vec<&EndpointCapacity> = nodes
        .choose_multiple(rng, SAMPLE_SIZE)
        .filter_map(|node| state.endpoints.capacity(*node))
        .collect();
    let chosen = choose_from(state, pool, &sample, rng);
    let without_slots = sample
        .iter()
        .filter(|capacity| capacity.available_slots == 0);
    let full: Vec<NodeId> = without_slots.map(|capacity| capacity.entry.node).collect();
    if let Some(node) = chosen {
        state.endpoints.choose(node, pool);
        state.outbox.push_back(Outgoing::capacity_requested(node));
    }
    state
        .outbox
        .extend(full.into_iter().map(Outgoing::capacity_requested));
}

fn choose_from(
    state: &SchedulerState,
    pool: PoolId,
    sample: &[&EndpointCapacity],
    rng: &mut ChaCha8Rng,
) -> Option<NodeId> {
    let beyond_even_share = may_exceed_even_share(sample);
    let max_units = state.config.max_units;
    let fits = |capacity: &EndpointCapacity| beyond_even_share || capacity.even_units >= max_units;
    let with_room: Vec<&EndpointCapacity> = sample
        .iter()
        .copied()
        .filter(|capacity| capacity.available_slots > 0 && fits(capacity))
        .collect();
    let remote_weight = if no_local_node(state, pool).is_some() {
        1.0
    } else {
        REMOTE_WEIGHT
    };
    let own_zone = state.config.zone;
    let chosen =
        with_room.choose_weighted(rng, |capacity| weight(capacity, own_zone, remote_weight));
    // An error means that no endpoint of the sample has room.
    chosen.ok().map(|capacity| capacity.entry.node)
}

/// Whether an endpoint that is warming up may be chosen beyond this host's even share. This holds only if most
/// of the sample is warm and has room, or if the whole sample is warming up. Otherwise, whenever the warm
/// endpoints are full, the new objects of all hosts would be sent to the cold ones.
fn may_exceed_even_share(sample: &[&EndpointCapacity]) -> bool {
    let is_warm = |capacity: &EndpointCapacity| capacity.units.is_infinite();
    let warm_with_room = sample
        .iter()
        .filter(|capacity| capacity.available_slots > 0 && is_warm(capacity))
        .count();
    let all_warm_up = sample.iter().all(|capacity| capacity.units.is_finite());
    2 * warm_with_room > sample.len() || all_warm_up
}

fn weight(capacity: &EndpointCapacity, own_zone: Option<ZoneId>, remote_weight: f64) -> f64 {
    let is_remote = own_zone.is_some_and(|own_zone| own_zone != capacity.entry.zone);
    let zone_weight = if is_remote { remote_weight } else { 1.0 };
    let latency_secs = capacity.latency.secs().max(MIN_LATENCY_SECS);
    capacity.available_slots as f64 / latency_secs * zone_weight
}
