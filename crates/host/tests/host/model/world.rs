//! Two hosts, two nodes and the model of the rules beside them.

use crate::rig::{Rig, document, ms};
use gullsail_configuration::Deployment;
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::{AttemptResult, ListedState, Withdraw};
use gullsail_reference_model::{Breach, Model, RuleParameters};
use gullsail_scheduler_api::{
    Endpoint, EndpointState, Event, HostId, Instant, RequestId, ShardId, UpdateKind,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

pub(super) const NAMES: [&str; 2] = ["n1", "n2"];
/// How long a world is played, in milliseconds.
const LASTS_MS: i64 = 6000;
/// What a node can do, in units per second.
pub(super) const CAN: f64 = 80.0;

/// What is on its way to a host, and for which incarnation.
pub(super) struct Mail {
    pub(super) at: Instant,
    pub(super) host: usize,
    pub(super) incarnation: u32,
    pub(super) link: LinkId,
    pub(super) attempt: u64,
    pub(super) result: AttemptResult,
}

/// An attempt that is out at a node.
#[derive(Clone, Copy)]
pub(super) struct AttemptOut {
    pub(super) request: RequestId,
    /// Its place among the request's attempts.
    pub(super) number: u32,
    pub(super) link: LinkId,
}

/// A node as it is, whatever hosts know of it.
#[derive(Clone, Copy)]
pub(super) struct NodeState {
    pub(super) incarnation: u64,
    pub(super) started_at: Instant,
    pub(super) state: ListedState,
    /// Chance of an error.
    pub(super) error_rate: f64,
    /// How many times as slow as it could be.
    pub(super) slowdown: f64,
    pub(super) free_at: Instant,
}

impl NodeState {
    pub(super) fn ready(incarnation: u64, started_at: Instant, free_at: Instant) -> NodeState {
        let state = ListedState::Ready;
        NodeState {
            incarnation,
            started_at,
            state,
            error_rate: 0.0,
            slowdown: 1.0,
            free_at,
        }
    }
}

pub(super) struct Side {
    pub(super) rig: Rig,
    pub(super) incarnation: u32,
    pub(super) client: LinkId,
    pub(super) links: [Option<LinkId>; 2],
    /// The nodes' states as its endpoint list reported them last.
    pub(super) last_list_state: [ListedState; 2],
    pub(super) list: Option<LinkId>,
    pub(super) seen: usize,
    pub(super) connects: usize,
    pub(super) out: BTreeMap<u64, AttemptOut>,
    pub(super) attempts: BTreeMap<RequestId, u32>,
}

pub(super) struct World {
    pub(super) rng: ChaCha8Rng,
    pub(super) deployment: Arc<Deployment>,
    pub(super) now: Instant,
    pub(super) model: Model,
    pub(super) hosts: Vec<Side>,
    pub(super) mail: Vec<Mail>,
    pub(super) nodes: [NodeState; 2],
    pub(super) last: u64,
    pub(super) breaches: Vec<Breach>,
}

pub(super) fn start() -> Instant {
    Instant::from_micros(1_000_000_000)
}

impl World {
    pub(super) fn new(seed: u64) -> World {
        let deployment = document(&[
            ("legs most=3", "legs most=3 free=1 share=0.02 window=\"1s\""),
            (
                "effect=\"unrepeatable\"",
                "effect=\"unrepeatable\" in-order=#true",
            ),
            ("open=50", "open=500"),
            ("4000B", "4MB"),
        ]);
        let stated = RuleParameters {
            drain_grace: ms(0.0),
            slack: 0.0,
            multiple: 2.0,
            can: CAN,
            answer_slack: ms(0.0),
        };
        let warm = start() - ms(1e6);
        let node = |incarnation| NodeState::ready(incarnation, warm, start());
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            deployment,
            now: start(),
            model: Model::new(stated),
            hosts: Vec::new(),
            mail: Vec::new(),
            nodes: [node(11), node(12)],
            last: 0,
            breaches: Vec::new(),
        };
        for host_index in 0..2 {
            let side = world.start_host(host_index, 1);
            world.hosts.push(side);
        }
        world
    }

    pub(super) fn start_host(&mut self, host_index: usize, incarnation: u32) -> Side {
        let host = HostId(host_index as u32);
        self.model.step();
        self.model
            .host_started(self.now, host, &self.deployment.config(host));
        // A newborn knows its document, and learns of drains from the list.
        let entries = (0..2)
            .map(|n| self.entry(n, ListedState::Ready, None))
            .collect();
        self.model.saw(
            self.now,
            host,
            &Event::EndpointList {
                update_kind: UpdateKind::StaleSnapshot,
                entries,
            },
        );
        let mut rig = Rig::new(&self.deployment, host_index as u32, self.now);
        let client = rig.client();
        let (out, attempts) = (BTreeMap::new(), BTreeMap::new());
        let last_list_state = [ListedState::Ready; 2];
        Side {
            rig,
            incarnation,
            client,
            links: [None; 2],
            last_list_state,
            list: None,
            seen: 0,
            connects: 0,
            out,
            attempts,
        }
    }

    pub(super) fn entry(&self, n: usize, state: ListedState, started: Option<Instant>) -> Endpoint {
        let state = match state {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Gone => EndpointState::Gone,
        };
        let node = gullsail_configuration::node_id(NAMES[n]);
        Endpoint {
            node,
            shard: ShardId(n as i64 + 1),
            state,
            started,
            ..Endpoint::default()
        }
    }

    pub(super) fn run(&mut self) {
        for passed in 1..=LASTS_MS {
            self.now = start() + ms(passed as f64);
            for host_index in 0..2 {
                self.model.step();
                let span = self.now - self.hosts[host_index].rig.now;
                self.hosts[host_index].rig.pass(span);
                self.look(host_index);
                self.connects(host_index);
                self.deliver_mail(host_index);
                if self.rng.random_bool(0.08) {
                    self.arrival(host_index);
                }
                if self.rng.random_bool(0.002) {
                    // The newest is withdrawn, whether it is open still or not.
                    let (id, client) = (self.last, self.hosts[host_index].client);
                    self.model.step();
                    self.saw(host_index, &Event::ClientDisconnected(RequestId(id)));
                    self.handle(host_index, Input::Frame(client, Withdraw { id }.into()));
                }
            }
            if self.rng.random_bool(0.004) {
                self.fault();
            }
            self.breaches.extend(self.model.passed(self.now).err());
        }
    }
}
