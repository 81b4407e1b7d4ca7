//! A host on the platform as a state machine: [`Input`]s and the time go in, [`Output`]s come out, nothing
//! else. It has no socket, no clock and no random generator of its own, so tests run it at any speed.
//!
//! A caller passes events to [`Core::handle`], any number of times, then calls [`Core::advance`] once and
//! carries out [`Core::outputs`] in their order; [`Core::next_timer`] says when to call again at the latest.
//!
//! Where to read on: this file holds the time and the scheduler's actions; `io` the inputs and outputs;
//! [`request_parser`] what a message must hold; `clients` the connections of clients; `requests` the open
//! requests; `attempts` and `node_connections` what goes to nodes; `discovery` the endpoint list; `shutdown`
//! the end.

mod attempt_key;
mod attempts;
mod clients;
mod discovery;
mod io;
mod metrics;
mod node_connections;
mod request_error;
pub mod request_parser;
mod requests;
mod shutdown;
mod timer_event;

pub use io::{ConnectionId, Input, Output};
pub use metrics::Metrics;
pub use request_error::{HttpStatus, RequestError};

use crate::settings_document::SettingsDocument;
use attempt_key::AttemptKey;
use attempts::Attempt;
use clients::ClientTable;
use discovery::Discovery;
use gullsail::Scheduler;
use gullsail_http::Bounds;
use gullsail_scheduler_api::{Action, Event, HostId, Instant, SchedulerConfig, Span};
use gullsail_scheduler_settings::{Names, Reach};
use gullsail_timers::Timers;
use node_connections::NodeConnections;
use requests::RequestTable;
use shutdown::Shutdown;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use timer_event::TimerEvent;
use tracing::info;

/// How large messages may be, both ways; the platform's page says so.
pub const BOUNDS: Bounds = Bounds {
    head: 16 << 10,
    body: 64 << 10,
};
/// Between log lines with the metrics.
const METRICS_INTERVAL: Span = Span::from_micros(5_000_000);
/// After so long without discovery a host serves with the endpoints that it remembers.
const READY_TIMEOUT: Span = Span::from_micros(1_000_000);
/// Client and idle node connections are checked this often, while there are any.
const IDLE_CHECK_INTERVAL: Span = Span::from_micros(200_000);
/// Descriptors kept back: standard streams, listener, UDP, the runtime's own, the document that is read,
/// discovery twice while it moves.
const RESERVED_DESCRIPTORS: usize = 24;
/// The part of the other descriptors that clients may hold; nodes have the rest.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;
/// The part of the memory that open requests may hold,
const REQUEST_MEMORY_FRACTION: f64 = 0.2;
/// and the part that incomplete messages may hold.
const INPUT_MEMORY_FRACTION: f64 = 0.1;
/// Longer datagrams are no peer messages.
const MAX_PEER_MESSAGE_BYTES: usize = 256;

/// The state machine of one host.
pub struct Core {
    now: Instant,
    scheduler: Scheduler,
    /// For the scheduler, until the next [`Core::advance`].
    events: Vec<Event>,
    outputs: Vec<Output>,
    timers: Timers<TimerEvent>,
    names: Names,
    config: SchedulerConfig,
    reach: Reach,
    peers: Vec<SocketAddr>,
    last_connection: u64,
    clients: ClientTable,
    requests: RequestTable,
    attempts: BTreeMap<AttemptKey, Attempt>,
    nodes: NodeConnections,
    discovery: Discovery,
    shutdown: Shutdown,
    ready: bool,
    idle_check_scheduled: bool,
    metrics: Metrics,
}

impl Core {
    /// A host that begins to connect to discovery; `descriptors`: how many the process itself may hold.
    pub fn new(document: SettingsDocument, descriptors: usize, now: Instant) -> Core {
        let sockets = document
            .limits
            .sockets
            .min(descriptors)
            .max(RESERVED_DESCRIPTORS + 8);
        let shared = sockets - RESERVED_DESCRIPTORS;
        let for_clients = (shared as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize;
        let memory_mb = document.limits.memory_mb;
        let bytes = |fraction: f64| (memory_mb * fraction * 1e6) as usize;
        info!(
            host = document.name,
            sockets,
            of_clients = for_clients,
            memory_mb,
            "starting"
        );
        let mut core = Core {
            now,
            scheduler: Scheduler::new(document.config.clone(), document.seed, now),
            events: Vec::new(),
            outputs: Vec::new(),
            timers: Timers::default(),
            names: document.names,
            config: document.config,
            reach: document.reach,
            peers: document.peers,
            last_connection: 0,
            clients: ClientTable::new(for_clients, bytes(INPUT_MEMORY_FRACTION)),
            requests: RequestTable::new(bytes(REQUEST_MEMORY_FRACTION)),
            attempts: BTreeMap::new(),
            nodes: NodeConnections::new(shared - for_clients),
            discovery: Discovery::new(document.discovery),
            shutdown: Shutdown::Serving,
            ready: false,
            idle_check_scheduled: false,
            metrics: Metrics::default(),
        };
        if let Some(page) = document.stored_endpoints {
            core.restore_endpoints(&page);
        }
        core.connect_discovery();
        core.timers
            .set(now + READY_TIMEOUT, TimerEvent::ReadyTimeout);
        core.timers
            .set(now + METRICS_INTERVAL, TimerEvent::LogMetrics);
        core
    }

    fn next_connection_id(&mut self) -> ConnectionId {
        self.last_connection += 1;
        ConnectionId(self.last_connection)
    }

    /// Takes one event; what follows from it is decided in [`Core::advance`].
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.now = self.now.max(now);
        match input {
            Input::Connected(conn) if self.discovery.owns(conn) => self.poll_discovery(conn),
            Input::Connected(conn) => self.node_connected(conn),
            Input::Received(conn, bytes) if self.discovery.owns(conn) => {
                self.discovery_received(conn, &bytes);
            }
            Input::Received(conn, bytes) if self.clients.contains(conn) => {
                self.client_received(conn, &bytes)
            }
            Input::Received(conn, bytes) => self.node_received(conn, &bytes),
            Input::Written(conn) if self.clients.contains(conn) => self.client_written(conn),
            Input::Written(conn) => self.node_written(conn),
            Input::WriteClosed(conn) => self.client_write_closed(conn),
            Input::NotWritten(conn) => self.node_not_written(conn),
            Input::Closed(conn) if self.discovery.owns(conn) => {
                self.discovery_connection_lost(conn, "its connection ended");
            }
            Input::Closed(conn) if self.clients.contains(conn) => self.client_closed(conn),
            Input::Closed(conn) => self.node_connection_closed(conn),
            Input::Datagram(from, bytes) => self.datagram_received(from, &bytes),
            Input::Reload(document) => self.reload(*document),
            Input::Shutdown => self.begin_shutdown(),
            Input::ShutdownNow => self.shut_down_now(),
        }
    }

    /// Runs the timers that are due, then the scheduler until it has no more actions at this time.
    pub fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        while let Some(mut bucket) = self.timers.take(self.now) {
            for event in bucket.drain(..) {
                self.timer_fired(event);
            }
            self.timers.give_back(bucket);
        }
        loop {
            let events = std::mem::take(&mut self.events);
            for action in self.scheduler.step(self.now, events) {
                self.carry_out(action);
            }
            if self.events.is_empty() {
                break;
            }
        }
        self.exit_if_done();
    }

    /// The orders since the last call, to be carried out in this order.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`Core::advance`] has to be called at the latest.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// The counters since the start.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// What is held now, by name: none of these numbers may grow with what came and went.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let mut sizes = self.scheduler.size_metrics();
        sizes.extend([
            ("clients", self.clients.len()),
            ("transfers", self.requests.len()),
            ("legs", self.attempts.len()),
            ("links", self.nodes.connection_count()),
            ("links.nodes", self.nodes.node_count()),
            ("due", self.timers.pending()),
            ("bytes", self.held_bytes()),
        ]);
        sizes
    }

    fn held_bytes(&self) -> usize {
        self.requests.held_bytes() + self.clients.buffered_bytes()
    }

    fn timer_fired(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::Scheduler(id) => self.events.push(Event::Timer(id)),
            TimerEvent::AttemptTimeout(key) => self.attempt_timed_out(key),
            TimerEvent::ConnectionWaitTimeout(key) => self.connection_wait_timed_out(key),
            TimerEvent::ConnectTimeout(conn) => self.connect_timed_out(conn),
            TimerEvent::IdleCheck => {
                self.idle_check_scheduled = false;
                self.check_client_ages();
                self.close_aged_connections();
                self.schedule_idle_check();
            }
            TimerEvent::DiscoveryTimeout(poll) => self.discovery_timed_out(poll),
            TimerEvent::DiscoveryRetry => self.connect_discovery(),
            TimerEvent::ReadyTimeout => self.ready = true,
            TimerEvent::LogMetrics => {
                self.log_metrics("counts");
                self.timers
                    .set(self.now + METRICS_INTERVAL, TimerEvent::LogMetrics);
            }
            TimerEvent::ShutdownStage => self.advance_shutdown(),
            TimerEvent::Exit => self.exit(),
        }
    }

    /// The next check, if there are connections to check.
    fn schedule_idle_check(&mut self) {
        let has_connections = self.clients.len() > 0 || self.nodes.connection_count() > 0;
        if !self.idle_check_scheduled && has_connections {
            self.idle_check_scheduled = true;
            self.timers
                .set(self.now + IDLE_CHECK_INTERVAL, TimerEvent::IdleCheck);
        }
    }

    fn log_metrics(&self, what: &str) {
        let counts = serde_json::to_string(&self.metrics).unwrap_or_default();
        let list_age_ms = self.discovery.age(self.now).map(|age| age.millis() as i64);
        info!(
            clients = self.clients.len(),
            links = self.nodes.connection_count(),
            open = self.requests.waiting(),
            attempts = self.attempts.len(),
            held = self.held_bytes(),
            list_age_ms,
            counts,
            "{what}"
        );
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, node, time_out } => self.start_attempt(id, node, time_out),
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail { id } => self.fail(id),
            // Discovery is followed all the time.
            Action::WatchEndpoints => {}
            Action::SetTimer { id, at } => self.timers.set(at, TimerEvent::Scheduler(id)),
            // The platform states no budgets between zones.
            Action::BudgetOverrun { .. } => {}
            Action::SendToPeer { to, bytes } => {
                if let Some(address) = self.peers.get(to.0 as usize) {
                    self.metrics.peer_messages_sent += 1;
                    self.outputs.push(Output::Datagram {
                        to: *address,
                        bytes: bytes.into(),
                    });
                }
            }
        }
    }

    fn datagram_received(&mut self, from: SocketAddr, bytes: &[u8]) {
        match self.peers.iter().position(|peer| *peer == from) {
            Some(host) if bytes.len() <= MAX_PEER_MESSAGE_BYTES => {
                self.metrics.peer_messages_received += 1;
                self.events.push(Event::PeerMessage {
                    from: HostId(host as u32),
                    bytes: bytes.to_vec(),
                });
            }
            _ => self.metrics.foreign_datagrams += 1,
        }
    }
}
