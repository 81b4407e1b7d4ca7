//! Clients: they connect, send requests, withdraw some, and leave.

use super::document::volumes;
use super::state::{Happening, Peer};
use super::{SHARDS, World};
use bytes::Bytes;
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::{Frame, Handle, Hello, Role, Submit, Withdraw};
use gullsail_scheduler_api::Span;
use rand::Rng;

impl World {
    /// A client connects to a host, if clients are there and the host accepts.
    pub(super) fn connect_client(&mut self, h: usize) {
        if !self.open {
            return self.at(Span::from_micros(5_000_000), Happening::ClientConnects(h));
        }
        let now = self.now;
        let m = &mut self.members[h];
        let Some(link) = m.core.as_mut().and_then(|c| c.accept(now)) else {
            return;
        };
        m.peers.insert(link, Peer::Client);
        m.clients.insert(link, 0);
        let hello = Hello {
            role: Role::Client as i32,
            name: "c".into(),
            ..Hello::default()
        };
        self.handle(h, Input::Frame(link, hello.into()));
        self.at(Span::from_micros(1000), Happening::ClientTurn(h, link));
    }

    /// A connected client leaves, or withdraws its newest request now and then and sends the next.
    pub(super) fn client_turn(&mut self, h: usize, link: LinkId) {
        let incarnation = self.members[h].incarnation;
        if !self.members[h].clients.contains_key(&link) {
            return;
        }
        if !self.open || self.rng.random_bool(0.004) {
            return self.client_leaves(h, link);
        }
        if self.rng.random_bool(0.03) {
            let id = self.members[h].clients[&link];
            self.handle(h, Input::Frame(link, Withdraw { id }.into()));
        }
        let submit = self.next_submit();
        let body = if submit.request_class == "read" {
            Bytes::new()
        } else {
            Bytes::from_static(&[1; 256])
        };
        self.members[h].clients.insert(link, submit.id);
        self.handle(h, Input::Frame(link, Frame::from(submit).with_body(body)));
        if self.members[h].incarnation == incarnation {
            let wait = Span::from_millis(self.every * 1e3 * self.rng.random_range(0.2..1.8));
            self.at(wait, Happening::ClientTurn(h, link));
        }
    }

    /// A client closes its connection, and connects again after a while.
    pub(super) fn client_leaves(&mut self, h: usize, link: LinkId) {
        if self.members[h].clients.remove(&link).is_none() {
            return;
        }
        self.members[h].peers.remove(&link);
        self.handle(h, Input::Closed(link, "left".into()));
        let idle = Span::from_micros(self.rng.random_range(1_000_000..30_000_000));
        self.at(idle, Happening::ClientConnects(h));
    }

    fn next_submit(&mut self) -> Submit {
        self.last_request += 1;
        let id = self.last_request;
        let volumes = volumes(self.revision);
        let request_class = ["read", "read", "write", "trip"][self.rng.random_range(0..4)];
        let old = request_class == "read" || self.rng.random_bool(0.5);
        let shard = self.rng.random_range(0..SHARDS);
        let hour = (self.now - self.began).secs() as u64 / 3600;
        Submit {
            id,
            request_class: request_class.into(),
            volume: volumes[self.rng.random_range(0..volumes.len())].clone(),
            units: self.rng.random_range(1.0..4.0),
            handle: old.then_some(Handle {
                shard,
                object: id / 7,
            }),
            // The keys of an hour are not those of the next.
            order_key: format!("k{hour}/{}", self.rng.random_range(0..500)),
            idempotency_key: format!("m{id}"),
            repeat: 0,
            // Mostly a first try; some are a next one, or have a short timeout.
            timeout_us: if self.rng.random_bool(0.85) {
                2_000_000
            } else {
                self.rng.random_range(100_000..2_000_000)
            },
        }
    }
}
