//! Days of service in given time: several hosts' cores, stand-in nodes, a list, clients, documents; all of them come
//! and go. No socket; a clock only where the benchmark lends one, to time what a host does with one input.

use bytes::Bytes;
use gullsail_configuration::diff::diff;
use gullsail_configuration::{Deployment, Memory, load};
use gullsail_host::core::changes::{Proposal, Reply};
use gullsail_host::core::{Core, Input, LinkId, Output};
use gullsail_protocol::*;
use gullsail_scheduler_api::{HostId, Instant, Span};
use gullsail_simulator::node_model::{Arrival, Model};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

pub const HOSTS: usize = 4;
/// Totals that one account keeps at most: in its buckets, and of those that are gone.
pub const ACCOUNT: usize = 16_384 + 2 * 4096;
const SHARDS: i64 = 6;
const VOLUMES: u64 = 8;
const CLIENTS: usize = 12; // at each host
const DOCUMENT_EVERY: i64 = 180; // seconds
const NODE_EVERY: i64 = 97;
const HOST_EVERY: i64 = 1009;

/// Document number `n`: volumes come and go, plans take turns, pools and routes change places.
fn text(n: u64) -> String {
    let mut t = String::from(
        "rules tick=\"20ms\" order-settle=\"50ms\" most-units=8 advice=\"1s\"\n\
         cold units=24 window=\"1s\" first-part=0.2 ramp=\"5s\"\nlegs most=3 free=20 share=0.2 window=\"5s\"\n\
         stream-type \"read\" effect=\"repeatable\" slo=\"400ms\" expiry=\"2s\"\n\
         stream-type \"write\" effect=\"keyed\" group=\"cell\" window=\"5s\" slo=\"400ms\" expiry=\"2s\" write=#true\n\
         stream-type \"trip\" effect=\"unrepeatable\" slo=\"400ms\" expiry=\"2s\" write=#true in-order=#true\n\
         machine \"box\" cores=2 unit=\"4ms\" queue=30\nlist address=\"list\"\nzone \"a\"\nzone \"b\"\n\
         crossing from=\"a\" to=\"b\" limit=\"64KiB/s\" burst=\"256KiB\"\nbounds body-bytes=\"16KiB\"\n",
    );
    let plans = ["plan \"free\"\n", "plan \"held\" limit=\"40units/s\" burst=64\n"];
    t += &(plans[n as usize % 2].to_string() + plans[(n as usize + 1) % 2]);
    for h in 0..HOSTS {
        t += &format!("host \"h{h}\" address=\"h{h}\" zone=\"{}\"\n", ["a", "b"][h % 2]);
    }
    for c in 0..SHARDS {
        t += &format!(
            "node \"n{c}\" cell={c} address=\"n{c}\" zone=\"{}\" kind=\"k{}\"\n",
            ["a", "b"][c as usize % 2],
            c % 2
        );
    }
    t += &format!("pool \"fast\" {{ kind \"k{}\"; }}\n", n % 2);
    for v in volumes(n) {
        t += &format!(
            "volume \"{v}\" plan=\"{}\"\n",
            if v.ends_with(['1', '3', '5', '7', '9']) { "held" } else { "free" }
        );
    }
    t + &format!("route to=\"fast\" {{ volume \"{}\"; }}\nroute to=\"all\"\n", volumes(n)[0])
}

/// Two of the volumes are others in each document.
fn volumes(n: u64) -> Vec<String> {
    (0..VOLUMES).map(|v| format!("v{}", v + 2 * n)).collect()
}

fn document(n: u64) -> Arc<Deployment> {
    let revision = |n: u64, after: &str| text(n) + &format!("revision {n}{after}\n");
    let mut files = BTreeMap::new();
    let after = if n > 1 { " after=\"old.kdl\"" } else { "" };
    files.insert("new.kdl".to_string(), revision(n, after));
    files.insert("old.kdl".to_string(), revision(n.max(2) - 1, ""));
    let (d, _) = load(&Memory(files), "new.kdl").unwrap_or_else(|e| {
        panic!("{e}: {:?}", e.problems.iter().map(|p| p.diagnostic()).collect::<Vec<_>>())
    });
    Arc::new(d)
}

/// What is due when.
enum Due {
    /// Of one incarnation of a host.
    ToHost(usize, u64, Input),
    HostWakes(usize, u64),
    ToNode(String, Way, Frame),
    NodeWakes(String),
    ToList(Way, Frame),
    Client(usize, u64),
    Second,
}

/// A host's end of a connection: host, its incarnation, link.
type Way = (usize, u64, LinkId);

struct Event(Instant, u64, Due);

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Member {
    core: Option<Core>,
    incarnation: u64,
    wakes: Option<Instant>,
    /// Where each link leads; links to other hosts name their end there.
    ways: BTreeMap<LinkId, Peer>,
    clients: BTreeMap<LinkId, u64>,
}

#[derive(Clone)]
enum Peer {
    Client,
    Node(String),
    List,
    Host(Way),
}

struct Node {
    name: String,
    shard: i64,
    model: Model,
    incarnation: u64,
    born: Instant,
    state: ListedState,
    last: u64,
    /// Work by the model's number: whose attempt it is, and whether a new object is written.
    work: BTreeMap<u64, (Way, u64, bool)>,
}

pub struct World {
    rng: ChaCha8Rng,
    pub now: Instant,
    last: u64,
    heap: BinaryHeap<Reverse<Event>>,
    members: Vec<Member>,
    nodes: BTreeMap<String, Node>,
    last_node: u64,
    lists: Vec<Way>,
    d: Arc<Deployment>,
    revision: u64,
    /// Clients are there, and ask.
    pub open: bool,
    /// Seconds between a client's requests, in the mean.
    every: f64,
    pub answered: u64,
    pub taken_documents: u64,
    pub turned_down: BTreeMap<String, u64>,
    pub incarnations: u64,
    /// Nanoseconds; a test's stands still.
    pub clock: fn() -> u64,
    /// What each step of a host took.
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
        let member = |_| Member {
            core: None,
            incarnation: 0,
            wakes: None,
            ways: BTreeMap::new(),
            clients: BTreeMap::new(),
        };
        w.members = (0..HOSTS).map(member).collect();
        (0..HOSTS).for_each(|h| w.birth(h));
        w.at(Span::from_micros(1_000_000), Due::Second);
        w
    }

    fn at(&mut self, after: Span, due: Due) {
        self.last += 1;
        self.heap.push(Reverse(Event(self.now + after, self.last, due)));
    }

    fn way(&mut self) -> Span {
        Span::from_micros(self.rng.random_range(100..2000))
    }

    fn node(&mut self, name: String, shard: i64) {
        let server = self.d.servers[0].clone();
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        let node = Node {
            name: name.clone(),
            shard,
            model: Model::new(server, self.d.figures().slow_start, self.now, self.now, rng),
            incarnation: self.rng.random_range(1..u64::MAX),
            born: self.now,
            state: ListedState::Ready,
            last: 0,
            work: BTreeMap::new(),
        };
        self.nodes.insert(name, node);
    }

    fn birth(&mut self, h: usize) {
        let (seed, incarnation) = (self.rng.random(), self.rng.random());
        let core = Core::new(self.d.clone(), HostId(h as u32), seed, incarnation, self.now);
        let m = &mut self.members[h];
        (m.core, m.incarnation, m.wakes) = (Some(core), m.incarnation + 1, None);
        self.incarnations += 1;
        self.settle(h);
        for c in 0..CLIENTS {
            let wait = Span::from_micros(self.rng.random_range(0..60_000_000) + c as i64);
            self.at(wait, Due::Client(h, u64::MAX));
        }
    }

    /// A host ends: killed, or once all is answered. Whoever was connected sees it.
    fn death(&mut self, h: usize) {
        let m = &mut self.members[h];
        m.core = None;
        m.clients.clear();
        for (_, peer) in std::mem::take(&mut m.ways) {
            if let Peer::Host(way) = peer {
                let after = self.way();
                self.at(after, Due::ToHost(way.0, way.1, Input::Closed(way.2, "gone".into())));
            }
        }
        self.lists.retain(|w| w.0 != h);
        let (incarnation, after) =
            (self.members[h].incarnation, Span::from_micros(self.rng.random_range(1..20_000_000)));
        self.at(after, Due::HostWakes(h, incarnation));
    }

    /// One input to a host, and all that follows at once.
    fn tell(&mut self, h: usize, input: Input) {
        self.step(h, Some(input));
    }

    fn settle(&mut self, h: usize) {
        self.step(h, None);
    }

    fn step(&mut self, h: usize, input: Option<Input>) {
        let (now, incarnation) = (self.now, self.members[h].incarnation);
        let Some(core) = &mut self.members[h].core else { return };
        let before = (self.clock)();
        if let Some(input) = input {
            core.handle(now, input);
        }
        core.advance(now);
        let outputs: Vec<Output> = core.outputs().collect();
        self.latency.push((self.clock)() - before);
        let next = core.next_timer();
        for output in outputs {
            match output {
                Output::Send { link, frame, .. } => self.send(h, link, frame),
                Output::Dial { link, address } => self.dial((h, incarnation, link), &address),
                Output::Close { link } => {
                    if let Some(Peer::Host(way)) = self.members[h].ways.remove(&link) {
                        let after = self.way();
                        self.at(after, Due::ToHost(way.0, way.1, Input::Closed(way.2, "closed".into())));
                    }
                    self.members[h].clients.remove(&link);
                }
                Output::Replied { reply, .. } => match reply {
                    Reply::Taken { .. } => self.taken_documents += 1,
                    Reply::TurnedDown(why) => *self.turned_down.entry(why.join("; ")).or_default() += 1,
                },
                Output::CommandOutcome { .. } => {}
                Output::Left => return self.death(h),
                Output::Reading { .. } => {}
            }
        }
        let m = &mut self.members[h];
        if let Some(at) = next.filter(|at| m.wakes.is_none_or(|w| w > *at || w <= now)) {
            m.wakes = Some(at);
            self.at(at - now, Due::HostWakes(h, incarnation));
        }
    }

    fn send(&mut self, h: usize, link: LinkId, frame: Frame) {
        let incarnation = self.members[h].incarnation;
        let Some(peer) = self.members[h].ways.get(&link).cloned() else { return };
        let (len, after) = (frame.len(), self.way());
        self.at(Span::ZERO, Due::ToHost(h, incarnation, Input::Written(link, len)));
        match peer {
            Peer::Client => {
                self.answered +=
                    u64::from(matches!(frame.message, Message::Answer(_) | Message::NotTaken(_)));
            }
            Peer::Node(name) => self.at(after, Due::ToNode(name, (h, incarnation, link), frame)),
            Peer::List => self.at(after, Due::ToList((h, incarnation, link), frame)),
            Peer::Host(way) => self.at(after, Due::ToHost(way.0, way.1, Input::Frame(way.2, frame))),
        }
    }

    fn dial(&mut self, way: Way, address: &str) {
        let (h, incarnation, link) = way;
        let after = self.way();
        let refused = |why: &str| Due::ToHost(h, incarnation, Input::DialFailed(link, why.into()));
        let peer = if address == "list" {
            Some(Peer::List)
        } else if self.nodes.contains_key(address) {
            Some(Peer::Node(address.into()))
        } else if let Some(other) = address.strip_prefix('h').and_then(|n| n.parse::<usize>().ok()) {
            let (now, m) = (self.now, &mut self.members[other]);
            let theirs = m.core.as_mut().and_then(|c| c.accept(now));
            theirs.map(|l| {
                m.ways.insert(l, Peer::Host(way));
                Peer::Host((other, m.incarnation, l))
            })
        } else {
            None
        };
        let Some(peer) = peer else { return self.at(after, refused("refused")) };
        let other = if let Peer::Host(other) = &peer { Some(other.0) } else { None };
        self.members[h].ways.insert(link, peer);
        self.at(after, Due::ToHost(h, incarnation, Input::Dialled(link)));
        if let Some(other) = other {
            self.settle(other);
        }
    }

    fn back(&mut self, way: Way, frame: impl Into<Frame>) {
        let after = self.way();
        self.at(after, Due::ToHost(way.0, way.1, Input::Frame(way.2, frame.into())));
    }

    fn node_hears(&mut self, name: &str, way: Way, frame: Frame) {
        let now = self.now;
        let Some(n) = self.nodes.get_mut(name) else {
            let after = self.way();
            return self.at(after, Due::ToHost(way.0, way.1, Input::Closed(way.2, "no node".into())));
        };
        match frame.message {
            Message::Hello(_) => {
                let hello = Hello {
                    role: Role::Node as i32,
                    name: n.name.clone(),
                    incarnation: n.incarnation,
                    age_us: (now - n.born).micros(),
                    shard_plus_one: n.shard + 1,
                };
                self.back(way, hello);
            }
            Message::Attempt(l) => {
                n.last += 1;
                let id = n.last;
                let said = match n.model.arrive(now, id, l.units, l.write, 1.0) {
                    Arrival::Taken => {
                        n.work.insert(id, (way, l.attempt, l.write && l.handle.is_none()));
                        let at = n.model.next();
                        return self.at(at - now, Due::NodeWakes(name.into()));
                    }
                    Arrival::Full => AttemptResult::Rejected,
                    Arrival::FellOver => AttemptResult::Failed,
                };
                self.back(
                    way,
                    AttemptAnswer { attempt: l.attempt, result: said as i32, ..AttemptAnswer::default() },
                );
            }
            Message::Cancel(c) => {
                let of = n.work.iter().find(|(_, w)| w.0 == way && w.1 == c.attempt).map(|(id, _)| *id);
                if let Some(id) = of.filter(|id| n.model.cancel(*id)) {
                    n.work.remove(&id);
                }
            }
            _ => {}
        }
    }

    fn node_wakes(&mut self, name: &str) {
        let now = self.now;
        let Some(n) = self.nodes.get_mut(name) else { return };
        let done = n.model.advance(now);
        let work: Vec<_> = done.into_iter().filter_map(|id| Some((id, n.work.remove(&id)?))).collect();
        let (shard, busy, next) = (n.shard, !n.work.is_empty(), n.model.next());
        for (id, (way, attempt, new)) in work {
            let handle = new.then_some(Handle { shard, object: id });
            self.back(
                way,
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
            self.at((next - now).max(Span::from_micros(100)), Due::NodeWakes(name.into()));
        }
    }

    fn entry(&self, name: &str) -> Option<ListedEndpoint> {
        let n = self.nodes.get(name)?;
        Some(ListedEndpoint {
            name: name.into(),
            address: name.into(),
            shard: n.shard,
            zone: ["a", "b"][n.shard as usize % 2].into(),
            state: n.state as i32,
            age_us: (self.now - n.born).micros(),
            incarnation: n.incarnation,
            kind: format!("k{}", n.shard % 2),
        })
    }

    fn news(&mut self, whole: bool, entries: Vec<ListedEndpoint>) {
        for way in self.lists.clone() {
            let news = EndpointListUpdate { version: self.last, whole, entries: entries.clone() };
            self.back(way, news);
        }
    }

    fn list_hears(&mut self, way: Way, frame: Frame) {
        match frame.message {
            Message::Hello(_) => {
                self.back(way, Hello { role: Role::List as i32, name: "list".into(), ..Hello::default() })
            }
            Message::EndpointListQuery(_) => {
                let names: Vec<_> = self.nodes.keys().cloned().collect();
                let entries = names.iter().filter_map(|n| self.entry(n)).collect();
                self.lists.push(way);
                self.back(way, EndpointListUpdate { version: self.last, whole: true, entries });
            }
            _ => {}
        }
    }

    fn break_links(&mut self, name: &str) {
        for h in 0..self.members.len() {
            let m = &mut self.members[h];
            let of = m.ways.iter().filter(|(_, p)| matches!(p, Peer::Node(n) if n == name));
            let links: Vec<_> = of.map(|(l, _)| *l).collect();
            for link in links {
                let m = &mut self.members[h];
                m.ways.remove(&link);
                let (incarnation, after) = (m.incarnation, Span::from_micros(500));
                self.at(after, Due::ToHost(h, incarnation, Input::Closed(link, "reset".into())));
            }
        }
    }

    /// A node restarts, or drains and is followed by one of another name.
    fn nodes_change(&mut self) {
        let Some(name) = self.nodes.keys().choose(&mut self.rng).cloned() else { return };
        let shard = self.nodes[&name].shard;
        if self.rng.random_bool(0.5) {
            self.break_links(&name);
            self.node(name.clone(), shard);
            let entry = self.entry(&name).into_iter().collect();
            return self.news(false, entry);
        }
        self.last_node += 1;
        let next = format!("n{}", self.last_node);
        if let Some(n) = self.nodes.get_mut(&name) {
            n.state = ListedState::Draining;
        }
        self.node(next.clone(), shard);
        let drains = [name.as_str(), &next].iter().filter_map(|n| self.entry(n)).collect();
        self.news(false, drains);
        let mut gone = self.entry(&name);
        self.break_links(&name);
        self.nodes.remove(&name);
        gone.iter_mut().for_each(|g| g.state = ListedState::Gone as i32);
        self.news(false, gone.into_iter().collect());
    }

    fn next_document(&mut self) {
        self.revision += 1;
        let (old, new) = (self.d.clone(), document(self.revision));
        for h in 0..self.members.len() {
            let changes = diff(&old, &new);
            let (from, to) = (old.clone(), new.clone());
            let asker = self.revision;
            self.tell(h, Input::Propose(Box::new(Proposal { asker, from, to, changes, insist: true })));
        }
        self.d = new;
    }

    /// A client's turn: it comes, asks, withdraws, or goes.
    fn client(&mut self, h: usize, link: u64) {
        let now = self.now;
        let incarnation = self.members[h].incarnation;
        if link == u64::MAX {
            if self.open {
                let m = &mut self.members[h];
                let Some(l) = m.core.as_mut().and_then(|c| c.accept(now)) else { return };
                m.ways.insert(l, Peer::Client);
                m.clients.insert(l, 0);
                let hello = Hello { role: Role::Client as i32, name: "c".into(), ..Hello::default() };
                self.tell(h, Input::Frame(l, hello.into()));
                self.at(Span::from_micros(1000), Due::Client(h, l.0));
            } else {
                self.at(Span::from_micros(5_000_000), Due::Client(h, u64::MAX));
            }
            return;
        }
        let l = LinkId(link);
        if !self.members[h].clients.contains_key(&l) {
            return;
        }
        if !self.open || self.rng.random_bool(0.004) {
            self.members[h].clients.remove(&l);
            self.members[h].ways.remove(&l);
            self.tell(h, Input::Closed(l, "left".into()));
            let idle = Span::from_micros(self.rng.random_range(1_000_000..30_000_000));
            return self.at(idle, Due::Client(h, u64::MAX));
        }
        if self.rng.random_bool(0.03) {
            let id = self.members[h].clients[&l];
            self.tell(h, Input::Frame(l, Withdraw { id }.into()));
        }
        self.last_request += 1;
        let id = self.last_request;
        let volumes = volumes(self.revision);
        let request_class = ["read", "read", "write", "trip"][self.rng.random_range(0..4)];
        let old = request_class == "read" || self.rng.random_bool(0.5);
        let shard = self.rng.random_range(0..SHARDS);
        let submit = Submit {
            id,
            request_class: request_class.into(),
            volume: volumes[self.rng.random_range(0..volumes.len())].clone(),
            units: self.rng.random_range(1.0..4.0),
            handle: old.then_some(Handle { shard, object: id / 7 }),
            // The keys of an hour are not those of the next.
            order_key: format!(
                "k{}/{}",
                (now - self.began).secs() as u64 / 3600,
                self.rng.random_range(0..500)
            ),
            mark: format!("m{id}"),
            repeat: 0,
            // Mostly a first try; some are a next one, or impatient.
            timeout_us: if self.rng.random_bool(0.85) {
                2_000_000
            } else {
                self.rng.random_range(100_000..2_000_000)
            },
        };
        let body = if request_class == "read" { Bytes::new() } else { Bytes::from_static(&[1; 256]) };
        self.members[h].clients.insert(l, id);
        self.tell(h, Input::Frame(l, Frame::from(submit).with_body(body)));
        if self.members[h].incarnation == incarnation {
            let wait = Span::from_millis(self.every * 1e3 * self.rng.random_range(0.2..1.8));
            self.at(wait, Due::Client(h, link));
        }
    }

    fn second(&mut self) {
        let second = (self.now - self.began).micros() / 1_000_000;
        if second % NODE_EVERY == 0 {
            self.nodes_change();
        }
        if second % DOCUMENT_EVERY == 0 {
            self.next_document();
        }
        if second % HOST_EVERY == 0 {
            // The others live through all of it: a slow leak shows in a long incarnation only.
            let h = self.members.len() - 1;
            if self.rng.random_bool(0.5) {
                self.tell(h, Input::Stop);
            } else if self.members[h].core.is_some() {
                self.death(h);
            }
        }
        if second % 61 == 0 {
            // A list that comes back tells all it knows.
            let names: Vec<_> = self.nodes.keys().cloned().collect();
            let entries = names.iter().filter_map(|n| self.entry(n)).collect();
            self.news(true, entries);
        }
        self.at(Span::from_micros(1_000_000), Due::Second);
    }

    /// Plays on for a while.
    pub fn play(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse(Event(at, ..))) = self.heap.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse(Event(at, _, due))) = self.heap.pop() else { break };
            self.now = self.now.max(at);
            match due {
                Due::ToHost(h, incarnation, input) if self.members[h].incarnation == incarnation => {
                    self.tell(h, input)
                }
                Due::ToHost(..) => {}
                Due::HostWakes(h, incarnation) if self.members[h].incarnation == incarnation => {
                    if self.members[h].core.is_none() {
                        self.birth(h);
                    } else if self.members[h].wakes.is_some_and(|w| w <= self.now) {
                        self.members[h].wakes = None;
                        self.settle(h);
                    }
                }
                Due::HostWakes(..) => {}
                Due::ToNode(name, way, frame) => self.node_hears(&name, way, frame),
                Due::NodeWakes(name) => self.node_wakes(&name),
                Due::ToList(way, frame) => self.list_hears(way, frame),
                Due::Client(h, link) => self.client(h, link),
                Due::Second => self.second(),
            }
        }
        self.now = end;
    }

    /// Of the hosts that are up: taken, not taken, done, rejected, abandoned, withdrawn.
    pub fn outcomes(&self) -> [u64; 6] {
        let all = self.members.iter().filter_map(|m| m.core.as_ref()).map(Core::counts);
        all.fold([0; 6], |s, c| {
            let new = [c.taken, c.not_taken, c.done, c.rejected, c.failed, c.clients_left];
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
