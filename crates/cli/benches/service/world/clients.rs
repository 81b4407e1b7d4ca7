//! Clients: they connect, send requests, withdraw some, and leave.

use super::document::volumes;
use super::state::{Event, Peer};
use super::{SHARDS, World};
use bytes::Bytes;
use gullsail_host::core::{ConnectionId, Input};
use gullsail_protocol::{Frame, Handle, Hello, Role, Submit, Withdraw};
use gullsail_scheduler_api::Span;
use rand::Rng;

impl World {
    /// A client connects to a host, if clients are active and the host accepts the connection.
    pub(super) fn connect_client(&mut self, h: usize) {
        if !self.clients_active {
            return self.schedule(Span::from_micros(5_000_000), Event::ClientConnects(h));
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
        self.schedule(Span::from_micros(1000), Event::ClientTurn(h, link));
    }

    /// A connected client leaves, or sends its next request; at times it first withdraws the newest one.
    pub(super) fn client_turn(&mut self, h: usize, link: ConnectionId) {
        let incarnation = self.members[h].incarnation;
        if !self.members[h].clients.contains_key(&link) {
            return;
        }
        if !self.clients_active || self.rng.random_bool(0.004) {
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
            let wait =
                Span::from_millis(self.request_interval * 1e3 * self.rng.random_range(0.2..1.8));
            self.schedule(wait, Event::ClientTurn(h, link));
        }
    }

    /// A client closes its connection and schedules the next one.
    pub(super) fn client_leaves(&mut self, h: usize, link: ConnectionId) {
        if self.members[h].clients.remove(&link).is_none() {
            return;
        }
        self.members[h].peers.remove(&link);
        self.handle(h, Input::Closed(link, "left".into()));
        let idle = Span::from_micros(self.rng.random_range(1_000_000..30_000_000));
        self.schedule(idle, Event::ClientConnects(h));
    }

    fn next_submit(&mut self) -> Submit {
        self.last_request += 1;
        let id = self.last_request;
        let volumes = volumes(self.revision);
        let request_class = ["read", "read", "write", "trip"][self.rng.random_range(0..4)];
        let existing = request_class == "read" || self.rng.random_bool(0.5);
        let shard = self.rng.random_range(0..SHARDS);
        let hour = (self.now - self.started_at).secs() as u64 / 3600;
        Submit {
            id,
            request_class: request_class.into(),
            volume: volumes[self.rng.random_range(0..volumes.len())].clone(),
            units: self.rng.random_range(1.0..4.0),
            handle: existing.then_some(Handle {
                shard,
                object: id / 7,
            }),
            // The order keys change each hour.
            order_key: format!("k{hour}/{}", self.rng.random_range(0..500)),
            idempotency_key: format!("m{id}"),
            repeat: 0,
            // Most requests have the full timeout. Others have a shorter one, as a client's retry does.
            timeout_us: if self.rng.random_bool(0.85) {
                2_000_000
            } else {
                self.rng.random_range(100_000..2_000_000)
            },
        }
    }
}
