//! A host on the platform as a state machine: [`Input`]s and the time go in, [`Output`]s come out, nothing else. It has
//! no socket, no clock and no chance of its own, so tests play it at any speed.
//!
//! A caller hands over what happened with [`Core::handle`], any number of times, then calls [`Core::advance`] once and
//! carries out [`Core::outputs`] in their order; [`Core::next_timer`] says when to call again at the latest. Read
//! `mod.rs` for time and the module's actions, [`ask`] for what a message must hold, `clients` for connections of
//! clients, `attempts` and `links` for attempts and connections to nodes, `list` for discovery, `shutdown` for the end.

pub mod ask;
mod attempts;
mod clients;
mod counts;
mod links;
mod list;
mod requests;
mod shutdown;

use crate::document::Document;
use attempts::{Attempt, AttemptKey};
use bytes::Bytes;
use clients::Clients;
pub use counts::Counts;
use gullsail::Scheduler;
use gullsail_http::Bounds;
use gullsail_scheduler_api::*;
use gullsail_scheduler_settings::{Names, Reach};
use gullsail_timers::Timers;
use links::Links;
use list::List;
use requests::Requests;
use shutdown::Shutdown;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::info;

/// What messages may hold, both ways: of the platform's page.
pub const BOUNDS: Bounds = Bounds { head: 16 << 10, body: 64 << 10 };
/// Between lines of the log that hold the counts.
const SAY: Span = Span::from_micros(5_000_000);
/// After so long without a list a host serves by what it remembers.
const READY: Span = Span::from_micros(1_000_000);
/// Clients and idle links are looked over so often, while there are any.
const LOOK: Span = Span::from_micros(200_000);
/// Descriptors kept back: standard streams, listener, UDP, the runtime's own, the document that is read, discovery
/// twice while it moves.
const OWN: usize = 24;
/// Of the descriptors that are left, the part that clients may hold; nodes have the rest.
const OF_CLIENTS: f64 = 0.6;
/// Of the memory, the part that open requests may hold, and the part that what is still coming may.
const HELD: f64 = 0.2;
const COMING: f64 = 0.1;

/// A connection, by a number that is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// What happened on sockets. Of a connection [`Input::Ended`] is always the last.
#[derive(Debug)]
pub enum Input {
    /// A connection that was dialled stands.
    Up(ConnId),
    Came(ConnId, Bytes),
    /// All that was to be written is with the operating system.
    Written(ConnId),
    /// It was found over before a byte of what was to be written left.
    Unwritten(ConnId),
    /// Its sending has ended behind all that was to be written.
    Shut(ConnId),
    Ended(ConnId),
    Datagram(SocketAddr, Bytes),
    /// Another document: of it only where discovery is counts while serving.
    Reload(Box<Document>),
    Stop,
    /// A second word: what is open is answered at once.
    StopNow,
}

/// What the caller is to do.
#[derive(Debug, PartialEq)]
pub enum Output {
    Dial {
        conn: ConnId,
        address: String,
    },
    /// To a node or discovery: only if nothing is there to be read and no more than `seen` bytes were read on it before,
    /// which would mean that it is over.
    Send {
        conn: ConnId,
        bytes: Bytes,
        seen: u64,
    },
    /// To a client.
    Answer {
        conn: ConnId,
        bytes: Bytes,
    },
    /// Reads over what comes from now on: only the end is of interest.
    Ignore {
        conn: ConnId,
    },
    /// Writes out what is to be written, ends its sending, reads over what comes for a while, then closes.
    Finish {
        conn: ConnId,
    },
    /// The same, unless there is something to read, or more than `seen` bytes were read on it before.
    CloseIdle {
        conn: ConnId,
        seen: u64,
    },
    Close {
        conn: ConnId,
    },
    Datagram {
        to: SocketAddr,
        bytes: Bytes,
    },
    /// Takes what waits to be accepted, then no more.
    StopAccepting,
    /// All is written and every connection of a client has ended, or there is no more time for it.
    Exit,
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Module(TimerId),
    /// The time of an attempt is over.
    AttemptEnds(AttemptKey),
    /// It may not wait for a connection any longer.
    AttemptWaited(AttemptKey),
    DialEnds(ConnId),
    Look,
    /// Discovery says nothing in answer to this question.
    ListSilent(u64),
    ListAgain,
    Ready,
    Say,
    ShutDown,
    /// The platform would end the host the next moment.
    Exit,
}

pub struct Core {
    now: Instant,
    scheduler: Scheduler,
    events: Vec<Event>,
    outputs: Vec<Output>,
    due: Timers<Due>,
    names: Names,
    config: SchedulerConfig,
    reach: Reach,
    peers: Vec<SocketAddr>,
    last_conn: u64,
    clients: Clients,
    requests: Requests,
    attempts: BTreeMap<AttemptKey, Attempt>,
    links: Links,
    list: List,
    shutdown: Shutdown,
    ready: bool,
    looks: bool,
    counts: Counts,
}

impl Core {
    /// `descriptors`: what the process itself may hold.
    pub fn new(d: Document, descriptors: usize, now: Instant) -> Core {
        let sockets = d.limits.sockets.min(descriptors).max(OWN + 8);
        let of_clients = ((sockets - OWN) as f64 * OF_CLIENTS) as usize;
        let bytes = |part: f64| (d.limits.memory_mb * part * 1e6) as usize;
        info!(host = d.name, sockets, of_clients, memory_mb = d.limits.memory_mb, "starting");
        let mut core = Core {
            now,
            scheduler: Scheduler::new(d.config.clone(), d.seed, now),
            events: Vec::new(),
            outputs: Vec::new(),
            due: Timers::default(),
            names: d.names,
            config: d.config,
            reach: d.reach,
            peers: d.peers,
            last_conn: 0,
            clients: Clients::new(of_clients, bytes(COMING)),
            requests: Requests::new(bytes(HELD)),
            attempts: BTreeMap::new(),
            links: Links::new(sockets - OWN - of_clients),
            list: List::new(d.discovery),
            shutdown: Shutdown::Serving,
            ready: false,
            looks: false,
            counts: Counts::default(),
        };
        if let Some(known) = d.known {
            core.remember(known);
        }
        core.dial_list();
        core.due.set(now + READY, Due::Ready);
        core.due.set(now + SAY, Due::Say);
        core
    }

    fn conn(&mut self) -> ConnId {
        self.last_conn += 1;
        ConnId(self.last_conn)
    }

    pub fn handle(&mut self, now: Instant, input: Input) {
        self.now = self.now.max(now);
        match input {
            Input::Up(conn) if self.list.is(conn) => self.ask_list(conn),
            Input::Up(conn) => self.link_up(conn),
            Input::Came(conn, bytes) if self.list.is(conn) => self.list_came(conn, &bytes),
            Input::Came(conn, bytes) if self.clients.has(conn) => self.client_came(conn, &bytes),
            Input::Came(conn, bytes) => self.link_came(conn, &bytes),
            Input::Written(conn) if self.clients.has(conn) => self.client_written(conn),
            Input::Written(conn) => self.link_written(conn),
            Input::Shut(conn) => self.client_shut(conn),
            Input::Unwritten(conn) => self.link_unwritten(conn),
            Input::Ended(conn) if self.list.is(conn) => self.list_lost(conn, "its connection ended"),
            Input::Ended(conn) if self.clients.has(conn) => self.client_ended(conn),
            Input::Ended(conn) => self.link_ended(conn),
            Input::Datagram(from, bytes) => self.peer_said(from, &bytes),
            Input::Reload(d) => self.reload(*d),
            Input::Stop => self.stop(),
            Input::StopNow => self.stop_now(),
        }
    }

    /// Timers, then the module until it wants nothing more at this time.
    pub fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        while let Some(mut bucket) = self.due.take(self.now) {
            bucket.drain(..).for_each(|due| self.is_due(due));
            self.due.give_back(bucket);
        }
        loop {
            let events = std::mem::take(&mut self.events);
            let actions = self.scheduler.step(self.now, events);
            actions.into_iter().for_each(|a| self.act(a));
            if self.events.is_empty() {
                break;
            }
        }
        self.exit_if_done();
    }

    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub fn next_timer(&self) -> Option<Instant> {
        self.due.next()
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// What is held now, by name: nothing of it may grow with what came and went.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let mut all = self.scheduler.size_metrics();
        all.extend([
            ("clients", self.clients.len()),
            ("transfers", self.requests.len()),
            ("legs", self.attempts.len()),
            ("links", self.links.len()),
            ("links.nodes", self.links.nodes()),
            ("due", self.due.pending()),
            ("bytes", self.requests.held() + self.clients.coming()),
        ]);
        all
    }

    fn is_due(&mut self, due: Due) {
        match due {
            Due::Module(id) => self.events.push(Event::Timer(id)),
            Due::AttemptEnds(key) => self.attempt_ends(key),
            Due::AttemptWaited(key) => self.attempt_waited(key),
            Due::DialEnds(conn) => self.dial_ends(conn),
            Due::Look => {
                self.looks = false;
                self.look_over_clients();
                self.look_over_links();
                self.keep_looking();
            }
            Due::ListSilent(question) => self.list_silent(question),
            Due::ListAgain => self.dial_list(),
            Due::Ready => self.ready = true,
            Due::Say => {
                self.say("counts");
                self.due.set(self.now + SAY, Due::Say);
            }
            Due::ShutDown => self.shut_down_further(),
            Due::Exit => self.left(),
        }
    }

    /// The next look, if there is anything to look at.
    fn keep_looking(&mut self) {
        if !self.looks && (self.clients.len() > 0 || self.links.len() > 0) {
            self.looks = true;
            self.due.set(self.now + LOOK, Due::Look);
        }
    }

    fn say(&self, what: &str) {
        let counts = serde_json::to_string(&self.counts).unwrap_or_default();
        let list_age_ms = self.list.age(self.now).map(|a| a.millis() as i64);
        info!(
            clients = self.clients.len(),
            links = self.links.len(),
            open = self.requests.open(),
            attempts = self.attempts.len(),
            held = self.requests.held() + self.clients.coming(),
            list_age_ms,
            counts,
            "{what}"
        );
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, node, time_out } => self.start_attempt(id, node, time_out),
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail { id } => self.fail(id),
            // It is followed all the time.
            Action::WatchEndpoints => {}
            Action::SetTimer { id, at } => self.due.set(at, Due::Module(id)),
            // The platform states no budgets between zones.
            Action::BudgetOverrun { .. } => {}
            Action::SendToPeer { to, bytes } => {
                if let Some(to) = self.peers.get(to.0 as usize) {
                    self.counts.told += 1;
                    self.outputs.push(Output::Datagram { to: *to, bytes: bytes.into() });
                }
            }
        }
    }

    fn peer_said(&mut self, from: SocketAddr, bytes: &[u8]) {
        match self.peers.iter().position(|p| *p == from) {
            Some(host) if bytes.len() <= 256 => {
                self.counts.heard += 1;
                self.events.push(Event::PeerMessage { from: HostId(host as u32), bytes: bytes.to_vec() });
            }
            _ => self.counts.foreign_datagrams += 1,
        }
    }
}
