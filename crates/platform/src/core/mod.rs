//! A host on the platform as a state machine: it takes [`Input`]s with their time and produces [`Output`]s. The core
//! opens no sockets, reads no clock and seeds its random numbers from the settings document, so tests are
//! deterministic and need no real time.
//!
//! A caller passes any number of events to [`Core::handle`], then calls [`Core::advance`] once and carries out
//! [`Core::outputs`] in order. [`Core::next_timer`] returns the latest time for the next call of `advance`.
//!
//! Each module owns its state. Its methods receive the `context`, which holds the time, the timers and the counters,
//! and collects the events and outputs of the module. A step that involves several modules is a method of [`Core`] in
//! the file of the module that starts it.
//!
//! Modules in the order in which a request passes through them:
//! 1. `clients`: connections of clients. `clients/input` decodes messages, [`request_parser`] validates them,
//!    `requests` is the table of open requests.
//! 2. This file passes events to the scheduler and carries out the scheduler's actions.
//! 3. `attempts` and `node_connections`: messages to nodes and their responses.
//! 4. `clients/responses`: writes the response to the client: 200, 503 or 500.
//!
//! Other modules: `discovery` polls for the endpoint list, `peers` exchanges datagrams with other hosts, `shutdown`
//! ends the process in stages, `bounds` divides descriptors and memory.

mod attempt_key;
mod attempts;
mod bounds;
mod clients;
mod context;
mod discovery;
mod executed_ids;
mod header_values;
mod io;
mod metrics;
mod node_connections;
mod peers;
mod request_error;
pub mod request_parser;
mod requests;
mod settings;
mod shutdown;
mod timer_event;

pub use bounds::BOUNDS;
pub use io::{ConnectionId, Input, Output};
pub use metrics::Metrics;
pub use request_error::{HttpStatus, RequestError};

use crate::settings_document::SettingsDocument;
use attempt_key::AttemptKey;
use attempts::Attempt;
use bounds::ResourceBounds;
use clients::table::ClientTable;
use context::Context;
use discovery::state::Discovery;
use gullsail::Scheduler;
use gullsail_scheduler_api::{Action, Event, Instant, Span};
use node_connections::pool::NodeConnections;
use peers::Peers;
use requests::RequestTable;
use settings::Settings;
use shutdown::Shutdown;
use std::collections::BTreeMap;
use timer_event::TimerEvent;
use tracing::info;

/// Interval between log lines with the metrics.
const METRICS_INTERVAL: Span = Span::from_micros(5_000_000);
/// If discovery has not sent a list by this time after the start, health checks succeed all the same and the host
/// serves with the stored endpoints.
const READY_TIMEOUT: Span = Span::from_micros(1_000_000);

/// The state machine of one host.
pub struct Core {
    context: Context,
    settings: Settings,
    scheduler: Scheduler,
    clients: ClientTable,
    requests: RequestTable,
    attempts: BTreeMap<AttemptKey, Attempt>,
    nodes: NodeConnections,
    discovery: Discovery,
    peers: Peers,
    shutdown: Shutdown,
    /// The listener is being closed, and connections in its backlog are not accepted yet. The process must not exit
    /// before they are served.
    backlog_waits: bool,
    /// Health checks are answered with 200, otherwise with 500. Set by the first endpoint list or after
    /// [`READY_TIMEOUT`].
    ready: bool,
}

impl Core {
    /// Creates a host and starts to connect to discovery. `descriptors` is the process's limit on open descriptors.
    pub fn new(document: SettingsDocument, descriptors: usize, now: Instant) -> Core {
        let bounds = ResourceBounds::divide(document.limits, descriptors);
        info!(
            host = document.name,
            descriptors = bounds.descriptors,
            client_connections = bounds.client_connections,
            memory_mb = document.limits.memory_mb,
            "starting"
        );
        let settings = Settings {
            names: document.names,
            config: document.config,
            connection_settings: document.connection_settings,
        };
        let scheduler = Scheduler::new(settings.config.clone(), document.seed, now);
        let clients = ClientTable::new(bounds.client_connections, bounds.input_bytes);
        let nodes = NodeConnections::new(bounds.node_connections, &settings);
        let poll_endpoints = settings.config.poll_endpoints;
        let discovery = Discovery::new(document.discovery, poll_endpoints, document.seed);
        let mut core = Core {
            context: Context::new(now),
            scheduler,
            clients,
            requests: RequestTable::new(bounds.request_bytes),
            attempts: BTreeMap::new(),
            nodes,
            discovery,
            peers: Peers::new(document.peers),
            shutdown: Shutdown::Serving,
            backlog_waits: false,
            ready: false,
            settings,
        };
        if let Some(page) = document.stored_endpoints {
            core.restore_endpoints(&page);
        }
        core.start();
        core
    }

    fn start(&mut self) {
        self.discovery.connect(&mut self.context);
        self.context
            .set_timer(READY_TIMEOUT, TimerEvent::ReadyTimeout);
        self.context
            .set_timer(METRICS_INTERVAL, TimerEvent::LogMetrics);
    }

    /// Applies one event to the state. The scheduler sees it with the next [`Core::advance`].
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.context.advance_clock(now);
        match input {
            Input::Connected(conn) => self.connected(conn),
            Input::Received(conn, bytes) => self.received(conn, &bytes),
            Input::Written(conn) if self.clients.contains(conn) => self.client_written(conn),
            Input::Written(conn) => self.node_written(conn),
            Input::WriteClosed(conn) => self.clients.write_closed(conn),
            Input::NotWritten(conn) => self.node_not_written(conn),
            Input::Closed(conn) => self.connection_closed(conn),
            Input::BacklogWaits => self.backlog_waits = true,
            Input::BacklogEmpty => self.backlog_waits = false,
            Input::Datagram(from, bytes) => self.peers.receive(from, &bytes, &mut self.context),
            Input::Reload(document) => self.reload(*document),
            Input::Shutdown => self.begin_shutdown(),
            Input::ShutdownNow => self.shut_down_now(),
        }
    }

    fn connected(&mut self, conn: ConnectionId) {
        if self.discovery.owns(conn) {
            self.discovery.poll(conn, &mut self.context);
        } else {
            self.node_connected(conn);
        }
    }

    fn received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        if self.discovery.owns(conn) {
            self.discovery_received(conn, bytes);
        } else if self.clients.contains(conn) {
            self.client_received(conn, bytes);
        } else {
            self.node_received(conn, bytes);
        }
    }

    fn connection_closed(&mut self, conn: ConnectionId) {
        if self.discovery.owns(conn) {
            self.discovery
                .connection_lost(conn, "connection closed", &mut self.context);
        } else if self.clients.contains(conn) {
            self.client_closed(conn);
        } else {
            self.node_connection_closed(conn);
        }
    }

    /// Runs the timers that are due. Then runs the scheduler, until carrying out its actions causes no more events.
    pub fn advance(&mut self, now: Instant) {
        self.context.advance_clock(now);
        while let Some(mut bucket) = self.context.timers.take_due(self.context.now) {
            for event in bucket.drain(..) {
                self.timer_fired(event);
            }
            self.context.timers.give_back(bucket);
        }
        loop {
            let events = std::mem::take(&mut self.context.scheduler_events);
            for action in self.scheduler.step(self.context.now, events) {
                self.carry_out(action);
            }
            if self.context.scheduler_events.is_empty() {
                break;
            }
        }
        self.exit_if_finished();
    }

    /// Takes the outputs since the last call, in the order in which the caller has to carry them out.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.context.outputs)
    }

    /// The time by which [`Core::advance`] has to be called again. `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Instant> {
        self.context.timers.next()
    }

    /// The counters, which start at 0 when the host is created.
    pub fn metrics(&self) -> &Metrics {
        &self.context.metrics
    }

    /// The present sizes of all tables and queues, by name. None of them may depend on the number of finished requests.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        let mut sizes = self.scheduler.size_metrics();
        sizes.extend([
            ("clients", self.clients.len()),
            ("requests", self.requests.len()),
            ("executed_ids", self.requests.executed_id_count()),
            ("attempts", self.attempts.len()),
            ("node_connections", self.nodes.connection_count()),
            ("nodes", self.nodes.node_count()),
            ("timers", self.context.timers.pending()),
            ("held_bytes", self.held_bytes()),
        ]);
        sizes
    }

    fn held_bytes(&self) -> usize {
        self.requests.held_bytes() + self.clients.buffered_bytes()
    }

    fn timer_fired(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::Scheduler(id) => self.context.scheduler_events.push(Event::Timer(id)),
            TimerEvent::AttemptTimeout(key) => self.attempt_timed_out(key),
            TimerEvent::ConnectionWaitTimeout(key) => self.connection_wait_timed_out(key),
            TimerEvent::ConnectTimeout(conn) => self.connect_timed_out(conn),
            TimerEvent::ReuseDelayOver(node) => self.reuse_delay_over(node),
            TimerEvent::IdleCheck => self.check_connection_ages(),
            TimerEvent::DiscoveryTimeout(poll) => self.discovery.timed_out(poll, &mut self.context),
            TimerEvent::DiscoveryRetry => self.discovery.connect(&mut self.context),
            TimerEvent::ReadyTimeout => self.ready = true,
            TimerEvent::LogMetrics => {
                self.log_metrics("metrics");
                self.context
                    .set_timer(METRICS_INTERVAL, TimerEvent::LogMetrics);
            }
            TimerEvent::ShutdownStage => self.advance_shutdown(),
            TimerEvent::Exit => self.exit(),
        }
    }

    fn check_connection_ages(&mut self) {
        self.context.idle_check_started();
        self.check_client_ages();
        self.nodes.close_aged(&mut self.context);
        if self.clients.len() > 0 || self.nodes.connection_count() > 0 {
            self.context.schedule_idle_check();
        }
    }

    /// Logs present sizes as fields, and the counters as one JSON object: some counters are maps by cause, and the
    /// name of a log field has to be fixed at compile time.
    fn log_metrics(&self, event: &str) {
        let counters = serde_json::to_string(&self.context.metrics).unwrap_or_default();
        let list_age_ms = self
            .discovery
            .age(self.context.now)
            .map(|age| age.millis() as i64);
        info!(
            clients = self.clients.len(),
            node_connections = self.nodes.connection_count(),
            open_requests = self.requests.awaiting_response(),
            attempts = self.attempts.len(),
            held_bytes = self.held_bytes(),
            list_age_ms,
            counters,
            "{event}"
        );
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                node,
                time_out,
                send_before,
            } => self.start_attempt(id, node, time_out, send_before),
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail { id } => self.fail(id),
            // Discovery is polled all the time.
            Action::WatchEndpoints => {}
            Action::SetTimer { id, at } => self.context.timers.set(at, TimerEvent::Scheduler(id)),
            // The platform has no budgets between zones.
            Action::BudgetOverrun { .. } => {}
            Action::SendToPeer { to, bytes } => self.peers.send(to, bytes, &mut self.context),
        }
    }
}
