//! The state machine that each host of a fleet runs. [`Fleet::handle`] takes an event, [`Fleet::advance`] runs the
//! timed actions that are due, and [`Fleet::outputs`] yields the messages to send. It does no I/O, reads no clock and
//! draws random numbers only from its own seeded generator. [`Fleet::share`] returns the share of a budget that the
//! host may use; [`Fleet::changed`] returns whether shares may have changed.
//!
//! Files:
//! - `event`: the events and outputs;
//! - `messages`: validates each message and dispatches it;
//! - `election`: seeks and renews the coordinator lease;
//! - `membership`: renews this host's member lease, and leaves the fleet;
//! - `coordination`: grants member leases while this host is the coordinator;
//! - `maintenance_participant`, `maintenance_coordination`: a host's and the coordinator's side of maintenance;
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
pub use messages::RULES;
pub use operator_commands::{CommandAnswer, CommandResult};

use crate::config::FleetConfig;
use crate::coordinator_lease::renewal_check_interval;
use crate::process_id::ProcessId;
use crate::status::Statistics;
use coordination::CoordinatorRole;
use election::Election;
use event::Departure;
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use maintenance_participant::MaintenanceState;
use membership::Membership;
use messages::Outbox;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use tracing::{info, warn};

/// The state machine of one host of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    process: ProcessId,
    config: Arc<FleetConfig>,
    rng: ChaCha8Rng,
    now: Instant,
    /// When the next timed action is due.
    due: Instant,
    election: Election,
    /// The coordinator's state; `None`: this host is not the coordinator.
    coordinator_role: Option<CoordinatorRole>,
    membership: Membership,
    maintenance: MaintenanceState,
    outbox: Outbox,
    statistics: Statistics,
    /// Whether shares, members or orders may have changed since [`Fleet::changed`] was last called.
    changed: bool,
}

impl Fleet {
    /// Creates the state of host `me` at its start. The caller draws `incarnation` and `seed` at random.
    pub fn new(
        config: Arc<FleetConfig>,
        me: HostId,
        incarnation: u64,
        seed: u64,
        now: Instant,
    ) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ incarnation);
        let election = Election::new(&config, me, now, &mut rng);
        Fleet {
            process: ProcessId {
                host: me,
                incarnation,
            },
            config,
            rng,
            now,
            due: now,
            election,
            coordinator_role: None,
            membership: Membership::new(now),
            maintenance: MaintenanceState::default(),
            outbox: Outbox::default(),
            statistics: Statistics::default(),
            changed: false,
        }
    }

    /// Returns the share of a budget that this host may use as of the last event, in millionths of the whole.
    pub fn share(&self, budget: VolumeId) -> u32 {
        self.share_at(budget, self.now)
    }

    /// Returns the share of a budget that this host may use at `now`, which may be later than the last event.
    pub fn share_at(&self, budget: VolumeId, now: Instant) -> u32 {
        self.membership
            .share(&self.config, self.process.host, budget, now)
    }

    /// Returns the share of each budget that this host may use, in millionths, and the time until its member lease
    /// expires; `None`: it holds no lease.
    pub fn shares_and_lease(&self) -> (impl Iterator<Item = (VolumeId, u32)>, Option<Span>) {
        let shares = self.config.budgets.keys().map(|id| (*id, self.share(*id)));
        let remaining = self
            .membership
            .lease_holder
            .expires_at()
            .map(|until| until - self.now);
        (shares, remaining)
    }

    /// Whether shares, members or orders may have changed since this was last called.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether this host is the coordinator at `now`.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        self.coordinator_role.is_some() && self.election.candidate.held(now).is_some()
    }

    /// Returns the epoch of the membership that this host knows; it grows with every change of membership.
    pub fn epoch(&self) -> u64 {
        self.membership.epoch
    }

    /// Returns the hosts whose lease has expired or that have left, by the coordinator's newest message. They use at
    /// most their floor shares.
    pub fn inactive_hosts(&self) -> impl Iterator<Item = HostId> {
        self.membership.inactive_hosts()
    }

    /// Whether this host has left the fleet: a coordinator acknowledged the departure, or the wait for that timed out.
    pub fn has_left(&self) -> bool {
        self.membership.departure == Departure::Complete
    }

    /// Handles an event. The resulting messages are in [`Fleet::outputs`]; [`Fleet::changed`] reports a change of
    /// shares.
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
                self.statistics.counts.messages_in += 1;
                self.receive(link, message);
            }
            Event::DemandObserved { budget, units } => {
                self.membership.demand.add(budget, units, now)
            }
            Event::Config(config) => self.config_changed(config),
            Event::Leave if !self.membership.is_leaving() => {
                info!(
                    member = self.process.host.0,
                    epoch = self.membership.epoch,
                    "graceful shutdown: leaving the fleet, shares released"
                );
                self.end_pending_commands();
                self.membership.departure = Departure::Announced {
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
        if let Some(role) = &mut self.coordinator_role {
            role.shares.config_changed(&self.config);
        }
        self.changed = true;
    }

    /// Runs the timed actions that are due at `now`, if any.
    pub fn advance(&mut self, now: Instant) {
        self.drop_expired_leases(now);
        if now < self.due {
            return;
        }
        if let Departure::Announced { give_up_at } = self.membership.departure {
            if now >= give_up_at {
                self.membership.departure = Departure::Complete;
            }
        } else {
            self.advance_candidate();
            self.advance_coordinator();
            self.send_commands();
            let renewal =
                self.membership
                    .lease_holder
                    .next_renewal(&self.config, now, &mut self.rng);
            if let Some(renewal) = renewal {
                self.send_renewal(renewal);
            }
        }
        self.handle_loopback();
        self.due = self.next_due();
    }

    /// Drains the messages to send.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outbox.outputs.drain(..)
    }

    /// Returns when to call [`Fleet::advance`] at the latest.
    pub fn next(&self) -> Instant {
        self.due
    }

    fn next_due(&self) -> Instant {
        let mut next = self.membership.lease_holder.next();
        if self.config.is_voter(self.process.host) {
            next = next.min(self.election.candidate.next());
        }
        if self.coordinator_role.is_some() {
            next = next.min(self.now + renewal_check_interval(&self.config));
        }
        if let Departure::Announced { give_up_at } = self.membership.departure {
            next = next.min(give_up_at);
        }
        self.maintenance_due().map_or(next, |due| next.min(due))
    }

    /// Drops the leases that have expired by the local clock. It runs before every event, so that a process that was
    /// suspended does not act on an expired lease when it resumes.
    fn drop_expired_leases(&mut self, now: Instant) {
        self.now = self.now.max(now);
        if self.membership.lease_holder.drop_expired_lease(self.now) {
            self.statistics.counts.leases_lost += 1;
            self.changed = true;
            warn!(
                member = self.process.host.0,
                epoch = self.membership.epoch,
                coordinator = self
                    .membership
                    .lease_holder
                    .coordinator()
                    .map(|host| host.0),
                round = self.membership.lease_holder.ballot().round,
                "member lease expired: using floor shares until it is renewed"
            );
        }
        if self.coordinator_role.is_some() && self.election.candidate.held(self.now).is_none() {
            self.coordinator_role = None;
            warn!(
                member = self.process.host.0,
                epoch = self.membership.epoch,
                round = self.membership.lease_holder.ballot().round,
                "coordinator lease expired: stepping down"
            );
        }
        self.update_isolation();
    }
}
