//! Simulates days of service: the cores of several hosts, simulated nodes, an endpoint list, clients and documents, all of
//! which come and go. Time is simulated and there are no sockets. The benchmark sets a real clock only to measure how
//! long a host takes for one input.

// A test in another folder includes this file too, so the paths are explicit.
#[path = "world/clients.rs"]
mod clients;
#[path = "world/document.rs"]
mod document;
#[path = "world/hosts.rs"]
mod hosts;
#[path = "world/nodes.rs"]
mod nodes;
#[path = "world/state.rs"]
mod state;

use document::document;
use gullsail_configuration::Deployment;
use gullsail_host::core::{Core, Input};
use gullsail_scheduler_api::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use state::{Event, HostEnd, Member, Node, Scheduled};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// Number of hosts.
pub const HOSTS: usize = 4;
/// Maximum number of totals in one host's ledger of zone traffic: those in its buckets, and those of removed buckets.
pub const MAX_LEDGER_TOTALS: usize = 16_384 + 2 * 4096;
const SHARDS: i64 = 6;
const VOLUMES: u64 = 8;
/// Clients of each host.
const CLIENTS: usize = 12;
const DOCUMENT_EVERY_SECONDS: i64 = 180;
const NODE_EVERY_SECONDS: i64 = 97;
const HOST_EVERY_SECONDS: i64 = 1009;

pub struct World {
    rng: ChaCha8Rng,
    pub now: Instant,
    /// Number of the newest scheduled event, and the version of endpoint lists.
    last_event: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    members: Vec<Member>,
    nodes: BTreeMap<String, Node>,
    last_node: u64,
    /// Connections that have asked for the endpoint list.
    list_subscribers: Vec<HostEnd>,
    deployment: Arc<Deployment>,
    revision: u64,
    /// Whether clients connect and send requests. If false, they leave.
    pub clients_active: bool,
    /// Whether nodes, hosts and documents are replaced.
    pub changing: bool,
    /// Mean number of seconds between a client's requests.
    request_interval: f64,
    /// Number of answers and refusals that clients received.
    pub answered: u64,
    /// Number of documents that hosts accepted, over all hosts.
    pub accepted_documents: u64,
    /// Number of documents that hosts refused, by the reason.
    pub refused: BTreeMap<String, u64>,
    /// Number of starts of hosts.
    pub incarnations: u64,
    /// The time in nanoseconds, for `latency`. In tests it is always 0.
    pub clock: fn() -> u64,
    /// Duration of each step of a host, in nanoseconds.
    pub latency: Vec<u64>,
    started_at: Instant,
    last_request: u64,
}

fn start() -> Instant {
    Instant::from_micros(1_000_000_000_000)
}

impl World {
    pub fn new(seed: u64, request_interval: f64) -> World {
        let now = start();
        let mut w = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            last_event: 0,
            queue: BinaryHeap::new(),
            members: Vec::new(),
            nodes: BTreeMap::new(),
            last_node: SHARDS as u64,
            list_subscribers: Vec::new(),
            deployment: document(1),
            revision: 1,
            clients_active: true,
            changing: true,
            request_interval,
            answered: 0,
            accepted_documents: 0,
            refused: BTreeMap::new(),
            incarnations: 0,
            clock: || 0,
            latency: Vec::new(),
            started_at: now,
            last_request: 0,
        };
        for c in 0..SHARDS {
            w.start_node(format!("n{c}"), c);
        }
        w.members = (0..HOSTS).map(|_| Member::down()).collect();
        for h in 0..HOSTS {
            w.start_host(h);
        }
        w.schedule(Span::from_micros(1_000_000), Event::EachSecond);
        w
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.last_event += 1;
        let at = self.now + after;
        self.queue.push(Reverse(Scheduled {
            at,
            number: self.last_event,
            event,
        }));
    }

    /// A random delay for a frame or for the end of a connection.
    fn network_delay(&mut self) -> Span {
        Span::from_micros(self.rng.random_range(100..2000))
    }

    /// Returns a world with the same nodes and document, in which no node, host or document changes and all hosts restart.
    /// Used by the test.
    #[allow(dead_code)]
    pub fn unchanging(&self, seed: u64) -> World {
        let mut other = World::new(seed, self.request_interval);
        other.changing = false;
        other.deployment = self.deployment.clone();
        other.revision = self.revision;
        other.nodes.clear();
        for (name, node) in &self.nodes {
            other.start_node(name.clone(), node.shard);
        }
        (0..HOSTS).for_each(|host| other.end_host(host));
        other
    }

    /// Whether every host runs. Used by the test.
    #[allow(dead_code)]
    pub fn all_run(&self) -> bool {
        self.members.iter().all(|member| member.core.is_some())
    }

    fn each_second(&mut self) {
        let second = (self.now - self.started_at).micros() / 1_000_000;
        if self.changing {
            self.change(second);
        }
        if second % 61 == 0 {
            // An endpoint list that has restarted sends a snapshot.
            let names: Vec<_> = self.nodes.keys().cloned().collect();
            let entries = names.iter().filter_map(|n| self.entry(n)).collect();
            self.publish(true, entries);
        }
        self.schedule(Span::from_micros(1_000_000), Event::EachSecond);
    }

    fn change(&mut self, second: i64) {
        if second % NODE_EVERY_SECONDS == 0 {
            self.change_nodes();
        }
        if second % DOCUMENT_EVERY_SECONDS == 0 {
            self.propose_next_document();
        }
        if second % HOST_EVERY_SECONDS == 0 {
            // Only the last host restarts. The others run all the time, since a slow leak shows only in a long
            // incarnation.
            let h = self.members.len() - 1;
            if self.rng.random_bool(0.5) {
                self.handle(h, Input::Stop);
            } else if self.members[h].core.is_some() {
                self.end_host(h);
            }
        }
    }

    /// Advances the simulation by a span.
    pub fn play(&mut self, span: Span) {
        let end = self.now + span;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(next)| next.at <= end)
        {
            let Some(Reverse(Scheduled { at, event, .. })) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.dispatch(event);
        }
        self.now = end;
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::ToHost(h, incarnation, input) => {
                if self.members[h].incarnation == incarnation {
                    self.handle(h, input);
                }
            }
            Event::HostTimer(h, incarnation) => {
                if self.members[h].incarnation == incarnation {
                    self.host_timer(h);
                }
            }
            Event::ToNode(name, host_end, frame) => self.node_frame(&name, host_end, frame),
            Event::NodeTimer(name) => self.node_timer(&name),
            Event::ToList(host_end, frame) => self.list_frame(host_end, frame),
            Event::ClientConnects(h) => self.connect_client(h),
            Event::ClientTurn(h, link) => self.client_turn(h, link),
            Event::ClientLeaves(h, link) => self.client_leaves(h, link),
            Event::EachSecond => self.each_second(),
        }
    }

    fn host_timer(&mut self, h: usize) {
        if self.members[h].core.is_none() {
            self.start_host(h);
        } else if self.members[h]
            .next_wake_up_at
            .is_some_and(|at| at <= self.now)
        {
            self.members[h].next_wake_up_at = None;
            self.advance_host(h);
        }
    }

    /// Numbers of requests of the running hosts: accepted, refused, succeeded, rejected, failed, withdrawn.
    pub fn outcomes(&self) -> [u64; 6] {
        let all = self
            .members
            .iter()
            .filter_map(|m| m.core.as_ref())
            .map(Core::counts);
        all.fold([0; 6], |s, c| {
            let new = [
                c.taken,
                c.not_taken,
                c.done,
                c.rejected,
                c.failed,
                c.clients_left,
            ];
            std::array::from_fn(|place| s[place] + new[place])
        })
    }

    /// The sizes of the hosts' collections, by name and summed over all hosts.
    pub fn size_metrics(&self) -> BTreeMap<&'static str, usize> {
        let mut all = BTreeMap::new();
        for core in self.members.iter().filter_map(|m| m.core.as_ref()) {
            for (name, length) in core.size_metrics() {
                *all.entry(name).or_default() += length;
            }
        }
        all
    }
}
