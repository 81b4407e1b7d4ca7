//! What is around the hosts: nodes that answer, connections that break, the endpoint list, and faults.

use super::*;

impl World {
    pub(super) fn node_takes(&mut self, h: usize, n: usize, link: LinkId, l: &Attempt) {
        let (now, node) = (self.now, &mut self.nodes[n]);
        let part = (0.2 + 0.8 * (now - node.started_at).secs() / 10.0).min(1.0);
        node.free_at =
            node.free_at.max(now) + Span::from_millis(l.units / (CAN * part) * 1e3 * node.slowdown);
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
        let incarnation = self.hosts[h].incarnation;
        self.mail.push(Mail {
            at,
            host: h,
            incarnation,
            link,
            attempt: l.attempt,
            result,
        });
    }

    /// New connections: nodes and the list answer, peers do not.
    pub(super) fn connects(&mut self, h: usize) {
        while self.hosts[h].connects < self.hosts[h].rig.connects.len() {
            let ConnectRequest { link, address, .. } =
                self.hosts[h].rig.connects[self.hosts[h].connects].clone();
            self.hosts[h].connects += 1;
            self.model.step();
            if address == "list" {
                self.hosts[h].list = Some(link);
                self.handle(h, Input::Connected(link));
                let hello = Hello {
                    role: Role::List as i32,
                    name: "list".into(),
                    ..Hello::default()
                };
                self.handle(h, Input::Frame(link, hello.into()));
                (0..2).for_each(|n| self.list(h, n));
            } else if let Some(n) = NAMES.iter().position(|name| *name == address) {
                self.hosts[h].links[n] = Some(link);
                self.handle(h, Input::Connected(link));
                let NodeState {
                    incarnation,
                    started_at,
                    ..
                } = self.nodes[n];
                let hello = Hello {
                    role: Role::Node as i32,
                    name: address,
                    incarnation,
                    age_us: (self.now - started_at).micros(),
                    shard_plus_one: n as i64 + 2,
                };
                let entries =
                    vec![self.entry(n, self.hosts[h].last_list_state[n], Some(started_at))];
                self.saw(
                    h,
                    &Event::EndpointList {
                        update_kind: UpdateKind::SelfReported,
                        entries,
                    },
                );
                self.handle(h, Input::Frame(link, hello.into()));
            } else {
                self.handle(h, Input::ConnectFailed(link, "refused".into()));
            }
        }
    }

    pub(super) fn reset(&mut self, h: usize, n: usize) {
        let Some(link) = self.hosts[h].links[n].take() else {
            return;
        };
        self.model.step();
        let attempts: Vec<u64> = self.hosts[h]
            .out
            .iter()
            .filter(|(_, out)| out.link == link)
            .map(|(l, _)| *l)
            .collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.ended(h, attempt, AttemptOutcome::ConnectionLost));
        self.handle(h, Input::Closed(link, "reset".into()));
    }

    pub(super) fn list(&mut self, h: usize, n: usize) {
        let Some(link) = self.hosts[h].list else {
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
        self.hosts[h].last_list_state[n] = state;
        let entries = vec![self.entry(n, state, Some(started_at))];
        self.saw(
            h,
            &Event::EndpointList {
                update_kind: UpdateKind::Delta,
                entries,
            },
        );
        self.handle(
            h,
            Input::Frame(
                link,
                EndpointListUpdate {
                    version: 1,
                    whole: false,
                    entries: vec![entry],
                }
                .into(),
            ),
        );
    }

    pub(super) fn fault(&mut self) {
        let (n, h) = (self.rng.random_range(0..2), self.rng.random_range(0..2));
        match self.rng.random_range(0..8) {
            0 | 1 => self.nodes[n].error_rate = self.rng.random_range(0.2..0.8),
            2 => self.nodes[n].slowdown = self.rng.random_range(1.0..10.0),
            3 => {
                for node in &mut self.nodes {
                    node.error_rate = 0.0;
                    node.slowdown = 1.0;
                }
            }
            4 => self.reset(h, n),
            5 => {
                // Restarts, cold; connections break, the list says so.
                let now = self.now;
                self.nodes[n] = NodeState::ready(self.rng.random_range(100..u64::MAX), now, now);
                for h in 0..2 {
                    self.reset(h, n);
                    self.list(h, n);
                }
            }
            6 => {
                self.nodes[n].state = ListedState::Draining;
                (0..2).for_each(|h| self.list(h, n));
            }
            _ => {
                // A host is killed, and is back at once.
                self.model.killed(self.now, HostId(h as u32));
                let incarnation = self.hosts[h].incarnation + 1;
                self.hosts[h] = self.start_host(h, incarnation);
            }
        }
    }
}
