//! What is around the hosts: nodes that answer, connections that break, the endpoint list, and faults.

use super::world::{CAN, Mail, NAMES, NodeState, World};
use crate::rig::{ConnectRequest, ms};
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::{
    Attempt, AttemptResult, EndpointListUpdate, Hello, ListedEndpoint, ListedState, Role,
};
use gullsail_scheduler_api::{AttemptOutcome, Event, HostId, Span, UpdateKind};
use rand::Rng;

impl World {
    pub(super) fn node_takes(
        &mut self,
        host_index: usize,
        n: usize,
        link: LinkId,
        attempt: &Attempt,
    ) {
        let (now, node) = (self.now, &mut self.nodes[n]);
        let part = (0.2 + 0.8 * (now - node.started_at).secs() / 10.0).min(1.0);
        node.free_at = node.free_at.max(now)
            + Span::from_millis(attempt.units / (CAN * part) * 1e3 * node.slowdown);
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
        self.mail.push(Mail {
            at,
            host: host_index,
            incarnation,
            link,
            attempt: attempt.attempt,
            result,
        });
    }

    /// New connections: nodes and the list answer, peers do not.
    pub(super) fn connects(&mut self, host_index: usize) {
        while self.hosts[host_index].connects < self.hosts[host_index].rig.connects.len() {
            let place = self.hosts[host_index].connects;
            let ConnectRequest { link, address, .. } =
                self.hosts[host_index].rig.connects[place].clone();
            self.hosts[host_index].connects += 1;
            self.model.step();
            if address == "list" {
                self.list_answers(host_index, link);
            } else if let Some(n) = NAMES.iter().position(|name| *name == address) {
                self.node_answers(host_index, n, link);
            } else {
                self.handle(host_index, Input::ConnectFailed(link, "refused".into()));
            }
        }
    }

    fn list_answers(&mut self, host_index: usize, link: LinkId) {
        self.hosts[host_index].list = Some(link);
        self.handle(host_index, Input::Connected(link));
        let hello = Hello {
            role: Role::List as i32,
            name: "list".into(),
            ..Hello::default()
        };
        self.handle(host_index, Input::Frame(link, hello.into()));
        (0..2).for_each(|n| self.list(host_index, n));
    }

    fn node_answers(&mut self, host_index: usize, n: usize, link: LinkId) {
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
        self.saw(host_index, &event);
        self.handle(host_index, Input::Frame(link, hello.into()));
    }

    pub(super) fn reset(&mut self, host_index: usize, n: usize) {
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
        attempts
            .into_iter()
            .for_each(|attempt| self.ended(host_index, attempt, AttemptOutcome::ConnectionLost));
        self.handle(host_index, Input::Closed(link, "reset".into()));
    }

    pub(super) fn list(&mut self, host_index: usize, n: usize) {
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
        self.saw(host_index, &event);
        let update = EndpointListUpdate {
            version: 1,
            whole: false,
            entries: vec![entry],
        };
        self.handle(host_index, Input::Frame(link, update.into()));
    }

    pub(super) fn fault(&mut self) {
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
            4 => self.reset(host_index, n),
            5 => {
                // Restarts, cold; connections break, the list says so.
                let now = self.now;
                self.nodes[n] = NodeState::ready(self.rng.random_range(100..u64::MAX), now, now);
                for host_index in 0..2 {
                    self.reset(host_index, n);
                    self.list(host_index, n);
                }
            }
            6 => {
                self.nodes[n].state = ListedState::Draining;
                (0..2).for_each(|host_index| self.list(host_index, n));
            }
            _ => {
                // A host is killed, and is back at once.
                self.model.killed(self.now, HostId(host_index as u32));
                let incarnation = self.hosts[host_index].incarnation + 1;
                self.hosts[host_index] = self.start_host(host_index, incarnation);
            }
        }
    }
}
