//! Draws the object that a request reads or writes.

use super::state::Clients;
use crate::content;
use bytes::Bytes;
use gullsail_configuration::number;
use gullsail_protocol::Handle;
use rand::Rng;
use std::collections::VecDeque;

/// The object of a request: the body to write, the handle, and the key of in-order writes. Fields that a request does
/// not need are empty.
pub(super) struct RequestObject {
    pub(super) body: Bytes,
    pub(super) handle: Option<Handle>,
    pub(super) order_key: String,
}

impl Clients {
    /// Draws the object that a request reads or writes; a write gets a body generated from its idempotency key.
    pub(super) fn choose_object(
        &mut self,
        volume: usize,
        class: usize,
        request_key: &str,
    ) -> RequestObject {
        let request_class = &self.deployment.request_classes[class];
        let write = request_class.write;
        let in_order = request_class.decisions.in_order;
        let mut chosen = RequestObject {
            body: Bytes::new(),
            handle: None,
            order_key: String::new(),
        };
        if write {
            chosen.body = content(number(request_key), self.load.object_bytes);
        } else {
            chosen.handle = Some(self.choose_read(volume));
        }
        if in_order {
            // Each volume has three records that are overwritten in order. Their handles name the shard.
            let record = self.rng.random_range(0..3);
            let name = &self.deployment.volumes[volume].name;
            chosen.order_key = format!("{name}/{record}");
            let shards = self.shards();
            chosen.handle = Some(Handle {
                shard: shards[(volume + record as usize) % shards.len()],
                object: (volume as u64) << 8 | record | 1 << 31,
            });
        }
        chosen
    }

    /// Draws an object that the volume wrote recently, or a base object.
    fn choose_read(&mut self, volume: usize) -> Handle {
        let number = self.deployment.volumes[volume].id.0;
        let written = self.written.get(&number).map_or(0, VecDeque::len);
        if written > 0 && self.rng.random_bool(self.load.recent_read_share) {
            let index = self.rng.random_range(0..written);
            self.written[&number][index].handle
        } else {
            self.choose_base_object(volume)
        }
    }

    fn shards(&self) -> Vec<i64> {
        let nodes = self.deployment.nodes.iter();
        let mut shards: Vec<i64> = nodes.map(|node| node.shard.0).collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }

    /// Draws a base object. The base objects that a volume reads lie on up to three shards.
    fn choose_base_object(&mut self, volume: usize) -> Handle {
        let shards = self.shards();
        let shard = shards[(volume * 7 + self.rng.random_range(0..3)) % shards.len()];
        Handle {
            shard,
            object: self.rng.random_range(0..50),
        }
    }
}
