//! The host as a state machine: [`Input`]s and the time go in, [`Output`]s come out, nothing else. It has no
//! socket, no clock and no chance of its own, so tests and the laboratory play it at any speed.
//!
//! A caller hands over what happened with [`Core::handle`], any number of times, then calls
//! [`Core::advance`] once and carries out [`Core::outputs`] in their order; [`Core::next_timer`] says when to
//! call again at the latest. Read `mod.rs` for links and time, [`serve`] for requests and attempts, [`hear`] for
//! frames that come in, [`nodes`], [`requests`], [`dial`] and [`clock`] for what they keep.

pub mod changes;
pub mod clock;
pub mod dial;
pub mod fleet;
mod hear;
pub mod maintenance;
pub mod nodes;
pub mod requests;
mod serve;
mod size_metrics;
pub mod zones;

use clock::PeerClock;
use dial::{Dial, State};
use gullsail::Scheduler;
use gullsail_config_transition::ConfigTransition;
use gullsail_configuration::Deployment;
use gullsail_fleet::delayed_increase::DelayedIncrease;
use gullsail_fleet::{Event as FleetEvent, Fleet};
use gullsail_protocol::{ClockQuery, DemandReport, EndpointListQuery, Frame, Hello, Message, NotTaken, Role};
use gullsail_scheduler_api::*;
use gullsail_timers::Timers;
use gullsail_zone_traffic::{Account, Breaches};
use nodes::Nodes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use requests::{AttemptId, Requests};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use tracing::{debug, info, warn};

/// A connection, named by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What happened outside.
#[derive(Debug)]
pub enum Input {
    /// A connection that was asked for stands, or did not come about.
    Dialled(LinkId),
    DialFailed(LinkId, String),
    Frame(LinkId, Frame),
    /// One that may have waited as long before it was read: the process stood still.
    Waited(LinkId, Frame, Span),
    /// So many bytes that were sent are off our hands.
    Written(LinkId, usize),
    /// The link is over; nothing more comes of it.
    Closed(LinkId, String),
    /// Another document, compared with the one that is served by.
    Propose(Box<changes::Proposal>),
    /// An operator's word on machines.
    OperatorCommand(u64, maintenance::OperatorCommand),
    /// Take nothing new, answer what is held, then leave.
    Stop,
}

/// What is to be done outside.
#[derive(Debug)]
pub enum Output {
    Dial {
        link: LinkId,
        address: String,
    },
    /// Not after `until`: nobody waits for it then.
    Send {
        link: LinkId,
        frame: Frame,
        until: Option<Instant>,
    },
    /// Writes what was sent, then ends it; also a connection that is still being made.
    Close {
        link: LinkId,
    },
    /// Reads from the link, or lets its other side wait.
    Reading {
        link: LinkId,
        on: bool,
    },
    /// What came of a proposal.
    Replied {
        asker: u64,
        reply: changes::Reply,
    },
    /// What came of an operator's word.
    CommandOutcome {
        asker: u64,
        said: maintenance::CommandOutcome,
    },
    /// All is answered and the stop was asked for.
    Left,
}

/// What was counted since the start.
///
/// Whoever reads these from another version finds 0 for what that one does not count.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Counts {
    pub taken: u64,
    pub not_taken: u64,
    pub done: u64,
    #[serde(rename = "deferred")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    pub clients_left: u64,
    #[serde(rename = "legs")]
    pub attempts: u64,
    pub late_node_answers: u64,
    pub links_broken: u64,
    #[serde(rename = "labels_sent")]
    pub demand_reports_sent: u64,
    #[serde(rename = "labels_heard")]
    pub demand_reports_received: u64,
    /// Not passed on: the sender's clock is not known yet, or too far off.
    #[serde(rename = "labels_dropped")]
    pub demand_reports_dropped: u64,
    pub nodes_restarted: u64,
    pub nodes_met_again: u64,
    pub list_lost: u64,
    /// Connections that were not taken, since all places for them were.
    pub links_refused: u64,
    /// Times that clients had to wait since the host held all it may.
    pub held_back: u64,
    /// The longest that the loop was at work between two waits, and how often for more than ten milliseconds.
    pub longest_step_us: u64,
    pub long_steps: u64,
    /// Times that the process stood still, and the longest of them.
    pub stood_still: u64,
    pub longest_still_us: u64,
    /// Requests whose time was shortened by what they may have waited meanwhile, and answers that were not given since
    /// their client no longer waited.
    pub aged: u64,
    pub answers_withheld: u64,
    pub documents_taken: u64,
    pub documents_turned_down: u64,
    pub most_open: u64,
    pub most_held: u64,
}

/// Demand reports that wait for a connection or a clock: they count for a tenth of a second only.
const LABELS_WAIT: usize = 8;
/// Connections that others open to this host, where nobody says how many it can hold.
const MOST_LINKS: usize = 20_000;
/// Between looks for one that is idle, while all places are taken.
const LOOK_AGAIN: Span = Span::from_micros(100_000);
/// Times the connect time-out that the first frame, or a list's reply, may take.
const PATIENCE: f64 = 4.0;
/// One bucket of the account of what crosses.
const ACCOUNT_EVERY: Span = Span::from_micros(10_000_000);
/// Between looks at stalled clients and long-gone nodes.
const SWEEP: Span = Span::from_micros(1_000_000);

struct Link {
    who: Who,
    unsent: usize,
    /// Since when it has taken nothing of what waits for it.
    stuck_since: Instant,
    reading: bool,
    /// When its last frame came.
    heard: Instant,
    /// By when it must stand, say whose it is, or reply.
    due_by: Option<Instant>,
}

enum Who {
    /// It has not said yet who it is; it was sent so many bytes.
    Stranger(usize),
    Client,
    /// A peer that speaks to us, and what is known of its clock; demand reports wait until something is.
    PeerIn {
        host: HostId,
        clock: PeerClock,
        waiting: VecDeque<Vec<u8>>,
        far: bool,
    },
    PeerOut(HostId),
    Node(NodeId),
    List,
}

#[derive(Default)]
struct PeerOut {
    dial: Dial,
    waiting: VecDeque<Frame>,
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Scheduler(TimerId),
    /// A attempt has waited long enough for its connection, or for its answer.
    Attempt(AttemptId),
    /// A connection, its first frame, or the list's reply may have taken too long.
    Slow(LinkId),
    RedialNode(NodeId),
    RedialPeer(HostId),
    Clocks,
    Sweep,
    /// The fleet has something to do.
    Fleet,
    /// Peers are told which documents hosts hold to.
    Rounds,
}

pub struct Core {
    me: HostId,
    deployment: Arc<Deployment>,
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now: Instant,
    born: Instant,
    incarnation: u64,
    events: Vec<Event>,
    outputs: Vec<Output>,
    due: Timers<Due>,
    links: BTreeMap<LinkId, Link>,
    last_link: u64,
    nodes: Nodes,
    peers: BTreeMap<HostId, PeerOut>,
    list: Dial,
    /// The list was asked on its link and has not replied yet.
    poll_endpoints: bool,
    requests: Requests,
    /// What crossed between zones, and what went past budgets.
    account: Account,
    breaches: Breaches,
    config_transition: ConfigTransition,
    rounds_at: Option<Instant>,
    /// What hosts settle among themselves, where the document wants it; when it is looked at next; who is out by it;
    /// this host's part of what cold nodes bear, and what the decisions were told last of it.
    fleet: Option<Fleet>,
    fleet_at: Option<Instant>,
    fleet_out: BTreeSet<HostId>,
    cold: DelayedIncrease,
    cold_at: Option<Instant>,
    told_membership: Option<FleetMembership>,
    /// When machines are looked at next, and which stage of each order was written down.
    maintenance_at: Instant,
    stages: BTreeMap<u64, gullsail_fleet::maintenance::Stage>,
    /// Bytes that wait for the other sides of all links.
    unsent: usize,
    /// Links that others opened, and how many there may be.
    taken_in: usize,
    most_links: usize,
    look_again: Instant,
    held_back: bool,
    stopping: bool,
    left: bool,
    /// Words that are not answered yet, and until when the host does not leave for their sake.
    commands: BTreeMap<u64, Instant>,
    counts: Counts,
}

impl Core {
    /// `seed` and `incarnation` are drawn anew for each incarnation of a host.
    pub fn new(deployment: Arc<Deployment>, me: HostId, seed: u64, incarnation: u64, now: Instant) -> Core {
        let nodes = Nodes::from_document(&deployment);
        let mut core = Core {
            me,
            scheduler: Scheduler::new(deployment.config(me), seed, now),
            rng: ChaCha8Rng::seed_from_u64(seed ^ incarnation),
            now,
            born: now,
            incarnation,
            events: Vec::new(),
            outputs: Vec::new(),
            due: Timers::default(),
            links: BTreeMap::new(),
            last_link: 0,
            nodes,
            peers: BTreeMap::new(),
            list: Dial::default(),
            poll_endpoints: false,
            requests: Requests::default(),
            config_transition: ConfigTransition::new(
                me,
                deployment.hosts.len() as u32,
                deployment.line.clone(),
                now,
            ),
            rounds_at: None,
            fleet: None,
            fleet_at: None,
            fleet_out: BTreeSet::new(),
            cold: Core::cold_delayed_increase(&deployment),
            cold_at: None,
            told_membership: None,
            maintenance_at: now,
            stages: BTreeMap::new(),
            account: Account::new(ACCOUNT_EVERY, now),
            breaches: Breaches::default(),
            unsent: 0,
            taken_in: 0,
            most_links: MOST_LINKS,
            look_again: now,
            held_back: false,
            stopping: false,
            left: false,
            commands: BTreeMap::new(),
            counts: Counts::default(),
            deployment,
        };
        let remembered = core.nodes.iter().map(|(id, n)| n.entry(id, None)).collect();
        core.events.push(Event::EndpointList { update_kind: UpdateKind::StaleSnapshot, entries: remembered });
        core.start_config_transition();
        core.start_fleet(seed);
        core.start_maintenance();
        core.dial_nodes();
        core.at(now + core.deployment.bounds.clock_every, Due::Clocks);
        core.at(now + SWEEP, Due::Sweep);
        core
    }

    /// Somebody connected; `None`: there are too many already, and the connection is to be dropped.
    pub fn accept(&mut self, now: Instant) -> Option<LinkId> {
        self.now = self.now.max(now);
        if self.stopping || (self.taken_in >= self.most_links && !self.make_room()) {
            self.counts.links_refused += 1;
            return None;
        }
        self.taken_in += 1;
        let hello = self.hello();
        let link = self.link(Who::Stranger(hello.len()));
        self.slow(link, PATIENCE);
        self.send(link, hello);
        Some(link)
    }

    /// How many connections others may open: below what the process can hold, so that nodes, peers, the list and the
    /// operator can still be reached when clients take all they get.
    pub fn set_most_links(&mut self, most: usize) {
        self.most_links = most.clamp(1, MOST_LINKS);
    }

    /// Lets go of the client that has been idle longest, if one has been for as long as a stalled one may be. Looked
    /// for only now and then: it costs a look at all links.
    fn make_room(&mut self) -> bool {
        if self.now < self.look_again {
            return false;
        }
        self.look_again = self.now + LOOK_AGAIN;
        let idle = |id: LinkId, l: &Link| {
            matches!(l.who, Who::Client) && l.unsent == 0 && !self.requests.has_any(id)
        };
        let oldest = self.links.iter().filter(|(id, l)| idle(**id, l)).min_by_key(|(_, l)| l.heard);
        let patience = self.deployment.bounds.client_stall;
        let Some(id) = oldest.filter(|(_, l)| self.now - l.heard > patience).map(|(id, _)| *id) else {
            return false;
        };
        self.hang_up(id, "idle, and others want its place");
        true
    }

    pub fn handle(&mut self, now: Instant, input: Input) {
        self.now = self.now.max(now);
        match input {
            Input::Dialled(link) => self.dialled(link),
            Input::DialFailed(link, why) => self.over(link, &why),
            Input::Frame(link, frame) => self.hear(link, frame, false),
            Input::Waited(link, mut frame, waited) => {
                // Its client has counted on since it sent this. What has too little left is not taken.
                if let Message::Submit(s) = &mut frame.message {
                    s.timeout_us = (Span::from_micros(s.timeout_us) - waited).micros();
                    self.counts.aged += 1;
                }
                self.hear(link, frame, true);
            }
            Input::Written(link, bytes) => self.written(link, bytes),
            Input::Closed(link, why) => self.over(link, &why),
            Input::Propose(p) => self.propose(*p),
            Input::OperatorCommand(asker, command) => self.command(asker, command),
            Input::Stop if !self.stopping => {
                info!(open = self.requests.open(), "stopping: nothing new is taken");
                self.stopping = true;
            }
            Input::Stop => {}
        }
    }

    /// Plays what is due, and lets the decisions answer all that came.
    pub fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        while let Some(mut due) = self.due.take(self.now) {
            due.drain(..).for_each(|d| self.play(d));
            self.due.give_back(due);
        }
        self.fleet_turn();
        // A attempt that can't go out ends at once and may bring another; attempts of a request are bounded.
        while !self.events.is_empty() {
            for action in self.scheduler.step(self.now, self.events.drain(..)) {
                self.act(action);
            }
        }
        self.hold_back();
        // Guards against a host that takes itself out and is gone before whoever asked has heard that it may. It harms
        // nothing but the end, which is later by that.
        let command_finished = self.commands.values().all(|until| *until <= self.now);
        if self.stopping && command_finished && self.requests.open() == 0 && !self.left && self.left_fleet() {
            self.left = true;
            info!("all is answered");
            self.outputs.push(Output::Left);
        }
    }

    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    pub fn next_timer(&self) -> Option<Instant> {
        self.due.next()
    }

    /// How long the loop around this was at work between two waits.
    pub fn worked(&mut self, span: Span) {
        let us = span.micros().max(0) as u64;
        self.counts.longest_step_us = self.counts.longest_step_us.max(us);
        self.counts.long_steps += u64::from(us > 10_000);
    }

    /// The loop around this was away for so long, and nobody asked for it.
    pub fn stood_still(&mut self, span: Span) {
        warn!(ms = span.millis(), "this process stood still");
        self.counts.stood_still += 1;
        self.counts.longest_still_us = self.counts.longest_still_us.max(span.micros().max(0) as u64);
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Open requests, attempts that are out, and bytes held for either and for clients.
    pub fn load(&self) -> (usize, usize, usize) {
        (self.requests.open(), self.requests.attempts_out(), self.requests.held() + self.unsent)
    }

    fn at(&mut self, at: Instant, due: Due) {
        self.due.set(at, due);
    }

    fn link(&mut self, who: Who) -> LinkId {
        self.last_link += 1;
        let (stuck_since, heard) = (self.now, self.now);
        let link = Link { who, unsent: 0, stuck_since, reading: true, heard, due_by: None };
        self.links.insert(LinkId(self.last_link), link);
        LinkId(self.last_link)
    }

    /// From now on the other side has so many connect time-outs for what is awaited from it.
    fn slow(&mut self, id: LinkId, times: f64) {
        let by = self.now + self.deployment.bounds.connect.times(times);
        if let Some(link) = self.links.get_mut(&id) {
            link.due_by = Some(by);
            self.at(by, Due::Slow(id));
        }
    }

    /// It came in time.
    fn in_time(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.due_by = None;
        }
    }

    fn hello(&self) -> Frame {
        let name = self.deployment.hosts[self.me.0 as usize].name.clone();
        let age_us = (self.now - self.born).micros();
        let role = Role::Host as i32;
        Frame::from(Hello { role, name, incarnation: self.incarnation, age_us, shard_plus_one: 0 })
    }

    fn send(&mut self, to: LinkId, frame: Frame) {
        self.send_by(to, frame, None);
    }

    fn send_by(&mut self, to: LinkId, frame: Frame, until: Option<Instant>) {
        self.frame_crosses(to, &frame, true);
        let Some(link) = self.links.get_mut(&to) else { return };
        if link.unsent == 0 {
            link.stuck_since = self.now;
        }
        link.unsent += frame.len();
        self.unsent += frame.len();
        self.outputs.push(Output::Send { link: to, frame, until });
    }

    fn written(&mut self, id: LinkId, bytes: usize) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let bytes = bytes.min(link.unsent);
        link.unsent -= bytes;
        link.stuck_since = self.now;
        self.unsent -= bytes;
        self.pressure(id);
    }

    /// Ends a link from here: what it was for hears of it as of any other end.
    fn hang_up(&mut self, link: LinkId, why: &str) {
        if self.links.contains_key(&link) {
            self.outputs.push(Output::Close { link });
            self.over(link, why);
        }
    }

    /// A link is over, whoever ended it.
    fn over(&mut self, id: LinkId, why: &str) {
        let Some(link) = self.links.remove(&id) else { return };
        self.counts.links_broken += 1;
        self.unsent -= link.unsent;
        self.taken_in -= usize::from(matches!(link.who, Who::Stranger(_) | Who::Client | Who::PeerIn { .. }));
        let redial = self.deployment.bounds.redial;
        match link.who {
            Who::Stranger(_) => info!(link = id.0, why, "connection ended before it said whose it is"),
            Who::Client => {
                let left = self.requests.of_link(id);
                info!(link = id.0, why, open = left.len(), "client gone");
                for request in left {
                    self.client_left(request);
                }
            }
            Who::PeerIn { host, .. } => debug!(peer = host.0, why, "peer gone"),
            Who::PeerOut(host) => {
                debug!(peer = host.0, why, "no connection to peer");
                if let Some(p) = self.peers.get_mut(&host) {
                    // What waits is stale by the next try, and a try is made only for something to say.
                    p.waiting.clear();
                    let at = p.dial.lost(self.now, redial, &mut self.rng);
                    self.at(at, Due::RedialPeer(host));
                }
            }
            Who::Node(node) => self.node_lost(node, why),
            Who::List => {
                self.list.state = State::Idle;
                self.poll_endpoints = false;
                self.list_is_lost(why);
            }
        }
    }

    fn list_is_lost(&mut self, why: &str) {
        warn!(why, "node list out of reach");
        self.counts.list_lost += 1;
        self.events.push(Event::EndpointListLost);
    }

    fn dialled(&mut self, id: LinkId) {
        let hello = self.hello();
        let Some(link) = self.links.get(&id) else { return };
        let dial = match link.who {
            Who::Node(node) => self.nodes.get(node).map(|n| &mut n.dial),
            Who::PeerOut(host) => self.peers.get_mut(&host).map(|p| &mut p.dial),
            Who::List => Some(&mut self.list),
            _ => None,
        };
        if let Some(dial) = dial {
            dial.state = State::Greeting(id);
            self.send(id, hello);
            self.slow(id, PATIENCE);
        }
    }

    /// The addresses of others come from the document, the node's from the list.
    fn dial(&mut self, who: Who, address: String) -> LinkId {
        let link = self.link(who);
        self.slow(link, 1.0);
        self.outputs.push(Output::Dial { link, address });
        link
    }

    /// Connections to nodes stand before they are needed: only a node's first frame tells how old it is.
    fn dial_nodes(&mut self) {
        let wanted: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, n)| {
                let wanted = n.state != EndpointState::Gone && !n.barred;
                wanted && n.dial.state == State::Idle && !n.address.is_empty()
            })
            .map(|(id, n)| (id, n.address.clone()))
            .collect();
        for (id, address) in wanted {
            if let Err(at) = self.may_connect(id) {
                self.nodes.get(id).into_iter().for_each(|n| n.dial.state = State::Waiting(at));
                self.at(at, Due::RedialNode(id));
                continue;
            }
            let link = self.dial(Who::Node(id), address);
            if let Some(n) = self.nodes.get(id) {
                n.dial.state = State::Dialling(link);
            }
        }
    }

    fn dial_list(&mut self) {
        if let Some(link) = self.list.up() {
            if !std::mem::replace(&mut self.poll_endpoints, true) {
                self.send(link, Frame::from(EndpointListQuery { watch: true }));
                self.slow(link, PATIENCE);
            }
        } else if self.list.link().is_none() {
            let address = self.deployment.list.address.clone();
            let link = self.dial(Who::List, address);
            self.list.state = State::Dialling(link);
        }
    }

    fn tell(&mut self, to: HostId, bytes: Vec<u8>) {
        self.counts.demand_reports_sent += 1;
        self.tell_frame(to, Frame::from(DemandReport { bytes }));
    }

    fn tell_frame(&mut self, to: HostId, frame: Frame) {
        let Some(place) = self.deployment.hosts.get(to.0 as usize) else { return };
        let peer = self.peers.entry(to).or_default();
        if let Some(link) = peer.dial.up() {
            return self.send(link, frame);
        }
        // The newest count: what waits longer than the next try takes is stale.
        if peer.waiting.len() >= LABELS_WAIT {
            peer.waiting.pop_front();
        }
        peer.waiting.push_back(frame);
        if peer.dial.state == State::Idle {
            let address = place.address.clone();
            let link = self.dial(Who::PeerOut(to), address);
            self.peers.entry(to).or_default().dial.state = State::Dialling(link);
        }
    }

    fn play(&mut self, due: Due) {
        match due {
            Due::Scheduler(id) => self.events.push(Event::Timer(id)),
            Due::Attempt(attempt) => self.attempt_is_late(attempt),
            Due::Slow(link) => self.is_slow(link),
            Due::RedialNode(node) => {
                if let Some(n) = self.nodes.get(node).filter(|n| matches!(n.dial.state, State::Waiting(_))) {
                    n.dial.state = State::Idle;
                    self.dial_nodes();
                }
            }
            Due::RedialPeer(host) => {
                let peer = self.peers.get_mut(&host).filter(|p| matches!(p.dial.state, State::Waiting(_)));
                if let Some(peer) = peer {
                    peer.dial.state = State::Idle;
                }
            }
            Due::Rounds => self.round(),
            // It is looked at in each step anyway.
            Due::Fleet => {}
            Due::Clocks => {
                let peers = self.links.iter().filter(|(_, l)| matches!(l.who, Who::PeerIn { .. }));
                for link in peers.map(|(id, _)| *id).collect::<Vec<_>>() {
                    self.ask_clock(link);
                }
                self.at(self.now + self.deployment.bounds.clock_every, Due::Clocks);
            }
            Due::Sweep => {
                let patience = self.deployment.bounds.client_stall;
                let stuck = |l: &Link| l.unsent > 0 && self.now - l.stuck_since > patience;
                let stuck = self.links.iter().filter(|(_, l)| stuck(l));
                let stuck: Vec<_> = stuck.map(|(id, l)| (*id, matches!(l.who, Who::Client))).collect();
                for (link, client) in stuck {
                    if client {
                        warn!(link = link.0, "client takes none of its answers: let go");
                    } else {
                        warn!(link = link.0, "the other side takes none of what is sent to it: let go");
                    }
                    self.hang_up(link, "takes none of what is sent to it");
                }
                self.nodes.forget(self.now);
                self.at(self.now + SWEEP, Due::Sweep);
            }
        }
    }

    fn ask_clock(&mut self, link: LinkId) {
        self.send(link, Frame::from(ClockQuery { asked_us: self.now.micros() }));
    }

    fn is_slow(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else { return };
        if link.due_by.is_none_or(|by| by > self.now) {
            return;
        }
        let why = match link.who {
            Who::Stranger(_) => "no first frame in time",
            Who::List if self.poll_endpoints => "no reply in time",
            _ => "no connection or no first frame in time",
        };
        self.hang_up(id, why);
    }

    /// Clients wait while this host holds all it may; each waits while its own answers pile up.
    fn hold_back(&mut self) {
        let b = &self.deployment.bounds;
        let held = self.requests.held() + self.unsent;
        self.counts.most_open = self.counts.most_open.max(self.requests.open() as u64);
        self.counts.most_held = self.counts.most_held.max(held as u64);
        let full = self.requests.open() >= b.most_open as usize || held >= b.most_held;
        // Some room first, so that reading does not go on and off with each frame.
        let roomy =
            self.requests.open() < b.most_open as usize / 10 * 9 + 1 && held < b.most_held / 10 * 9 + 1;
        if full != self.held_back && (full || roomy) {
            self.held_back = full;
            self.counts.held_back += u64::from(full);
            let clients = self.links.iter().filter(|(_, l)| matches!(l.who, Who::Client));
            for link in clients.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.pressure(link);
            }
        }
    }

    fn pressure(&mut self, id: LinkId) {
        let most = self.deployment.bounds.most_unsent;
        let Some(link) = self.links.get_mut(&id).filter(|l| matches!(l.who, Who::Client)) else { return };
        let on = !self.held_back && link.unsent < most;
        if link.reading != on {
            link.reading = on;
            self.outputs.push(Output::Reading { link: id, on });
        }
    }

    fn not_taken(&mut self, link: LinkId, id: u64, reason: String, leaving: bool) {
        self.counts.not_taken += 1;
        self.send(link, Frame::from(NotTaken { id, reason, leaving }));
    }
}
