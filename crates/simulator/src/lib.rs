//! Simulates the processes around a host: storage nodes ([`node`], with a [`node_model`] that takes the time as an
//! argument, and [`idempotency_keys`]), the list service ([`discovery`]) and clients ([`client`]). A [`baseline`] runs
//! in place of the host for comparison. The [`recording_proxy`] accepts the connections to a process, records each
//! frame and injects faults into frames and connections.

pub mod baseline;
pub mod client;
pub mod discovery;
pub mod idempotency_keys;
pub mod load;
pub mod node;
pub mod node_model;
pub mod recording_proxy;

use bytes::Bytes;
use gullsail_protocol::Handle;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Object numbers below this belong to base objects, which every node of their shard holds from its start.
pub const BASE_OBJECTS: u64 = 1 << 32;

/// Generates `length` bytes from a seed. A reader that has the seed can check the bytes of an object.
pub fn content(seed: u64, length: usize) -> Bytes {
    let mut bytes = vec![0; length];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes.into()
}

/// Returns the bytes of a base object (see [`BASE_OBJECTS`]).
pub fn base_content(handle: Handle) -> Bytes {
    content(
        handle.object ^ ((handle.shard as u64) << 40),
        200 + (handle.object % 16) as usize * 100,
    )
}
