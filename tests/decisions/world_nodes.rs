//! The storage nodes of the simulated world: outcomes of attempts, faults, restarts and drains.

use crate::common::*;
use crate::world::{Mail, NODE_RATE, NodeFaults, Server, World};
use gullsail::api::{AttemptOutcome, Endpoint, EndpointState, NodeId, Span};
use rand::Rng;

impl World {
    /// The outcome and the latency of an attempt at a node.
    pub fn serve(&mut self, node: NodeId, units: f64, time_out: Span) -> (AttemptOutcome, Span) {
        let now = self.now;
        let rng = &mut self.rng;
        let Some(server) = self
            .servers
            .iter_mut()
            .find(|server| server.entry.node == node)
        else {
            return (AttemptOutcome::Unreachable, ms(5));
        };
        if !server.up {
            return if rng.random_bool(0.5) {
                (AttemptOutcome::Unreachable, ms(5))
            } else {
                (AttemptOutcome::TimedOut, time_out)
            };
        }
        if rng.random_bool(server.faults.rejections) {
            return (AttemptOutcome::Rejected, ms(2));
        }
        let slow_start = &self.config.slow_start;
        let age = server
            .entry
            .started
            .map_or(1e9, |started| (now - started).secs());
        let speed = (slow_start.initial_fraction
            + (1.0 - slow_start.initial_fraction) * age / slow_start.ramp.secs())
        .min(1.0);
        server.free_at = server.free_at.max(now)
            + Span::from_millis(units / (NODE_RATE * speed) * 1e3 * server.faults.slowdown);
        let latency = server.free_at - now + ms(1);
        if latency >= time_out {
            return (AttemptOutcome::TimedOut, time_out);
        }
        match rng.random_range(0.0..1.0) {
            x if x < server.faults.errors => (AttemptOutcome::Failed, latency),
            x if x < server.faults.errors * 1.3 => (AttemptOutcome::ConnectionLost, latency),
            x if x < 0.002 => (AttemptOutcome::Cancelled, latency),
            _ => (AttemptOutcome::Succeeded, latency),
        }
    }

    /// Sends a list update to all hosts.
    pub fn announce(&mut self, entries: &[Endpoint]) {
        for me in 0..self.members.len() {
            // Each host receives the update with a different delay.
            let delay = ms(self.rng.random_range(5..300));
            self.mail
                .push((self.now + delay, me, Mail::List(entries.to_vec())));
        }
    }

    /// Changes the faults of a random node or of all nodes, or restarts or drains a node.
    pub fn change_a_node(&mut self) {
        let index = self.rng.random_range(0..self.servers.len());
        match self.rng.random_range(0..6) {
            0 | 5 => {
                let server = &mut self.servers[index];
                let errors = self.rng.random_range(0.0..0.7);
                let rejections = self.rng.random_range(0.0..0.3);
                server.faults = NodeFaults {
                    errors,
                    rejections,
                    slowdown: 1.0,
                };
            }
            1 => self.servers[index].faults.slowdown = self.rng.random_range(1.0..12.0),
            2 => self
                .servers
                .iter_mut()
                .for_each(|server| server.faults = NodeFaults::NONE),
            3 => self.restart(index),
            _ => self.drain(index),
        }
    }

    /// Restarts a node, which is cold then, and announces the new start.
    fn restart(&mut self, index: usize) {
        let now = self.now;
        let server = &mut self.servers[index];
        server.entry.started = Some(now);
        server.entry.state = EndpointState::Ready;
        server.up = true;
        server.free_at = now;
        let entry = server.entry.clone();
        self.announce(&[entry]);
    }

    /// Drains a node and adds a cold replacement with a new id for its shard. A node that drains already is
    /// gone instead.
    fn drain(&mut self, index: usize) {
        self.last_node += 1;
        let now = self.now;
        let id = self.last_node;
        let server = &mut self.servers[index];
        if server.entry.state != EndpointState::Ready {
            server.up = false;
            server.entry.state = EndpointState::Gone;
            let gone = server.entry.clone();
            return self.announce(&[gone]);
        }
        server.entry.state = EndpointState::Draining;
        let draining = server.entry.clone();
        let entry = Endpoint {
            zone: draining.zone,
            started: Some(now),
            ..node(id, draining.shard.0)
        };
        self.servers.push(Server {
            entry: entry.clone(),
            up: true,
            faults: NodeFaults::NONE,
            free_at: now,
        });
        self.announce(&[draining, entry]);
    }
}
