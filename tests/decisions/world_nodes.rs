//! The storage nodes of the world: how attempts at them end, and what befalls them.

use crate::common::*;
use crate::world::{CAN, Mail, NodeFaults, Server, World};
use gullsail::api::{AttemptOutcome, Endpoint, EndpointState, NodeId, Span};
use rand::Rng;

impl World {
    /// How an attempt at a node ends, and after how long.
    pub fn serve(&mut self, node: NodeId, units: f64, time_out: Span) -> (AttemptOutcome, Span) {
        let now = self.now;
        let rng = &mut self.rng;
        let Some(m) = self.servers.iter_mut().find(|m| m.entry.node == node) else {
            return (AttemptOutcome::Unreachable, ms(5));
        };
        if !m.up {
            return if rng.random_bool(0.5) {
                (AttemptOutcome::Unreachable, ms(5))
            } else {
                (AttemptOutcome::TimedOut, time_out)
            };
        }
        if rng.random_bool(m.faults.rejections) {
            return (AttemptOutcome::Rejected, ms(2));
        }
        let cold = &self.config.slow_start;
        let age = m.entry.started.map_or(1e9, |s| (now - s).secs());
        let part = (cold.initial_fraction + (1.0 - cold.initial_fraction) * age / cold.ramp.secs())
            .min(1.0);
        m.free_at =
            m.free_at.max(now) + Span::from_millis(units / (CAN * part) * 1e3 * m.faults.slowdown);
        let latency = m.free_at - now + ms(1);
        if latency >= time_out {
            return (AttemptOutcome::TimedOut, time_out);
        }
        match rng.random_range(0.0..1.0) {
            x if x < m.faults.errors => (AttemptOutcome::Failed, latency),
            x if x < m.faults.errors * 1.3 => (AttemptOutcome::ConnectionLost, latency),
            x if x < 0.002 => (AttemptOutcome::Cancelled, latency),
            _ => (AttemptOutcome::Succeeded, latency),
        }
    }

    pub fn announce(&mut self, entries: &[Endpoint]) {
        for me in 0..self.members.len() {
            // The list is late, and not by the same for all; updates about one node comes in order.
            let late = ms(self.rng.random_range(5..300));
            self.mail
                .push((self.now + late, me, Mail::List(entries.to_vec())));
        }
    }

    pub fn nodes_change(&mut self) {
        let place = self.rng.random_range(0..self.servers.len());
        match self.rng.random_range(0..6) {
            0 | 5 => {
                let m = &mut self.servers[place];
                let errors = self.rng.random_range(0.0..0.7);
                let rejections = self.rng.random_range(0.0..0.3);
                m.faults = NodeFaults {
                    errors,
                    rejections,
                    slowdown: 1.0,
                };
            }
            1 => self.servers[place].faults.slowdown = self.rng.random_range(1.0..12.0),
            2 => self
                .servers
                .iter_mut()
                .for_each(|m| m.faults = NodeFaults::NONE),
            3 => self.restart(place),
            _ => self.drain(place),
        }
    }

    /// A node restarts, cold, and its host of the list says so.
    fn restart(&mut self, place: usize) {
        let now = self.now;
        let m = &mut self.servers[place];
        m.entry.started = Some(now);
        m.entry.state = EndpointState::Ready;
        m.up = true;
        m.free_at = now;
        let entry = m.entry.clone();
        self.announce(&[entry]);
    }

    /// A node drains, and a successor of another name holds its shard, cold. One that drains already goes.
    fn drain(&mut self, place: usize) {
        self.last_node += 1;
        let now = self.now;
        let id = self.last_node;
        let m = &mut self.servers[place];
        if m.entry.state != EndpointState::Ready {
            m.up = false;
            m.entry.state = EndpointState::Gone;
            let gone = m.entry.clone();
            return self.announce(&[gone]);
        }
        m.entry.state = EndpointState::Draining;
        let left = m.entry.clone();
        let entry = Endpoint {
            zone: left.zone,
            started: Some(now),
            ..node(id, left.shard.0)
        };
        self.servers.push(Server {
            entry: entry.clone(),
            up: true,
            faults: NodeFaults::NONE,
            free_at: now,
        });
        self.announce(&[left, entry]);
    }
}
