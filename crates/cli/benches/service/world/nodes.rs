//! Nodes and the endpoint list: they answer hosts, restart, drain and are replaced.

use super::World;
use super::state::{Event, HostEnd, Node, Peer, Work};
use gullsail_host::core::Input;
use gullsail_protocol::{
    AttemptAnswer, AttemptResult, EndpointListUpdate, Frame, Handle, Hello, ListedEndpoint,
    ListedState, Message, Role,
};
use gullsail_scheduler_api::Span;
use gullsail_simulator::node_model::{Arrival, Model};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

impl World {
    pub(super) fn start_node(&mut self, name: String, shard: i64) {
        let server = self.deployment.servers[0].clone();
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        let node = Node {
            name: name.clone(),
            shard,
            model: Model::new(
                server,
                self.deployment.figures().slow_start,
                self.now,
                self.now,
                rng,
            ),
            incarnation: self.rng.random_range(1..u64::MAX),
            started_at: self.now,
            state: ListedState::Ready,
            last_arrival: 0,
            work: BTreeMap::new(),
        };
        self.nodes.insert(name, node);
    }

    pub(super) fn node_frame(&mut self, name: &str, host_end: HostEnd, frame: Frame) {
        let now = self.now;
        let Some(n) = self.nodes.get_mut(name) else {
            let after = self.network_delay();
            return self.schedule(
                after,
                host_end.receives(|link| Input::Closed(link, "no node".into())),
            );
        };
        match frame.message {
            Message::Hello(_) => {
                let hello = Hello {
                    role: Role::Node as i32,
                    name: n.name.clone(),
                    incarnation: n.incarnation,
                    age_us: (now - n.started_at).micros(),
                    shard_plus_one: n.shard + 1,
                };
                self.reply(host_end, hello);
            }
            Message::Attempt(l) => {
                n.last_arrival += 1;
                let id = n.last_arrival;
                let result = match n.model.arrive(now, id, l.units, l.write, 1.0) {
                    Arrival::Taken => {
                        let new = l.write && l.handle.is_none();
                        n.work.insert(
                            id,
                            Work {
                                from: host_end,
                                attempt: l.attempt,
                                new,
                            },
                        );
                        let at = n.model.next();
                        return self.schedule(at - now, Event::NodeTimer(name.into()));
                    }
                    Arrival::Full => AttemptResult::Rejected,
                    Arrival::FellOver => AttemptResult::Failed,
                };
                self.reply(
                    host_end,
                    AttemptAnswer {
                        attempt: l.attempt,
                        result: result as i32,
                        ..AttemptAnswer::default()
                    },
                );
            }
            Message::Cancel(c) => {
                let cancelled = n
                    .work
                    .iter()
                    .find(|(_, w)| w.from == host_end && w.attempt == c.attempt)
                    .map(|(id, _)| *id);
                if let Some(id) = cancelled.filter(|id| n.model.cancel(*id)) {
                    n.work.remove(&id);
                }
            }
            _ => {}
        }
    }

    pub(super) fn node_timer(&mut self, name: &str) {
        let now = self.now;
        let Some(n) = self.nodes.get_mut(name) else {
            return;
        };
        let done = n.model.advance(now);
        let work: Vec<_> = done
            .into_iter()
            .filter_map(|id| Some((id, n.work.remove(&id)?)))
            .collect();
        let (shard, busy, next) = (n.shard, !n.work.is_empty(), n.model.next());
        for (
            id,
            Work {
                from: host_end,
                attempt,
                new,
            },
        ) in work
        {
            let handle = new.then_some(Handle { shard, object: id });
            self.reply(
                host_end,
                AttemptAnswer {
                    attempt,
                    result: AttemptResult::Succeeded as i32,
                    handle,
                    ran: true,
                    ..AttemptAnswer::default()
                },
            );
        }
        if busy {
            self.schedule(
                (next - now).max(Span::from_micros(100)),
                Event::NodeTimer(name.into()),
            );
        }
    }

    pub(super) fn entry(&self, name: &str) -> Option<ListedEndpoint> {
        let n = self.nodes.get(name)?;
        Some(ListedEndpoint {
            name: name.into(),
            address: name.into(),
            shard: n.shard,
            zone: ["a", "b"][n.shard as usize % 2].into(),
            state: n.state as i32,
            age_us: (self.now - n.started_at).micros(),
            incarnation: n.incarnation,
            kind: format!("k{}", n.shard % 2),
        })
    }

    pub(super) fn publish(&mut self, whole: bool, entries: Vec<ListedEndpoint>) {
        for host_end in self.list_subscribers.clone() {
            let update = EndpointListUpdate {
                version: self.last_event,
                whole,
                entries: entries.clone(),
            };
            self.reply(host_end, update);
        }
    }

    pub(super) fn list_frame(&mut self, host_end: HostEnd, frame: Frame) {
        match frame.message {
            Message::Hello(_) => self.reply(
                host_end,
                Hello {
                    role: Role::List as i32,
                    name: "list".into(),
                    ..Hello::default()
                },
            ),
            Message::EndpointListQuery(_) => {
                let names: Vec<_> = self.nodes.keys().cloned().collect();
                let entries = names.iter().filter_map(|n| self.entry(n)).collect();
                self.list_subscribers.push(host_end);
                self.reply(
                    host_end,
                    EndpointListUpdate {
                        version: self.last_event,
                        whole: true,
                        entries,
                    },
                );
            }
            _ => {}
        }
    }

    pub(super) fn break_links(&mut self, name: &str) {
        for h in 0..self.members.len() {
            let m = &mut self.members[h];
            let links = m
                .peers
                .iter()
                .filter(|(_, p)| matches!(p, Peer::Node(n) if n == name));
            let links: Vec<_> = links.map(|(l, _)| *l).collect();
            for link in links {
                let m = &mut self.members[h];
                m.peers.remove(&link);
                let (incarnation, after) = (m.incarnation, Span::from_micros(500));
                self.schedule(
                    after,
                    Event::ToHost(h, incarnation, Input::Closed(link, "reset".into())),
                );
            }
        }
    }

    /// A random node restarts, or it drains and a node with a new name replaces it.
    pub(super) fn change_nodes(&mut self) {
        let Some(name) = self.nodes.keys().choose(&mut self.rng).cloned() else {
            return;
        };
        let shard = self.nodes[&name].shard;
        if self.rng.random_bool(0.5) {
            self.break_links(&name);
            self.start_node(name.clone(), shard);
            let entry = self.entry(&name).into_iter().collect();
            return self.publish(false, entry);
        }
        self.last_node += 1;
        let next = format!("n{}", self.last_node);
        if let Some(n) = self.nodes.get_mut(&name) {
            n.state = ListedState::Draining;
        }
        self.start_node(next.clone(), shard);
        let changed = [name.as_str(), &next]
            .iter()
            .filter_map(|n| self.entry(n))
            .collect();
        self.publish(false, changed);
        let mut gone = self.entry(&name);
        self.break_links(&name);
        self.nodes.remove(&name);
        gone.iter_mut()
            .for_each(|g| g.state = ListedState::Gone as i32);
        self.publish(false, gone.into_iter().collect());
    }
}
