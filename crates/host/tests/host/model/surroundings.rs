//! The environment of the hosts: nodes that answer, connections that are lost, the endpoint list, and faults.

use super::world::{NAMES, NODE_CAPACITY, NodeAnswer, NodeState, World};
use crate::rig::{ConnectRequest, ms};
use gullsail_host::core::{ConnectionId, Input};
use gullsail_protocol::{
    Attempt, AttemptResult, EndpointListUpdate, Hello, ListedEndpoint, ListedState, Role,
};
use gullsail_scheduler_api::{AttemptOutcome, Event, HostId, Span, UpdateKind};
use rand::Rng;

impl World {
    pub(super) fn node_receives(
        &mut self,
        host_index: usize,
        n: usize,
        link: ConnectionId,
        attempt: &Attempt,
    ) {
        let (now, node) = (self.now, &mut self.nodes[n]);
        let part = (0.2 + 0.8 * (now - node.started_at).secs() / 10.0).min(1.0);
        node.free_at = node.free_at.max(now)
            + Span::from_millis(attempt.units / (NODE_CAPACITY * part) * 1e3 * node.slowdown);
        let result = if self.rng.random_bool(node.error_rate) {
            if self.rng.random_bool(0.3) {
                AttemptResult::Rejected
            } else {
                AttemptResult::Failed
            }
        } else {
            AttemptResult::Succeeded
        };
        let answered_at = if result == AttemptResult::Succeeded {
            node.free_at
        } else {
            now
        };
        let at = answered_at + ms(2.0);
        let incarnation = self.hosts[host_index].incarnation;
        self.answers.push(NodeAnswer {
            at,
            host: host_index,
            incarnation,
            link,
            attempt: attempt.attempt,
            result,
        });
    }

    /// Handles connections that a host requested: nodes and the endpoint list accept, peers refuse.
    pub(super) fn handle_connects(&mut self, host_index: usize) {
        while self.hosts[host_index].connects < self.hosts[host_index].rig.connects.len() {
            let place = self.hosts[host_index].connects;
            let ConnectRequest { link, address, .. } =
                self.hosts[host_index].rig.connects[place].clone();
            self.hosts[host_index].connects += 1;
            self.model.step();
            if address == "list" {
                self.accept_at_list(host_index, link);
            } else if let Some(n) = NAMES.iter().position(|name| *name == address) {
                self.accept_at_node(host_index, n, link);
            } else {
                self.handle(host_index, Input::ConnectFailed(link, "refused".into()));
            }
        }
    }

    fn accept_at_list(&mut self, host_index: usize, link: ConnectionId) {
        self.hosts[host_index].list = Some(link);
        self.handle(host_index, Input::Connected(link));
        let hello = Hello {
            role: Role::List as i32,
            name: "list".into(),
            ..Hello::default()
        };
        self.handle(host_index, Input::Frame(link, hello.into()));
        (0..2).for_each(|n| self.send_list_update(host_index, n));
    }

    fn accept_at_node(&mut self, host_index: usize, n: usize, link: ConnectionId) {
        self.hosts[host_index].links[n] = Some(link);
        self.handle(host_index, Input::Connected(link));
        let started_at = self.nodes[n].started_at;
        let hello = Hello {
            role: Role::Node as i32,
            name: NAMES[n].into(),
            incarnation: self.nodes[n].incarnation,
            age_us: (self.now - started_at).micros(),
            shard_plus_one: n as i64 + 2,
        };
        let state = self.hosts[host_index].last_list_state[n];
        let event = Event::EndpointList {
            update_kind: UpdateKind::SelfReported,
            entries: vec![self.entry(n, state, Some(started_at))],
        };
        self.report_event(host_index, &event);
        self.handle(host_index, Input::Frame(link, hello.into()));
    }

    pub(super) fn reset_connection(&mut self, host_index: usize, n: usize) {
        let Some(link) = self.hosts[host_index].links[n].take() else {
            return;
        };
        self.model.step();
        let attempts: Vec<u64> = self.hosts[host_index]
            .out
            .iter()
            .filter(|(_, out)| out.link == link)
            .map(|(attempt, _)| *attempt)
            .collect();
        attempts.into_iter().for_each(|attempt| {
            self.report_attempt_end(host_index, attempt, AttemptOutcome::ConnectionLost)
        });
        self.handle(host_index, Input::Closed(link, "reset".into()));
    }

    pub(super) fn send_list_update(&mut self, host_index: usize, n: usize) {
        let Some(link) = self.hosts[host_index].list else {
            return;
        };
        let NodeState {
            incarnation,
            started_at,
            state,
            ..
        } = self.nodes[n];
        let entry = ListedEndpoint {
            name: NAMES[n].into(),
            address: NAMES[n].into(),
            shard: n as i64 + 1,
            state: state as i32,
            age_us: (self.now - started_at).micros(),
            incarnation,
            ..ListedEndpoint::default()
        };
        self.model.step();
        self.hosts[host_index].last_list_state[n] = state;
        let event = Event::EndpointList {
            update_kind: UpdateKind::Delta,
            entries: vec![self.entry(n, state, Some(started_at))],
        };
        self.report_event(host_index, &event);
        let update = EndpointListUpdate {
            version: 1,
            whole: false,
            entries: vec![entry],
        };
        self.handle(host_index, Input::Frame(link, update.into()));
    }

    pub(super) fn inject_fault(&mut self) {
        let (n, host_index) = (self.rng.random_range(0..2), self.rng.random_range(0..2));
        match self.rng.random_range(0..8) {
            0 | 1 => self.nodes[n].error_rate = self.rng.random_range(0.2..0.8),
            2 => self.nodes[n].slowdown = self.rng.random_range(1.0..10.0),
            3 => {
                for node in &mut self.nodes {
                    node.error_rate = 0.0;
                    node.slowdown = 1.0;
                }
            }
            4 => self.reset_connection(host_index, n),
            5 => {
                // The node restarts cold: its connections are lost, and the endpoint list reports its new start.
                let now = self.now;
                self.nodes[n] = NodeState::ready(self.rng.random_range(100..u64::MAX), now, now);
                for host_index in 0..2 {
                    self.reset_connection(host_index, n);
                    self.send_list_update(host_index, n);
                }
            }
            6 => {
                self.nodes[n].state = ListedState::Draining;
                (0..2).for_each(|host_index| self.send_list_update(host_index, n));
            }
            _ => {
                // A host is killed and restarts at once.
                self.model.killed(self.now, HostId(host_index as u32));
                let incarnation = self.hosts[host_index].incarnation + 1;
                self.hosts[host_index] = self.start_host(host_index, incarnation);
            }
        }
    }
}
