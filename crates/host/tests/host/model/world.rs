//! Two hosts and two nodes, with the reference model.

use crate::rig::{Rig, document, ms};
use gullsail_configuration::Deployment;
use gullsail_host::core::{ConnectionId, Input};
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
/// The simulated time that a run of a [`World`] takes, in milliseconds.
const RUN_MS: i64 = 6000;
/// The throughput of a node, in units per second.
pub(super) const NODE_CAPACITY: f64 = 80.0;

/// A node's answer in transit to one incarnation of a host.
pub(super) struct NodeAnswer {
    pub(super) at: Instant,
    pub(super) host: usize,
    pub(super) incarnation: u32,
    pub(super) link: ConnectionId,
    pub(super) attempt: u64,
    pub(super) result: AttemptResult,
}

/// An attempt that a node has not answered.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub(super) request: RequestId,
    /// How many attempts of the same request were sent before it.
    pub(super) number: u32,
    pub(super) link: ConnectionId,
}

/// The true state of a node. Hosts may have an older view.
#[derive(Clone, Copy)]
pub(super) struct NodeState {
    pub(super) incarnation: u64,
    pub(super) started_at: Instant,
    pub(super) state: ListedState,
    /// Probability that an attempt fails.
    pub(super) error_rate: f64,
    /// Factor by which each attempt takes longer than at full speed.
    pub(super) slowdown: f64,
    /// When the node has finished all attempts that it received.
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

pub(super) struct SimulatedHost {
    pub(super) rig: Rig,
    pub(super) incarnation: u32,
    pub(super) client: ConnectionId,
    pub(super) links: [Option<ConnectionId>; 2],
    /// The nodes' states that the endpoint list last reported to this host.
    pub(super) last_list_state: [ListedState; 2],
    pub(super) list: Option<ConnectionId>,
    /// How many of the rig's sent frames were reported to the model.
    pub(super) reported: usize,
    /// How many of the rig's requested connections were handled.
    pub(super) connects: usize,
    /// Attempts that are in flight, by id.
    pub(super) out: BTreeMap<u64, InFlightAttempt>,
    /// The number of attempts sent, by request.
    pub(super) attempts: BTreeMap<RequestId, u32>,
}

pub(super) struct World {
    pub(super) rng: ChaCha8Rng,
    pub(super) deployment: Arc<Deployment>,
    pub(super) now: Instant,
    pub(super) model: Model,
    pub(super) hosts: Vec<SimulatedHost>,
    pub(super) answers: Vec<NodeAnswer>,
    pub(super) nodes: [NodeState; 2],
    /// Id of the newest request; 0: there is none.
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
            can: NODE_CAPACITY,
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
            answers: Vec::new(),
            nodes: [node(11), node(12)],
            last: 0,
            breaches: Vec::new(),
        };
        for host_index in 0..2 {
            let host = world.start_host(host_index, 1);
            world.hosts.push(host);
        }
        world
    }

    pub(super) fn start_host(&mut self, host_index: usize, incarnation: u32) -> SimulatedHost {
        let host = HostId(host_index as u32);
        self.model.step();
        self.model
            .host_started(self.now, host, &self.deployment.config(host));
        // A host that starts knows the nodes of its configuration. The endpoint list reports drains later.
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
        SimulatedHost {
            rig,
            incarnation,
            client,
            links: [None; 2],
            last_list_state,
            list: None,
            reported: 0,
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
        for passed in 1..=RUN_MS {
            self.now = start() + ms(passed as f64);
            for host_index in 0..2 {
                self.model.step();
                let span = self.now - self.hosts[host_index].rig.now;
                self.hosts[host_index].rig.run_for(span);
                self.report_sent_frames(host_index);
                self.handle_connects(host_index);
                self.deliver_answers(host_index);
                if self.rng.random_bool(0.08) {
                    self.arrival(host_index);
                }
                if self.rng.random_bool(0.002) {
                    // A client withdraws the newest request, whether it is still open or not.
                    let (id, client) = (self.last, self.hosts[host_index].client);
                    self.model.step();
                    self.report_event(host_index, &Event::ClientDisconnected(RequestId(id)));
                    self.handle(host_index, Input::Frame(client, Withdraw { id }.into()));
                }
            }
            if self.rng.random_bool(0.004) {
                self.inject_fault();
            }
            self.breaches.extend(self.model.passed(self.now).err());
        }
    }
}
