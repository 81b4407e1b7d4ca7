//! What a host has around it, simulated: storage nodes ([`node`], with a [`node_model`] in given time and
//! [`idempotency_keys`]), the
//! list service ([`discovery`]), clients ([`client`]), a [`baseline`] in place of the host, and the
//! [`recording_proxy`], which stands before a process's socket, records each frame and disturbs what it is
//! told to.

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

/// Objects with numbers below this were there before any node started: each node of their shard has them.
pub const BASE_OBJECTS: u64 = 1 << 32;

/// The bytes that belong to a seed: whoever knows it can tell whether they are the right ones.
pub fn content(seed: u64, length: usize) -> Bytes {
    let mut bytes = vec![0; length];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes.into()
}

/// What an object that was always there holds.
pub fn base_content(handle: Handle) -> Bytes {
    content(
        handle.object ^ ((handle.shard as u64) << 40),
        200 + (handle.object % 16) as usize * 100,
    )
}
