//! The host as a state machine: [`Input`]s and the time go in, [`Output`]s come out, nothing else. It has no
//! socket, no clock and no random source of its own, so tests and the simulator run it at any speed.
//!
//! A caller (the `runtime` module, a test, a benchmark) hands over what happened with [`Core::handle`], any
//! number of times, then calls [`Core::advance`] once and carries out [`Core::outputs`] in their order;
//! [`Core::next_wake_up`] says when to call again at the latest.
//!
//! This file holds the state and these entry points. Where to read on:
//!
//! 1. `input_output`, `timers` and `counters`: what goes in and out, what is due later, what is counted.
//! 2. `connection_table`, `incoming_connections`, `back_pressure` and [`reconnect`]: connections of every
//!    kind.
//! 3. `frames_in`: frames by the role of their sender; `peers`, `endpoint_list` and `node_connections`: each
//!    role.
//! 4. `request_handling`, `attempt_handling`, [`requests`] and [`nodes`]: from a client's request to its one
//!    answer.
//! 5. [`config_change`], [`fleet`], [`maintenance`], `server_drains` and [`zone_traffic`]: configuration,
//!    what hosts agree on, servers taken offline, and traffic between zones.

mod attempt_handling;
mod back_pressure;
pub mod clock;
pub mod config_change;
mod connection_table;
mod counters;
mod endpoint_list;
pub mod fleet;
mod fleet_budgets;
mod frames_in;
mod incoming_connections;
mod input_output;
pub mod maintenance;
mod node_connections;
pub mod nodes;
mod peers;
pub mod reconnect;
mod request_handling;
pub mod requests;
mod server_drains;
mod size_metrics;
mod timers;
pub mod zone_traffic;

pub use counters::{Counts, HeldLoad};
pub use input_output::{Input, LinkId, Output, RequesterId};

use connection_table::Link;
use gullsail::Scheduler;
use gullsail_config_transition::ConfigTransition;
use gullsail_configuration::Deployment;
use gullsail_fleet::Fleet;
use gullsail_fleet::delayed_increase::DelayedIncrease;
use gullsail_scheduler_api::{Event, FleetMembership, HostId, Instant, Span, UpdateKind};
use gullsail_timers::Timers;
use gullsail_zone_traffic::{Ledger, Overruns};
use incoming_connections::MAX_LINKS;
use nodes::Nodes;
use peers::OutgoingPeer;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reconnect::OutboundConnection;
use requests::Requests;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use timers::{SWEEP_INTERVAL, TimerKind};
use tracing::info;

/// Length of one bucket of the ledger of traffic between zones.
const LEDGER_BUCKET: Span = Span::from_micros(10_000_000);

/// One host: all of its state, between two inputs.
pub struct Core {
    me: HostId,
    deployment: Arc<Deployment>,
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now: Instant,
    started_at: Instant,
    incarnation: u64,
    /// For the scheduler, in the next step.
    events: Vec<Event>,
    outputs: Vec<Output>,
    timers: Timers<TimerKind>,

    links: BTreeMap<LinkId, Link>,
    last_link: u64,
    nodes: Nodes,
    peers: BTreeMap<HostId, OutgoingPeer>,
    endpoint_list: OutboundConnection,
    /// The endpoint list was queried on its connection and has not replied yet.
    poll_endpoints: bool,
    requests: Requests,

    /// Traffic between zones, and overruns of its budgets.
    ledger: Ledger,
    overruns: Overruns,

    config_transition: ConfigTransition,
    next_revision_round: Option<Instant>,

    /// What hosts agree on, where the configuration asks for it; the time of its next turn.
    fleet: Option<Fleet>,
    next_fleet_turn: Option<Instant>,
    /// Hosts that are offline by the fleet's decision.
    hosts_offline: BTreeSet<HostId>,
    /// This host's share of the slow-start budget, which rises with a delay, and when it rises next.
    slow_start_share: DelayedIncrease,
    next_slow_start_increase: Option<Instant>,
    /// The fleet membership that the scheduler knows.
    last_membership: Option<FleetMembership>,

    next_server_check: Instant,
    /// The stage of each maintenance order that was logged last.
    logged_stages: BTreeMap<u64, gullsail_fleet::maintenance::Stage>,

    /// Bytes that wait for the other sides of all connections.
    unsent: usize,
    /// Connections that others opened, and how many there may be.
    incoming_links: usize,
    max_incoming_links: usize,
    next_idle_search: Instant,
    /// The host holds all it may, so clients wait.
    at_capacity: bool,
    stopping: bool,
    finished: bool,
    /// Operator commands without a result yet, and until when this host stays for their sake.
    pending_commands: BTreeMap<RequesterId, Instant>,
    counts: Counts,
}

impl Core {
    /// `seed` and `incarnation` are drawn anew for each incarnation of a host.
    pub fn new(
        deployment: Arc<Deployment>,
        me: HostId,
        seed: u64,
        incarnation: u64,
        now: Instant,
    ) -> Core {
        let nodes = Nodes::from_document(&deployment);
        let mut core = Core {
            me,
            scheduler: Scheduler::new(deployment.config(me), seed, now),
            rng: ChaCha8Rng::seed_from_u64(seed ^ incarnation),
            now,
            started_at: now,
            incarnation,
            events: Vec::new(),
            outputs: Vec::new(),
            timers: Timers::default(),
            links: BTreeMap::new(),
            last_link: 0,
            nodes,
            peers: BTreeMap::new(),
            endpoint_list: OutboundConnection::default(),
            poll_endpoints: false,
            requests: Requests::default(),
            config_transition: ConfigTransition::new(
                me,
                deployment.hosts.len() as u32,
                deployment.line.clone(),
                now,
            ),
            next_revision_round: None,
            fleet: None,
            next_fleet_turn: None,
            hosts_offline: BTreeSet::new(),
            slow_start_share: Core::slow_start_delayed_increase(&deployment),
            next_slow_start_increase: None,
            last_membership: None,
            next_server_check: now,
            logged_stages: BTreeMap::new(),
            ledger: Ledger::new(LEDGER_BUCKET, now),
            overruns: Overruns::default(),
            unsent: 0,
            incoming_links: 0,
            max_incoming_links: MAX_LINKS,
            next_idle_search: now,
            at_capacity: false,
            stopping: false,
            finished: false,
            pending_commands: BTreeMap::new(),
            counts: Counts::default(),
            deployment,
        };
        let remembered = core.nodes.iter().map(|(id, n)| n.entry(id, None)).collect();
        core.events.push(Event::EndpointList {
            update_kind: UpdateKind::StaleSnapshot,
            entries: remembered,
        });
        core.start_config_transition();
        core.start_fleet(seed);
        core.start_maintenance();
        core.connect_nodes();
        core.at(
            now + core.deployment.bounds.clock_every,
            TimerKind::ClockQueries,
        );
        core.at(now + SWEEP_INTERVAL, TimerKind::Sweep);
        core
    }

    /// Takes one input; what follows from it is done by the next [`Core::advance`].
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.now = self.now.max(now);
        match input {
            Input::Connected(link) => self.connected(link),
            Input::ConnectFailed(link, why) => self.link_ended(link, &why),
            Input::Frame(link, frame) => self.handle_frame(link, frame, false),
            Input::DelayedFrame(link, frame, waited) => {
                self.handle_delayed_frame(link, frame, waited)
            }
            Input::Written(link, bytes) => self.written(link, bytes),
            Input::Closed(link, why) => self.link_ended(link, &why),
            Input::Propose(proposal) => self.propose(*proposal),
            Input::OperatorCommand(requester, command) => self.command(requester, command),
            Input::Stop => self.stop(),
        }
    }

    fn stop(&mut self) {
        if !self.stopping {
            info!(
                open = self.requests.open(),
                "stopping: nothing new is taken"
            );
            self.stopping = true;
        }
    }

    /// Fires all timers that are due, then lets the scheduler decide on all that came since the last call.
    pub fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        while let Some(mut due) = self.timers.take(self.now) {
            for timer in due.drain(..) {
                self.on_timer(timer);
            }
            self.timers.give_back(due);
        }
        self.fleet_turn();
        // An attempt that can't go out ends at once and may bring another; attempts of a request are bounded.
        while !self.events.is_empty() {
            for action in self.scheduler.step(self.now, self.events.drain(..)) {
                self.act(action);
            }
        }
        self.update_back_pressure();
        self.finish_if_answered();
    }

    /// Ends a stopping host once everything is answered. It stays a little longer for operator commands: a
    /// host that is taken offline by a command must not exit before the operator has the result.
    fn finish_if_answered(&mut self) {
        let commands_finished = self
            .pending_commands
            .values()
            .all(|until| *until <= self.now);
        if !self.stopping || !commands_finished || self.requests.open() != 0 || self.finished {
            return;
        }
        if self.leave_fleet() {
            self.finished = true;
            info!("all is answered");
            self.outputs.push(Output::Finished);
        }
    }

    /// What is to be done outside, in this order.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// When [`Core::advance`] has to be called at the latest.
    pub fn next_wake_up(&self) -> Option<Instant> {
        self.timers.next()
    }
}
