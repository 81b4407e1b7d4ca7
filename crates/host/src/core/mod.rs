//! The host as a state machine. It receives [`Input`]s and the time, and returns [`Output`]s. It has no socket
//! and no clock, and its caller seeds its random generator, so tests and benchmarks can run it at any speed.
//!
//! A caller (the `runtime` module, a test, a benchmark) passes in what happened with [`Core::handle`], any
//! number of times. It then calls [`Core::advance`] once and carries out [`Core::outputs`] in their order.
//! [`Core::next_wake_up`] returns the time by which [`Core::advance`] must be called again.
//!
//! This file holds the list of components and these entry points. Each component's state is in its own file:
//!
//! 1. `ids`, `input_output`, `proposal`, `operator_command`, `event_queue`, `timers`, `counters` and `identity`: ids,
//!    inputs and outputs, scheduler events, timers, counters, and the identity of this process.
//! 2. `connection_table`, `incoming_connections`, `back_pressure` and [`reconnect`]: connections of every
//!    kind.
//! 3. `frames_in` dispatches frames by the role of their sender; `peers`, `endpoint_list` and
//!    `node_connections` handle one role each.
//! 4. `request_handling`, `attempt_handling`, [`requests`] and [`nodes`]: from a client's request to its one
//!    final answer.
//! 5. [`config_change`], [`fleet`], [`maintenance`], `server_drains`, [`zone_traffic`] and `shutdown`: configuration
//!    changes, fleet membership, servers taken offline, traffic between zones, and shutdown.

mod attempt_handling;
mod back_pressure;
pub mod clock;
pub mod config_change;
mod connection_table;
mod counters;
mod endpoint_list;
mod event_queue;
pub mod fleet;
mod fleet_budgets;
mod frames_in;
mod identity;
mod ids;
mod incoming_connections;
mod input_output;
pub mod maintenance;
mod node_connections;
pub mod nodes;
mod operator_command;
mod peer_state;
mod peers;
mod proposal;
pub mod reconnect;
mod request_handling;
pub mod requests;
mod server_drains;
mod shutdown;
mod size_metrics;
mod timer_kind;
mod timers;
pub mod zone_traffic;

pub use counters::{Counts, HeldLoad};
pub use ids::{AttemptId, ConnectionId, RequesterId};
pub use input_output::{Input, Output};

use back_pressure::BackPressure;
use config_change::ConfigChangeState;
use connection_table::ConnectionTable;
use endpoint_list::EndpointListState;
use event_queue::EventQueue;
use fleet::FleetState;
use gullsail::Scheduler;
use gullsail_configuration::Deployment;
use gullsail_scheduler_api::{Event, HostId, Instant, UpdateKind};
use gullsail_timers::Timers;
use identity::Identity;
use maintenance::MaintenanceState;
use nodes::Nodes;
use peer_state::OutgoingPeer;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use requests::Requests;
use shutdown::ShutdownState;
use std::collections::BTreeMap;
use std::sync::Arc;
use timer_kind::TimerKind;
use timers::SWEEP_INTERVAL;
use zone_traffic::ZoneTrafficState;

/// The state of one host.
///
/// It has more than twelve fields because each field is the state of one component, defined in the file of
/// that component together with the methods that need no other component. The methods of `Core` connect the
/// components.
pub struct Core {
    identity: Identity,
    /// The current configuration. A new one replaces it as a whole.
    deployment: Arc<Deployment>,
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    /// The latest time that a caller passed in. It never decreases.
    now: Instant,
    /// Events for the scheduler's next step.
    events: EventQueue,
    /// Outputs that the caller has not fetched yet, in the order in which it must carry them out.
    outputs: Vec<Output>,
    timers: Timers<TimerKind>,

    connections: ConnectionTable,
    nodes: Nodes,
    peers: BTreeMap<HostId, OutgoingPeer>,
    endpoint_list: EndpointListState,
    requests: Requests,
    zone_traffic: ZoneTrafficState,

    config_change: ConfigChangeState,
    fleet: FleetState,
    maintenance: MaintenanceState,
    back_pressure: BackPressure,
    shutdown: ShutdownState,
    counts: Counts,
}

impl Core {
    /// Creates the state of a host that starts at `now`. `me`: the host's id in the configuration. The caller draws
    /// `seed` and `incarnation` anew for each process.
    pub fn new(
        deployment: Arc<Deployment>,
        me: HostId,
        seed: u64,
        incarnation: u64,
        now: Instant,
    ) -> Core {
        let mut core = Core {
            identity: Identity {
                host: me,
                incarnation,
                started_at: now,
            },
            scheduler: Scheduler::new(deployment.config(me), seed, now),
            rng: ChaCha8Rng::seed_from_u64(seed ^ incarnation),
            now,
            events: EventQueue::default(),
            outputs: Vec::new(),
            timers: Timers::default(),
            connections: ConnectionTable::new(now),
            nodes: Nodes::from_deployment(&deployment),
            peers: BTreeMap::new(),
            endpoint_list: EndpointListState::default(),
            requests: Requests::default(),
            zone_traffic: ZoneTrafficState::new(now),
            config_change: ConfigChangeState::new(me, &deployment, now),
            fleet: FleetState::new(&deployment),
            maintenance: MaintenanceState::new(now),
            back_pressure: BackPressure::default(),
            shutdown: ShutdownState::default(),
            counts: Counts::default(),
            deployment,
        };
        core.start(seed);
        core
    }

    /// Starts every component. The order matters: the scheduler receives the configured nodes and the first
    /// allocations before the fleet and maintenance adjust them. The configured nodes count as a stale list until the
    /// endpoint list service sends its first update.
    fn start(&mut self, seed: u64) {
        let configured = self.nodes.iter();
        let entries = configured
            .map(|(id, node)| node.endpoint(id, None))
            .collect();
        self.events.push(Event::EndpointList {
            update_kind: UpdateKind::StaleSnapshot,
            entries,
        });
        self.start_config_transition();
        self.start_fleet(seed);
        self.start_maintenance();
        self.connect_nodes();
        let first_clock_query = self.now + self.deployment.bounds.clock_every;
        self.set_timer(first_clock_query, TimerKind::ClockQueries);
        self.set_timer(self.now + SWEEP_INTERVAL, TimerKind::Sweep);
    }

    /// Handles one input. The scheduler decides on it in the next [`Core::advance`].
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.now = self.now.max(now);
        match input {
            Input::Connected(link) => self.connected(link),
            Input::ConnectFailed(link, reason) => self.connection_ended(link, &reason),
            Input::Frame(link, frame) => self.handle_frame(link, frame, false),
            Input::DelayedFrame(link, frame, waited) => {
                self.handle_delayed_frame(link, frame, waited)
            }
            Input::Written(link, bytes) => self.written(link, bytes),
            Input::Closed(link, reason) => self.connection_ended(link, &reason),
            Input::Propose(proposal) => self.propose(*proposal),
            Input::OperatorCommand(requester, command) => self.command(requester, command),
            Input::Stop => self.stop(),
        }
    }

    /// Fires all timers that are due, then lets the scheduler decide on everything that arrived since the
    /// last call.
    pub fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        while let Some(mut due) = self.timers.take_due(self.now) {
            for timer in due.drain(..) {
                self.on_timer(timer);
            }
            self.timers.give_back(due);
        }
        self.advance_fleet();
        // An attempt that cannot be sent ends at once, and the scheduler may start another. The loop ends
        // because the attempts of a request are bounded.
        while !self.events.is_empty() {
            for action in self.scheduler.step(self.now, self.events.drain()) {
                self.carry_out(action);
            }
        }
        self.update_back_pressure();
        self.finish_if_answered();
    }

    /// Removes and returns all outputs. The caller must carry them out in this order.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// Returns the time by which [`Core::advance`] must be called again, unless an input arrives earlier; `None`: no
    /// timer is set.
    pub fn next_wake_up(&self) -> Option<Instant> {
        self.timers.next()
    }
}
