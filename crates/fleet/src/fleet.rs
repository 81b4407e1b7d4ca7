//! The state machine that each host of a fleet runs. [`Fleet::handle`] takes an event, [`Fleet::advance`]
//! does what is due at a time, and [`Fleet::outputs`] yields the messages to send. It does no I/O, reads no
//! clock and draws random numbers from its own seed alone. [`Fleet::share`] returns what the host may use;
//! [`Fleet::changed`] tells whether that may have changed.
//!
//! One concern a file:
//! - `event`: the events and outputs;
//! - `messages`: validates each message and dispatches it;
//! - `election`: seeks and renews the coordinator lease;
//! - `membership`: renews this host's member lease, and leaves the fleet;
//! - `coordination`: grants member leases while this host is the coordinator;
//! - `maintenance_participant`, `maintenance_coordination`: the same two sides for servers taken offline;
//! - `operator_commands`: sends operators' commands to the coordinator;
//! - `status_report`: builds the view for operators.

mod coordination;
mod election;
mod event;
mod maintenance_coordination;
mod maintenance_participant;
mod membership;
mod messages;
mod operator_commands;
mod status_report;

pub use event::{Event, Output};
pub use operator_commands::Answer;

use crate::config::FleetConfig;
use crate::coordinator::{Coordinator, MemberState};
use crate::coordinator_lease::{Acceptor, LeaseCandidate, renewal_check_interval};
use crate::demand::Demand;
use crate::maintenance::coordinator::MaintenanceCoordinator;
use crate::member_lease::MemberLeaseHolder;
use crate::status::Counts;
use event::Departure;
use gullsail_protocol::{FleetMember, FleetMessage};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use maintenance_participant::MaintenanceState;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::sync::Arc;
use tracing::{info, warn};

/// The version of the protocol. Messages of another version are dropped and counted.
pub const RULES: u32 = 1;

/// How long a host waits after its acceptor has recovered before it first seeks the coordinator lease, in
/// coordinator leases. Random, so that hosts that start together do not all compete at once: two candidates
/// at the same moment refuse each other. A wider range delays the first election.
const FIRST_ATTEMPT_COORDINATOR_LEASES: Range<f64> = 0.0..0.5;

/// One host's part in the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: HostId,
    incarnation: u64,
    config: Arc<FleetConfig>,
    rng: ChaCha8Rng,
    now: Instant,
    acceptor: Acceptor,
    candidate: LeaseCandidate,
    /// While this host is the coordinator.
    coordinator: Option<Coordinator>,
    lease_holder: MemberLeaseHolder,
    demand: Demand,
    epoch: u64,
    members: Vec<FleetMember>,
    /// A coordinator reported that another process holds the lease of this host. This process uses nothing
    /// until a lease is granted to it.
    fenced: bool,
    departure: Departure,
    /// When hosts that are not members are polled again.
    next_poll: Instant,
    /// When the next timed action is due.
    due: Instant,
    outputs: Vec<Output>,
    /// Messages of this host to itself, handled in the same step.
    loopback: VecDeque<FleetMessage>,
    changed: bool,
    maintenance: MaintenanceState,
    /// While this host is the coordinator.
    maintenance_coordinator: Option<MaintenanceCoordinator>,
    dropped: BTreeMap<&'static str, u64>,
    counts: Counts,
}

impl Fleet {
    /// `incarnation` and `seed` are drawn anew each time a host starts.
    pub fn new(
        config: Arc<FleetConfig>,
        me: HostId,
        incarnation: u64,
        seed: u64,
        now: Instant,
    ) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ incarnation);
        let acceptor = Acceptor::new(&config, now);
        let wait = config
            .coordinator_lease()
            .times(rng.random_range(FIRST_ATTEMPT_COORDINATOR_LEASES));
        // Rounds begin at the clock's milliseconds: above those of earlier incarnations, unless clocks are
        // far apart. Safety does not depend on it: an acceptor accepts a ballot from one incarnation only.
        let round = (now.micros() / 1000).max(0) as u64;
        let candidate = LeaseCandidate::new(me, round, acceptor.recovering_until() + wait);
        Fleet {
            me,
            incarnation,
            config,
            rng,
            now,
            acceptor,
            candidate,
            coordinator: None,
            lease_holder: MemberLeaseHolder::new(now),
            demand: Demand::default(),
            epoch: 0,
            members: Vec::new(),
            fenced: false,
            departure: Departure::None,
            next_poll: now,
            due: now,
            outputs: Vec::new(),
            loopback: VecDeque::new(),
            changed: false,
            maintenance: MaintenanceState::default(),
            maintenance_coordinator: None,
            dropped: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// What may be used of a budget now, in millionths of the whole.
    pub fn share(&self, budget: VolumeId) -> u32 {
        self.share_at(budget, self.now)
    }

    /// The same, at a point that may be later than the last event.
    pub fn share_at(&self, budget: VolumeId, now: Instant) -> u32 {
        if self.fenced || self.is_leaving() {
            return 0;
        }
        let floor = self
            .config
            .budgets
            .get(&budget)
            .map_or(0, |budget| budget.floor(self.me));
        self.lease_holder.share(budget, now).unwrap_or(floor)
    }

    /// The share of each budget that may be used now, and how long the member lease still lasts; `None`: this
    /// host holds no lease.
    pub fn parts(&self) -> (impl Iterator<Item = (VolumeId, u32)>, Option<Span>) {
        let shares = self.config.budgets.keys().map(|id| (*id, self.share(*id)));
        let lasts = self.lease_holder.until().map(|until| until - self.now);
        (shares, lasts)
    }

    /// Whether shares, members or orders may have changed since this was last called.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether this host is the coordinator at that time.
    pub fn decides(&self, now: Instant) -> bool {
        self.coordinator.is_some() && self.candidate.held(now).is_some()
    }

    /// Counts the changes of membership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Hosts whose lease has expired or that have left, by the coordinator's newest message. They use at most
    /// their floor share.
    pub fn out(&self) -> impl Iterator<Item = HostId> {
        let is_out = |member: &&FleetMember| {
            let state = MemberState::from_number(member.state);
            matches!(state, Some(MemberState::Out | MemberState::Left))
        };
        self.members
            .iter()
            .filter(is_out)
            .map(|member| HostId(member.host))
    }

    /// Whether this host has left: the coordinator has acknowledged it, or none did in time.
    pub fn has_left(&self) -> bool {
        self.departure == Departure::Complete
    }

    fn is_leaving(&self) -> bool {
        self.departure != Departure::None
    }

    /// Handles an event. Messages that follow from it are in [`Fleet::outputs`]; a change of shares is reported
    /// by [`Fleet::changed`].
    pub fn handle(&mut self, now: Instant, event: Event) {
        self.drop_expired_leases(now);
        if !matches!(
            event,
            Event::DemandObserved { .. } | Event::ServersObserved { .. }
        ) {
            self.due = now;
        }
        match event {
            Event::Message { link, message } => {
                self.counts.messages_in += 1;
                self.receive(link, message);
            }
            Event::DemandObserved { budget, units } => self.demand.add(budget, units, now),
            Event::Config(config) => self.config_changed(config),
            Event::Leave if !self.is_leaving() => {
                info!(
                    member = self.me.0,
                    epoch = self.epoch,
                    "graceful shutdown: leaving the fleet, shares released"
                );
                self.departure = Departure::Announced {
                    give_up_at: now + self.config.lease,
                };
                self.changed = true;
                self.announce_departure();
            }
            Event::Leave => {}
            Event::ServersObserved { servers, released } => {
                self.maintenance.servers = servers;
                self.maintenance.released = released;
            }
            Event::OperatorCommand { number, command } => self.accept_command(number, command),
        }
        self.handle_loopback();
    }

    fn config_changed(&mut self, config: Arc<FleetConfig>) {
        self.config = config;
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.config_changed(&self.config);
        }
        self.changed = true;
    }

    /// Does what is due. Returns at once if nothing is.
    pub fn advance(&mut self, now: Instant) {
        self.drop_expired_leases(now);
        if now < self.due {
            return;
        }
        if let Departure::Announced { give_up_at } = self.departure {
            if now >= give_up_at {
                self.departure = Departure::Complete;
            }
        } else {
            self.advance_candidate();
            self.advance_coordinator();
            self.send_commands();
            let renewal = self
                .lease_holder
                .next_renewal(&self.config, now, &mut self.rng);
            if let Some(renewal) = renewal {
                self.send_renewal(renewal);
            }
        }
        self.handle_loopback();
        self.due = self.next_due();
    }

    /// The messages to send.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// When to call [`Fleet::advance`] at the latest.
    pub fn next(&self) -> Instant {
        self.due
    }

    fn next_due(&self) -> Instant {
        let mut next = self.lease_holder.next();
        if self.config.is_voter(self.me) {
            next = next.min(self.candidate.next());
        }
        if self.coordinator.is_some() {
            next = next.min(self.now + renewal_check_interval(&self.config));
        }
        if let Departure::Announced { give_up_at } = self.departure {
            next = next.min(give_up_at);
        }
        self.maintenance_due().map_or(next, |due| next.min(due))
    }

    /// Drops the leases that have expired by the local clock. Runs before every event, so that a process that
    /// was paused cannot act on an expired lease.
    fn drop_expired_leases(&mut self, now: Instant) {
        self.now = self.now.max(now);
        if self.lease_holder.drop_expired_lease(self.now) {
            self.counts.leases_lost += 1;
            self.changed = true;
            warn!(
                member = self.me.0,
                epoch = self.epoch,
                coordinator = self.lease_holder.coordinator().map(|host| host.0),
                round = self.lease_holder.ballot().round,
                "member lease expired: using floor shares until it is renewed"
            );
        }
        if self.coordinator.is_some() && self.candidate.held(self.now).is_none() {
            self.coordinator = None;
            self.maintenance_coordinator = None;
            warn!(
                member = self.me.0,
                epoch = self.epoch,
                round = self.lease_holder.ballot().round,
                "coordinator lease expired: stepping down"
            );
        }
        self.update_isolation();
    }
}
