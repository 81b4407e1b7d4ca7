//! Days of service in given time: several hosts' cores, stand-in nodes, a list, clients, documents; all of
//! them come and go. No socket; a clock only where the benchmark lends one, to time what a host does with one
//! input.

// Also included by a test from elsewhere, so the paths are written out.
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
use state::{Happening, HostEnd, Member, Node, Scheduled};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// How many hosts there are.
pub const HOSTS: usize = 4;
/// The most totals that one ledger keeps: in its buckets, and of those that are gone.
pub const ACCOUNT: usize = 16_384 + 2 * 4096;
const SHARDS: i64 = 6;
const VOLUMES: u64 = 8;
/// At each host.
const CLIENTS: usize = 12;
const DOCUMENT_EVERY_SECONDS: i64 = 180;
const NODE_EVERY_SECONDS: i64 = 97;
const HOST_EVERY_SECONDS: i64 = 1009;

pub struct World {
    rng: ChaCha8Rng,
    pub now: Instant,
    last: u64,
    heap: BinaryHeap<Reverse<Scheduled>>,
    members: Vec<Member>,
    nodes: BTreeMap<String, Node>,
    last_node: u64,
    lists: Vec<HostEnd>,
    d: Arc<Deployment>,
    revision: u64,
    /// Clients are there, and send requests.
    pub open: bool,
    /// Nodes, hosts and documents come and go.
    pub changing: bool,
    /// Seconds between a client's requests, in the mean.
    every: f64,
    pub answered: u64,
    pub taken_documents: u64,
    pub turned_down: BTreeMap<String, u64>,
    pub incarnations: u64,
    /// In nanoseconds; a test's stands still.
    pub clock: fn() -> u64,
    /// How long each step of a host took.
    pub latency: Vec<u64>,
    began: Instant,
    last_request: u64,
}

fn start() -> Instant {
    Instant::from_micros(1_000_000_000_000)
}

impl World {
    pub fn new(seed: u64, every: f64) -> World {
        let now = start();
        let mut w = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            last: 0,
            heap: BinaryHeap::new(),
            members: Vec::new(),
            nodes: BTreeMap::new(),
            last_node: SHARDS as u64,
            lists: Vec::new(),
            d: document(1),
            revision: 1,
            open: true,
            changing: true,
            every,
            answered: 0,
            taken_documents: 0,
            turned_down: BTreeMap::new(),
            incarnations: 0,
            clock: || 0,
            latency: Vec::new(),
            began: now,
            last_request: 0,
        };
        for c in 0..SHARDS {
            w.node(format!("n{c}"), c);
        }
        w.members = (0..HOSTS).map(|_| Member::down()).collect();
        for h in 0..HOSTS {
            w.start_host(h);
        }
        w.at(Span::from_micros(1_000_000), Happening::Second);
        w
    }

    fn at(&mut self, after: Span, happening: Happening) {
        self.last += 1;
        let at = self.now + after;
        self.heap.push(Reverse(Scheduled {
            at,
            number: self.last,
            happening,
        }));
    }

    /// How long a frame, or the end of a connection, is on its way.
    fn network_delay(&mut self) -> Span {
        Span::from_micros(self.rng.random_range(100..2000))
    }

    /// A world with the nodes and the document of this one, whose hosts have just started, and in which nothing changes;
    /// for the test.
    #[allow(dead_code)]
    pub fn unchanging(&self, seed: u64) -> World {
        let mut other = World::new(seed, self.every);
        other.changing = false;
        other.d = self.d.clone();
        other.revision = self.revision;
        other.nodes.clear();
        for (name, node) in &self.nodes {
            other.node(name.clone(), node.shard);
        }
        (0..HOSTS).for_each(|host| other.end_host(host));
        other
    }

    /// Whether every host runs; for the test.
    #[allow(dead_code)]
    pub fn all_run(&self) -> bool {
        self.members.iter().all(|member| member.core.is_some())
    }

    fn second(&mut self) {
        let second = (self.now - self.began).micros() / 1_000_000;
        if self.changing {
            self.change(second);
        }
        if second % 61 == 0 {
            // As an endpoint list does that comes back: a snapshot.
            let names: Vec<_> = self.nodes.keys().cloned().collect();
            let entries = names.iter().filter_map(|n| self.entry(n)).collect();
            self.publish(true, entries);
        }
        self.at(Span::from_micros(1_000_000), Happening::Second);
    }

    fn change(&mut self, second: i64) {
        if second % NODE_EVERY_SECONDS == 0 {
            self.change_nodes();
        }
        if second % DOCUMENT_EVERY_SECONDS == 0 {
            self.next_document();
        }
        if second % HOST_EVERY_SECONDS == 0 {
            // The others live through all of it: a slow leak shows in a long incarnation only.
            let h = self.members.len() - 1;
            if self.rng.random_bool(0.5) {
                self.handle(h, Input::Stop);
            } else if self.members[h].core.is_some() {
                self.end_host(h);
            }
        }
    }

    /// Runs on for a while.
    pub fn play(&mut self, span: Span) {
        let end = self.now + span;
        while self.heap.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(Scheduled { at, happening, .. })) = self.heap.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.happen(happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::ToHost(h, incarnation, input) => {
                if self.members[h].incarnation == incarnation {
                    self.handle(h, input);
                }
            }
            Happening::HostTimer(h, incarnation) => {
                if self.members[h].incarnation == incarnation {
                    self.host_timer(h);
                }
            }
            Happening::ToNode(name, host_end, frame) => self.node_frame(&name, host_end, frame),
            Happening::NodeTimer(name) => self.node_timer(&name),
            Happening::ToList(host_end, frame) => self.list_frame(host_end, frame),
            Happening::ClientConnects(h) => self.connect_client(h),
            Happening::ClientTurn(h, link) => self.client_turn(h, link),
            Happening::ClientLeaves(h, link) => self.client_leaves(h, link),
            Happening::Second => self.second(),
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

    /// Of the hosts that are up: accepted, refused, succeeded, rejected, failed, withdrawn.
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

    /// What all hosts hold, by collection.
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
