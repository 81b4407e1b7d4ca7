//! Which object a request reads or writes.

use super::state::Clients;
use crate::content;
use bytes::Bytes;
use gullsail_configuration::number;
use gullsail_protocol::Handle;
use rand::Rng;
use std::collections::VecDeque;

/// What a request is about.
pub(super) struct Target {
    pub(super) body: Bytes,
    pub(super) handle: Option<Handle>,
    pub(super) order_key: String,
}

impl Clients {
    /// The object that a request reads or writes, and what it sends.
    pub(super) fn choose_object(&mut self, volume: usize, class: usize, mark: &str) -> Target {
        let request_class = &self.deployment.request_classes[class];
        let write = request_class.write;
        let in_order = request_class.decisions.in_order;
        let mut target = Target {
            body: Bytes::new(),
            handle: None,
            order_key: String::new(),
        };
        if write {
            target.body = content(number(mark), self.load.bytes);
        } else {
            target.handle = Some(self.choose_read(volume));
        }
        if in_order {
            // Some records of a volume that are written again and again: these name their shard.
            let record = self.rng.random_range(0..3);
            let name = &self.deployment.volumes[volume].name;
            target.order_key = format!("{name}/{record}");
            let shards = self.shards();
            target.handle = Some(Handle {
                shard: shards[(volume + record as usize) % shards.len()],
                object: (volume as u64) << 8 | record | 1 << 31,
            });
        }
        target
    }

    /// An object that the volume wrote lately, or one that was always there.
    fn choose_read(&mut self, volume: usize) -> Handle {
        let number = self.deployment.volumes[volume].id.0;
        let written = self.written.get(&number).map_or(0, VecDeque::len);
        if written > 0 && self.rng.random_bool(self.load.fresh) {
            let place = self.rng.random_range(0..written);
            self.written[&number][place].handle
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

    /// One of the objects that were always there: a volume's lie on a few shards.
    fn choose_base_object(&mut self, volume: usize) -> Handle {
        let shards = self.shards();
        let shard = shards[(volume * 7 + self.rng.random_range(0..3)) % shards.len()];
        Handle {
            shard,
            object: self.rng.random_range(0..50),
        }
    }
}
